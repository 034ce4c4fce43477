#include "daemon/budget_adapter.h"

#include <utility>

#include "daemon/peer_adapter.h"
#include "limits/document_limits.h"
#include "peers/loan_wire.h"

namespace bulrushlift {
namespace {

budget_options options_of(const settings& values) {
  budget_options options;
  options.loan_lifetime = values.timing.loan_lifetime;
  options.loan_wait = values.timing.loan_wait;
  options.dissemination_bound = values.timing.dissemination_bound;
  return options;
}

}  // namespace

budget_adapter::budget_adapter(daemon_context& context, peer_adapter& peers)
    : context_(context),
      peers_(peers),
      controller_(context.options.vm, context.incarnation, options_of(context.options)),
      timer_(context.loop) {}

void budget_adapter::configure() {
  perform(controller_.apply_document(budgets_of(context_.shared.configuration), context_.loop.now()));
}

void budget_adapter::admit(const customer_id& customer, admit_callback done) {
  // Anonymous requests have no rate limit; the fair queue bounds them.
  if (customer == anonymous_customer()) {
    done({});
    return;
  }
  budget_actions actions;
  const auto decision =
      controller_.admit(customer, whole_tokens(1), context_.loop.now(), context_.random(), actions);
  if (const auto* wait = std::get_if<waits_for_loan>(&decision)) {
    waiting_.emplace(wait->ticket, std::move(done));
    perform(actions);
    return;
  }
  perform(actions);
  if (const auto* refusal = std::get_if<refused>(&decision)) {
    done(tl::unexpected<error>(refusal->reason));
  } else {
    done({});
  }
}

peer::loan_reply_t budget_adapter::lend(const peer::loan_request_t& wire) {
  reply_ = {};
  reply_.customer = wire.customer;
  perform(controller_.on_loan_request(from_wire(wire), context_.loop.now()));
  return reply_;
}

void budget_adapter::update_members() {
  std::set<vm_id> unreachable;
  for (const auto& each : context_.shared.members) {
    if (each.state != member_state::alive) unreachable.insert(each.vm);
  }
  controller_.set_unreachable(std::move(unreachable));
}

std::optional<budget_snapshot> budget_adapter::snapshot(const customer_id& customer) {
  return controller_.snapshot(customer, context_.loop.now());
}

void budget_adapter::perform(const budget_actions& actions) {
  for (const auto& action : actions) {
    std::visit([this](const auto& each) { run(each); }, action);
  }
  rearm();
}

void budget_adapter::run(const send_loan_request& action) {
  peer::envelope_t message;
  message.__set_loan_request(to_wire(action.request, context_.shared.configuration.generation()));
  const auto request = action.request;
  const auto home = action.home;
  peers_.request(
      home, std::move(message), context_.options.timing.loan_lifetime,
      [this, home, request](const result<peer::envelope_t>& reply) {
        if (!reply || !reply->__isset.loan_reply) {
          perform(controller_.on_loan_failed(home, request.customer, request.id, context_.loop.now()));
          return;
        }
        perform(controller_.on_loan_reply(home, from_wire(reply->loan_reply, request), context_.loop.now()));
      });
}

void budget_adapter::run(const send_loan_reply& action) { reply_ = to_wire(action.reply); }

void budget_adapter::run(const resume_request& action) { finish(action.ticket, {}); }

void budget_adapter::run(const refuse_request& action) {
  finish(action.ticket, tl::unexpected<error>(action.reason));
}

void budget_adapter::finish(budget_ticket ticket, const result<void>& value) {
  const auto node = waiting_.extract(ticket);
  if (!node.empty()) node.mapped()(value);
}

void budget_adapter::rearm() {
  const auto due = controller_.next_timer();
  if (!due) {
    timer_.cancel();
    return;
  }
  timer_.set(*due - context_.loop.now(),
             [this] { perform(controller_.on_timer(context_.loop.now(), context_.random())); });
}

}  // namespace bulrushlift
