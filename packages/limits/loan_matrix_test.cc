#include <array>
#include <catch2/catch.hpp>
#include <string>

#include "limits/budget_fleet_fake.h"

namespace bulrushlift {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::array steps{loan_step::ask,        loan_step::grant,  loan_step::receive,       loan_step::use,
                           loan_step::report_use, loan_step::expire, loan_step::apply_document};
constexpr std::array<const char*, steps.size()> step_names{"ask",        "grant",  "receive",       "use",
                                                           "report use", "expire", "apply document"};

enum class loan_fault {
  none,
  lost_messages,
  repeated_messages,
  late_messages,
  reordered_messages,
  partition,
  crash,
  crash_of_all,
  replacement,
  short_pause,
  long_pause,
  lower_rate,
  higher_rate,
  added_vm,
};
constexpr std::array<const char*, 14> fault_names{
    "none",       "lost messages", "repeated messages", "late messages", "reordered messages",
    "partition",  "crash",         "crash of all",      "replacement",   "short pause",
    "long pause", "lower rate",    "higher rate",       "added VM"};

const customer_id customer{"large"};

budget_document document_with(std::int64_t rate) {
  budget_document document;
  document.customers[customer] = {whole_tokens(rate), whole_tokens(60)};
  return document;
}

void publish_rate(budget_fleet& fleet, std::int64_t rate) {
  auto document = document_with(rate);
  document.vms = fleet.document().vms;
  fleet.publish(std::move(document));
}

void inject(budget_fleet& fleet, loan_fault fault, std::size_t index) {
  switch (fault) {
    case loan_fault::none:
      return;
    case loan_fault::lost_messages:
      return fleet.lose_messages();
    case loan_fault::repeated_messages:
      return fleet.set_conditions({.duplicate_percent = 100});
    case loan_fault::late_messages:
      return fleet.set_conditions({.delay_percent = 100, .delay_max = milliseconds{600}});
    case loan_fault::reordered_messages:
      return fleet.set_conditions({.delay_percent = 50, .delay_max = milliseconds{8}});
    case loan_fault::partition:
      return fleet.set_partition(index, (index + 1) % fleet.instances(), true);
    case loan_fault::crash:
      return fleet.crash(index);
    case loan_fault::crash_of_all:
      for (std::size_t i = fleet.instances(); i > 0; --i) fleet.crash(i - 1);
      return;
    case loan_fault::replacement:
      return fleet.replace(index);
    case loan_fault::short_pause:
      return fleet.pause(index, milliseconds{100});
    case loan_fault::long_pause:
      return fleet.pause(index, milliseconds{700});
    case loan_fault::lower_rate:
      return publish_rate(fleet, 40);
    case loan_fault::higher_rate:
      return publish_rate(fleet, 400);
    case loan_fault::added_vm:
      return fleet.add_vm();
  }
}

/// Sends 250 requests per second to the first VM for `span`, whose share is a third of the
/// rate of 120 per second, and then a burst of 60 requests to each process.
void run_traffic(budget_fleet& fleet, duration span) {
  const auto until = fleet.now() + span;
  while (fleet.now() < until) {
    fleet.admit(0, customer, whole_tokens(1));
    fleet.advance(milliseconds{4});
  }
  for (std::size_t i = 0; i < fleet.instances(); ++i) {
    for (int n = 0; n < 60; ++n) fleet.admit(i, customer, whole_tokens(1));
  }
  fleet.advance(milliseconds{50});
}

/// Outcome of one combination of step, fault and clocks.
struct cell_result {
  bool reached = false;
  std::string violation;
  std::uint64_t admitted_after = 0;
};

/// Injects the fault when the step is first reached in each of two phases, so that the
/// second fault meets the consequences of the first.
cell_result run_cell(loan_step step, loan_fault fault, const std::vector<unsigned>& clocks) {
  budget_fleet fleet{clocks, document_with(120), 7};
  cell_result cell;
  fleet.advance(seconds{9});
  int armed = 0;
  fleet.on_step = [&](loan_step reached, std::size_t index) {
    if (reached != step || armed == 0) return;
    armed = 0;
    cell.reached = true;
    inject(fleet, fault, index);
  };
  for (int phase = 0; phase < 2; ++phase) {
    armed = 1;
    if (step == loan_step::apply_document) publish_rate(fleet, phase == 0 ? 60 : 120);
    run_traffic(fleet, milliseconds{400});
    fleet.advance(milliseconds{300});
  }
  fleet.on_step = nullptr;
  fleet.heal();
  run_traffic(fleet, milliseconds{200});
  // The buckets of restarted VMs are refilled only after the raise delay.
  fleet.advance(seconds{9});
  const auto before = fleet.admitted_count();
  run_traffic(fleet, seconds{1});
  cell.admitted_after = fleet.admitted_count() - before;
  cell.violation = fleet.violation().value_or("");
  return cell;
}

// Guards against a fault at a particular step of a loan that creates tokens or
// keeps the fleet from serving the rate once the fault is over.
TEST_CASE("no fault at any step of a loan breaks the budget") {
  const std::vector<std::vector<unsigned>> clock_sets{
      {1'000, 1'000, 1'000}, {1'010, 990, 1'010}, {990, 1'010, 1'000}};
  for (std::size_t s = 0; s < steps.size(); ++s) {
    for (std::size_t f = 0; f < fault_names.size(); ++f) {
      for (const auto& clocks : clock_sets) {
        const auto cell = run_cell(steps[s], static_cast<loan_fault>(f), clocks);
        INFO(step_names[s] << " x " << fault_names[f] << ", first clock " << clocks[0]);
        CHECK(cell.reached);
        CHECK(cell.violation.empty());
        // 70 is the lowest rate of any fault, 40 per second, for 1 s plus half of the burst of 60.
        CHECK(cell.admitted_after >= 70);
      }
    }
  }
}

}  // namespace
}  // namespace bulrushlift
