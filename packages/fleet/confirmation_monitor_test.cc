#include "fleet/confirmation_monitor.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <random>
#include <vector>

namespace bulrushlift {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr generation_id generation{7};
constexpr duration heartbeat_interval = milliseconds{200};
constexpr duration watch_wait = milliseconds{1'500};
constexpr std::size_t peers_per_heartbeat = 4;
constexpr std::size_t watchers = 2;

/// VMs that exchange heartbeats without loss. The first two watch the store for all.
class fleet {
 public:
  fleet(std::size_t size, duration bound, std::uint64_t seed) : random_(seed), reaches_store_(size, true) {
    for (std::size_t vm = 0; vm < size; ++vm) monitors_.emplace_back(bound, seed + vm);
    for (auto& each : monitors_) each.on_applied(generation, now_);
  }

  void set_reaches_store(std::size_t vm, bool value) { reaches_store_[vm] = value; }

  void run_for(duration span) {
    constexpr duration step = milliseconds{20};
    for (const auto end = now_ + span; now_ < end; now_ += step) {
      if ((now_ - time_point{}) % watch_wait == duration::zero()) watch();
      if ((now_ - time_point{}) % heartbeat_interval == duration::zero()) exchange();
      for (std::size_t vm = 0; vm < monitors_.size(); ++vm) check(vm);
    }
  }

  [[nodiscard]] duration oldest_confirmation() const { return oldest_; }
  [[nodiscard]] std::size_t checks() const { return checks_; }

 private:
  void watch() {
    for (std::size_t vm = 0; vm < watchers; ++vm) {
      if (reaches_store_[vm]) monitors_[vm].on_confirmed(now_);
    }
  }
  void exchange() {
    std::uniform_int_distribution<std::size_t> choose{0, monitors_.size() - 1};
    for (auto& each : monitors_) {
      for (std::size_t i = 0; i < peers_per_heartbeat; ++i) {
        auto& peer = monitors_[choose(random_)];
        peer.on_reported(each.status_at(now_), now_);
        each.on_reported(peer.status_at(now_), now_);
      }
    }
  }
  void check(std::size_t vm) {
    if (monitors_[vm].try_check(now_)) {
      ++checks_;
      if (reaches_store_[vm]) monitors_[vm].on_confirmed(now_);
    }
    if (reaches_store_[vm]) oldest_ = std::max(oldest_, *monitors_[vm].status_at(now_).confirmed_age);
  }

  std::mt19937_64 random_;
  std::vector<bool> reaches_store_;
  std::vector<confirmation_monitor> monitors_;
  time_point now_{};
  duration oldest_{};
  std::size_t checks_ = 0;
};

// Guards against changes that nobody notices because the store turns away the VMs that watch for all.
TEST_CASE("a VM that reaches the store confirms the configuration within the bound without the watchers") {
  const auto size = GENERATE(std::size_t{5}, std::size_t{31}, std::size_t{300});
  const duration bound = size == 5 ? seconds{3} : seconds{5};
  fleet vms{size, bound, 20261204};
  vms.run_for(seconds{10});
  for (std::size_t vm = 0; vm + 3 < size; ++vm) vms.set_reaches_store(vm, false);

  vms.run_for(seconds{60});

  CHECK(vms.oldest_confirmation() < bound * 4 / 5);
}

// Load pattern: hundreds of VMs and two that watch. Guards against calls of all VMs in undisturbed times.
TEST_CASE("no VM checks the store while the watchers reach it") {
  const auto size = GENERATE(std::size_t{5}, std::size_t{31}, std::size_t{300});
  fleet vms{size, size == 5 ? seconds{3} : seconds{5}, 20261204};
  vms.run_for(seconds{60});
  CHECK(vms.checks() == 0);
}

// Guards against a confirmation that never expires because VMs report it to each other.
TEST_CASE("a confirmation does not become younger when VMs pass it on") {
  constexpr duration transfer = milliseconds{40};
  confirmation_monitor first{seconds{3}, 1};
  confirmation_monitor second{seconds{3}, 2};
  time_point now{};
  first.on_applied(generation, now);
  second.on_applied(generation, now);
  for (int i = 0; i < 50; ++i) {
    const auto sent = first.status_at(now);
    now += transfer;
    second.on_reported(sent, now);
    const auto returned = second.status_at(now);
    now += transfer;
    first.on_reported(returned, now);
  }
  CHECK(*first.status_at(now).confirmed_age == now - time_point{});
  CHECK(first.try_check(now));
  CHECK_FALSE(first.try_check(now));
}

TEST_CASE("a heartbeat about another generation confirms nothing") {
  confirmation_monitor monitor{seconds{3}, 1};
  monitor.on_applied(generation, time_point{});
  const time_point now{seconds{10}};
  monitor.on_reported({generation_id{8}, duration::zero()}, now);
  monitor.on_reported({generation, std::nullopt}, now);
  CHECK(monitor.status_at(now).confirmed_age == seconds{10});
}

}  // namespace
}  // namespace bulrushlift
