#include "base/metrics.h"

#include <fmt/format.h>

#include <array>
#include <iterator>

namespace bulrushlift {
namespace {

namespace acc = boost::accumulators;

constexpr std::array<double, 3> quantiles{0.5, 0.9, 0.99};

std::string label_text(const metric_labels& labels) {
  std::string text;
  for (const auto& [name, value] : labels) {
    if (!text.empty()) text.push_back(',');
    text += name;
    text += "=\"";
    for (const char c : value) {
      if (c == '"' || c == '\\') text.push_back('\\');
      text += c == '\n' ? std::string_view{"\\n"} : std::string_view{&c, 1};
    }
    text.push_back('"');
  }
  return text;
}

std::string braced(const std::string& labels) { return labels.empty() ? "" : "{" + labels + "}"; }

void append_summary(std::string& out, const std::string& name, const std::string& labels,
                    const metric_summary& summary) {
  auto it = std::back_inserter(out);
  const auto separator = labels.empty() ? "" : ",";
  for (const auto probability : quantiles) {
    fmt::format_to(it, "bulrushlift_{}{{{}{}quantile=\"{}\"}} {}\n", name, labels, separator, probability,
                   summary.quantile(probability));
  }
  fmt::format_to(it, "bulrushlift_{}_sum{} {}\n", name, braced(labels), summary.sum());
  fmt::format_to(it, "bulrushlift_{}_count{} {}\n", name, braced(labels), summary.count());
}

template <class Family>
void append_plain(std::string& out, const Family& families, std::string_view type) {
  auto it = std::back_inserter(out);
  for (const auto& [name, series] : families) {
    fmt::format_to(it, "# TYPE bulrushlift_{} {}\n", name, type);
    for (const auto& [labels, metric] : series) {
      fmt::format_to(it, "bulrushlift_{}{} {}\n", name, braced(labels), metric.value());
    }
  }
}

}  // namespace

metric_summary::metric_summary() : values_(acc::tag::extended_p_square::probabilities = quantiles) {}

void metric_summary::record(std::chrono::nanoseconds span) {
  values_(std::chrono::duration<double>(span).count());
}

std::uint64_t metric_summary::count() const { return acc::count(values_); }
double metric_summary::sum() const { return acc::sum(values_); }
double metric_summary::max() const { return count() == 0 ? 0.0 : acc::max(values_); }

double metric_summary::quantile(double probability) const {
  if (count() == 0) return 0.0;
  return acc::quantile(values_, acc::quantile_probability = probability);
}

metric_counter& metrics::counter(std::string_view name, const metric_labels& labels) {
  return counters_[std::string{name}][label_text(labels)];
}

metric_gauge& metrics::gauge(std::string_view name, const metric_labels& labels) {
  return gauges_[std::string{name}][label_text(labels)];
}

metric_summary& metrics::summary(std::string_view name, const metric_labels& labels) {
  return summaries_[std::string{name}][label_text(labels)];
}

std::string metrics::exposition() const {
  std::string out;
  append_plain(out, counters_, "counter");
  append_plain(out, gauges_, "gauge");
  for (const auto& [name, series] : summaries_) {
    fmt::format_to(std::back_inserter(out), "# TYPE bulrushlift_{} summary\n", name);
    for (const auto& [labels, summary] : series) append_summary(out, name, labels, summary);
  }
  return out;
}

}  // namespace bulrushlift
