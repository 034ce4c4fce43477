#include <algorithm>
#include <utility>

#include "database/simulated_group_fake.h"

/// @file
/// The callers of a simulated group: writes, transactions, reads, repeats and resolves.

namespace bulrushlift::simulation {

using standin::connection_number;
using standin::member_error_kind;
using standin::member_result;
using status = operation::state;

namespace {

const customer_id baobab{"baobab"};

standin::execute_request add_request(const operation& op, const std::string& name, term_id term) {
  const auto key = op.has_key ? op.name : std::string{};
  return {op.name, baobab, true, "add " + name + " 1", term, key, {}, {}};
}

}  // namespace

const target_view* simulated_group::primary_of(std::size_t controller) const {
  if (network_.is_down(controller) || network_.is_paused(controller)) return nullptr;
  return writable_primary(view(controller));
}

log_point simulated_group::token_of(std::size_t session) const {
  log_point token;
  for (const auto& [name, op] : operations_) {
    if (op.session == session && op.status == status::acknowledged) token = std::max(token, op.point);
  }
  return token;
}

// ---------------------------------------------------------------------------
// Attempts
// ---------------------------------------------------------------------------

std::shared_ptr<bool> simulated_group::start_attempt(std::size_t controller, operation& op) {
  op.status = status::waiting;
  if (op.sent_at == time_point{}) op.sent_at = network_.now();
  proxies_[controller]->open_operations.insert(op.name);
  deliver_event(controller, write_sent{request_id{op.name}});
  auto is_open = std::make_shared<bool>(true);
  network_.after(controller, options_.write_deadline, [=, this, name = op.name] {
    if (!std::exchange(*is_open, false)) return;
    deliver_event(controller, write_ended{request_id{name}});
    end_attempt(controller, name, status::unknown);
  });
  return is_open;
}

void simulated_group::end_attempt(std::size_t controller, const std::string& name, status end,
                                  const log_point& point) {
  proxies_[controller]->open_operations.erase(name);
  auto& op = operations_.at(name);
  if (end == status::acknowledged) {
    oracle_.acknowledge(op, point, network_.now());
    return;
  }
  if (end == status::unknown) op.had_unknown = true;
  op.status = op.had_unknown ? status::unknown : end;
}

void simulated_group::await_point(std::size_t controller, const target_id& target, const log_point& point,
                                  std::function<void(bool)> on_end) {
  const request_id request{"await-" + std::to_string(++last_name_)};
  proxies_[controller]->awaiting_replication.emplace(request, std::move(on_end));
  const auto deadline = network_.clock(controller) + options_.write_deadline;
  deliver_event(controller, write_answered{request, target, point, deadline});
}

void simulated_group::send_write(std::size_t controller, operation& op) {
  const auto* primary = primary_of(controller);
  if (primary == nullptr) return;
  const auto is_open = start_attempt(controller, op);
  const auto request = add_request(op, op.name, view(controller).term);
  const auto name = op.name;
  const auto finish = [=, this,
                       target = primary->target](const member_result<standin::execute_answer>& answer) {
    if (!std::exchange(*is_open, false)) return;
    deliver_event(controller, write_ended{request_id{name}});
    const bool is_cancelled = !answer && answer.error().kind == member_error_kind::cancelled;
    if (!answer && !is_cancelled) {
      deliver_event(controller, point_observed{target, answer.error().term, {}});
      end_attempt(controller, name, status::not_run);
      return;
    }
    const auto point = answer ? answer->point : answer.error().point;
    const bool is_at_once = answer && operations_.at(name).is_at_once;
    if (is_at_once && gate_.may_answer_at_once(controller)) {
      // The node may be paused between the check and the answer.
      network_.run_on(controller, [=, this] { end_attempt(controller, name, status::acknowledged, point); });
      return;
    }
    await_point(controller, target, point, [=, this](bool is_acknowledged) {
      if (is_acknowledged && is_cancelled) operations_.at(name).had_unknown = false;
      const auto end = is_cancelled ? status::not_run : status::acknowledged;
      end_attempt(controller, name, is_acknowledged ? end : status::unknown, point);
    });
  };
  const auto serve = [=, this](member_host& host, const responder& respond) {
    const auto node = member_node(index_of(host.model.target()));
    const auto answer = host.model.execute(connection_number{1 + controller}, request, network_.clock(node));
    respond([=] { finish(answer); });
  };
  const auto refuse = [=](request_failure) {
    finish(tl::unexpected(standin::member_error{member_error_kind::busy, "refused", {}, {}}));
  };
  call(controller, primary->target, serve, refuse, false);
}

std::string simulated_group::write(std::size_t controller, std::size_t session, bool has_key,
                                   bool is_at_once) {
  if (primary_of(controller) == nullptr) return {};
  auto name = "op-" + std::to_string(++last_name_);
  auto& op = operations_[name];
  op.name = name;
  op.has_key = has_key;
  op.is_at_once = is_at_once;
  op.session = session;
  send_write(controller, op);
  return name;
}

void simulated_group::repeat(std::size_t controller, operation& op) {
  if (op.has_key && op.status == status::unknown) send_write(controller, op);
}

void simulated_group::resolve(std::size_t controller, operation& op) {
  const auto* primary = primary_of(controller);
  if (primary == nullptr || !op.has_key || op.status != status::unknown) return;
  const auto is_open = start_attempt(controller, op);
  const standin::resolve_request request{op.name, baobab, view(controller).term, op.name};
  const auto name = op.name;
  const auto finish = [=, this,
                       target = primary->target](const member_result<standin::resolve_answer>& answer) {
    if (!std::exchange(*is_open, false)) return;
    deliver_event(controller, write_ended{request_id{name}});
    if (!answer) {
      end_attempt(controller, name, status::unknown);
      return;
    }
    await_point(controller, target, answer->point, [=, this](bool is_acknowledged) {
      if (is_acknowledged && !answer->is_done) operations_.at(name).had_unknown = false;
      const auto end = answer->is_done ? status::acknowledged : status::not_run;
      end_attempt(controller, name, is_acknowledged ? end : status::unknown, answer->point);
    });
  };
  const auto serve = [=, this](member_host& host, const responder& respond) {
    const auto node = member_node(index_of(host.model.target()));
    const auto answer = host.model.resolve(connection_number{1 + controller}, request, network_.clock(node));
    respond([=] { finish(answer); });
  };
  call(controller, primary->target, serve, {}, false);
}

// ---------------------------------------------------------------------------
// Transactions and reads
// ---------------------------------------------------------------------------

void simulated_group::transact(std::size_t controller, std::size_t session) {
  if (primary_of(controller) == nullptr) return;
  const auto name = "op-" + std::to_string(++last_name_);
  auto& op = operations_[name];
  op.name = name;
  op.is_transaction = true;
  op.session = session;
  send_transaction(controller, op);
}

void simulated_group::send_transaction(std::size_t controller, operation& op) {
  const auto target = primary_of(controller)->target;
  const auto is_open = start_attempt(controller, op);
  const connection_number connection{1'000 + ++last_connection_};
  const standin::transaction_request request{op.name, baobab, view(controller).term, op.name};
  const auto name = op.name;
  auto add_first = add_request(op, name, request.term);
  auto add_second = add_request(op, name + ".pair", request.term);
  add_first.transaction = add_second.transaction = name;
  const auto node = member_node(index_of(target));

  const auto end = [=, this](status result) {
    if (!std::exchange(*is_open, false)) return;
    deliver_event(controller, write_ended{request_id{name}});
    end_attempt(controller, name, result);
  };
  const auto commit = [=, this] {
    const auto serve = [=, this](member_host& host, const responder& respond) {
      const auto answer = host.model.commit(connection, request, network_.clock(node));
      host.model.close_connection(connection);
      respond([=, this] {
        if (!answer) return end(status::not_run);
        if (!std::exchange(*is_open, false)) return;
        deliver_event(controller, write_ended{request_id{name}});
        await_point(controller, target, *answer, [=, this](bool is_acknowledged) {
          end_attempt(controller, name, is_acknowledged ? status::acknowledged : status::unknown, *answer);
        });
      });
    };
    call(
        controller, target, serve, [=](request_failure) { end(status::not_run); }, false);
  };
  const auto second = [=, this] {
    const auto serve = [=, this](member_host& host, const responder& respond) {
      const auto answer = host.model.execute(connection, add_second, network_.clock(node));
      respond([=] { return answer ? commit() : end(status::not_run); });
    };
    call(
        controller, target, serve, [=](request_failure) { end(status::not_run); }, false);
  };
  const auto first = [=, this](member_host& host, const responder& respond) {
    const bool is_begun = host.model.begin(connection, request).has_value() &&
                          host.model.execute(connection, add_first, network_.clock(node)).has_value();
    respond([=] { return is_begun ? second() : end(status::not_run); });
  };
  call(
      controller, target, first, [=](request_failure) { end(status::not_run); }, false);
}

void simulated_group::read(std::size_t controller, std::size_t session, std::size_t choice) {
  if (network_.is_down(controller) || network_.is_paused(controller)) return;
  const auto token = token_of(session);
  std::vector<target_view> eligible;
  for (const auto& target : view(controller).targets) {
    const bool is_primary = target.target == view(controller).primary;
    const bool is_usable = target.is_reachable && (is_primary || is_consistent(view(controller), target));
    if (is_usable && target.point >= token) eligible.push_back(target);
  }
  if (eligible.empty()) return;
  const auto target = eligible[choice % eligible.size()].target;
  const bool is_primary = target == view(controller).primary;

  const auto check = [=, this](const standin::execute_answer& answer) {
    const auto age = data_age(view(controller), answer.point, network_.clock(controller));
    oracle_.read(session, answer.rows, answer.point, age ? network_.now() - *age : time_point::min());
  };
  const auto serve = [=, this](member_host& host, const responder& respond) {
    const standin::execute_request request{"r", baobab, false, "list op-", {}, {}, {}, token};
    const auto node = member_node(index_of(target));
    const auto answer = host.model.execute(connection_number{1 + controller}, request, network_.clock(node));
    if (!answer) return;
    respond([=, this] {
      // A replica that has become primary in the meantime can have entries that no second member has.
      const bool is_replica_read =
          !is_primary && answer->point.term <= view(controller).term && view(controller).primary != target;
      if (is_replica_read) return check(*answer);
      await_point(controller, target, answer->point, [=](bool is_acknowledged) {
        if (is_acknowledged) check(*answer);
      });
    });
  };
  call(controller, target, serve, {}, false);
}

// ---------------------------------------------------------------------------
// The end of a run
// ---------------------------------------------------------------------------

void simulated_group::finish() {
  using std::chrono::milliseconds;
  using std::chrono::seconds;
  hook_ = {};
  network_.heal_links();
  for (node_id node = 0; node < options_.controllers + options_.members; ++node) {
    network_.resume(node);
    start_node(node);
  }
  for (auto& host : members_) host->model.set_replication_lag({});
  set_leaving({});
  for (std::size_t i = 0; i < options_.controllers; ++i) set_owner(i, true);
  advance(seconds{8});
  // No new write is sent before: a repeated write must end although the new term has no other write.
  for (int round = 0; round < 5; ++round) {
    bool is_repeat = round == 0;
    for (auto& [name, op] : operations_) {
      if (is_repeat) repeat(0, op);
      if (!is_repeat) resolve(0, op);
      is_repeat = round == 0 || !is_repeat;
    }
    advance(seconds{2});
  }
  const auto last = write(0, 0, true);
  advance(seconds{2});
  const bool is_acknowledged = !last.empty() && operations_.at(last).status == status::acknowledged;
  if (!is_acknowledged) oracle_.report("no write is acknowledged after all faults ended");
  advance(milliseconds{500});
  std::vector<const standin::database_member_model*> all;
  for (const auto& host : members_) all.push_back(&host->model);
  oracle_.finish(all, operations_);
}

}  // namespace bulrushlift::simulation
