#include "entry/batch_plan.h"

#include <utility>

namespace bulrushlift::entry {
namespace {

using sql::command_kind;
using sql::statement_kind;
using sql::target_command;

void add_setup(const sql::connection_setup& setup, batch_plan& plan) {
  if (setup.needs_reset) plan.commands.push_back({command_kind::reset});
  for (const auto& each : setup.values) {
    target_command command{command_kind::set_value};
    command.name = each.name;
    command.value = each.value;
    plan.commands.push_back(std::move(command));
  }
  if (setup.prepare) {
    target_command command{command_kind::prepare};
    command.name = setup.prepare->name_on_target;
    command.definition = setup.prepare->definition;
    plan.commands.push_back(std::move(command));
  }
  plan.setup_count = plan.commands.size();
}

target_command forwarded(const sql::statement& statement) {
  target_command command{command_kind::forward};
  command.id = statement.id;
  command.text = statement.text;
  return command;
}

target_command main_command(const work_item& item) {
  if (!item.prepared) return forwarded(item.statement);
  target_command command{command_kind::execute};
  command.id = item.statement.id;
  command.name = sql::connection_state::name_on_target(*item.prepared);
  command.text = item.statement.argument;
  return command;
}

}  // namespace

batch_plan plan_batch(const work_item& item, pooled_connection& connection,
                      const std::optional<log_point>& required) {
  batch_plan plan;
  add_setup(connection.state.prepare_for(*item.session, item.prepared), plan);
  const bool is_first = item.begin.has_value();
  const bool is_single_read = !item.is_in_transaction() && !item.is_write();
  if (is_first) {
    plan.begin = plan.commands.size();
    if (item.begin->kind == statement_kind::begin_read_only && !required) {
      // Any target accepts a read-only begin. Only the primary accepts the plain begin, so its
      // success proves that the target is the primary.
      plan.commands.push_back({command_kind::begin});
      plan.is_begin_exclusive = true;
    } else {
      auto command = forwarded(*item.begin);
      command.after = required;
      plan.is_begin_exclusive = item.begin->kind == statement_kind::begin;
      plan.commands.push_back(std::move(command));
    }
  } else if (is_single_read && !required) {
    // A former primary still answers single reads, from an outdated log, but refuses to begin a
    // read-write transaction. The read therefore runs inside of one.
    plan.begin = plan.commands.size();
    plan.is_begin_exclusive = true;
    plan.commands.push_back({command_kind::begin});
  }
  plan.main = plan.commands.size();
  auto main = main_command(item);
  if (is_single_read) main.after = required;
  plan.commands.push_back(std::move(main));
  if (is_single_read && plan.begin) plan.commands.push_back({command_kind::rollback});
  return plan;
}

std::size_t batch_plan::part_end(std::size_t first) const {
  const bool is_own_begin = begin && commands[*begin].kind == command_kind::begin;
  if (first < setup_count && !is_own_begin) return setup_count;
  return begin && first <= *begin ? *begin + 1 : commands.size();
}

std::vector<target_command> batch_plan::part(std::size_t first) const {
  const auto at = [this](std::size_t index) { return commands.begin() + static_cast<std::ptrdiff_t>(index); };
  return {at(first), at(part_end(first))};
}

attempt_result evaluate_replies(const batch_plan& plan, platform::batch_result result) {
  attempt_result attempt;
  attempt.is_connection_usable = result.is_complete;
  if (!result.replies.empty()) attempt.state = result.replies.back().state;
  for (std::size_t i = 0; i < result.replies.size() && i < plan.main; ++i) {
    const auto& reply = result.replies[i];
    if (!reply.error) continue;
    attempt.error = reply.error;
    attempt.error_text = reply.error_text;
    attempt.outcome = attempt_outcome::not_run;
    // A failed setup command leaves the session state of the connection unknown.
    if (i < plan.setup_count) attempt.is_connection_usable = false;
    return attempt;
  }
  if (result.replies.size() <= plan.main) {
    attempt.error = sql::target_error::connection_lost;
    attempt.outcome = result.may_have_been_sent ? attempt_outcome::unknown : attempt_outcome::not_run;
    return attempt;
  }
  attempt.main = std::move(result.replies[plan.main]);
  attempt.is_over_memory = result.is_over_memory;
  attempt.reservation = std::move(result.reservation);
  attempt.error = attempt.main.error;
  attempt.error_text = attempt.main.error_text;
  const bool is_refused = attempt.error && sql::is_not_run(*attempt.error);
  attempt.outcome = is_refused ? attempt_outcome::not_run : attempt_outcome::done;
  if (attempt.error == sql::target_error::undefined_name) attempt.is_connection_usable = false;
  return attempt;
}

}  // namespace bulrushlift::entry
