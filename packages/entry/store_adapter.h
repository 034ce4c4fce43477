#pragma once

#include <array>
#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <string_view>

#include "entry/entry_context.h"
#include "entry/peer_adapter.h"
#include "entry/store_mirror.h"
#include "fleet/configuration_fetch.h"
#include "platform/documents.h"
#include "platform/object_store.h"
#include "sql/report_filter.h"

/// @file
/// Copies the configuration, the targets and the VMs from the platform's store to the shared
/// state, reports and writes claims of promotions, and announces this VM in the store.

namespace bulrushlift::entry {

class store_adapter {
 public:
  struct observer {
    std::function<void()> on_environment;               ///< A newer configuration is in force.
    std::function<void(const service_id&)> on_targets;  ///< The targets of the service changed.
    std::function<void()> on_vms;                       ///< The list of VMs changed.
    std::function<void()> on_restored;                  ///< The store came back from an older copy.
    /// A promotion was claimed; the number is the fencing token of the claim.
    std::function<void(const platform::promotion_record&, std::uint64_t)> on_promotion;
  };

  store_adapter(entry_context& context, peer_adapter& peers, observer callbacks);

  void start();

  /// @return whether a configuration is in force and the targets have been listed, so that this VM
  ///   can serve.
  [[nodiscard]] bool is_ready() const noexcept;

  /// @return the epoch of the store, which rises each time that it comes back older.
  [[nodiscard]] store_epoch epoch() const noexcept { return store_.epoch(); }

  /// Logs the number of calls to the store since the start, by kind of object.
  void log_calls() const;

  /// Handles the status of the configuration at another VM. If the generation there is newer than that
  /// of this VM, reads the store, or requests the configuration from that VM if the store does not
  /// answer or has an older one.
  void on_status_received(const vm_id& peer, const configuration_status& status);
  /// Reads the configuration from the store if no VM has confirmed it recently. Call periodically.
  void on_tick();
  /// Handles a change of the members: decides whether this VM uses the short or the long wait when
  /// it watches the configuration.
  void on_members();

  /// Claims the promotion of a target in the store, where one VM at a time succeeds.
  /// @param done receives the fencing token, or nothing if another VM claimed first or the outcome
  ///   of the write is unknown.
  void claim(const platform::promotion_record& record,
             std::function<void(std::optional<std::uint64_t>)> done);

 private:
  [[nodiscard]] store_mirror::observer configuration_observer();
  [[nodiscard]] store_mirror::observer target_observer();
  [[nodiscard]] store_mirror::observer vm_observer();
  [[nodiscard]] store_mirror::observer promotion_observer();
  void on_configuration(const platform::stored_object& object);
  void apply_configuration(nlohmann::json content, std::string_view source);
  void request_configuration(const vm_id& peer);
  void send_configuration(const peer_responder& respond) const;
  void on_target(const platform::stored_object& object);
  void on_target_removed(const target_id& target);
  /// Handles the refused report of a target that is not in use again after the removal time.
  void retry_later(const target_id& target, const platform::stored_object& object);
  void announce_self();
  void on_watch_question(watch_question question, const peer_responder& respond);
  /// @return the mirrors that a VM of a large data centre may read from another VM.
  [[nodiscard]] std::array<store_mirror*, 3> shared_mirrors() { return {&targets_, &vms_, &promotions_}; }

  entry_context& context_;
  peer_adapter& peers_;
  observer callbacks_;
  nlohmann::json configuration_content_;  ///< The configuration in force, unparsed.
  configuration_fetch fetch_;
  platform::object_store store_;
  store_mirror configuration_;
  store_mirror targets_;
  store_mirror vms_;
  store_mirror promotions_;
  std::map<std::string, store_version>
      own_claims_;  ///< Versions of the newest claims of this VM, by service.
  std::map<target_id, service_id> service_of_target_;
  sql::report_filter reports_;
  std::map<target_id, platform::stored_object> refused_reports_;  ///< Of listed targets that are not in use.
  bool is_announcing_ = false;
  std::optional<store_version> announced_;  ///< Version of the last record that this VM wrote.
  bool is_watcher_ = false;                 ///< This VM watches the configuration with the short wait.
  scoped_timer announce_timer_;
  scoped_timer refused_reports_timer_;
};

}  // namespace bulrushlift::entry
