#include "net/http_server.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

#include "net/http_codec.h"
#include "net/tcp_stream.h"

namespace bulrushlift {
namespace internal {

// After the last answer, unread bytes of the caller are discarded for this long. A
// close with unread bytes resets the connection, which can lose the answer.
constexpr duration linger_time = std::chrono::seconds{1};

/// Everything that the connections of one server share.
struct server_state {
  server_state(event_loop& owner, http_limits bounds, http_server::handler handler)
      : loop(owner), limits(bounds), on_request(std::move(handler)), sweep_timer(owner) {}

  event_loop& loop;
  http_limits limits;
  http_server::handler on_request;
  http_server::close_callback on_close;
  std::unique_ptr<tcp_listener> listener;
  std::unordered_map<std::uint64_t, std::shared_ptr<server_connection>> connections;
  std::uint64_t last_id = 0;
  std::size_t pending = 0;
  bool is_closing = false;
  scoped_timer sweep_timer;
};

/// One caller: reads requests, keeps the order of the answers, applies the bounds.
class server_connection : public tcp_stream_observer, public std::enable_shared_from_this<server_connection> {
 public:
  server_connection(server_state& server, http_connection_id id)
      : server_(&server),
        id_(id),
        stream_(server.loop, *this),
        parser_(server.limits.head_bytes, server.limits.body_bytes),
        accepted_at_(server.loop.now()),
        last_progress_(accepted_at_) {}

  [[nodiscard]] bool adopt(int handle) { return stream_.adopt(handle); }

  void on_bytes(std::string_view bytes) override {
    const auto self = shared_from_this();
    if (is_reading_over_) return;
    if (parser_.is_started() || !input_.empty()) {
      input_ += bytes;
      process_input();
      return;
    }
    last_progress_ = server_->loop.now();
    const auto used = process(bytes);
    if (server_ != nullptr && !is_reading_over_) input_.assign(bytes.substr(used));
  }

  void on_progress() override {
    const auto self = shared_from_this();
    last_progress_ = server_->loop.now();
    finish_if_sent();
    if (server_ == nullptr || is_reading_over_ || is_processing_) return;
    process_input();
    if (server_ != nullptr) stream_.pause_reading(is_at_limit());
  }

  void on_closed(const error& /*reason*/) override { close(); }

  void answer(std::uint64_t sequence, http_response response) {
    const auto self = shared_from_this();
    if (!is_awaited(sequence)) return;
    auto& slot = slots_[sequence - first_sequence_];
    slot.is_last = slot.is_last || response.close || server_->is_closing;
    response.close = slot.is_last;
    slot.bytes = serialize(response);
    --server_->pending;
    last_progress_ = server_->loop.now();
    flush();
    if (server_ == nullptr || is_processing_) return;
    process_input();
    if (server_ != nullptr) stream_.pause_reading(is_at_limit());
  }

  [[nodiscard]] bool is_awaited(std::uint64_t sequence) const {
    return server_ != nullptr && sequence >= first_sequence_ && sequence - first_sequence_ < slots_.size() &&
           !slots_[sequence - first_sequence_].bytes;
  }

  /// Applies the time bounds.
  void check_time(time_point now) {
    const auto& limits = server_->limits;
    if (is_lingering_) {
      if (now - last_progress_ > linger_time) close();
    } else if (stream_.queued_bytes() > 0) {
      if (now - last_progress_ > limits.send_time) close();
    } else if (!slots_.empty()) {
      return;
    } else if (parser_.is_started()) {
      if (now - last_progress_ > limits.request_time) {
        refuse({error_kind::deadline_exceeded, "the request was not received in time", std::nullopt,
                outcome::not_run});
      }
    } else if (now - last_progress_ > limits.idle_time) {
      close();
    } else if (server_->is_closing) {
      close_if_idle();
    }
  }

  /// Closes the connection unless a request is in progress, expected, or waits to be read.
  void close_if_idle() {
    const auto self = shared_from_this();
    stream_.read_available();
    if (server_ == nullptr || expects_request()) return;
    if (slots_.empty() && !parser_.is_started()) close();
  }

  /// @return whether a request is due on a connection that has not carried one.
  [[nodiscard]] bool expects_request() const {
    if (first_sequence_ > 0 || !slots_.empty() || is_reading_over_) return false;
    return parser_.is_started() || server_->loop.now() - accepted_at_ < server_->limits.first_request_time;
  }

