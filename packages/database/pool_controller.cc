#include "database/pool_controller.h"

#include <algorithm>

#include "database/backoff.h"

namespace bulrushlift {
namespace {

void keep_earliest(std::optional<time_point>& earliest, std::optional<time_point> other) {
  if (other && (!earliest || *other < *earliest)) earliest = other;
}

}  // namespace

std::string_view name_of(pool_failure value) noexcept {
  switch (value) {
    case pool_failure::reset:
      return "reset";
    case pool_failure::deadline:
      return "deadline";
    case pool_failure::open_failed:
      return "open_failed";
    case pool_failure::probe_unanswered:
      return "probe_unanswered";
    case pool_failure::crossed_answer:
      return "crossed_answer";
    case pool_failure::surplus:
      return "surplus";
    case pool_failure::leaving:
      return "leaving";
    case pool_failure::discarded:
      break;
  }
  return "discarded";
}

pool_actions pool_controller::start(time_point now, std::uint64_t /*random*/) {
  pool_actions actions;
  is_started_ = true;
  open_needed(now, actions);
  return actions;
}

result<pool_actions> pool_controller::start_request(ticket_id ticket, pool_use use, time_point deadline,
                                                    time_point /*now*/) {
  if (is_leaving_) return make_error(error_kind::target_unavailable, "the target is leaving");
  if (!has_free_slot()) return make_error(error_kind::overloaded, "all slots of the target are in use");
  const bool is_binding = use == pool_use::bind;
  if (is_binding && count_bound() >= bound_limit()) {
    return make_error(error_kind::overloaded, "all connections for transactions are in use");
  }
  const auto it = last_used_idle();
  if (it == connections_.end())
    return make_error(error_kind::overloaded, "no connection to the target is idle");
  it->second.is_bound = is_binding;
  pool_actions actions;
  begin_request(it, ticket, deadline, actions);
  return actions;
}

result<pool_actions> pool_controller::start_bound_request(connection_id connection, ticket_id ticket,
                                                          time_point deadline, time_point /*now*/) {
  const auto it = connections_.find(connection);
  if (it == connections_.end() || !it->second.is_bound) {
    return make_error(error_kind::transaction_lost, "the connection of the transaction is closed");
  }
  if (it->second.state == phase::running) {
    return make_error(error_kind::conflict, "another request of the transaction is running");
  }
  if (!has_free_slot()) return make_error(error_kind::overloaded, "all slots of the target are in use");
  pool_actions actions;
  begin_request(it, ticket, deadline, actions);
  return actions;
}

void pool_controller::begin_request(iterator it, ticket_id ticket, time_point deadline,
                                    pool_actions& actions) {
  auto& used = it->second;
  used.state = phase::running;
  used.ticket = ticket;
  used.correlation = correlation_id{++last_correlation_id_};
  used.deadline = deadline;
  actions.emplace_back(send_request{it->first, used.correlation, ticket});
}

pool_actions pool_controller::release(connection_id connection, time_point now, std::uint64_t /*random*/) {
  pool_actions actions;
  const auto it = connections_.find(connection);
  if (it == connections_.end() || it->second.state != phase::bound) return actions;
  it->second.is_bound = false;
  return_to_idle(it, now, actions);
  open_needed(now, actions);
  return actions;
}

pool_actions pool_controller::discard(connection_id connection, time_point now, std::uint64_t /*random*/) {
  pool_actions actions;
  const auto it = connections_.find(connection);
  if (it == connections_.end()) return actions;
  if (it->second.state == phase::running) fail(it, pool_failure::discarded, actions);
  close(it, pool_failure::discarded, actions);
  open_needed(now, actions);
  return actions;
}

pool_actions pool_controller::on_opened(connection_id connection, time_point now, std::uint64_t /*random*/) {
  pool_actions actions;
  const auto it = connections_.find(connection);
  if (it == connections_.end() || it->second.state != phase::opening) return actions;
  open_failures_ = 0;
  next_open_at_ = {};
  return_to_idle(it, now, actions);
  open_needed(now, actions);
  return actions;
}

pool_actions pool_controller::on_open_failed(connection_id connection, time_point now, std::uint64_t random) {
  pool_actions actions;
  const auto it = connections_.find(connection);
  if (it == connections_.end()) return actions;
  if (it->second.state == phase::opening) {
    connections_.erase(it);
  } else {
    fail(it, pool_failure::open_failed, actions);
    close(it, pool_failure::open_failed, actions);
  }
  schedule_retry(now, random);
  return actions;
}

pool_actions pool_controller::on_answer(connection_id connection, correlation_id correlation, time_point now,
                                        std::uint64_t /*random*/) {
  pool_actions actions;
  const auto it = connections_.find(connection);
  const bool is_known = it != connections_.end();
  const bool is_awaited = is_known &&
                          (it->second.state == phase::running || it->second.state == phase::probing) &&
                          (it->second.correlation == correlation || options_.skips_correlation_check);
  if (!is_awaited) {
    actions.emplace_back(discard_answer{connection, correlation});
    if (!is_known) return actions;
    it->second.has_crossed_answer = true;
    if (it->second.state == phase::idle) close(it, pool_failure::crossed_answer, actions);
  } else if (it->second.state == phase::probing) {
    const auto idle_since = it->second.idle_since;
    return_to_idle(it, now, actions);
    // A probe does not count as use: a surplus connection is still closed when its idle time is over.
    if (connections_.contains(connection)) it->second.idle_since = idle_since;
  } else {
    actions.emplace_back(deliver_answer{it->second.ticket, connection});
    finish_request(it, now, actions);
  }
  open_needed(now, actions);
  return actions;
}

void pool_controller::finish_request(iterator it, time_point now, pool_actions& actions) {
  if (!it->second.is_bound) {
    return_to_idle(it, now, actions);
    return;
  }
  it->second.state = phase::bound;
  actions.emplace_back(capacity_free{});
}

void pool_controller::return_to_idle(iterator it, time_point now, pool_actions& actions) {
  if (is_leaving_) {
    close(it, pool_failure::leaving, actions);
  } else if (it->second.has_crossed_answer) {
    close(it, pool_failure::crossed_answer, actions);
  } else if (connections_.size() > size_limit()) {
    close(it, pool_failure::surplus, actions);
  } else {
    make_idle(it->second, now);
    actions.emplace_back(capacity_free{});
  }
}

void pool_controller::make_idle(connection_record& it, time_point now) const {
  it.state = phase::idle;
  it.idle_since = now;
  it.probe_due = now + options_.probe_interval;
}

pool_actions pool_controller::on_reset(connection_id connection, time_point now, std::uint64_t random) {
  pool_actions actions;
  const auto it = connections_.find(connection);
  if (it == connections_.end()) return actions;
  if (it->second.state == phase::opening) return on_open_failed(connection, now, random);
  fail(it, pool_failure::reset, actions);
  close(it, pool_failure::reset, actions);
  open_needed(now, actions);
  return actions;
}

void pool_controller::fail(iterator it, pool_failure reason, pool_actions& actions) {
  if (it->second.state == phase::running) {
    actions.emplace_back(fail_request{it->second.ticket, it->first, reason});
  } else if (it->second.is_bound) {
    actions.emplace_back(binding_lost{it->first, reason});
  }
}

pool_controller::iterator pool_controller::close(iterator it, pool_failure reason, pool_actions& actions) {
  actions.emplace_back(close_connection{it->first, reason});
  return connections_.erase(it);
}

pool_actions pool_controller::on_timer(time_point now, std::uint64_t random) {
  pool_actions actions;
  for (auto it = connections_.begin(); it != connections_.end();) {
    if (const auto reason = expiry_reason(it->second, now)) {
      if (*reason == pool_failure::open_failed) schedule_retry(now, random);
      fail(it, *reason, actions);
      it = close(it, *reason, actions);
      continue;
    }
    if (it->second.state == phase::idle && now >= it->second.probe_due && is_probe_allowed()) {
      it->second.state = phase::probing;
      it->second.correlation = correlation_id{++last_correlation_id_};
      it->second.deadline = now + options_.probe_timeout;
      actions.emplace_back(send_probe{it->first, it->second.correlation});
    }
    ++it;
  }
  open_needed(now, actions);
  return actions;
}

std::optional<pool_failure> pool_controller::expiry_reason(const connection_record& it,
                                                           time_point now) const {
  const auto when = expires_at(it);
  if (!when || now < *when) return std::nullopt;
  switch (it.state) {
    case phase::opening:
      return pool_failure::open_failed;
    case phase::probing:
      return pool_failure::probe_unanswered;
    case phase::running:
      return pool_failure::deadline;
    case phase::bound:
      return pool_failure::leaving;
    case phase::idle:
      break;
  }
  return pool_failure::surplus;
}

std::optional<time_point> pool_controller::expires_at(const connection_record& it) const {
  switch (it.state) {
    case phase::opening:
    case phase::probing:
    case phase::running:
      return it.deadline;
    case phase::bound:
      if (is_leaving_) return leaving_since_ + options_.leaving_grace;
      break;
    case phase::idle:
      if (connections_.size() > wanted_connections()) return it.idle_since + options_.surplus_idle_time;
      break;
  }
  return std::nullopt;
}

std::optional<time_point> pool_controller::next_timer() const {
  std::optional<time_point> earliest;
  for (const auto& [id, it] : connections_) {
    keep_earliest(earliest, expires_at(it));
    if (it.state == phase::idle && is_probe_allowed()) keep_earliest(earliest, it.probe_due);
  }
  if (is_opening_needed()) keep_earliest(earliest, next_open_at_);
  return earliest;
}

pool_actions pool_controller::set_leaving(bool leaving, time_point now, std::uint64_t /*random*/) {
  pool_actions actions;
  if (leaving == is_leaving_) return actions;
  is_leaving_ = leaving;
  leaving_since_ = now;
  for (auto it = connections_.begin(); it != connections_.end();) {
    const bool is_unused = it->second.state != phase::running && !it->second.is_bound;
    it = leaving && is_unused ? close(it, pool_failure::leaving, actions) : std::next(it);
  }
  open_needed(now, actions);
  return actions;
}

pool_actions pool_controller::set_limits(std::uint32_t connection_limit, std::uint32_t slots, time_point now,
                                         std::uint64_t /*random*/) {
  pool_actions actions;
  options_.connection_limit = connection_limit;
  options_.slots = slots;
  for (auto it = connections_.begin(); it != connections_.end() && connections_.size() > size_limit();) {
    const bool is_unused = it->second.state != phase::running && !it->second.is_bound;
    it = is_unused ? close(it, pool_failure::surplus, actions) : std::next(it);
  }
  open_needed(now, actions);
  actions.emplace_back(capacity_free{});
  return actions;
}

void pool_controller::open_needed(time_point now, pool_actions& actions) {
  while (is_opening_needed() && now >= next_open_at_) {
    const connection_id id{++last_connection_id_};
    connections_[id].deadline = now + options_.open_timeout;
    actions.emplace_back(open_connection{id});
  }
}

void pool_controller::schedule_retry(time_point now, std::uint64_t random) {
  ++open_failures_;
  const auto pause =
      jittered_backoff(options_.open_retry_first, options_.open_retry_longest, open_failures_, random);
  next_open_at_ = std::max(next_open_at_, now + pause);
}

bool pool_controller::is_opening_needed() const noexcept {
  return is_started_ && connections_.size() < wanted_connections() &&
         count(phase::opening) < options_.opening_limit;
}

bool pool_controller::is_probe_allowed() const noexcept {
  // At most half of the connections are probed at a time; the others serve requests while unresponsive
  // connections wait for the timeout of their probes.
  return count(phase::probing) < (connections_.size() + 1) / 2;
}

pool_controller::iterator pool_controller::last_used_idle() noexcept {
  auto last_used = connections_.end();
  for (auto it = connections_.begin(); it != connections_.end(); ++it) {
    if (it->second.state != phase::idle) continue;
    if (last_used == connections_.end() || it->second.idle_since >= last_used->second.idle_since)
      last_used = it;
  }
  return last_used;
}

std::uint32_t pool_controller::count(phase state) const noexcept {
  const auto has_state = [state](const auto& entry) { return entry.second.state == state; };
  return static_cast<std::uint32_t>(std::ranges::count_if(connections_, has_state));
}

std::uint32_t pool_controller::count_bound() const noexcept {
  const auto is_bound = [](const auto& entry) { return entry.second.is_bound; };
  return static_cast<std::uint32_t>(std::ranges::count_if(connections_, is_bound));
}

std::uint32_t pool_controller::size_limit() const noexcept {
  return std::max(1U, options_.connection_limit / 2);
}

std::uint32_t pool_controller::wanted_connections() const noexcept {
  if (is_leaving_) return 0;
  return std::min(size_limit(), count_bound() + options_.slots + options_.spare_connections);
}

std::uint32_t pool_controller::bound_limit() const noexcept {
  // Connections that are bound to idle transactions must not prevent single statements from using the slots.
  const auto limit = size_limit();
  return limit > options_.slots ? limit - options_.slots : 1;
}

pool_view pool_controller::view() const {
  pool_view view;
  view.opening = count(phase::opening);
  view.idle = count(phase::idle) + count(phase::probing);
  view.running = count(phase::running);
  view.bound = count_bound();
  view.slots = options_.slots;
  view.slots_in_use = view.running;
  view.is_leaving = is_leaving_;
  return view;
}

}  // namespace bulrushlift
