#include "database/simulated_network_fake.h"

namespace bulrushlift::simulation {

simulated_network::simulated_network(std::size_t nodes, std::uint32_t seed) : random_(seed), nodes_(nodes) {}

time_point simulated_network::clock(node_id node) const {
  const auto elapsed = now_ - start_;
  return start_ + elapsed + elapsed * nodes_[node].clock_permille / 1'000;
}

void simulated_network::set_clock_rate(node_id node, int permille) { nodes_[node].clock_permille = permille; }

void simulated_network::schedule(duration delay, callback run) {
  tasks_.push({now_ + delay, ++last_order_, std::move(run)});
}

void simulated_network::advance(duration step) {
  const auto end = now_ + step;
  while (!tasks_.empty() && tasks_.top().at <= end) {
    auto next = tasks_.top();
    tasks_.pop();
    now_ = next.at;
    next.run();
  }
  now_ = end;
}

void simulated_network::after(node_id node, duration delay, callback work) {
  const auto starts = nodes_[node].starts;
  schedule(delay, [this, node, starts, work = std::move(work)] {
    if (nodes_[node].starts == starts) run_on(node, work);
  });
}

void simulated_network::run_on(node_id node, callback work) {
  auto& state = nodes_[node];
  if (state.is_down) return;
  if (state.is_paused) {
    state.backlog.push_back(std::move(work));
  } else {
    work();
  }
}

bool simulated_network::is_cut(node_id from, node_id to) const {
  const auto it = links_.find({from, to});
  return it != links_.end() && it->second.is_cut;
}

duration simulated_network::random_latency(const link_state& link) {
  std::uniform_int_distribution<std::int64_t> microseconds{300, 1'500};
  return link.delay + std::chrono::microseconds{microseconds(random_)};
}

void simulated_network::send(node_id from, node_id to, const callback& on_arrival, const callback& on_refused,
                             bool may_duplicate) {
  auto& link = links_[{from, to}];
  if (link.is_cut) return;
  if (link.drops > 0) {
    --link.drops;
    return;
  }
  int copies = 1;
  if (may_duplicate && link.duplicates > 0) {
    --link.duplicates;
    ++copies;
  }
  for (int i = 0; i < copies; ++i) {
    const auto extra_delay = i == 0 ? duration{} : duration{std::chrono::milliseconds{20}};
    schedule(random_latency(link) + extra_delay, [=, this] { deliver(from, to, on_arrival, on_refused); });
  }
}

void simulated_network::deliver(node_id from, node_id to, const callback& on_arrival,
                                const callback& on_refused) {
  if (is_cut(from, to)) return;
  if (!nodes_[to].is_down) {
    run_on(to, on_arrival);
  } else if (on_refused) {
    send(to, from, on_refused, {}, false);
  }
}

void simulated_network::resume(node_id node) {
  auto& state = nodes_[node];
  state.is_paused = false;
  while (!state.backlog.empty() && !state.is_paused && !state.is_down) {
    const auto next = std::move(state.backlog.front());
    state.backlog.pop_front();
    next();
  }
}

void simulated_network::crash(node_id node) {
  auto& state = nodes_[node];
  state.is_down = true;
  state.is_paused = false;
  state.backlog.clear();
  ++state.starts;
}

}  // namespace bulrushlift::simulation
