#include <algorithm>
#include <utility>

#include "base/log.h"
#include "entry/statement_runner.h"

// Decides whether a statement that was sent to the targets of one data centre is to run in another one.

namespace bulrushlift::entry {

bool statement_runner::is_in_data_centre(const work_item& item, const target_id& target) const {
  const auto directory = context_.shared.services.find(item.route->service);
  if (directory == context_.shared.services.end()) return false;
  const auto* entry = directory->second.find(target);
  return entry != nullptr && entry->info.data_centre == *item.data_centre;
}

bool statement_runner::is_holder(const sql::target_directory& directory, const target_id& target) const {
  const auto* entry = directory.find(target);
  if (entry == nullptr) return false;
  return holder_of(entry->info.service, entry->info.data_centre, context_.shared) == context_.settings.vm;
}

std::vector<target_id> statement_runner::candidates_for(const work_item& item) const {
  const auto directory = context_.shared.services.find(item.route->service);
  if (directory == context_.shared.services.end()) return {};
  const sql::target_requirements requirements{required_point(item), context_.settings.data_centre,
                                              context_.settings.target_drain_time()};
  auto candidates = directory->second.candidates(requirements, context_.loop.now());
  if (item.excluded_target && candidates.size() > 1) std::erase(candidates, *item.excluded_target);
  return candidates;
}

bool statement_runner::is_better_elsewhere(const work_item& item,
                                           const std::vector<target_id>& candidates) const {
  if (!item.data_centre) return false;
  const auto directory = context_.shared.services.find(item.route->service);
  if (directory == context_.shared.services.end()) return false;
  const auto* primary = directory->second.primary();
  // Without a known primary the work that needs it waits for the next one.
  if (!required_point(item)) return primary != nullptr && primary->info.data_centre != *item.data_centre;
  const auto here = std::find_if(candidates.begin(), candidates.end(),
                                 [&](const target_id& target) { return is_in_data_centre(item, target); });
  if (here == candidates.end()) return true;
  // Reads leave half of the primary's slots to the work that only it can do, while replicas can run them.
  const bool is_primary_only = primary != nullptr && primary->info.target == *here;
  const bool is_primary_busy = is_primary_only && 2 * primary->running >= primary->info.slots;
  return is_primary_busy && candidates.size() > 1;
}

void statement_runner::move_elsewhere(const work_ptr& item, const std::vector<target_id>& candidates) {
  const auto& directory = context_.shared.services[item->route->service];
  work_result result;
  result.error = item->is_in_transaction() ? sql::caller_error::aborted : sql::caller_error::busy;
  result.reason = "no target of the data centre can run it now";
  result.other_data_centre = data_centre_id{};
  for (const auto& target : candidates) {
    const auto& centre = directory.find(target)->info.data_centre;
    if (centre == *item->data_centre) continue;
    result.other_data_centre = centre;
    break;
  }
  if (result.other_data_centre->empty() && directory.primary() != nullptr) {
    result.other_data_centre = directory.primary()->info.data_centre;
  }
  context_.counters.counter("statements_moved_total").add();
  log_debug("statement_moved", {{"request_id", item->statement.id},
                                {"service", item->route->service.str()},
                                {"from", item->data_centre->str()},
                                {"to", result.other_data_centre->str()}});
  // The callback replaces that of the item while it runs.
  context_.loop.post([item, result, moved = item->moved] {
    if (!item->is_cancelled) moved(result);
  });
}

}  // namespace bulrushlift::entry
