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
/// Share of the reads that run on replicas, against an observer that knows the
/// true points and slots, under several kinds of lag and policies of routing.
/// One group of three targets is simulated. Prints one JSON object a line.

namespace bulrushlift {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// Lag of a replica as a function of time.
using lag_function = std::function<duration(duration)>;

struct lag_case {
  std::string name;
  std::vector<lag_function> replicas;
};

struct policy {
  std::string name;
  read_options options;
  bool uses_replicas = true;
};

struct load {
  std::size_t sessions = 0;
  /// Reads that need no point but this age, in percent; the others follow their session's write.
  unsigned aged_percent = 30;
};

struct figures {
  std::uint64_t reads = 0;
  std::uint64_t possible = 0;  ///< The observer could send them to a replica at once.
  std::uint64_t possible_and_done = 0;
  std::uint64_t fresh = 0;  ///< A replica holds the data, busy or not.
  std::uint64_t fresh_and_done = 0;
  std::uint64_t on_replica = 0;
  std::uint64_t behind = 0;
  std::vector<duration> times;
};

class simulation {
 public:
  simulation(const lag_case& lag, const policy& used, load offered, std::uint64_t seed)
      : lag_(lag), policy_(used), load_(offered), random_(seed) {
    for (std::size_t i = 0; i <= lag.replicas.size(); ++i) targets_.push_back({});
  }

  figures run() {
    for (std::size_t i = 0; i < load_.sessions; ++i) after(random_time(think_time), [this] { write(); });
    after(duration{}, [this] { poll(); });
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
    std::uint64_t applied = 0;
    std::uint64_t known = 0;
    duration known_at{};
    double rate = 0;
    std::uint32_t slots_in_use = 0;
  };
  struct sample {
    duration sent_at{};
    std::uint64_t position = 0;
  };
  struct read {
    read_requirements needs;
    duration started{};
    bool is_possible = false;
    bool is_fresh = false;
    unsigned reads_left = 0;
  };

  static constexpr duration run_time = seconds{20};
  static constexpr duration hop = milliseconds{1};
  static constexpr duration service_time = microseconds{500};
  static constexpr duration think_time = milliseconds{10};
  static constexpr duration poll_interval = milliseconds{100};
  static constexpr std::uint32_t slots = 2;
  static constexpr unsigned reads_a_write = 9;

