#include "sql/overflow_controller.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <cmath>
#include <limits>
#include <random>

namespace bulrushlift::sql {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const data_centre_id north{"north"};
const data_centre_id south{"south"};
const data_centre_id east{"east"};
constexpr duration objective = milliseconds{100};
constexpr duration full = milliseconds{45};  // As long as a statement waits before it is refused.

read_site site(const data_centre_id& data_centre, std::optional<duration> wait) {
  return {data_centre, false, true, wait, {}};
}

/// One VM that routes reads of callers in `north`.
class overflow_test {
 public:
  /// @return the part of the reads that left during `span`, one read per millisecond.
  double run(const std::vector<read_site>& sites, duration span, duration target = objective) {
    int left = 0;
    int all = 0;
    for (const auto end = now_ + span; now_ < end; now_ += milliseconds{1}) {
      last_ = controller_.decide({north, target, sites}, random_(), now_);
      ++all;
      if (last_.order.front() != north) ++left;
    }
    return static_cast<double>(left) / all;
  }
  [[nodiscard]] const overflow_decision& last() const { return last_; }
  [[nodiscard]] overflow_controller& controller() { return controller_; }

 private:
  overflow_controller controller_{overflow_settings{}};
  std::mt19937_64 random_{7};
  time_point now_{seconds{100}};
  overflow_decision last_;
};

TEST_CASE("Without settings or with one data centre reads stay") {
  overflow_controller disabled{std::nullopt};
  const auto decision =
      disabled.decide({north, objective, {site(north, full), site(south, milliseconds{})}}, 1, {});
  CHECK(decision.order.front() == north);
  CHECK(decision.reason == overflow_reason::disabled);
  overflow_test alone;
  CHECK(alone.run({site(north, full)}, seconds{5}) == 0);
  CHECK(alone.last().reason == overflow_reason::only_site);
}

TEST_CASE_METHOD(overflow_test, "Reads leave in steps while home is full, and return when it has room") {
  CHECK(run({site(north, full), site(south, milliseconds{0})}, milliseconds{200}) < 0.1);
  CHECK(run({site(north, full), site(south, milliseconds{0})}, seconds{2}) < 0.4);
  CHECK(run({site(north, full), site(south, milliseconds{0})}, seconds{20}) > 0.8);
  run({site(north, milliseconds{0}), site(south, milliseconds{0})}, seconds{5});
  CHECK(run({site(north, milliseconds{0}), site(south, milliseconds{0})}, seconds{1}) == 0);
  CHECK(last().reason == overflow_reason::home_has_room);
}

TEST_CASE_METHOD(overflow_test, "A wait that crossing shortens too little keeps reads at home") {
  CHECK(run({site(north, milliseconds{22}), site(south, milliseconds{2})}, seconds{20}) == 0);
  CHECK(last().reason == overflow_reason::not_worthwhile);
  // Callers with a long objective accept the wait.
  CHECK(run({site(north, milliseconds{150}), site(south, milliseconds{2})}, seconds{20}, seconds{1}) == 0);
  CHECK(last().reason == overflow_reason::home_has_room);
}

// Guards against a share that changes with each small change of the wait, or never falls.
TEST_CASE_METHOD(overflow_test, "The share holds while crossing pays a little, and falls when it does not") {
  run({site(north, full), site(south, milliseconds{0})}, seconds{4});
  const auto share = controller().take_report().share;
  run({site(north, milliseconds{20}), site(south, milliseconds{0})}, seconds{4});
  CHECK(controller().take_report().share == share);
  run({site(north, milliseconds{12}), site(south, milliseconds{0})}, seconds{2});
  CHECK(controller().take_report().share < share);
  CHECK(controller().take_report().share > share / 2);
  run({site(north, milliseconds{12}), site(south, milliseconds{0})}, seconds{10});
  CHECK(controller().take_report().share == 0);
}

// Guards against callers who wait for targets that are gone.
TEST_CASE_METHOD(overflow_test, "Reads leave at once when no target at home can serve") {
  auto lost = site(north, milliseconds{0});
  lost.is_reachable = false;
  for (const auto& sites :
       {std::vector{lost, site(south, milliseconds{0})}, std::vector{site(south, milliseconds{0})},
        std::vector{site(south, full)}, std::vector{site(south, std::nullopt)}}) {
    CHECK(run(sites, milliseconds{20}) == 1);
    CHECK(last().reason == overflow_reason::home_lost);
  }
  CHECK(run({lost, site(south, full), site(east, milliseconds{1})}, seconds{1}) == 1);
  CHECK(last().order.front() == east);
}

// Guards against an overflow that takes the slots from the callers at the destination.
TEST_CASE_METHOD(overflow_test, "Reads stop leaving when the destination is full") {
  CHECK(run({site(north, full), site(south, milliseconds{15})}, seconds{10}) == 0);
  run({site(north, full), site(south, milliseconds{0})}, seconds{10});
  CHECK(run({site(north, full), site(south, milliseconds{20})}, seconds{1}) == 0);
  CHECK(last().reason == overflow_reason::remote_full);
  CHECK(run({site(north, seconds{2}), site(south, full), site(east, full)}, seconds{1}) == 0);
}

// Guards against decisions from reports of VMs that are cut off.
TEST_CASE_METHOD(overflow_test, "A stale or missing report attracts no reads") {
  auto stale = site(south, milliseconds{0});
  stale.wait_age = seconds{3};
  CHECK(run({site(north, full), stale, site(east, std::nullopt)}, seconds{10}) == 0);
  CHECK(last().reason == overflow_reason::remote_unknown);
  CHECK(run({site(north, std::nullopt), site(south, milliseconds{0})}, seconds{10}) == 0);
  CHECK(last().reason == overflow_reason::home_unknown);
}

// Guards against reads that fill the slots of the only target that can write.
TEST_CASE_METHOD(overflow_test, "A local primary serves reads while its wait is small and is spared before") {
  auto primary = site(north, milliseconds{5});
  primary.is_primary_only = true;
  CHECK(run({primary, site(south, milliseconds{0})}, seconds{10}) == 0);
  primary.wait = milliseconds{15};
  CHECK(run({site(north, milliseconds{15}), site(south, milliseconds{0})}, seconds{10}) == 0);
  CHECK(run({primary, site(south, milliseconds{0})}, seconds{10}) > 0.2);
  CHECK(controller().take_report().count(overflow_reason::primary_spared) > 0);
}

/// What ten VMs do that see the same reports, each up to 200 ms old. Both data centres serve 1,000 reads per
/// second; what would wait longer than half of the objective is refused.
struct settled {
  double least = 1;        ///< Least share of the reads that left within a second.
  double most = 0;         ///< Largest one.
  double remote_wait = 0;  ///< Mean wait at the destination, in milliseconds.
};

/// @param home_rate reads per 10 ms of callers at home; `remote_rate` of those at the destination.
settled settle(double home_rate, double remote_rate) {
  constexpr double served = 10;  // In 10 ms.
  constexpr int warm_up = 2'000;
  constexpr int ticks = 6'000;
  std::vector<overflow_controller> vms(10, overflow_controller{overflow_settings{}});
  std::mt19937_64 random{11};
  std::array<double, 2> queued{};
  std::array<duration, 2> reported{};
  settled result;
  double left_in_second = 0;
  for (int tick = 0; tick < ticks; ++tick) {
    const time_point now = time_point{seconds{100}} + milliseconds{10} * tick;
    if (tick % 20 == 0)
      reported = {milliseconds{std::lround(queued[0])}, milliseconds{std::lround(queued[1])}};
    double left = 0;
    for (auto& vm : vms) {
      const overflow_request request{north, objective, {site(north, reported[0]), site(south, reported[1])}};
      if (vm.decide(request, random(), now).order.front() == south) left += 0.1;
    }
    queued[0] = std::clamp(queued[0] + home_rate * (1 - left) - served, 0.0, 50.0);
    queued[1] = std::clamp(queued[1] + remote_rate + home_rate * left - served, 0.0, 50.0);
    if (tick < warm_up) continue;
    result.remote_wait += queued[1] / (ticks - warm_up);
    left_in_second += left / 100;
    if (tick % 100 != 99) continue;
    result.least = std::min(result.least, left_in_second);
    result.most = std::max(result.most, left_in_second);
    left_in_second = 0;
  }
  return result;
}

// Load pattern: most callers are in one data centre, and all VMs decide from the same old reports.
TEST_CASE("Several VMs that decide alike settle at a share that serves both data centres") {
  const auto result = settle(12, 5);
  CAPTURE(result.least, result.most, result.remote_wait);
  // A sixth has to leave; the destination has room for 0.41.
  CHECK(result.least > 0.05);
  CHECK(result.most < 0.4);
  CHECK(result.remote_wait < 2);
}

// Guards against an overflow that pushes callers at the destination out when both are near their limits.
TEST_CASE("Several VMs leave callers at a busy destination their room") {
  const auto result = settle(15, 9);
  CAPTURE(result.least, result.most, result.remote_wait);
  CHECK(result.remote_wait < 20);
  CHECK(settle(15, 11).most < 0.02);
}

TEST_CASE("Settings out of range are refused with the name of the field") {
  CHECK(validate({}));
  const auto refused = [](auto change, const char* field) {
    overflow_settings settings;
    change(settings);
    const auto checked = validate(settings);
    return !checked && checked.error().kind == error_kind::invalid_settings &&
           checked.error().message.find(field) != std::string::npos;
  };
  CHECK(refused([](auto& it) { it.crossing_cost = milliseconds{-1}; }, "crossing_cost"));
  CHECK(refused([](auto& it) { it.crossing_delay = seconds{61}; }, "crossing_delay"));
  CHECK(refused([](auto& it) { it.relevant_wait = std::numeric_limits<double>::quiet_NaN(); },
                "relevant_wait"));
  CHECK(refused([](auto& it) { it.max_remote_wait = {}; }, "max_remote_wait"));
  CHECK(refused([](auto& it) { it.primary_weight = 0.5; }, "primary_weight"));
  CHECK(refused([](auto& it) { it.max_step = 1.5; }, "max_step"));
  CHECK(refused([](auto& it) { it.interval = {}; }, "interval"));
  CHECK(refused([](auto& it) { it.report_lifetime = {}; }, "report_lifetime"));
}

}  // namespace
}  // namespace bulrushlift::sql
