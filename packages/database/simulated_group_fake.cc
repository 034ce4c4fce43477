#include "database/simulated_group_fake.h"

#include <algorithm>
#include <utility>

namespace bulrushlift::simulation {
namespace {

target_status to_status(const standin::member_status& status) {
  const auto role =
      status.role == standin::member_role::primary ? target_role::primary : target_role::replica;
  return {status.target,          role,         status.term,      status.point, status.primary,
          status.primary_contact, status.slots, status.slots_used};
}

std::string member_name(std::size_t index) { return "t" + std::to_string(index + 1); }

}  // namespace

simulated_group::simulated_group(simulated_group_options options)
    : options_(std::move(options)),
      network_(options_.controllers + options_.members, options_.seed),
      random_(options_.seed) {
  options_.clock_permille.resize(options_.controllers + options_.members);
  for (node_id node = 0; node < options_.clock_permille.size(); ++node) {
    network_.set_clock_rate(node, options_.clock_permille[node]);
  }
  for (std::size_t i = 0; i < options_.members; ++i) {
    const auto role = i == 0 ? standin::member_role::primary : standin::member_role::replica;
    standin::member_options member{service_id{"orders"}, target_id{member_name(i)}, role};
    member.connections = 100'000;
    member.broken_rule = options_.member_rule;
    members_.push_back(std::make_unique<member_host>(
        member_host{standin::database_member_model{member, network_.now()}, {}}));
    pull(i);
  }
  for (std::size_t i = 0; i < options_.controllers; ++i) {
    proxies_.push_back(std::make_unique<proxy>());
    start_controller(i);
  }
}

simulated_group::~simulated_group() = default;

const group_view& simulated_group::view(std::size_t controller) const {
  return proxies_[controller]->controller->view();
}

standin::database_member_model& simulated_group::member(std::size_t index) { return members_[index]->model; }

std::optional<std::size_t> simulated_group::primary_index() const {
  std::optional<std::size_t> best;
  for (std::size_t i = 0; i < members_.size(); ++i) {
    const auto& model = members_[i]->model;
    if (model.role() != standin::member_role::primary) continue;
    if (!best || model.term() > members_[*best]->model.term()) best = i;
  }
  return best;
}

std::size_t simulated_group::index_of(const target_id& target) const {
  for (std::size_t i = 0; i < members_.size(); ++i) {
    if (members_[i]->model.target() == target) return i;
  }
  return 0;
}

// ---------------------------------------------------------------------------
// Controllers
// ---------------------------------------------------------------------------

void simulated_group::start_controller(std::size_t index) {
  auto& host = *proxies_[index];
  const incarnation_id incarnation{++last_name_};
  host.controller = std::make_unique<group_controller>(
      service_id{"orders"}, vm_id{"entry-" + std::to_string(index + 1)}, incarnation, options_.controller);
  configure(index);
  deliver_event(index, ownership_changed{true});
  tick(index);
}

void simulated_group::configure(std::size_t index) {
  group_configured event;
  for (std::size_t i = 0; i < members_.size(); ++i) {
    event.targets.push_back({target_id{member_name(i)}, "10.0.0." + std::to_string(i) + ":5000", {}});
  }
  for (const auto i : leaving_) event.leaving.push_back(target_id{member_name(i)});
  deliver_event(index, event);
}

void simulated_group::set_owner(std::size_t controller, bool is_owner) {
  network_.run_on(controller, [=, this] { deliver_event(controller, ownership_changed{is_owner}); });
}

void simulated_group::set_leaving(std::vector<std::size_t> members) {
  leaving_ = std::move(members);
  for (std::size_t i = 0; i < options_.controllers; ++i) {
    network_.run_on(i, [=, this] { configure(i); });
  }
}

void simulated_group::tick(std::size_t index) {
  deliver_event(index, timer_ticked{});
  network_.after(index, options_.controller.tick_interval, [=, this] { tick(index); });
}

void simulated_group::deliver_event(std::size_t controller, const group_event& event) {
  const auto actions = proxies_[controller]->controller->handle(event, network_.clock(controller), random_());
  for (const auto& action : actions) {
    // Each action is a step of its own, because the hook may pause the node between two actions.
    network_.run_on(controller, [=, this] {
      if (hook_) hook_(controller, action);
      const auto work = [=, this] {
        std::visit([&](const auto& item) { perform(controller, item); }, action);
      };
      const auto delay = gate_.delay_of ? gate_.delay_of(controller, action) : duration{};
      if (delay > duration{}) return network_.after(controller, delay, work);
      network_.run_on(controller, work);
    });
  }
}

void simulated_group::crash_node(node_id node) {
  if (network_.is_down(node)) return;
  network_.crash(node);
  if (node >= options_.controllers) {
    members_[node - options_.controllers]->waiting.clear();
    return;
  }
  auto& host = *proxies_[node];
  host.awaiting_replication.clear();
  const auto open = std::exchange(host.open_operations, {});
  for (const auto& name : open) end_attempt(node, name, operation::state::unknown);
}

void simulated_group::start_node(node_id node) {
  if (!network_.is_down(node)) return;
  network_.start(node);
  if (node < options_.controllers) {
    start_controller(node);
    return;
  }
  const auto index = node - options_.controllers;
  members_[index]->model.restart(network_.clock(node));
  pull(index);
}

// ---------------------------------------------------------------------------
// Requests to members
// ---------------------------------------------------------------------------

void simulated_group::call(std::size_t controller, const target_id& target, const handler& serve,
                           const failure& on_failure, bool may_duplicate) {
  const auto index = index_of(target);
  const auto node = member_node(index);
  const auto starts = network_.starts(controller);
  // A proxy that was restarted does not get replies to its earlier requests: their connections are closed.
  const auto guard = [this, controller, starts](const reply& task) {
    if (network_.starts(controller) == starts) task();
  };
  const responder respond = [=, this](const reply& task) {
    network_.send(
        node, controller, [=] { guard(task); }, {}, may_duplicate);
  };
  const auto refuse = [=, this] {
    guard([&] { deliver_event(controller, connection_refused{target}); });
    if (on_failure) guard([&] { on_failure(request_failure::refused); });
  };
  const auto arrive = [=, this] {
    serve(*members_[index], respond);
    answer_waiting(index);
  };
  network_.send(controller, node, arrive, refuse, may_duplicate);
}

void simulated_group::call_step(std::size_t controller, exchange_id exchange, const target_id& target,
                                const handler& serve) {
  call(
      controller, target, serve,
      [=, this](request_failure reason) {
        deliver_event(controller, request_failed{exchange, target, reason, {}});
      },
      true);
}

void simulated_group::answer_waiting(std::size_t member) {
  auto& host = *members_[member];
  const auto now = network_.clock(member_node(member));
  auto waiting = std::exchange(host.waiting, {});
  for (auto& item : waiting) {
    if (host.model.point() > item.after || now >= item.deadline) {
      item.answer(to_status(host.model.status(now)));
    } else {
      host.waiting.push_back(std::move(item));
    }
  }
}

void simulated_group::poll(std::size_t controller, exchange_id exchange, const target_id& target,
                           const log_point& after, duration wait) {
  const auto index = index_of(target);
  call_step(controller, exchange, target, [=, this](member_host& host, const responder& respond) {
    const auto answer = [=, this](const target_status& status) {
      respond([=, this] { deliver_event(controller, status_replied{exchange, status}); });
    };
    host.waiting.push_back({after, network_.clock(member_node(index)) + wait, answer});
    network_.after(member_node(index), wait * 102 / 100, [=, this] { answer_waiting(index); });
  });
}

void simulated_group::pull(std::size_t member) {
  const auto node = member_node(member);
  network_.after(node, options_.pull_interval, [=, this] { pull(member); });
  const auto request = members_[member]->model.next_pull();
  if (!request) return;
  const auto primary = index_of(request->primary);
  network_.send(node, member_node(primary), [=, this] {
    const auto answer = members_[primary]->model.answer_pull(*request, network_.clock(member_node(primary)));
    if (!answer) return;
    network_.send(member_node(primary), node, [=, this] {
      members_[member]->model.accept_pull(*answer, network_.clock(node));
      answer_waiting(member);
    });
  });
}

// ---------------------------------------------------------------------------
// Actions
// ---------------------------------------------------------------------------

time_point simulated_group::clock_of(const member_host& host) const {
  return network_.clock(member_node(index_of(host.model.target())));
}

void simulated_group::perform(std::size_t controller, const poll_target& action) {
  poll(controller, action.exchange, action.target, {}, duration{});
}

void simulated_group::perform(std::size_t controller, const long_poll_target& action) {
  poll(controller, action.exchange, action.target, action.after, action.wait);
}

void simulated_group::perform(std::size_t controller, const fence_target& action) {
  call_step(
      controller, action.exchange, action.target, [=, this](member_host& host, const responder& respond) {
        const auto answer = host.model.fence(action.term, action.candidate.str(), clock_of(host));
        respond([=, this] {
          deliver_event(controller, fence_replied{action.exchange, action.target, answer.is_accepted,
                                                  answer.term, candidate_id{answer.candidate}, answer.point});
        });
      });
}

void simulated_group::perform(std::size_t controller, const promote_target& action) {
  call_step(controller, action.exchange, action.target,
            [=, this](member_host& host, const responder& respond) {
              const bool was_primary = host.model.role() == standin::member_role::primary;
              const auto answer = host.model.promote(action.term, action.candidate.str(), clock_of(host));
              if (answer && !was_primary) oracle_.promote(host.model);
              reply_status(controller, action.exchange, action.target, answer, respond);
            });
}

void simulated_group::perform(std::size_t controller, const follow_target& action) {
  call_step(
      controller, action.exchange, action.target, [=, this](member_host& host, const responder& respond) {
        const auto answer = host.model.follow(action.term, action.primary, action.address, clock_of(host));
        reply_status(controller, action.exchange, action.target, answer, respond);
      });
}

void simulated_group::reply_status(std::size_t controller, exchange_id exchange, const target_id& target,
                                   const standin::member_result<standin::member_status>& answer,
                                   const responder& respond) {
  respond([=, this] {
    if (!answer) {
      deliver_event(controller,
                    request_failed{exchange, target, request_failure::rejected, answer.error().term});
      return;
    }
    // The same event type serves `promote` and `follow`, because the controller handles both answers alike.
    deliver_event(controller, promote_replied{exchange, to_status(*answer)});
  });
}

void simulated_group::perform(std::size_t controller, const acknowledge_write& action) {
  proxies_[controller]->end(action.request, true);
}

void simulated_group::perform(std::size_t controller, const end_write_unknown& action) {
  proxies_[controller]->end(action.request, false);
}

}  // namespace bulrushlift::simulation
