#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "base/error.h"
#include "standins/child_process.h"

/// @file
/// A complete deployment as processes on loopback: the platform stand-in, database
/// members and daemons. For path tests, the demonstration and the benchmark driver.
///
///     auto fleet = local_fleet::start(options);
///     if (!fleet) return fail(fleet.error());
///     fleet->daemon("entry-1").kill();

namespace bulrushlift {

/// Options of one service, a database group of three members.
struct local_service {
  std::string name;
  std::size_t slots = 2;
  std::size_t connections = 16;
  std::chrono::milliseconds connect_cost{12};
  std::chrono::microseconds statement_cost{500};
  std::chrono::milliseconds replication_lag{1};
};

struct local_customer {
  std::string name;
  double rate_per_second = 0;
  double burst = 0;
  double weight = 1;
};

/// Processes to start and their configuration.
struct local_fleet_options {
  std::string binary_folder;  ///< Folder of the programs.
  std::string work_folder;    ///< Existing folder for settings and logs.
  std::string environment = "production";
  std::string region = "local";
  std::vector<std::string> data_centres{"dc-1", "dc-2", "dc-3", "dc-4"};
  std::size_t vms = 5;
  std::vector<local_service> services;  ///< Each gets a route of the same name.
  std::vector<local_customer> customers;
  bool read_replicas = true;  ///< Whether the routes let replicas serve reads.
  std::string timing = "{}";  ///< JSON object, the `timing` settings of each daemon.
  std::string log_level = "info";
  std::uint32_t decision_sampling = 1;
};

/// @param name of the folder for settings and logs, which is created; files of an earlier run are removed.
/// @return options with the programs and files of a build folder.
[[nodiscard]] local_fleet_options fleet_options_in(const std::string& build_folder, const std::string& name);

/// The running processes of a deployment, by name. The destructor kills them.
class local_fleet {
 public:
  /// Starts all processes and stores the configuration document as the production document.
  /// @return the fleet, or the first error. The daemons listen but may not be ready yet.
  [[nodiscard]] static result<local_fleet> start(const local_fleet_options& options);

  [[nodiscard]] child_process& daemon(const std::string& vm) { return processes_.at(vm); }
  [[nodiscard]] child_process& member(const std::string& target) { return processes_.at(target); }
  [[nodiscard]] child_process& platform() { return processes_.at("platform"); }

  /// Kills a process if it still runs, and starts it again with the same arguments and addresses.
  [[nodiscard]] result<void> restart(const std::string& name);

  [[nodiscard]] const std::string& caller_address(const std::string& vm) const { return callers_.at(vm); }
  [[nodiscard]] const std::string& admin_address(const std::string& vm) const { return admins_.at(vm); }
  [[nodiscard]] const std::string& member_address(const std::string& target) const {
    return members_.at(target);
  }
  [[nodiscard]] const std::string& platform_address() const noexcept { return platform_address_; }
  [[nodiscard]] const std::vector<std::string>& vms() const noexcept { return vm_names_; }
  [[nodiscard]] std::vector<std::string> targets() const;
  /// @return the access key that callers of a customer send.
  [[nodiscard]] const std::string& key_of(const std::string& customer) const { return keys_.at(customer); }
  /// @return the text of the production document.
  [[nodiscard]] const std::string& document_text() const noexcept { return document_; }
  [[nodiscard]] const std::string& environment() const noexcept { return environment_; }

  /// Stores `text` as the production document with the next generation number, without a trial.
  [[nodiscard]] result<void> put_document(const std::string& text);

 private:
  friend class local_fleet_starter;

  local_fleet() = default;
  [[nodiscard]] result<void> launch(const std::string& name);

  std::string work_folder_;
  std::string environment_;
  std::string platform_address_;
  std::string document_;
  std::uint64_t generation_ = 0;
  std::vector<std::string> vm_names_;
  std::map<std::string, std::vector<std::string>> commands_;
  std::map<std::string, std::string> callers_;
  std::map<std::string, std::string> admins_;
  std::map<std::string, std::string> members_;
  std::map<std::string, std::string> keys_;
  std::map<std::string, child_process> processes_;
};

/// An HTTP answer.
struct plain_answer {
  int status = 0;
  std::string body;
  std::map<std::string, std::string> headers;  ///< Names in lower case.
};

/// Sends one HTTP request on a new connection and waits for the answer.
/// @param headers lines of the form "Name: value".
/// @param timeout applies to the connect and to the answer separately.
/// @return the answer, or the error of the connection, the request or its headers.
[[nodiscard]] result<plain_answer> plain_request(const std::string& address, const std::string& method,
                                                 const std::string& target, const std::string& body = {},
                                                 const std::vector<std::string>& headers = {},
                                                 std::chrono::milliseconds timeout = std::chrono::seconds{
                                                     10});

}  // namespace bulrushlift
