#pragma once

// The quantile header of Boost 1.74 uses std::ostringstream without its include.
#include <sstream>

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square_quantile.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>
#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

/// @file
/// Counters, gauges and latency summaries of one process, and their text
/// exposition format. Not thread-safe: a process has one reactor thread.
///
///     metrics registry;
///     auto& refused = registry.counter("refused_total", {{"kind", "over_rate"}});
///     refused.add();

namespace bulrushlift {

/// Label names and values of one series.
using metric_labels = std::vector<std::pair<std::string, std::string>>;

/// A value that only grows.
class metric_counter {
 public:
  void add(std::uint64_t n = 1) noexcept { value_ += n; }
  [[nodiscard]] std::uint64_t value() const noexcept { return value_; }

 private:
  std::uint64_t value_ = 0;
};

/// A value that is set.
class metric_gauge {
 public:
  void set(double value) noexcept { value_ = value; }
  [[nodiscard]] double value() const noexcept { return value_; }

 private:
  double value_ = 0;
};

/// Count, sum, maximum and the quantiles 0.5, 0.9 and 0.99 of durations, in seconds.
class metric_summary {
 public:
  metric_summary();

  void record(std::chrono::nanoseconds span);

  [[nodiscard]] std::uint64_t count() const;
  [[nodiscard]] double sum() const;
  [[nodiscard]] double max() const;
  /// @param probability one of the three quantiles.
  [[nodiscard]] double quantile(double probability) const;

 private:
  using accumulator = boost::accumulators::accumulator_set<
      double, boost::accumulators::stats<boost::accumulators::tag::count, boost::accumulators::tag::sum,
                                         boost::accumulators::tag::max,
                                         boost::accumulators::tag::extended_p_square_quantile>>;
  accumulator values_;
};

/// All series of a process. References stay valid for its life.
class metrics {
 public:
  [[nodiscard]] metric_counter& counter(std::string_view name, const metric_labels& labels = {});
  [[nodiscard]] metric_gauge& gauge(std::string_view name, const metric_labels& labels = {});
  [[nodiscard]] metric_summary& summary(std::string_view name, const metric_labels& labels = {});

  /// @return all series in the text exposition format, names prefixed "bulrushlift_".
  [[nodiscard]] std::string exposition() const;

 private:
  template <class Metric>
  using family_map = std::map<std::string, std::map<std::string, Metric>, std::less<>>;

  family_map<metric_counter> counters_;
  family_map<metric_gauge> gauges_;
  family_map<metric_summary> summaries_;
};

}  // namespace bulrushlift
