#include "net/resource_budget.h"

#include <rapidcheck.h>
#include <algorithm>
#include <catch2/catch.hpp>
#include <random>

namespace bulrushlift {
namespace {

using namespace std::chrono_literals;

constexpr std::size_t mebibyte = std::size_t{1} << 20U;
constexpr time_point start{};
const resource_limits small_vm{48 * mebibyte, 200};
const customer_id shop{"shop"};
const customer_id other{"other"};

/// Opens a connection with a session.
account_id open_session(resource_budget& budget, const customer_id& customer, time_point now = start) {
  const auto id = budget.open(now);
  budget.start(id, customer, now);
  return id;
}

}  // namespace

TEST_CASE("Shares stay below the limits and keep a part for the rest of the process") {
  const auto memory =
      GENERATE(std::uint64_t{32}, std::uint64_t{48}, std::uint64_t{112}, std::uint64_t{4'096});
  const auto descriptors = GENERATE(std::uint64_t{200}, std::uint64_t{1'024}, std::uint64_t{3'080});
  const auto shares = shares_of({memory * mebibyte, descriptors});
  CHECK(shares.caller_bytes + 12 * mebibyte <= memory * mebibyte);
  CHECK(shares.reserved_bytes < shares.refusal_bytes);
  CHECK(shares.refusal_bytes < shares.caller_bytes);
  CHECK(shares.customer_bytes >= message_reservation_bytes);
  CHECK(shares.customer_bytes <= shares.reserved_bytes);
  CHECK(shares.caller_connections + 2 * shares.probe_connections + shares.peer_connections + 16 <=
        descriptors);
}

TEST_CASE("Unknown limits bound nothing that earlier deployments reach") {
  const auto shares = shares_of({});
  CHECK(shares.caller_bytes >= 1'024 * mebibyte);
  CHECK(shares.caller_connections >= 20'000);
  CHECK(shares.unsent_bytes >= 16 * mebibyte);
}

// Guards against memory that is counted twice or never given back.
TEST_CASE("What is counted equals what is held after any sequence of calls") {
  rc::check([](std::uint32_t seed) {
    std::mt19937 random{seed};
    const auto pick = [&](std::size_t n) { return static_cast<std::size_t>(random() % n); };
    resource_budget budget{small_vm};
    struct model {
      std::array<std::size_t, holding_count> held{};
    };
    std::map<account_id, model> accounts;
    std::map<customer_id, std::size_t> reserved;
    std::size_t replies = 0;
    auto now = start;
    for (int step = 0; step < 400; ++step) {
      now += std::chrono::milliseconds{pick(300)};
      const auto any = [&] {
        auto it = accounts.begin();
        std::advance(it, static_cast<std::ptrdiff_t>(pick(accounts.size())));
        return it;
      };
      const auto bytes = pick(3 * mebibyte);
      const auto name = pick(2) == 0 ? shop : other;
      switch (pick(9)) {
        case 0:
          accounts.emplace(budget.open(now), model{});
          break;
        case 1:
          if (accounts.empty()) break;
          {
            const auto it = any();
            budget.close(it->first);
            accounts.erase(it);
          }
          break;
        case 2:
          if (!accounts.empty()) budget.start(any()->first, name, now);
          break;
        case 3:
        case 4: {
          if (accounts.empty()) break;
          const auto it = any();
          const auto kind = pick(holding_count);
          const bool is_held = pick(2) == 0;
          if (is_held) budget.hold(it->first, static_cast<holding>(kind), bytes, now);
          const auto before = budget.held_bytes();
          if (is_held || budget.try_hold(it->first, static_cast<holding>(kind), bytes, now)) {
            it->second.held[kind] = bytes;
          } else {
            RC_ASSERT(budget.held_bytes() == before);
          }
          break;
        }
        case 5:
          if (!accounts.empty()) static_cast<void>(budget.request_message(any()->first, now));
          static_cast<void>(budget.end_waits(now));
          break;
        case 6:
          if (!accounts.empty()) budget.release_message(any()->first);
          break;
        case 7:
          if (budget.try_reserve(name, bytes, now)) {
            reserved[name] += bytes;
            // The rest of the process stays free whatever callers ask for.
            RC_ASSERT(budget.held_bytes() <= budget.shares().reserved_bytes);
          } else if (reserved[name] > 0) {
            budget.release(name, std::exchange(reserved[name], 0));
          }
          break;
        default:
          replies = pick(mebibyte);
          budget.hold_replies(replies);
      }
      auto sum = replies;
      for (const auto& [customer, each] : reserved) sum += each;
      for (const auto& [id, each] : accounts) {
        std::size_t held = 0;
        for (const auto part : each.held) held += part;
        RC_ASSERT(budget.held_by(id) >= held);
        RC_ASSERT(budget.held_by(id) == held || budget.held_by(id) == message_reservation_bytes);
        sum += budget.held_by(id);
      }
      RC_ASSERT(budget.held_bytes() == sum);
      RC_ASSERT(budget.connections() == accounts.size());
    }
    for (const auto& [id, each] : accounts) budget.close(id);
    for (const auto& [customer, each] : reserved) {
      if (each > 0) budget.release(customer, each);
    }
    budget.hold_replies(0);
    RC_ASSERT(budget.held_bytes() == 0);
  });
}

TEST_CASE("A large message waits for memory and a customer with its share keeps no other waiting") {
  resource_budget budget{small_vm};
  std::vector<account_id> held;
  std::optional<account_id> refused;
  while (!refused) {
    const auto id = open_session(budget, shop);
    if (budget.request_message(id, start)) {
      held.push_back(id);
    } else {
      refused = id;
    }
  }
  REQUIRE_FALSE(held.empty());
  const auto waiting = open_session(budget, other);
  static_cast<void>(budget.request_message(waiting, start));
  CHECK(budget.end_waits(start) == std::vector<account_id>{waiting});

  budget.release_message(held.front());
  CHECK(budget.end_waits(start) == std::vector<account_id>{*refused});
  CHECK(budget.held_bytes() <= budget.shares().reserved_bytes);
}

TEST_CASE("The caller that holds memory without progress is closed when others need it") {
  resource_budget budget{small_vm};
  const auto slow = open_session(budget, shop);
  const auto busy = open_session(budget, shop);
  budget.hold(slow, holding::answer, 5 * mebibyte, start);
  budget.hold(busy, holding::running, 5 * mebibyte, start);
  CHECK(budget.closes_for_memory(start + 20s).empty());

  auto now = start + 20s;
  for (int i = 0; i < 5; ++i, now += 200ms) CHECK_FALSE(budget.try_reserve(shop, 12 * mebibyte, now));

  CHECK(budget.closes_for_memory(now) == std::vector<forced_close>{{slow, close_reason::memory}});
  budget.close(slow);
  CHECK(budget.closes_for_memory(now).empty());
}

// Guards against sessions that rest with large values while nobody else can send a large message.
TEST_CASE("A resting session with large values is closed when others need memory") {
  resource_budget budget{small_vm};
  const auto resting = open_session(budget, shop);
  const auto small = open_session(budget, shop);
  budget.hold(resting, holding::session, 2 * mebibyte, start);
  budget.hold(small, holding::session, 1'000, start);
  auto now = start + 20s;
  CHECK(budget.closes_for_memory(now).empty());
  for (int i = 0; i < 5; ++i, now += 200ms) CHECK_FALSE(budget.try_reserve(shop, 15 * mebibyte, now));
  CHECK(budget.closes_for_memory(now) == std::vector<forced_close>{{resting, close_reason::memory}});
}

TEST_CASE("The heaviest connections are closed when callers hold more than their share") {
  resource_budget budget{small_vm};
  std::vector<account_id> light;
  for (int i = 0; i < 20; ++i) {
    light.push_back(open_session(budget, other));
    budget.hold(light.back(), holding::pending, 10'000, start);
  }
  const auto heavy = open_session(budget, shop);
  budget.hold(heavy, holding::pending, budget.shares().caller_bytes, start);
  CHECK_FALSE(budget.admits_session());
  CHECK(budget.closes_for_memory(start) == std::vector<forced_close>{{heavy, close_reason::memory}});
  budget.close(heavy);
  CHECK(budget.admits_session());
  CHECK(budget.closes_for_memory(start).empty());
}

TEST_CASE("A new connection replaces one without a session, then a resting one of the largest customer") {
  resource_budget budget{small_vm};
  const auto limit = budget.shares().caller_connections;
  const auto unstarted = budget.open(start);
  const auto first = open_session(budget, other);
  std::vector<account_id> many;
  while (budget.connections() < limit) many.push_back(open_session(budget, shop));
  CHECK_FALSE(budget.replaced_connection(start));

  const auto now = start + 1s;
  CHECK(budget.replaced_connection(now) == forced_close{unstarted, close_reason::descriptors});
  budget.close(unstarted);
  CHECK_FALSE(budget.replaced_connection(now));
  many.push_back(open_session(budget, shop, now));
  CHECK(budget.replaced_connection(now) == forced_close{many.front(), close_reason::descriptors});
  // A session that works is not replaced while another one rests.
  budget.set_activity(many.front(), caller_activity::busy, now);
  CHECK(budget.replaced_connection(now) == forced_close{many[1], close_reason::descriptors});
  CHECK(first != many[1]);
}

TEST_CASE("Connections without a session have a share of their own") {
  resource_budget budget{small_vm};
  while (budget.connections() < budget.shares().unstarted_connections) static_cast<void>(budget.open(start));
  CHECK_FALSE(budget.is_full());
  CHECK(budget.replaced_connection(start + 1s)->reason == close_reason::descriptors);
}

TEST_CASE("Pauses are limited and the time of a message or a session is not") {
  resource_budget budget{small_vm};
  const auto silent = budget.open(start);
  const auto resting = open_session(budget, shop);
  const auto stopped = open_session(budget, shop);
  const auto slow = open_session(budget, shop);
  const auto unread = open_session(budget, shop);
  for (const auto id : {stopped, slow}) {
    budget.on_received(id, 10, start);
    budget.hold(id, holding::input, 10, start);
  }
  budget.hold(unread, holding::answer, 10, start);
  auto now = start;
  for (int i = 0; i < 100; ++i) {
    now += 1s;
    budget.on_received(slow, 512, now);
    if (i < 25) CHECK(budget.closes_for_time(now).empty());
  }
  auto closes = budget.closes_for_time(now);
  std::sort(closes.begin(), closes.end(), [](const auto& a, const auto& b) { return a.account < b.account; });
  CHECK(closes == std::vector<forced_close>{{silent, close_reason::not_started},
                                            {stopped, close_reason::half_message},
                                            {unread, close_reason::unread_answers}});
  CHECK(budget.held_by(resting) == 0);
}

}  // namespace bulrushlift
