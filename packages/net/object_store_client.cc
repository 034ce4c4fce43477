#include "net/object_store_client.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

namespace bulrushlift {
namespace {

using nlohmann::json;

error unavailable(std::string message, std::optional<outcome> stated) {
  return {error_kind::platform_unavailable, std::move(message), std::nullopt, stated};
}

/// The error for an answer that is no success.
error status_error(const http_response& answer) {
  const auto text = "the platform answered " + std::to_string(answer.status);
  if (answer.status == 404) return {error_kind::not_found, text};
  if (answer.status == 409) return {error_kind::conflict, text};
  // A refusal of the request itself (4xx) is final; 5xx may hide an effect.
  const bool refused = answer.status >= 400 && answer.status < 500;
  return unavailable(text, refused ? outcome::not_run : outcome::unknown);
}

tl::unexpected<error> malformed(const char* what) {
  return tl::unexpected{unavailable(std::string{"the platform's answer lacks "} + what, outcome::unknown)};
}

std::string text_of(const json& fields, const char* name) {
  const auto it = fields.find(name);
  return it != fields.end() && it->is_string() ? it->get<std::string>() : std::string{};
}

result<object_version> version_of(const json& fields) {
  const auto it = fields.find("version");
  if (it == fields.end() || !it->is_number_unsigned()) return malformed("a version");
  return object_version{it->get<std::uint64_t>()};
}

result<platform_object> object_of(const json& fields) {
  if (!fields.is_object()) return malformed("an object");
  const auto version = version_of(fields);
  if (!version) return tl::unexpected{version.error()};
  const auto value = fields.find("value");
  if (value == fields.end() || !value->is_string()) return malformed("a value");
  return platform_object{text_of(fields, "path"), *version, value->get<std::string>()};
}

result<json> body_of(const result<http_response>& answer) {
  if (!answer) return tl::unexpected{answer.error()};
  if (answer->status != 200) return tl::unexpected{status_error(*answer)};
  auto body = json::parse(answer->body, nullptr, false);
  if (!body.is_object()) return malformed("a JSON object");
  return body;
}

result<std::vector<platform_object>> objects_of(const result<http_response>& answer) {
  const auto body = body_of(answer);
  if (!body) return tl::unexpected{body.error()};
  const auto list = body->find("objects");
  if (list == body->end() || !list->is_array()) return malformed("objects");
  std::vector<platform_object> objects;
  for (const auto& fields : *list) {
    auto object = object_of(fields);
    if (!object) return tl::unexpected{object.error()};
    objects.push_back(*std::move(object));
  }
  return objects;
}

result<std::vector<platform_list_entry>> vms_of(const result<http_response>& answer) {
  const auto body = body_of(answer);
  if (!body) return tl::unexpected{body.error()};
  const auto list = body->find("vms");
  if (list == body->end() || !list->is_array()) return malformed("vms");
  std::vector<platform_list_entry> vms;
  for (const auto& fields : *list) {
    if (!fields.is_object()) return malformed("a VM");
    vms.push_back({text_of(fields, "name"), text_of(fields, "address"), text_of(fields, "data_centre"),
                   text_of(fields, "state") == "leaving"});
  }
  return vms;
}

std::string object_target(std::string_view path) { return "/v1/objects/" + std::string{path}; }

}  // namespace

/// A call with its own connection, so that an unresponsive one delays no other call.
struct object_store_client::call {
  call(event_loop& loop, http_request sent, duration allowed, answer_function callback)
      : request(std::move(sent)),
        timeout(allowed),
        done(std::move(callback)),
        connection(loop),
        timer(loop) {}

