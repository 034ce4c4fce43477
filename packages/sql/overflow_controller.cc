#include "sql/overflow_controller.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <string>
#include <tuple>
#include <utility>

namespace bulrushlift::sql {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// The share falls only when the saving is below this part of what lets it grow.
constexpr double hysteresis = 0.5;
// Factor on the share in each interval while home has room, or while the destinations are full.
constexpr double return_factor = 0.5;
// A smaller share is dropped.
constexpr double min_share = 0.01;

// A share that was not updated for this many intervals is outdated.
constexpr int share_lifetime_intervals = 10;
// Homes and objectives of a service are few; bounds the memory if a configuration changes them all the time.
constexpr std::size_t max_states = 256;

constexpr duration max_setting = seconds{60};

// Two independent values in [0, 1) from one random number, and one for the time of the next update.
double upper_unit(std::uint64_t bits) { return std::ldexp(static_cast<double>(bits >> 32U), -32); }
double lower_unit(std::uint64_t bits) { return std::ldexp(static_cast<double>(bits & 0xffff'ffffU), -32); }
double jitter_unit(std::uint64_t bits) { return upper_unit(bits * 0x9e37'79b9'7f4a'7c15U); }

duration scaled(duration span, double factor) {
  return std::chrono::duration_cast<duration>(std::chrono::duration<double, std::nano>(span) * factor);
}

double ratio(duration part, duration whole) {
  return std::chrono::duration<double>(part) / std::chrono::duration<double>(whole);
}

}  // namespace

result<void> validate(const overflow_settings& settings) {
  const auto invalid = [](const char* field) {
    return make_error(error_kind::invalid_settings, std::string{"overflow."} + field + " is out of range");
  };
  const auto is_in = [](duration value, duration least) { return value >= least && value <= max_setting; };
  // Comparisons are written so that NaN fails them.
  if (!is_in(settings.crossing_cost, duration::zero())) return invalid("crossing_cost");
  if (!is_in(settings.crossing_delay, duration::zero())) return invalid("crossing_delay");
  if (!(settings.relevant_wait > 0 && settings.relevant_wait <= 1)) return invalid("relevant_wait");
  if (!is_in(settings.max_remote_wait, milliseconds{1})) return invalid("max_remote_wait");
  if (!(settings.primary_weight >= 1 && settings.primary_weight <= 100)) return invalid("primary_weight");
  if (!(settings.max_step > 0 && settings.max_step <= 1)) return invalid("max_step");
  if (!is_in(settings.interval, milliseconds{1})) return invalid("interval");
  if (!is_in(settings.report_lifetime, milliseconds{1})) return invalid("report_lifetime");
  return {};
}

std::string_view name_of(overflow_reason reason) noexcept {
  static constexpr std::array<std::string_view, overflow_reasons> names{
      "disabled",       "only_site",  "home_has_room", "home_unknown",   "remote_unknown", "remote_full",
      "not_worthwhile", "home_share", "wait_saved",    "primary_spared", "home_lost"};
  const auto index = static_cast<std::size_t>(reason);
  return index < names.size() ? names[index] : "unknown";
}

double overflow_report::left_share() const {
  std::uint64_t all = 0;
  std::uint64_t left = 0;
  for (std::size_t i = 0; i < counts.size(); ++i) {
    all += counts.at(i);
    if (is_leaving(static_cast<overflow_reason>(i))) left += counts.at(i);
  }
  return all == 0 ? 0 : static_cast<double>(left) / static_cast<double>(all);
}

overflow_report overflow_controller::take_report() {
  auto report = std::exchange(report_, {});
  for (const auto& [key, state] : shares_) report.share = std::max(report.share, state.share);
  return report;
}

overflow_decision overflow_controller::decide(const overflow_request& request, std::uint64_t random_bits,
                                              time_point now) {
  auto decision = choose(request, random_bits, now);
  ++report_.counts.at(static_cast<std::size_t>(decision.reason));
  return decision;
}

overflow_decision overflow_controller::choose(const overflow_request& request, std::uint64_t bits,
                                              time_point now) {
  if (!settings_) return {order_of(request, request.home), overflow_reason::disabled};
  const auto facts = assess(request);
  if (!facts.has_other) return {order_of(request, request.home), overflow_reason::only_site};
  auto& state = state_of(request, now);
  if (!facts.has_home) {
    // After the loss the reads return in steps, because the targets at home may still be slow.
    state = {1, now + settings_->interval, now};
    return {order_of(request, destination(request, facts, 1, bits)), overflow_reason::home_lost};
  }
  update_share(state, facts, bits, now);
  const auto chosen = destination(request, facts, state.share, bits);
  if (!chosen) return {order_of(request, request.home), reason_to_stay(facts)};
  const auto reason = facts.is_home_primary ? overflow_reason::primary_spared : overflow_reason::wait_saved;
  return {order_of(request, chosen), reason};
}

std::optional<duration> overflow_controller::known_wait(const read_site& site) const {
  if (!site.wait || site.wait_age > settings_->report_lifetime) return std::nullopt;
  const auto wait = std::clamp(*site.wait, duration::zero(), max_setting);
  return site.is_primary_only ? scaled(wait, settings_->primary_weight) : wait;
}

overflow_controller::situation overflow_controller::assess(const overflow_request& request) const {
  situation facts;
  facts.relevant = scaled(std::max(request.objective, duration::zero()), settings_->relevant_wait);
  facts.cost = std::min(settings_->crossing_cost, facts.relevant);
  facts.remote_limit = std::min(settings_->max_remote_wait, facts.relevant);
  for (const auto& site : request.sites) {
    if (!site.is_reachable) continue;
    const auto wait = known_wait(site);
    if (site.data_centre == request.home) {
      facts.has_home = true;
      facts.is_home_primary = site.is_primary_only;
      facts.home_wait = wait;
      continue;
    }
    facts.has_other = true;
    if (wait) facts.best_remote_wait = std::min(*wait, facts.best_remote_wait.value_or(*wait));
  }
  return facts;
}

duration overflow_controller::saving(const situation& facts) const {
  return *facts.home_wait - *facts.best_remote_wait - settings_->crossing_delay;
}

overflow_reason overflow_controller::reason_to_stay(const situation& facts) const {
  if (!facts.home_wait) return overflow_reason::home_unknown;
  if (*facts.home_wait <= facts.relevant) return overflow_reason::home_has_room;
  if (!facts.best_remote_wait) return overflow_reason::remote_unknown;
  if (*facts.best_remote_wait >= facts.remote_limit) return overflow_reason::remote_full;
  return saving(facts) < facts.cost ? overflow_reason::not_worthwhile : overflow_reason::home_share;
}

overflow_controller::share_state& overflow_controller::state_of(const overflow_request& request,
                                                                time_point now) {
  const std::pair key{request.home, request.objective};
  if (shares_.size() >= max_states && !shares_.contains(key)) shares_.clear();
  auto& state = shares_[key];
  if (now - state.updated > settings_->interval * share_lifetime_intervals) state = {0, now, now};
  return state;
}

void overflow_controller::update_share(share_state& state, const situation& facts, std::uint64_t bits,
                                       time_point now) const {
  if (now < state.next_update) return;
  state.next_update = now + scaled(settings_->interval, 0.5 + jitter_unit(bits));
  state.updated = now;
  const bool is_known = facts.home_wait && facts.best_remote_wait;
  const bool is_remote_full = is_known && *facts.best_remote_wait >= facts.remote_limit;
  const bool has_home_room = is_known && saving(facts) <= duration::zero();
  if (!is_known || is_remote_full || has_home_room) {
    state.share *= return_factor;
  } else if (*facts.home_wait > facts.relevant && saving(facts) >= facts.cost) {
    // Destinations that fill up already stop the growth before their limit.
    if (*facts.best_remote_wait * 2 <= facts.remote_limit) state.share += settings_->max_step;
  } else if (saving(facts) < scaled(facts.cost, hysteresis)) {
    state.share -= settings_->max_step;
  }
  state.share = std::min(state.share, 1.0);
  if (state.share < min_share) state.share = 0;
}

double overflow_controller::headroom(const read_site& site, const situation& facts) const {
  const auto wait = known_wait(site);
  if (!wait || facts.remote_limit <= duration::zero()) return 0;
  return std::clamp(1 - ratio(*wait, facts.remote_limit), 0.0, 1.0);
}

std::optional<data_centre_id> overflow_controller::destination(const overflow_request& request,
                                                               const situation& facts, double share,
                                                               std::uint64_t bits) const {
  std::vector<std::pair<double, data_centre_id>> weighted;
  double sum = 0;
  double best = 0;
  for (const auto& site : request.sites) {
    if (!site.is_reachable || site.data_centre == request.home) continue;
    const auto room = headroom(site, facts);
    if (room <= 0) continue;
    sum += room;
    best = std::max(best, room);
    weighted.emplace_back(room, site.data_centre);
  }
  if (!facts.has_home && weighted.empty()) {
    // All are full or unknown, but there is nothing at home: the shortest wait.
    auto order = order_of(request, std::nullopt);
    if (order.empty()) return std::nullopt;
    return std::move(order.front());
  }
  // The last half of the headroom fades the share out, so that there is no cliff at the limit.
  const auto probability = facts.has_home ? share * std::min(1.0, 2 * best) : 1;
  if (weighted.empty() || upper_unit(bits) >= probability) return std::nullopt;
  auto position = lower_unit(bits) * sum;
  for (const auto& [room, data_centre] : weighted) {
    if (position < room) return data_centre;
    position -= room;
  }
  return weighted.back().second;
}

std::vector<data_centre_id> overflow_controller::order_of(const overflow_request& request,
                                                          const std::optional<data_centre_id>& first) const {
  std::vector<std::tuple<int, duration, data_centre_id>> ranked;
  for (const auto& site : request.sites) {
    if (!site.is_reachable) continue;
    const int rank = first == site.data_centre ? 0 : (site.data_centre == request.home ? 1 : 2);
    const auto wait = settings_ ? known_wait(site).value_or(max_setting) : duration::zero();
    ranked.emplace_back(rank, wait, site.data_centre);
  }
  std::sort(ranked.begin(), ranked.end());
  std::vector<data_centre_id> order;
  order.reserve(ranked.size());
  for (auto& [rank, wait, data_centre] : ranked) order.push_back(std::move(data_centre));
  return order;
}

}  // namespace bulrushlift::sql
