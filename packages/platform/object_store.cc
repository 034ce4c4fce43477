#include "platform/object_store.h"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <optional>
#include <system_error>
#include <utility>

#include "base/log.h"
#include "platform/json_slices.h"

namespace bulrushlift::platform {
namespace {

using nlohmann::json;

// Idle connections that are kept for reuse.
constexpr std::size_t max_idle_connections = 2;

// A page of a listing has about 1 MB and may take seconds on a slow network.
constexpr http_client_limits response_limits{16U << 10U, 8U << 20U, std::chrono::seconds{2}};

constexpr int http_ok = 200;
constexpr int http_created = 201;
constexpr int http_not_found = 404;
constexpr int http_conflict = 409;
constexpr int http_gone = 410;
constexpr int http_too_many = 429;
constexpr int http_unavailable = 503;

std::string path_of(object_kind kind) { return fmt::format("/-/objects/{}", name_of(kind)); }

/// Only the name, the version and the content are parsed, each for itself, because another writer of the
/// store may have left anything in the other fields.
/// @return the object, or nothing if the text is no object with a name. Content that can't be parsed is null.
std::optional<stored_object> decode_object(std::string_view text, store_epoch epoch) {
  const auto members = split_object(text).value_or(json_members{});
  const auto meta = split_object(find_member(members, "meta")).value_or(json_members{});
  auto name = parse_string(find_member(meta, "name"));
  if (!name) return std::nullopt;
  stored_object object;
  object.name = std::move(*name);
  if (const auto revision = parse_unsigned(find_member(meta, "revision"))) {
    object.version = {epoch, object_version{*revision}};
  }
  if (auto content = parse_slice(find_member(members, "spec"))) object.content = std::move(*content);
  return object;
}

/// Logs that an element of a response was left out.
void log_unreadable(object_kind kind) {
  log_warning("object_unreadable", {{"kind", name_of(kind)}, {"reason", "it is no object with a name"}});
}

store_version decode_position(const json_members& body, store_epoch epoch) {
  return {epoch, object_version{parse_unsigned(find_member(body, "at")).value_or(0)}};
}

/// @return the epoch that the response states; nothing if it states none.
std::optional<store_epoch> decode_epoch(const http_response& response) {
  const auto text = response.headers.find("Store-Era");
  if (!text) return std::nullopt;
  std::uint64_t value = 0;
  const auto parsed = std::from_chars(text->data(), text->data() + text->size(), value);
  if (parsed.ec != std::errc{} || parsed.ptr != text->data() + text->size()) return std::nullopt;
  return store_epoch{value};
}

/// @return a flag of a response; false if it is missing or no boolean.
bool decode_flag(const json_members& members, std::string_view name) {
  return find_member(members, name) == "true";
}

/// @return the texts of the elements of an array; none if it is missing or no array.
json_slices elements_of(const json_members& members, std::string_view name) {
  return split_array(find_member(members, name)).value_or(json_slices{});
}

/// @return text that a path or a query carries as it is.
std::string percent_encode(std::string_view text) {
  constexpr std::string_view unreserved =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-._~";
  std::string out;
  for (const char each : text) {
    if (unreserved.find(each) != std::string_view::npos) {
      out += each;
    } else {
      out += fmt::format("%{:02X}", static_cast<unsigned char>(each));
    }
  }
  return out;
}

error status_error(const http_response& response) {
  const auto text = fmt::format("the store answered {}", response.status);
  switch (response.status) {
    case http_not_found:
      return {error_kind::not_found, text, std::nullopt, outcome::not_run};
    case http_conflict:
      return {error_kind::conflict, text, std::nullopt, outcome::not_run};
    case http_gone:
      return {error_kind::position_unavailable, text, std::nullopt, outcome::not_run};
    case http_too_many:
    case http_unavailable:
      return {error_kind::platform_unavailable, text, std::nullopt, outcome::not_run};
    default:
      return {error_kind::platform_unavailable, text, std::nullopt, outcome::unknown};
  }
}

/// @return the members of the body of a successful response, which refer to the response, or the error of
///   the call.
result<json_members> body_of(const result<http_response>& response) {
  if (!response) return tl::unexpected<error>(response.error());
  if (response->status != http_ok && response->status != http_created) {
    return tl::unexpected<error>(status_error(*response));
  }
  auto body = split_object(response->body);
  if (!body) {
    return tl::unexpected<error>(error{error_kind::protocol_error, "the store's answer is no JSON object",
                                       std::nullopt, outcome::unknown});
  }
  return std::move(*body);
}

}  // namespace

std::string_view name_of(object_kind kind) noexcept {
  switch (kind) {
    case object_kind::configuration:
      return "config";
    case object_kind::targets:
      return "servers";
    case object_kind::vms:
      return "bulrushlift-vms";
    case object_kind::evacuations:
      return "evacuations";
    case object_kind::promotions:
      break;
  }
  return "bulrushlift-promotions";
}

std::string_view configuration_object_name() noexcept { return "main"; }

void object_store::list(object_kind kind, const std::string& after, duration timeout,
                        callback<object_page> done) {
  http_request request;
  request.target = path_of(kind);
  if (!after.empty()) request.target += fmt::format("?after={}", percent_encode(after));
  call(kind, std::move(request), timeout,
       [this, kind, done = std::move(done)](const result<http_response>& response) {
         const auto body = body_of(response);
         if (!body) return done(tl::unexpected<error>(body.error()));
         const auto epoch = epoch_of(*response);
         object_page page;
         for (const auto item : elements_of(*body, "items")) {
           if (auto object = decode_object(item, epoch)) {
             page.objects.push_back(std::move(*object));
           } else {
             log_unreadable(kind);
           }
         }
         page.has_more = decode_flag(*body, "more");
         page.position = decode_position(*body, epoch);
         done(std::move(page));
       });
}

void object_store::watch(object_kind kind, const store_version& position, duration wait, duration timeout,
                         callback<object_events> done) {
  http_request request;
  const auto wait_ms = std::chrono::duration_cast<std::chrono::milliseconds>(wait).count();
  request.target = fmt::format("{}?watch={}&waitMs={}", path_of(kind), position.version.value(), wait_ms);
  call(kind, std::move(request), timeout,
       [this, kind, watched = position.epoch, done = std::move(done)](const result<http_response>& response) {
         const auto body = body_of(response);
         if (!body) return done(tl::unexpected<error>(body.error()));
         const auto epoch = epoch_of(*response);
         if (epoch != watched) {
           // The position belongs to a lost history, and changes below it may have been missed.
           return done(tl::unexpected<error>(error{error_kind::position_unavailable,
                                                   "the store came back from an older copy", std::nullopt,
                                                   outcome::not_run}));
         }
         object_events changes;
         for (const auto item : elements_of(*body, "events")) {
           const auto event = split_object(item).value_or(json_members{});
           if (auto object = decode_object(find_member(event, "object"), epoch)) {
             changes.events.push_back({std::move(*object), decode_flag(event, "removed")});
           } else {
             log_unreadable(kind);
           }
         }
         changes.position = decode_position(*body, epoch);
         done(std::move(changes));
       });
}

void object_store::write(object_kind kind, const std::string& name, const json& content,
                         const store_version& expected, duration timeout, callback<store_version> done) {
  const bool is_creation = !expected.exists();
  json meta{{"name", name}, {"finalizers", json::array()}};
  if (!is_creation) meta["revision"] = expected.version.value();
  http_request request;
  request.method = is_creation ? "POST" : "PUT";
  request.target = path_of(kind);
  if (!is_creation) request.target += "/" + percent_encode(name);
  request.body = json{{"meta", meta}, {"spec", content}}.dump();
  request.headers.add("Content-Type", "application/json");
  call(kind, std::move(request), timeout,
       [this, is_creation, expected, done = std::move(done)](const result<http_response>& response) {
         const auto body = body_of(response);
         if (!body) return done(tl::unexpected<error>(body.error()));
         const auto object = decode_object(response->body, epoch_of(*response));
         if (!object) {
           return done(tl::unexpected<error>(error{error_kind::protocol_error, "the store returned no object",
                                                   std::nullopt, outcome::unknown}));
         }
         if (!is_creation && object->version.epoch != expected.epoch) {
           return done(
               tl::unexpected<error>(error{error_kind::conflict, "the store came back from an older copy",
                                           std::nullopt, outcome::unknown}));
         }
         done(object->version);
       });
}

void object_store::remove(object_kind kind, const std::string& name, duration timeout, callback<void> done) {
  http_request request;
  request.method = "DELETE";
  request.target = path_of(kind) + "/" + percent_encode(name);
  call(kind, std::move(request), timeout, [done = std::move(done)](const result<http_response>& response) {
    const auto body = body_of(response);
    if (!body) return done(tl::unexpected<error>(body.error()));
    done({});
  });
}

void object_store::call(object_kind kind, http_request request, duration timeout,
                        callback<http_response> done) {
  ++call_counts_.at(static_cast<std::size_t>(kind));
  while (!idle_.empty() && !idle_.front().http.is_open()) idle_.pop_front();
  if (!idle_.empty()) {
    idle_.front().kind = kind;
    busy_.splice(busy_.begin(), idle_, idle_.begin());
    send(busy_.begin(), request, timeout, std::move(done));
    return;
  }
  busy_.emplace_front(loop_, response_limits, kind);
  const auto connection = busy_.begin();
  connection->http.open(address_, timeout,
                        [this, connection, request = std::move(request), timeout,
                         done = std::move(done)](const result<void>& opened) {
                          if (opened) return send(connection, request, timeout, done);
                          release(connection);
                          done(tl::unexpected<error>(opened.error()));
                        });
}

void object_store::send(connection_list::iterator connection, const http_request& request, duration timeout,
                        callback<http_response> done) {
  connection->http.send(request, timeout,
                        [this, connection, done = std::move(done)](result<http_response> r) {
                          release(connection);
                          done(check_epoch(std::move(r)));
                        });
}

result<http_response> object_store::check_epoch(result<http_response> response) {
  if (!response) return response;
  const auto epoch = decode_epoch(*response);
  if (!epoch || epoch == epoch_) return response;
  if (epoch_ && *epoch < *epoch_) {
    return tl::unexpected<error>(error{
        error_kind::platform_unavailable,
        fmt::format("a response of the store's epoch {} came in epoch {}", epoch->value(), epoch_->value()),
        std::nullopt, outcome::unknown});
  }
  const bool is_restored = std::exchange(epoch_, epoch).has_value();
  if (is_restored && on_restored_) {
    loop_.post([this, alive = is_alive_] {
      if (*alive) on_restored_();
    });
  }
  return response;
}

store_epoch object_store::epoch_of(const http_response& response) const {
  return decode_epoch(response).value_or(epoch_.value_or(store_epoch{}));
}

void object_store::close_idle() { idle_.clear(); }

bool object_store::is_receiving(object_kind kind) const noexcept {
  return std::any_of(busy_.begin(), busy_.end(),
                     [kind](const auto& each) { return each.kind == kind && each.http.is_receiving(); });
}

void object_store::release(connection_list::iterator connection) {
  if (connection->http.is_open() && idle_.size() < max_idle_connections) {
    idle_.splice(idle_.begin(), busy_, connection);
    return;
  }
  // The connection is running this callback, so it is destroyed in a later callback of the loop.
  auto released = std::make_shared<connection_list>();
  released->splice(released->begin(), busy_, connection);
  loop_.post([released] {});
}

}  // namespace bulrushlift::platform
