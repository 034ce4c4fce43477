#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string_view>
#include <utility>
#include <vector>

#include "base/clock.h"
#include "base/error.h"
#include "base/ids.h"

/// @file
/// Decides which reads leave their data centre.
///
/// Load pattern: most callers of a service are in one data centre, whose targets are too few at times, while
/// targets elsewhere have room; or the targets of a data centre turn slow or are lost. Crossing costs delay
/// and traffic, so reads stay as long as the wait saved is not worth it. Many VMs decide from the same
/// reports at the same time, so the share that leaves moves in small steps at random times, holds between two
/// thresholds, and fades out as the wait at the destination approaches its limit.
///
///     overflow_controller controller{settings};
///     const auto decision = controller.decide({home, objective, sites}, random(), now);
///     send(decision.order.front());

namespace bulrushlift::sql {

/// What crossing costs, and how fast the share of reads that cross may change.
struct overflow_settings {
  /// Wait that a crossing has to save, beyond its own delay. For statements with a short objective it counts
  /// as `relevant_wait` of the objective at most.
  duration crossing_cost = std::chrono::milliseconds{20};
  /// Delay that a crossing adds to a statement.
  duration crossing_delay = std::chrono::milliseconds{5};
  /// Part of the objective up to which a wait at home is accepted, and up to which a destination takes reads.
  double relevant_wait = 0.2;
  /// Wait at a destination from which it gets no reads, whatever their objective; protects callers there.
  duration max_remote_wait = std::chrono::milliseconds{20};
  /// Factor on the wait for a primary, whose slots are needed for work that only it can do.
  double primary_weight = 2;
  /// Largest change of the share per interval, apart from a return to a data centre with room.
  double max_step = 0.05;
  /// Mean time between two changes of the share; above the interval of the reports.
  duration interval = std::chrono::milliseconds{400};
  /// Age from which a reported wait is ignored.
  duration report_lifetime = std::chrono::milliseconds{1'500};

  friend bool operator==(const overflow_settings&, const overflow_settings&) = default;
};

/// @return nothing, or `invalid_settings` with the name of the invalid field.
[[nodiscard]] result<void> validate(const overflow_settings& settings);

/// A data centre with at least one eligible target.
struct read_site {
  data_centre_id data_centre;
  bool is_primary_only = false;  ///< The only eligible target there is the primary.
  bool is_reachable = true;
  std::optional<duration> wait;  ///< Expected wait for a slot, if known.
  duration wait_age{};           ///< Time since `wait` was measured.
};

struct overflow_request {
  data_centre_id home;   ///< The caller's data centre.
  duration objective{};  ///< Latency objective of the statement.
  std::vector<read_site> sites;
};

/// Why a read stays or leaves.
enum class overflow_reason : std::uint8_t {
  disabled,        ///< Stays: there are no settings.
  only_site,       ///< Stays: no other data centre can serve it.
  home_has_room,   ///< Stays: the wait at home is acceptable.
  home_unknown,    ///< Stays: the wait at home is not known.
  remote_unknown,  ///< Stays: no wait elsewhere is known.
  remote_full,     ///< Stays: the wait elsewhere is too long.
  not_worthwhile,  ///< Stays: crossing would save too little.
  home_share,      ///< Stays: it belongs to the share that is served at home.
  wait_saved,      ///< Leaves.
  primary_spared,  ///< Leaves: the only target at home is the primary, which has little room.
  home_lost,       ///< Leaves: no target at home can serve it.
};
inline constexpr std::size_t overflow_reasons = 11;
[[nodiscard]] std::string_view name_of(overflow_reason reason) noexcept;
[[nodiscard]] constexpr bool is_leaving(overflow_reason reason) noexcept {
  return reason >= overflow_reason::wait_saved;
}

struct overflow_decision {
  std::vector<data_centre_id> order;  ///< Reachable data centres, the chosen one first; may be empty.
  overflow_reason reason = overflow_reason::disabled;
};

/// Decisions since the last report, for logs and metrics.
struct overflow_report {
  std::array<std::uint64_t, overflow_reasons> counts{};  ///< By `overflow_reason`.
  double share = 0;  ///< Largest share that may leave now, over all kinds of statements.

  [[nodiscard]] std::uint64_t count(overflow_reason reason) const {
    return counts.at(static_cast<std::size_t>(reason));
  }
  /// @return the part of the decisions that sent a read away.
  [[nodiscard]] double left_share() const;
};

/// Decides for the reads of one service. Not thread-safe.
class overflow_controller {
 public:
  /// @param settings valid settings, or nothing if all reads stay.
  explicit overflow_controller(std::optional<overflow_settings> settings) : settings_(settings) {}

  /// @param random_bits uniform; differ for each decision and VM.
  [[nodiscard]] overflow_decision decide(const overflow_request& request, std::uint64_t random_bits,
                                         time_point now);

  /// @return the decisions since the last call.
  [[nodiscard]] overflow_report take_report();

 private:
  /// Reads of one home and objective.
  struct share_state {
    double share = 0;  ///< Part of the reads that may leave.
    time_point next_update{};
    time_point updated{};
  };
  /// Inputs of one decision, derived from the request.
  struct situation {
    bool has_home = false;
    bool has_other = false;
    bool is_home_primary = false;
    std::optional<duration> home_wait;
    duration cost{};          ///< Wait that a crossing has to save.
    duration relevant{};      ///< Wait at home that is accepted.
    duration remote_limit{};  ///< Wait elsewhere from which a destination gets no reads.
    std::optional<duration> best_remote_wait;
  };

  [[nodiscard]] overflow_decision choose(const overflow_request& request, std::uint64_t bits, time_point now);
  [[nodiscard]] situation assess(const overflow_request& request) const;
  [[nodiscard]] std::optional<duration> known_wait(const read_site& site) const;
  [[nodiscard]] double headroom(const read_site& site, const situation& facts) const;
  [[nodiscard]] overflow_reason reason_to_stay(const situation& facts) const;
  [[nodiscard]] duration saving(const situation& facts) const;
  [[nodiscard]] share_state& state_of(const overflow_request& request, time_point now);
  void update_share(share_state& state, const situation& facts, std::uint64_t bits, time_point now) const;
  [[nodiscard]] std::optional<data_centre_id> destination(const overflow_request& request,
                                                          const situation& facts, double share,
                                                          std::uint64_t bits) const;
  [[nodiscard]] std::vector<data_centre_id> order_of(const overflow_request& request,
                                                     const std::optional<data_centre_id>& first) const;

  std::optional<overflow_settings> settings_;
  std::map<std::pair<data_centre_id, duration>, share_state> shares_;
  overflow_report report_;
};

}  // namespace bulrushlift::sql
