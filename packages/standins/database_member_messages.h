#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/clock.h"
#include "base/error.h"
#include "base/ids.h"
#include "standins/database_store.h"

/// @file
/// Requests and answers of one member of a database group (section 4.2) and the entries of its
/// replicated log. Their JSON form is in database_member_json.h.

namespace bulrushlift::standin {

/// Errors of a target. Each guarantees that the statement had no effect.
enum class member_error_kind {
  wrong_term,
  not_primary,
  behind,
  busy,
  too_many_connections,
  unknown_transaction,
  statement_failed,
  cancelled,
  bad_request,
};

struct member_error_traits {
  member_error_kind kind;
  std::string_view name;  ///< Name on the wire.
  int http_status;
};

[[nodiscard]] const member_error_traits& traits_of(member_error_kind kind) noexcept;

struct member_error {
  member_error_kind kind = member_error_kind::bad_request;
  std::string message;
  term_id term;     ///< Current term of the member.
  log_point point;  ///< For `cancelled`: the answer is final once this log point is acknowledged.
};

template <class T>
using member_result = tl::expected<T, member_error>;

enum class entry_kind {
  barrier,       ///< First entry of a term.
  write,         ///< One statement.
  transaction,   ///< All writes of a committed transaction.
  cancellation,  ///< Forbids to run a request with this idempotency key.
};

[[nodiscard]] std::string_view name_of(entry_kind kind) noexcept;
[[nodiscard]] std::optional<entry_kind> entry_kind_from_name(std::string_view name) noexcept;

/// One entry of the replicated log.
struct log_entry {
  log_point point;
  entry_kind kind = entry_kind::barrier;
  std::string request;  ///< Id of the request that appended the entry.
  customer_id customer;
  std::string idempotency_key;
  std::vector<std::string> statements;
  key_values changes;
  statement_rows rows;  ///< Result of the request, returned again when it is repeated.

  friend bool operator==(const log_entry&, const log_entry&) = default;
};

enum class member_role { replica, primary };

struct member_status {
  service_id service;
  target_id target;
  member_role role = member_role::replica;
  term_id term;
  log_point point;
  target_id primary;
  duration primary_contact{};
  std::uint32_t slots = 0;
  std::uint32_t slots_used = 0;
};

struct fence_answer {
  bool is_accepted = false;
  term_id term;
  std::string candidate;
  log_point point;
};

/// `POST /v1/execute`. `term` is required for writes and inside transactions.
struct execute_request {
  std::string id;
  customer_id customer;
  bool is_write = false;
  std::string text;
  std::optional<term_id> term;
  std::string idempotency_key;
  std::string transaction;
  std::optional<log_point> min_point;
};

struct execute_answer {
  log_point point;  ///< The member's newest log point when the statement had run.
  statement_rows rows;
  bool is_replayed = false;
};

/// `POST /v1/begin`, `/v1/commit` and `/v1/rollback`.
struct transaction_request {
  std::string id;
  customer_id customer;
  term_id term;
  std::string transaction;
};

struct resolve_request {
  std::string id;
  customer_id customer;
  term_id term;
  std::string idempotency_key;
};

struct resolve_answer {
  bool is_done = false;  ///< Whether the write ran; otherwise it is cancelled and will never run.
  log_point point;       ///< The answer is final once this log point is acknowledged.
  statement_rows rows;
};

/// Request of a replica to its primary for newer log entries.
struct pull_request {
  target_id replica;
  term_id term;
  target_id primary;                  ///< Receiver of the request.
  std::vector<log_point> boundaries;  ///< Last entry of each term in the replica's log, oldest first.
  duration minimum_age{};             ///< Replication lag: younger entries are not sent.
};

struct pull_answer {
  term_id term;
  target_id primary;
  std::vector<log_entry> entries;  ///< The entries after the newest one that both logs contain.
};

}  // namespace bulrushlift::standin
