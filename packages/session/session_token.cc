#include "session/session_token.h"

#include <algorithm>
#include <cstdint>

#include "session/byte_codec.h"

namespace bulrushlift {
namespace {

constexpr std::string_view purpose = "session";
constexpr std::uint64_t format_version = 1;

bool is_before(const session_entry& entry, const service_id& service) { return entry.service < service; }

/// @return the token in the content of a signed text, or nothing if the content is malformed.
std::optional<session_token> parse_content(std::string_view content) {
  internal::byte_reader reader{content};
  if (reader.varint() != format_version) return std::nullopt;
  session_token token{customer_id{reader.name(session_token::max_name_size)}};
  const auto count = reader.varint();
  if (!reader.is_valid() || count > session_token::max_entries) return std::nullopt;
  for (std::uint64_t i = 0; i < count; ++i) {
    const service_id service{reader.name(session_token::max_name_size)};
    const term_id term{reader.varint()};
    const log_position position{reader.varint()};
    if (!reader.is_valid() || !token.merge(service, {term, position})) return std::nullopt;
  }
  // A service that is listed twice would be merged into one entry.
  if (!reader.is_complete() || token.entries().size() != count) return std::nullopt;
  return token;
}

}  // namespace

std::vector<session_entry>::const_iterator session_token::find(const service_id& service) const {
  return std::lower_bound(entries_.begin(), entries_.end(), service, is_before);
}

std::optional<log_point> session_token::required_point(const service_id& service) const {
  const auto it = find(service);
  if (it == entries_.end() || it->service != service) return std::nullopt;
  return it->point;
}

result<void> session_token::check_room(const service_id& service) const {
  if (required_point(service)) return {};
  if (service.str().size() > max_name_size) {
    return make_error(error_kind::bad_request,
                      "service name '" + service.str() + "' is longer than 64 bytes");
  }
  if (entries_.size() >= max_entries) {
    return make_error(error_kind::token_full,
                      "the session has 32 services and cannot add '" + service.str() + "'");
  }
  return {};
}

result<void> session_token::merge(const service_id& service, log_point point) {
  if (auto room = check_room(service); !room) return room;
  const auto it = entries_.begin() + (find(service) - entries_.cbegin());
  if (it == entries_.end() || it->service != service) {
    entries_.insert(it, session_entry{service, point});
  } else {
    it->point = std::max(it->point, point);
  }
  return {};
}

std::string encode_session_token(const session_token& token, const token_signer& signer) {
  internal::byte_writer writer;
  writer.varint(format_version);
  writer.name(token.customer().str());
  writer.varint(token.entries().size());
  for (const auto& entry : token.entries()) {
    writer.name(entry.service.str());
    writer.varint(entry.point.term.value());
    writer.varint(entry.point.position.value());
  }
  return signer.sign(purpose, writer.bytes());
}

result<session_token> decode_session_token(std::string_view text, const customer_id& customer,
                                           const token_signer& signer, session_token_test_faults faults) {
  if (text.empty()) return session_token{customer};
  if (text.size() > session_token::max_text_size) {
    return make_error(error_kind::token_invalid, "the session token is longer than 4096 bytes");
  }
  const auto content = signer.verify(purpose, text);
  if (!content) return make_error(error_kind::token_invalid, "the session token is not authentic");
  auto token = parse_content(*content);
  if (!token) return make_error(error_kind::token_invalid, "the session token has an unknown format");
  if (token->customer() != customer && !faults.skips_customer_check) {
    return make_error(error_kind::token_invalid, "the session token belongs to another customer");
  }
  return *std::move(token);
}

}  // namespace bulrushlift
