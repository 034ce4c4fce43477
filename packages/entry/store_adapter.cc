#include "entry/store_adapter.h"

#include <utility>

#include "base/log.h"
#include "fleet/ownership.h"
#include "sql/fencing_token.h"

namespace bulrushlift::entry {
namespace {

using platform::object_kind;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr duration write_timeout = seconds{1};
// A large configuration takes seconds over a slow link.
constexpr duration peer_timeout = seconds{8};
constexpr duration announce_retry = milliseconds{500};

// A configuration must be in force on all VMs within 3 s, even if the connection of a watch goes
// silent. Two VMs watch it with the short wait; the others learn from heartbeats that there is a
// newer one, or that neither VM has confirmed it recently.
constexpr duration short_watch_wait = milliseconds{1'500};
constexpr duration long_watch_wait = seconds{15};
const service_id configuration_placement_key{"configuration"};

// Changes of targets matter within about a second, so those in quick succession are read together. Changes of
// VMs are read at once: VMs that know different members choose different owners.
constexpr duration change_pause = milliseconds{300};

// The store drops a target that is silent for three intervals; as many again are allowed for a store that
// has just come back.
constexpr int removal_intervals = 6;

constexpr mirror_options configuration_options{short_watch_wait, duration::zero(), duration::zero()};
// Targets whose entries expired during an outage of the store write them again within about two
// seconds.
constexpr mirror_options target_options{seconds{5}, milliseconds{2'500}, change_pause};
constexpr mirror_options vm_options{seconds{20}, seconds{5}, duration::zero()};
// A long wait is enough: the store refuses a claim that is based on an outdated version.
constexpr mirror_options promotion_options{seconds{20}, duration::zero(), duration::zero()};

}  // namespace

store_adapter::store_adapter(entry_context& context, peer_adapter& peers, observer callbacks)
    : context_(context),
      peers_(peers),
      callbacks_(std::move(callbacks)),
      store_(context.loop, context.settings.store),
      configuration_(context, store_, object_kind::configuration, configuration_options,
                     configuration_observer()),
      targets_(context, store_, object_kind::targets, target_options, target_observer()),
      vms_(context, store_, object_kind::vms, vm_options, vm_observer()),
      promotions_(context, store_, object_kind::promotions, promotion_options, promotion_observer()),
      reports_(context.settings.target_report_interval * removal_intervals),
      announce_timer_(context.loop),
      refused_reports_timer_(context.loop) {
  peers_.on_document_request([this](const peer::envelope_t& /*message*/, const peer_responder& respond) {
    send_configuration(respond);
  });
}

void store_adapter::start() {
  store_.on_restored([this] {
    for (auto* each : {&configuration_, &targets_, &vms_, &promotions_}) each->list_again();
  });
  configuration_.start();
  targets_.start();
  vms_.start();
  promotions_.start();
}

bool store_adapter::is_ready() const noexcept {
  return context_.shared.environment != nullptr && targets_.is_synced();
}

void store_adapter::log_calls() const {
  log_info("store_calls", {{"configuration", store_.call_count(object_kind::configuration)},
                           {"targets", store_.call_count(object_kind::targets)},
                           {"vms", store_.call_count(object_kind::vms)},
                           {"promotions", store_.call_count(object_kind::promotions)}});
}

store_mirror::observer store_adapter::configuration_observer() {
  return {[this](const platform::stored_object& object) { on_configuration(object); },
          [](const std::string& name) {
            log_warning("configuration_removed", {{"object", name}});
          },
          [] {}, [this] { context_.shared.confirmations.on_confirmed(context_.loop.now()); }};
}

void store_adapter::on_configuration(const platform::stored_object& object) {
  if (object.name == platform::configuration_object_name()) apply_configuration(object.content, "store");
}

void store_adapter::apply_configuration(nlohmann::json content, std::string_view source) {
  auto decoded = platform::decode_environment(content);
  if (!decoded) {
    log_error("configuration_rejected", {{"source", source}, {"reason", decoded.error().message}});
    return;
  }
  const auto& current = context_.shared.environment;
  if (current && decoded->generation <= current->generation) {
    log_info("configuration_ignored", {{"source", source},
                                       {"generation", decoded->generation.value()},
                                       {"in_force", current->generation.value()}});
    return;
  }
  configuration_content_ = std::move(content);
  context_.shared.environment = std::make_shared<const sql::environment>(std::move(*decoded));
  fetch_.on_applied();
  context_.shared.confirmations.on_applied(context_.shared.environment->generation, context_.loop.now());
  log_info("configuration_in_force",
           {{"source", source}, {"generation", context_.shared.environment->generation.value()}});
  callbacks_.on_environment();
}

void store_adapter::send_configuration(const peer_responder& respond) const {
  const auto& environment = context_.shared.environment;
  if (!environment) {
    respond(error{error_kind::no_configuration, "no configuration is in force"});
    return;
  }
  peer::document_reply_t document;
  document.generation = static_cast<std::int64_t>(environment->generation.value());
  document.text = configuration_content_.dump();
  peer::envelope_t reply;
  reply.__set_document_reply(document);
  respond(std::move(reply));
}

void store_adapter::request_configuration(const vm_id& peer) {
  peer::envelope_t message;
  peer::document_request_t request;
  request.generation = static_cast<std::int64_t>(
      context_.shared.environment ? context_.shared.environment->generation.value() : 0);
  message.__set_document_request(request);
  peers_.request(peer, std::move(message), peer_timeout, [this, peer](const result<peer::envelope_t>& reply) {
    if (!reply || !reply->__isset.document_reply) {
      fetch_.on_peer_failed();
      log_warning("configuration_not_fetched",
                  {{"peer", peer.str()},
                   {"reason", reply ? "the reply has no document" : reply.error().message.c_str()}});
      return;
    }
    auto content = nlohmann::json::parse(reply->document_reply.text, nullptr, false);
    if (content.is_object()) {
      apply_configuration(std::move(content), "peer");
    } else {
      log_warning("configuration_not_fetched",
                  {{"peer", peer.str()}, {"reason", "the document is not a JSON object"}});
    }
  });
}

store_mirror::observer store_adapter::target_observer() {
  return {[this](const platform::stored_object& object) { on_target(object); },
          [this](const std::string& name) { on_target_removed(target_id{name}); },
          [this] { context_.shared.is_target_list_trusted = true; }};
}

void store_adapter::on_target(const platform::stored_object& object) {
  const auto info = platform::decode_target(object);
  if (!info) {
    log_warning("target_ignored", {{"target", object.name}, {"reason", info.error().message}});
    on_target_removed(target_id{object.name});
    return;
  }
  if (!reports_.accept(info->target, object.version.epoch, info->number, context_.loop.now())) {
    log_warning("target_ignored", {{"target", object.name}, {"reason", "the store has an older report"}});
    retry_later(info->target, object);
    return;
  }
  refused_reports_.erase(info->target);
  const auto before = service_of_target_.find(info->target);
  if (before != service_of_target_.end() && before->second != info->service) on_target_removed(info->target);
  service_of_target_.insert_or_assign(info->target, info->service);
  context_.shared.services[info->service].announce(*info, context_.loop.now());
  log_info("target_announced", {{"target", info->target.str()},
                                {"service", info->service.str()},
                                {"address", info->address},
                                {"role", info->is_primary ? "primary" : "replica"},
                                {"state", info->is_leaving ? "leaving" : "ready"},
                                {"version", object.version.version.value()}});
  callbacks_.on_targets(info->service);
}

void store_adapter::on_target_removed(const target_id& target) {
  reports_.on_removed(target, context_.loop.now());
  refused_reports_.erase(target);
  context_.shared.cold.remove(target);
  const auto node = service_of_target_.extract(target);
  if (node.empty()) return;
  context_.shared.services[node.mapped()].remove(target, context_.loop.now());
  log_info("target_removed", {{"target", target.str()}, {"service", node.mapped().str()}});
  callbacks_.on_targets(node.mapped());
}

void store_adapter::retry_later(const target_id& target, const platform::stored_object& object) {
  // Of a target that is in use a newer report is known.
  if (service_of_target_.contains(target)) return;
  refused_reports_.insert_or_assign(target, object);
  refused_reports_timer_.set(reports_.removal_time(), [this] {
    for (const auto& [name, report] : std::exchange(refused_reports_, {})) on_target(report);
  });
}

store_mirror::observer store_adapter::vm_observer() {
  return {[this](const platform::stored_object& object) {
            const auto record = platform::decode_vm(object);
            if (!record) {
              log_warning("vm_ignored", {{"peer", object.name}, {"reason", record.error().message}});
              // Another writer replaced this VM's record; it is announced again.
              if (object.name == context_.settings.vm.str()) context_.shared.vms.erase(context_.settings.vm);
              return;
            }
            context_.shared.vms.insert_or_assign(record->vm, *record);
          },
          [this](const std::string& name) { context_.shared.vms.erase(vm_id{name}); },
          [this] {
            announce_self();
            callbacks_.on_vms();
          }};
}

void store_adapter::announce_self() {
  const platform::vm_record self{
      context_.settings.vm, context_.settings.peer_listen.str(), context_.settings.data_centre,
      context_.incarnation, context_.settings.capacity.cores,    context_.settings.capacity.link_mbps};
  const auto stored = vms_.version_of(self.vm.str());
  const auto known = context_.shared.vms.find(self.vm);
  // A record that the store lost is still known here for a while.
  const bool is_announced = stored.exists() && known != context_.shared.vms.end() && known->second == self;
  if (is_announced || std::exchange(is_announcing_, true)) return;
  store_.write(object_kind::vms, self.vm.str(), platform::encode_vm(self), stored, write_timeout,
               [this](const result<store_version>& written) {
                 is_announcing_ = false;
                 if (written) {
                   log_info("vm_announced", {{"version", written->version.value()}});
                   return;
                 }
                 log_warning("vm_not_announced", {{"reason", written.error().message}});
                 announce_timer_.set(announce_retry, [this] { announce_self(); });
               });
}

store_mirror::observer store_adapter::promotion_observer() {
  return {[this](const platform::stored_object& object) {
            const auto record = platform::decode_promotion(object);
            if (!record) {
              log_warning("promotion_ignored", {{"object", object.name}, {"reason", record.error().message}});
              return;
            }
            callbacks_.on_promotion(*record);
          },
          [](const std::string& name) {
            log_warning("promotion_removed", {{"object", name}});
          },
          [] {}};
}

void store_adapter::on_status_received(const vm_id& peer, const configuration_status& status) {
  context_.shared.confirmations.on_reported(status, context_.loop.now());
  const auto& environment = context_.shared.environment;
  if (environment && status.generation <= environment->generation) return;
  if (status.generation == generation_id{}) return;
  const store_access store{configuration_.is_reachable(), configuration_.is_refreshing(),
                           store_.is_receiving(object_kind::configuration)};
  const auto source = fetch_.choose(status.generation, store, context_.loop.now());
  if (source == fetch_source::store) configuration_.refresh();
  if (source == fetch_source::peer) request_configuration(peer);
}

void store_adapter::on_tick() {
  // While the store does not answer, the mirror calls it again by itself.
  if (!configuration_.is_reachable() || configuration_.is_refreshing()) return;
  // The response that is arriving confirms the configuration or brings a newer one.
  if (store_.is_receiving(object_kind::configuration)) return;
  if (!context_.shared.confirmations.try_check(context_.loop.now())) return;
  log_info("configuration_checked", {{"reason", "no VM has confirmed it recently"}});
  configuration_.refresh();
}

void store_adapter::on_members() {
  const auto placement = place_service(configuration_placement_key, context_.shared.members);
  const auto& self = context_.settings.vm;
  const bool is_watcher = placement && (placement->owner == self || placement->standby == self);
  configuration_.set_watch_wait(is_watcher ? short_watch_wait : long_watch_wait);
  if (std::exchange(is_watcher_, is_watcher) == is_watcher) return;
  log_info("configuration_watcher_changed", {{"is_watcher", is_watcher}});
}

void store_adapter::claim(const platform::promotion_record& record,
                          std::function<void(std::optional<std::uint64_t>)> done) {
  const auto name = record.service.str();
  store_.write(object_kind::promotions, name, platform::encode_promotion(record),
               promotions_.version_of(name), write_timeout,
               [name, done = std::move(done)](const result<store_version>& written) {
                 if (written) return done(sql::fencing_token(*written));
                 log_info("promotion_not_claimed", {{"service", name}, {"reason", written.error().message}});
                 done(std::nullopt);
               });
}

}  // namespace bulrushlift::entry
