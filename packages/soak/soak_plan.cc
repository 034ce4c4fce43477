#include "soak/soak_plan.h"

#include <algorithm>
#include <array>
#include <random>

namespace bulrushlift::soak {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds min_fault_length{100};
constexpr milliseconds max_fault_length{3'000};

// Kinds that are drawn at random; the restore of the store is scheduled once for each run.
constexpr auto drawn_kinds = static_cast<std::uint64_t>(fault_kind::restore_store);

constexpr std::array<std::string_view, fault_kinds> kind_names{"kill_vm",
                                                               "stop_vm",
                                                               "pause_vm",
                                                               "reload_vm",
                                                               "reset_callers",
                                                               "refuse_store",
                                                               "silence_store",
                                                               "cut_store_answers",
                                                               "delay_store",
                                                               "fail_store",
                                                               "lose_store_writes",
                                                               "compact_store",
                                                               "silence_target",
                                                               "cut_target_answers",
                                                               "delay_target",
                                                               "lose_target_answers",
                                                               "refuse_begins",
                                                               "mute_primary",
                                                               "drain_primary",
                                                               "stall_replication",
                                                               "change_configuration",
                                                               "restore_store"};

// Uses the remainder because the results of the standard distributions differ between libraries.
std::uint64_t draw(std::mt19937_64& random, std::uint64_t below) { return random() % below; }

bool affects_target(fault_kind kind) {
  return kind >= fault_kind::silence_target && kind <= fault_kind::refuse_begins;
}

}  // namespace

std::string_view name_of(fault_kind kind) noexcept { return kind_names.at(static_cast<std::size_t>(kind)); }

namespace {

std::vector<fault> draw_faults(const plan_options& options) {
  std::mt19937_64 random{options.seed};
  std::vector<fault> faults;
  const auto spacing = static_cast<std::uint64_t>(options.spacing.count());
  milliseconds at{};
  while (true) {
    // Half of the faults start together with the preceding one, so that faults overlap.
    if (draw(random, 2) == 0) at += milliseconds{draw(random, 4 * spacing + 1)};
    fault next;
    next.at = at;
    next.kind = static_cast<fault_kind>(draw(random, drawn_kinds));
    next.index = draw(random, affects_target(next.kind) ? options.targets : options.vms);
    const auto range = static_cast<std::uint64_t>((max_fault_length - min_fault_length).count());
    next.length = min_fault_length + milliseconds{draw(random, range)};
    if (next.at >= options.span) return faults;
    next.length = std::min(next.length, options.span - next.at);
    faults.push_back(next);
  }
}

fault draw_restore(const plan_options& options) {
  std::mt19937_64 random{~options.seed};
  const auto length = std::min(max_fault_length, options.span / 2);
  const auto latest = static_cast<std::uint64_t>((options.span - length).count());
  return {milliseconds{draw(random, latest + 1)}, fault_kind::restore_store, 0, length};
}

}  // namespace

std::vector<fault> make_plan(const plan_options& options) {
  auto faults = draw_faults(options);
  const auto restore = draw_restore(options);
  const auto is_before = [](const fault& a, const fault& b) { return a.at < b.at; };
  faults.insert(std::upper_bound(faults.begin(), faults.end(), restore, is_before), restore);
  return faults;
}

}  // namespace bulrushlift::soak
