#pragma once

#include <fmt/format.h>

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "document/production_record.h"
#include "fleet/configuration_controller.h"
#include "standins/object_store_model.h"

/// @file
/// Simulates a fleet of configuration controllers with a store and a network that delays,
/// reorders, duplicates and loses messages. An oracle checks that all VMs follow one version history.

namespace bulrushlift {

/// The simulated fleet and its oracle. Equal seeds give equal runs.
class configuration_simulation {
 public:
  static constexpr std::size_t fleet_size = 4;

  configuration_simulation(std::uint64_t seed, configuration_mutation mutation)
      : mutation_(mutation), random_(static_cast<std::minstd_rand::result_type>(seed)) {
    for (std::size_t i = 0; i < fleet_size; ++i) start_vm(i);
    promote();
  }

  /// Advances the time. @return the first violation that the oracle has found so far, if any.
  const std::optional<std::string>& run_for(duration span) {
    for (const auto end = now_ + span; now_ < end && !violation_;) step();
    return violation_;
  }

  /// Writes the next generation to the store.
  void promote() {
    // A promotion that the store cannot accept is skipped; the operator's access is not simulated.
    if (!is_writable()) return;
    promoted_at_.push_back(now_);
    write_newest();
  }

  void save_copy() { store_.save_copy(); }

  /// Ends all calls to the store, and brings it back from the last copy a moment later; the operator then
  /// writes the newest generation again.
  void restore_copy() {
    if (!is_writable()) return;
    is_away_ = true;
    deliver(store_.restore_copy());
    for (const auto& [id, caller] : std::exchange(callers_, {})) fail_store_call(caller);
    end_restore();
  }

  /// Replaces the VM's process by a new one without a document.
  void restart(std::size_t vm) { start_vm(vm); }

  void set_store(const store_faults& faults) {
    faults_ = faults;
    store_.set_faults(faults);
    store_changed_ = now_;
  }

  void cut_store(std::size_t vm, bool is_cut) {
    vms_[vm].store_cut = is_cut;
    store_changed_ = now_;
  }

  void cut_link(std::size_t a, std::size_t b, bool is_cut) {
    if (a == b) return;
    link(a, b).is_cut = is_cut;
    link(a, b).changed = now_;
    links_changed_ = now_;
  }

  /// Ends all faults.
  void heal() {
    set_store({});
    for (std::size_t a = 0; a < fleet_size; ++a) {
      cut_store(a, false);
      for (std::size_t b = 0; b < a; ++b) {
        if (link(a, b).is_cut) cut_link(a, b, false);
      }
    }
  }

  /// Ends all faults and checks that the fleet converges. @return a violation, if any.
  std::optional<std::string> check_convergence() {
    heal();
    if (const auto& seen = run_for(2 * restore_time)) return seen;
    promote();
    // Upper bound of the time to spread a generation, from the promotion or the end of the faults,
    // whichever is later.
    if (const auto& seen = run_for(std::chrono::seconds{7})) return seen;
    for (const auto& it : vms_) {
      if (it.controller->in_force().generation().value() != promoted_at_.size())
        return "a VM does not have the newest document";
      if (it.controller->freshness_at(now_) != freshness::fresh) return "a VM is not fresh";
    }
    return std::nullopt;
  }

 private:
  static constexpr std::chrono::milliseconds step_length{20};
  static constexpr std::chrono::milliseconds heartbeat{200};
  /// Longer than a message is on its way, so that no VM is without a failed call.
  static constexpr std::chrono::milliseconds restore_time{100};
  /// The membership detects a lost or a returned peer within this time.
  static constexpr std::chrono::milliseconds membership_detection_time{1'000};
  /// The oracle expects a VM to know of a connection or a fresh peer after it has lasted this long.
  static constexpr std::chrono::milliseconds detection_time{3'000};

  struct vm_state {
    std::unique_ptr<configuration_controller> controller;
    std::uint64_t incarnation = 0;
    generation_id highest_generation;
    bool store_cut = false;
    std::vector<time_point> heard_at =
        std::vector<time_point>(fleet_size);  ///< When each peer's last ack arrived.
    std::optional<time_point> fresh_since;
    std::optional<time_point> not_fresh_since;
  };
  struct link_state {
    bool is_cut = false;
    time_point changed{};
  };
  struct store_caller {
    std::size_t vm = 0;
    std::uint64_t incarnation = 0;
    configuration_call call;
    bool is_list = false;
  };

  static vm_id name(std::size_t vm) { return vm_id{fmt::format("vm-{}", vm)}; }
  static data_centre_id data_centre(std::size_t vm) {
    return data_centre_id{vm < fleet_size / 2 ? "a" : "b"};
  }

  /// @return the document of a generation; the rate of its customer equals the generation.
  static std::string text_of(std::size_t generation) {
    std::string vms;
    for (std::size_t i = 0; i < fleet_size; ++i) {
      vms += fmt::format(R"({}{{"name": "{}", "data_centre": "{}", "peer_address": "10.0.0.{}:1"}})",
                         i == 0 ? "" : ", ", name(i).str(), data_centre(i).str(), i + 1);
    }
    return fmt::format(R"({{"environment": "env", "regions": [{{"name": "r", "data_centres": ["a", "b"]}}],
      "vms": [{}], "services": [{{"name": "s", "targets": [
        {{"name": "t1", "address": "10.0.1.1:1", "data_centre": "a", "slots": 1, "connections": 2}},
        {{"name": "t2", "address": "10.0.1.2:1", "data_centre": "b", "slots": 1, "connections": 2}}]}}],
      "customers": [{{"name": "c", "rate_per_second": {}, "burst": 1}}], "routes": []}})",
                       vms, generation);
  }

