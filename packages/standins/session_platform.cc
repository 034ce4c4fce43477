#include "standins/session_platform.h"

#include <stdexcept>
#include <utility>

namespace bulrushlift {
namespace {

using nlohmann::json;

constexpr std::string_view object_path = "/-/objects/";
constexpr int http_not_found = 404;
constexpr int http_conflict = 409;
constexpr int http_gone = 410;
constexpr int http_unavailable = 503;

std::map<std::string, std::string> parse_query(std::string_view text) {
  std::map<std::string, std::string> fields;
  while (!text.empty()) {
    const auto end = text.find('&');
    const auto field = text.substr(0, end);
    const auto equals = field.find('=');
    if (equals != std::string_view::npos)
      fields[std::string{field.substr(0, equals)}] = field.substr(equals + 1);
    text = end == std::string_view::npos ? std::string_view{} : text.substr(end + 1);
  }
  return fields;
}

}  // namespace

session_platform::session_platform(event_loop& loop, promote_callback on_promotion)
    : loop_(loop),
      on_promotion_(std::move(on_promotion)),
      server_(loop, {}, [this](const http_request& request, const http_responder& respond) {
        on_request(request, respond);
      }) {
  const auto bound = server_.listen({"127.0.0.1", 0});
  if (!bound) throw std::runtime_error{bound.error().message};
  address_ = bound->str();
}

session_platform::~session_platform() = default;

void session_platform::put(const std::string& kind, const std::string& name, const json& content) {
  auto& object = store_.objects[kind][name];
  object = {{"meta", {{"name", name}, {"revision", ++store_.revision}}}, {"spec", content}};
  store_.events.push_back({store_.revision, kind, object, false});
  answer_watches();
}

void session_platform::put_text(const std::string& kind, const std::string& name, const std::string& content,
                                const std::string& meta) {
  const auto mark = "text-" + std::to_string(texts_.size());
  texts_.emplace('"' + mark + '"', content);
  texts_.emplace(",\"" + mark + "-meta\":null", meta);
  auto& object = store_.objects[kind][name];
  object = {{"meta", {{"name", name}, {"revision", ++store_.revision}, {mark + "-meta", nullptr}}},
            {"spec", mark}};
  store_.events.push_back({store_.revision, kind, object, false});
  answer_watches();
}

void session_platform::remove(const std::string& kind, const std::string& name) {
  const auto node = store_.objects[kind].extract(name);
  if (node.empty()) return;
  store_.events.push_back({++store_.revision, kind, node.mapped(), true});
  answer_watches();
}

void session_platform::compact() {
  store_.history_start = ++store_.revision;
  store_.events.clear();
  for (const auto& each : std::exchange(watches_, {})) each.respond(store_response(http_gone, "{}"));
}

void session_platform::save_copy() { copy_ = store_; }

void session_platform::restore_copy() {
  store_ = copy_;
  ++era_;
  for (const auto& each : std::exchange(watches_, {})) {
    auto response = store_response(each.after > store_.revision ? http_gone : http_unavailable, "{}");
    response.close = true;
    each.respond(std::move(response));
  }
}

http_response session_platform::store_response(int status, std::string body) const {
  for (const auto& [mark, text] : texts_) {
    const auto at = body.find(mark);
    if (at != std::string::npos) body.replace(at, mark.size(), text);
  }
  auto response = json_response(status, std::move(body));
  response.headers.add("Store-Era", std::to_string(era_));
  return response;
}

json session_platform::content_of(const std::string& kind, const std::string& name) const {
  const auto objects = store_.objects.find(kind);
  if (objects == store_.objects.end()) return {};
  const auto object = objects->second.find(name);
  return object == objects->second.end() ? json{} : object->second["spec"];
}

void session_platform::on_request(const http_request& request, const http_responder& respond) {
  if (faults_.is_silent) {
    unanswered_.push_back(respond);
    return;
  }
  if (faults_.is_refusing) {
    respond(json_response(http_unavailable, "{}"));
    return;
  }
  if (request.target == "/promotion") {
    on_promotion(request, respond);
    return;
  }
  on_store_request(request, respond);
}

void session_platform::on_store_request(const http_request& request, const http_responder& respond) {
  const std::string_view target{request.target};
  const auto query_start = target.find('?');
  const auto path = target.substr(0, query_start).substr(object_path.size());
  const auto query = query_start == std::string_view::npos ? std::map<std::string, std::string>{}
                                                           : parse_query(target.substr(query_start + 1));
  const auto slash = path.find('/');
  const std::string kind{path.substr(0, slash)};
  const std::string name{slash == std::string_view::npos ? std::string_view{} : path.substr(slash + 1)};
  if (!kind.empty() && kind == faults_.unknown_kind) {
    respond(store_response(http_not_found, "{}"));
    return;
  }
  if (request.method != "GET") {
    auto response = on_write(request, kind, name);
    if (faults_.lost_writes > 0) {
      --faults_.lost_writes;
      unanswered_.push_back(respond);
      return;
    }
    respond(std::move(response));
    return;
  }
  if (query.contains("watch")) {
    on_watch(kind, query, respond);
    return;
  }
  json items = json::array();
  for (const auto& [key, object] : store_.objects[kind]) items.push_back(object);
  respond(store_response(200, json{{"items", items}, {"more", false}, {"at", store_.revision}}.dump()));
}

http_response session_platform::on_write(const http_request& request, const std::string& kind,
                                         const std::string& name) {
  const auto body = json::parse(request.body, nullptr, false);
  const auto meta = body.value("meta", json::object());
  const auto key = name.empty() ? meta.value("name", std::string{}) : name;
  auto& objects = store_.objects[kind];
  const auto it = objects.find(key);
  const bool is_creation = request.method == "POST";
  const bool has_conflict =
      is_creation ? it != objects.end()
                  : it == objects.end() ||
                        (meta.contains("revision") && meta["revision"] != it->second["meta"]["revision"]);
  if (has_conflict) return store_response(http_conflict, it == objects.end() ? "{}" : it->second.dump());
  const auto content = body.value("spec", json{});
  // A write that changes nothing makes no new revision.
  if (it == objects.end() || it->second["spec"] != content) put(kind, key, content);
  return store_response(200, store_.objects[kind][key].dump());
}

std::optional<http_response> session_platform::events_after(const std::string& kind,
                                                            std::uint64_t after) const {
  if (after < store_.history_start || after > store_.revision) return store_response(http_gone, "{}");
  json found = json::array();
  for (const auto& each : store_.events) {
    if (each.kind == kind && each.revision > after) {
      found.push_back({{"object", each.object}, {"removed", each.is_removed}});
    }
  }
  if (found.empty()) return std::nullopt;
  return store_response(200, json{{"events", found}, {"at", store_.revision}}.dump());
}

void session_platform::on_watch(const std::string& kind, const std::map<std::string, std::string>& query,
                                const http_responder& respond) {
  const auto after = std::stoull(query.at("watch"));
  if (auto response = events_after(kind, after)) {
    respond(std::move(*response));
    return;
  }
  watches_.push_back({kind, after, respond});
  const auto wait = std::chrono::milliseconds{std::stoll(query.at("waitMs"))};
  // If the watch was answered before, this second answer has no effect.
  loop_.schedule(wait, [this, respond, revision = after] {
    respond(store_response(200, json{{"events", json::array()}, {"at", revision}}.dump()));
  });
}

void session_platform::answer_watches() {
  for (auto it = watches_.begin(); it != watches_.end();) {
    auto response = events_after(it->kind, it->after);
    if (response) it->respond(std::move(*response));
    it = response ? watches_.erase(it) : std::next(it);
  }
}

void session_platform::on_promotion(const http_request& request, const http_responder& respond) {
  const auto body = json::parse(request.body, nullptr, false);
  ordered_promotion promotion;
  promotion.service = body.value("service", std::string{});
  promotion.target = body.value("identifier", std::string{});
  promotion.holder = std::string{request.headers.find("X-Duty-Holder").value_or("")};
  promotion.token = std::stoull(std::string{request.headers.find("X-Fencing-Token").value_or("0")});
  if (faults_.refused_promotions > 0) {
    --faults_.refused_promotions;
    promotions_.push_back(promotion);
    respond(json_response(http_unavailable, "{}"));
    return;
  }
  if (faults_.late_promotions > 0) {
    --faults_.late_promotions;
    unanswered_.push_back(respond);
    loop_.schedule(faults_.lateness, [this, promotion] { carry_out(promotion); });
    return;
  }
  respond(json_response(carry_out(promotion) ? 200 : http_conflict, "{}"));
}

bool session_platform::carry_out(ordered_promotion promotion) {
  auto& newest_token = newest_tokens_[promotion.service];
  promotion.is_accepted = promotion.token >= newest_token;
  newest_token = std::max(newest_token, promotion.token);
  promotions_.push_back(promotion);
  if (promotion.is_accepted) on_promotion_(promotion);
  return promotion.is_accepted;
}

}  // namespace bulrushlift
