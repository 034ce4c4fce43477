#include "standins/local_fleet.h"

#include <fmt/format.h>

#include <cctype>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

#include "base/digest.h"
#include "net/event_loop.h"
#include "net/http_client.h"

namespace bulrushlift {
namespace {

using nlohmann::json;
using std::chrono::seconds;

constexpr std::size_t members_per_service = 3;
constexpr seconds start_timeout{30};

std::string loopback(std::uint16_t port) { return fmt::format("127.0.0.1:{}", port); }

result<void> write_file(const std::string& path, const std::string& text) {
  std::ofstream file{path};
  file << text;
  file.close();
  if (!file) return make_error(error_kind::io_error, fmt::format("cannot write {}", path));
  return {};
}

/// Waits for the JSON line that a program prints when it listens.
result<void> read_announcement(child_process& process) {
  const auto line = process.read_line(start_timeout);
  if (!line) return tl::unexpected<error>(line.error());
  if (json::parse(*line, nullptr, false).is_object()) return {};
  return make_error(error_kind::protocol_error, fmt::format("unexpected announcement: {}", *line));
}

std::string lower_case(std::string text) {
  for (auto& c : text) c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
  return text;
}

std::optional<http_headers> parse_headers(const std::vector<std::string>& lines) {
  http_headers headers;
  for (const auto& line : lines) {
    const auto colon = line.find(": ");
    if (colon == std::string::npos) return std::nullopt;
    headers.add(line.substr(0, colon), line.substr(colon + 2));
  }
  return headers;
}

}  // namespace

result<plain_answer> plain_request(const std::string& address, const std::string& method,
                                   const std::string& target, const std::string& body,
                                   const std::vector<std::string>& headers,
                                   std::chrono::milliseconds timeout) {
  const auto destination = parse_address(address);
  if (!destination) return tl::unexpected<error>(destination.error());
  auto fields = parse_headers(headers);
  if (!fields) return make_error(error_kind::bad_request, "a header is not of the form \"Name: value\"");
  // Default size: a smaller event loop would lower the descriptor limit of the whole process.
  event_loop loop;
  http_connection connection{loop};
  result<plain_answer> answer = make_error(error_kind::internal_error, "no answer");
  const http_request request{.method = method, .target = target, .headers = *fields, .body = body};
  const auto receive = [&](result<http_response> response) {
    if (response) {
      plain_answer plain{response->status, response->body, {}};
      for (const auto& [name, value] : response->headers) plain.headers[lower_case(name)] = value;
      answer = std::move(plain);
    } else {
      answer = tl::unexpected<error>(response.error());
    }
    loop.stop();
  };
  connection.open(*destination, timeout, [&](const result<void>& opened) {
    if (opened) {
      connection.send(request, timeout, receive);
      return;
    }
    answer = tl::unexpected<error>(opened.error());
    loop.stop();
  });
  loop.run_for(timeout * 2);
  return answer;
}

/// Starts the processes of a fleet in order: platform, database members, daemons.
class local_fleet_starter {
 public:
  explicit local_fleet_starter(const local_fleet_options& options) : options_(options) {}

  result<local_fleet> start() {
    fleet_.work_folder_ = options_.work_folder;
    fleet_.environment_ = options_.environment;
    const auto daemons = options_.vms;
    const auto members = options_.services.size() * members_per_service;
    auto ports = free_ports(daemons * 3 + members + 1);
    if (!ports) return tl::unexpected<error>(ports.error());
    ports_ = std::move(*ports);
    if (auto started = start_platform(); !started) return tl::unexpected<error>(started.error());
    assign_vm_addresses();
    if (auto started = start_members(); !started) return tl::unexpected<error>(started.error());
    if (auto put = fleet_.put_document(document().dump(2)); !put) return tl::unexpected<error>(put.error());
    for (const auto& vm : fleet_.vm_names_) {
      if (auto started = start_daemon(vm); !started) return tl::unexpected<error>(started.error());
    }
    return std::move(fleet_);
  }

