#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "net/event_loop.h"
#include "net/tcp_stream.h"
#include "platform/line_protocol.h"
#include "platform/line_reader.h"

/// @file
/// One connection to a target: batches of commands out, typed replies in.

namespace bulrushlift::platform {

/// Who connects to what.
struct target_endpoint {
  net_address address;
  service_id service;
  customer_id customer;
  target_id target;
};

/// Replies to the commands of a batch that were answered, in order.
struct batch_result {
  std::vector<sql::target_reply> replies;
  bool is_complete = false;   ///< Every command was answered.
  bool may_have_been_sent = true;  ///< Bytes of the batch may have reached the target.
};

/// Carries one batch at a time. Callbacks are called once each, never from within
/// `open` or `run`, and never after the destruction. They may destroy the connection.
class target_connection : private tcp_stream_observer {
 public:
  /// Gets nothing if the target accepted the session.
  using open_callback = std::function<void(std::optional<sql::target_error>)>;
  using batch_callback = std::function<void(batch_result)>;
  using close_callback = std::function<void()>;

  explicit target_connection(event_loop& loop);
  target_connection(const target_connection&) = delete;
  target_connection& operator=(const target_connection&) = delete;
  ~target_connection() override { *is_alive_ = false; }

  void open(const target_endpoint& endpoint, open_callback done);
  void run(const std::vector<sql::target_command>& commands, batch_callback done);

  /// Called when the connection ends while it is idle.
  void on_idle_close(close_callback callback) { on_idle_close_ = std::move(callback); }

  /// Closes the connection; whoever waits is told as if the target had closed it.
  void abort();

  /// Closes the connection and forgets who waits.
  void close_silently();

  [[nodiscard]] bool is_open() const noexcept { return is_ready_ && stream_.is_open(); }
  [[nodiscard]] bool is_busy() const noexcept { return on_open_ || on_batch_; }

 private:
  void on_connected() override;
  void on_bytes(std::string_view bytes) override;
  void on_closed(const error& reason) override;
  bool on_line(std::string_view line);
  void on_ready(const target_ready& message);
  void finish_open(std::optional<sql::target_error> failure);
  void fail();

  tcp_stream stream_;
  line_reader reader_;
  std::string start_line_;
  open_callback on_open_;
  batch_callback on_batch_;
  close_callback on_idle_close_;
  std::size_t expected_ = 0;
  std::uint64_t sent_before_ = 0;
  std::vector<sql::target_reply> replies_;
  sql::target_reply current_;
  bool is_ready_ = false;
  std::shared_ptr<bool> is_alive_ = std::make_shared<bool>(true);
};

}  // namespace bulrushlift::platform
