#pragma once

#include <cstdint>

#include "base/clock.h"

/// @file
/// The phases of a graceful shutdown of a proxy that serves sessions.
///
/// A statement that a proxy has read is answered before the process exits. A session in steady use has a
/// statement running at almost any moment, so it is closed right after an answer: its caller has sent nothing
/// more by then.

namespace bulrushlift::entry {

/// What a shutdown does; each phase includes those before it.
enum class drain_phase : std::uint8_t {
  none,                 ///< The VM serves.
  unready,              ///< The load balancer is told to choose other VMs; sessions go on.
  closing_sessions,     ///< Sessions are closed when they are idle and at the end of each operation.
  ending_transactions,  ///< Open transactions are aborted when they are idle; new ones are refused.
  refusing,             ///< New sessions and operations are refused.
  over,                 ///< The process exits.
};

/// The times of one shutdown.
class drain_schedule {
 public:
  /// @param start when the shutdown began.
  /// @param total time from the start until the process is killed.
  drain_schedule(time_point start, duration total) : start_(start), total_(total) {}

  [[nodiscard]] drain_phase phase_at(time_point now) const;

  /// @return the latest deadline of a statement; its answer is sent before the process exits.
  [[nodiscard]] time_point last_deadline() const;

 private:
  [[nodiscard]] duration exit_time() const;

  time_point start_;
  duration total_;
};

}  // namespace bulrushlift::entry
