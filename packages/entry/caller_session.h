#pragma once

#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "entry/budget_adapter.h"
#include "entry/entry_context.h"
#include "entry/statement_router.h"
#include "platform/caller_connection.h"
#include "sql/session_state.h"

/// @file
/// The session of one caller: authenticates the caller, stores its session values, prepared
/// statements and transaction, and submits its statements to the router.

namespace bulrushlift::entry {

class caller_session : private platform::caller_observer {
 public:
  /// Called once when the session has ended. The session must not be destroyed from within the
  /// callback, but may be in a later turn of the event loop.
  using end_callback = std::function<void(caller_session&)>;

  caller_session(entry_context& context, statement_router& router, budget_adapter& budgets,
                 end_callback on_end);
  caller_session(const caller_session&) = delete;
  caller_session& operator=(const caller_session&) = delete;
  ~caller_session() override;

  [[nodiscard]] account_id account() const noexcept { return account_; }
  /// Reads again after the session waited for memory.
  void resume() { update_flow(); }
  /// Closes the connection at once. An open transaction is rolled back.
  void close_by_force(close_reason reason);

  /// Takes over an accepted socket.
  /// @return whether the socket can be used.
  [[nodiscard]] bool adopt(int handle) { return connection_.adopt(handle); }

  /// @return whether the session has no pending message, running statement or transaction.
  [[nodiscard]] bool is_idle() const noexcept;
  [[nodiscard]] bool has_transaction() const noexcept { return transaction_.has_value(); }

  /// Closes the session if it has been idle for `min_idle_time` and no message of the caller waits to be
  /// read. A caller sends the first statement of an operation right after the session was opened.
  void close_if_idle(duration min_idle_time);
  /// Rolls back the open transaction unless a statement of it is running. The next statement of
  /// the caller gets an error.
  void abort_transaction(std::string_view reason);
  /// Applies a new configuration. If the key or the database was removed, closes the session when
  /// it is idle; if the key was revoked, also aborts its transaction.
  void on_configuration();
  /// Aborts a transaction that has been idle for longer than the configured limit.
  void on_tick(time_point now);

 private:
  /// Route and customer of an operation, as authorized by one configuration.
  struct access {
    std::shared_ptr<const sql::environment> environment;
    std::shared_ptr<const sql::database_route> route;
    customer_id customer;
  };

  /// A transaction that the caller has begun.
  struct transaction {
    sql::statement begin;
    access granted;
    open_transaction location;  ///< Not set until the first statement has run.
    bool has_failed = false;
    bool has_written = false;
    time_point last_used{};
  };

  void on_message(platform::caller_message message) override;
  void on_oversize() override;
  void on_received(std::size_t bytes) override;
  void on_sent() override;
  void on_disconnected() override;

  void process();
  /// Counts what the session holds, and reads on only if its share allows it.
  void update_flow();
  /// @return bytes that are kept between two statements: names, values, definitions and the open transaction.
  [[nodiscard]] std::size_t kept_bytes() const;
  [[nodiscard]] std::size_t kept_by_transaction() const;
  /// Counts a new value or definition. @return whether the session may have it; if not, it is refused.
  [[nodiscard]] bool grow_session(std::size_t added, std::size_t removed);
  /// @return whether there is memory for the rows of an answer.
  [[nodiscard]] bool has_room_for(const work_result& result);
  void handle(const platform::open_session& message);
  void handle(const platform::run_statement& message);
  void handle(const platform::malformed_statement& message);
  void handle(const platform::close_session& message);
  void handle(const platform::malformed_message& message);

  void on_begin(const sql::statement& statement);
  void on_rollback(const sql::statement& statement);
  void on_data(const sql::statement& statement);
  void on_set_value(const sql::statement& statement);
  void on_prepare(const sql::statement& statement);
  void on_deallocate(const sql::statement& statement);
  void on_failed_transaction(const sql::statement& statement);

  [[nodiscard]] std::optional<sql::caller_error> authorize(access& out) const;
  void admit(const sql::statement& statement, const access& allowed, std::function<void()> next);
  void run(const sql::statement& statement, const access& allowed);
  void on_result(const work_result& result);
  void refuse_result(const sql::statement& statement, const work_result& result);
  void take_transaction_result(const sql::statement& statement, const work_result& result);
  [[nodiscard]] sql::transaction_state state() const noexcept;
  [[nodiscard]] customer_id customer_of(const sql::environment& environment,
                                        const sql::database_route& route) const;

  void answer_complete(std::string_view signature);
  void answer_error(sql::caller_error kind, std::string_view text);
  void send_ready(std::string& lines, const std::optional<log_point>& point);
  /// Closes the session as soon as all answers have been sent.
  void close();
  /// Closes the session unless the caller has sent another message after the end of the operation.
  void close_after_operation();
  /// Refuses an operation because the VM is shutting down.
  void refuse_operation();
  void refuse_and_close(sql::caller_error kind, std::string_view text);
  void release_transaction();
  void clean_up();
  void end();

  entry_context& context_;
  statement_router& router_;
  budget_adapter& budgets_;
  end_callback on_end_;
  platform::caller_connection connection_;
  std::deque<platform::caller_message> pending_messages_;
  account_id account_;
  std::size_t pending_bytes_ = 0;
  std::size_t running_bytes_ = 0;
  std::size_t session_bytes_ = 0;
  std::string database_;
  std::string key_;
  std::shared_ptr<sql::session_state> session_ = std::make_shared<sql::session_state>();
  std::optional<transaction> transaction_;
  work_ptr running_;
  time_point last_answer_;
  bool is_open_ = false;
  bool is_busy_ = false;
  bool is_processing_ = false;
  bool is_closing_ = false;         ///< The connection closes when its last answers have been sent.
  bool is_operation_over_ = false;  ///< The last message ended an operation and was answered.
  bool has_ended_ = false;
  std::shared_ptr<bool> is_alive_ = std::make_shared<bool>(true);
};

}  // namespace bulrushlift::entry