  [[nodiscard]] bool is_writable() const { return !faults_.down && !faults_.serve_old && !is_away_; }

  /// Waits until the operator's write can take effect, since readers cannot know that the copy is older.
  void end_restore() {
    defer(restore_time, [this] {
      if (faults_.down || faults_.serve_old) {
        end_restore();
        return;
      }
      is_away_ = false;
      write_newest();
    });
  }

  void write_newest() {
    const auto text = text_of(promoted_at_.size());
    const production_record record{generation_id{promoted_at_.size()}, "p", document_digest(text), text};
    deliver(store_.handle(now_, {.id = ++last_id_,
                                 .call = store_call_kind::put,
                                 .path = production_path("env"),
                                 .value = nlohmann::json(format_record(record)).dump()}));
  }

  void start_vm(std::size_t index) {
    settings configured;
    configured.vm = name(index);
    configured.data_centre = data_centre(index);
    configured.environment = "env";
    auto& it = vms_[index];
    it.controller = std::make_unique<configuration_controller>(configured, random_(), mutation_);
    ++it.incarnation;
    it.highest_generation = {};
    it.fresh_since.reset();
    it.heard_at.assign(fleet_size, time_point{});
    restarted_ = now_;
  }

  link_state& link(std::size_t a, std::size_t b) {
    return links_[std::min(a, b) * fleet_size + std::max(a, b)];
  }
  bool is_linked(std::size_t a, std::size_t b) { return a == b || !link(a, b).is_cut; }

  duration delay() { return std::chrono::milliseconds{1 + random_() % 40}; }
  bool chance(unsigned percent) { return random_() % 100 < percent; }

  void defer(duration after, std::function<void()> event) { events_.emplace(now_ + after, std::move(event)); }

  /// Calls `event` on the VM's controller after a delay, unless the VM has restarted since; in one case of
  /// ten, calls it twice.
  void send(std::size_t vm, const std::function<void(configuration_controller&)>& event) {
    const auto incarnation = vms_[vm].incarnation;
    const int copies = chance(10) ? 2 : 1;
    for (int i = 0; i < copies; ++i) {
      defer(delay(), [this, vm, incarnation, event] {
        if (vms_[vm].incarnation == incarnation) event(*vms_[vm].controller);
      });
    }
  }

  void step() {
    now_ += step_length;
    for (auto it = events_.begin(); it != events_.end() && it->first <= now_; it = events_.begin()) {
      const auto event = std::move(it->second);
      events_.erase(it);
      event();
    }
    deliver(store_.advance(now_));
    const auto count = (now_ - time_point{}) / step_length;
    for (std::size_t vm = 0; vm < fleet_size; ++vm) {
      if (count % (heartbeat / step_length) == 0) send_heartbeats(vm);
      update_members(vm);
      perform(vm, vms_[vm].controller->tick(now_));
    }
    check();
  }

  void update_members(std::size_t vm) {
    std::vector<configuration_member> members;
    for (std::size_t peer = 0; peer < fleet_size; ++peer) {
      const bool alive = peer == vm || now_ - vms_[vm].heard_at[peer] < membership_detection_time;
      members.push_back({name(peer), data_centre(peer), alive});
    }
    vms_[vm].controller->members_changed(std::move(members));
  }

  void send_heartbeats(std::size_t vm) {
    for (std::size_t peer = 0; peer < fleet_size; ++peer) {
      if (peer == vm || !is_linked(vm, peer)) continue;
      const auto asked_at = now_;
      const auto own = vms_[vm].controller->status_at(now_);
      send(peer, [this, vm, peer, asked_at, own](configuration_controller& receiver) {
        perform(peer, receiver.peer_reported(now_, name(vm), own, std::nullopt));
        if (!is_linked(vm, peer)) return;
        send(vm,
             [this, vm, peer, asked_at, status = receiver.status_at(now_)](configuration_controller& asker) {
               vms_[vm].heard_at[peer] = now_;
               perform(vm, asker.peer_reported(now_, name(peer), status, asked_at));
             });
      });
    }
  }

