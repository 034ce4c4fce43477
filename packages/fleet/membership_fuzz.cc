#include <rapidcheck.h>
#include <catch2/catch.hpp>

#include "fleet/membership_simulator_fake.h"

namespace bulrushlift {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

enum class fault {
  wait,
  crash,
  restart,
  start_successor,
  pause,
  resume,
  partition,
  cut_one_way,
  heal,
  lossy,
  lossless
};

struct command {
  fault kind = fault::wait;
  std::size_t first = 0;
  std::size_t second = 0;
};

std::ostream& operator<<(std::ostream& out, const command& it) {
  return out << static_cast<int>(it.kind) << '(' << it.first << ',' << it.second << ')';
}

rc::Gen<command> arbitrary_command() {
  return rc::gen::build<command>(
      rc::gen::set(&command::kind,
                   rc::gen::map(rc::gen::inRange(0, 11), [](int n) { return static_cast<fault>(n); })),
      rc::gen::set(&command::first, rc::gen::inRange<std::size_t>(0, 8)),
      rc::gen::set(&command::second, rc::gen::inRange<std::size_t>(0, 8)));
}

constexpr simulated_network lossy_network{0.2, 0.1, milliseconds{1}, milliseconds{80}};

/// A fleet, with all processes of each VM name, the newest last.
struct fleet_model {
  fleet_model(std::size_t size, membership_options options, std::uint64_t seed) : fleet(options, seed) {
    for (std::size_t i = 0; i < size; ++i) {
      names.push_back({fleet.start(name(i), {})});
      fleet.run_for(milliseconds{2});
    }
    fleet.share_seeds();
  }

  static vm_id name(std::size_t i) { return vm_id{"entry-" + std::to_string(i)}; }
  std::size_t newest(std::size_t i) const { return names[i % names.size()].back(); }

  void replace(std::size_t i) {
    fleet.run_for(milliseconds{2});  // Incarnations are start times in milliseconds.
    names[i % names.size()].push_back(fleet.start(name(i % names.size()), {}));
    fleet.share_seeds();
  }

  void block_links(const command& it) {
    const auto n = fleet.instances().size();
    const auto split = it.first + 1;
    for (std::size_t a = 0; a < n; ++a) {
      for (std::size_t b = 0; b < n; ++b) {
        const bool is_across = (a % 8 < split) != (b % 8 < split);
        const bool is_blocked = it.kind == fault::partition ? is_across : a == newest(it.first) && b != a;
        if (is_blocked) fleet.block(a, b);
      }
    }
  }

  void run(const command& it) {
    switch (it.kind) {
      case fault::crash:
        fleet.crash(newest(it.first));
        break;
      case fault::restart:
        fleet.crash(newest(it.first));
        replace(it.first);
        break;
      case fault::start_successor:
        replace(it.first);
        break;
      case fault::pause:
        fleet.pause(newest(it.first));
        break;
      case fault::resume:
        fleet.resume(newest(it.first));
        break;
      case fault::partition:
      case fault::cut_one_way:
        block_links(it);
        break;
      case fault::heal:
        fleet.unblock_all();
        break;
      case fault::lossy:
        fleet.set_network(lossy_network);
        break;
      case fault::lossless:
        fleet.set_network({});
        break;
      case fault::wait:
        break;
    }
    fleet.run_for(milliseconds{100} * (1 + it.second));
  }

  void end_faults() {
    fleet.unblock_all();
    fleet.set_network({});
    for (std::size_t i = 0; i < fleet.instances().size(); ++i) fleet.resume(i);
  }

  /// @return whether each running process has stopped if it has a running successor, and otherwise
  ///   knows exactly the newest process of each VM name.
  bool is_agreed() const {
    for (const auto& processes : names) {
      for (const auto index : processes) {
        const auto& it = fleet.instances()[index];
        if (!it.is_running) continue;
        if (index != processes.back() && !fleet.instances()[processes.back()].is_running) continue;
        const bool is_stopped = it.controller->is_stopped();
        if (is_stopped != (index != processes.back())) return false;
        if (!is_stopped && !is_view_correct(*it.controller)) return false;
      }
    }
    return true;
  }

