#include "entry/evacuation_adapter.h"

#include <algorithm>
#include <utility>

#include "base/log.h"
#include "fleet/ownership.h"

namespace bulrushlift::entry {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// A silent connection hides a change from a watcher for this long and the time of a reply.
constexpr duration short_watch_wait = milliseconds{1'500};
// The longest wait that the store allows.
constexpr duration long_watch_wait = seconds{30};
constexpr mirror_options options{long_watch_wait, duration::zero(), duration::zero()};
const service_id placement_key{"evacuations"};

// Open transactions may go on for this part of the bound. Most of the bound may have passed before this VM
// learned of the evacuation.
constexpr int transaction_percent = 10;

// The monitor compares generations; the set has none, as its position orders it.
constexpr generation_id no_generation{};

constexpr std::size_t max_name_length = 255;

/// @return whether the name of an entry can be the name of a data centre.
bool is_valid_name(const std::string& name) {
  const auto is_visible = [](char each) { return each > ' ' && each <= '~'; };
  return !name.empty() && name.size() <= max_name_length && std::all_of(name.begin(), name.end(), is_visible);
}

duration bound_or_default(duration bound) { return bound > duration::zero() ? bound : seconds{1}; }

}  // namespace

evacuation_adapter::evacuation_adapter(entry_context& context, peer_adapter& peers, connection_pool& pool,
                                       std::function<void()> on_change)
    : context_(context),
      pool_(pool),
      on_change_(std::move(on_change)),
      store_(context.loop, context.settings.store),
      mirror_(context, store_, peers, platform::object_kind::evacuations, options, mirror_observer()),
      confirmations_(bound_or_default(context.settings.evacuation_bound), context.random()) {}

bool evacuation_adapter::is_watched() const noexcept {
  return context_.settings.evacuation_bound > duration::zero();
}

void evacuation_adapter::start() {
  if (!is_watched()) return;
  store_.on_restored([this] { mirror_.list_again(); });
  on_members();
  mirror_.start();
}

bool evacuation_adapter::is_ready() const noexcept {
  return !is_watched() || context_.shared.evacuations.is_known();
}

store_mirror::observer evacuation_adapter::mirror_observer() {
  return {[this](const platform::stored_object& object) {
            // The name alone matters: whatever the content is, the entry asks to send nothing.
            if (is_valid_name(object.name)) {
              listed_.insert(data_centre_id{object.name});
            } else {
              log_warning("evacuation_ignored", {{"reason", "the name is no name of a data centre"}});
            }
          },
          [this](const std::string& name) { listed_.erase(data_centre_id{name}); }, [] {},
          [this] {
            confirmations_.on_confirmed(context_.loop.now());
            apply(mirror_.position(), listed_);
          }};
}

void evacuation_adapter::on_status_received(const sql::evacuation_status& status) {
  if (!is_watched()) return;
  apply(status.position, status.stored);
  confirmations_.on_reported({no_generation, status.confirmed_age}, context_.loop.now());
}

std::optional<sql::evacuation_status> evacuation_adapter::status() const {
  const auto& set = context_.shared.evacuations;
  if (!is_watched() || !set.is_known()) return std::nullopt;
  return sql::evacuation_status{set.position(), set.stored(),
                                confirmations_.status_at(context_.loop.now()).confirmed_age};
}

void evacuation_adapter::apply(const store_version& position, const sql::data_centre_set& stored) {
  auto& set = context_.shared.evacuations;
  const auto before = set.in_force();
  const auto kept_before = set.kept();
  const bool is_changed = set.apply(position, stored);
  if (set.kept() != kept_before) log_kept();
  if (!is_changed) return;
  for (auto& [service, directory] : context_.shared.services) directory.set_evacuated(set.in_force());
  context_.counters.gauge("evacuated_data_centres").set(static_cast<double>(set.in_force().size()));
  log_changes(before);
  on_change_();
}

void evacuation_adapter::log_changes(const sql::data_centre_set& before) {
  const auto& set = context_.shared.evacuations;
  for (const auto& each : set.in_force()) {
    if (before.contains(each)) continue;
    progress_.insert_or_assign(each, progress{context_.loop.now(), false});
    const auto has_target_there = [&each](const auto& service) {
      const auto& targets = service.second.targets();
      return std::any_of(targets.begin(), targets.end(),
                         [&each](const auto& target) { return target.second.info.data_centre == each; });
    };
    const auto& services = context_.shared.services;
    log_warning("evacuation_in_force",
                {{"data_centre", each.str()},
                 {"has_targets", std::any_of(services.begin(), services.end(), has_target_there)}});
  }
  for (const auto& each : before) {
    if (set.in_force().contains(each)) continue;
    progress_.erase(each);
    log_warning("evacuation_over", {{"data_centre", each.str()}});
  }
}

void evacuation_adapter::log_kept() const {
  for (const auto& each : context_.shared.evacuations.kept()) {
    log_warning("evacuation_kept",
                {{"data_centre", each.str()}, {"reason", "the store came back without the entry"}});
  }
}

void evacuation_adapter::on_members() {
  if (!is_watched()) return;
  const auto placement = place_service(placement_key, context_.shared.members);
  const auto& self = context_.settings.vm;
  const bool is_watcher = placement && (placement->owner == self || placement->standby == self);
  mirror_.set_watch_wait(is_watcher ? short_watch_wait : long_watch_wait);
  if (std::exchange(is_watcher_, is_watcher) == is_watcher) return;
  log_info("evacuation_watcher_changed", {{"is_watcher", is_watcher}});
  // The watch that runs has the long wait.
  if (is_watcher && mirror_.is_synced()) mirror_.refresh();
}

void evacuation_adapter::on_targets(const service_id& service) {
  const auto it = context_.shared.services.find(service);
  if (it != context_.shared.services.end()) it->second.set_evacuated(context_.shared.evacuations.in_force());
}

void evacuation_adapter::on_tick() {
  if (!is_watched()) return;
  // While the store does not answer, the mirror calls it again by itself.
  const bool can_list = mirror_.is_synced() && mirror_.is_reachable() && !mirror_.is_refreshing();
  if (can_list && confirmations_.try_check(context_.loop.now())) {
    log_info("evacuations_checked", {{"reason", "no VM has read them recently"}});
    mirror_.refresh();
  }
  if (progress_.empty()) return;
  close_connections();
  report_progress();
}

void evacuation_adapter::close_connections() {
  const auto now = context_.loop.now();
  const auto grace = context_.settings.evacuation_bound * transaction_percent / 100;
  for (const auto& [service, directory] : context_.shared.services) {
    for (const auto& [target, entry] : directory.targets()) {
      const auto it = progress_.find(entry.info.data_centre);
      if (it != progress_.end()) pool_.close_unused(target, now - it->second.started >= grace);
    }
  }
}

std::size_t evacuation_adapter::connections_to(const data_centre_id& data_centre) const {
  std::size_t sum = 0;
  for (const auto& [service, directory] : context_.shared.services) {
    for (const auto& [target, entry] : directory.targets()) {
      if (entry.info.data_centre == data_centre) sum += pool_.count(target);
    }
  }
  return sum;
}

bool evacuation_adapter::has_primary_in(const data_centre_id& data_centre) const {
  return std::any_of(context_.shared.services.begin(), context_.shared.services.end(),
                     [&](const auto& service) {
                       const auto* leader = service.second.primary();
                       return leader != nullptr && leader->info.data_centre == data_centre &&
                              !service.second.is_blocked_by_evacuation(false);
                     });
}

void evacuation_adapter::report_progress() {
  std::size_t open = 0;
  for (auto& [data_centre, each] : progress_) {
    const auto connections = connections_to(data_centre);
    open += connections;
    if (each.is_done || connections > 0 || has_primary_in(data_centre)) continue;
    each.is_done = true;
    log_warning("evacuation_done",
                {{"data_centre", data_centre.str()}, {"elapsed_ms", context_.loop.now() - each.started}});
  }
  const auto is_done = [](const auto& each) { return each.second.is_done; };
  context_.counters.gauge("evacuation_connections").set(static_cast<double>(open));
  context_.counters.gauge("evacuations_done")
      .set(static_cast<double>(std::count_if(progress_.begin(), progress_.end(), is_done)));
}

}  // namespace bulrushlift::entry
