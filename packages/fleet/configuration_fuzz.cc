#include <rapidcheck.h>
#include <catch2/catch.hpp>

#include "fleet/configuration_simulation_fake.h"

namespace bulrushlift {
namespace {

using std::chrono::milliseconds;

enum class step_kind { wait, promote, restart, store, store_link, link, split, heal, copy, restore };

/// One step of a run. The meaning of `a`, `b` and `value` depends on the kind.
struct fault_step {
  step_kind kind = step_kind::wait;
  std::size_t a = 0;
  std::size_t b = 0;
  int value = 0;
};

std::ostream& operator<<(std::ostream& out, const fault_step& it) {
  return out << static_cast<int>(it.kind) << '(' << it.a << ',' << it.b << ',' << it.value << ')';
}

rc::Gen<fault_step> arbitrary_step() {
  const auto kind = rc::gen::weightedElement<step_kind>({{6, step_kind::wait},
                                                         {4, step_kind::promote},
                                                         {1, step_kind::restart},
                                                         {4, step_kind::store},
                                                         {2, step_kind::store_link},
                                                         {2, step_kind::link},
                                                         {1, step_kind::split},
                                                         {2, step_kind::heal},
                                                         {1, step_kind::copy},
                                                         {1, step_kind::restore}});
  const auto vm = rc::gen::inRange<std::size_t>(0, configuration_simulation::fleet_size);
  return rc::gen::build<fault_step>(rc::gen::set(&fault_step::kind, kind), rc::gen::set(&fault_step::a, vm),
                                    rc::gen::set(&fault_step::b, vm),
                                    rc::gen::set(&fault_step::value, rc::gen::inRange(0, 100)));
}

store_faults make_faults(int value) {
  switch (value % 5) {
    case 0:
      return {.down = true};
    case 1:
      return {.delay = milliseconds{value * 60}};
    case 2:
      return {.serve_old = true};
    case 3:
      return {.silent_watch = true};
    default:
      return {};
  }
}

void apply(configuration_simulation& fleet, const fault_step& it) {
  switch (it.kind) {
    case step_kind::wait:
      break;
    case step_kind::promote:
      fleet.promote();
      break;
    case step_kind::restart:
      fleet.restart(it.a);
      break;
    case step_kind::store:
      fleet.set_store(make_faults(it.value));
      break;
    case step_kind::store_link:
      fleet.cut_store(it.a, it.value % 2 == 0);
      break;
    case step_kind::link:
      fleet.cut_link(it.a, it.b, it.value % 2 == 0);
      break;
    case step_kind::split:
      // Cuts one VM off from its peers and, in half of the cases, from the store.
      for (std::size_t peer = 0; peer < configuration_simulation::fleet_size; ++peer) {
        fleet.cut_link(it.a, peer, true);
      }
      fleet.cut_store(it.a, it.value % 2 == 0);
      break;
    case step_kind::heal:
      fleet.heal();
      break;
    case step_kind::copy:
      fleet.save_copy();
      break;
    case step_kind::restore:
      fleet.restore_copy();
      break;
  }
}

/// @return the first violation of a run, if any.
std::optional<std::string> find_violation(std::uint64_t seed, const std::vector<fault_step>& steps,
                                          configuration_mutation mutation) {
  configuration_simulation fleet{seed, mutation};
  for (const auto& it : steps) {
    apply(fleet, it);
    // Waits of up to 9 s exceed the freshness limit and the longest back-off.
    const milliseconds wait{it.kind == step_kind::wait ? it.value * 90 : it.value * 5};
    if (const auto& seen = fleet.run_for(wait)) return seen;
  }
  return fleet.check_convergence();
}

/// @return whether random runs detect that a rule is disabled.
bool is_detected(configuration_mutation mutation) {
  rc::Random random{20261204};
  const auto steps = rc::gen::container<std::vector<fault_step>>(40, arbitrary_step());
  for (std::uint64_t seed = 1; seed <= 60; ++seed) {
    if (find_violation(seed, steps(random.split(), 100).value(), mutation)) return true;
  }
  return false;
}

// Guards against a generation that decreases, a document that counts as fresh for too long, service by an
// isolated VM, refusals while the store is down for all, and a fleet that does not converge within 7 s.
TEST_CASE("configuration follows one version history under faults") {
  CHECK(rc::check([] {
    const auto seed = *rc::gen::inRange<std::uint64_t>(1, 1'000'000);
    const auto steps = *rc::gen::container<std::vector<fault_step>>(arbitrary_step());
    const auto seen = find_violation(seed, steps, {});
    if (seen) RC_FAIL(*seen);
  }));
}

// Guards against an oracle that cannot fail: it must detect each rule that is left out.
TEST_CASE("the oracle detects each rule that is left out") {
  CHECK_FALSE(is_detected({}));
  CHECK(is_detected({.accepts_lower_generation = true}));
  CHECK(is_detected({.serves_when_isolated = true}));
  CHECK(is_detected({.counts_age_from_answer = true}));
  CHECK(is_detected({.keeps_version_after_failure = true}));
}

}  // namespace
}  // namespace bulrushlift
