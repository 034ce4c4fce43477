#include <catch2/catch.hpp>
#include <string>

#include "database/transaction_harness_fake.h"

namespace bulrushlift {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using kind = transaction_harness::request_kind;

/// State of the transaction when the fault is injected.
enum class step { begin, statement, commit, rollback, idle, returned };
enum class fault { term_change, reset, silence, late_answer, deadline, drain };

constexpr std::pair<step, const char*> steps[] = {
    {step::begin, "begin"},       {step::statement, "statement"}, {step::commit, "commit"},
    {step::rollback, "rollback"}, {step::idle, "idle"},           {step::returned, "return to the pool"}};
constexpr std::pair<fault, const char*> faults[] = {
    {fault::term_change, "term change"}, {fault::reset, "reset"},       {fault::silence, "silence"},
    {fault::late_answer, "late answer"}, {fault::deadline, "deadline"}, {fault::drain, "drain"}};

/// A transaction that has reached a step.
struct scenario {
  transaction_harness harness{{}, {}};
  std::uint64_t ticket = 0;  ///< Ticket of the request of the step, or of the last request before it.
  connection_id connection;
  bool has_request = false;
};

void run_step(scenario& it, kind request) {
  it.ticket = it.harness.step(0, request).value();
  it.has_request = true;
}

void answer_step_of(scenario& it) {
  it.harness.answer(it.connection, step_result::confirmed);
  it.has_request = false;
}

void advance_to(scenario& it, step where) {
  it.harness.open_all();
  it.ticket = it.harness.begin().value();
  it.connection = it.harness.connection_of(it.ticket).value();
  it.has_request = true;
  if (where == step::begin) return;
  answer_step_of(it);
  if (where == step::statement) run_step(it, kind::statement);
  if (where == step::commit || where == step::returned) run_step(it, kind::commit);
  if (where == step::rollback) run_step(it, kind::rollback);
  if (where == step::returned) answer_step_of(it);
}

void inject(scenario& it, fault what) {
  switch (what) {
    case fault::term_change:
      it.harness.change_term();
      break;
    case fault::reset:
      it.harness.reset(it.connection);
      break;
    case fault::silence:
      it.harness.run_silently(it.connection);
      it.harness.advance(seconds{11});
      break;
    case fault::late_answer:
      it.harness.answer_late(it.connection);
      it.harness.answer(it.connection, step_result::confirmed);
      break;
    case fault::deadline:
      it.harness.advance(transaction_harness::request_time);
      break;
    case fault::drain:
      it.harness.drain();
      break;
  }
}

/// Checks the answer that the caller of the step's request got.
void check_answer(const scenario& it, step where, fault what) {
  if (!it.has_request) return;
  const auto& request = it.harness.request_of(it.ticket);
  CHECK(request.ends == 1);
  const bool is_answered = what == fault::late_answer || where == step::rollback;
  if (is_answered) {
    CHECK_FALSE(request.cause);
    return;
  }
  REQUIRE(request.cause);
  const bool is_commit = where == step::commit;
  CHECK(request.cause->kind == (is_commit ? error_kind::outcome_unknown : error_kind::transaction_lost));
  CHECK(request.cause->request_outcome() == (is_commit ? outcome::unknown : outcome::not_run));
}

/// Sends a commit after the fault and checks that it is refused, unless the transaction is still open.
void check_later_commit(scenario& it, step where, fault what) {
  const bool is_ended = where == step::commit || where == step::rollback || where == step::returned;
  const bool is_fault_harmless =
      what == fault::late_answer || (where == step::idle && what == fault::deadline);
  const auto ticket = it.harness.step(0, kind::commit);
  CHECK(ticket.has_value() == (!is_ended && is_fault_harmless));
  if (ticket) it.harness.answer(it.connection, step_result::confirmed);
}

// Guards against a wrong answer, the use of one connection by two transactions and a request without an end
// when a fault occurs at any step of a transaction.
TEST_CASE("each fault at each step of a transaction") {
  for (const auto& [where, step_name] : steps) {
    for (const auto& [what, fault_name] : faults) {
      for (const bool runs_orphaned_requests : {false, true}) {
        DYNAMIC_SECTION(fault_name << " at " << step_name
                                   << (runs_orphaned_requests ? ", request runs late" : "")) {
          scenario it;
          advance_to(it, where);
          inject(it, what);
          check_answer(it, where, what);
          check_later_commit(it, where, what);
          it.harness.detect_closed_connections(runs_orphaned_requests);
          it.harness.advance(milliseconds{20});  // The pause after a connection could not be opened.
          it.harness.open_all();
          const auto next = it.harness.start_single();
          REQUIRE(next);
          it.harness.answer(it.harness.connection_of(*next).value(), step_result::confirmed);
          it.harness.advance(seconds{30});
          it.harness.check_end();
          const std::set<std::string> none;
          CHECK(it.harness.violations() == none);
        }
      }
    }
  }
}

// Guards against "not run" for a commit that the owner sent before it crashed.
TEST_CASE("the successor of a dead owner") {
  transaction_table successor{vm_id{"entry-1"}, incarnation_id{2}};
  const transaction_id id{vm_id{"entry-1"}, incarnation_id{1},   service_id{"orders"},
                          term_id{1},       customer_id{"acme"}, 1};
  for (const auto request :
       {transaction_step::statement, transaction_step::commit, transaction_step::rollback}) {
    const auto binding = successor.start_step(id, request, ticket_id{1}, {});
    REQUIRE_FALSE(binding);
    const bool is_commit = request == transaction_step::commit;
    const auto expected = is_commit                               ? error_kind::outcome_unknown
                          : request == transaction_step::rollback ? error_kind::transaction_unknown
                                                                  : error_kind::transaction_lost;
    CHECK(binding.error().kind == expected);
    CHECK(binding.error().request_outcome() == (is_commit ? outcome::unknown : outcome::not_run));
  }
}

}  // namespace
}  // namespace bulrushlift