 private:
  std::string next_address() { return loopback(ports_[next_port_++]); }

  const std::string& data_centre(std::size_t i) const {
    return options_.data_centres[i % options_.data_centres.size()];
  }

  std::string program(const std::string& name) const { return options_.binary_folder + "/" + name; }

  result<void> start_platform() {
    fleet_.platform_address_ = next_address();
    fleet_.commands_["platform"] = {program("platform_standin"), "--listen", fleet_.platform_address_};
    return fleet_.launch("platform");
  }

  void assign_vm_addresses() {
    for (std::size_t i = 0; i < options_.vms; ++i) {
      const auto name = fmt::format("entry-{}", i + 1);
      fleet_.vm_names_.push_back(name);
      fleet_.callers_[name] = next_address();
      fleet_.admins_[name] = next_address();
      peers_[name] = next_address();
    }
  }

  result<void> start_members() {
    for (const auto& service : options_.services) {
      std::vector<std::string> names;
      for (std::size_t i = 1; i <= members_per_service; ++i) {
        names.push_back(fmt::format("{}-{}", service.name, i));
        fleet_.members_[names.back()] = next_address();
      }
      for (const auto& name : names) {
        fleet_.commands_[name] = member_command(service, names, name);
        if (auto started = fleet_.launch(name); !started) return started;
      }
    }
    return {};
  }

  std::vector<std::string> member_command(const local_service& service, const std::vector<std::string>& names,
                                          const std::string& self) const {
    std::vector<std::string> command{program("database_member"),
                                     "--listen",
                                     fleet_.members_.at(self),
                                     "--service",
                                     service.name,
                                     "--target",
                                     self,
                                     "--slots",
                                     std::to_string(service.slots),
                                     "--connections",
                                     std::to_string(service.connections),
                                     "--connection-cost-ms",
                                     std::to_string(service.connect_cost.count()),
                                     "--statement-cost-us",
                                     std::to_string(service.statement_cost.count()),
                                     "--replication-lag-ms",
                                     std::to_string(service.replication_lag.count())};
    std::string peers;
    for (const auto& name : names) {
      if (name == self) continue;
      if (!peers.empty()) peers += ",";
      peers += name + "=" + fleet_.members_.at(name);
    }
    command.insert(command.end(), {"--peers", peers});
    if (self == names.front()) command.insert(command.end(), {"--role", "primary"});
    return command;
  }

  json document() {
    json vms = json::array();
    for (std::size_t i = 0; i < fleet_.vm_names_.size(); ++i) {
      const auto& name = fleet_.vm_names_[i];
      vms.push_back({{"name", name}, {"data_centre", data_centre(i)}, {"peer_address", peers_.at(name)}});
    }
    json services = json::array();
    json routes = json::array();
    json names = json::array();
    for (const auto& customer : options_.customers) names.push_back(customer.name);
    for (const auto& service : options_.services) {
      services.push_back(service_object(service));
      routes.push_back({{"name", service.name},
                        {"service", service.name},
                        {"customers", names},
                        {"read_replicas", options_.read_replicas}});
    }
    json customers = json::array();
    for (const auto& customer : options_.customers) customers.push_back(customer_object(customer));
    return {{"environment", options_.environment},
            {"regions", {{{"name", options_.region}, {"data_centres", options_.data_centres}}}},
            {"vms", vms},
            {"services", services},
            {"customers", customers},
            {"routes", routes}};
  }

  json service_object(const local_service& service) const {
    json targets = json::array();
    for (std::size_t i = 0; i < members_per_service; ++i) {
      const auto name = fmt::format("{}-{}", service.name, i + 1);
      targets.push_back({{"name", name},
                         {"address", fleet_.members_.at(name)},
                         {"data_centre", data_centre(i)},
                         {"slots", service.slots},
                         {"connections", service.connections}});
    }
    return {{"name", service.name}, {"connect_cost_ms", service.connect_cost.count()}, {"targets", targets}};
  }

