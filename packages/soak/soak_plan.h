#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <string_view>
#include <vector>

/// @file
/// Generates the fault schedule of one soak run from a seed: the time, kind, subject and
/// length of each fault. Faults may overlap.

namespace bulrushlift::soak {

enum class fault_kind : std::uint8_t {
  kill_vm,               ///< SIGKILL; the VM is restarted after the fault's length.
  stop_vm,               ///< SIGTERM; the VM is restarted once its process has exited.
  pause_vm,              ///< SIGSTOP, then SIGCONT after the fault's length.
  reload_vm,             ///< SIGHUP, which reloads the settings.
  reset_callers,         ///< Closes the open connections between callers and a VM.
  refuse_store,          ///< Closes each of a VM's connections to the store as soon as it is opened.
  silence_store,         ///< Drops all further bytes on a VM's open connections to the store.
  cut_store_answers,     ///< Delivers a VM's requests to the store, but drops the responses.
  delay_store,           ///< Adds latency between a VM and the store.
  fail_store,            ///< The store answers every request with 503.
  lose_store_writes,     ///< The store applies the next writes, but doesn't answer them.
  compact_store,         ///< The store compacts its history.
  silence_target,        ///< Drops all further bytes on open connections to a target.
  cut_target_answers,    ///< Delivers statements to a target, but drops the answers.
  delay_target,          ///< Adds latency to a target.
  lose_target_answers,   ///< A target closes the connection instead of sending the next answers.
  refuse_begins,         ///< A target refuses the next BEGIN statements.
  mute_primary,          ///< The primary sends no answers.
  drain_primary,         ///< The primary is published as draining.
  stall_replication,     ///< Replicas stop applying the primary's log.
  change_configuration,  ///< Publishes a new version of the configuration with the same content.
  restore_store,         ///< The store comes back as it was at the start of the fault, in a new epoch.
  restart_vms,           ///< SIGKILL of one VM after the other; each is restarted at once.
  fail_statements,       ///< The primary answers many statements with FAILED, without running them.
};
inline constexpr std::size_t fault_kinds = 24;

/// @return the name of the fault kind, spelled like its enumerator.
[[nodiscard]] std::string_view name_of(fault_kind kind) noexcept;
/// @return the fault kind with the name, or nothing if there is none.
[[nodiscard]] std::optional<fault_kind> fault_kind_from_name(std::string_view name) noexcept;

/// One scheduled fault.
struct fault {
  std::chrono::milliseconds at{};  ///< From the start of the traffic.
  fault_kind kind{};
  std::size_t index = 0;               ///< Index of the affected VM or target.
  std::chrono::milliseconds length{};  ///< Zero for a momentary fault.

  friend bool operator==(const fault&, const fault&) = default;
};

struct plan_options {
  std::uint64_t seed = 1;
  std::chrono::milliseconds span{10'000};  ///< Length of the run; all faults end within it.
  std::size_t vms = 3;
  std::size_t targets = 3;
  std::chrono::milliseconds spacing{400};  ///< Average time between two starts of faults.
  std::set<fault_kind> only = {};          ///< Kinds to schedule; all if empty.
};

/// Generates the fault schedule. Each run has one fault of each kind from `restore_store` on; a seed draws
/// its other faults as it would without them. If only some kinds are scheduled, all faults are drawn from
/// these.
/// @return the faults ordered by start time; equal options give equal schedules.
[[nodiscard]] std::vector<fault> make_plan(const plan_options& options);

}  // namespace bulrushlift::soak
