#include "session/transaction_id.h"

#include <cstddef>

#include "session/byte_codec.h"

namespace bulrushlift {
namespace {

constexpr std::string_view purpose = "transaction";
constexpr std::uint64_t format_version = 1;
constexpr std::size_t max_name_size = 64;

tl::unexpected<error> unknown_transaction(std::string message) {
  return make_error(error_kind::transaction_unknown, std::move(message));
}

}  // namespace

std::string encode_transaction_id(const transaction_id& id, const token_signer& signer) {
  internal::byte_writer writer;
  writer.varint(format_version);
  writer.name(id.owner.str());
  writer.varint(id.owner_incarnation.value());
  writer.name(id.service.str());
  writer.varint(id.term.value());
  writer.name(id.customer.str());
  writer.varint(id.counter);
  return signer.sign(purpose, writer.bytes());
}

result<transaction_id> decode_transaction_id(std::string_view text, const customer_id& customer,
                                             const token_signer& signer) {
  if (text.size() > max_transaction_text_size)
    return unknown_transaction("the transaction id is longer than 512 bytes");
  const auto content = signer.verify(purpose, text);
  if (!content) return unknown_transaction("the transaction id is not authentic");
  internal::byte_reader reader{*content};
  if (reader.varint() != format_version)
    return unknown_transaction("the transaction id has an unknown format");
  transaction_id id;
  id.owner = vm_id{reader.name(max_name_size)};
  id.owner_incarnation = incarnation_id{reader.varint()};
  id.service = service_id{reader.name(max_name_size)};
  id.term = term_id{reader.varint()};
  id.customer = customer_id{reader.name(max_name_size)};
  id.counter = reader.varint();
  if (!reader.is_complete()) return unknown_transaction("the transaction id has an unknown format");
  if (id.customer != customer) return unknown_transaction("the transaction belongs to another customer");
  return id;
}

}  // namespace bulrushlift
