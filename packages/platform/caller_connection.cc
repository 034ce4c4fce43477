#include "platform/caller_connection.h"

namespace bulrushlift::platform {

caller_connection::caller_connection(event_loop& loop, caller_observer& observer)
    : observer_(observer), stream_(loop, *this) {}

void caller_connection::on_bytes(std::string_view bytes) {
  if (is_closing_) return;
  const auto alive = is_alive_;
  const bool is_within_limit = reader_.feed(bytes, message_limit_, [&](std::string_view line) {
    observer_.on_message(decode_caller_line(line));
    return *alive && !is_closing_;
  });
  if (!*alive || is_within_limit) return;
  stream_.pause_reading(true);
  observer_.on_oversize();
}

void caller_connection::on_progress() {
  if (is_closing_ && stream_.queued_bytes() == 0) {
    stream_.close();
    observer_.on_disconnected();
  }
}

void caller_connection::on_closed(const error& /*reason*/) { observer_.on_disconnected(); }

void caller_connection::close_when_sent() {
  is_closing_ = true;
  if (stream_.queued_bytes() > 0) return;
  stream_.close();
}

}  // namespace bulrushlift::platform
