#include "tools/rate_world.h"

#include <algorithm>
#include <array>
#include <random>

namespace bulrushlift {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr duration latency = milliseconds{1};
constexpr duration moving_period = seconds{2};
constexpr std::array customer_rates{2'000, 1'000, 500, 100, 50, 20, 10, 5};

double seconds_of(duration span) { return std::chrono::duration<double>(span).count(); }

}  // namespace

const char* name_of(rate_scenario scenario) noexcept {
  switch (scenario) {
    case rate_scenario::even:
      return "even";
    case rate_scenario::concentrated:
      return "concentrated";
    case rate_scenario::moving:
      return "moving";
    case rate_scenario::over_5:
      return "over_5";
    case rate_scenario::over_20:
      return "over_20";
    case rate_scenario::vm_lost:
      return "vm_lost";
    case rate_scenario::holder_lost:
      return "holder_lost";
    case rate_scenario::partition:
      break;
  }
  return "partition";
}

rate_world::rate_world(const rate_settings& settings)
    : settings_(settings), alive_(settings.vms, true), starts_(settings.vms, 0) {
  make_customers();
  make_traffic();
  tallies_.resize(customers_.size());
  settled_.resize(customers_.size());
  for (const auto& each : customers_) levels_.push_back(static_cast<double>(each.share.capacity.value()));
}

void rate_world::make_customers() {
  for (std::size_t i = 0; i < settings_.customers; ++i) {
    const std::int64_t rate = customer_rates[i % customer_rates.size()];
    // Half a second of the rate, and never less than 10 requests.
    const auto burst = std::max<std::int64_t>(rate / 2, 10);
    customers_.push_back({"customer-" + std::to_string(i), {whole_tokens(rate), whole_tokens(burst)}});
  }
}

void rate_world::make_traffic() {
  for (std::size_t c = 0; c < customers_.size(); ++c) {
    std::mt19937_64 random{settings_.seed + c};
    double factor = settings_.load;
    if (c == 0 && settings_.scenario == rate_scenario::over_5) factor = 5;
    if (c == 0 && settings_.scenario == rate_scenario::over_20) factor = 20;
    const double rate = static_cast<double>(customers_[c].share.rate_per_second.value()) / 1'000 * factor;
    std::exponential_distribution<double> gap{rate};
    duration at = settings_.warm_up;
    while (true) {
      at += duration{static_cast<std::int64_t>(gap(random) * 1e9)};
      if (at >= settings_.warm_up + settings_.measured) break;
      std::size_t vm = random() % settings_.vms;
      if (settings_.scenario == rate_scenario::concentrated) vm = c % settings_.vms;
      if (settings_.scenario == rate_scenario::moving) {
        vm = (c + static_cast<std::size_t>(at / moving_period)) % settings_.vms;
      }
      requests_.push_back({at, c, vm});
    }
  }
  std::sort(requests_.begin(), requests_.end(), [](const auto& a, const auto& b) { return a.at < b.at; });
}

void rate_world::schedule(duration when, std::function<void()> task) {
  events_.push({std::max(when, now_), ++events_made_, std::move(task)});
}

void rate_world::at(time_point when, std::size_t vm, std::function<void()> task) {
  schedule(now_ + (when - now()), [this, vm, start = starts_[vm], run = std::move(task)] {
    if (alive_[vm] && starts_[vm] == start) run();
  });
}

bool rate_world::is_cut(std::size_t a, std::size_t b) const { return is_partitioned_ && (a < 2) != (b < 2); }

void rate_world::send(std::size_t from, std::size_t to, std::function<void()> task) {
  if (now_ >= settings_.warm_up) ++messages_;
  if (is_cut(from, to) || !alive_[to]) return;
  at(now() + latency, to, std::move(task));
}

