#include <fmt/core.h>

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "database/read_router.h"

/// @file
/// Measures the share of reads that run on replicas under several replication lags and
/// routing policies, compared with an observer that knows the true log positions and
/// free slots. One group of three targets is simulated. Prints one JSON object per line.

namespace bulrushlift {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// Replication lag of a replica as a function of the simulated time.
using lag_function = std::function<duration(duration)>;

struct lag_case {
  std::string name;
  std::vector<lag_function> replicas;
};

struct routing_policy {
  std::string name;
  read_options options;
  bool uses_replicas = true;
};

struct load {
  std::size_t sessions = 0;
  /// Percentage of reads that require a maximum data age instead of a log point. The others must see the
  /// last write of their session.
  unsigned bounded_staleness_percent = 30;
};

struct read_figures {
  std::uint64_t reads = 0;
  std::uint64_t replica_free = 0;  ///< Reads for which a replica was fresh enough and had a free slot.
  std::uint64_t replica_free_and_used = 0;
  std::uint64_t replica_fresh = 0;  ///< Reads for which a replica was fresh enough, busy or not.
  std::uint64_t replica_fresh_and_used = 0;
  std::uint64_t on_replica = 0;
  std::uint64_t stale_answers = 0;
  std::vector<duration> latencies;
};

class simulation {
 public:
  simulation(const lag_case& lag, const routing_policy& routing, load offered, std::uint64_t seed)
      : lag_(lag), policy_(routing), load_(offered), random_(seed) {
    for (std::size_t i = 0; i <= lag.replicas.size(); ++i) targets_.push_back({});
  }

  read_figures run() {
    for (std::size_t i = 0; i < load_.sessions; ++i)
      schedule_after(random_time(think_time), [this] { write(); });
    schedule_after(duration{}, [this] { poll(); });
    while (!events_.empty() && events_.top().when < run_time) {
      auto event = events_.top();
      events_.pop();
      now_ = event.when;
      event.run();
    }
    return std::move(figures_);
  }

 private:
  struct timed_event {
    duration when;
    std::uint64_t order = 0;
    std::function<void()> run;
    friend bool operator<(const timed_event& left, const timed_event& right) {
      return std::pair{left.when, left.order} > std::pair{right.when, right.order};
    }
  };
  struct target_state {
    std::uint64_t applied_position = 0;
    std::uint64_t known_position = 0;
    duration known_position_at{};
    double rate = 0;
    std::uint32_t slots_in_use = 0;
  };
  struct sample {
    duration sent_at{};
    std::uint64_t position = 0;
  };
  struct read {
    read_requirements requirements;
    duration started_at{};
    bool can_replica_serve = false;
    bool is_fresh = false;
    unsigned reads_left = 0;
  };

  static constexpr duration run_time = seconds{20};
  static constexpr duration network_latency = milliseconds{1};
  static constexpr duration service_time = microseconds{500};
  static constexpr duration think_time = milliseconds{10};
  static constexpr duration poll_interval = milliseconds{100};
  static constexpr std::uint32_t slots = 2;
  static constexpr unsigned reads_per_write = 9;

