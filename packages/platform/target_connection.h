#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "net/event_loop.h"
#include "net/resource_budget.h"
#include "net/tcp_stream.h"
#include "platform/line_protocol.h"
#include "platform/line_reader.h"

/// @file
/// A connection to a target. It sends batches of commands and decodes the replies.

namespace bulrushlift::platform {

/// The address of a target and the identities that the start line carries.
struct target_endpoint {
  net_address address;
  service_id service;
  customer_id customer;
  target_id target;
};

/// The outcome of a batch.
struct batch_result {
  /// Replies to the commands that were answered, in the order of the batch.
  std::vector<sql::target_reply> replies;
  bool is_complete = false;        ///< Every command was answered.
  bool may_have_been_sent = true;  ///< Bytes of the batch may have reached the target.
  /// There was no memory for the rows of a reply, so they are missing.
  bool is_over_memory = false;
  std::shared_ptr<memory_reservation> reservation = nullptr;  ///< For the rows; null if they are small.
};

/// Runs one batch at a time. Each callback is called at most once, never from within `open` or
/// `run`, and never after the connection has been destroyed. A callback may destroy the
/// connection.
class target_connection : private tcp_stream_observer {
 public:
  /// Gets the reason why the session was not opened; nothing if the target accepted it.
  using open_callback = std::function<void(std::optional<sql::target_error>)>;
  using batch_callback = std::function<void(batch_result)>;
  using close_callback = std::function<void()>;

  /// @param budget counts large answers; null if they are not bounded.
  /// @param customer whose share of `budget` is used.
  explicit target_connection(event_loop& loop, resource_budget* budget = nullptr, customer_id customer = {});
  target_connection(const target_connection&) = delete;
  target_connection& operator=(const target_connection&) = delete;
  ~target_connection() override { *is_alive_ = false; }

  /// Connects to the target and starts a session.
  void open(const target_endpoint& endpoint, open_callback done);
  /// Sends the commands at once. The connection must be idle.
  /// @param done is called when all commands have been answered or the connection has ended; soon, with
  ///   nothing sent, if the connection is not open.
  void run(const std::vector<sql::target_command>& commands, batch_callback done);

  /// Sets the callback for the end of the connection while it is idle.
  void on_idle_close(close_callback callback) { on_idle_close_ = std::move(callback); }

  /// Closes the connection and calls the pending callback as if the target had closed it.
  void abort();

  /// Closes the connection without calling any callback.
  void close_silently();

  [[nodiscard]] bool is_open() const noexcept { return is_ready_ && stream_.is_open(); }
  [[nodiscard]] bool is_busy() const noexcept { return on_open_ || on_batch_; }

 private:
  void on_connected() override;
  void on_bytes(std::string_view bytes) override;
  void on_closed(const error& reason) override;
  bool on_line(std::string_view line);
  /// Reserves memory for a large answer, or drops the answer's rows if there is none.
  void reserve_for(std::size_t received);
  /// @return the result of the batch, whose state is reset.
  [[nodiscard]] batch_result take_result(bool is_complete, bool may_have_been_sent);
  void on_ready(const target_ready& message);
  void finish_open(std::optional<sql::target_error> failure);
  void report_loss();

  event_loop& loop_;
  resource_budget* budget_;
  customer_id customer_;
  tcp_stream stream_;
  line_reader reader_;
  std::string start_line_;
  open_callback on_open_;
  batch_callback on_batch_;
  close_callback on_idle_close_;
  std::size_t expected_replies_ = 0;
  std::uint64_t sent_bytes_before_batch_ = 0;
  std::vector<sql::target_reply> replies_;
  sql::target_reply current_reply_;
  std::size_t row_bytes_ = 0;  ///< Of the replies to the running batch.
  bool is_over_memory_ = false;
  std::shared_ptr<memory_reservation> reservation_;
  bool is_ready_ = false;
  std::shared_ptr<bool> is_alive_ = std::make_shared<bool>(true);
};

}  // namespace bulrushlift::platform
