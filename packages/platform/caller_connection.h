#pragma once

#include <functional>
#include <memory>
#include <string>

#include "net/event_loop.h"
#include "net/tcp_stream.h"
#include "platform/line_protocol.h"
#include "platform/line_reader.h"

/// @file
/// The connection of one caller: lines in, typed messages out.

namespace bulrushlift::platform {

/// Receives what a caller sends.
class caller_observer {
 public:
  virtual ~caller_observer() = default;
  virtual void on_message(caller_message message) = 0;
  /// The message exceeds the size limit; nothing more is read.
  virtual void on_oversize() = 0;
  /// The caller is gone. Called at most once, last; not after `close`.
  virtual void on_disconnected() = 0;
};

/// Messages are delivered in order from the event loop. The observer may destroy
/// the connection from any callback.
class caller_connection : private tcp_stream_observer {
 public:
  caller_connection(event_loop& loop, caller_observer& observer);

  /// Takes over an accepted descriptor.
  [[nodiscard]] bool adopt(int handle) { return stream_.adopt(handle); }

  void set_message_limit(std::size_t bytes) noexcept { limit_ = bytes; }
  void send(std::string_view lines) { stream_.write(lines); }

  /// Closes after all bytes have been sent.
  void close_when_sent();
  void close() { stream_.close(); }
  [[nodiscard]] std::size_t unsent_bytes() const noexcept { return stream_.queued_bytes(); }

 private:
  void on_bytes(std::string_view bytes) override;
  void on_progress() override;
  void on_closed(const error& reason) override;

  caller_observer& observer_;
  tcp_stream stream_;
  line_reader reader_;
  std::size_t limit_ = line_bytes;
  bool is_closing_ = false;
  std::shared_ptr<bool> is_alive_ = std::make_shared<bool>(true);

 public:
  caller_connection(const caller_connection&) = delete;
  caller_connection& operator=(const caller_connection&) = delete;
  ~caller_connection() override { *is_alive_ = false; }
};

}  // namespace bulrushlift::platform
