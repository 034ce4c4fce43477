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

/// @return the VM that is first by rendezvous hash, as an index.
std::size_t first_vm(const std::string& customer, std::size_t vms) {
  const auto names = vm_names(vms);
  const auto best = rendezvous_choose(customer, names, 1).front();
  return static_cast<std::size_t>(std::find(names.begin(), names.end(), best) - names.begin());
}

}  // namespace

budget_options options_without_documents() {
  budget_options options;
  options.dissemination_bound = duration::zero();
  return options;
}

fixed_split::fixed_split(rate_world& world) : world_(world) {
  world.set_holder(first_vm(world.customers().front().name, world.vms()));
  const auto count = static_cast<std::int64_t>(world.vms());
  for (std::int64_t vm = 0; vm < count; ++vm) {
    auto& buckets = buckets_.emplace_back();
    for (const auto& customer : world.customers()) {
      buckets.emplace_back(options_without_documents(), budget_test_faults{});
      buckets.back().set_share(share_of(customer.share, vm, count), world.now());
    }
  }
}

void fixed_split::on_request(std::size_t index, const rate_request& request) {
  auto& bucket = buckets_[request.vm][request.customer];
  bucket.advance_to(world_.now());
  const bool is_admitted = bucket.level() >= request_cost;
  if (is_admitted) bucket.take(request_cost);
  world_.decide(index, is_admitted);
}

void fixed_split::on_restart(std::size_t vm) {
  for (auto& bucket : buckets_[vm]) {
    bucket.advance_to(world_.now());
    bucket.take(bucket.level());
  }
}

loan_policy::loan_policy(rate_world& world) : world_(world), nodes_(world.vms()) {
  world.set_holder(first_vm(world.customers().front().name, world.vms()));
  document_.vms = vm_names(world.vms());
  for (std::size_t i = 0; i < document_.vms.size(); ++i) index_of_[document_.vms[i]] = i;
  for (const auto& each : world.customers()) document_.customers[customer_id{each.name}] = each.share;
  for (std::size_t i = 0; i < nodes_.size(); ++i) start(i);
}

void loan_policy::start(std::size_t vm) {
  auto& node = nodes_[vm];
  node = {};
  const incarnation_id incarnation{static_cast<std::uint64_t>(world_.elapsed() / milliseconds{1}) + 1};
  node.budgets = std::make_unique<budget_controller>(document_.vms[vm], incarnation, budget_options{});
  do_actions(vm, node.budgets->apply_document(document_, world_.now()));
}

void loan_policy::on_restart(std::size_t vm) { start(vm); }

void loan_policy::on_request(std::size_t index, const rate_request& request) {
  auto& node = nodes_[request.vm];
  budget_actions actions;
  const customer_id customer{world_.customers()[request.customer].name};
  const auto decision = node.budgets->admit(customer, request_cost, world_.now(), index, actions);
  if (const auto* waits = std::get_if<waits_for_loan>(&decision)) {
    node.waiting[waits->ticket] = index;
  } else {
    world_.decide(index, std::holds_alternative<admitted>(decision));
  }
  do_actions(request.vm, actions);
}

void loan_policy::do_actions(std::size_t vm, const budget_actions& actions) {
  auto& node = nodes_[vm];
  for (const auto& action : actions) {
    if (const auto* ask = std::get_if<send_loan_request>(&action)) {
      const auto home = index_of_.at(ask->home);
      world_.send(vm, home, [this, vm, home, request = ask->request] {
        const auto answers = nodes_[home].budgets->on_loan_request(request, world_.now());
        const auto& reply = std::get<send_loan_reply>(answers.front()).reply;
        world_.send(home, vm, [this, vm, home, reply] {
          do_actions(vm, nodes_[vm].budgets->on_loan_reply(document_.vms[home], reply, world_.now()));
        });
      });
    } else if (const auto* resume = std::get_if<resume_request>(&action)) {
      world_.decide(node.waiting.extract(resume->ticket).mapped(), true);
    } else if (const auto* refuse = std::get_if<refuse_request>(&action)) {
      world_.decide(node.waiting.extract(refuse->ticket).mapped(), false);
    }
  }
  set_timer(vm);
}

void loan_policy::set_timer(std::size_t vm) {
  auto& node = nodes_[vm];
  const auto next = node.budgets->next_timer();
  if (!next || (node.timer && *node.timer <= *next)) return;
  node.timer = *next;
  world_.at(*next, vm, [this, vm, when = *next] {
    // An earlier timer has replaced this one.
    if (nodes_[vm].timer != when) return;
    nodes_[vm].timer.reset();
    const auto random = static_cast<std::uint64_t>(world_.elapsed().count());
    do_actions(vm, nodes_[vm].budgets->on_timer(world_.now(), random));
  });
}

