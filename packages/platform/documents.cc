#include "platform/documents.h"

#include <fmt/format.h>

#include <algorithm>
#include <string_view>
#include <utility>

#include "net/address.h"

namespace bulrushlift::platform {
namespace {

// A higher limit is a mistake in the configuration.
constexpr std::uint64_t max_connection_limit = 1'000'000;

using nlohmann::json;
using std::chrono::milliseconds;

/// Reads typed fields of a JSON object and records the first field that is missing or has
/// an invalid value.
class field_reader {
 public:
  field_reader(const json& object, std::string path) : object_(object), path_(std::move(path)) {
    if (!object_.is_object()) fail("");
  }

  [[nodiscard]] std::string text(const char* name) {
    const auto* value = find(name);
    if (value == nullptr || !value->is_string()) return fail(name), std::string{};
    return value->get<std::string>();
  }
  [[nodiscard]] std::string text_or(const char* name, std::string fallback) {
    return find(name) == nullptr ? std::move(fallback) : text(name);
  }
  [[nodiscard]] std::uint64_t number(const char* name) {
    const auto* value = find(name);
    if (value == nullptr || !value->is_number_unsigned()) return fail(name), 0;
    return value->get<std::uint64_t>();
  }
  [[nodiscard]] std::uint64_t number_or(const char* name, std::uint64_t fallback) {
    return find(name) == nullptr ? fallback : number(name);
  }
  [[nodiscard]] double real(const char* name) {
    const auto* value = find(name);
    if (value == nullptr || !value->is_number() || value->get<double>() < 0) return fail(name), 0.0;
    return value->get<double>();
  }
  [[nodiscard]] double real_or(const char* name, double fallback) {
    return find(name) == nullptr ? fallback : real(name);
  }
  [[nodiscard]] bool flag_or(const char* name, bool fallback) {
    const auto* value = find(name);
    if (value == nullptr) return fallback;
    if (!value->is_boolean()) return fail(name), fallback;
    return value->get<bool>();
  }
  [[nodiscard]] const json& array(const char* name) {
    static const json none = json::array();
    const auto* value = find(name);
    if (value == nullptr || !value->is_array()) return fail(name), none;
    return *value;
  }

  [[nodiscard]] const json& array_or_empty(const char* name) {
    static const json none = json::array();
    return find(name) == nullptr ? none : array(name);
  }

  [[nodiscard]] bool has_failed() const noexcept { return !invalid_field_.empty(); }
  [[nodiscard]] tl::unexpected<error> failure() const {
    return make_error(error_kind::invalid_document,
                      fmt::format("{} is missing or malformed", invalid_field_));
  }

 private:
  [[nodiscard]] const json* find(const char* name) const {
    if (!object_.is_object()) return nullptr;
    const auto it = object_.find(name);
    return it == object_.end() || it->is_null() ? nullptr : &*it;
  }
  void fail(const char* name) {
    if (invalid_field_.empty()) invalid_field_ = fmt::format("{}.{}", path_, name);
  }

