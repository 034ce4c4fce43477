#pragma once

#include <functional>
#include <map>
#include <optional>

#include "entry/connection_pool.h"
#include "entry/entry_context.h"
#include "entry/store_mirror.h"
#include "fleet/confirmation_monitor.h"
#include "platform/object_store.h"
#include "sql/evacuation_set.h"

/// @file
/// Reads which data centres are evacuated, applies that to the directories of targets and to the open
/// connections, and tells when this VM has nothing left there.
///
/// Two VMs watch the store with a short wait. The others take the set from heartbeats, which carry it with
/// its position in the store's history, and list the store if no VM has read it lately.

namespace bulrushlift::entry {

class evacuation_adapter {
 public:
  /// @param on_change called after the directories have been changed.
  evacuation_adapter(entry_context& context, peer_adapter& peers, connection_pool& pool,
                     std::function<void()> on_change);

  /// Starts to read the store. Without a bound in the settings nothing is read, now or later.
  void start();
  /// @return whether the set is known, or evacuations are not watched at all.
  [[nodiscard]] bool is_ready() const noexcept;

  /// @return what heartbeats tell the other VMs.
  [[nodiscard]] std::optional<sql::evacuation_status> status() const;
  /// Handles what another VM's heartbeat told.
  void on_status_received(const sql::evacuation_status& status);
  /// Chooses the VMs that watch with the short wait. Call when the members changed.
  void on_members();
  /// Applies the set to the directory of a service whose targets changed.
  void on_targets(const service_id& service);
  /// Lists the store if no VM has read it lately, closes connections, and reports progress. Call
  /// periodically.
  void on_tick();

 private:
  /// Progress of one evacuation at this VM.
  struct progress {
    time_point started{};
    bool is_done = false;
  };

  [[nodiscard]] store_mirror::observer mirror_observer();
  [[nodiscard]] bool is_watched() const noexcept;
  void apply(const store_version& position, const sql::data_centre_set& stored);
  void log_changes(const sql::data_centre_set& before);
  void log_kept() const;
  void close_connections();
  void report_progress();
  /// @return whether a target of the data centre leads a service that has targets elsewhere.
  [[nodiscard]] bool has_primary_in(const data_centre_id& data_centre) const;
  [[nodiscard]] std::size_t connections_to(const data_centre_id& data_centre) const;

  entry_context& context_;
  connection_pool& pool_;
  std::function<void()> on_change_;
  platform::object_store store_;
  store_mirror mirror_;
  sql::data_centre_set listed_;  ///< As the mirror reported them, until its position is final.
  confirmation_monitor confirmations_;
  std::map<data_centre_id, progress> progress_;
  bool is_watcher_ = false;
};

}  // namespace bulrushlift::entry