  void after(duration span, std::function<void()> run) {
    events_.push({now_ + span, ++order_, std::move(run)});
  }
  duration random_time(duration mean) {
    const auto count = static_cast<double>(mean.count());
    return duration{static_cast<duration::rep>(std::exponential_distribution<double>{1 / count}(random_))};
  }
  time_point as_time(duration at) const { return time_point{seconds{1'000}} + at; }

  /// The primary appends an entry, the replicas apply it after their lags, and the owner hears of each
  /// point one hop later. The write is acknowledged when the first replica reports it.
  void write() {
    const auto position = ++targets_[0].applied;
    after(hop, [this, position] { learn(0, position); });
    auto acknowledged = std::make_shared<bool>(false);
    for (std::size_t i = 1; i < targets_.size(); ++i) {
      const auto lag = lag_.replicas[i - 1](now_);
      after(lag, [this, i, position] { targets_[i].applied = std::max(targets_[i].applied, position); });
      after(lag + hop, [this, i, position, acknowledged] {
        learn(i, targets_[i].applied);
        if (std::exchange(*acknowledged, true)) return;
        next_read(position, reads_a_write);
      });
    }
  }

  void learn(std::size_t i, std::uint64_t position) {
    auto& it = targets_[i];
    if (position <= it.known) return;
    const std::chrono::duration<double> span = now_ - it.known_at;
    const auto rate = static_cast<double>(position - it.known) / std::max(span.count(), 1e-4);
    it.rate += 0.1 * (rate - it.rate);
    it.known = position;
    it.known_at = now_;
  }

  /// A poll round: the point of the primary becomes a freshness sample.
  void poll() {
    const auto sent_at = now_;
    after(2 * hop, [this, sent_at, position = targets_[0].applied] {
      samples_.push_back({sent_at, position});
      if (samples_.size() > 64) samples_.pop_front();
    });
    after(poll_interval, [this] { poll(); });
  }

  std::optional<duration> data_age(std::uint64_t position) const {
    const auto it = std::find_if(samples_.rbegin(), samples_.rend(),
                                 [position](const sample& item) { return item.position <= position; });
    if (it == samples_.rend()) return std::nullopt;
    return now_ - it->sent_at;
  }

  void next_read(std::uint64_t position, unsigned reads_left) {
    if (reads_left == 0) {
      after(random_time(think_time), [this] { write(); });
      return;
    }
    after(random_time(think_time), [this, position, reads_left] {
      read it;
      it.started = now_;
      it.reads_left = reads_left - 1;
      it.needs.required_point = log_point{term_id{1}, log_position{position}};
      it.needs.first_routed = as_time(now_);
      it.needs.deadline = as_time(now_ + seconds{1});
      const bool is_aged = std::uniform_int_distribution<unsigned>{0, 99}(random_) < load_.aged_percent;
      if (is_aged) {
        it.needs.required_point.reset();
        it.needs.maximum_age = milliseconds{500};
      }
      it.is_possible = is_possible(it.needs, true);
      it.is_fresh = is_possible(it.needs, false);
      route(it);
    });
  }

  bool is_possible(const read_requirements& needs, bool needs_slot) const {
    for (std::size_t i = 1; i < targets_.size(); ++i) {
      const bool is_new = is_point_satisfied(needs, {term_id{1}, log_position{targets_[i].applied}});
      const auto age = data_age(targets_[i].applied);
      const bool is_young = !needs.maximum_age || (age && *age <= *needs.maximum_age);
      if (is_new && is_young && (!needs_slot || targets_[i].slots_in_use < slots)) return true;
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
      it.point = {term_id{1}, log_position{target.known}};
      it.data_age = data_age(target.known);
      it.point_age = now_ - target.known_at;
      it.load = target.slots_in_use;
      it.free_slots = slots - std::min(slots, target.slots_in_use);
      it.entries_per_second = target.rate;
      all.push_back(it);
    }
    return all;
  }

  void route(read it) {
    it.needs.queued_reads = static_cast<std::uint32_t>(waiting_.size());
    if (!policy_.uses_replicas) it.needs.is_primary_only = true;
    const auto decision = route_read(it.needs, candidates(), policy_.options, as_time(now_), random_());
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

  /// Routes the read again after `span`, or before when a slot becomes free.
  void wait(const read& it, duration span) {
    const auto id = ++last_waiting_;
    waiting_.emplace(id, it);
    after(span, [this, id] { wake(id); });
  }
  void wake(std::uint64_t id) {
    const auto it = waiting_.find(id);
    if (it == waiting_.end()) return;
    auto next = std::move(it->second);
    waiting_.erase(it);
    route(std::move(next));
  }

  void send(read it, std::size_t index) {
    ++targets_[index].slots_in_use;
    after(hop + service_time, [this, it = std::move(it), index] {
      const auto position = targets_[index].applied;
      after(hop, [this, it, index, position] { answer(it, index, position); });
    });
  }

  void answer(read it, std::size_t index, std::uint64_t position) {
    --targets_[index].slots_in_use;
    learn(index, position);
    const log_point point{term_id{1}, log_position{position}};
    if (index != 0 && !is_answer_sufficient(it.needs, point, data_age(position))) {
      ++figures_.behind;
      it.needs.is_primary_only = true;
      route(std::move(it));
    } else {
      count(it, index != 0);
      const auto required = it.needs.required_point ? it.needs.required_point->position.value() : position;
      next_read(required, it.reads_left);
    }
    if (!waiting_.empty()) wake(waiting_.begin()->first);
  }

  void count(const read& it, bool is_replica) {
    ++figures_.reads;
    figures_.on_replica += is_replica ? 1 : 0;
    figures_.possible += it.is_possible ? 1 : 0;
    figures_.possible_and_done += it.is_possible && is_replica ? 1 : 0;
    figures_.fresh += it.is_fresh ? 1 : 0;
    figures_.fresh_and_done += it.is_fresh && is_replica ? 1 : 0;
    figures_.times.push_back(now_ - it.started);
  }

  const lag_case& lag_;
  const policy& policy_;
  load load_;
  std::mt19937_64 random_;
  duration now_{};
  std::vector<target_state> targets_;
  std::deque<sample> samples_;
  std::map<std::uint64_t, read> waiting_;
  std::uint64_t last_waiting_ = 0;
  std::priority_queue<timed_event> events_;
  std::uint64_t order_ = 0;
  figures figures_;
};

lag_function constant(duration lag) {
  return [lag](duration) { return lag; };
}

/// Applies nothing in the first part of each second.
lag_function pausing(duration pause) {
  return [pause](duration at) {
    const auto in_second = at % duration{seconds{1}};
    return in_second < pause ? pause - in_second + milliseconds{1} : duration{milliseconds{1}};
  };
}

double as_ms(duration span) { return std::chrono::duration<double, std::milli>(span).count(); }

double share(std::uint64_t part, std::uint64_t whole) {
  return whole == 0 ? 1.0 : static_cast<double>(part) / static_cast<double>(whole);
}

void print(const lag_case& lag, const policy& used, load offered, figures it) {
  std::ranges::sort(it.times);
  fmt::print(
      "{{\"lag\":\"{}\",\"policy\":\"{}\",\"sessions\":{},\"reads\":{},\"on_replica\":{:.4f},"
      "\"share_of_fresh\":{:.4f},\"share_of_free\":{:.4f},\"behind\":{:.4f},\"median_ms\":{:.2f},\"p99_ms\":{"
      ":.2f}}}\n",
      lag.name, used.name, offered.sessions, it.reads,
      static_cast<double>(it.on_replica) / static_cast<double>(it.reads), share(it.fresh_and_done, it.fresh),
      share(it.possible_and_done, it.possible),
      static_cast<double>(it.behind) / static_cast<double>(it.reads), as_ms(it.times[it.times.size() / 2]),
      as_ms(it.times[it.times.size() * 99 / 100]));
}

}  // namespace
}  // namespace bulrushlift

int main() {
  using namespace bulrushlift;
  const std::vector<lag_case> lags{
      {"both 1 ms", {constant(milliseconds{1}), constant(milliseconds{1})}},
      {"1 ms and 20 ms", {constant(milliseconds{1}), constant(milliseconds{20})}},
      {"1 ms and 2 s", {constant(milliseconds{1}), constant(seconds{2})}},
      {"both 30 ms", {constant(milliseconds{30}), constant(milliseconds{30})}},
      {"pauses of 200 ms", {pausing(milliseconds{200}), constant(milliseconds{5})}},
  };
  const std::vector<policy> policies{
      {"primary only", {}, false},
      {"no wait", {.replica_wait = duration{}}},
      {"wait 2 ms", {.replica_wait = milliseconds{2}}},
      {"wait 5 ms", {}},
  };
  for (const auto& lag : lags) {
    for (const std::size_t sessions : {4, 12, 24}) {
      for (const auto& used : policies) {
        const load offered{sessions, 30};
        print(lag, used, offered, simulation{lag, used, offered, 20261204}.run());
      }
    }
  }
}