  void schedule_after(duration span, std::function<void()> run) {
    events_.push({now_ + span, ++order_, std::move(run)});
  }
  duration random_time(duration mean) {
    const auto count = static_cast<double>(mean.count());
    return duration{static_cast<duration::rep>(std::exponential_distribution<double>{1 / count}(random_))};
  }
  time_point as_time(duration at) const { return time_point{seconds{1'000}} + at; }

  /// Appends an entry on the primary. Each replica applies it after its lag, and the owner learns of each
  /// position one network latency later. The write is acknowledged when the first replica reports it.
  void write() {
    const auto position = ++targets_[0].applied_position;
    schedule_after(network_latency, [this, position] { update_known_position(0, position); });
    auto acknowledged = std::make_shared<bool>(false);
    for (std::size_t i = 1; i < targets_.size(); ++i) {
      const auto lag = lag_.replicas[i - 1](now_);
      schedule_after(lag, [this, i, position] {
        targets_[i].applied_position = std::max(targets_[i].applied_position, position);
      });
      schedule_after(lag + network_latency, [this, i, position, acknowledged] {
        update_known_position(i, targets_[i].applied_position);
        if (std::exchange(*acknowledged, true)) return;
        next_read(position, reads_per_write);
      });
    }
  }

  void update_known_position(std::size_t i, std::uint64_t position) {
    auto& it = targets_[i];
    if (position <= it.known_position) return;
    const std::chrono::duration<double> span = now_ - it.known_position_at;
    const auto rate = static_cast<double>(position - it.known_position) / std::max(span.count(), 1e-4);
    it.rate += 0.1 * (rate - it.rate);
    it.known_position = position;
    it.known_position_at = now_;
  }

  /// Polls the primary; its log position becomes a freshness sample.
  void poll() {
    const auto sent_at = now_;
    schedule_after(2 * network_latency, [this, sent_at, position = targets_[0].applied_position] {
      samples_.push_back({sent_at, position});
      if (samples_.size() > 64) samples_.pop_front();
    });
    schedule_after(poll_interval, [this] { poll(); });
  }

  std::optional<duration> data_age(std::uint64_t position) const {
    const auto it = std::find_if(samples_.rbegin(), samples_.rend(),
                                 [position](const sample& item) { return item.position <= position; });
    if (it == samples_.rend()) return std::nullopt;
    return now_ - it->sent_at;
  }

  void next_read(std::uint64_t position, unsigned reads_left) {
    if (reads_left == 0) {
      schedule_after(random_time(think_time), [this] { write(); });
      return;
    }
    schedule_after(random_time(think_time), [this, position, reads_left] {
      read it;
      it.started_at = now_;
      it.reads_left = reads_left - 1;
      it.requirements.required_point = log_point{term_id{1}, log_position{position}};
      it.requirements.first_routed = as_time(now_);
      it.requirements.deadline = as_time(now_ + seconds{1});
      const bool is_bounded_staleness =
          std::uniform_int_distribution<unsigned>{0, 99}(random_) < load_.bounded_staleness_percent;
      if (is_bounded_staleness) {
        it.requirements.required_point.reset();
        it.requirements.maximum_age = milliseconds{500};
      }
      it.can_replica_serve = can_replica_serve(it.requirements, true);
      it.is_fresh = can_replica_serve(it.requirements, false);
      route(it);
    });
  }

  bool can_replica_serve(const read_requirements& requirements, bool needs_slot) const {
    for (std::size_t i = 1; i < targets_.size(); ++i) {
      const bool has_required_position =
          is_point_satisfied(requirements, {term_id{1}, log_position{targets_[i].applied_position}});
      const auto age = data_age(targets_[i].applied_position);
      const bool is_age_allowed = !requirements.maximum_age || (age && *age <= *requirements.maximum_age);
      if (has_required_position && is_age_allowed && (!needs_slot || targets_[i].slots_in_use < slots))
        return true;
    }
    return false;
  }

  std::vector<read_candidate> candidates() const {
    std::vector<read_candidate> all;
    for (std::size_t i = 0; i < targets_.size(); ++i) {
      const auto& target = targets_[i];
      read_candidate it;
      it.target = target_id{std::to_string(i)};
      it.is_primary = i == 0;
      it.is_reachable = it.is_consistent = true;
      it.point = {term_id{1}, log_position{target.known_position}};
      it.data_age = data_age(target.known_position);
      it.point_age = now_ - target.known_position_at;
      it.load = target.slots_in_use;
      it.free_slots = slots - std::min(slots, target.slots_in_use);
      it.entries_per_second = target.rate;
      all.push_back(it);
    }
    return all;
  }

  void route(read it) {
    it.requirements.queued_reads = static_cast<std::uint32_t>(waiting_.size());
    if (!policy_.uses_replicas) it.requirements.is_primary_only = true;
    const auto decision =
        route_read(it.requirements, candidates(), policy_.options, as_time(now_), random_());
    if (const auto* run = std::get_if<run_read>(&decision)) {
      const auto index = static_cast<std::size_t>(std::stoul(run->target.str()));
      if (targets_[index].slots_in_use >= slots) {
        wait(it, seconds{1});
      } else {
        send(std::move(it), index);
      }
    } else if (std::holds_alternative<wait_for_target>(decision)) {
      const auto until = std::get<wait_for_target>(decision).until - as_time(now_);
      wait(it, std::max(until, duration{microseconds{50}}));
    }
  }

  /// Routes the read again after `span`, or earlier if an answer frees a slot.
  void wait(const read& it, duration span) {
    const auto id = ++last_waiting_;
    waiting_.emplace(id, it);
    schedule_after(span, [this, id] { retry(id); });
  }
  void retry(std::uint64_t id) {
    const auto it = waiting_.find(id);
    if (it == waiting_.end()) return;
    auto next = std::move(it->second);
    waiting_.erase(it);
    route(std::move(next));
  }

  void send(read it, std::size_t index) {
    ++targets_[index].slots_in_use;
    schedule_after(network_latency + service_time, [this, it = std::move(it), index] {
      const auto position = targets_[index].applied_position;
      schedule_after(network_latency, [this, it, index, position] { answer(it, index, position); });
    });
  }

  void answer(read it, std::size_t index, std::uint64_t position) {
    --targets_[index].slots_in_use;
    update_known_position(index, position);
    const log_point point{term_id{1}, log_position{position}};
    if (index != 0 && !is_answer_sufficient(it.requirements, point, data_age(position))) {
      ++figures_.stale_answers;
      it.requirements.is_primary_only = true;
      route(std::move(it));
    } else {
      count(it, index != 0);
      const auto required =
          it.requirements.required_point ? it.requirements.required_point->position.value() : position;
      next_read(required, it.reads_left);
    }
    if (!waiting_.empty()) retry(waiting_.begin()->first);
  }

  void count(const read& it, bool is_replica) {
    ++figures_.reads;
    figures_.on_replica += is_replica ? 1 : 0;
    figures_.replica_free += it.can_replica_serve ? 1 : 0;
    figures_.replica_free_and_used += it.can_replica_serve && is_replica ? 1 : 0;
    figures_.replica_fresh += it.is_fresh ? 1 : 0;
    figures_.replica_fresh_and_used += it.is_fresh && is_replica ? 1 : 0;
    figures_.latencies.push_back(now_ - it.started_at);
  }

  const lag_case& lag_;
  const routing_policy& policy_;
  load load_;
  std::mt19937_64 random_;
  duration now_{};
  std::vector<target_state> targets_;
  std::deque<sample> samples_;
  std::map<std::uint64_t, read> waiting_;
  std::uint64_t last_waiting_ = 0;
  std::priority_queue<timed_event> events_;
  std::uint64_t order_ = 0;
  read_figures figures_;
};

lag_function constant_lag(duration lag) {
  return [lag](duration) { return lag; };
}

/// Lag of a replica that applies nothing during the first `pause` of each second.
lag_function pausing_lag(duration pause) {
  return [pause](duration at) {
    const auto time_in_second = at % duration{seconds{1}};
    return time_in_second < pause ? pause - time_in_second + milliseconds{1} : duration{milliseconds{1}};
  };
}

double as_ms(duration span) { return std::chrono::duration<double, std::milli>(span).count(); }

double share(std::uint64_t part, std::uint64_t whole) {
  return whole == 0 ? 1.0 : static_cast<double>(part) / static_cast<double>(whole);
}

void print(const lag_case& lag, const routing_policy& routing, load offered, read_figures it) {
  std::ranges::sort(it.latencies);
  fmt::print(
      "{{\"lag\":\"{}\",\"policy\":\"{}\",\"sessions\":{},\"reads\":{},\"on_replica\":{:.4f},"
      "\"share_of_fresh\":{:.4f},\"share_of_free\":{:.4f},\"behind\":{:.4f},\"median_ms\":{:.2f},\"p99_ms\":{"
      ":.2f}}}\n",
      lag.name, routing.name, offered.sessions, it.reads,
      static_cast<double>(it.on_replica) / static_cast<double>(it.reads),
      share(it.replica_fresh_and_used, it.replica_fresh), share(it.replica_free_and_used, it.replica_free),
      static_cast<double>(it.stale_answers) / static_cast<double>(it.reads),
      as_ms(it.latencies[it.latencies.size() / 2]), as_ms(it.latencies[it.latencies.size() * 99 / 100]));
}

}  // namespace
}  // namespace bulrushlift

int main() {
  using namespace bulrushlift;
  const std::vector<lag_case> lags{
      {"both 1 ms", {constant_lag(milliseconds{1}), constant_lag(milliseconds{1})}},
      {"1 ms and 20 ms", {constant_lag(milliseconds{1}), constant_lag(milliseconds{20})}},
      {"1 ms and 2 s", {constant_lag(milliseconds{1}), constant_lag(seconds{2})}},
      {"both 30 ms", {constant_lag(milliseconds{30}), constant_lag(milliseconds{30})}},
      {"pauses of 200 ms", {pausing_lag(milliseconds{200}), constant_lag(milliseconds{5})}},
  };
  const std::vector<routing_policy> policies{
      {"primary only", {}, false},
      {"no wait", {.replica_wait = duration{}}},
      {"wait 2 ms", {.replica_wait = milliseconds{2}}},
      {"wait 5 ms", {}},
  };
  for (const auto& lag : lags) {
    for (const std::size_t sessions : {4, 12, 24}) {
      for (const auto& routing : policies) {
        const load offered{sessions, 30};
        print(lag, routing, offered, simulation{lag, routing, offered, 20261204}.run());
      }
    }
  }
}
