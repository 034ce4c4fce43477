#include "soak/soak_plan.h"

#include <algorithm>
#include <array>
#include <random>

namespace bulrushlift::soak {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds min_fault_length{100};
constexpr milliseconds max_fault_length{3'000};

// Kinds that are drawn at random; the later ones are scheduled once for each run.
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
                                                               "restore_store",
                                                               "restart_vms",
                                                               "fail_statements"};

// Uses the remainder because the results of the standard distributions differ between libraries.
std::uint64_t draw(std::mt19937_64& random, std::uint64_t below) { return random() % below; }

bool affects_target(fault_kind kind) {
  return kind >= fault_kind::silence_target && kind <= fault_kind::refuse_begins;
}

}  // namespace

std::string_view name_of(fault_kind kind) noexcept { return kind_names.at(static_cast<std::size_t>(kind)); }

std::optional<fault_kind> fault_kind_from_name(std::string_view name) noexcept {
  const auto it = std::find(kind_names.begin(), kind_names.end(), name);
  if (it == kind_names.end()) return std::nullopt;
  return static_cast<fault_kind>(it - kind_names.begin());
}

namespace {

std::vector<fault_kind> drawn_kinds_of(const plan_options& options) {
  std::vector<fault_kind> kinds{options.only.begin(), options.only.end()};
  for (std::uint64_t i = 0; options.only.empty() && i < drawn_kinds; ++i) {
    kinds.push_back(static_cast<fault_kind>(i));
  }
  return kinds;
}

std::vector<fault> draw_faults(const plan_options& options) {
  std::mt19937_64 random{options.seed};
  const auto kinds = drawn_kinds_of(options);
  std::vector<fault> faults;
  const auto spacing = static_cast<std::uint64_t>(options.spacing.count());
  milliseconds at{};
  while (true) {
    // Half of the faults start together with the preceding one, so that faults overlap.
    if (draw(random, 2) == 0) at += milliseconds{draw(random, 4 * spacing + 1)};
    fault next;
    next.at = at;
    next.kind = kinds[draw(random, kinds.size())];
    next.index = draw(random, affects_target(next.kind) ? options.targets : options.vms);
    const auto range = static_cast<std::uint64_t>((max_fault_length - min_fault_length).count());
    next.length = min_fault_length + milliseconds{draw(random, range)};
    if (next.at >= options.span) return faults;
    next.length = std::min(next.length, options.span - next.at);
    faults.push_back(next);
  }
}

fault draw_once(const plan_options& options, fault_kind kind) {
  std::mt19937_64 random{~options.seed + static_cast<std::uint64_t>(kind) - drawn_kinds};
  const auto length = std::min(max_fault_length, options.span / 2);
  const auto latest = static_cast<std::uint64_t>((options.span - length).count());
  return {milliseconds{draw(random, latest + 1)}, kind, 0, length};
}

}  // namespace

std::vector<fault> make_plan(const plan_options& options) {
  auto faults = draw_faults(options);
  const auto is_before = [](const fault& a, const fault& b) { return a.at < b.at; };
  for (auto kind = drawn_kinds; options.only.empty() && kind < fault_kinds; ++kind) {
    const auto once = draw_once(options, static_cast<fault_kind>(kind));
    faults.insert(std::upper_bound(faults.begin(), faults.end(), once, is_before), once);
  }
  return faults;
}

}  // namespace bulrushlift::soak
