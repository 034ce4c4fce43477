#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include "base/error.h"
#include "net/http_message.h"

/// @file
/// Parsing and serializing of HTTP/1.1 messages on Boost.Beast, without input
/// or output.
///
///     http_request_parser parser{head_bytes, body_bytes};
///     auto used = parser.feed(bytes);
///     if (used && parser.is_done()) handle(parser.release());

namespace bulrushlift {

/// Parses one request. Reusable after `release`.
class http_request_parser {
 public:
  http_request_parser(std::uint32_t head_bytes, std::uint64_t body_bytes);
  http_request_parser(const http_request_parser&) = delete;
  http_request_parser& operator=(const http_request_parser&) = delete;
  ~http_request_parser();

  /// @param bytes what follows the bytes that were used by earlier calls.
  /// @return how many bytes were used, or `payload_too_large` or `bad_request`. The
  ///   caller presents unused bytes again, together with later ones.
  [[nodiscard]] result<std::size_t> feed(std::string_view bytes);

  [[nodiscard]] bool is_done() const;
  /// @return whether a byte of the next message was used.
  [[nodiscard]] bool is_started() const;

  /// @return the whole request; the parser is ready for the next one.
  [[nodiscard]] http_request release();

 private:
  class implementation;
  std::uint32_t head_bytes_;
  std::uint64_t body_bytes_;
  std::unique_ptr<implementation> parser_;
};

/// Parses one response. Reusable after `release`.
class http_response_parser {
 public:
  http_response_parser(std::uint32_t head_bytes, std::uint64_t body_bytes);
  http_response_parser(const http_response_parser&) = delete;
  http_response_parser& operator=(const http_response_parser&) = delete;
  ~http_response_parser();

  /// @return how many bytes were used, or `protocol_error`.
  [[nodiscard]] result<std::size_t> feed(std::string_view bytes);

  /// The connection ended. @return whether the response is complete by that.
  [[nodiscard]] bool finish();

  [[nodiscard]] bool is_done() const;
  [[nodiscard]] http_response release();

 private:
  class implementation;
  std::uint32_t head_bytes_;
  std::uint64_t body_bytes_;
  std::unique_ptr<implementation> parser_;
};

/// @return the bytes of a request for `host`, with Host and Content-Length.
[[nodiscard]] std::string serialize(const http_request& request, std::string_view host);

/// @return the bytes of a response, with Content-Length, and "Connection: close" if it closes.
[[nodiscard]] std::string serialize(const http_response& response);

}  // namespace bulrushlift
