#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <vector>

#include "daemon/context.h"
#include "daemon/target_messages.h"
#include "database/group_controller.h"
#include "net/http_client.h"

/// @file
/// Runs the group controller of one service: polls, fences and promotes its targets over control
/// connections.

namespace bulrushlift {

/// Carries out the decisions of the group controller of one service and reports their results to it.
class group_adapter {
 public:
  struct callbacks {
    /// A second member of the group has the write at this log point.
    std::function<void(const request_id&, log_point)> on_acknowledged;
    /// No second member confirmed the write in its term before its deadline.
    std::function<void(const request_id&)> on_outcome_unknown;
    std::function<void()> on_view_changed;
    std::function<void(const publish_group_status&)> on_publish;
  };

  group_adapter(daemon_context& context, service_id service, callbacks handlers);
  group_adapter(const group_adapter&) = delete;
  group_adapter& operator=(const group_adapter&) = delete;
  ~group_adapter();

  /// Applies the targets of the service.
  /// @param leaving targets that leave the service, besides those that the document marks.
  void configure(const service& configured, const std::set<target_id>& leaving);
  /// Passes an event to the controller and carries out its actions.
  void handle(const group_event& event);
  [[nodiscard]] const group_view& view() const noexcept { return controller_.view(); }
  [[nodiscard]] std::size_t waiting_writes() const noexcept { return controller_.waiting_writes(); }

 private:
  /// A connection for control requests. It carries one request at a time.
  struct control_channel {
    std::unique_ptr<http_connection> http;
    bool is_busy = true;
  };
  using channel_list = std::vector<std::shared_ptr<control_channel>>;
  using answer_callback = std::function<void(const result<target_answer>&)>;

  void perform(const group_actions& actions);
  void run(const poll_target& action);
  void run(const long_poll_target& action);
  void run(const fence_target& action);
  void run(const promote_target& action);
  void run(const follow_target& action);
  void run(const acknowledge_write& action);
  void run(const end_write_unknown& action);
  void run(const publish_group_status& action);
  void run(const log_decision& action);

  /// Sends a request to a target and calls `done` with its answer.
  /// @param needs_new_connection whether to open a connection instead of using an idle one.
  void exchange_message(const target_id& target, http_request request, duration timeout,
                        bool needs_new_connection, answer_callback done);
  /// Like exchange_message, for a request that is answered by a status. Failures go to the controller.
  void exchange_status(exchange_id exchange, const target_id& target, http_request request, duration timeout,
                       bool needs_new_connection, std::function<void(const target_status&)> done);
  void send_on(const std::shared_ptr<control_channel>& channel, const target_id& target,
               const http_request& request, duration timeout, const answer_callback& done);
  void drop(const target_id& target, const std::shared_ptr<control_channel>& channel);
  void report_failure(exchange_id exchange, const target_id& target, const error& reason, term_id term);
  void schedule_tick();

  daemon_context& context_;
  service_id service_;
  callbacks handlers_;
  group_options options_;
  group_controller controller_;
  std::map<target_id, net_address> addresses_;
  std::map<target_id, channel_list> channels_;
  scoped_timer tick_timer_;
  /// Callbacks posted to the loop hold a weak pointer to it, which tells whether this object still exists.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace bulrushlift
