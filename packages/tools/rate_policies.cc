#include "tools/rate_policies.h"

#include <algorithm>
#include <string>

#include "base/hash.h"

namespace bulrushlift {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr millitokens request_cost = whole_tokens(1);
constexpr duration holder_lease = seconds{2};

std::vector<vm_id> vm_names(std::size_t count) {
  std::vector<vm_id> names;
  for (std::size_t i = 0; i < count; ++i) names.emplace_back("entry-" + std::to_string(i + 1));
  return names;
}

/// @return the index of the VM that rendezvous hashing ranks first for the customer.
std::size_t rendezvous_vm(const std::string& customer, std::size_t vms) {
  const auto names = vm_names(vms);
  const auto best = rendezvous_choose(customer, names, 1).front();
  return static_cast<std::size_t>(std::find(names.begin(), names.end(), best) - names.begin());
}

}  // namespace

budget_options options_without_dissemination_wait() {
  budget_options options;
  options.dissemination_bound = duration::zero();
  return options;
}

fixed_split::fixed_split(rate_simulation& simulation) : simulation_(simulation) {
  simulation.set_holder(rendezvous_vm(simulation.customers().front().name, simulation.vms()));
  const auto count = static_cast<std::int64_t>(simulation.vms());
  for (std::int64_t vm = 0; vm < count; ++vm) {
    auto& buckets = buckets_.emplace_back();
    for (const auto& customer : simulation.customers()) {
      buckets.emplace_back(options_without_dissemination_wait(), budget_test_faults{});
      buckets.back().set_share(customer.share, {vm, count}, simulation.now());
    }
  }
}

void fixed_split::on_request(std::size_t index, const rate_request& request) {
  auto& bucket = buckets_[request.vm][request.customer];
  bucket.advance_to(simulation_.now());
  const bool is_admitted = bucket.level() >= request_cost;
  if (is_admitted) bucket.take(request_cost, simulation_.now());
  simulation_.record_decision(index, is_admitted);
}

void fixed_split::on_restart(std::size_t vm) {
  for (auto& bucket : buckets_[vm]) {
    bucket.advance_to(simulation_.now());
    bucket.take(bucket.level(), simulation_.now());
  }
}

loan_policy::loan_policy(rate_simulation& simulation)
    : simulation_(simulation), vm_states_(simulation.vms()) {
  simulation.set_holder(rendezvous_vm(simulation.customers().front().name, simulation.vms()));
  document_.vms = vm_names(simulation.vms());
  for (std::size_t i = 0; i < document_.vms.size(); ++i) index_of_[document_.vms[i]] = i;
  for (const auto& each : simulation.customers()) document_.customers[customer_id{each.name}] = each.share;
  for (std::size_t i = 0; i < vm_states_.size(); ++i) start(i);
}

void loan_policy::start(std::size_t vm) {
  auto& proxy = vm_states_[vm];
  proxy = {};
  const incarnation_id incarnation{static_cast<std::uint64_t>(simulation_.elapsed() / milliseconds{1}) + 1};
  proxy.budgets = std::make_unique<budget_controller>(document_.vms[vm], incarnation, budget_options{});
  execute(vm, proxy.budgets->apply_document(document_, simulation_.now()));
}

void loan_policy::on_restart(std::size_t vm) { start(vm); }

void loan_policy::on_request(std::size_t index, const rate_request& request) {
  auto& proxy = vm_states_[request.vm];
  budget_actions actions;
  const customer_id customer{simulation_.customers()[request.customer].name};
  const auto decision = proxy.budgets->admit(customer, request_cost, simulation_.now(), index, actions);
  if (const auto* waits = std::get_if<waits_for_loan>(&decision)) {
    proxy.waiting[waits->ticket] = index;
  } else {
    simulation_.record_decision(index, std::holds_alternative<admitted>(decision));
  }
  execute(request.vm, actions);
}

void loan_policy::execute(std::size_t vm, const budget_actions& actions) {
  auto& proxy = vm_states_[vm];
  for (const auto& action : actions) {
    if (const auto* outgoing = std::get_if<send_loan_request>(&action)) {
      const auto home = index_of_.at(outgoing->home);
      simulation_.send(vm, home, [this, vm, home, request = outgoing->request] {
        const auto answers = vm_states_[home].budgets->on_loan_request(request, simulation_.now());
        const auto& reply = std::get<send_loan_reply>(answers.front()).reply;
        simulation_.send(home, vm, [this, vm, home, reply] {
          execute(vm, vm_states_[vm].budgets->on_loan_reply(document_.vms[home], reply, simulation_.now()));
        });
      });
    } else if (const auto* resume = std::get_if<resume_request>(&action)) {
      simulation_.record_decision(proxy.waiting.extract(resume->ticket).mapped(), true);
    } else if (const auto* refuse = std::get_if<refuse_request>(&action)) {
      simulation_.record_decision(proxy.waiting.extract(refuse->ticket).mapped(), false);
    }
  }
  set_timer(vm);
}

