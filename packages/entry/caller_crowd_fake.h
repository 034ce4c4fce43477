#pragma once

#include <sys/types.h>

#include <cstddef>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "entry/session_deployment_fake.h"
#include "net/address.h"

/// @file
/// Crowds of clients that do not behave, over raw sockets, and the memory and descriptors of the process
/// that they connect to. Load pattern: messages of legal size on many connections at once, messages that
/// stop half-way, answers that nobody reads, connections that stay silent.

namespace bulrushlift::entry {

/// Limits that the tests of crowds set for each process, and check.
inline constexpr std::size_t crowd_memory_mb = 48;
inline constexpr std::size_t crowd_descriptors = 200;

/// @return the block `capacity` of the settings with these limits.
[[nodiscard]] nlohmann::json crowd_settings();

/// @return the peak of the resident memory of a process, in bytes; 0 if it does not run.
[[nodiscard]] std::size_t peak_memory_bytes(pid_t pid);
/// @return the number of open descriptors of a process; 0 if it does not run.
[[nodiscard]] std::size_t open_descriptors(pid_t pid);

/// What each client of a crowd does.
struct crowd_behaviour {
  std::string text = {};             ///< Sent as it is.
  std::size_t repeats = 1;           ///< How often `text` is sent, after `greeting`.
  std::string greeting = {};         ///< Sent first, once.
  std::size_t piece_bytes = 65'536;  ///< Largest part that is sent in one round.
  bool reads = false;                ///< Whether it reads what arrives.
  bool closes_half = false;          ///< Whether it shuts down its sending side when it has sent everything.
};

/// Clients of one address. Each client sends as fast as its connection takes bytes.
class caller_crowd {
 public:
  caller_crowd(session_deployment& deployment, net_address address, crowd_behaviour behaviour);
  caller_crowd(const caller_crowd&) = delete;
  caller_crowd& operator=(const caller_crowd&) = delete;
  ~caller_crowd();

  /// Opens connections and lets all clients act until nothing has moved, no target has run a statement and
  /// no process has grown for a while. Records the descriptors of the processes meanwhile.
  void run(std::size_t clients);

  /// @return the largest number of descriptors that a process of the deployment had during `run`.
  [[nodiscard]] std::size_t most_descriptors() const noexcept { return most_descriptors_; }
  [[nodiscard]] std::size_t open_clients() const noexcept;

 private:
  struct client;

  void connect();
  /// @return whether a byte was sent or received, or the connection ended.
  bool act(client& each) const;
  /// @return whether a process has grown or a target has run a statement since the last call.
  bool record();

  session_deployment& deployment_;
  net_address address_;
  crowd_behaviour behaviour_;
  std::vector<std::unique_ptr<client>> clients_;
  std::size_t most_descriptors_ = 0;
  std::size_t last_work_ = 0;
};

/// Checks that each process of the deployment runs, stayed within the limits, and serves a session.
void check_processes(session_deployment& deployment, const caller_crowd& crowd);

}  // namespace bulrushlift::entry
