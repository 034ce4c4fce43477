#include "net/resource_budget.h"

#include <algorithm>
#include <numeric>
#include <utility>

namespace bulrushlift {
namespace {

// Connections without a session that are not replaced, so that a caller has the time to send its first
// message after the connection was made.
constexpr duration min_unstarted_age = std::chrono::milliseconds{200};
constexpr duration min_resting_age = std::chrono::milliseconds{200};
constexpr duration min_transaction_pause = std::chrono::seconds{1};

// A shortage counts as over when no request was refused for this long.
constexpr duration shortage_end = std::chrono::seconds{1};
// Callers that read or write at an ordinary pace give memory back within this time.
constexpr duration shortage_patience = std::chrono::milliseconds{500};

}  // namespace

std::size_t resource_budget::account::sum() const noexcept {
  return std::accumulate(held.begin(), held.end(), std::size_t{0});
}

std::size_t resource_budget::account::charge() const noexcept { return std::max(sum(), reserved); }

resource_budget::resource_budget(const resource_limits& limits, caller_time_limits times)
    : shares_(shares_of(limits)), times_(times) {}

resource_budget::account* resource_budget::find(account_id id) {
  const auto it = accounts_.find(id.value());
  return it == accounts_.end() ? nullptr : &it->second;
}

resource_budget::customer_account& resource_budget::customer(const customer_id& name) {
  auto& found = customers_[name];
  found.name = name;
  return found;
}

void resource_budget::drop_if_unused(customer_account& each) {
  if (each.connections == 0 && each.bytes == 0) customers_.erase(customer_id{each.name});
}

void resource_budget::enqueue(account& each, std::list<account_id>& queue) {
  queue.splice(queue.end(), *each.queue, each.position);
  each.queue = &queue;
}

account_id resource_budget::open(time_point now) {
  const account_id id{++last_id_};
  auto& added = accounts_[id.value()];
  added.customer = &customer({});
  ++added.customer->connections;
  added.queue = &added.customer->resting;
  added.position = added.queue->insert(added.queue->end(), id);
  added.opened = now;
  added.last_activity = now;
  added.last_progress = now;
  added.message_mark = now;
  return id;
}

void resource_budget::close(account_id id) {
  auto* found = find(id);
  if (found == nullptr) return;
  leave_waiting(id, *found);
  const auto before = found->charge();
  found->held.fill(0);
  found->reserved = 0;
  charge(*found, before);
  found->queue->erase(found->position);
  auto& owner = *found->customer;
  --owner.connections;
  accounts_.erase(id.value());
  drop_if_unused(owner);
}

void resource_budget::start(account_id id, const customer_id& name, time_point now) {
  auto* found = find(id);
  if (found == nullptr || found->is_started) return;
  found->is_started = true;
  found->last_activity = now;
  auto& from = *found->customer;
  auto& to = customer(name);
  const auto bytes = found->charge();
  from.bytes -= bytes;
  to.bytes += bytes;
  --from.connections;
  ++to.connections;
  found->customer = &to;
  enqueue(*found, to.resting);
  drop_if_unused(from);
}

void resource_budget::charge(account& each, std::size_t before) {
  const auto after = each.charge();
  held_bytes_ = held_bytes_ - before + after;
  each.customer->bytes = each.customer->bytes - before + after;
}

void resource_budget::hold(account_id id, holding kind, std::size_t bytes, time_point now) {
  auto* found = find(id);
  if (found == nullptr || found->of(kind) == bytes) return;
  const auto before = found->charge();
  const bool was_small = found->sum() <= shares_.small_bytes;
  found->held[static_cast<std::size_t>(kind)] = bytes;
  charge(*found, before);
  // The pace of a caller is measured anew with each answer and each large message.
  if (kind == holding::answer && found->sum() == bytes) found->last_progress = now;
  if (!was_small || found->sum() <= shares_.small_bytes) return;
  found->large_since = now;
  found->last_progress = now;
}

bool resource_budget::try_hold(account_id id, holding kind, std::size_t bytes, time_point now) {
  auto* found = find(id);
  if (found == nullptr) return true;
  const auto added = bytes > found->of(kind) ? bytes - found->of(kind) : 0;
  // What was reserved for the message of this account is free for its answer.
  const auto unused = found->charge() - found->sum();
  if (added > unused && found->sum() + added > shares_.small_bytes &&
      !has_room(*found->customer, added - unused)) {
    note_shortage(now);
    return false;
  }
  hold(id, kind, bytes, now);
  return true;
}

bool resource_budget::has_room(const customer_account& owner, std::size_t bytes) const noexcept {
  return held_bytes_ + bytes <= shares_.reserved_bytes && owner.bytes + bytes <= shares_.customer_bytes;
}

void resource_budget::note_shortage(time_point now) {
  if (!last_shortage_ || now - *last_shortage_ > shortage_end) short_since_ = now;
  last_shortage_ = now;
}

bool resource_budget::request_message(account_id id, time_point now) {
  auto* found = find(id);
  if (found == nullptr || found->reserved > 0) return true;
  if (found->waiting_since) return false;
  const auto before = found->charge();
  const auto added = before < message_reservation_bytes ? message_reservation_bytes - before : 0;
  if (!waiting_.empty() || !has_room(*found->customer, added)) {
    found->waiting_since = now;
    waiting_.push_back(id);
    return false;
  }
  found->reserved = message_reservation_bytes;
  charge(*found, before);
  return true;
}

void resource_budget::release_message(account_id id) {
  auto* found = find(id);
  if (found == nullptr) return;
  leave_waiting(id, *found);
  const auto before = found->charge();
  found->reserved = 0;
  charge(*found, before);
}

void resource_budget::leave_waiting(account_id id, account& each) {
  if (!each.waiting_since) return;
  each.waiting_since.reset();
  waiting_.remove(id);
}

std::vector<account_id> resource_budget::end_waits(time_point now) {
  std::vector<account_id> served;
  for (auto it = waiting_.begin(); it != waiting_.end();) {
    auto& each = *find(*it);
    const auto before = each.charge();
    const auto added = before < message_reservation_bytes ? message_reservation_bytes - before : 0;
    // A customer that has its share doesn't keep the others waiting.
    if (!has_room(*each.customer, added)) {
      ++it;
      continue;
    }
    each.reserved = message_reservation_bytes;
    charge(each, before);
    each.waiting_since.reset();
    each.large_since = now;
    each.last_progress = now;
    each.message_mark = now;
    each.received_since_mark = 0;
    served.push_back(*it);
    it = waiting_.erase(it);
  }
  if (!waiting_.empty()) note_shortage(now);
  return served;
}

bool resource_budget::try_reserve(const customer_id& name, std::size_t bytes, time_point now) {
  auto& owner = customer(name);
  if (!has_room(owner, bytes)) {
    note_shortage(now);
    drop_if_unused(owner);
    return false;
  }
  owner.bytes += bytes;
  held_bytes_ += bytes;
  return true;
}

void resource_budget::release(const customer_id& name, std::size_t bytes) {
  auto& owner = customer(name);
  owner.bytes -= bytes;
  held_bytes_ -= bytes;
  drop_if_unused(owner);
}

void resource_budget::hold_replies(std::size_t bytes) {
  held_bytes_ = held_bytes_ - reply_bytes_ + bytes;
  reply_bytes_ = bytes;
}

void resource_budget::on_received(account_id id, std::size_t bytes, time_point now) {
  auto* found = find(id);
  if (found == nullptr) return;
  found->last_progress = now;
  found->received_since_mark += bytes;
  if (found->received_since_mark < times_.min_progress_bytes && found->of(holding::input) > 0) return;
  found->message_mark = now;
  found->received_since_mark = 0;
}

void resource_budget::on_sent(account_id id, time_point now) {
  if (auto* found = find(id)) found->last_progress = now;
}

void resource_budget::set_activity(account_id id, caller_activity activity, time_point now) {
  auto* found = find(id);
  if (found == nullptr || found->activity == activity) return;
  found->activity = activity;
  found->last_activity = now;
  auto& owner = *found->customer;
  enqueue(*found, activity == caller_activity::busy      ? owner.busy
                  : activity == caller_activity::resting ? owner.resting
                                                         : owner.in_transaction);
}

std::optional<forced_close> resource_budget::replaced_connection(time_point now) const {
  const auto aged = [&](const std::list<account_id>& queue, duration age) -> std::optional<forced_close> {
    if (queue.empty()) return std::nullopt;
    const auto id = queue.front();
    if (now - accounts_.at(id.value()).last_activity < age) return std::nullopt;
    return forced_close{id, close_reason::descriptors};
  };
  const auto unstarted = customers_.find(customer_id{});
  if (unstarted != customers_.end()) {
    const bool has_share = unstarted->second.connections >= shares_.unstarted_connections;
    if (is_full() || has_share) {
      if (const auto found = aged(unstarted->second.resting, min_unstarted_age)) return found;
    }
  }
  if (!is_full()) return std::nullopt;
  const customer_account* largest = nullptr;
  for (const auto& [name, each] : customers_) {
    if (!name.empty() && (largest == nullptr || each.connections > largest->connections)) largest = &each;
  }
  if (largest == nullptr) return std::nullopt;
  if (const auto found = aged(largest->resting, min_resting_age)) return found;
  for (const auto id : largest->busy) {
    const auto& each = accounts_.at(id.value());
    const bool waits_for_caller = each.of(holding::answer) > 0 || each.waiting_since;
    if (waits_for_caller && now - each.last_progress >= times_.pause_under_pressure) {
      return forced_close{id, close_reason::descriptors};
    }
  }
  // Ends a transaction only for a customer that holds most of the connections.
  if (largest->connections * 2 <= shares_.caller_connections) return std::nullopt;
  return aged(largest->in_transaction, min_transaction_pause);
}

bool resource_budget::is_offender(const account& each) const noexcept {
  const bool is_held = each.sum() > shares_.small_bytes || each.reserved > 0;
  const bool rests_with_state =
      each.of(holding::session) > shares_.small_bytes && each.activity == caller_activity::resting;
  const bool waits_for_caller =
      each.of(holding::input) > 0 || each.of(holding::answer) > 0 || rests_with_state;
  return is_held && waits_for_caller && !each.waiting_since;
}

std::optional<account_id> resource_budget::slowest_offender(time_point now) const {
  std::optional<account_id> slowest;
  std::optional<account_id> longest;
  auto first_progress = now - times_.pause_under_pressure;
  auto first_large = now - times_.hold_under_pressure;
  for (const auto& [number, each] : accounts_) {
    if (!is_offender(each)) continue;
    if (each.last_progress <= first_progress) {
      slowest = account_id{number};
      first_progress = each.last_progress;
    }
    if (each.large_since <= first_large) {
      longest = account_id{number};
      first_large = each.large_since;
    }
  }
  return slowest ? slowest : longest;
}

std::vector<forced_close> resource_budget::heaviest() const {
  std::vector<std::pair<std::size_t, std::uint64_t>> all;
  for (const auto& [number, each] : accounts_) all.emplace_back(each.charge(), number);
  std::sort(all.rbegin(), all.rend());
  std::vector<forced_close> closes;
  auto rest = held_bytes_;
  for (const auto& [bytes, number] : all) {
    if (rest <= shares_.reserved_bytes || bytes == 0) break;
    rest -= bytes;
    closes.push_back({account_id{number}, close_reason::memory});
  }
  return closes;
}

std::vector<forced_close> resource_budget::closes_for_memory(time_point now) {
  if (held_bytes_ > shares_.caller_bytes) return heaviest();
  if (!last_shortage_ || now - *last_shortage_ > shortage_end) return {};
  if (now - *short_since_ < shortage_patience) return {};
  const auto found = slowest_offender(now);
  if (!found) return {};
  return {{*found, close_reason::memory}};
}

std::optional<close_reason> resource_budget::expired(account& each, time_point now) const {
  if (each.waiting_since) {
    if (now - *each.waiting_since > times_.reservation_wait) return close_reason::no_room;
    return std::nullopt;
  }
  if (each.of(holding::answer) > 0) {
    if (now - each.last_progress > times_.answer_pause) return close_reason::unread_answers;
    return std::nullopt;
  }
  const bool is_receiving = each.of(holding::input) > 0 && each.activity != caller_activity::busy;
  if (is_receiving && now - each.message_mark > times_.message_pause) return close_reason::half_message;
  if (!each.is_started && now - each.opened > times_.first_message && !is_receiving) {
    return close_reason::not_started;
  }
  return std::nullopt;
}

std::vector<forced_close> resource_budget::closes_for_time(time_point now) {
  std::vector<forced_close> closes;
  for (auto& [number, each] : accounts_) {
    if (const auto reason = expired(each, now)) closes.push_back({account_id{number}, *reason});
  }
  return closes;
}

std::size_t resource_budget::held_by(account_id id) const {
  const auto it = accounts_.find(id.value());
  return it == accounts_.end() ? 0 : it->second.charge();
}

}  // namespace bulrushlift
