#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "base/error.h"
#include "base/ids.h"
#include "base/log.h"
#include "document/address.h"
#include "document/finding.h"

/// @file
/// Settings of one daemon, read once at its start.
///
///     auto settings = parse_settings(text);
///     if (!settings) return fail(settings.error());

namespace bulrushlift {

/// Bounds on what callers, customers and targets can occupy in one daemon.
struct limit_settings {
  std::size_t caller_connections = 12'000;  ///< Further connections are closed at once.
  std::size_t head_bytes = 16U << 10U;      ///< Request line and headers.
  std::size_t body_bytes = 1U << 20U;       ///< Body of a request.
  std::size_t queued_bytes = 4U << 20U;     ///< Unsent answer bytes of one connection.
  std::size_t customer_queue = 64;          ///< Queued requests of one customer.
  std::size_t total_queue = 4'096;          ///< Queued requests of all customers.
  std::size_t opening_connections = 4;      ///< Connections to one target that open at the same time.
  double platform_calls_per_second = 5;     ///< Calls to the platform, on average.
  double platform_calls_burst = 10;         ///< Calls to the platform at once.
  double retry_share = 0.1;                 ///< Retries, as a share of a service's recent requests.
  std::size_t retry_minimum = 3;            ///< Retries that are always allowed to a service.

  friend bool operator==(const limit_settings&, const limit_settings&) = default;
};

/// Durations. In the file each name ends in "_ms" and each value is a number of milliseconds.
struct timing_settings {
  using milliseconds = std::chrono::milliseconds;

  milliseconds freshness_limit{5'000};      ///< Age from which a configuration needs a reason to be used.
  milliseconds outage_limit{3'600'000};     ///< Longest service without the store.
  milliseconds drain_time{20'000};          ///< Time for running work when the daemon stops.
  milliseconds poll_interval{100};          ///< Between two polls of a member of a database group.
  milliseconds poll_timeout{150};           ///< A poll without an answer counts as missed.
  milliseconds primary_silence{500};        ///< Contact age from which the members count a primary as lost.
  milliseconds replica_wait{5};             ///< Wait for a replica that is about to reach the point.
  milliseconds loan_wait{25};               ///< Wait for a loan before a request is over its rate.
  milliseconds loan_lifetime{250};          ///< Validity of borrowed tokens.
  milliseconds dissemination_bound{7'000};  ///< Every VM has a new document after this time.
  milliseconds transaction_idle{10'000};    ///< An idle transaction ends after this time.
  milliseconds watch_timeout{2'000};        ///< Longest wait of one watch at the store.
  milliseconds platform_backoff{5'000};     ///< Longest back-off of calls to the platform.
  milliseconds default_deadline{5'000};     ///< Deadline of a request that states none.
  milliseconds caller_idle{60'000};         ///< An idle caller connection is closed after this time.
  milliseconds caller_request{10'000};      ///< Time to send one whole request.
  milliseconds probe_interval{1'000};       ///< Between two probes of an idle target connection.
  milliseconds probe_timeout{500};          ///< A probe without an answer closes the connection.
  milliseconds status_interval{60'000};     ///< Between two writes of the VM's status object.

  friend bool operator==(const timing_settings&, const timing_settings&) = default;
};

struct log_settings {
  log_level level = log_level::info;
  /// One of this many routing decisions is written; 0 writes none.
  std::uint32_t decision_sampling = 1;

  friend bool operator==(const log_settings&, const log_settings&) = default;
};

/// Settings of one daemon.
struct settings {
  vm_id vm;  ///< Unique in the fleet; one for each process.
  data_centre_id data_centre;
  std::string environment;             ///< Name of the environment whose document is served.
  network_address caller_listen;       ///< Requests of callers. Port 0: chosen by the kernel.
  network_address peer_listen;         ///< Peers, TCP and UDP on the same port.
  network_address admin_listen;        ///< Metrics, status and drain.
  network_address platform;            ///< The platform's object API.
  std::vector<network_address> seeds;  ///< Peer addresses of VMs to contact first.
  /// Secrets of session tokens, decoded from hexadecimal digits. The first signs, all verify.
  std::vector<std::string> token_secrets;
  limit_settings limits;
  timing_settings timing;
  log_settings log;

  friend bool operator==(const settings&, const settings&) = default;
};

/// Checks the whole text.
/// @return all errors, in the order of their lines; empty if the text is valid.
[[nodiscard]] findings check_settings(std::string_view text);

/// @return whether the text is meant as settings, and not as an environment document.
[[nodiscard]] bool is_settings_text(std::string_view text);

/// @param text JSON with comments.
/// @return the settings, or `invalid_settings` with all errors, one a line.
[[nodiscard]] result<settings> parse_settings(std::string_view text);

}  // namespace bulrushlift
