#include <rapidcheck.h>
#include <catch2/catch.hpp>

#include "database/transaction_harness_fake.h"

namespace bulrushlift {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using kind = transaction_harness::request_kind;

enum class event {
  open,
  fail_open,
  single,
  begin,
  statement,
  commit,
  rollback,
  answer,
  answer_failed,
  answer_refused,
  answer_late,
  run_silently,
  reset,
  short_wait,
  long_wait,
  term_change,
  leaving,
  staying,
};

struct command {
  event what = event::open;
  std::size_t index = 0;
};

std::ostream& operator<<(std::ostream& out, const command& it) {
  return out << static_cast<int>(it.what) << '(' << it.index << ')';
}

/// Generates commands; those that advance transactions are more frequent than faults.
rc::Gen<command> arbitrary_command() {
  const auto what = rc::gen::weightedElement<event>({{8, event::open},
                                                     {1, event::fail_open},
                                                     {4, event::single},
                                                     {6, event::begin},
                                                     {6, event::statement},
                                                     {4, event::commit},
                                                     {2, event::rollback},
                                                     {20, event::answer},
                                                     {2, event::answer_failed},
                                                     {1, event::answer_refused},
                                                     {1, event::answer_late},
                                                     {2, event::run_silently},
                                                     {1, event::reset},
                                                     {6, event::short_wait},
                                                     {1, event::long_wait},
                                                     {1, event::term_change},
                                                     {1, event::leaving},
                                                     {2, event::staying}});
  return rc::gen::build<command>(rc::gen::set(&command::what, what),
                                 rc::gen::set(&command::index, rc::gen::inRange<std::size_t>(0, 16)));
}

template <class Set>
std::optional<connection_id> pick(const Set& connections, std::size_t index) {
  if (connections.empty()) return std::nullopt;
  return *std::next(connections.begin(), static_cast<std::ptrdiff_t>(index % connections.size()));
}

void run_on_connection(transaction_harness& harness, event what, connection_id at) {
  if (what == event::answer) harness.answer(at, step_result::confirmed);
  if (what == event::answer_failed) harness.answer(at, step_result::failed);
  if (what == event::answer_refused) harness.answer(at, step_result::refused);
  if (what == event::answer_late) harness.answer_late(at);
  if (what == event::run_silently) harness.run_silently(at);
  if (what == event::reset) harness.reset(at);
}

void run_transaction(transaction_harness& harness, event what, std::size_t index) {
  if (harness.transactions().empty()) return;
  // Selects one of the four newest transactions, because most of the older ones have ended.
  const auto transaction =
      harness.transactions().size() - 1 - index % std::min<std::size_t>(4, harness.transactions().size());
  if (what == event::statement) harness.step(transaction, kind::statement);
  if (what == event::commit) harness.step(transaction, kind::commit);
  if (what == event::rollback) harness.step(transaction, kind::rollback);
}

void run(transaction_harness& harness, const command& it) {
  if (const auto opening = pick(harness.opening(), it.index)) {
    if (it.what == event::open) harness.open(*opening);
    if (it.what == event::fail_open) harness.fail_open(*opening);
  }
  if (it.what == event::single) harness.start_single();
  if (it.what == event::begin) harness.begin();
  run_transaction(harness, it.what, it.index);
  if (const auto opened = pick(harness.opened(), it.index)) run_on_connection(harness, it.what, *opened);
  if (it.what == event::short_wait) harness.advance(milliseconds{50} * it.index);
  if (it.what == event::long_wait) harness.advance(seconds{it.index});
  if (it.what == event::term_change && it.index == 0) harness.change_term();
  if (it.what == event::leaving && it.index < 4) harness.set_leaving(true);
  if (it.what == event::staying) harness.set_leaving(false);
}

/// Runs arbitrary requests and faults, up to 2,000 commands per case.
/// @return whether the rules of `transaction_harness` held in all cases.
bool holds_invariants(pool_options pool, transaction_options table) {
  return rc::check("pool and transactions", [pool, table] {
    const auto limit = *rc::gen::inRange<std::uint32_t>(1, 20);
    auto options = pool;
    options.connection_limit = limit;
    options.slots = *rc::gen::inRange<std::uint32_t>(1, 4);
    const auto commands = *rc::gen::scale(20, rc::gen::container<std::vector<command>>(arbitrary_command()));
    auto short_idle = table;
    short_idle.idle_limit = seconds{2};
    transaction_harness harness{options, short_idle};
    harness.open_all();
    for (const auto& it : commands) {
      run(harness, it);
      RC_ASSERT(harness.violations() == std::set<std::string>{});
    }
    harness.advance(seconds{1});
    harness.advance(seconds{11});
    harness.advance(seconds{11});
    harness.detect_closed_connections(*rc::gen::arbitrary<bool>());
    harness.check_end();
    RC_ASSERT(harness.violations() == std::set<std::string>{});
    RC_ASSERT(harness.table().size() == 0U);
  });
}

// Guards against requests of different transactions on one connection, exceeded limits, answers delivered to
// another request, requests that end never or twice, and a wrong outcome of a commit.
TEST_CASE("pool and transactions keep their rules under arbitrary faults") {
  CHECK(holds_invariants({}, {}));
}

// Guards against a property check that cannot fail.
TEST_CASE("the check finds a connection that is returned before the end of its transaction is confirmed") {
  CHECK_FALSE(holds_invariants({}, {.releases_unconfirmed = true}));
}

// Guards against a property check that cannot fail.
TEST_CASE("the check finds a pool that delivers late answers") {
  CHECK_FALSE(holds_invariants({.skips_correlation_check = true}, {}));
}

}  // namespace
}  // namespace bulrushlift
