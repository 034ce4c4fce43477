#include <fmt/format.h>

#include <algorithm>
#include <nlohmann/json.hpp>
#include <ostream>

#include "cli/command.h"
#include "cli/platform_session.h"

/// @file
/// `status` and `drain`. A daemon writes its admin address into the status object `status/vms/<vm>`:
/// `{"vm", "data_centre", "admin"}`. `GET /v1/status` of the admin listener answers
/// `{"vm", "data_centre", "drain", "freshness", "generation", "services": [{"service", "primary",
/// "term", "position"}], "customers": [{"customer", "rate_per_second", "used_per_second"}]}`, where
/// `services` are those that the VM owns. Fields that are absent are shown as "-".

namespace bulrushlift {
namespace {

using nlohmann::json;
using table_rows = std::vector<std::vector<std::string>>;

/// What one VM says about itself.
struct vm_report {
  std::string name;
  std::string admin;
  result<json> status = make_error(error_kind::not_found, "");
};

std::string field(const json& object, const char* name) {
  if (!object.is_object()) return "-";
  const auto it = object.find(name);
  if (it == object.end() || it->is_null()) return "-";
  return it->is_string() ? it->get<std::string>() : it->dump();
}

/// @return the items of a list field; none if it is absent.
std::vector<json> items(const json& object, const char* name) {
  if (!object.is_object()) return {};
  const auto it = object.find(name);
  return it != object.end() && it->is_array() ? it->get<std::vector<json>>() : std::vector<json>{};
}

result<std::vector<vm_report>> read_vms(const command_context& context) {
  const auto address = platform_of(context.options);
  if (!address) return tl::unexpected{address.error()};
  platform_session platform{context.loop, *address};
  const auto objects = platform.list("status/vms/");
  if (!objects) return tl::unexpected{objects.error()};
  std::vector<vm_report> reports;
  for (const auto& it : *objects) {
    const auto value = json::parse(it.value, nullptr, false);
    reports.push_back({field(value, "vm"), field(value, "admin")});
  }
  return reports;
}

void read_statuses(const command_context& context, std::vector<vm_report>& reports) {
  std::vector<admin_request> requests;
  requests.reserve(reports.size());
  for (const auto& it : reports) requests.push_back({it.admin, "GET", "/v1/status"});
  const auto answers = call_all(context.loop, requests);
  for (std::size_t i = 0; i < reports.size(); ++i) {
    if (!answers[i]) {
      reports[i].status = tl::unexpected{answers[i].error()};
      continue;
    }
    auto value = json::parse(*answers[i], nullptr, false);
    if (value.is_object()) {
      reports[i].status = std::move(value);
    } else {
      reports[i].status = make_error(error_kind::protocol_error, "the status is no JSON object");
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

void write_tables(command_context& context, const std::vector<vm_report>& reports) {
  table_rows vms{{"VM", "DATA_CENTRE", "ADMIN", "DRAIN", "FRESHNESS", "GENERATION"}};
  table_rows services{{"SERVICE", "OWNER", "PRIMARY", "TERM", "POSITION"}};
  table_rows customers{{"CUSTOMER", "VM", "RATE_PER_SECOND", "USED_PER_SECOND"}};
  for (const auto& it : reports) {
    if (!it.status) {
      vms.push_back({it.name, "-", it.admin, "unreachable", "-", "-"});
      continue;
    }
    const auto& status = *it.status;
    vms.push_back({it.name, field(status, "data_centre"), it.admin, field(status, "drain"),
                   field(status, "freshness"), field(status, "generation")});
    for (const auto& service : items(status, "services")) {
      services.push_back({field(service, "service"), it.name, field(service, "primary"),
                          field(service, "term"), field(service, "position")});
    }
    for (const auto& customer : items(status, "customers")) {
      customers.push_back({field(customer, "customer"), it.name, field(customer, "rate_per_second"),
                           field(customer, "used_per_second")});
    }
  }
  write_table(context.out, vms);
  for (const auto* rows : {&services, &customers}) {
    if (rows->size() == 1) continue;
    context.out << '\n';
    write_table(context.out, *rows);
  }
}

command_result run_status(command_context& context) {
  auto reports = read_vms(context);
  if (!reports) return tl::unexpected{reports.error()};
  if (!reports->empty()) read_statuses(context, *reports);
  if (context.options.json) {
    write_json(context, *reports);
  } else {
    write_tables(context, *reports);
  }
  return {};
}

command_result run_drain(command_context& context) {
  const auto reports = read_vms(context);
  if (!reports) return tl::unexpected{reports.error()};
  const auto& name = context.operands[0];
  const auto it = std::find_if(reports->begin(), reports->end(),
                               [&name](const vm_report& vm) { return vm.name == name; });
  if (it == reports->end()) {
    return make_error(error_kind::not_found, fmt::format("no VM {} has written a status object", name));
  }
  const auto answers = call_all(context.loop, {{it->admin, "POST", "/v1/drain"}});
  if (!answers[0]) return tl::unexpected{answers[0].error()};
  context.out << fmt::format("{} drains\n", name);
  return {};
}

}  // namespace

std::vector<command> fleet_commands() {
  return {
      {"status", "status [--json]", "Show the VMs, owners, primaries, and use against rates",
       "status --platform 127.0.0.1:7000", 0, 0, run_status},
      {"drain", "drain VM", "Let a VM finish its work and exit", "drain entry-1 --platform 127.0.0.1:7000", 1,
       1, run_drain},
  };
}

}  // namespace bulrushlift
