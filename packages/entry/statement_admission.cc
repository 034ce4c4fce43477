#include <algorithm>
#include <string>
#include <utility>

#include "base/log.h"
#include "entry/statement_runner.h"

// Admission of statements by the statement runner: which ones wait for a slot, which ones are
// refused at once, and when the waiting ones are started.

namespace bulrushlift::entry {
namespace {

sql::waiting_statement to_waiting(const work_item& item) {
  return {item.customer,  item.route->priority, item.is_for_primary(),
          item.start_tag, item.arrived,         item.wait_end};
}

}  // namespace

void statement_runner::run(const work_ptr& item) {
  if (item->pinned.is_set()) {
    run_pinned(item);
    return;
  }
  const auto timeout = sql::longest_useful_wait(item->route->latency_objective);
  item->wait_end = std::min(item->deadline, item->arrived + timeout);
  const auto candidates = candidates_for(*item);
  if (item->moved && is_better_elsewhere(*item, candidates)) {
    move_elsewhere(item, candidates);
    return;
  }
  if (const auto reason = refusal_of(*item)) {
    // Reads may find room in another data centre; work for the primary has nowhere else to go.
    if (item->moved && !item->is_for_primary() && candidates.size() > 1) {
      move_elsewhere(item, candidates);
    } else {
      refuse(item, *reason);
    }
    return;
  }
  queues_[item->route->service].retries.on_first_attempt();
  enqueue(item);
  dispatch(item->route->service);
}

void statement_runner::cancel(const work_ptr& item) {
  item->is_cancelled = true;
  const auto it = queues_.find(item->route->service);
  if (it != queues_.end()) it->second.waiting.erase(item);
}

std::optional<std::string_view> statement_runner::refusal_of(const work_item& item) {
  auto& queue = queues_[item.route->service];
  const auto statement = to_waiting(item);
  queue.is_for_primary[statement.priority] = statement.is_for_primary;
  if (item.begin && !may_begin_transaction(item)) return "too many transactions of the customer rest";
  if (sql::exceeds_queue_share(queue.waiting.size(), queue.waiting.count_of(item.customer))) {
    return "too many statements of the customer wait";
  }
  const auto now = context_.loop.now();
  const auto can_wait = item.wait_end - now;
  const auto ahead = queue.waiting.ahead_of(statement);
  const auto use = slot_use(item.route->service, item.data_centre, statement.is_for_primary);
  const auto predicted = queue.waits.predict(statement.priority, ahead, use, now);
  if (!queue.waits.should_refuse(statement.priority, predicted, can_wait, ahead)) return std::nullopt;
  return "no free slot expected in time";
}

void statement_runner::refuse(const work_ptr& item, std::string_view reason) {
  const auto& service = item->route->service;
  const auto& queue = queues_[service];
  const auto statement = to_waiting(*item);
  const auto use = slot_use(service, item->data_centre, statement.is_for_primary);
  context_.counters.counter("statements_refused_total", {{"reason", std::string{reason}}}).add();
  log_info("statement_refused",
           {{"request_id", item->statement.id},
            {"service", service.str()},
            {"customer", item->customer.str()},
            {"reason", reason},
            {"priority", std::int64_t{statement.priority}},
            {"predicted_ms", predicted_wait(service, item->data_centre, statement)},
            {"can_wait_ms", item->wait_end - context_.loop.now()},
            {"waiting", std::uint64_t{queue.waiting.size()}},
            {"waiting_of_customer", std::uint64_t{queue.waiting.count_of(item->customer)}},
            {"running", std::uint64_t{use.running}},
            {"slots", std::uint64_t{use.slots}}});
  const auto kind = item->is_in_transaction() ? sql::caller_error::aborted : sql::caller_error::busy;
  context_.loop.post([this, item, kind, reason] { fail(item, kind, reason); });
}

bool statement_runner::may_begin_transaction(const work_item& item) const {
  const auto directory = context_.shared.services.find(item.route->service);
  if (directory == context_.shared.services.end()) return true;
  const auto* primary = directory->second.primary();
  if (item.is_for_primary()) {
    return primary == nullptr || pool_.may_begin_transaction(primary->info.target, item.customer);
  }
  const auto& targets = directory->second.targets();
  return targets.empty() || std::any_of(targets.begin(), targets.end(), [&](const auto& each) {
           return pool_.may_begin_transaction(each.first, item.customer);
         });
}

sql::slot_use statement_runner::slot_use(const service_id& service,
                                         const std::optional<data_centre_id>& data_centre,
                                         bool is_for_primary) const {
  sql::slot_use use;
  const auto directory = context_.shared.services.find(service);
  if (directory == context_.shared.services.end()) return use;
  const auto* primary = directory->second.primary();
  for (const auto& [target, entry] : directory->second.targets()) {
    if (is_for_primary && &entry != primary) continue;
    if (!is_for_primary && data_centre && entry.info.data_centre != *data_centre) continue;
    use.running += entry.running;
    use.slots += entry.info.slots;
  }
  return use;
}

duration statement_runner::predicted_wait(const service_id& service,
                                          const std::optional<data_centre_id>& data_centre,
                                          const sql::waiting_statement& statement) const {
  const auto it = queues_.find(service);
  if (it == queues_.end()) return duration::zero();
  const auto& [waiting, waits, retries, is_for_primary] = it->second;
  return waits.predict(statement.priority, waiting.ahead_of(statement),
                       slot_use(service, data_centre, statement.is_for_primary), context_.loop.now());
}

duration statement_runner::expected_wait(const service_id& service,
                                         const std::optional<data_centre_id>& data_centre,
                                         int priority) const {
  const auto it = queues_.find(service);
  if (it == queues_.end()) return duration::zero();
  sql::waiting_statement statement;
  statement.priority = priority;
  statement.arrived = context_.loop.now();
  const auto& is_for_primary = it->second.is_for_primary;
  const auto known = is_for_primary.find(priority);
  statement.is_for_primary = known != is_for_primary.end() && known->second;
  return predicted_wait(service, data_centre, statement);
}

void statement_runner::enqueue(const work_ptr& item) {
  item->start_tag = queues_[item->route->service].waiting.push(to_waiting(*item), item);
}

void statement_runner::dispatch_all() {
  for (const auto& [service, queue] : queues_) dispatch(service);
}

void statement_runner::dispatch(const service_id& service) {
  const auto it = queues_.find(service);
  // Dispatching statements changes the pool, which calls this function again.
  if (it == queues_.end() || it->second.waiting.empty() || std::exchange(is_dispatching_, true)) return;
  // Stops as soon as all slots are taken, so that the end of each statement does not cause a scan
  // of the whole queue.
  it->second.waiting.serve(
      context_.loop.now(), [&] { return has_free_slot(service); },
      [this](const work_ptr& item) { return try_dispatch(item); });
  is_dispatching_ = false;
}

bool statement_runner::has_free_slot(const service_id& service) const {
  const auto directory = context_.shared.services.find(service);
  if (directory == context_.shared.services.end() || context_.shared.is_evacuation_pending) return false;
  const auto& targets = directory->second.targets();
  // The queue of a gateway is for the targets of its data centre, whatever room the others have.
  const auto is_held = [&](const auto& each) { return is_holder(directory->second, each.first); };
  const bool is_gateway =
      context_.shared.gateways.is_in_use() && std::any_of(targets.begin(), targets.end(), is_held);
  if (!is_gateway) return directory->second.has_room(extra_running);
  return std::any_of(targets.begin(), targets.end(), [&](const auto& each) {
    return is_held(each) && directory->second.has_room(each.first, extra_running);
  });
}

std::size_t statement_runner::waiting_count() const {
  std::size_t sum = 0;
  for (const auto& [service, queue] : queues_) sum += queue.waiting.size();
  return sum;
}

}  // namespace bulrushlift::entry
