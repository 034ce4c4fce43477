#include "peers/loan_wire.h"

#include <cstdint>

namespace bulrushlift {
namespace {

std::int64_t to_signed(std::uint64_t value) { return static_cast<std::int64_t>(value); }
std::uint64_t to_unsigned(std::int64_t value) { return static_cast<std::uint64_t>(value); }

}  // namespace

peer::loan_request_t to_wire(const loan_request& request, generation_id generation) {
  peer::loan_request_t wire;
  wire.sender = request.sender.str();
  wire.incarnation = to_signed(request.incarnation.value());
  wire.customer = request.customer.str();
  wire.millitokens = request.amount.value();
  for (const auto& use : request.used) {
    peer::loan_use_t each;
    each.loan = to_signed(use.loan.value());
    each.used_millitokens = use.used.value();
    wire.used.push_back(each);
  }
  wire.generation = to_signed(generation.value());
  if (request.urgent > millitokens{}) wire.__set_urgent_millitokens(request.urgent.value());
  return wire;
}

loan_request from_wire(const peer::loan_request_t& wire) {
  loan_request request;
  request.sender = vm_id{wire.sender};
  request.incarnation = incarnation_id{to_unsigned(wire.incarnation)};
  request.customer = customer_id{wire.customer};
  request.amount = millitokens{wire.millitokens};
  for (const auto& use : wire.used) {
    request.used.push_back({loan_id{to_unsigned(use.loan)}, millitokens{use.used_millitokens}});
  }
  if (wire.__isset.urgent_millitokens) request.urgent = millitokens{wire.urgent_millitokens};
  return request;
}

peer::loan_reply_t to_wire(const loan_reply& reply) {
  peer::loan_reply_t wire;
  wire.customer = reply.customer.str();
  wire.loan = to_signed(reply.loan.value());
  wire.millitokens = reply.amount.value();
  wire.level_millitokens = reply.level.value();
  return wire;
}

loan_reply from_wire(const peer::loan_reply_t& wire, const loan_request& request) {
  return {request.id, request.customer, loan_id{to_unsigned(wire.loan)}, millitokens{wire.millitokens},
          millitokens{wire.level_millitokens}};
}

}  // namespace bulrushlift
