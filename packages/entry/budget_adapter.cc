#include "entry/budget_adapter.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "base/log.h"
#include "peers/loan_wire.h"

namespace bulrushlift::entry {
namespace {

using std::chrono::milliseconds;

double to_tokens(millitokens amount) { return static_cast<double>(amount.value()) / 1'000; }

millitokens to_millitokens(double value) { return millitokens{std::llround(value * 1'000)}; }

// Loans are spent as soon as they arrive, so that a short lifetime wastes few, and a restarted home VM
// waits only for the loans of its previous process.
constexpr duration loan_lifetime = std::chrono::milliseconds{120};

// An operation waits this long for a loan: two answers of home VMs that are busy.
constexpr duration loan_wait = std::chrono::milliseconds{60};

// Part of the tolerated excess that restarted home VMs admit; the rest covers the loans of their previous
// processes.
constexpr double restart_part = 0.5;

budget_options options_of(const entry_settings& settings) {
  budget_options value;
  value.window = settings.rate_window;
  value.restart_limit_fraction = settings.rate_overage * restart_part;
  value.restart_tokens = to_millitokens(settings.rate_slack * restart_part);
  value.dissemination_bound = settings.configuration_bound;
  value.loan_lifetime = loan_lifetime;
  value.loan_wait = loan_wait;
  // The loans of the previous process of this VM must have expired. Until the other VMs know a new
  // VM, the shares may add up to more than the limit; the operators tolerate that.
  value.start_delay = value.outstanding_time();
  return value;
}

}  // namespace

budget_adapter::budget_adapter(entry_context& context, peer_adapter& peers)
    : context_(context),
      peers_(peers),
      options_(options_of(context.settings)),
      process_start_(context.loop.now()),
      controller_(context.settings.vm, context.incarnation, options_),
      timer_(context.loop) {
  peers_.on_loan_request([this](const peer::envelope_t& message, const peer_responder& respond) {
    on_message(message, respond);
  });
}

void budget_adapter::configure() {
  if (!context_.shared.environment || context_.shared.vms.empty()) return;
  budget_document document;
  for (const auto& [vm, record] : context_.shared.vms) document.vms.push_back(vm);
  for (const auto& [customer, options] : context_.shared.environment->customers) {
    document.customers.emplace(
        customer, budget_share{to_millitokens(options.rate_per_second), to_millitokens(options.burst)});
  }
  if (document == document_) return;
  const auto now = context_.loop.now();
  if (document_ == budget_document{}) {
    const auto remaining = options_.outstanding_time() - (now - process_start_);
    controller_.set_start(std::max(remaining, duration::zero()), !has_restarted_lately());
  }
  document_ = document;
  perform(controller_.apply_document(document, now));
}

bool budget_adapter::has_restarted_lately() const {
  // The record in the store is that of the previous process until this one has announced itself.
  const auto it = context_.shared.vms.find(context_.settings.vm);
  if (it == context_.shared.vms.end() || it->second.incarnation == context_.incarnation) return false;
  const auto since_start = std::chrono::milliseconds{context_.incarnation.value()} -
                           std::chrono::milliseconds{it->second.incarnation.value()};
  return since_start < 2 * context_.settings.rate_window;
}

void budget_adapter::admit(const customer_id& customer, int priority, admit_callback done) {
  budget_actions actions;
  const auto decision =
      controller_.admit(customer, whole_tokens(1), context_.loop.now(), context_.random(), actions, priority);
  if (const auto* wait = std::get_if<waits_for_loan>(&decision)) {
    waiting_.emplace(wait->ticket, std::move(done));
    perform(actions);
    return;
  }
  perform(actions);
  done(std::holds_alternative<admitted>(decision));
}

void budget_adapter::log_refusal(const customer_id& customer, std::string_view request_id,
                                 std::string_view database, int priority) {
  context_.counters.counter("refused_over_rate_total").add();
  const auto budget = controller_.snapshot(customer, context_.loop.now()).value_or(budget_snapshot{});
  const auto& environment = context_.shared.environment;
  sql::customer_options limit;
  if (environment) {
    const auto it = environment->customers.find(customer);
    if (it != environment->customers.end()) limit = it->second;
  }
  log_info("over_rate", {{"request_id", request_id},
                         {"customer", customer.str()},
                         {"database", database},
                         {"priority", std::int64_t{priority}},
                         {"rate", limit.rate_per_second},
                         {"burst", limit.burst},
                         {"generation", environment ? environment->generation.value() : std::uint64_t{0}},
                         {"own_tokens", to_tokens(budget.level)},
                         {"lent_tokens", to_tokens(budget.outstanding)},
                         {"borrowed_tokens", to_tokens(budget.borrowed)},
                         {"recent_demand", to_tokens(budget.demand)},
                         {"reserved_tokens", to_tokens(budget.reserved)},
                         {"waiting", std::uint64_t{budget.waiting}}});
}

void budget_adapter::perform(const budget_actions& actions) {
  for (const auto& action : actions) {
    std::visit([this](const auto& each) { run(each); }, action);
  }
  reset_timer();
}

void budget_adapter::run(const send_loan_request& action) {
  peer::envelope_t message;
  message.__set_loan_request(to_wire(action.request, context_.shared.environment->generation));
  peers_.request(action.home, std::move(message), options_.loan_lifetime,
                 [this, action](const result<peer::envelope_t>& reply) { on_loan_answer(action, reply); });
}

void budget_adapter::on_loan_answer(const send_loan_request& action, const result<peer::envelope_t>& reply) {
  const auto now = context_.loop.now();
  const auto& request = action.request;
  if (!reply || !reply->__isset.loan_reply) {
    perform(controller_.on_loan_failed(action.home, request.customer, request.id, now));
    return;
  }
  perform(controller_.on_loan_reply(action.home, from_wire(reply->loan_reply, request), now));
}

void budget_adapter::on_message(const peer::envelope_t& message, const peer_responder& respond) {
  reply_ = {};
  reply_.customer = message.loan_request.customer;
  perform(controller_.on_loan_request(from_wire(message.loan_request), context_.loop.now()));
  peer::envelope_t reply;
  reply.__set_loan_reply(reply_);
  respond(std::move(reply));
}

void budget_adapter::run(const send_loan_reply& action) { reply_ = to_wire(action.reply); }

void budget_adapter::run(const resume_request& action) { complete_wait(action.ticket, true); }
void budget_adapter::run(const refuse_request& action) { complete_wait(action.ticket, false); }

void budget_adapter::complete_wait(budget_ticket ticket, bool is_admitted) {
  const auto node = waiting_.extract(ticket);
  if (!node.empty()) node.mapped()(is_admitted);
}

void budget_adapter::reset_timer() {
  const auto due = controller_.next_timer();
  if (!due) {
    timer_.cancel();
    return;
  }
  timer_.set(*due - context_.loop.now(),
             [this] { perform(controller_.on_timer(context_.loop.now(), context_.random())); });
}

}  // namespace bulrushlift::entry
