#include "tools/rate_simulation.h"

#include <algorithm>
#include <array>
#include <random>

namespace bulrushlift {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr duration latency = milliseconds{1};
constexpr duration move_interval = seconds{2};
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

rate_simulation::rate_simulation(const rate_settings& settings)
    : settings_(settings), alive_(settings.vms, true), incarnations_(settings.vms, 0) {
  make_customers();
  make_traffic();
  tallies_.resize(customers_.size());
  levels_updated_at_.resize(customers_.size());
  for (const auto& each : customers_)
    bucket_levels_.push_back(static_cast<double>(each.share.capacity.value()));
}

void rate_simulation::make_customers() {
  for (std::size_t i = 0; i < settings_.customers; ++i) {
    const std::int64_t rate = customer_rates[i % customer_rates.size()];
    // The burst is half a second of the rate, but at least 10 requests.
    const auto burst = std::max<std::int64_t>(rate / 2, 10);
    customers_.push_back({"customer-" + std::to_string(i), {whole_tokens(rate), whole_tokens(burst)}});
  }
}

void rate_simulation::make_traffic() {
  for (std::size_t c = 0; c < customers_.size(); ++c) {
    std::mt19937_64 random{settings_.seed + c};
    double load_factor = settings_.load;
    if (c == 0 && settings_.scenario == rate_scenario::over_5) load_factor = 5;
    if (c == 0 && settings_.scenario == rate_scenario::over_20) load_factor = 20;
    const double rate =
        static_cast<double>(customers_[c].share.rate_per_second.value()) / 1'000 * load_factor;
    std::exponential_distribution<double> gap{rate};
    duration at = settings_.warm_up;
    while (true) {
      at += duration{static_cast<std::int64_t>(gap(random) * 1e9)};
      if (at >= settings_.warm_up + settings_.measured) break;
      std::size_t vm = random() % settings_.vms;
      if (settings_.scenario == rate_scenario::concentrated) vm = c % settings_.vms;
      if (settings_.scenario == rate_scenario::moving) {
        vm = (c + static_cast<std::size_t>(at / move_interval)) % settings_.vms;
      }
      requests_.push_back({at, c, vm});
    }
  }
  std::sort(requests_.begin(), requests_.end(), [](const auto& a, const auto& b) { return a.at < b.at; });
}

void rate_simulation::schedule(duration when, std::function<void()> task) {
  events_.push({std::max(when, now_), ++last_event_number_, std::move(task)});
}

void rate_simulation::at(time_point when, std::size_t vm, std::function<void()> task) {
  schedule(now_ + (when - now()), [this, vm, start = incarnations_[vm], run = std::move(task)] {
    if (alive_[vm] && incarnations_[vm] == start) run();
  });
}

bool rate_simulation::is_partitioned(std::size_t a, std::size_t b) const {
  return is_partitioned_ && (a < 2) != (b < 2);
}

void rate_simulation::send(std::size_t from, std::size_t to, std::function<void()> task) {
  if (now_ >= settings_.warm_up) ++messages_;
  if (is_partitioned(from, to) || !alive_[to]) return;
  at(now() + latency, to, std::move(task));
}

void rate_simulation::schedule_faults(const std::function<void(std::size_t)>& on_restart) {
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
    ++incarnations_[lost];
    on_restart(lost);
  });
}

void rate_simulation::run(const std::function<void(std::size_t, const rate_request&)>& on_request,
                          const std::function<void(std::size_t)>& on_restart) {
  schedule_faults(on_restart);
  std::vector<double> ideal = bucket_levels_;
  std::vector<duration> ideal_updated_at(customers_.size());
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
    // Callers of a lost VM connect to the next running one.
    while (!alive_[request.vm]) request.vm = (request.vm + 1) % vms();
    const auto& share = customers_[request.customer].share;
    auto& level = ideal[request.customer];
    level += seconds_of(now_ - ideal_updated_at[request.customer]) *
             static_cast<double>(share.rate_per_second.value());
    level = std::min(level, static_cast<double>(share.capacity.value()));
    ideal_updated_at[request.customer] = now_;
    ++tallies_[request.customer].sent;
    if (level >= 1'000) {
      level -= 1'000;
      ++tallies_[request.customer].ideal;
    }
    on_request(next++, request);
  }
}

void rate_simulation::record_decision(std::size_t index, bool is_admitted) {
  const auto& request = requests_[index];
  auto& tally = tallies_[request.customer];
  if (!is_admitted) {
    ++tally.refused;
    return;
  }
  ++tally.admitted;
  waits_ms_.push_back(static_cast<float>(seconds_of(now_ - request.at) * 1e3));
  const auto& share = customers_[request.customer].share;
  auto& level = bucket_levels_[request.customer];
  level += seconds_of(now_ - levels_updated_at_[request.customer]) *
           static_cast<double>(share.rate_per_second.value());
  level = std::min(level, static_cast<double>(share.capacity.value())) - 1'000;
  levels_updated_at_[request.customer] = now_;
  if (level < -0.001) tally.is_over = true;
}

rate_measures rate_simulation::measures() const {
  rate_measures result;
  std::uint64_t sent = 0;
  std::uint64_t refused = 0;
  for (const auto& each : tallies_) {
    if (each.is_over) ++result.customers_over;
    if (each.sent == 0) continue;
    // Requests waiting on a VM when it is lost count neither as admitted nor as refused.
    if (each.ideal * 100 < each.sent * 99) {
      result.over_rate_percent = 100.0 * static_cast<double>(each.admitted) / static_cast<double>(each.ideal);
      continue;
    }
    // As many refusals as the global bucket would make are rightful.
    const auto rightful = each.sent - each.ideal;
    const auto wrongful = each.refused > rightful ? each.refused - rightful : 0;
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
