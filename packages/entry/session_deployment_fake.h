#pragma once

#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "net/event_loop.h"
#include "net/tcp_stream.h"
#include "standins/child_process.h"
#include "standins/fault_proxy.h"
#include "standins/session_database.h"
#include "standins/session_platform.h"

/// @file
/// A small deployment for tests with real proxy processes. The stand-ins for the platform and the
/// database run in the event loop of the test.

namespace bulrushlift::entry {

/// A client connection to one proxy.
class test_caller : private tcp_stream_observer {
 public:
  test_caller(event_loop& loop, const net_address& address);

  /// Sends one line and waits until the answer is complete (a READY line) or the connection is
  /// closed.
  /// @return the lines of the answer, without line ends.
  std::vector<std::string> ask(const std::string& line);
  /// As `ask`, for a line that was sent before.
  std::vector<std::string> read_answer();
  /// Does the same as `ask`.
  /// @return the lines of the answer, joined by "|".
  std::string ask_joined(const std::string& line);
  /// Sends text as it is, without waiting for an answer.
  void send(std::string_view text) { stream_.write(text); }
  /// Stops or resumes reading from the connection.
  void pause_reading(bool is_paused) { stream_.pause_reading(is_paused); }
  /// @return how many answers have arrived that `ask` has not returned.
  [[nodiscard]] std::size_t unread_answers() const;
  [[nodiscard]] bool is_closed() const noexcept { return is_closed_; }
  /// @return what has arrived and `ask` has not returned.
  [[nodiscard]] const std::string& received() const noexcept { return input_; }
  /// @return whether text has arrived that `ask` has not returned.
  [[nodiscard]] bool has_received(std::string_view text) const { return input_.find(text) != input_.npos; }

 private:
  void on_bytes(std::string_view bytes) override { input_ += bytes; }
  void on_closed(const error& /*reason*/) override { is_closed_ = true; }

  event_loop& loop_;
  tcp_stream stream_;
  std::string input_;
  bool is_closed_ = false;
};

/// Proxies, a platform and a database with three targets.
class session_deployment {
 public:
  /// Starts the proxies.
  /// @param name name of the folder for settings and logs.
  /// @param vms number of proxies.
  /// @param has_separate_store whether the last VM uses a store of its own, so that it can lose
  ///   access to the store while the other VMs keep it.
  /// @param settings fields that replace or extend the settings of each proxy.
  /// @param is_split whether all VMs with even numbers are in data centre "north", not only VM 0.
  session_deployment(const std::string& name, std::size_t vms, bool has_separate_store = false,
                     nlohmann::json settings = nlohmann::json::object(), bool is_split = false);

  event_loop loop;
  std::unique_ptr<session_platform> platform;
  /// The separate store of the last VM. Receives the same objects as the other store while its
  /// fault `is_refusing` is not set.
  std::unique_ptr<session_platform> separate_platform;
  std::unique_ptr<session_database> database;

  /// How long after its order a promotion takes effect.
  duration promotion_delay{};
  /// Replicas that must confirm a commit, in the configurations that are written from now on.
  int synchronous_replicas = 0;

  /// Fields that are added to the settings of the VMs that are started from now on.
  nlohmann::json more_settings = nlohmann::json::object();

  /// Runs the loop until the condition holds; fails the test after 60 s.
  /// @param what the event that is waited for; part of the failure message.
  void await(const std::string& what, const std::function<bool()>& condition);

  [[nodiscard]] std::unique_ptr<test_caller> connect(std::size_t vm);
  /// @return the VM that owns the service while all VMs run.
  [[nodiscard]] std::size_t owner() const;
  [[nodiscard]] child_process& process(std::size_t vm) { return processes_.at(vm); }
  void start_vm(std::size_t vm);
  [[nodiscard]] std::size_t vm_count() const noexcept { return ports_.size(); }
  [[nodiscard]] net_address caller_address(std::size_t vm) const { return local(ports_.at(vm).callers); }
  [[nodiscard]] net_address readiness_address(std::size_t vm) const { return local(ports_.at(vm).readiness); }
  [[nodiscard]] net_address peer_address(std::size_t vm) const { return local(ports_.at(vm).peers); }
  [[nodiscard]] net_address metrics_address(std::size_t vm) const { return local(ports_.at(vm).metrics); }
  /// Sends one readiness probe over a new connection.
  /// @return whether it was answered with 200 within a second.
  [[nodiscard]] bool is_ready(std::size_t vm);
  /// @return the value of a metric without labels; nothing if the VM does not answer within a second.
  [[nodiscard]] std::optional<double> metric(std::size_t vm, const std::string& name);
  /// @return whether the log of a VM has a line with all the texts.
  [[nodiscard]] bool has_logged(std::size_t vm, const std::vector<std::string>& texts) const;
  /// @return number of lines in the log of a VM that have the text.
  [[nodiscard]] std::ptrdiff_t count_logged(std::size_t vm, const std::string& text) const;
  /// Writes the configuration, in which customer "shop" has the given keys and customer "other"
  /// the key "key-other".
  void publish(std::uint64_t version, const std::vector<std::string>& shop_keys);
  void announce(const std::string& target, const std::string& state);
  /// Announces a target that stays slow for a while.
  void announce_cold(const std::string& target, std::uint64_t remaining_ms);
  /// Writes or removes the operators' entry for a data centre.
  void evacuate(const std::string& data_centre);
  void end_evacuation(const std::string& data_centre);
  /// Announces a target at a proxy, whose connections can be made silent.
  [[nodiscard]] fault_proxy& put_proxy_before(const std::string& target);
  /// Opens a session with the key "key-shop" on a VM and waits until it serves reads.
  /// @param name name of the database.
  [[nodiscard]] std::unique_ptr<test_caller> session(std::size_t vm, const std::string& name);

 private:
  struct vm_ports {
    std::uint16_t callers = 0;
    std::uint16_t readiness = 0;
    std::uint16_t peers = 0;
    std::uint16_t metrics = 0;
  };

  void put(const std::string& kind, const std::string& name, const nlohmann::json& content);
  void promote(const std::string& target);

  [[nodiscard]] static net_address local(std::uint16_t port) { return {"127.0.0.1", port}; }
  [[nodiscard]] std::string address_of(const std::string& target) const;
  [[nodiscard]] std::string data_centre_of(std::size_t vm) const;

  std::string folder_;
  nlohmann::json settings_;
  std::map<std::string, std::unique_ptr<fault_proxy>> target_proxies_;
  bool has_separate_store_ = false;
  bool is_split_ = false;
  std::uint64_t last_report_ = 0;  ///< Sequence number of the newest report of any target.
  std::vector<vm_ports> ports_;
  std::map<std::size_t, child_process> processes_;
};

/// @return the first run of a statement on a target, or null if no target ran it.
[[nodiscard]] const database_run* run_of(const session_deployment& deployment, const std::string& id);

/// @return how often targets ran a statement.
[[nodiscard]] std::size_t count_runs(const session_deployment& deployment, const std::string& id);

}  // namespace bulrushlift::entry
