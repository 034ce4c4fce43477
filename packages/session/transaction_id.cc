#include "session/transaction_id.h"

#include <cstddef>

#include "session/byte_codec.h"

namespace bulrushlift {
namespace {

constexpr std::string_view purpose = "transaction";
constexpr std::uint64_t format_version = 1;
constexpr std::size_t maximum_name_size = 64;

tl::unexpected<error> unknown(std::string message) {
  return make_error(error_kind::transaction_unknown, std::move(message));
}

}  // namespace

std::string encode_transaction_id(const transaction_id& id, const token_signer& signer) {
  internal::byte_writer writer;
  writer.number(format_version);
  writer.name(id.owner.str());
  writer.number(id.owner_incarnation.value());
  writer.name(id.service.str());
  writer.number(id.term.value());
  writer.name(id.customer.str());
  writer.number(id.counter);
  return signer.sign(purpose, writer.bytes());
}

result<transaction_id> decode_transaction_id(std::string_view text, const customer_id& customer,
                                             const token_signer& signer) {
  if (text.size() > maximum_transaction_text_size)
    return unknown("the transaction id is longer than 512 bytes");
  const auto content = signer.verify(purpose, text);
  if (!content) return unknown("the transaction id is not authentic");
  internal::byte_reader reader{*content};
  if (reader.number() != format_version) return unknown("the transaction id has an unknown format");
  transaction_id id;
  id.owner = vm_id{reader.name(maximum_name_size)};
  id.owner_incarnation = incarnation_id{reader.number()};
  id.service = service_id{reader.name(maximum_name_size)};
  id.term = term_id{reader.number()};
  id.customer = customer_id{reader.name(maximum_name_size)};
  id.counter = reader.number();
  if (!reader.is_complete()) return unknown("the transaction id has an unknown format");
  if (id.customer != customer) return unknown("the transaction belongs to another customer");
  return id;
}

}  // namespace bulrushlift
