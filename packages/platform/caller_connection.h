#pragma once

#include <functional>
#include <memory>
#include <string>

#include "net/event_loop.h"
#include "net/tcp_stream.h"
#include "platform/line_protocol.h"
#include "platform/line_reader.h"

/// @file
/// The connection of one caller. It decodes the received lines into typed messages.

namespace bulrushlift::platform {

/// Receives the events of a caller's connection.
class caller_observer {
 public:
  virtual ~caller_observer() = default;
  virtual void on_message(caller_message message) = 0;
  /// A message exceeds the size limit. The connection stays open but reads nothing more.
  virtual void on_oversize() = 0;
  /// Bytes of a message that is not complete yet were received.
  /// @param bytes number of received bytes since the last call.
  virtual void on_received(std::size_t bytes) = 0;
  /// Queued bytes were sent.
  virtual void on_sent() = 0;
  /// The connection has ended. This is the last callback; it is called at most once, and
  /// not after `close`.
  virtual void on_disconnected() = 0;
};

/// Passes messages to the observer in the order in which they arrive, from the event
/// loop. The observer may destroy the connection from any callback.
class caller_connection : private tcp_stream_observer {
 public:
  caller_connection(event_loop& loop, caller_observer& observer);

  /// Takes ownership of an accepted socket.
  /// @param handle file descriptor of the socket.
  [[nodiscard]] bool adopt(int handle) { return stream_.adopt(handle); }

  /// @param bytes maximum length of a line.
  void set_message_limit(std::size_t bytes) noexcept { message_limit_ = bytes; }
  /// @param lines encoded lines with their line terminators.
  void send(std::string_view lines) { stream_.write(lines); }

  /// Handles the messages that have arrived but were not read yet.
  void read_available() { stream_.read_available(); }
  /// Closes the connection after all queued bytes have been sent, and ignores what the
  /// caller still sends.
  void close_when_sent();
  void close() { stream_.close(); }
  [[nodiscard]] std::size_t unsent_bytes() const noexcept { return stream_.queued_bytes(); }
  /// @return the bytes of an incomplete message that are buffered.
  [[nodiscard]] std::size_t buffered_bytes() const noexcept { return reader_.buffered_bytes(); }
  /// Stops or resumes reading. Has no effect after a message over the limit or `close_when_sent`.
  void pause_reading(bool is_paused);

 private:
  void on_bytes(std::string_view bytes) override;
  void on_progress() override;
  void on_closed(const error& reason) override;

  caller_observer& observer_;
  tcp_stream stream_;
  line_reader reader_;
  std::size_t message_limit_ = max_line_bytes;
  bool is_closing_ = false;
  bool is_oversize_ = false;
  bool is_paused_ = false;
  std::shared_ptr<bool> is_alive_ = std::make_shared<bool>(true);

 public:
  caller_connection(const caller_connection&) = delete;
  caller_connection& operator=(const caller_connection&) = delete;
  ~caller_connection() override { *is_alive_ = false; }
};

}  // namespace bulrushlift::platform
