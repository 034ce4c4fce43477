#include "net/http_codec.h"

#include <fmt/format.h>

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/basic_parser.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/serializer.hpp>
#include <boost/beast/http/string_body.hpp>

namespace bulrushlift {
namespace {

namespace http = boost::beast::http;
using boost::beast::error_code;
using boost::beast::string_view;

constexpr unsigned http_11 = 11;

/// Collects headers and body of a message; derived classes take the start line.
template <bool IsRequest>
class collecting_parser : public http::basic_parser<IsRequest> {
 public:
  collecting_parser(std::uint32_t head_bytes, std::uint64_t body_bytes) {
    this->header_limit(head_bytes);
    this->body_limit(body_bytes);
    this->eager(true);
  }

  http_headers headers;
  std::string body;

 protected:
  void on_field_impl(http::field /*name*/, string_view name, string_view value, error_code& /*ec*/) override {
    headers.add(std::string{name}, std::string{value});
  }

  void on_header_impl(error_code& /*ec*/) override {}

  // The stated length does not reserve memory, so that a head alone costs nothing.
  void on_body_init_impl(const boost::optional<std::uint64_t>& /*length*/, error_code& /*ec*/) override {}

  std::size_t on_body_impl(string_view bytes, error_code& /*ec*/) override {
    body.append(bytes.data(), bytes.size());
    return bytes.size();
  }

  void on_chunk_header_impl(std::uint64_t /*size*/, string_view /*extensions*/, error_code& /*ec*/) override {
  }

  std::size_t on_chunk_body_impl(std::uint64_t /*remain*/, string_view bytes, error_code& /*ec*/) override {
    body.append(bytes.data(), bytes.size());
    return bytes.size();
  }

  void on_finish_impl(error_code& /*ec*/) override {}
};

/// Feeds the parser until it needs more bytes or is done.
template <bool IsRequest>
std::size_t feed_parser(http::basic_parser<IsRequest>& parser, std::string_view bytes, error_code& ec) {
  std::size_t used = 0;
  while (used < bytes.size() && !parser.is_done()) {
    const auto rest = bytes.substr(used);
    const auto n = parser.put(boost::asio::const_buffer{rest.data(), rest.size()}, ec);
    used += n;
    if (ec == http::error::need_more) {
      ec = {};
      break;
    }
    if (ec || n == 0) break;
  }
  return used;
}

bool is_too_large(const error_code& ec) {
  return ec == http::error::header_limit || ec == http::error::body_limit ||
         ec == http::error::buffer_overflow;
}

template <bool IsRequest>
std::string serialize_message(http::message<IsRequest, http::string_body>& message) {
  message.prepare_payload();
  http::serializer<IsRequest, http::string_body> serializer{message};
  std::string bytes;
  error_code ec;
  while (!serializer.is_done() && !ec) {
    serializer.next(ec, [&](error_code& /*visit_ec*/, const auto& buffers) {
      for (auto it = boost::asio::buffer_sequence_begin(buffers);
           it != boost::asio::buffer_sequence_end(buffers); ++it) {
        const boost::asio::const_buffer buffer{*it};
        bytes.append(static_cast<const char*>(buffer.data()), buffer.size());
      }
      serializer.consume(boost::asio::buffer_size(buffers));
    });
  }
  return bytes;
}

}  // namespace

class http_request_parser::implementation : public collecting_parser<true> {
 public:
  using collecting_parser::collecting_parser;

  std::string method;
  std::string target;

 private:
  void on_request_impl(http::verb /*verb*/, string_view verb_text, string_view target_text, int /*version*/,
                       error_code& /*ec*/) override {
    method.assign(verb_text.data(), verb_text.size());
    target.assign(target_text.data(), target_text.size());
  }

  void on_response_impl(int /*code*/, string_view /*reason*/, int /*version*/, error_code& /*ec*/) override {}
};

http_request_parser::http_request_parser(std::uint32_t head_bytes, std::uint64_t body_bytes)
    : head_bytes_(head_bytes), body_bytes_(body_bytes) {}

http_request_parser::~http_request_parser() = default;

result<std::size_t> http_request_parser::feed(std::string_view bytes) {
  // The parser exists only while a request is being read, so that idle connections are small.
  if (!parser_) parser_ = std::make_unique<implementation>(head_bytes_, body_bytes_);
  error_code ec;
  const auto used = feed_parser(*parser_, bytes, ec);
  if (is_too_large(ec)) {
    return make_error(
        error_kind::payload_too_large,
        fmt::format("request exceeds {} bytes of head or {} bytes of body", head_bytes_, body_bytes_));
  }
  if (ec) return make_error(error_kind::bad_request, fmt::format("malformed HTTP request: {}", ec.message()));
  return used;
}

bool http_request_parser::is_done() const { return parser_ && parser_->is_done(); }
bool http_request_parser::is_started() const { return parser_ && parser_->got_some(); }

http_request http_request_parser::release() {
  http_request request;
  request.method = std::move(parser_->method);
  request.target = std::move(parser_->target);
  request.headers = std::move(parser_->headers);
  request.body = std::move(parser_->body);
  request.keep_alive = parser_->keep_alive();
  parser_.reset();
  return request;
}

class http_response_parser::implementation : public collecting_parser<false> {
 public:
  using collecting_parser::collecting_parser;

  int status = 0;

 private:
  void on_request_impl(http::verb /*verb*/, string_view /*verb_text*/, string_view /*target_text*/,
                       int /*version*/, error_code& /*ec*/) override {}

  void on_response_impl(int code, string_view /*reason*/, int /*version*/, error_code& /*ec*/) override {
    status = code;
  }
};

http_response_parser::http_response_parser(std::uint32_t head_bytes, std::uint64_t body_bytes)
    : head_bytes_(head_bytes), body_bytes_(body_bytes) {}

http_response_parser::~http_response_parser() = default;

result<std::size_t> http_response_parser::feed(std::string_view bytes) {
  if (!parser_) parser_ = std::make_unique<implementation>(head_bytes_, body_bytes_);
  error_code ec;
  const auto used = feed_parser(*parser_, bytes, ec);
  if (ec) {
    return make_error(error_kind::protocol_error, fmt::format("malformed HTTP response: {}", ec.message()));
  }
  return used;
}

bool http_response_parser::finish() {
  if (!parser_ || !parser_->got_some()) return false;
  error_code ec;
  if (!parser_->is_done()) parser_->put_eof(ec);
  return !ec && parser_->is_done();
}

bool http_response_parser::is_done() const { return parser_ && parser_->is_done(); }

http_response http_response_parser::release() {
  http_response response;
  response.status = parser_->status;
  response.headers = std::move(parser_->headers);
  response.body = std::move(parser_->body);
  response.close = !parser_->keep_alive();
  parser_.reset();
  return response;
}

std::string serialize(const http_request& request, std::string_view host) {
  http::request<http::string_body> message;
  message.version(http_11);
  message.method_string(request.method);
  message.target(request.target);
  for (const auto& [name, value] : request.headers) message.insert(name, value);
  message.set(http::field::host, string_view{host.data(), host.size()});
  if (!request.keep_alive) message.set(http::field::connection, "close");
  message.body() = request.body;
  return serialize_message(message);
}

std::string serialize(const http_response& response) {
  http::response<http::string_body> message;
  message.version(http_11);
  message.result(static_cast<unsigned>(response.status));
  for (const auto& [name, value] : response.headers) message.insert(name, value);
  if (response.close) message.set(http::field::connection, "close");
  message.body() = response.body;
  return serialize_message(message);
}

}  // namespace bulrushlift
