#include <rapidcheck.h>
#include <algorithm>
#include <catch2/catch.hpp>
#include <vector>

#include "sql/freshness.h"

// The model records when each commit was acknowledged_commit. At any time and with any samples, the
// point that a read requires must cover every commit that was acknowledged_commit longer ago than the
// age bound.

namespace bulrushlift::sql {
namespace {

using std::chrono::milliseconds;

struct acknowledged_commit {
  time_point time{};
  log_point point;
};

/// Model of a primary on which commits, failovers and samples happen in random order.
struct primary_model {
  time_point now{std::chrono::seconds{100}};
  std::uint64_t term = 1;
  std::uint64_t position = 1;
  std::vector<acknowledged_commit> commits;
  freshness_log samples;

  [[nodiscard]] log_point newest() const { return {term_id{term}, log_position{position}}; }

  void commit() {
    ++position;
    commits.push_back({now, newest()});
  }
  void promote() {
    // The new primary may lack the last two commits; reads need not see those that it lacks.
    const auto lost = std::min<std::uint64_t>(position - 1, 2);
    position -= lost;
    std::erase_if(commits, [&](const acknowledged_commit& each) {
      return each.point.position > log_position{position};
    });
    ++term;
  }
  void sample(milliseconds answer_delay) {
    const auto sent = now;
    now += answer_delay;
    samples.add({sent, newest()});
  }
};

TEST_CASE("No read misses a commit that is older than its bound") {
  const bool holds = rc::check([] {
    primary_model model;
    const auto steps = *rc::gen::container<std::vector<int>>(200, rc::gen::inRange(0, 10));
    for (const auto step : steps) {
      model.now += milliseconds{*rc::gen::inRange(0, 120)};
      if (step < 5) {
        model.commit();
      } else if (step < 9) {
        model.sample(milliseconds{*rc::gen::inRange(0, 30)});
      } else {
        model.promote();
      }
      const milliseconds bound{*rc::gen::inRange(200, 2'000)};
      database_route route;
      route.level = consistency::bounded_staleness;
      route.max_staleness = bound;
      const auto required = required_point(route, std::nullopt, model.samples, model.now);
      if (!required) continue;
      for (const auto& each : model.commits) {
        if (each.time < model.now - bound) RC_ASSERT(each.point <= *required);
      }
    }
  });
  CHECK(holds);
}

}  // namespace
}  // namespace bulrushlift::sql
