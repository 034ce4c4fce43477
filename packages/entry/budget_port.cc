#include "entry/budget_port.h"

#include <cmath>
#include <utility>

#include "base/log.h"

namespace bulrushlift::entry {
namespace {

using std::chrono::milliseconds;

std::int64_t signed_of(std::uint64_t value) { return static_cast<std::int64_t>(value); }
std::uint64_t unsigned_of(std::int64_t value) { return static_cast<std::uint64_t>(value); }

millitokens tokens_of(double value) { return millitokens{std::llround(value * 1'000)}; }

budget_options options() {
  budget_options value;
  // The operators' bound for a configuration to be in force everywhere.
  value.dissemination_bound = std::chrono::seconds{3};
  return value;
}

}  // namespace

budget_port::budget_port(entry_context& context)
    : context_(context),
      controller_(context.settings.vm, context.incarnation, options()),
      server_(context.loop, {},
              [this](const peer::envelope_t& message, const peer_responder& respond) {
                on_message(message, respond);
              }),
      timer_(context.loop) {}

result<net_address> budget_port::listen() { return server_.listen(context_.settings.peer_listen); }

void budget_port::configure() {
  if (!context_.board.environment || context_.board.vms.empty()) return;
  budget_document document;
  for (const auto& [vm, record] : context_.board.vms) document.vms.push_back(vm);
  for (const auto& [customer, options] : context_.board.environment->customers) {
    document.customers.emplace(customer,
                               budget_share{tokens_of(options.rate_per_second), tokens_of(options.burst)});
  }
  if (document == document_) return;
  document_ = document;
  perform(controller_.apply_document(document, context_.loop.now()));
}

void budget_port::admit(const customer_id& customer, admit_callback done) {
  budget_actions actions;
  const auto decision =
      controller_.admit(customer, whole_tokens(1), context_.loop.now(), context_.random(), actions);
  if (const auto* wait = std::get_if<waits_for_loan>(&decision)) {
    waiting_.emplace(wait->ticket, std::move(done));
    perform(actions);
    return;
  }
  perform(actions);
  done(std::holds_alternative<admitted>(decision));
}

void budget_port::perform(const budget_actions& actions) {
  for (const auto& action : actions) {
    std::visit([this](const auto& each) { run(each); }, action);
  }
  rearm();
}

peer_link* budget_port::link_to(const vm_id& vm) {
  const auto record = context_.board.vms.find(vm);
  if (record == context_.board.vms.end()) return nullptr;
  auto& known = peers_[vm];
  if (known.link && known.address == record->second.peer_address) return known.link.get();
  const auto address = parse_address(record->second.peer_address);
  if (!address) {
    log_warning("peer_address_invalid", {{"peer", vm.str()}, {"reason", address.error().message}});
    return nullptr;
  }
  peer_link_options link_options;
  link_options.seed = context_.random();
  known.address = record->second.peer_address;
  known.link = std::make_unique<peer_link>(context_.loop, *address, link_options);
  return known.link.get();
}

void budget_port::run(const ask_loan& action) {
  auto* link = link_to(action.home);
  if (link == nullptr) {
    context_.loop.post(
        [this, action] { on_loan_answer(action, make_error(error_kind::peer_unavailable, "")); });
    return;
  }
  peer::loan_request_t wire;
  wire.sender = action.request.sender.str();
  wire.incarnation = signed_of(action.request.incarnation.value());
  wire.customer = action.request.customer.str();
  wire.millitokens = action.request.amount.value();
  for (const auto& use : action.request.used) {
    peer::loan_use_t each;
    each.loan = signed_of(use.loan.value());
    each.used_millitokens = use.used.value();
    wire.used.push_back(each);
  }
  wire.generation = signed_of(context_.board.environment->generation.value());
  peer::envelope_t message;
  message.__set_loan_request(wire);
  link->request(std::move(message), options().loan_lifetime,
                [this, action](const result<peer::envelope_t>& reply) { on_loan_answer(action, reply); });
}

void budget_port::on_loan_answer(const ask_loan& action, const result<peer::envelope_t>& reply) {
  const auto now = context_.loop.now();
  const auto& request = action.request;
  if (!reply || !reply->__isset.loan_reply) {
    perform(controller_.on_loan_failed(action.home, request.customer, request.id, now));
    return;
  }
  const auto& grant = reply->loan_reply;
  perform(controller_.on_loan_reply(action.home,
                                    {request.id, request.customer, loan_id{unsigned_of(grant.loan)},
                                     millitokens{grant.millitokens}, millitokens{grant.level_millitokens}},
                                    now));
}

void budget_port::on_message(const peer::envelope_t& message, const peer_responder& respond) {
  if (!message.__isset.loan_request) {
    respond(error{error_kind::protocol_error, "only loan requests are understood"});
    return;
  }
  const auto& wire = message.loan_request;
  loan_request request;
  request.sender = vm_id{wire.sender};
  request.incarnation = incarnation_id{unsigned_of(wire.incarnation)};
  request.customer = customer_id{wire.customer};
  request.amount = millitokens{wire.millitokens};
  for (const auto& use : wire.used) {
    request.used.push_back({loan_id{unsigned_of(use.loan)}, millitokens{use.used_millitokens}});
  }
  reply_ = {};
  reply_.customer = wire.customer;
  perform(controller_.on_loan_request(request, context_.loop.now()));
  peer::envelope_t reply;
  reply.__set_loan_reply(reply_);
  respond(std::move(reply));
}

void budget_port::run(const answer_loan& action) {
  reply_.loan = signed_of(action.reply.loan.value());
  reply_.millitokens = action.reply.amount.value();
  reply_.level_millitokens = action.reply.level.value();
}

void budget_port::run(const resume_request& action) { finish(action.ticket, true); }
void budget_port::run(const refuse_request& action) { finish(action.ticket, false); }

void budget_port::finish(budget_ticket ticket, bool is_admitted) {
  const auto node = waiting_.extract(ticket);
  if (!node.empty()) node.mapped()(is_admitted);
}

void budget_port::rearm() {
  const auto due = controller_.next_timer();
  if (!due) {
    timer_.cancel();
    return;
  }
  timer_.set(*due - context_.loop.now(),
             [this] { perform(controller_.on_timer(context_.loop.now(), context_.random())); });
}

}  // namespace bulrushlift::entry
