#include "entry/store_adapter.h"

#include <algorithm>
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

// A configuration must be in force on all VMs within 3 s, even if the connection of a watch goes
// silent. Two VMs watch it with the short wait; the others learn from heartbeats that there is a
// newer one, or that neither VM has confirmed it recently.
constexpr duration short_watch_wait = milliseconds{1'500};
constexpr duration long_watch_wait = seconds{15};
// In a large data centre, where the number of VMs counts: the longest wait that the store allows.
constexpr duration longest_watch_wait = seconds{30};
const service_id configuration_placement_key{"configuration"};

// Changes of targets matter within about a second, so those in quick succession are read together. Changes of
// VMs are read at once: VMs that know different members choose different owners.
constexpr duration change_pause = milliseconds{300};

// The store drops a target that is silent for three intervals; as many again are allowed for a store that
// has just come back.
constexpr int removal_intervals = 6;

// In a large data centre two VMs watch for the others, so shorter waits cost little and a silent connection
// is noticed sooner. A watching VM holds questions about targets for a second only, because the age of a
// confirmation is known to within that time.
constexpr shared_watch_options shared_targets{seconds{3}, change_pause, seconds{1}};
// Many VMs start within a second. Their records are read together, well within the second in which all VMs
// have to know a member.
constexpr shared_watch_options shared_vms{seconds{10}, milliseconds{250}, seconds{4}};
constexpr shared_watch_options shared_promotions{seconds{10}, duration::zero(), seconds{4}};

constexpr mirror_options configuration_options{short_watch_wait, duration::zero(), duration::zero(), {}};
// Targets whose entries expired during an outage of the store write them again within about two
// seconds.
constexpr mirror_options target_options{seconds{5}, milliseconds{2'500}, change_pause, shared_targets};
constexpr mirror_options vm_options{seconds{20}, seconds{5}, duration::zero(), shared_vms};
// A long wait is enough: the store refuses a claim that is based on an outdated version.
constexpr mirror_options promotion_options{seconds{20}, duration::zero(), duration::zero(),
                                           shared_promotions};

}  // namespace

store_adapter::store_adapter(entry_context& context, peer_adapter& peers, observer callbacks)
    : context_(context),
      peers_(peers),
      callbacks_(std::move(callbacks)),
      store_(context.loop, context.settings.store),
      configuration_(context, store_, peers, object_kind::configuration, configuration_options,
                     configuration_observer()),
      targets_(context, store_, peers, object_kind::targets, target_options, target_observer()),
      vms_(context, store_, peers, object_kind::vms, vm_options, vm_observer()),
      promotions_(context, store_, peers, object_kind::promotions, promotion_options, promotion_observer()),
      reports_(context.settings.target_report_interval * removal_intervals),
      announce_timer_(context.loop),
      refused_reports_timer_(context.loop) {
  peers_.on_document_request([this](const peer::envelope_t& /*message*/, const peer_responder& respond) {
    send_configuration(respond);
  });
  peers_.on_watch_request([this](const peer::envelope_t& message, const peer_responder& respond) {
    on_watch_question(decode(message.watch_request), respond);
  });
}

void store_adapter::on_watch_question(watch_question question, const peer_responder& respond) {
  for (auto* each : shared_mirrors()) {
    if (question.kind == platform::name_of(each->kind())) {
      return each->on_question(std::move(question), respond);
    }
  }
  respond(error{error_kind::protocol_error, "the kind of objects is not shared"});
}

void store_adapter::start() {
  store_.on_restored([this] {
    callbacks_.on_restored();
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
  const auto saved = targets_.saved_calls() + vms_.saved_calls() + promotions_.saved_calls();
  log_info("store_calls", {{"configuration", store_.call_count(object_kind::configuration)},
                           {"targets", store_.call_count(object_kind::targets)},
                           {"vms", store_.call_count(object_kind::vms)},
                           {"promotions", store_.call_count(object_kind::promotions)},
                           {"saved", saved}});
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
  for (auto* each : shared_mirrors()) each->on_tick();
  // While the store does not answer, the mirror calls it again by itself.
  if (!configuration_.is_reachable() || configuration_.is_refreshing()) return;
  // The response that is arriving confirms the configuration or brings a newer one.
  if (store_.is_receiving(object_kind::configuration)) return;
  if (!context_.shared.confirmations.try_check(context_.loop.now())) return;
  log_info("configuration_checked", {{"reason", "no VM has confirmed it recently"}});
  configuration_.refresh();
}

void store_adapter::on_members() {
  for (auto* each : shared_mirrors()) each->on_members();
  const auto placement = place_service(configuration_placement_key, context_.shared.members);
  const auto& self = context_.settings.vm;
  const bool is_watcher = placement && (placement->owner == self || placement->standby == self);
  configuration_.set_watch_wait(is_watcher                 ? short_watch_wait
                                : targets_.is_delegating() ? longest_watch_wait
                                                           : long_watch_wait);
  if (std::exchange(is_watcher_, is_watcher) == is_watcher) return;
  log_info("configuration_watcher_changed", {{"is_watcher", is_watcher}});
}

void store_adapter::claim(const platform::promotion_record& record,
                          std::function<void(std::optional<std::uint64_t>)> done) {
  const auto name = record.service.str();
  // The watch may not have reported the last claim of this VM yet.
  const auto expected = std::max(promotions_.version_of(name), own_claims_[name]);
  store_.write(object_kind::promotions, name, platform::encode_promotion(record), expected, write_timeout,
               [this, name, done = std::move(done)](const result<store_version>& written) {
                 if (written) {
                   own_claims_[name] = *written;
                   return done(sql::fencing_token(*written));
                 }
                 own_claims_.erase(name);
                 log_info("promotion_not_claimed", {{"service", name}, {"reason", written.error().message}});
                 done(std::nullopt);
               });
}

}  // namespace bulrushlift::entry