  /// Reads what has arrived. @return whether a request is due on a connection that has not carried one.
  [[nodiscard]] bool read_and_expect_request() {
    const auto self = shared_from_this();
    if (expects_request()) stream_.read_available();
    return server_ != nullptr && expects_request();
  }

  void close() {
    if (server_ == nullptr) return;
    auto& server = *std::exchange(server_, nullptr);
    const auto self = shared_from_this();
    stream_.close();
    server.pending -= static_cast<std::size_t>(
        std::count_if(slots_.begin(), slots_.end(), [](const auto& slot) { return !slot.bytes; }));
    slots_.clear();
    server.connections.erase(id_.value());
    if (!server.on_close) return;
    const auto callback = server.on_close;
    callback(id_);
  }

  [[nodiscard]] std::size_t queued_bytes() const noexcept { return stream_.queued_bytes(); }
  [[nodiscard]] time_point last_progress() const noexcept { return last_progress_; }
  /// @return whether the connection may be closed for a new one: no answer of the server is due.
  [[nodiscard]] bool is_replaceable() const noexcept { return slots_.empty(); }

  /// The server is gone: closes without a report.
  void abandon() {
    server_ = nullptr;
    stream_.close();
  }

 private:
  /// The place of one answer in the order of the requests.
  struct answer_slot {
    std::optional<std::string> bytes;
    bool is_last = false;
  };

  void process_input() {
    if (input_.empty() || server_ == nullptr) return;
    // The handler may cause more input to be processed, so the input is taken out first.
    const auto input = std::exchange(input_, {});
    const auto used = process(input);
    if (server_ != nullptr && !is_reading_over_) input_.assign(input, used);
  }

  std::size_t process(std::string_view bytes) {
    std::size_t used = 0;
    is_processing_ = true;
    while (used < bytes.size() && server_ != nullptr && !is_reading_over_) {
      if (is_at_limit()) break;
      if (!parser_.is_started()) last_progress_ = server_->loop.now();
      const auto n = parser_.feed(bytes.substr(used));
      if (!n) {
        refuse(n.error());
        break;
      }
      used += *n;
      if (!parser_.is_done()) break;
      pass_on(parser_.release());
    }
    is_processing_ = false;
    if (server_ != nullptr) {
      stream_.pause_reading(is_at_limit());
    }
    return used;
  }

  /// @return whether no further request is handled for now.
  [[nodiscard]] bool is_at_limit() const noexcept {
    return !is_reading_over_ && (slots_.size() >= server_->limits.pipelined_requests ||
                                 stream_.queued_bytes() > server_->limits.unsent_bytes);
  }

  void pass_on(http_request request) {
    request.connection = id_;
    const auto sequence = first_sequence_ + slots_.size();
    slots_.push_back({std::nullopt, !request.keep_alive});
    is_reading_over_ = !request.keep_alive;
    ++server_->pending;
    // Copied, because the handler may destroy the server.
    const auto handler = server_->on_request;
    handler(request, http_responder{weak_from_this(), sequence});
  }

