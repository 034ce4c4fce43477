#include "net/http_client.h"

#include <fmt/format.h>

#include <optional>
#include <utility>

#include "net/http_codec.h"
#include "net/tcp_stream.h"

namespace bulrushlift {

class http_connection::state : public tcp_stream_observer, public std::enable_shared_from_this<state> {
 public:
  state(event_loop& loop, http_client_limits limits)
      : loop_(loop),
        stream_(loop, *this),
        parser_(limits.head_bytes, limits.body_bytes),
        receive_pause_(limits.receive_pause),
        timer_(loop) {}

  void open(const net_address& address, duration timeout, open_callback done) {
    address_ = address.str();
    on_open_ = std::move(done);
    timer_.set(timeout, [this] {
      fail({error_kind::target_unavailable, fmt::format("connection to {} timed out", address_)});
    });
    stream_.connect(address);
  }

  void send(const http_request& request, duration timeout, response_callback done) {
    if (!is_open() || on_response_) {
      refuse(std::move(done));
      return;
    }
    on_response_ = std::move(done);
    is_receiving_ = false;
    start_ = stream_.sent_bytes();
    stream_.write(serialize(request, address_));
    set_deadline(timeout);
  }

  void on_connected() override {
    const auto self = shared_from_this();
    timer_.cancel();
    if (auto done = std::exchange(on_open_, nullptr)) done({});
  }

  void on_bytes(std::string_view bytes) override {
    const auto self = shared_from_this();
    if (!on_response_) {
      fail({error_kind::protocol_error, fmt::format("{} sent bytes without a request", address_)});
      return;
    }
    input_ += bytes;
    const auto used = parser_.feed(input_);
    if (!used) {
      fail(used.error());
      return;
    }
    input_.erase(0, *used);
    if (!parser_.is_done()) {
      is_receiving_ = true;
      if (receive_pause_) set_deadline(*receive_pause_);
      return;
    }
    if (!input_.empty()) {
      fail({error_kind::protocol_error, fmt::format("{} sent more than one response", address_)});
      return;
    }
    finish();
  }

  void on_closed(const error& reason) override {
    const auto self = shared_from_this();
    if (on_response_ && parser_.finish()) {
      finish();
      return;
    }
    fail({error_kind::target_unavailable, fmt::format("connection to {}: {}", address_, reason.message)});
  }

  /// Closes the connection and reports `reason` to whoever waits.
  void fail(error reason) {
    if (is_failed_) return;
    is_failed_ = true;
    const auto self = shared_from_this();
    timer_.cancel();
    const bool was_opening = on_open_ != nullptr;
    const bool had_left = may_have_left();
    stream_.close();
    if (was_opening) {
      reason.stated_outcome = outcome::not_run;
      std::exchange(on_open_, nullptr)(tl::unexpected<error>(reason));
    } else if (auto done = std::exchange(on_response_, nullptr)) {
      reason.stated_outcome = had_left ? outcome::unknown : outcome::not_run;
      done(tl::unexpected<error>(reason));
    } else if (auto callback = std::exchange(on_close_, nullptr)) {
      callback(reason);
    }
  }

  void abandon() {
    on_open_ = nullptr;
    on_response_ = nullptr;
    on_close_ = nullptr;
    timer_.cancel();
    stream_.close();
  }

  void on_close(close_callback callback) { on_close_ = std::move(callback); }
  [[nodiscard]] bool is_open() const noexcept { return stream_.is_connected(); }
  [[nodiscard]] bool is_busy() const noexcept { return on_response_ != nullptr; }
  [[nodiscard]] bool is_receiving() const noexcept { return is_busy() && is_receiving_; }
  [[nodiscard]] bool may_have_left() const noexcept { return stream_.sent_bytes() > start_; }

 private:
  void set_deadline(duration timeout) {
    timer_.set(timeout, [this] {
      fail({error_kind::deadline_exceeded, fmt::format("no answer from {} in time", address_)});
    });
  }

  void refuse(response_callback done) {
    loop_.post([weak = weak_from_this(), done = std::move(done)] {
      if (weak.expired()) return;
      done(tl::unexpected<error>(error{error_kind::internal_error,
                                       "the connection is closed or carries another request", std::nullopt,
                                       outcome::not_run}));
    });
  }

  void finish() {
    timer_.cancel();
    auto response = parser_.release();
    const bool is_closed = response.close || !stream_.is_open();
    const auto done = std::exchange(on_response_, nullptr);
    if (is_closed) {
      is_failed_ = true;
      stream_.close();
    }
    done(std::move(response));
    if (!is_closed) return;
    if (auto callback = std::exchange(on_close_, nullptr)) {
      callback({error_kind::target_unavailable, fmt::format("{} closed the connection", address_)});
    }
  }

  event_loop& loop_;
  tcp_stream stream_;
  http_response_parser parser_;
  std::optional<duration> receive_pause_;
  scoped_timer timer_;
  std::string address_;
  std::string input_;
  std::uint64_t start_ = 0;
  open_callback on_open_;
  response_callback on_response_;
  close_callback on_close_;
  bool is_receiving_ = false;
  bool is_failed_ = false;
};

http_connection::http_connection(event_loop& loop, http_client_limits limits)
    : state_(std::make_shared<state>(loop, limits)) {}

http_connection::~http_connection() { state_->abandon(); }

void http_connection::open(const net_address& address, duration timeout, open_callback done) {
  state_->open(address, timeout, std::move(done));
}

void http_connection::send(const http_request& request, duration timeout, response_callback done) {
  state_->send(request, timeout, std::move(done));
}

void http_connection::close() { state_->fail({error_kind::target_unavailable, "closed by this process"}); }
void http_connection::on_close(close_callback callback) { state_->on_close(std::move(callback)); }
bool http_connection::is_open() const noexcept { return state_->is_open(); }
bool http_connection::is_busy() const noexcept { return state_->is_busy(); }
bool http_connection::is_receiving() const noexcept { return state_->is_receiving(); }
bool http_connection::may_have_left() const noexcept { return state_->may_have_left(); }

}  // namespace bulrushlift
