#include "limits/budget_controller.h"

#include <algorithm>
#include <utility>

#include "base/hash.h"
#include "limits/customer_budget.h"
#include "limits/key_ring.h"
#include "limits/window_limiter.h"

namespace bulrushlift {
namespace {

// A home VM with a smaller part of a window's limit would rarely have a whole token.
constexpr auto min_limit_per_home = whole_tokens(8);

/// @return the number of home VMs of a customer, at least 1.
std::size_t home_count(const budget_share& share, const budget_options& options) {
  if (options.window == duration::zero()) return options.homes_per_customer;
  const auto limit = limit_in_window(share, options.window);
  const auto useful = static_cast<std::size_t>(limit.value() / min_limit_per_home.value());
  return std::clamp<std::size_t>(useful, 1, options.homes_per_customer);
}

}  // namespace

budget_controller::budget_controller(vm_id self, incarnation_id incarnation, budget_options options,
                                     budget_test_faults faults)
    : context_(std::make_unique<budget_context>(
          budget_context{std::move(self), incarnation, options, faults, {}, first_number_of(incarnation)})) {}

budget_controller::~budget_controller() = default;

customer_budget* budget_controller::find(const customer_id& customer) {
  const auto it = customers_.find(customer);
  return it == customers_.end() ? nullptr : it->second.get();
}

void budget_controller::note_waiting(const customer_id& customer, const customer_budget& budget) {
  if (budget.has_waiting()) {
    waiting_.insert(customer);
  } else {
    waiting_.erase(customer);
  }
}

void budget_controller::set_start(duration delay, bool has_allowance) {
  context_->options.start_delay = delay;
  if (has_allowance) return;
  context_->options.restart_limit_fraction = 0;
  context_->options.restart_tokens = {};
}

budget_actions budget_controller::apply_document(const budget_document& document, time_point now) {
  budget_actions actions;
  has_document_ = true;
  std::erase_if(customers_, [&](auto& each) {
    if (document.customers.contains(each.first)) return false;
    each.second->refuse_all(actions);
    waiting_.erase(each.first);
    return true;
  });
  for (const auto& [customer, whole] : document.customers) {
    auto& budget = customers_[customer];
    if (!budget) budget = std::make_unique<customer_budget>(customer, *context_);
    const auto count = home_count(whole, context_->options);
    budget->set_share(whole, rendezvous_choose(customer.str(), document.vms, count), now);
  }
  return actions;
}

admission budget_controller::admit(const customer_id& customer, millitokens cost, time_point now,
                                   std::uint64_t random, budget_actions& actions, int priority) {
  if (customer == anonymous_customer()) return admitted{};
  if (!has_document_) {
    return refused{error{error_kind::no_configuration, "no document is in force on this VM yet",
                         std::chrono::seconds{1}}};
  }
  auto* budget = find(customer);
  if (budget == nullptr) {
    return refused{error{error_kind::forbidden, "customer " + customer.str() + " is not in the document"}};
  }
  auto decision = budget->admit(cost, now, random, actions, priority);
  note_waiting(customer, *budget);
  return decision;
}

void budget_controller::cancel(budget_ticket ticket) {
  for (const auto& customer : waiting_) find(customer)->cancel(ticket);
}

budget_actions budget_controller::on_loan_request(const loan_request& request, time_point now) {
  budget_actions actions;
  auto* budget = find(request.customer);
  const auto reply =
      budget == nullptr ? loan_reply{request.id, request.customer, {}, {}, {}} : budget->lend(request, now);
  actions.emplace_back(send_loan_reply{request.sender, reply});
  return actions;
}

budget_actions budget_controller::on_loan_reply(const vm_id& home, const loan_reply& reply, time_point now) {
  budget_actions actions;
  auto* budget = find(reply.customer);
  if (budget == nullptr) return actions;
  budget->on_loan_reply(home, reply, now, actions);
  note_waiting(reply.customer, *budget);
  return actions;
}

budget_actions budget_controller::on_loan_failed(const vm_id& home, const customer_id& customer,
                                                 loan_request_id id, time_point now) {
  budget_actions actions;
  auto* budget = find(customer);
  if (budget == nullptr) return actions;
  budget->on_loan_failed(home, id, now, actions);
  note_waiting(customer, *budget);
  return actions;
}

void budget_controller::set_unreachable(std::set<vm_id> vms) { context_->unreachable = std::move(vms); }

budget_actions budget_controller::on_timer(time_point now, std::uint64_t random) {
  budget_actions actions;
  const auto waiting = waiting_;
  for (const auto& customer : waiting) {
    auto* budget = find(customer);
    budget->on_timer(now, random, actions);
    note_waiting(customer, *budget);
  }
  return actions;
}

std::optional<time_point> budget_controller::next_timer() const {
  std::optional<time_point> next;
  for (const auto& customer : waiting_) {
    const auto when = customers_.find(customer)->second->next_timer();
    if (when && (!next || *when < *next)) next = when;
  }
  return next;
}

std::optional<budget_snapshot> budget_controller::snapshot(const customer_id& customer, time_point now) {
  auto* budget = find(customer);
  if (budget == nullptr) return std::nullopt;
  return budget->snapshot(now);
}

}  // namespace bulrushlift
