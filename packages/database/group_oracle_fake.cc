#include "database/group_oracle_fake.h"

#include <fmt/format.h>

namespace bulrushlift::simulation {
namespace {

std::set<std::string> names_in(const standin::database_member_model& member) {
  std::set<std::string> names;
  for (const auto& [name, value] : member.store().values()) names.insert(name);
  return names;
}

std::string text_of(const log_point& point) {
  return fmt::format("({}, {})", point.term.value(), point.position.value());
}

/// @return the values after the entries of the log were applied in order.
standin::key_values replay(const std::vector<standin::log_entry>& entries) {
  std::map<std::string, int> counts;
  for (const auto& entry : entries) {
    for (const auto& text : entry.statements) ++counts[standin::parse_statement(text)->key];
  }
  standin::key_values values;
  for (const auto& [name, count] : counts) values[name] = std::to_string(count);
  return values;
}

}  // namespace

std::string group_oracle::summary() const { return fmt::format("{}", fmt::join(violations_, "; ")); }

void group_oracle::report(std::string violation) { violations_.push_back(std::move(violation)); }

void group_oracle::acknowledge(operation& op, const log_point& point, time_point now) {
  if (op.status == operation::state::not_run)
    report(op.name + ": acknowledged although an earlier answer was not_run");
  op.status = operation::state::acknowledged;
  if (!acknowledged_.emplace(op.name, acknowledgement{op.session, point, now}).second) return;
  op.point = point;
  op.acknowledged_at = now;
  for (auto it = promoted_.upper_bound(point.term); it != promoted_.end(); ++it) {
    if (it->second.contains(op.name)) continue;
    ++old_primary_acknowledgements_;
    lost_.insert(op.name);
    report(fmt::format("{}: acknowledged at {} after the promotion of term {}", op.name, text_of(point),
                       it->first.value()));
  }
}

void group_oracle::promote(const standin::database_member_model& member) {
  const auto names = names_in(member);
  if (!promoted_.emplace(member.term(), names).second) report("two members were promoted in the same term");
  check_contains(names, fmt::format("the primary of term {}", member.term().value()));
}

void group_oracle::check_contains(const std::set<std::string>& names, const std::string& log_name) {
  for (const auto& [name, item] : acknowledged_) {
    if (names.contains(name)) continue;
    lost_.insert(name);
    report(fmt::format("{}: acknowledged at {}, missing on {}", name, text_of(item.point), log_name));
  }
}

void group_oracle::read(std::size_t session, const standin::statement_rows& rows, const log_point& point,
                        time_point since) {
  std::set<std::string> names;
  for (const auto& row : rows) names.insert(row.first);
  for (const auto& [name, item] : acknowledged_) {
    if (names.contains(name)) continue;
    if (item.session == session && item.point <= point) report(name + ": not visible to its own session");
    if (item.at < since) report(fmt::format("{}: data at {} is older than claimed", name, text_of(point)));
  }
  reads_.push_back({point, std::move(names)});
}

void group_oracle::finish(const std::vector<const standin::database_member_model*>& members,
                          const std::map<std::string, operation>& operations) {
  const auto& reference = *members.front();
  for (const auto* member : members) {
    if (member->entries() != reference.entries())
      report(member->target().str() + ": log differs from that of the first member");
  }
  const auto values = replay(reference.entries());
  if (values != reference.store().values()) report("the store differs from the replayed log");
  check_contains(names_in(reference), "the final primary");
  for (const auto& [name, value] : values) {
    if (value != "1") report(fmt::format("{}: ran {} times", name, value));
  }
  for (const auto& [name, op] : operations) {
    using enum operation::state;
    if (op.status == not_run && values.contains(name)) report(name + ": ran although the answer was not_run");
    if (op.status == waiting) report(name + ": neither acknowledged nor ended");
    if (op.is_transaction && values.contains(name) != values.contains(name + ".pair")) {
      report(name + ": only one write of the transaction is in the log");
    }
    if (op.status == unknown && op.has_key)
      report(name + ": outcome is still unknown although it has an idempotency key");
  }
  for (const auto& item : reads_) {
    for (const auto& name : item.names) {
      if (!values.contains(name))
        report(fmt::format("{}: read at {}, but missing on the final primary", name, text_of(item.point)));
    }
  }
}

}  // namespace bulrushlift::simulation
