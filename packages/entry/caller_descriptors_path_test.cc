#include <catch2/catch.hpp>

#include "entry/caller_crowd_fake.h"

// Descriptors of a process while crowds hold connections. Each test fails if the process ends, exceeds the
// descriptors or the memory of its VM, or serves nobody afterwards.

namespace bulrushlift::entry {
namespace {

// Twice the descriptors of the VM.
constexpr std::size_t crowd_size = 400;

void check_crowd(const std::string& name, const crowd_behaviour& behaviour) {
  session_deployment deployment{name, 1, false, crowd_settings()};
  static_cast<void>(deployment.session(0, "orders"));
  caller_crowd crowd{deployment, deployment.caller_address(0), behaviour};

  crowd.run(crowd_size);

  check_processes(deployment, crowd);
}

}  // namespace

// Guards against connections that take all descriptors before they have shown a key.
TEST_CASE("Connections that send nothing stay within the descriptors of the VM") {
  check_crowd("crowd_silent", {});
}

TEST_CASE("Connections that never complete a first message stay within the descriptors of the VM") {
  crowd_behaviour behaviour;
  behaviour.text = "START orders";
  check_crowd("crowd_never_started", behaviour);
}

// Guards against sessions of one customer that take all descriptors.
TEST_CASE("Sessions that rest stay within the descriptors of the VM") {
  crowd_behaviour behaviour;
  behaviour.greeting = "START orders key-shop\r\n";
  check_crowd("crowd_resting", behaviour);
}

// Guards against sessions that are kept for callers which have shut down their sending side.
TEST_CASE("Half-closed connections stay within the descriptors of the VM") {
  crowd_behaviour behaviour;
  behaviour.greeting = "START orders key-shop\r\n";
  behaviour.text = "QUERY r1 READ hide\r\n";
  behaviour.closes_half = true;
  check_crowd("crowd_half_closed", behaviour);
}

// Guards against descriptors and target connections that are held by transactions nobody continues.
TEST_CASE("Transactions that nobody continues stay within the descriptors of the VM") {
  crowd_behaviour behaviour;
  behaviour.greeting = "START orders key-shop\r\n";
  behaviour.text = "QUERY b1 BEGIN\r\n";
  check_crowd("crowd_transactions", behaviour);
}

// Guards against a customer whose resting sessions keep the callers of another customer out.
TEST_CASE("A customer is served while the sessions of another one rest") {
  session_deployment deployment{"crowd_other_customer", 1, false, crowd_settings()};
  static_cast<void>(deployment.session(0, "orders"));
  crowd_behaviour behaviour;
  behaviour.greeting = "START orders key-shop\r\n";
  caller_crowd crowd{deployment, deployment.caller_address(0), behaviour};

  crowd.run(crowd_size);

  deployment.await("session of the other customer", [&] {
    const auto caller = deployment.connect(0);
    return caller->ask_joined("START orders key-other") == "READY I -" &&
           caller->ask_joined("QUERY r1 READ other").starts_with("ROW |COMPLETE signed");
  });
  CHECK(crowd.most_descriptors() <= crowd_descriptors);
}

}  // namespace bulrushlift::entry
