#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string_view>
#include <vector>

#include "base/clock.h"
#include "base/ids.h"
#include "sql/concurrency_limit.h"
#include "sql/decaying_mean.h"

/// @file
/// Judges the targets of one service by the answers that they give, not by the state that they announce.
///
/// Load pattern: a replica is announced as ready but answers late, fails a part of its reads, stops
/// answering, or alternates between good and bad periods. Such a target is ejected from reads: it gets none
/// for some time, then one at a time until several in a row were good. Each further ejection takes longer. A
/// target is compared with the others of its service, so nobody is ejected when all are slow or fail alike,
/// and at most half of them are ejected at once. Work that only the primary can run is never affected.
///
///     health.on_attempt(target, {work_kind::read, attempt_end::answered, latency, objective}, 1, now);
///     if (health.admission(target, running, now) != read_admission::none) send_read();

namespace bulrushlift::sql {

/// Where a statement can run.
enum class work_kind : std::uint8_t {
  read,          ///< On each target that is fresh enough.
  primary_work,  ///< On the primary only.
};

/// How an attempt of a statement ended.
enum class attempt_end : std::uint8_t {
  answered,
  failed,      ///< The target returned an error instead of a result.
  busy,        ///< The target had no free slot.
  refused,     ///< Refused for a reason that says nothing about the target's health.
  unanswered,  ///< No answer to the statement, or none in time.
};

/// What one attempt of a statement on a target showed.
struct target_attempt {
  work_kind kind = work_kind::read;
  attempt_end end = attempt_end::answered;
  duration latency{};         ///< From the first byte sent to the last answer.
  duration objective{};       ///< Latency objective of the statement.
  std::uint32_t opening = 0;  ///< Connections that this VM is opening to the target; each takes a slot.
};

/// Whether a target may get a read.
enum class read_admission : std::uint8_t { full, probe, none };

enum class ejection_reason : std::uint8_t {
  unresponsive,
  failing,
  refusing,  ///< No slot was free, though this VM does not use all of them.
  slow
};
inline constexpr std::size_t ejection_reasons = 4;
[[nodiscard]] std::string_view name_of(ejection_reason reason) noexcept;

/// A change in how a target is used.
enum class health_event : std::uint8_t { ejected, probing, returned, limit_lowered, limit_lifted };
[[nodiscard]] std::string_view name_of(health_event event) noexcept;

/// A change and the inputs that decided it, for logs and metrics.
struct health_change {
  target_id target;
  health_event event = health_event::ejected;
  ejection_reason reason = ejection_reason::slow;  ///< Of the latest ejection.
  double share = 0;           ///< Share of attempts of this kind at the target; set if it was ejected.
  double others_share = 0;    ///< The same at the median of the others.
  double latency = 0;         ///< Mean latency of reads as a part of their objective.
  double write_latency = 0;   ///< The same for work that only the primary runs.
  duration ejection{};        ///< Length of the latest ejection.
  std::uint32_t allowed = 0;  ///< Statements that this VM may run on the target.
};

/// Health of the targets of one service. Not thread-safe.
class target_health {
 public:
  /// Adds a target, or updates its slots and whether it is shutting down.
  void update(const target_id& target, std::uint32_t slots, bool is_leaving);
  void remove(const target_id& target);

  /// A statement of this VM started.
  /// @param objective latency objective of the statement.
  void on_started(const target_id& target, work_kind kind, duration objective, time_point now);
  /// An attempt ended.
  /// @param running statements of this VM on the target, with this one.
  void on_attempt(const target_id& target, const target_attempt& attempt, std::uint32_t running,
                  time_point now);
  /// A connection could not be opened, or was lost without any answer.
  /// @param running statements of this VM that still run on the target.
  void on_no_answer(const target_id& target, std::uint32_t running, time_point now);

  /// @param running statements of this VM on the target.
  /// @return whether the target may get another read.
  [[nodiscard]] read_admission admission(const target_id& target, std::uint32_t running,
                                         time_point now) const;
  /// @return whether the target looks bad while too little is known of the others to compare.
  [[nodiscard]] bool is_suspect(const target_id& target, time_point now) const;
  /// @return whether the target is ejected or is still being probed afterwards.
  [[nodiscard]] bool is_ejected(const target_id& target) const;
  /// @param extra statements that may be sent in addition to the slots.
  /// @return how many statements of this VM may run on the target.
  [[nodiscard]] std::uint32_t allowed(const target_id& target, std::uint32_t extra) const;

  /// @return the changes since the last call.
  [[nodiscard]] std::vector<health_change> take_changes();

 private:
  struct state {
    std::uint32_t slots = 1;
    bool is_leaving = false;
    concurrency_limit limit;
    decaying_mean read_latency;                          ///< As a part of the objective.
    decaying_mean write_latency;                         ///< As a part of the objective.
    std::array<decaying_mean, ejection_reasons> shares;  ///< Share of bad attempts, by reason.
    std::uint32_t unanswered_in_row = 0;
    time_point answered_at{};                 ///< Last answer to a statement.
    std::optional<time_point> waiting_since;  ///< Since when all running statements lack an answer.
    duration waiting_objective{};             ///< Longest objective of these.
    std::optional<time_point> ejected_until;  ///< Set until the target is back in full use.
    bool is_probing = false;                  ///< A read was sent since the end of the ejection.
    std::uint32_t good_probes = 0;
    std::uint32_t slow_probes = 0;
    std::uint32_t ejections = 0;  ///< Grows with each ejection, decreases in calm times.
    time_point returned_at{};
    health_change latest;  ///< Of the latest ejection.
  };

  [[nodiscard]] const state* find(const target_id& target) const;
  /// @param own_load statements and new connections of this VM on the target, with the measured statement.
  static void measure(state& each, const target_attempt& attempt, std::uint32_t own_load, time_point now);
  void judge(const target_id& target, state& each, time_point now);
  void on_probe(const target_id& target, state& each, const target_attempt& attempt, time_point now);
  void eject(const target_id& target, state& each, const health_change& inputs, time_point now);
  /// A probe failed.
  void eject_again(const target_id& target, state& each, ejection_reason reason, time_point now);
  void end_ejection(const target_id& target, state& each, time_point now);
  void report(const target_id& target, const state& each, health_event event);
  void report_limit(const target_id& target, const state& each, bool was_lowered);
  [[nodiscard]] bool can_eject(const target_id& target) const;
  [[nodiscard]] bool is_silent(const target_id& target, const state& each, std::uint32_t running,
                               time_point now) const;
  [[nodiscard]] static bool is_bad(const state& each, ejection_reason reason, time_point now);
  /// @return the median over the other targets of which enough is known, or nothing if there are none.
  template <class Measure>
  [[nodiscard]] std::optional<double> others_median(const target_id& target, Measure measure,
                                                    time_point now) const;

  std::map<target_id, state> targets_;
  std::vector<health_change> changes_;
};

}  // namespace bulrushlift::sql
