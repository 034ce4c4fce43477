#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "net/event_loop.h"
#include "net/tcp_stream.h"

/// @file
/// A stand-in for a database service of the operators' platform: a primary and replicas
/// that speak the line protocol, on one event loop. Follows the protocol's page and is
/// independent of the product's own codec.

namespace bulrushlift {

/// One statement that a target executed.
struct database_run {
  std::string target;
  std::string customer;
  std::string id;
  std::string text;
  std::map<std::string, std::string> values;  ///< Session variables when the statement ran.
  bool is_in_transaction = false;
  std::uint64_t connection = 0;
  std::uint64_t transaction = 0;  ///< Number of the transaction among those of all targets; 0 outside of one.
};

/// One commit that a target applied.
struct database_commit {
  std::string target;
  std::string id;  ///< Id of the commit, or of a write outside a transaction.
  std::map<std::string, std::string> writes;
};

/// Faults to inject at one target. Each affected statement lowers its counter by one.
struct database_faults {
  int lost_answers = 0;    ///< Statements to run without an answer; the connection is closed.
  int refused_begins = 0;  ///< BEGIN statements to answer with LAGGING.
  int failed_reads = 0;    ///< READ statements to answer with FAILED; a transaction fails with them.
  int failed_setups = 0;   ///< SET and RESET statements to answer with FAILED, without effect.
  int failed_percent = 0;  ///< Of the statements, chosen at random, to answer with FAILED, without effect.
  bool is_silent = false;  ///< Accepts connections but ignores all their lines.
};

/// What happens to a STATUS, PAUSE or RESUME at one target.
struct control_fate {
  bool is_busy = false;  ///< It is answered with BUSY, without effect.
  duration delay{};      ///< If set, it gets no answer and takes effect after this time.
};

class session_database {
 public:
  using control_decision = std::function<control_fate(const std::string& member, const std::string& verb)>;

  /// Listens on one loopback port for each member. Throws `std::runtime_error` if that fails.
  /// @param members ids of the targets; the first one is the primary.
  session_database(event_loop& loop, std::string service, std::vector<std::string> members);
  session_database(const session_database&) = delete;
  session_database& operator=(const session_database&) = delete;
  ~session_database();

  [[nodiscard]] std::string address_of(const std::string& member) const;
  [[nodiscard]] const std::string& service() const noexcept { return service_; }
  [[nodiscard]] const std::string& primary() const noexcept { return primary_; }
  [[nodiscard]] std::vector<std::string> members() const;
  [[nodiscard]] const std::vector<database_run>& runs() const noexcept { return runs_; }
  /// Sets the callback that receives each commit before the commit is answered.
  void on_commit(std::function<void(const database_commit&)> callback) { on_commit_ = std::move(callback); }
  [[nodiscard]] database_faults& faults_of(const std::string& member) { return faults_[member]; }

  /// Makes a member the primary of the next term. Replication then copies its data to the
  /// other members, also to those on which it was paused.
  void promote(const std::string& member);

  /// From now on commits are answered only once a replica has received them.
  void require_replica() { is_synchronous_ = true; }
  /// Sets the callback that decides what happens to each STATUS, PAUSE and RESUME.
  void on_control(control_decision decide) { decide_control_ = std::move(decide); }
  /// @return whether a PAUSE keeps a member from receiving commits.
  [[nodiscard]] bool is_paused(const std::string& member) const;

  /// Closes all open connections to a member.
  void close_connections(const std::string& member);

  /// Pauses or resumes replication. While it is paused, replicas keep their current data and log point.
  void set_replicating(bool is_replicating);

  /// @return the value of an item at the primary, or an empty string if the item doesn't exist.
  [[nodiscard]] std::string value_of(const std::string& item) const;

 private:
  struct member_state;
  struct connection;

  void replicate();
  /// Answers the commits that a replica has received meanwhile, and closes those whose target leads no more.
  void answer_commits();
  [[nodiscard]] bool has_replica(const member_state& source, std::uint64_t position) const;
  void run_control(member_state& member, const std::string& verb, std::uint64_t term);
  /// @return the answer, or nothing if the command gets none.
  [[nodiscard]] std::optional<std::string> answer_control(member_state& member, const std::string& verb,
                                                          std::string_view term);
  void close(connection& closed);
  void on_line(connection& from, std::string_view line);
  void on_start(connection& from, std::string_view rest);
  void on_query(connection& from, std::string_view rest);
  [[nodiscard]] std::string run(connection& from, const std::string& id, std::string text);
  /// @return whether a fault makes the target fail the statement.
  [[nodiscard]] bool is_failed(const connection& from, const std::string& id, std::string_view verb);
  [[nodiscard]] std::string run_data(connection& from, const std::string& id, const std::string& text);
  [[nodiscard]] std::string commit(connection& from, const std::string& id);
  [[nodiscard]] std::string ready_line(const connection& from) const;

  event_loop& loop_;
  std::string service_;
  std::string primary_;
  std::uint64_t term_ = 1;
  bool is_replicating_ = true;
  bool is_synchronous_ = false;
  control_decision decide_control_;
  std::map<std::string, std::unique_ptr<member_state>> members_;
  std::map<std::string, database_faults> faults_;
  std::map<std::uint64_t, std::unique_ptr<connection>> connections_;
  std::vector<database_run> runs_;
  std::function<void(const database_commit&)> on_commit_;
  std::uint64_t last_connection_ = 0;
  std::uint64_t last_transaction_ = 0;
  std::mt19937_64 random_{1};
};

}  // namespace bulrushlift