void rate_world::schedule_faults(const std::function<void(std::size_t)>& on_restart) {
  const auto begin = settings_.warm_up + settings_.measured / 3;
  const auto end = settings_.warm_up + settings_.measured / 2;
  if (settings_.scenario == rate_scenario::partition) {
    schedule(begin, [this] { is_partitioned_ = true; });
    schedule(end, [this] { is_partitioned_ = false; });
    return;
  }
  const bool loses_holder = settings_.scenario == rate_scenario::holder_lost;
  if (!loses_holder && settings_.scenario != rate_scenario::vm_lost) return;
  const auto lost = loses_holder ? holder_ : (holder_ + 1) % vms();
  schedule(begin, [this, lost] { alive_[lost] = false; });
  schedule(end, [this, lost, on_restart] {
    alive_[lost] = true;
    ++starts_[lost];
    on_restart(lost);
  });
}

void rate_world::run(const std::function<void(std::size_t, const rate_request&)>& on_request,
                     const std::function<void(std::size_t)>& on_restart) {
  schedule_faults(on_restart);
  std::vector<double> ideal = levels_;
  std::vector<duration> ideal_settled(customers_.size());
  std::size_t next = 0;
  while (next < requests_.size() || !events_.empty()) {
    if (!events_.empty() && (next == requests_.size() || events_.top().when <= requests_[next].at)) {
      auto task = events_.top().task;
      now_ = events_.top().when;
      events_.pop();
      task();
      if (now_ > settings_.warm_up + settings_.measured + seconds{1}) return;
      continue;
    }
    auto request = requests_[next];
    now_ = request.at;
    // Callers of a lost VM connect to the next one.
    while (!alive_[request.vm]) request.vm = (request.vm + 1) % vms();
    const auto& share = customers_[request.customer].share;
    auto& level = ideal[request.customer];
    level += seconds_of(now_ - ideal_settled[request.customer]) *
             static_cast<double>(share.rate_per_second.value());
    level = std::min(level, static_cast<double>(share.capacity.value()));
    ideal_settled[request.customer] = now_;
    ++tallies_[request.customer].sent;
    if (level >= 1'000) {
      level -= 1'000;
      ++tallies_[request.customer].ideal;
    }
    on_request(next++, request);
  }
}

void rate_world::decide(std::size_t index, bool is_admitted) {
  const auto& request = requests_[index];
  auto& tally = tallies_[request.customer];
  if (!is_admitted) {
    ++tally.refused;
    return;
  }
  ++tally.admitted;
  waits_ms_.push_back(static_cast<float>(seconds_of(now_ - request.at) * 1e3));
  const auto& share = customers_[request.customer].share;
  auto& level = levels_[request.customer];
  level += seconds_of(now_ - settled_[request.customer]) * static_cast<double>(share.rate_per_second.value());
  level = std::min(level, static_cast<double>(share.capacity.value())) - 1'000;
  settled_[request.customer] = now_;
  if (level < -0.001) tally.is_over = true;
}

rate_measures rate_world::measures() const {
  rate_measures result;
  std::uint64_t sent = 0;
  std::uint64_t refused = 0;
  for (const auto& each : tallies_) {
    if (each.is_over) ++result.customers_over;
    if (each.sent == 0) continue;
    // Requests on a VM that was lost are neither admitted nor refused.
    if (each.ideal * 100 < each.sent * 99) {
      result.over_rate_percent = 100.0 * static_cast<double>(each.admitted) / static_cast<double>(each.ideal);
      continue;
    }
    // What the global bucket refuses is not wrongful.
    const auto due = each.sent - each.ideal;
    const auto wrongful = each.refused > due ? each.refused - due : 0;
    sent += each.sent;
    refused += wrongful;
    const double served = 100.0 - 100.0 * static_cast<double>(wrongful) / static_cast<double>(each.ideal);
    result.worst_served_percent = std::min(result.worst_served_percent, served);
  }
  if (sent > 0) result.wrongful_percent = 100.0 * static_cast<double>(refused) / static_cast<double>(sent);
  auto waits = waits_ms_;
  std::sort(waits.begin(), waits.end());
  if (!waits.empty()) {
    result.wait_p50_ms = static_cast<double>(waits[waits.size() / 2]);
    result.wait_p99_ms = static_cast<double>(waits[waits.size() * 99 / 100]);
  }
  result.messages_per_vm_second =
      static_cast<double>(messages_) / static_cast<double>(settings_.vms) / seconds_of(settings_.measured);
  return result;
}

}  // namespace bulrushlift
