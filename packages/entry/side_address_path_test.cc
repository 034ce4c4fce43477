#include <catch2/catch.hpp>

#include "entry/caller_crowd_fake.h"

// Crowds at the readiness, metrics and peer addresses. Each test fails if the process ends, exceeds the
// memory or the descriptors of its VM, or serves nobody afterwards.

namespace bulrushlift::entry {
namespace {

constexpr std::size_t crowd_size = 400;

void check_crowd(session_deployment& deployment, const net_address& address, const crowd_behaviour& behaviour,
                 std::size_t clients) {
  static_cast<void>(deployment.session(0, "orders"));
  caller_crowd crowd{deployment, address, behaviour};

  crowd.run(clients);

  // The load balancer opens a connection for each probe.
  deployment.await("readiness", [&] { return deployment.is_ready(0); });
  check_processes(deployment, crowd);
}

}  // namespace

// Guards against connections to the addresses for probes that take the descriptors of callers, or keep the
// probe out.
TEST_CASE("Incomplete requests to the readiness and metrics addresses stay within the limits of the VM") {
  session_deployment deployment{"side_incomplete", 1, false, crowd_settings()};
  const bool is_metrics = GENERATE(false, true);
  crowd_behaviour behaviour;
  behaviour.text = GENERATE(as<std::string>{}, "", "GET /-/readiness HTTP/1.1\r\nHost: vm\r\nX-Slow: ");
  check_crowd(deployment, is_metrics ? deployment.metrics_address(0) : deployment.readiness_address(0),
              behaviour, crowd_size);
}

TEST_CASE("Floods of headers at the readiness and metrics addresses stay within the limits of the VM") {
  session_deployment deployment{"side_headers", 1, false, crowd_settings()};
  const bool is_metrics = GENERATE(false, true);
  crowd_behaviour behaviour;
  behaviour.greeting = "GET /-/readiness HTTP/1.1\r\nHost: vm\r\n";
  behaviour.text = "X-Flood: " + std::string(1'000, 'x') + "\r\n";
  behaviour.repeats = 1'000;
  check_crowd(deployment, is_metrics ? deployment.metrics_address(0) : deployment.readiness_address(0),
              behaviour, crowd_size);
}

// Guards against bodies that are collected although neither address has a use for one.
TEST_CASE("Bodies that stop half-way at the readiness and metrics addresses stay within the limits") {
  session_deployment deployment{"side_bodies", 1, false, crowd_settings()};
  const bool is_metrics = GENERATE(false, true);
  crowd_behaviour behaviour;
  behaviour.greeting = "POST /-/readiness HTTP/1.1\r\nHost: vm\r\nContent-Length: 1000000\r\n\r\n";
  behaviour.text = std::string(900'000, 'x');
  check_crowd(deployment, is_metrics ? deployment.metrics_address(0) : deployment.readiness_address(0),
              behaviour, 100);
}

// Guards against responses that are collected for clients which do not read.
TEST_CASE("Unread responses of the readiness and metrics addresses stay within the limits of the VM") {
  session_deployment deployment{"side_unread", 1, false, crowd_settings()};
  const bool is_metrics = GENERATE(false, true);
  crowd_behaviour behaviour;
  behaviour.text = "GET /metrics HTTP/1.1\r\nHost: vm\r\n\r\n";
  behaviour.repeats = 20'000;
  check_crowd(deployment, is_metrics ? deployment.metrics_address(0) : deployment.readiness_address(0),
              behaviour, 60);
}

// Guards against connections to the peer address that take the descriptors of callers.
TEST_CASE("Connections to the peer address stay within the limits of the VM") {
  session_deployment deployment{"side_peers", 1, false, crowd_settings()};
  crowd_behaviour behaviour;
  behaviour.text = GENERATE(as<std::string>{}, "", "xx");
  check_crowd(deployment, deployment.peer_address(0), behaviour, crowd_size);
}

// Guards against frames that are collected for peers which never send their ends, and frames over the limit.
TEST_CASE("Frames that stop half-way stay within the limits of the VM") {
  session_deployment deployment{"side_frames", 1, false, crowd_settings()};
  const bool is_oversize = GENERATE(false, true);
  crowd_behaviour behaviour;
  // The length of the frame in four bytes, big endian: 2 MiB, or 2 GiB.
  behaviour.greeting = is_oversize ? std::string("\x7f\xff\xff\xff", 4) : std::string("\x00\x20\x00\x00", 4);
  behaviour.text = std::string(1'900'000, 'x');
  check_crowd(deployment, deployment.peer_address(0), behaviour, 60);
}

// Guards against peers that are kept out by connections which send nothing.
TEST_CASE("Peers reach a VM whose peer address is crowded") {
  session_deployment deployment{"side_crowded_peers", 2, false, crowd_settings()};
  for (std::size_t vm = 0; vm < 2; ++vm) static_cast<void>(deployment.session(vm, "orders"));
  const auto owner = deployment.owner();
  caller_crowd crowd{deployment, deployment.peer_address(owner), {}};

  crowd.run(crowd_size);
  deployment.process(1 - owner).kill();
  deployment.start_vm(1 - owner);

  check_processes(deployment, crowd);
}

}  // namespace bulrushlift::entry
