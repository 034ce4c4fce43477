#include "entry/evacuation_wire.h"

#include <catch2/catch.hpp>
#include <chrono>
#include <string>

namespace bulrushlift::entry {
namespace {

using std::chrono::milliseconds;

peer::envelope_t ping() {
  peer::envelope_t envelope;
  envelope.__set_ping({});
  return envelope;
}

sql::evacuation_status status_of(const sql::data_centre_set& stored) {
  return {{store_epoch{2}, object_version{70}}, stored, milliseconds{40}};
}

TEST_CASE("A heartbeat carries the evacuated data centres") {
  const auto sent = status_of({data_centre_id{"north"}, data_centre_id{"south"}});
  auto request = ping();
  add_evacuations(request, sent);
  CHECK(evacuations_of(request) == sent);
  peer::envelope_t reply;
  reply.__set_ack({});
  add_evacuations(reply, sent);
  CHECK(evacuations_of(reply) == sent);
}

// Guards against a VM that reads a heartbeat of an earlier version as "nothing is evacuated".
TEST_CASE("A heartbeat without evacuations tells nothing") {
  CHECK_FALSE(evacuations_of(ping()));
  auto unknown = ping();
  add_evacuations(unknown, {});
  CHECK_FALSE(evacuations_of(unknown));
}

// Guards against a datagram that is too long to arrive, and against a set that arrives cut.
TEST_CASE("More data centres than fit are not sent at all") {
  sql::data_centre_set many;
  for (std::size_t i = 0; i <= max_evacuations_in_heartbeat; ++i)
    many.insert(data_centre_id{"dc" + std::to_string(i)});
  auto envelope = ping();
  add_evacuations(envelope, status_of(many));
  CHECK_FALSE(evacuations_of(envelope));
}

TEST_CASE("A status with a position out of range is ignored") {
  auto envelope = ping();
  add_evacuations(envelope, status_of({}));
  envelope.ping.evacuations.position = -1;
  CHECK_FALSE(evacuations_of(envelope));
  envelope.ping.evacuations.position = 1;
  envelope.ping.evacuations.epoch = -1;
  CHECK_FALSE(evacuations_of(envelope));
}

}  // namespace
}  // namespace bulrushlift::entry