void loan_policy::set_timer(std::size_t vm) {
  auto& proxy = vm_states_[vm];
  const auto next = proxy.budgets->next_timer();
  if (!next || (proxy.timer && *proxy.timer <= *next)) return;
  proxy.timer = *next;
  simulation_.at(*next, vm, [this, vm, when = *next] {
    // This timer was replaced by an earlier one.
    if (vm_states_[vm].timer != when) return;
    vm_states_[vm].timer.reset();
    const auto random = static_cast<std::uint64_t>(simulation_.elapsed().count());
    execute(vm, vm_states_[vm].budgets->on_timer(simulation_.now(), random));
  });
}

single_holder::single_holder(rate_simulation& simulation)
    : simulation_(simulation), options_(options_without_dissemination_wait()), states_(simulation.vms()) {
  for (const auto& customer : simulation.customers()) {
    holders_.push_back({rendezvous_vm(customer.name, simulation.vms()), home_bucket{options_, {}}, 0, false});
    holders_.back().bucket.set_share(customer.share, {0, 1}, simulation.now());
  }
  for (auto& each : states_) each.resize(simulation.customers().size());
  simulation.set_holder(holders_.front().vm);
}

void single_holder::on_restart(std::size_t vm) {
  for (auto& each : states_[vm]) each = {};
}

void single_holder::on_request(std::size_t index, const rate_request& request) {
  auto& state = states_[request.vm][request.customer];
  state.demand.add(request_cost, simulation_.now());
  state.waiting.push_back({index, simulation_.now() + options_.loan_wait});
  serve(request.vm, request.customer);
  if (state.waiting.empty()) return;
  const auto serve_later = [this, vm = request.vm, customer = request.customer] { serve(vm, customer); };
  simulation_.at(simulation_.now() + options_.loan_wait / 2, request.vm, serve_later);
  simulation_.at(simulation_.now() + options_.loan_wait, request.vm, serve_later);
}

void single_holder::serve(std::size_t vm, std::size_t customer) {
  auto& state = states_[vm][customer];
  // The holder takes tokens from its bucket directly; other VMs need grants.
  auto& bucket = holders_[customer].bucket;
  const bool is_holder = holders_[customer].vm == vm;
  if (is_holder) bucket.advance_to(simulation_.now());
  while (!state.waiting.empty()) {
    const auto front = state.waiting.front();
    if (is_holder && bucket.level() >= request_cost) {
      bucket.take(request_cost, simulation_.now());
      simulation_.record_decision(front.index, true);
    } else if (state.tokens.available(simulation_.now()) >= request_cost) {
      state.tokens.take(request_cost, simulation_.now());
      simulation_.record_decision(front.index, true);
    } else if (front.deadline <= simulation_.now()) {
      simulation_.record_decision(front.index, false);
    } else {
      break;
    }
    state.waiting.pop_front();
  }
  if (state.waiting.empty()) return;
  request_grant(vm, customer);
}

void single_holder::request_grant(std::size_t vm, std::size_t customer) {
  auto& state = states_[vm][customer];
  const auto holder = holders_[customer].vm;
  if (!simulation_.is_alive(holder)) replace_holder(customer);
  if (holder == vm || state.is_request_pending || state.next_request_at > simulation_.now()) return;
  const auto waiting = request_cost * static_cast<std::int64_t>(state.waiting.size());
  const auto amount =
      std::max(waiting, state.demand.sum(simulation_.now())) - state.tokens.available(simulation_.now());
  const auto sent = simulation_.now();
  state.is_request_pending = true;
  simulation_.at(sent + options_.answer_timeout, vm, [this, vm, customer] {
    states_[vm][customer].is_request_pending = false;
    serve(vm, customer);
  });
  simulation_.send(vm, holder, [this, vm, customer, holder, amount, sent] {
    const auto granted = grant(customer, amount);
    const loan_id loan{holders_[customer].loans};
    simulation_.send(holder, vm, [this, vm, customer, amount, granted, loan, sent] {
      auto& requester = states_[vm][customer];
      requester.is_request_pending = false;
      if (granted > millitokens{})
        requester.tokens.add(vm_id{"holder"}, loan, granted, sent + options_.loan_lifetime);
      if (granted < amount) requester.next_request_at = simulation_.now() + options_.retry_pause;
      serve(vm, customer);
    });
  });
}

millitokens single_holder::grant(std::size_t customer, millitokens amount) {
  auto& holder = holders_[customer];
  holder.bucket.advance_to(simulation_.now());
  return holder.bucket.lend(loan_id{++holder.loans}, vm_id{}, incarnation_id{}, amount, simulation_.now());
}

void single_holder::replace_holder(std::size_t customer) {
  if (holders_[customer].is_failover_pending) return;
  holders_[customer].is_failover_pending = true;
  const auto next = (holders_[customer].vm + 1) % simulation_.vms();
  simulation_.at(simulation_.now() + holder_lease, next, [this, customer, next] {
    const auto loans = holders_[customer].loans;
    holders_[customer] = {next, home_bucket{options_, {}}, loans, false};
    holders_[customer].bucket.set_share(simulation_.customers()[customer].share, {0, 1}, simulation_.now());
  });
}

}  // namespace bulrushlift
