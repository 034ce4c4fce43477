#include "daemon/configuration_adapter.h"

#include <utility>

#include "base/log.h"
#include "limits/document_limits.h"

namespace bulrushlift {
namespace {

constexpr duration tick_interval = std::chrono::milliseconds{100};
// The controller times out its calls itself; this timeout only releases the pending request of the link.
constexpr duration call_timeout = std::chrono::seconds{5};
}  // namespace

configuration_adapter::configuration_adapter(daemon_context& context, object_store_client& platform,
                                             peer_adapter& peers, callbacks handlers)
    : context_(context),
      platform_(platform),
      peers_(peers),
      handlers_(std::move(handlers)),
      controller_(context.options, context.random()),
      tick_timer_(context.loop) {}

void configuration_adapter::start() {
  schedule_tick();
  perform(controller_.tick(context_.loop.now()));
}

void configuration_adapter::schedule_tick() {
  tick_timer_.set(tick_interval, [this] {
    schedule_tick();
    perform(controller_.tick(context_.loop.now()));
  });
}

void configuration_adapter::update_members() {
  std::vector<configuration_member> members;
  for (const auto& each : context_.shared.members) {
    members.push_back({each.vm, each.data_centre, is_serving(each.state)});
  }
  controller_.members_changed(std::move(members));
}

void configuration_adapter::on_peer_status(const vm_id& peer, const configuration_status& status,
                                           std::optional<time_point> ping_sent_at) {
  perform(controller_.peer_reported(context_.loop.now(), peer, status, ping_sent_at));
}

peer::document_reply_t configuration_adapter::answer_peer(const peer::document_request_t& wire) const {
  const auto answer = controller_.answer_peer(context_.loop.now(),
                                              generation_id{static_cast<std::uint64_t>(wire.generation)});
  peer::document_reply_t reply;
  reply.generation = static_cast<std::int64_t>(answer.status.generation.value());
  reply.text = answer.text;
  const auto& age = answer.status.confirmed_age;
  reply.confirmed_age_ms = age ? std::chrono::ceil<std::chrono::milliseconds>(*age).count() : -1;
  for (const auto& each : answer.leaving_targets) reply.leaving_targets.push_back(each.str());
  return reply;
}

void configuration_adapter::perform(const configuration_actions& actions) {
  for (const auto& action : actions) {
    std::visit([this](const auto& each) { run(each); }, action);
  }
}

void configuration_adapter::run(const read_store& action) {
  const auto call = action.call;
  if (!action.watch_after) {
    platform_.get(action.path, [this, call](const result<platform_object>& found) {
      if (found) {
        on_store_answer(call, store_object{found->version, found->value});
      } else {
        on_store_failure(call, found.error());
      }
    });
    return;
  }
  platform_.watch(action.path, *action.watch_after, action.wait,
                  [this, call](const result<std::optional<platform_object>>& found) {
                    if (!found) {
                      on_store_failure(call, found.error());
                    } else if (*found) {
                      on_store_answer(call, store_object{(*found)->version, (*found)->value});
                    } else {
                      on_store_answer(call, store_unchanged{});
                    }
                  });
}

void configuration_adapter::on_store_answer(configuration_call call, const store_answer& answer) {
  perform(controller_.store_answered(context_.loop.now(), call, answer));
}

void configuration_adapter::on_store_failure(configuration_call call, const error& reason) {
  if (reason.kind == error_kind::not_found) {
    on_store_answer(call, store_missing{});
    return;
  }
  log_debug("store_call_failed", {{"reason", reason.message}});
  controller_.store_failed(context_.loop.now(), call);
}

void configuration_adapter::run(const list_vms& action) {
  platform_.list_vms([this, call = action.call](const result<std::vector<platform_list_entry>>& list) {
    if (!list) {
      on_store_failure(call, list.error());
      return;
    }
    std::vector<platform_vm> vms;
    for (const auto& each : *list) vms.push_back({each.name, network_address{each.address}, each.leaving});
    perform(controller_.vms_listed(context_.loop.now(), call, vms));
  });
}

void configuration_adapter::run(const ask_peer& action) {
  peer::document_request_t wire;
  wire.generation = static_cast<std::int64_t>(action.generation.value());
  peer::envelope_t message;
  message.__set_document_request(wire);
  peers_.request(action.peer, std::move(message), call_timeout,
                 [this, call = action.call](const result<peer::envelope_t>& reply) {
                   if (!reply || !reply->__isset.document_reply) {
                     controller_.peer_failed(context_.loop.now(), call);
                     return;
                   }
                   const auto& body = reply->document_reply;
                   peer_document answer;
                   answer.status.generation = generation_id{static_cast<std::uint64_t>(body.generation)};
                   if (body.confirmed_age_ms >= 0) {
                     answer.status.confirmed_age = std::chrono::milliseconds{body.confirmed_age_ms};
                   }
                   answer.text = body.text;
                   for (const auto& each : body.leaving_targets) answer.leaving_targets.emplace_back(each);
                   perform(controller_.peer_answered(context_.loop.now(), call, answer));
                 });
}

void configuration_adapter::run(const apply_document& action) {
  context_.shared.configuration = action.in_force;
  context_.shared.keys = key_ring{keys_of(action.in_force)};
  log_info("configuration_applied",
           {{"generation", action.in_force.generation().value()}, {"source", action.source}});
  handlers_.on_changed();
}

void configuration_adapter::run(const reject_document& action) {
  log_error("configuration_rejected", {{"generation", action.generation.value()},
                                       {"source", action.source},
                                       {"reason", action.reason.message}});
}

void configuration_adapter::run(const publish_generation& action) {
  log_warning("store_outdated", {{"in_force", action.in_force.value()}});
  handlers_.on_store_outdated();
}

void configuration_adapter::run(const apply_leaving_targets& action) {
  context_.shared.leaving_targets = {action.targets.begin(), action.targets.end()};
  log_info("leaving_targets", {{"count", static_cast<std::uint64_t>(action.targets.size())}});
  handlers_.on_changed();
}

}  // namespace bulrushlift
