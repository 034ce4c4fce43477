#pragma once

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "net/event_loop.h"
#include "net/http_client.h"
#include "net/http_server.h"
#include "standins/database_member_json.h"
#include "standins/database_member_model.h"

/// @file
/// Serves one member of a database group over HTTP (section 4.2), for path tests and benchmarks.
///
/// Besides the requests of the design page it serves `POST /v1/log` (replication between
/// members) and two requests for tests:
///
/// - `POST /v1/faults {"pause_ms", "refuse_ms", "cut_replication", "drop_answers",
///   "replication_lag_ms"}`, all optional: delay all other requests until the pause ends; refuse
///   new connections for a time; while true, stop replication to and from other members; run
///   that many session requests without an answer; set the replication lag.
/// - `GET /v1/audit`: all applied entries, and whether a request ever carried an
///   `Authorization` header.

namespace bulrushlift::standin {

struct member_server_options {
  member_options member;
  net_address listen{"127.0.0.1", 0};
  std::map<target_id, std::string>
      peers;                   ///< Addresses of primaries, for `follow` requests that contain none.
  duration connection_cost{};  ///< Delays the first session request of a connection.
  duration statement_cost{};   ///< Time for which a statement occupies a slot before it runs.
};

class database_member_server {
 public:
  database_member_server(event_loop& loop, member_server_options options);

  /// @return the bound address, or `io_error`.
  [[nodiscard]] result<net_address> listen();

  [[nodiscard]] const database_member_model& model() const noexcept { return model_; }

 private:
  using route = void (database_member_server::*)(const http_request&, const json&, const http_responder&);
  struct waiting_poll {
    log_point after;
    time_point deadline;
    http_responder respond;
  };
  struct waiting_pull {
    pull_request request;
    time_point deadline;
    http_responder respond;
  };

  void on_request(const http_request& request, const http_responder& respond);
  void dispatch(const http_request& request, const http_responder& respond);
  void on_status(const http_request& request, const json& body, const http_responder& respond);
  void on_fence(const http_request& request, const json& body, const http_responder& respond);
  void on_promote(const http_request& request, const json& body, const http_responder& respond);
  void on_follow(const http_request& request, const json& body, const http_responder& respond);
  void on_execute(const http_request& request, const json& body, const http_responder& respond);
  void on_begin(const http_request& request, const json& body, const http_responder& respond);
  void on_commit(const http_request& request, const json& body, const http_responder& respond);
  void on_rollback(const http_request& request, const json& body, const http_responder& respond);
  void on_resolve(const http_request& request, const json& body, const http_responder& respond);
  void on_log(const http_request& request, const json& body, const http_responder& respond);
  void on_faults(const http_request& request, const json& body, const http_responder& respond);
  void on_audit(const http_request& request, const json& body, const http_responder& respond);

  void run_after_connection_cost(const http_request& request, const http_responder& respond,
                                 const std::function<void()>& work);
  void answer_session(const http_responder& respond, int status, const json& body);
  void answer_point(const json& body, const http_responder& respond, const member_result<log_point>& answer);
  void answer_status(const http_responder& respond, const member_result<member_status>& answer);
  void finish_statement(statement_ticket ticket, const std::string& id, const http_responder& respond);
  void answer_waiting_requests();
  void pull();
  void on_pull_answer(const result<http_response>& answer);

  [[nodiscard]] static route find_route(std::string_view method, std::string_view path);

  event_loop& loop_;
  member_server_options options_;
  database_member_model model_;
  http_server server_;
  net_address bound_;
  std::set<http_connection_id> open_sessions_;
  std::vector<waiting_poll> polls_;
  std::vector<waiting_pull> pulls_;
  std::unique_ptr<http_connection> primary_connection_;
  std::string primary_connection_address_;
  scoped_timer pull_timer_;
  scoped_timer waiting_timer_;
  time_point paused_until_{};
  bool is_replication_cut_ = false;
  std::uint64_t answers_to_drop_ = 0;
  bool has_seen_authorization_ = false;
};

}  // namespace bulrushlift::standin
