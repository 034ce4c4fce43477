#include "base/metrics.h"

#include <catch2/catch.hpp>

namespace bulrushlift {
namespace {

TEST_CASE("series of one name are listed under one type line") {
  metrics registry;
  registry.counter("refused_total", {{"kind", "over_rate"}}).add(2);
  registry.counter("refused_total", {{"kind", "over\"burst"}}).add();
  registry.gauge("members").set(5);
  const auto text = registry.exposition();
  CHECK(text ==
        "# TYPE bulrushlift_refused_total counter\n"
        "bulrushlift_refused_total{kind=\"over\\\"burst\"} 1\n"
        "bulrushlift_refused_total{kind=\"over_rate\"} 2\n"
        "# TYPE bulrushlift_members gauge\n"
        "bulrushlift_members 5\n");
}

// Guards against quantiles in another unit than the sum.
TEST_CASE("a summary reports seconds") {
  metric_summary summary;
  for (int i = 1; i <= 1'000; ++i) summary.record(std::chrono::milliseconds{i});
  CHECK(summary.count() == 1'000);
  CHECK(summary.max() == Approx(1.0));
  CHECK(summary.sum() == Approx(500.5));
  CHECK(summary.quantile(0.5) == Approx(0.5).margin(0.02));
  CHECK(summary.quantile(0.99) == Approx(0.99).margin(0.02));
}

}  // namespace
}  // namespace bulrushlift
