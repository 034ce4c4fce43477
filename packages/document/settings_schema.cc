#include <fmt/format.h>

#include <map>

#include "document/document_schema.h"
#include "document/values.h"

namespace bulrushlift {
namespace internal {
namespace {

using std::chrono::milliseconds;

/// A shorter secret can be guessed; a longer one adds nothing to HMAC-SHA-256.
constexpr std::size_t least_secret_bytes = 16;
constexpr std::size_t most_secret_bytes = 64;
constexpr std::size_t most_bytes = 256U << 20U;
constexpr milliseconds hour{3'600'000};

value_reader<std::size_t> count(std::size_t least, std::size_t most) { return count_value(least, most); }

object_schema<limit_settings> limit_table() {
  using limits = limit_settings;
  object_schema<limits> table{"limits",
                              "Bounds on what callers, customers and targets occupy in one daemon."};
  table
      .optional("caller_connections", &limits::caller_connections, count(1, 1'000'000),
                "Caller connections; further ones are closed at once.")
      .optional("head_bytes", &limits::head_bytes, count(1'024, most_bytes),
                "Request line and headers of a request.")
      .optional("body_bytes", &limits::body_bytes, count(1'024, most_bytes), "Body of a request.")
      .optional("queued_bytes", &limits::queued_bytes, count(1'024, most_bytes),
                "Unsent answer bytes of one connection.")
      .optional("customer_queue", &limits::customer_queue, count(1, 1'000'000),
                "Queued requests of one customer.")
      .optional("total_queue", &limits::total_queue, count(1, 1'000'000), "Queued requests of all customers.")
      .optional("opening_connections", &limits::opening_connections, count(1, 1'000),
                "Connections to one target that open at the same time.")
      .optional("platform_calls_per_second", &limits::platform_calls_per_second, number_value(0.1, 1'000),
                "Calls to the platform, on average.")
      .optional("platform_calls_burst", &limits::platform_calls_burst, number_value(1, 1'000),
                "Calls to the platform at once.")
      .optional("retry_share", &limits::retry_share, number_value(0, 1),
                "Retries, as a share of the recent requests of a service.")
      .optional("retry_minimum", &limits::retry_minimum, count(0, 1'000),
                "Retries that are always allowed to a service.");
  return table;
}

object_schema<timing_settings> timing_table() {
  using timing = timing_settings;
  object_schema<timing> table{"timing", "Durations in milliseconds."};
  const auto span = [&table](const char* name, milliseconds timing::*member, milliseconds least,
                             milliseconds most, const char* text) {
    table.optional(name, member, milliseconds_value(least, most), text);
  };
  constexpr milliseconds one{1};
  span("freshness_limit_ms", &timing::freshness_limit, one, hour,
       "Age from which a configuration that was not confirmed needs a reason to be used.");
  span("outage_limit_ms", &timing::outage_limit, one, hour * 24, "Longest service without the store.");
  span("drain_time_ms", &timing::drain_time, one, hour, "Time for running work when the daemon stops.");
  span("poll_interval_ms", &timing::poll_interval, one, hour, "Between two polls of a target.");
  span("poll_timeout_ms", &timing::poll_timeout, one, hour, "A poll without an answer counts as missed.");
  span("primary_silence_ms", &timing::primary_silence, one, hour,
       "Contact age from which the members of a group count their primary as lost.");
  span("replica_wait_ms", &timing::replica_wait, milliseconds{0}, hour,
       "Wait for a replica that is about to reach the required point.");
  span("loan_wait_ms", &timing::loan_wait, milliseconds{0}, hour,
       "Wait for a loan before a request is over its rate.");
  span("loan_lifetime_ms", &timing::loan_lifetime, one, hour, "Validity of borrowed tokens.");
  span("dissemination_bound_ms", &timing::dissemination_bound, one, hour,
       "Every VM has a new document after this time; higher rates apply after it.");
  span("transaction_idle_ms", &timing::transaction_idle, one, hour,
       "An idle transaction ends after this time.");
  span("watch_timeout_ms", &timing::watch_timeout, one, hour, "Longest wait of one watch at the store.");
  span("platform_backoff_ms", &timing::platform_backoff, milliseconds{100}, hour,
       "Longest back-off of calls to the platform.");
  span("default_deadline_ms", &timing::default_deadline, one, hour,
       "Deadline of a request that states none.");
  span("caller_idle_ms", &timing::caller_idle, one, hour,
       "An idle caller connection is closed after this time.");
  span("caller_request_ms", &timing::caller_request, one, hour, "Time to send one whole request.");
  span("probe_interval_ms", &timing::probe_interval, one, hour,
       "Between two probes of an idle target connection.");
  span("probe_timeout_ms", &timing::probe_timeout, one, hour,
       "A probe without an answer closes the target connection.");
  span("status_interval_ms", &timing::status_interval, milliseconds{100}, hour,
       "Between two writes of the VM's status object. At 2,200 VMs the default costs 37 writes per second.");
  return table;
}

object_schema<log_settings> log_table() {
  object_schema<log_settings> table{"log", "Lines on standard error."};
  table
      .optional("level", &log_settings::level,
                choice_value<log_level>({{"debug", log_level::debug},
                                         {"info", log_level::info},
                                         {"warning", log_level::warning},
                                         {"error", log_level::error}}),
                "The lowest level that is written.")
      .optional("decision_sampling", &log_settings::decision_sampling,
                count_value<std::uint32_t>(0, 1'000'000'000),
                "One of this many routing decisions is written; 0 writes none.");
  return table;
}

object_schema<settings> settings_table() {
  object_schema<settings> table{"settings", "Settings of one daemon, read once at its start."};
  table.required("vm", &settings::vm, id_value<vm_id>(), "Name of this process in the fleet.")
      .required("data_centre", &settings::data_centre, id_value<data_centre_id>(), "Where the VM stands.")
      .required("environment", &settings::environment, name_value(),
                "The environment whose document is served.")
      .required("caller_listen", &settings::caller_listen, address_value(true), "Requests of callers.")
      .required("peer_listen", &settings::peer_listen, address_value(true),
                "Other VMs, TCP and UDP on the same port.")
      .required("admin_listen", &settings::admin_listen, address_value(true), "Metrics, status and drain.")
      .required("platform", &settings::platform, address_value(false), "The platform's object API.")
      .optional("seeds", &settings::seeds, list_value(address_value(false)),
                "Peer addresses of VMs to contact first.")
      .required("token_secrets", &settings::token_secrets,
                list_value(secret_value(least_secret_bytes, most_secret_bytes), 1),
                "Secrets of session tokens, the same on all VMs. The first signs, all verify.")
      .optional("limits", &settings::limits, object_value(limit_table()), "Bounds.")
      .optional("timing", &settings::timing, object_value(timing_table()), "Durations.")
      .optional("log", &settings::log, object_value(log_table()), "Logs.");
  return table;
}

void check_listeners(const settings& value, check_context& context) {
  std::map<std::string, std::string> first;
  const auto check = [&](const network_address& address, const char* path) {
    // Port 0 is another port for each listener.
    if (address.empty() || address.str().ends_with(":0")) return;
    const auto [it, inserted] = first.emplace(address.str(), path);
    if (!inserted) context.add_at(path, fmt::format("the address is also that of {}", it->second));
  };
  check(value.caller_listen, "caller_listen");
  check(value.peer_listen, "peer_listen");
  check(value.admin_listen, "admin_listen");
}

void check_order(const settings& value, check_context& context) {
  const auto& timing = value.timing;
  const auto require_below = [&context](milliseconds low, const char* low_name, milliseconds high,
                                        const char* high_name) {
    if (low < high) return;
    context.add_at(fmt::format("timing.{}", low_name),
                   fmt::format("must be below {} ({}), is {}", high_name, high.count(), low.count()));
  };
  require_below(timing.watch_timeout, "watch_timeout_ms", timing.freshness_limit, "freshness_limit_ms");
  require_below(timing.freshness_limit, "freshness_limit_ms", timing.outage_limit, "outage_limit_ms");
  if (value.limits.customer_queue > value.limits.total_queue) {
    context.add_at("limits.customer_queue",
                   fmt::format("must be at most total_queue ({}), is {}", value.limits.total_queue,
                               value.limits.customer_queue));
  }
}

void check_secrets(const settings& value, check_context& context) {
  std::map<std::string, std::size_t> first;
  for (std::size_t i = 0; i < value.token_secrets.size(); ++i) {
    if (value.token_secrets[i].empty()) continue;
    const auto [it, inserted] = first.emplace(value.token_secrets[i], i);
    if (inserted) continue;
    context.add_at(item_path("token_secrets", i),
                   fmt::format("is the same secret as {}", item_path("token_secrets", it->second)));
  }
}

}  // namespace

const object_schema<settings>& settings_schema() {
  static const auto table = settings_table();
  return table;
}

}  // namespace internal

namespace {

findings read_settings(std::string_view text, settings& value) {
  findings found;
  const auto tree = internal::parse_json(text, found);
  if (!tree) return found;
  internal::check_context context;
  for (auto& it : found) context.add(it.line, std::move(it.path), std::move(it.message));
  internal::settings_schema().read(value, *tree, "", context);
  internal::check_listeners(value, context);
  internal::check_order(value, context);
  internal::check_secrets(value, context);
  return context.take();
}

}  // namespace

findings check_settings(std::string_view text) {
  settings value;
  return read_settings(text, value);
}

bool is_settings_text(std::string_view text) {
  findings ignored;
  const auto tree = internal::parse_json(text, ignored);
  return tree && (tree->find("vm") != nullptr || tree->find("caller_listen") != nullptr);
}

result<settings> parse_settings(std::string_view text) {
  settings value;
  const auto found = read_settings(text, value);
  if (!found.empty()) return make_error(error_kind::invalid_settings, format_findings(found));
  return value;
}

}  // namespace bulrushlift