single_holder::single_holder(rate_world& world)
    : world_(world), options_(options_without_documents()), states_(world.vms()) {
  for (const auto& customer : world.customers()) {
    holders_.push_back({first_vm(customer.name, world.vms()), home_bucket{options_, {}}, 0, false});
    holders_.back().bucket.set_share(customer.share, world.now());
  }
  for (auto& each : states_) each.resize(world.customers().size());
  world.set_holder(holders_.front().vm);
}

void single_holder::on_restart(std::size_t vm) {
  for (auto& each : states_[vm]) each = {};
}

void single_holder::on_request(std::size_t index, const rate_request& request) {
  auto& state = states_[request.vm][request.customer];
  state.demand.add(request_cost, world_.now());
  state.waiting.push_back({index, world_.now() + options_.loan_wait});
  serve(request.vm, request.customer);
  if (state.waiting.empty()) return;
  const auto serve_later = [this, vm = request.vm, customer = request.customer] { serve(vm, customer); };
  world_.at(world_.now() + options_.loan_wait / 2, request.vm, serve_later);
  world_.at(world_.now() + options_.loan_wait, request.vm, serve_later);
}

void single_holder::serve(std::size_t vm, std::size_t customer) {
  auto& state = states_[vm][customer];
  // The holder spends from its bucket directly.
  auto& bucket = holders_[customer].bucket;
  const bool is_holder = holders_[customer].vm == vm;
  if (is_holder) bucket.advance_to(world_.now());
  while (!state.waiting.empty()) {
    const auto front = state.waiting.front();
    if (is_holder && bucket.level() >= request_cost) {
      bucket.take(request_cost);
      world_.decide(front.index, true);
    } else if (state.lots.available(world_.now()) >= request_cost) {
      state.lots.take(request_cost, world_.now());
      world_.decide(front.index, true);
    } else if (front.deadline <= world_.now()) {
      world_.decide(front.index, false);
    } else {
      break;
    }
    state.waiting.pop_front();
  }
  if (state.waiting.empty()) return;
  ask(vm, customer);
}

void single_holder::ask(std::size_t vm, std::size_t customer) {
  auto& state = states_[vm][customer];
  const auto holder = holders_[customer].vm;
  if (!world_.is_alive(holder)) replace_holder(customer);
  if (holder == vm || state.is_asking || state.ask_after > world_.now()) return;
  const auto waiting = request_cost * static_cast<std::int64_t>(state.waiting.size());
  const auto amount = std::max(waiting, state.demand.sum(world_.now())) - state.lots.available(world_.now());
  const auto sent = world_.now();
  state.is_asking = true;
  world_.at(sent + options_.answer_timeout, vm, [this, vm, customer] {
    states_[vm][customer].is_asking = false;
    serve(vm, customer);
  });
  world_.send(vm, holder, [this, vm, customer, holder, amount, sent] {
    const auto granted = grant(customer, amount);
    const loan_id loan{holders_[customer].loans};
    world_.send(holder, vm, [this, vm, customer, amount, granted, loan, sent] {
      auto& asking = states_[vm][customer];
      asking.is_asking = false;
      if (granted > millitokens{})
        asking.lots.add(vm_id{"holder"}, loan, granted, sent + options_.loan_lifetime);
      if (granted < amount) asking.ask_after = world_.now() + options_.retry_pause;
      serve(vm, customer);
    });
  });
}

millitokens single_holder::grant(std::size_t customer, millitokens amount) {
  auto& holder = holders_[customer];
  holder.bucket.advance_to(world_.now());
  return holder.bucket.lend(loan_id{++holder.loans}, vm_id{}, incarnation_id{}, amount, world_.now());
}

void single_holder::replace_holder(std::size_t customer) {
  if (holders_[customer].is_changing) return;
  holders_[customer].is_changing = true;
  const auto next = (holders_[customer].vm + 1) % world_.vms();
  world_.at(world_.now() + holder_lease, next, [this, customer, next] {
    const auto loans = holders_[customer].loans;
    holders_[customer] = {next, home_bucket{options_, {}}, loans, false};
    holders_[customer].bucket.set_share(world_.customers()[customer].share, world_.now());
  });
}

}  // namespace bulrushlift
