#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "net/event_loop.h"
#include "net/tcp_stream.h"
#include "soak/soak_oracle.h"

/// @file
/// A simulated caller: opens sessions on changing VMs, runs one operation at a time, and
/// reports requests and answers to the oracle.

namespace bulrushlift::soak {

/// Read consistency of a database of the deployment.
enum class read_level : std::uint8_t { primary, bounded, own_writes };

/// A statement that a caller sent.
struct sent_statement {
  std::string text;
  std::string customer;
  std::map<std::string, std::string> values;  ///< Session values acknowledged before the statement was sent.
  std::string transaction;                    ///< Id of its BEGIN statement; empty outside of a transaction.
};

/// State that all callers share.
struct caller_context {
  event_loop& loop;
  soak_oracle& oracle;
  std::map<std::string, sent_statement>& sent;  ///< By statement id.
  std::function<net_address()> pick_vm;
  /// Called when a VM closes a connection on which a statement has no answer.
  std::function<void(const net_address& vm, const std::string& statement)> on_unanswered;
};

struct caller_identity {
  std::size_t number = 0;
  std::string customer;
  std::string key;
};

/// Runs random operations over one session at a time, with a new session now and then.
class soak_caller : private tcp_stream_observer {
 public:
  soak_caller(caller_context& context, caller_identity identity, std::uint64_t seed);
  soak_caller(const soak_caller&) = delete;
  soak_caller& operator=(const soak_caller&) = delete;
  ~soak_caller() override;

  void start() { connect(); }
  /// Starts no further operation; the running one is finished.
  void stop() noexcept { is_stopping_ = true; }
  [[nodiscard]] bool is_stopped() const noexcept { return is_stopping_ && !is_awaiting_answer_; }

  [[nodiscard]] std::size_t done_operations() const noexcept { return done_count_; }
  [[nodiscard]] std::size_t refused_operations() const noexcept { return refused_count_; }
  [[nodiscard]] std::size_t unknown_operations() const noexcept { return unknown_count_; }

 private:
  struct planned_write {
    std::string item;
    std::uint64_t number = 0;
  };
  /// The request whose answer is awaited.
  enum class step : std::uint8_t { session, value, prepare, read, write, begin, commit, rollback };

  void on_bytes(std::string_view bytes) override;
  void on_closed(const error& reason) override;

  void connect();
  void reconnect();
  void next_operation();
  void continue_transaction();
  /// Continues the transaction at once or, now and then, after a pause.
  void rest_in_transaction();
  void send_statement(step what, const std::string& text);
  void send_read(const std::string& item);
  void send_write();
  void on_answer(const std::vector<std::string>& lines);
  void on_success(const std::vector<std::string>& lines);
  void on_error(const std::string& code);
  void finish_writes(write_outcome outcome);
  /// @return the outcome of the running operation's writes if no answer arrives.
  [[nodiscard]] write_outcome outcome_without_answer() const noexcept;
  void on_answer_timeout();
  [[nodiscard]] std::string own_item() const;
  [[nodiscard]] std::string random_item();
  [[nodiscard]] std::uint64_t minimum_number(const std::string& item) const;
  [[nodiscard]] std::uint64_t draw(std::uint64_t below) { return random_() % below; }

  caller_context& context_;
  caller_identity identity_;
  std::mt19937_64 random_;
  std::mt19937_64 rest_random_;  ///< For pauses inside transactions; a seed draws all else as without them.
  net_address vm_;
  std::unique_ptr<tcp_stream> stream_;
  scoped_timer answer_timer_;
  scoped_timer pause_timer_;
  std::string input_;
  std::vector<std::string> lines_;

  read_level level_ = read_level::primary;
  step step_ = step::session;
  bool is_awaiting_answer_ = false;
  bool is_stopping_ = false;
  std::map<std::string, std::string> values_;
  std::map<std::string, std::uint64_t> own_writes_;  ///< Numbers acknowledged in this session, by item.
  bool is_prepared_ = false;

  std::uint64_t item_generation_ = 0;  ///< Part of the own item's name; changes after an unknown outcome.
  std::uint64_t last_number_ = 0;
  std::uint64_t last_statement_id_ = 0;
  std::string statement_id_;
  std::string pending_value_;
  std::string read_item_;
  time_point operation_started_at_{};  ///< When the operation sent its first byte.
  bool is_in_transaction_ = false;
  std::string transaction_id_;  ///< Id of the BEGIN statement.
  std::size_t statements_left_ = 0;
  std::vector<planned_write> writes_;  ///< Writes of the running operation.

  std::size_t done_count_ = 0;
  std::size_t refused_count_ = 0;
  std::size_t unknown_count_ = 0;
};

}  // namespace bulrushlift::soak
