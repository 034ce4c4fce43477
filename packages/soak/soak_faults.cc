#include <fmt/format.h>

#include <csignal>

#include "soak/soak_world.h"

// How each kind of fault is done to processes, ways and stand-ins, and how it ends.

namespace bulrushlift::soak {
namespace {

using std::chrono::milliseconds;

constexpr duration far_delay = milliseconds{60};
constexpr int few = 3;

}  // namespace

void soak_world::apply(const fault& each) {
  if (each.kind <= fault_kind::delay_store) {
    apply_to_vm(each, vms_.at(each.index));
  } else if (each.kind <= fault_kind::compact_store || each.kind == fault_kind::change_configuration) {
    apply_to_store(each);
  } else {
    const bool is_primary = each.kind >= fault_kind::mute_primary;
    const auto members = database_->members();
    apply_to_target(each, is_primary ? database_->primary() : members.at(each.index));
  }
}

void soak_world::apply_to_vm(const fault& each, vm& affected) {
  switch (each.kind) {
    case fault_kind::kill_vm:
      if (!affected.process->is_running()) return;
      affected.process->kill();
      after(each.length, [this, &affected] {
        if (!affected.process->is_running()) start_vm(affected);
      });
      return;
    case fault_kind::stop_vm:
      affected.is_ending = true;
      affected.process->signal(SIGTERM);
      return;
    case fault_kind::pause_vm:
      affected.process->signal(SIGSTOP);
      after(each.length, [&affected] { affected.process->signal(SIGCONT); });
      return;
    case fault_kind::reload_vm:
      affected.process->signal(SIGHUP);
      return;
    case fault_kind::reset_callers:
      affected.callers_way->close_connections();
      return;
    case fault_kind::refuse_store:
      affected.store_way->set_refusing(true);
      affected.store_way->close_connections();
      after(each.length, [&affected] { affected.store_way->set_refusing(false); });
      return;
    case fault_kind::silence_store:
      affected.store_way->blackhole_connections();
      return;
    case fault_kind::cut_store_answers:
      affected.store_way->set_answers_lost(true);
      after(each.length, [&affected] {
        affected.store_way->set_answers_lost(false);
        affected.store_way->close_connections();
      });
      return;
    default:
      affected.store_way->set_delay(far_delay);
      affected.store_way->close_connections();
      after(each.length, [&affected] { affected.store_way->set_delay(duration::zero()); });
      return;
  }
}

void soak_world::apply_to_store(const fault& each) {
  switch (each.kind) {
    case fault_kind::fail_store:
      platform_->faults().is_refusing = true;
      after(each.length, [this] { platform_->faults().is_refusing = false; });
      return;
    case fault_kind::lose_store_writes:
      platform_->faults().lost_writes += few;
      return;
    case fault_kind::compact_store:
      platform_->compact();
      return;
    default:
      publish();
      return;
  }
}

void soak_world::apply_to_target(const fault& each, const std::string& target) {
  auto& way = *target_ways_.at(target);
  switch (each.kind) {
    case fault_kind::silence_target:
      way.blackhole_connections();
      return;
    case fault_kind::cut_target_answers:
      way.set_answers_lost(true);
      after(each.length, [&way] {
        way.set_answers_lost(false);
        way.close_connections();
      });
      return;
    case fault_kind::delay_target:
      way.set_delay(far_delay);
      way.close_connections();
      after(each.length, [&way] { way.set_delay(duration::zero()); });
      return;
    case fault_kind::lose_target_answers:
      database_->faults_of(target).lost_answers += few;
      return;
    case fault_kind::refuse_begins:
      database_->faults_of(target).refused_begins += few;
      return;
    case fault_kind::mute_primary:
      database_->faults_of(target).is_silent = true;
      after(each.length, [this, target] { database_->faults_of(target).is_silent = false; });
      return;
    case fault_kind::drain_primary:
      announce(target, "draining");
      after(each.length, [this, target] { announce(target, "ready"); });
      return;
    default:
      database_->set_replicating(false);
      after(each.length, [this] { database_->set_replicating(true); });
      return;
  }
}

void soak_world::end_faults() {
  platform_->faults() = {};
  database_->set_replicating(true);
  for (const auto& target : database_->members()) {
    database_->faults_of(target) = {};
    announce(target, "ready");
  }
  for (auto& each : vms_) {
    each.process->signal(SIGCONT);
    each.store_way->set_refusing(false);
    each.store_way->set_answers_lost(false);
    each.store_way->set_delay(duration::zero());
    if (!each.process->is_running()) start_vm(each);
  }
  for (const auto& [target, way] : target_ways_) {
    way->set_answers_lost(false);
    way->set_delay(duration::zero());
  }
}

}  // namespace bulrushlift::soak