  const json& object_;
  std::string path_;
  std::string invalid_field_;
};

// A target is cold for some seconds or minutes.
constexpr double max_cold_ms = 24.0 * 3'600'000.0;

// Limits of numbers that other programs write. A target has far fewer slots; an incarnation is a time in
// milliseconds, of which `first_number_of` needs the upper bits to be free.
constexpr std::uint64_t max_slots = 65'536;
constexpr std::uint64_t max_incarnation = std::uint64_t{1} << 42U;
// Claims are made at most a few times a second.
constexpr std::uint64_t max_attempt = std::uint64_t{1} << 48U;
constexpr std::size_t max_claim_targets = 64;

constexpr std::uint64_t max_remaining_ms = 600'000;

std::uint64_t milliseconds_of(duration time) {
  return static_cast<std::uint64_t>(std::chrono::ceil<std::chrono::milliseconds>(time).count());
}

json encode_effects(const std::vector<sql::pending_effect>& effects) {
  json out = json::array();
  for (const auto& each : effects) {
    out.push_back({{"target", each.target.str()}, {"remainingMs", milliseconds_of(each.remaining)}});
  }
  return out;
}

/// @return the effects in the field of a claim; none if it is missing.
result<std::vector<sql::pending_effect>> decode_effects(field_reader& claim, const char* field) {
  std::vector<sql::pending_effect> effects;
  for (const json& each : claim.array_or_empty(field)) {
    field_reader fields{each, fmt::format("promotion.{}[]", field)};
    const target_id target{fields.text("target")};
    const auto remaining_ms = fields.number("remainingMs");
    if (fields.has_failed()) return fields.failure();
    if (remaining_ms > max_remaining_ms || effects.size() == max_claim_targets) {
      return make_error(error_kind::invalid_document, fmt::format("promotion.{} is out of range", field));
    }
    effects.push_back({target, std::chrono::milliseconds{static_cast<std::int64_t>(remaining_ms)}});
  }
  return effects;
}

/// @return whether the text can be one field of a line to a target.
bool is_field(std::string_view text) {
  const auto is_visible = [](char each) { return each > ' ' && each <= '~'; };
  return !text.empty() && std::all_of(text.begin(), text.end(), is_visible);
}

/// @return an error unless the text is an address that a connection can be opened to.
result<void> check_address(const std::string& text) {
  const auto address = parse_address(text);
  if (!address) return make_error(error_kind::invalid_document, address.error().message);
  if (address->port == 0) {
    return make_error(error_kind::invalid_document, fmt::format("address \"{}\" has no valid port", text));
  }
  return {};
}

/// @return the field if it is a number of at least 0, else 0.
double number_or_zero(const json& object, const char* name) {
  const auto it = object.find(name);
  if (it == object.end() || !it->is_number()) return 0;
  return std::max(it->get<double>(), 0.0);
}

std::optional<sql::consistency> consistency_from(std::string_view word) {
  if (word == "primary") return sql::consistency::primary;
  if (word == "bounded") return sql::consistency::bounded_staleness;
  if (word == "read_your_writes") return sql::consistency::read_your_writes;
  return std::nullopt;
}

result<void> add_route(const json& value, sql::environment& out) {
  field_reader fields{value, "routes[]"};
  sql::database_route route;
  route.id = route_id{fields.text("name")};
  // The platform's field "host" holds the name of the database.
  auto database = fields.text("host");
  route.service = service_id{fields.text("service")};
  const auto level = consistency_from(fields.text("kind"));
  route.max_staleness = milliseconds{fields.number_or("maxStalenessMs", 0)};
  route.statement_timeout = milliseconds{fields.number("timeoutMs")};
  route.latency_objective = milliseconds{fields.number("targetLatencyMs")};
  route.priority = static_cast<int>(fields.number_or("priority", 0));
  route.is_public = fields.flag_or("public", false);
  if (fields.has_failed()) return fields.failure();
  if (!level) return make_error(error_kind::invalid_document, "routes[].kind is unknown");
  route.level = *level;
  out.databases.insert_or_assign(std::move(database), std::move(route));
  return {};
}

result<void> add_service(const json& value, sql::environment& out) {
  field_reader fields{value, "services[]"};
  const service_id name{fields.text("name")};
  sql::service_options options;
  options.connection_limit = static_cast<std::uint32_t>(
      std::min<std::uint64_t>(fields.number("connectionLimit"), max_connection_limit));
  options.synchronous_replicas = static_cast<std::uint32_t>(fields.number_or("syncReplicas", 0));
  if (fields.has_failed()) return fields.failure();
  out.services.insert_or_assign(name, options);
  return {};
}

result<void> add_customer(const json& value, sql::environment& out) {
  field_reader fields{value, "tenants[]"};
  const customer_id name{fields.text("name")};
  const sql::customer_options options{fields.real("ratePerS"), fields.real("burst")};
  const auto& keys = fields.array("accessKeys");
  if (fields.has_failed()) return fields.failure();
  for (const auto& key : keys) {
    if (!key.is_string())
      return make_error(error_kind::invalid_document, "tenants[].accessKeys is malformed");
    out.keys.insert_or_assign(key.get<std::string>(), name);
  }
  out.customers.insert_or_assign(name, options);
  return {};
}

}  // namespace

result<sql::environment> decode_environment(const json& content) {
  field_reader fields{content, "configuration"};
  sql::environment out;
  out.generation = generation_id{fields.number("version")};
  const auto& routes = fields.array("routes");
  const auto& services = fields.array("services");
  const auto& tenants = fields.array("tenants");
  if (fields.has_failed()) return fields.failure();
  for (const auto& each : routes) {
    if (auto added = add_route(each, out); !added) return tl::unexpected<error>(added.error());
  }
  for (const auto& each : services) {
    if (auto added = add_service(each, out); !added) return tl::unexpected<error>(added.error());
  }
  for (const auto& each : tenants) {
    if (auto added = add_customer(each, out); !added) return tl::unexpected<error>(added.error());
  }
  if (const auto limits = content.find("limits"); limits != content.end()) {
    field_reader limit_fields{*limits, "limits"};
    const auto idle = limit_fields.number_or("transactionIdleMs", 0);
    if (idle > 0) out.transaction_idle_limit = milliseconds{idle};
    if (limit_fields.has_failed()) return limit_fields.failure();
  }
  return out;
}

result<sql::target_announcement> decode_target(const stored_object& object) {
  field_reader fields{object.content, "target"};
  sql::target_announcement out;
  out.target = target_id{object.name};
  out.service = service_id{fields.text("service")};
  out.address = fields.text("address");
  out.data_centre = data_centre_id{fields.text("zone")};
  const auto slots = fields.number_or("slots", 1);
  const auto cold_ms = fields.real_or("coldRemainingMs", 0);
  const auto state = fields.text("state");
  const auto role = fields.text_or("databaseRole", "replica");
  // "born" is the start time of the target's process in milliseconds since the Unix epoch.
  out.number.start = fields.number_or("born", 0);
  out.number.sequence = fields.number_or("sequence", 0);
  if (fields.has_failed()) return fields.failure();
  if (!is_field(object.name) || !is_field(out.service.str())) {
    return make_error(error_kind::invalid_document,
                      "the name of the target or its service has a blank or a control character");
  }
  if (slots == 0 || slots > max_slots) {
    return make_error(error_kind::invalid_document, fmt::format("target.slots {} is out of range", slots));
  }
  out.slots = static_cast<std::uint32_t>(slots);
  if (cold_ms > max_cold_ms) {
    return make_error(error_kind::invalid_document, "target.coldRemainingMs is out of range");
  }
  out.cold_remaining = milliseconds{static_cast<std::int64_t>(cold_ms)};
  if (const auto checked = check_address(out.address); !checked) {
    return tl::unexpected<error>(checked.error());
  }
  if (state != "ready" && state != "draining") {
    return make_error(error_kind::invalid_document, fmt::format("target state \"{}\" is unknown", state));
  }
  if (role != "primary" && role != "replica") {
    return make_error(error_kind::invalid_document, fmt::format("target role \"{}\" is unknown", role));
  }
  out.is_leaving = state == "draining";
  out.is_primary = role == "primary";
  return out;
}

json encode_vm(const vm_record& record) {
  return {{"peerAddress", record.peer_address},
          {"dataCentre", record.data_centre.str()},
          {"incarnation", record.incarnation.value()},
          {"cores", record.cores},
          {"linkMbps", record.link_mbps}};
}

result<vm_record> decode_vm(const stored_object& object) {
  field_reader fields{object.content, "vm"};
  vm_record out;
  out.vm = vm_id{object.name};
  out.peer_address = fields.text("peerAddress");
  out.data_centre = data_centre_id{fields.text("dataCentre")};
  out.incarnation = incarnation_id{fields.number("incarnation")};
  if (fields.has_failed()) return fields.failure();
  // Older builds announce no capacity. A malformed one says nothing, but the VM is there.
  out.cores = number_or_zero(object.content, "cores");
  out.link_mbps = number_or_zero(object.content, "linkMbps");
  if (out.incarnation.value() > max_incarnation) {
    return make_error(error_kind::invalid_document,
                      fmt::format("vm.incarnation {} is out of range", out.incarnation.value()));
  }
  if (const auto checked = check_address(out.peer_address); !checked) {
    return tl::unexpected<error>(checked.error());
  }
  return out;
}

json encode_promotion(const promotion_record& record) {
  return {{"target", record.claim.target.str()},
          {"claimedBy", record.claimed_by.str()},
          {"phase", sql::name_of(record.claim.phase)},
          {"attempt", record.claim.attempt},
          {"unresolved", encode_effects(record.claim.unresolved)},
          {"resumed", encode_effects(record.claim.resumed)},
          {"storeEpoch", record.claim.epoch},
          {"lostHistoryMs", milliseconds_of(record.claim.lost_history)}};
}

result<promotion_record> decode_promotion(const stored_object& object) {
  field_reader fields{object.content, "promotion"};
  promotion_record out;
  out.service = service_id{object.name};
  out.claimed_by = vm_id{fields.text("claimedBy")};
  out.claim.target = target_id{fields.text("target")};
  // Claims of older versions have none of the fields below, and were made to order the target.
  const auto phase = sql::promotion_phase_from(fields.text_or("phase", "ordering"));
  out.claim.attempt = fields.number_or("attempt", 0);
  auto unresolved = decode_effects(fields, "unresolved");
  if (!unresolved) return tl::unexpected<error>(unresolved.error());
  auto resumed = decode_effects(fields, "resumed");
  if (!resumed) return tl::unexpected<error>(resumed.error());
  out.claim.epoch = fields.number_or("storeEpoch", 0);
  const auto lost_history_ms = fields.number_or("lostHistoryMs", 0);
  if (fields.has_failed()) return fields.failure();
  if (!phase) return make_error(error_kind::invalid_document, "promotion.phase is unknown");
  if (out.claim.attempt > max_attempt || lost_history_ms > max_remaining_ms) {
    return make_error(error_kind::invalid_document, "promotion.attempt or .lostHistoryMs is out of range");
  }
  out.claim.lost_history = std::chrono::milliseconds{static_cast<std::int64_t>(lost_history_ms)};
  out.claim.phase = *phase;
  out.claim.unresolved = std::move(*unresolved);
  out.claim.resumed = std::move(*resumed);
  return out;
}

}  // namespace bulrushlift::platform