  bool is_view_correct(const membership_controller& at) const {
    std::map<vm_id, member> view;
    for (const auto& it : at.members()) view[it.vm] = it;
    for (std::size_t i = 0; i < names.size(); ++i) {
      const auto& it = fleet.instances()[newest(i)];
      const auto known = view.find(name(i));
      const bool is_known_alive = known != view.end() && known->second.state == member_state::alive;
      if (it.is_running && (!is_known_alive || known->second.address != it.self.address)) return false;
      // An older process of the VM may still run if no member has told it of its successor.
      const bool has_older = std::ranges::any_of(names[i], [&](auto k) {
        return fleet.instances()[k].is_running && !fleet.instances()[k].controller->is_stopped();
      });
      if (!it.is_running && !has_older && is_known_alive) return false;
    }
    return true;
  }

  membership_simulator fleet;
  std::vector<std::vector<std::size_t>> names;
};

/// Detects whether an older incarnation of a member ever replaces a newer one.
class order_observer {
 public:
  explicit order_observer(membership_simulator& fleet) {
    fleet.on_change = [this](std::size_t at, const member& it) {
      auto& newest = newest_[{at, it.vm}];
      is_ordered_ &= it.incarnation >= newest;
      newest = std::max(newest, it.incarnation);
    };
  }
  bool is_ordered() const { return is_ordered_; }

 private:
  std::map<std::pair<std::size_t, vm_id>, incarnation_id> newest_;
  bool is_ordered_ = true;
};

/// Injects arbitrary faults, ends them and checks that the members then agree.
bool is_agreement_reached(membership_options options) {
  return rc::check("the members agree after the faults", [options] {
    const auto size = *rc::gen::inRange<std::size_t>(3, 9);
    const auto seed = *rc::gen::arbitrary<std::uint64_t>();
    const auto commands = *rc::gen::container<std::vector<command>>(arbitrary_command());
    fleet_model model{size, options, seed};
    order_observer observer{model.fleet};
    for (const auto& it : commands) model.run(it);
    model.end_faults();
    // 150 periods: each side of a partition pings one dead member every 5 periods.
    model.fleet.run_for(seconds{30});
    RC_ASSERT(model.is_agreed());
    RC_ASSERT(observer.is_ordered());
  });
}

// Guards against live members that others keep as dead, dead members that others keep as alive, views
// that never converge, and two processes of one VM that serve at the same time.
TEST_CASE("members agree after loss, delay, partitions, pauses, crashes and restarts") {
  CHECK(is_agreement_reached({}));
}

// Guards against a check of agreement that cannot fail.
TEST_CASE("the check finds members that accept updates of any incarnation") {
  CHECK_FALSE(is_agreement_reached({.skips_incarnation_check = true}));
}

// Guards against a check of agreement that cannot fail.
TEST_CASE("the check finds processes that serve beside their successor") {
  CHECK_FALSE(is_agreement_reached({.ignores_successor = true}));
}

// Guards against crashes that are not detected and live members that are declared dead, in a network that
// loses one datagram in ten.
TEST_CASE("a death is noticed within 15 periods under loss and the living stay alive") {
  CHECK(rc::check("detection", [] {
    const auto size = *rc::gen::inRange<std::size_t>(3, 9);
    fleet_model model{size, {}, *rc::gen::arbitrary<std::uint64_t>()};
    model.fleet.run_for(seconds{2});
    model.fleet.set_network({0.1, 0.05, milliseconds{1}, milliseconds{10}});
    const auto victim = *rc::gen::inRange<std::size_t>(0, size);
    model.fleet.run_for(milliseconds{*rc::gen::inRange(0, 400)});
    model.fleet.crash(victim);
    bool is_live_member_dead = false;
    model.fleet.on_change = [&](std::size_t, const member& it) {
      is_live_member_dead |= it.state == member_state::dead && it.vm != fleet_model::name(victim);
    };
    model.fleet.run_for(seconds{3});
    for (std::size_t i = 0; i < size; ++i) {
      if (i == victim) continue;
      const auto serving = model.fleet.instances()[i].controller->serving_members();
      RC_ASSERT(std::ranges::find(serving, fleet_model::name(victim), &member::vm) == serving.end());
    }
    RC_ASSERT_FALSE(is_live_member_dead);
  }));
}

}  // namespace
}  // namespace bulrushlift