  void perform(std::size_t vm, const configuration_actions& actions) {
    for (const auto& it : actions) {
      if (const auto* read = std::get_if<read_store>(&it)) {
        store_request request{.call = read->watch_after ? store_call_kind::watch : store_call_kind::get,
                              .path = read->path,
                              .watch_after = read->watch_after.value_or(object_version{}),
                              .wait = read->wait};
        call_store(vm, read->call, std::move(request));
      } else if (const auto* list = std::get_if<list_vms>(&it)) {
        call_store(vm, list->call, {.call = store_call_kind::vms});
      } else if (const auto* ask = std::get_if<ask_peer>(&it)) {
        call_peer(vm, *ask);
      }
    }
  }

  void call_store(std::size_t vm, configuration_call call, store_request request) {
    request.id = ++last_id_;
    const store_caller caller{vm, vms_[vm].incarnation, call, request.call == store_call_kind::vms};
    if (vms_[vm].store_cut) {
      // A call over a cut connection fails or gets no answer.
      if (chance(50)) fail_store_call(caller);
      return;
    }
    callers_.emplace(request.id, caller);
    defer(delay(), [this, request] {
      if (!callers_.contains(request.id)) return;
      deliver(is_away_ ? std::vector<store_reply>{{.id = request.id, .status = 0}}
                       : store_.handle(now_, request));
    });
  }

  void fail_store_call(const store_caller& it) {
    send(it.vm, [this, call = it.call](configuration_controller& controller) {
      controller.store_failed(now_, call);
    });
  }

  void deliver(const std::vector<store_reply>& replies) {
    for (const auto& reply : replies) {
      const auto entry = callers_.extract(reply.id);
      if (entry.empty()) continue;
      const auto caller = entry.mapped();
      if (vms_[caller.vm].incarnation != caller.incarnation || vms_[caller.vm].store_cut) continue;
      if (reply.status == 0) {
        fail_store_call(caller);
        continue;
      }
      send(caller.vm, [this, caller, reply](configuration_controller& controller) {
        perform(caller.vm, caller.is_list ? controller.vms_listed(now_, caller.call, {})
                                          : controller.store_answered(now_, caller.call, answer_of(reply)));
      });
    }
  }

  static store_answer answer_of(const store_reply& reply) {
    if (reply.status == 304) return store_unchanged{};
    if (reply.status != 200) return store_missing{};
    const auto& object = reply.objects.at(0);
    return store_object{object.version, nlohmann::json::parse(object.value).get<std::string>()};
  }

  void call_peer(std::size_t vm, const ask_peer& ask) {
    for (std::size_t peer = 0; peer < fleet_size; ++peer) {
      if (name(peer) != ask.peer || !is_linked(vm, peer)) continue;
      send(peer, [this, vm, peer, ask](configuration_controller& asked) {
        if (!is_linked(vm, peer)) return;
        const auto answer = asked.answer_peer(now_, ask.generation);
        send(vm, [this, vm, call = ask.call, answer](configuration_controller& asker) {
          perform(vm, asker.peer_answered(now_, call, answer));
        });
      });
    }
  }

  void fail(std::size_t vm, const std::string& what);
  void check();
  void check_generation(std::size_t vm);
  /// Checks that a fresh document was the newest at some time within the freshness limit.
  void check_fresh(std::size_t vm);
  [[nodiscard]] bool is_link_stable(std::size_t vm, std::size_t peer);
  /// Checks the condition for service without the store: a reachable majority in which no VM is fresh.
  void check_store_down(std::size_t vm);
  /// Checks that a fully connected fleet without a store keeps serving.
  void check_isolated(std::size_t vm);

  configuration_mutation mutation_;
  std::minstd_rand random_;
  time_point now_{std::chrono::seconds{1'000}};
  object_store_model store_;
  store_faults faults_;
  std::vector<time_point> promoted_at_;  ///< When generation i + 1 was promoted.
  std::vector<vm_state> vms_ = std::vector<vm_state>(fleet_size);
  std::map<std::size_t, link_state> links_;
  std::multimap<time_point, std::function<void()>> events_;
  std::map<std::uint64_t, store_caller> callers_;
  std::uint64_t last_id_ = 0;
  bool is_away_ = false;  ///< The store answers no call, because it comes back from a copy.
  time_point store_changed_{};
  time_point links_changed_{};
  time_point restarted_{};
  std::optional<time_point> last_stale_service_;
  std::optional<std::string> violation_;
};

}  // namespace bulrushlift
