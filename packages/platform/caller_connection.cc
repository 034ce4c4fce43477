#include "platform/caller_connection.h"

namespace bulrushlift::platform {

namespace {

// Part of a message that is read at once: many connections may each hold that much before their shares are
// checked.
constexpr std::size_t read_bytes = std::size_t{16} << 10U;

}  // namespace

caller_connection::caller_connection(event_loop& loop, caller_observer& observer)
    : observer_(observer), stream_(loop, *this) {
  stream_.set_read_limit(read_bytes);
}

void caller_connection::on_bytes(std::string_view bytes) {
  if (is_closing_) return;
  const auto alive = is_alive_;
  const bool is_within_limit = reader_.feed(bytes, message_limit_, [&](std::string_view line) {
    observer_.on_message(decode_caller_line(line));
    return *alive && !is_closing_;
  });
  if (!*alive) return;
  if (is_within_limit) {
    if (!is_closing_) observer_.on_received(bytes.size());
    return;
  }
  is_oversize_ = true;
  reader_.clear();
  stream_.pause_reading(true);
  observer_.on_oversize();
}

void caller_connection::on_progress() {
  if (is_closing_ && stream_.queued_bytes() == 0) {
    stream_.close();
    observer_.on_disconnected();
    return;
  }
  observer_.on_sent();
}

void caller_connection::pause_reading(bool is_paused) {
  if (is_closing_ || is_oversize_ || is_paused == is_paused_) return;
  is_paused_ = is_paused;
  stream_.pause_reading(is_paused);
}

void caller_connection::on_closed(const error& /*reason*/) { observer_.on_disconnected(); }

void caller_connection::close_when_sent() {
  is_closing_ = true;
  reader_.clear();
  if (stream_.queued_bytes() > 0) return;
  stream_.close();
}

}  // namespace bulrushlift::platform