  /// Answers with an error after the answers that are still due, and closes.
  void refuse(const error& reason) {
    is_reading_over_ = true;
    const auto& traits = traits_of(reason.kind);
    const nlohmann::json body{{"request_id", ""},
                              {"error",
                               {{"kind", traits.name},
                                {"message", reason.message},
                                {"outcome", name_of(reason.request_outcome())},
                                {"retry", name_of(traits.retry)}}}};
    auto response = json_response(traits.http_status,
                                  body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
    response.close = true;
    slots_.push_back({serialize(response), true});
    flush();
  }

  void flush() {
    std::size_t sent = 0;
    while (sent < slots_.size() && slots_[sent].bytes && !is_last_sent_) {
      stream_.write(*slots_[sent].bytes);
      is_last_sent_ = slots_[sent].is_last;
      ++sent;
    }
    slots_.erase(slots_.begin(), slots_.begin() + static_cast<std::ptrdiff_t>(sent));
    first_sequence_ += sent;
    if (slots_.empty()) slots_.shrink_to_fit();
    if (is_last_sent_) is_reading_over_ = true;
    if (stream_.queued_bytes() > server_->limits.queued_bytes) {
      close();
      return;
    }
    finish_if_sent();
  }

  void finish_if_sent() {
    if (!is_last_sent_ || is_lingering_ || stream_.queued_bytes() > 0) return;
    is_lingering_ = true;
    input_.clear();
    stream_.shutdown_write();
    stream_.pause_reading(false);
  }

  server_state* server_;
  http_connection_id id_;
  tcp_stream stream_;
  http_request_parser parser_;
  std::string input_;
  std::vector<answer_slot> slots_;
  std::uint64_t first_sequence_ = 0;
  time_point accepted_at_;
  time_point last_progress_;
  bool is_processing_ = false;
  bool is_reading_over_ = false;
  bool is_last_sent_ = false;
  bool is_lingering_ = false;
};

namespace {

constexpr duration min_sweep_period = std::chrono::milliseconds{10};
constexpr duration max_sweep_period = std::chrono::seconds{1};

std::vector<std::shared_ptr<server_connection>> copy_connections(const server_state& state) {
  std::vector<std::shared_ptr<server_connection>> copy;
  copy.reserve(state.connections.size());
  for (const auto& [id, connection] : state.connections) copy.push_back(connection);
  return copy;
}

void schedule_sweep(server_state& state) {
  const auto shortest = std::min({state.limits.idle_time, state.limits.request_time, state.limits.send_time});
  const auto period = std::clamp<duration>(shortest / 4, min_sweep_period, max_sweep_period);
  state.sweep_timer.set(period, [&state] {
    // Set first, because a close callback may destroy the server and its timer.
    schedule_sweep(state);
    const auto now = state.loop.now();
    const auto connections = copy_connections(state);
    for (const auto& connection : connections) connection->check_time(now);
  });
}

void replace_idle(const server_state& state) {
  std::shared_ptr<server_connection> oldest;
  for (const auto& [id, each] : state.connections) {
    if (each->is_replaceable() && (!oldest || each->last_progress() < oldest->last_progress())) oldest = each;
  }
  if (oldest) oldest->close();
}

void accept_connection(server_state& state, int handle) {
  if (state.limits.replaces_idle && state.connections.size() >= state.limits.connections) replace_idle(state);
  const http_connection_id id{++state.last_id};
  auto connection = std::make_shared<server_connection>(state, id);
  if (!connection->adopt(handle) || state.connections.size() >= state.limits.connections) {
    connection->abandon();
    return;
  }
  state.connections.emplace(id.value(), std::move(connection));
}

}  // namespace
}  // namespace internal

void http_responder::operator()(http_response response) const {
  if (const auto connection = connection_.lock()) connection->answer(sequence_, std::move(response));
}

bool http_responder::is_awaited() const {
  const auto connection = connection_.lock();
  return connection && connection->is_awaited(sequence_);
}

http_server::http_server(event_loop& loop, http_limits limits, handler on_request)
    : state_(std::make_shared<internal::server_state>(loop, limits, std::move(on_request))) {
  internal::schedule_sweep(*state_);
}

http_server::~http_server() {
  for (const auto& connection : internal::copy_connections(*state_)) connection->abandon();
}

result<net_address> http_server::listen(const net_address& address) {
  state_->listener = std::make_unique<tcp_listener>(
      state_->loop, [state = state_.get()](int handle) { internal::accept_connection(*state, handle); });
  return state_->listener->listen(address);
}

void http_server::on_close(close_callback callback) { state_->on_close = std::move(callback); }

void http_server::stop_listening() {
  if (state_->listener) state_->listener->stop();
}

bool http_server::is_stopping() const noexcept { return state_->listener && state_->listener->is_stopping(); }

void http_server::close_after_answers() {
  state_->is_closing = true;
  for (const auto& connection : internal::copy_connections(*state_)) connection->close_if_idle();
}

std::size_t http_server::connection_count() const noexcept { return state_->connections.size(); }
std::size_t http_server::queued_bytes() const noexcept {
  std::size_t sum = 0;
  for (const auto& [id, connection] : state_->connections) sum += connection->queued_bytes();
  return sum;
}

std::size_t http_server::expected_requests() {
  std::size_t n = 0;
  for (const auto& connection : internal::copy_connections(*state_)) {
    if (connection->read_and_expect_request()) ++n;
  }
  return n;
}

std::size_t http_server::pending_requests() const noexcept { return state_->pending; }

}  // namespace bulrushlift
