#include <fmt/format.h>

#include <algorithm>
#include <nlohmann/json.hpp>
#include <ostream>

#include "cli/command.h"
#include "cli/platform_session.h"
#include "document/production_record.h"

/// @file
/// The commands `status` and `drain`. They take the addresses of the admin listeners from the `--admin`
/// options, which work while the platform is down, or else from the platform's objects `status/vms/<vm>`,
/// whose fields are `vm` and `admin`. The status of a VM is the answer of its admin listener
/// to `GET /v1/status`. Absent fields are shown as "-".

namespace bulrushlift {
namespace {

using nlohmann::json;
using table_rows = std::vector<std::vector<std::string>>;

/// The status of one VM, or the reason why it could not be read.
struct vm_report {
  std::string name;
  std::string admin;
  result<json> status = make_error(error_kind::not_found, "");
};

/// @return the text of a field; "-" if it is absent, null or empty.
std::string text_field(const json& object, const char* name) {
  if (!object.is_object()) return "-";
  const auto it = object.find(name);
  if (it == object.end() || it->is_null()) return "-";
  if (!it->is_string()) return it->dump();
  const auto& text = it->get_ref<const std::string&>();
  return text.empty() ? "-" : text;
}

/// @return the number of tokens in a field that holds thousandths of a token; "-" if it is absent.
std::string tokens_field(const json& object, const char* name) {
  const auto it = object.find(name);
  return it != object.end() && it->is_number() ? fmt::format("{:.3f}", it->get<double>() / 1'000) : "-";
}

/// @return the object in a field; an empty object if it is absent.
json object_field(const json& object, const char* name) {
  if (!object.is_object()) return json::object();
  const auto it = object.find(name);
  return it != object.end() && it->is_object() ? *it : json::object();
}

/// @return the VMs of the `--admin` options, or else those that the platform lists, without their status.
result<std::vector<vm_report>> find_vms(const command_context& context) {
  if (!context.options.admin_addresses.empty()) {
    std::vector<vm_report> reports;
    for (const auto& it : context.options.admin_addresses) reports.push_back({"-", it});
    return reports;
  }
  const auto address = required_platform(context.options);
  if (!address) return tl::unexpected{address.error()};
  platform_session platform{context.loop, *address};
  const auto objects = platform.list(vm_status_prefix);
  if (!objects) return tl::unexpected{objects.error()};
  std::vector<vm_report> reports;
  for (const auto& it : *objects) {
    const auto value = json::parse(it.value, nullptr, false);
    reports.push_back({text_field(value, "vm"), text_field(value, "admin")});
  }
  return reports;
}

/// Fetches the status of all VMs concurrently. The name in a status replaces the name that the platform gave.
void fetch_statuses(const command_context& context, std::vector<vm_report>& reports) {
  std::vector<admin_request> requests;
  requests.reserve(reports.size());
  for (const auto& it : reports) requests.push_back({it.admin, "GET", "/v1/status"});
  const auto answers = call_admin_listeners(context.loop, requests);
  for (std::size_t i = 0; i < reports.size(); ++i) {
    if (!answers[i]) {
      reports[i].status = tl::unexpected{answers[i].error()};
      continue;
    }
    auto value = json::parse(*answers[i], nullptr, false);
    if (value.is_object()) {
      reports[i].name = text_field(value, "vm");
      reports[i].status = std::move(value);
    } else {
      reports[i].status =
          make_error(error_kind::protocol_error, "the answer to GET /v1/status is not a JSON object");
    }
  }
}

void write_json(command_context& context, const std::vector<vm_report>& reports) {
  json out = json::array();
  for (const auto& it : reports) {
    json entry{{"vm", it.name}, {"admin", it.admin}};
    if (it.status) {
      entry["status"] = *it.status;
    } else {
      entry["error"] = it.status.error().message;
    }
    out.push_back(std::move(entry));
  }
  context.out << out.dump() << '\n';
}

/// @return the log position of a service's primary as the VM that owns the service knows it.
std::string primary_position(const json& service) {
  const auto primary = text_field(service, "primary");
  const auto targets = service.find("targets");
  if (targets == service.end() || !targets->is_array()) return "-";
  for (const auto& it : *targets) {
    if (text_field(it, "target") == primary) return text_field(object_field(it, "point"), "position");
  }
  return "-";
}

void add_services(const json& status, table_rows& rows) {
  const auto services = object_field(status, "services");
  for (const auto& [name, service] : services.items()) {
    if (text_field(service, "owner") != "true") continue;
    rows.push_back({name, text_field(status, "vm"), text_field(service, "primary"),
                    text_field(service, "term"), primary_position(service), text_field(service, "promotion"),
                    text_field(service, "queued")});
  }
}

void add_budgets(const json& status, table_rows& rows) {
  const auto budgets = object_field(status, "budgets");
  for (const auto& [name, budget] : budgets.items()) {
    rows.push_back({name, text_field(status, "vm"), text_field(budget, "rate_per_second"),
                    text_field(budget, "used_per_second"), tokens_field(budget, "level"),
                    text_field(budget, "waiting")});
  }
}

void write_tables(command_context& context, const std::vector<vm_report>& reports) {
  table_rows vms{{"VM", "DATA_CENTRE", "ADMIN", "DRAIN", "FRESHNESS", "GENERATION"}};
  table_rows services{{"SERVICE", "OWNER", "PRIMARY", "TERM", "POSITION", "PROMOTION", "QUEUED"}};
  table_rows budgets{{"CUSTOMER", "VM", "RATE_PER_SECOND", "USED_PER_SECOND", "LEVEL", "WAITING"}};
  for (const auto& it : reports) {
    if (!it.status) {
      vms.push_back({it.name, "-", it.admin, "unreachable", "-", "-"});
      continue;
    }
    const auto& status = *it.status;
    vms.push_back({it.name, text_field(status, "data_centre"), it.admin, text_field(status, "drain"),
                   text_field(status, "freshness"), text_field(status, "generation")});
    add_services(status, services);
    add_budgets(status, budgets);
  }
  write_table(context.out, vms);
  for (auto* rows : {&services, &budgets}) {
    if (rows->size() == 1) continue;
    std::sort(rows->begin() + 1, rows->end());
    context.out << '\n';
    write_table(context.out, *rows);
  }
}

command_result run_status(command_context& context) {
  auto reports = find_vms(context);
  if (!reports) return tl::unexpected{reports.error()};
  if (!reports->empty()) fetch_statuses(context, *reports);
  if (context.options.json) {
    write_json(context, *reports);
  } else {
    write_tables(context, *reports);
  }
  return {};
}

command_result run_drain(command_context& context) {
  auto reports = find_vms(context);
  if (!reports) return tl::unexpected{reports.error()};
  const auto& name = context.operands[0];
  if (context.options.admin_addresses.empty())
    std::erase_if(*reports, [&](const vm_report& it) { return it.name != name; });
  if (!reports->empty()) fetch_statuses(context, *reports);
  // Another VM may have taken over the address in a status object, so the VM is found by
  // the name in its own answer.
  const auto it = std::find_if(reports->begin(), reports->end(),
                               [&](const vm_report& vm) { return vm.status && vm.name == name; });
  if (it == reports->end()) {
    const auto failed =
        std::find_if(reports->begin(), reports->end(), [](const vm_report& vm) { return !vm.status; });
    if (failed != reports->end()) return tl::unexpected{failed->status.error()};
    return make_error(error_kind::not_found, fmt::format("no VM with the name {} was found", name));
  }
  const auto answers = call_admin_listeners(context.loop, {{it->admin, "POST", "/v1/drain"}});
  if (!answers[0]) return tl::unexpected{answers[0].error()};
  context.out << fmt::format("{} drains\n", name);
  return {};
}

}  // namespace

std::vector<command> fleet_commands() {
  return {
      {"status", "status [--admin ADDRESS]... [--json]",
       "Show the VMs, owners, primaries, and use against rates", "status --platform 127.0.0.1:7000", 0, 0,
       run_status},
      {"drain", "drain VM [--admin ADDRESS]", "Let a VM finish its work and exit",
       "drain entry-1 --platform 127.0.0.1:7000", 1, 1, run_drain},
  };
}

}  // namespace bulrushlift