  json customer_object(const local_customer& customer) {
    const auto id = customer.name + "-1";
    const auto key = fmt::format("blk_{}_{}", id, to_base64url(as_bytes(sha256(customer.name))));
    fleet_.keys_[customer.name] = key;
    return {{"name", customer.name},
            {"rate_per_second", customer.rate_per_second},
            {"burst", customer.burst},
            {"weight", customer.weight},
            {"keys", {{{"id", id}, {"digest", to_hex(as_bytes(sha256(key)))}, {"state", "active"}}}}};
  }

  result<void> start_daemon(const std::string& vm) {
    const auto index = static_cast<std::size_t>(std::stoul(vm.substr(vm.find('-') + 1))) - 1;
    json seeds = json::array();
    for (const auto& [name, address] : peers_) {
      if (name != vm) seeds.push_back(address);
    }
    const json settings{
        {"vm", vm},
        {"data_centre", data_centre(index)},
        {"environment", options_.environment},
        {"caller_listen", fleet_.callers_.at(vm)},
        {"peer_listen", peers_.at(vm)},
        {"admin_listen", fleet_.admins_.at(vm)},
        {"platform", fleet_.platform_address_},
        {"seeds", seeds},
        {"token_secrets", {to_hex(as_bytes(sha256("local fleet")))}},
        {"timing", json::parse(options_.timing)},
        {"log", {{"level", options_.log_level}, {"decision_sampling", options_.decision_sampling}}}};
    const auto path = fmt::format("{}/{}.jsonc", options_.work_folder, vm);
    if (auto written = write_file(path, settings.dump(2)); !written) return written;
    fleet_.commands_[vm] = {program("bulrushliftd"), "--settings", path};
    return fleet_.launch(vm);
  }

  const local_fleet_options& options_;
  local_fleet fleet_;
  std::vector<std::uint16_t> ports_;
  std::size_t next_port_ = 0;
  std::map<std::string, std::string> peers_;
};

local_fleet_options fleet_options_in(const std::string& build_folder, const std::string& name) {
  local_fleet_options options;
  options.binary_folder = build_folder + "/bin";
  options.work_folder = build_folder + "/path/" + name;
  std::filesystem::remove_all(options.work_folder);
  std::filesystem::create_directories(options.work_folder);
  return options;
}

result<local_fleet> local_fleet::start(const local_fleet_options& options) {
  return local_fleet_starter{options}.start();
}

result<void> local_fleet::launch(const std::string& name) {
  auto process = child_process::start(commands_.at(name), work_folder_ + "/" + name + ".log");
  if (!process) return tl::unexpected<error>(process.error());
  const auto announced = read_announcement(*process);
  if (!announced) return tl::unexpected<error>(announced.error());
  processes_.insert_or_assign(name, std::move(*process));
  return {};
}

result<void> local_fleet::restart(const std::string& name) {
  processes_.erase(name);
  return launch(name);
}

std::vector<std::string> local_fleet::targets() const {
  std::vector<std::string> names;
  names.reserve(members_.size());
  for (const auto& [name, address] : members_) names.push_back(name);
  return names;
}

result<void> local_fleet::put_document(const std::string& text) {
  const json record{{"generation", ++generation_},
                    {"promotion_id", fmt::format("local-{}", generation_)},
                    {"digest", to_hex(as_bytes(sha256(text)))},
                    {"text", text}};
  const auto path = fmt::format("/v1/objects/environments/{}/production", environment_);
  const auto answer = plain_request(platform_address_, "PUT", path, json{{"value", record.dump()}}.dump());
  if (!answer) return tl::unexpected<error>(answer.error());
  if (answer->status != 200) return make_error(error_kind::platform_unavailable, answer->body);
  document_ = text;
  return {};
}

}  // namespace bulrushlift
