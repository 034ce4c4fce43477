#include "daemon/accept.h"

#include <fmt/format.h>

#include <charconv>
#include <nlohmann/json.hpp>
#include <string_view>

namespace bulrushlift {
namespace {

using nlohmann::json;

constexpr std::string_view path_prefix = "/v1/";
constexpr std::string_view bearer_prefix = "Bearer ";
// With a longer deadline, requests of callers that have left would occupy the queue.
constexpr std::int64_t max_deadline_ms = 600'000;
constexpr std::size_t max_idempotency_key_bytes = 256;

error bad_field(std::string_view name, std::string_view expected) {
  return {error_kind::bad_request, fmt::format("\"{}\" must be {}", name, expected)};
}

/// Reads fields of a JSON object and remembers the first error.
class field_reader {
 public:
  explicit field_reader(const json& body) : body_(body) {}

  std::string text(const char* name, bool is_required) {
    const auto found = body_.find(name);
    if (found == body_.end()) {
      if (is_required) fail(bad_field(name, "present"));
      return {};
    }
    if (!found->is_string() || (is_required && found->get_ref<const std::string&>().empty())) {
      fail(bad_field(name, "a non-empty string"));
      return {};
    }
    return found->get<std::string>();
  }

  bool flag(const char* name) {
    const auto found = body_.find(name);
    if (found == body_.end()) return false;
    if (!found->is_boolean()) {
      fail(bad_field(name, "true or false"));
      return false;
    }
    return found->get<bool>();
  }

  std::optional<std::chrono::milliseconds> milliseconds(const char* name) {
    const auto found = body_.find(name);
    if (found == body_.end()) return std::nullopt;
    if (!found->is_number_unsigned() || found->get<std::uint64_t>() > std::uint64_t{max_deadline_ms}) {
      fail(bad_field(name, fmt::format("an integer from 0 to {}", max_deadline_ms)));
      return std::nullopt;
    }
    return std::chrono::milliseconds{found->get<std::int64_t>()};
  }

  void fail(error reason) {
    if (!failure_) failure_ = std::move(reason);
  }

  [[nodiscard]] const std::optional<error>& failure() const noexcept { return failure_; }

 private:
  const json& body_;
  std::optional<error> failure_;
};

void read_execute(field_reader& fields, caller_request& request) {
  const auto kind = fields.text("kind", true);
  if (kind != "read" && kind != "write") fields.fail(bad_field("kind", "\"read\" or \"write\""));
  request.is_read = kind == "read";
  request.statement = fields.text("statement", true);
  request.max_age = fields.milliseconds("max_age_ms");
  request.is_idempotent = fields.flag("idempotent");
  request.idempotency_key = fields.text("idempotency_key", false);
  request.transaction = fields.text("transaction", false);
  request.route = route_id{fields.text("route", request.transaction.empty())};
}

void read_fields(field_reader& fields, caller_request& request) {
  switch (request.op) {
    case operation::execute:
      read_execute(fields, request);
      break;
    case operation::begin:
      request.route = route_id{fields.text("route", true)};
      break;
    case operation::commit:
    case operation::rollback:
      request.transaction = fields.text("transaction", true);
      break;
    case operation::resolve:
      request.route = route_id{fields.text("route", true)};
      request.idempotency_key = fields.text("idempotency_key", true);
      break;
  }
  if (request.idempotency_key.size() > max_idempotency_key_bytes) {
    fields.fail(
        bad_field("idempotency_key", fmt::format("at most {} bytes long", max_idempotency_key_bytes)));
  }
}

result<void> read_headers(const http_headers& headers, std::chrono::milliseconds default_time,
                          caller_request& request) {
  // With two keys the customer of the request would be ambiguous.
  for (const auto* name : {"Authorization", "Bulrushlift-Session", "Bulrushlift-Deadline-Ms"}) {
    if (headers.count(name) > 1) {
      return make_error(error_kind::bad_request, fmt::format("header {} occurs more than once", name));
    }
  }
  if (const auto authorization = headers.find("Authorization")) {
    if (!authorization->starts_with(bearer_prefix)) {
      return make_error(error_kind::unauthenticated, "the Authorization header is not a bearer key");
    }
    request.key = std::string{authorization->substr(bearer_prefix.size())};
  }
  request.session_token = std::string{headers.find("Bulrushlift-Session").value_or("")};
  request.time_left = default_time;
  const auto deadline = headers.find("Bulrushlift-Deadline-Ms");
  if (!deadline) return {};
  std::int64_t value = 0;
  const auto [end, ec] = std::from_chars(deadline->data(), deadline->data() + deadline->size(), value);
  if (ec != std::errc{} || end != deadline->data() + deadline->size() || value < 1 ||
      value > max_deadline_ms) {
    return make_error(
        error_kind::bad_request,
        fmt::format("header Bulrushlift-Deadline-Ms must be an integer from 1 to {}", max_deadline_ms));
  }
  request.time_left = std::chrono::milliseconds{value};
  return {};
}

}  // namespace

result<caller_request> accept_request(const http_request& request, std::chrono::milliseconds default_time) {
  const std::string_view target = request.target;
  const auto op =
      target.starts_with(path_prefix) ? operation_from_name(target.substr(path_prefix.size())) : std::nullopt;
  if (!op) return make_error(error_kind::not_found, "the path names no operation of this interface");
  if (request.method != "POST") return make_error(error_kind::bad_request, "the method must be POST");

  caller_request accepted;
  accepted.op = *op;
  if (auto read = read_headers(request.headers, default_time, accepted); !read) {
    return tl::unexpected<error>(read.error());
  }
  const auto body = json::parse(request.body, nullptr, false);
  if (!body.is_object()) return make_error(error_kind::bad_request, "the body must be a JSON object");
  field_reader fields{body};
  read_fields(fields, accepted);
  if (fields.failure()) return tl::unexpected<error>(*fields.failure());
  return accepted;
}

}  // namespace bulrushlift
