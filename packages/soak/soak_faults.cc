#include <fmt/format.h>

#include <csignal>

#include "soak/soak_deployment.h"

// Injects each fault kind into processes, fault proxies and stand-ins, and ends it.

namespace bulrushlift::soak {
namespace {

using std::chrono::milliseconds;

constexpr duration added_delay = milliseconds{60};
constexpr int affected_requests = 3;

// Time after a restore of the store until the operator and the targets have written their objects again.
constexpr milliseconds rewrite_delay{200};

// Of the statements, in percent, that a target fails.
constexpr int failed_percent = 45;

}  // namespace

void soak_deployment::apply(const fault& each) {
  note(fmt::format("{} of {} for {} ms", name_of(each.kind), each.index, each.length.count()));
  if (each.kind <= fault_kind::delay_store) {
    apply_to_vm(each, vms_.at(each.index));
  } else if (each.kind == fault_kind::restart_vms) {
    restart_vms(each.length);
  } else if (each.kind <= fault_kind::compact_store || each.kind == fault_kind::change_configuration ||
             each.kind == fault_kind::restore_store) {
    apply_to_store(each);
  } else {
    const bool is_primary = each.kind >= fault_kind::mute_primary;
    const auto members = database_->members();
    apply_to_target(each, is_primary ? database_->primary() : members.at(each.index));
  }
}

void soak_deployment::apply_to_vm(const fault& each, vm& affected) {
  switch (each.kind) {
    case fault_kind::kill_vm:
      if (!affected.process->is_running()) return;
      affected.process->kill();
      schedule_after(each.length, [this, &affected] {
        if (!affected.process->is_running()) start_vm(affected);
      });
      return;
    case fault_kind::stop_vm:
      affected.is_terminating = true;
      affected.process->signal(SIGTERM);
      return;
    case fault_kind::pause_vm:
      affected.process->signal(SIGSTOP);
      schedule_after(each.length, [&affected] { affected.process->signal(SIGCONT); });
      return;
    case fault_kind::reload_vm:
      affected.process->signal(SIGHUP);
      return;
    case fault_kind::reset_callers:
      affected.callers_reset = loop_.now();
      affected.caller_proxy->close_connections();
      return;
    case fault_kind::refuse_store:
      affected.store_proxy->set_refusing(true);
      affected.store_proxy->close_connections();
      schedule_after(each.length, [&affected] { affected.store_proxy->set_refusing(false); });
      return;
    case fault_kind::silence_store:
      affected.store_proxy->blackhole_connections();
      return;
    case fault_kind::cut_store_answers:
      affected.store_proxy->set_answers_lost(true);
      schedule_after(each.length, [&affected] {
        affected.store_proxy->set_answers_lost(false);
        affected.store_proxy->close_connections();
      });
      return;
    default:
      affected.store_proxy->set_delay(added_delay);
      affected.store_proxy->close_connections();
      schedule_after(each.length, [&affected] { affected.store_proxy->set_delay(duration::zero()); });
      return;
  }
}

void soak_deployment::restart_vms(milliseconds length) {
  const auto pause = length / static_cast<std::int64_t>(vms_.size());
  for (std::size_t i = 0; i < vms_.size(); ++i) {
    schedule_after(pause * static_cast<std::int64_t>(i), [this, i] {
      if (vms_[i].process->is_running()) vms_[i].process->kill();
      start_vm(vms_[i]);
    });
  }
}

void soak_deployment::apply_to_store(const fault& each) {
  switch (each.kind) {
    case fault_kind::fail_store:
      platform_->faults().is_refusing = true;
      schedule_after(each.length, [this] { platform_->faults().is_refusing = false; });
      return;
    case fault_kind::lose_store_writes:
      platform_->faults().lost_writes += affected_requests;
      return;
    case fault_kind::compact_store:
      platform_->compact();
      return;
    case fault_kind::restore_store:
      platform_->save_copy();
      schedule_after(each.length, [this] { restore_store(); });
      return;
    default:
      publish_configuration();
      return;
  }
}

void soak_deployment::restore_store() {
  platform_->restore_copy();
  schedule_after(rewrite_delay, [this] {
    publish_configuration();
    for (const auto& [target, state] : std::map{target_states_}) publish_target(target, state);
  });
}

void soak_deployment::apply_to_target(const fault& each, const std::string& target) {
  auto& proxy = *target_proxies_.at(target);
  switch (each.kind) {
    case fault_kind::silence_target:
      proxy.blackhole_connections();
      return;
    case fault_kind::cut_target_answers:
      proxy.set_answers_lost(true);
      schedule_after(each.length, [&proxy] {
        proxy.set_answers_lost(false);
        proxy.close_connections();
      });
      return;
    case fault_kind::delay_target:
      proxy.set_delay(added_delay);
      proxy.close_connections();
      schedule_after(each.length, [&proxy] { proxy.set_delay(duration::zero()); });
      return;
    case fault_kind::lose_target_answers:
      database_->faults_of(target).lost_answers += affected_requests;
      return;
    case fault_kind::refuse_begins:
      database_->faults_of(target).refused_begins += affected_requests;
      return;
    case fault_kind::mute_primary:
      database_->faults_of(target).is_silent = true;
      schedule_after(each.length, [this, target] { database_->faults_of(target).is_silent = false; });
      return;
    case fault_kind::fail_statements:
      database_->faults_of(target).failed_percent = failed_percent;
      schedule_after(each.length, [this, target] { database_->faults_of(target).failed_percent = 0; });
      return;
    case fault_kind::drain_primary:
      publish_target(target, "draining");
      schedule_after(each.length, [this, target] { publish_target(target, "ready"); });
      return;
    default:
      database_->set_replicating(false);
      schedule_after(each.length, [this] { database_->set_replicating(true); });
      return;
  }
}

void soak_deployment::end_faults() {
  platform_->faults() = {};
  database_->set_replicating(true);
  for (const auto& target : database_->members()) {
    database_->faults_of(target) = {};
    publish_target(target, "ready");
  }
  for (auto& each : vms_) {
    each.process->signal(SIGCONT);
    each.store_proxy->set_refusing(false);
    each.store_proxy->set_answers_lost(false);
    each.store_proxy->set_delay(duration::zero());
    if (!each.process->is_running()) start_vm(each);
  }
  for (const auto& [target, proxy] : target_proxies_) {
    proxy->set_answers_lost(false);
    proxy->set_delay(duration::zero());
  }
}

}  // namespace bulrushlift::soak
