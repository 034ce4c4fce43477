#include <fmt/core.h>

#include <algorithm>
#include <cstdint>
#include <string>
#include <vector>

#include "fleet/membership_simulator_fake.h"
#include "peer_protocol/frame.h"

/// @file
/// Measures the cost of membership per node and second as a function of the number
/// of nodes, and the time until all nodes have learned of a death. All controllers run
/// in one process with simulated time; datagrams are encoded as in the daemon.
/// Prints one JSON object per line.

namespace bulrushlift {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

std::size_t datagram_size(const membership_message& message) {
  peer::envelope_t envelope;
  envelope.id = static_cast<std::int64_t>(message.id);
  peer::ping_t ping;
  ping.sender = message.sender.str();
  ping.incarnation = static_cast<std::int64_t>(message.incarnation.value());
  ping.configuration.generation = 45'000;
  ping.configuration.confirmed_age_ms = 1'000;
  for (const auto& it : message.updates) {
    peer::member_t update;
    update.vm = it.vm.str();
    update.address = it.address;
    update.data_centre = it.data_centre.str();
    update.incarnation = static_cast<std::int64_t>(it.incarnation.value());
    update.state = std::string{name_of(it.state)};
    ping.updates.push_back(update);
  }
  if (!message.subject.empty()) ping.__set_target(message.subject.str());
  envelope.__set_ping(ping);
  return encode_envelope(envelope).size();
}

struct steady_figures {
  double messages = 0;  ///< Sent per node and second.
  double bytes = 0;
  double cpu_percent = 0;  ///< Share of one core, per node.
  std::size_t largest_datagram = 0;
  std::size_t memory_bytes = 0;  ///< Memory of the largest controller.
};

std::vector<std::size_t> start_fleet(membership_simulator& fleet, std::size_t size) {
  std::vector<std::size_t> all;
  for (std::size_t i = 0; i < size; ++i)
    all.push_back(fleet.start(vm_id{"entry-" + std::to_string(i) + ".0"}, {}));
  fleet.share_seeds();
  return all;
}

std::size_t count_complete_views(const membership_simulator& fleet) {
  const auto size = fleet.instances().size();
  return static_cast<std::size_t>(std::ranges::count_if(
      fleet.instances(), [size](const auto& it) { return it.controller->serving_members().size() == size; }));
}

/// @return the time until every member knows all others.
duration join(membership_simulator& fleet) {
  const auto start = fleet.now();
  while (count_complete_views(fleet) < fleet.instances().size()) fleet.run_for(milliseconds{100});
  return fleet.now() - start;
}

steady_figures measure_steady(membership_simulator& fleet) {
  constexpr int measured_seconds = 20;
  steady_figures out;
  fleet.on_send = [&](std::size_t, const send_membership& send) {
    const auto size = datagram_size(send.message);
    out.messages += 1;
    out.bytes += static_cast<double>(size);
    out.largest_datagram = std::max(out.largest_datagram, size);
  };
  const auto cpu_before = fleet.controller_time();
  fleet.run_for(seconds{measured_seconds});
  fleet.on_send = nullptr;
  const auto per_node_second = 1.0 / (measured_seconds * static_cast<double>(fleet.instances().size()));
  const std::chrono::duration<double> cpu = fleet.controller_time() - cpu_before;
  out.messages *= per_node_second;
  out.bytes *= per_node_second;
  out.cpu_percent = 100 * cpu.count() * per_node_second;
  for (const auto& it : fleet.instances())
    out.memory_bytes = std::max(out.memory_bytes, it.controller->memory_bytes());
  return out;
}

/// Crashes `victim` and waits until every running member has declared it dead.
/// @param first_detected_after receives the time until the first member did so.
/// @return the time from the crash until the last member did so.
duration measure_death_detection(membership_simulator& fleet, std::size_t victim,
                                 duration& first_detected_after) {
  std::size_t informed = 0;
  std::size_t running = 0;
  for (const auto& it : fleet.instances()) running += it.is_running ? 1 : 0;
  const auto start = fleet.now();
  first_detected_after = {};
  fleet.on_change = [&](std::size_t, const member& it) {
    if (it.vm != fleet.instances()[victim].self.vm || it.state != member_state::dead) return;
    if (informed++ == 0) first_detected_after = fleet.now() - start;
  };
  fleet.crash(victim);
  while (informed < running - 1) fleet.run_for(milliseconds{10});
  fleet.on_change = nullptr;
  return fleet.now() - start;
}

double as_seconds(duration span) { return std::chrono::duration<double>(span).count(); }

void run(std::size_t nodes) {
  constexpr int deaths = 5;
  membership_simulator fleet{{}, nodes};
  start_fleet(fleet, nodes);
  const auto joined = join(fleet);
  fleet.run_for(seconds{30});
  const auto steady = measure_steady(fleet);
  duration worst_first_detection{};
  std::vector<duration> detection_times;
  const auto rounds = std::min<std::size_t>(deaths, nodes - 2);
  for (std::size_t i = 0; i < rounds; ++i) {
    duration first{};
    detection_times.push_back(measure_death_detection(fleet, i * (nodes / rounds), first));
    worst_first_detection = std::max(worst_first_detection, first);
    fleet.run_for(milliseconds{1'730});
  }
  std::ranges::sort(detection_times);
  fmt::print(
      "{{\"nodes\":{},\"join_s\":{:.1f},\"messages_per_s\":{:.1f},\"bytes_per_s\":{:.0f},"
      "\"largest_datagram\":{},\"cpu_percent\":{:.4f},\"memory_bytes\":{},\"death_known_median_s\":{:.2f},"
      "\"death_known_worst_s\":{:.2f},\"death_first_known_worst_s\":{:.2f}}}\n",
      nodes, as_seconds(joined), steady.messages, steady.bytes, steady.largest_datagram, steady.cpu_percent,
      steady.memory_bytes, as_seconds(detection_times[detection_times.size() / 2]),
      as_seconds(detection_times.back()), as_seconds(worst_first_detection));
}

}  // namespace
}  // namespace bulrushlift

int main() {
  for (const std::size_t nodes : {5, 20, 50, 100, 200}) bulrushlift::run(nodes);
}
