#include <utility>

#include "base/log.h"
#include "entry/store_adapter.h"
#include "sql/fencing_token.h"

// The part of the store adapter that handles the objects of targets, VMs and promotions.

namespace bulrushlift::entry {
namespace {

using platform::object_kind;

constexpr duration write_timeout = std::chrono::seconds{1};
constexpr duration announce_retry = std::chrono::milliseconds{500};

}  // namespace

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
  // The write is known to the store before it is known here.
  const bool is_written = announced_ && vms_.position() < *announced_;
  if (is_announced || is_written || std::exchange(is_announcing_, true)) return;
  store_.write(object_kind::vms, self.vm.str(), platform::encode_vm(self), stored, write_timeout,
               [this](const result<store_version>& written) {
                 is_announcing_ = false;
                 if (written) {
                   announced_ = *written;
                   log_info("vm_announced", {{"version", written->version.value()}});
                   return;
                 }
                 log_warning("vm_not_announced", {{"reason", written.error().message}});
                 announce_timer_.set(announce_retry, [this] { announce_self(); });
               });
}

store_mirror::observer store_adapter::promotion_observer() {
  return {
      [this](const platform::stored_object& object) {
        auto record = platform::decode_promotion(object);
        if (!record) {
          log_warning("promotion_unreadable", {{"object", object.name}, {"reason", record.error().message}});
          // Its VM may have told replicas to resume, and the command may be under way.
          record =
              platform::promotion_record{service_id{object.name}, {}, {{}, sql::promotion_phase::resuming}};
        }
        callbacks_.on_promotion(*record, sql::fencing_token(object.version));
      },
      [](const std::string& name) {
        log_warning("promotion_removed", {{"object", name}});
      },
      [] {}};
}

}  // namespace bulrushlift::entry