  http_request request;
  duration timeout;
  answer_function done;
  http_connection connection;
  scoped_timer timer;
};

object_store_client::object_store_client(event_loop& loop, net_address address,
                                         object_store_client_options options)
    : loop_(loop), address_(std::move(address)), options_(options) {
  if (options_.pacing) pacer_.emplace(*options_.pacing, options_.seed);
}

object_store_client::~object_store_client() = default;

void object_store_client::start(http_request request, duration timeout, answer_function done) {
  request.headers.add("Host", address_.str());
  request.keep_alive = false;
  auto it = std::make_shared<call>(loop_, std::move(request), timeout, std::move(done));
  calls_.push_back(it);
  open(it);
}

void object_store_client::open(const std::shared_ptr<call>& it) {
  const auto now = loop_.now();
  // The callbacks belong to members of the call, so they end with it and need not own it.
  const std::weak_ptr<call> weak = it;
  if (pacer_ && !pacer_->try_call(now)) {
    it->timer.set(pacer_->next_call(now) - now, [this, weak] {
      if (const auto waiting = weak.lock()) open(waiting);
    });
    return;
  }
  it->connection.open(address_, options_.connect_timeout, [this, weak](const result<void>& opened) {
    const auto current = weak.lock();
    if (!current) return;
    if (!opened) {
      finish(current, tl::unexpected{unavailable(opened.error().message, outcome::not_run)});
      return;
    }
    current->connection.send(current->request, current->timeout, [this, weak](result<http_response> answer) {
      const auto sent = weak.lock();
      if (!sent) return;
      if (!answer)
        answer = tl::unexpected{unavailable(answer.error().message, answer.error().request_outcome())};
      finish(sent, std::move(answer));
    });
  });
}

void object_store_client::finish(const std::shared_ptr<call>& it, result<http_response> answer) {
  if (pacer_) {
    if (answer && answer->status < 500) {
      pacer_->succeeded();
    } else {
      pacer_->failed(loop_.now());
    }
  }
  calls_.remove(it);
  // The callback may destroy this client.
  const auto done = std::move(it->done);
  done(std::move(answer));
}

void object_store_client::get(std::string_view path, callback<platform_object> done) {
  start({.target = object_target(path)}, options_.answer_timeout,
        [done = std::move(done)](const result<http_response>& answer) {
          const auto body = body_of(answer);
          done(body ? object_of(*body) : tl::unexpected{body.error()});
        });
}

void object_store_client::watch(std::string_view path, object_version after, std::chrono::milliseconds wait,
                                callback<std::optional<platform_object>> done) {
  auto target = object_target(path) + "?watch_after=" + std::to_string(after.value()) +
                "&timeout_ms=" + std::to_string(wait.count());
  start({.target = std::move(target)}, options_.answer_timeout + wait,
        [done = std::move(done)](const result<http_response>& answer) {
          if (answer && answer->status == 304) {
            done(std::optional<platform_object>{});
            return;
          }
          const auto body = body_of(answer);
          if (!body) {
            done(tl::unexpected{body.error()});
            return;
          }
          done(object_of(*body).map([](platform_object found) { return std::optional{std::move(found)}; }));
        });
}

void object_store_client::put(std::string_view path, std::string_view value,
                              std::optional<object_version> if_version, callback<object_version> done) {
  json body{{"value", value}};
  if (if_version) body["if_version"] = if_version->value();
  start({.method = "PUT",
         .target = object_target(path),
         .body = body.dump(-1, ' ', false, json::error_handler_t::replace)},
        options_.answer_timeout, [done = std::move(done)](const result<http_response>& answer) {
          const auto fields = body_of(answer);
          done(fields ? version_of(*fields) : tl::unexpected{fields.error()});
        });
}

void object_store_client::list(std::string_view prefix, callback<std::vector<platform_object>> done) {
  start({.target = "/v1/list/" + std::string{prefix}}, options_.answer_timeout,
        [done = std::move(done)](const result<http_response>& answer) { done(objects_of(answer)); });
}

void object_store_client::list_vms(callback<std::vector<platform_list_entry>> done) {
  start({.target = "/v1/vms"}, options_.answer_timeout,
        [done = std::move(done)](const result<http_response>& answer) { done(vms_of(answer)); });
}

}  // namespace bulrushlift
