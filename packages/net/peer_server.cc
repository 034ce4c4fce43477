#include <unordered_map>
#include <utility>
#include <vector>

#include "net/peer_link.h"
#include "net/tcp_stream.h"
#include "peer_protocol/frame.h"

namespace bulrushlift {
namespace internal {

struct peer_server_state {
  peer_server_state(event_loop& owner, peer_server_limits bounds, peer_server::handler handler)
      : loop(owner), limits(bounds), on_message(std::move(handler)), sweep_timer(owner) {}

  void add_queued(std::size_t before, std::size_t after) {
    if (before == after) return;
    queued_bytes = queued_bytes - before + after;
    if (on_queue_change) on_queue_change(queued_bytes);
  }

  event_loop& loop;
  peer_server_limits limits;
  peer_server::handler on_message;
  peer_server::queue_callback on_queue_change;
  std::unique_ptr<tcp_listener> listener;
  std::unordered_map<std::uint64_t, std::shared_ptr<peer_server_connection>> connections;
  std::uint64_t last_id = 0;
  std::size_t queued_bytes = 0;  ///< Unsent bytes of all connections.
  std::size_t input_bytes = 0;   ///< Bytes of incomplete messages of all connections.
  scoped_timer sweep_timer;
};

void close_for_input(peer_server_state& state);

/// One link from a peer.
class peer_server_connection : public tcp_stream_observer,
                               public std::enable_shared_from_this<peer_server_connection> {
 public:
  peer_server_connection(peer_server_state& server, std::uint64_t id)
      : server_(&server), id_(id), stream_(server.loop, *this), last_progress_(server.loop.now()) {}

  [[nodiscard]] bool adopt(int handle) { return stream_.adopt(handle); }

  void on_bytes(std::string_view bytes) override {
    const auto self = shared_from_this();
    last_progress_ = server_->loop.now();
    const auto messages = reader_.feed(bytes);
    if (!messages) {
      close();
      return;
    }
    count_input(reader_.buffered_bytes());
    for (const auto& message : *messages) {
      if (server_ == nullptr) return;
      has_sent_message_ = true;
      const peer_responder respond{weak_from_this(), message.id};
      if (is_probe(message)) {
        respond(error{error_kind::protocol_error, "message without content"});
        continue;
      }
      // Copied, because the handler may destroy the server.
      const auto handler = server_->on_message;
      handler(message, respond);
    }
    if (server_ != nullptr && server_->input_bytes > server_->limits.input_bytes) close_for_input(*server_);
  }

  void on_progress() override { count_queued(); }

  void on_closed(const error& /*reason*/) override { close(); }

  void reply(const peer::envelope_t& message) {
    if (server_ == nullptr) return;
    stream_.write(encode_frame(message));
    count_queued();
    if (stream_.queued_bytes() > server_->limits.queued_bytes) close();
  }

  void close() {
    if (server_ == nullptr) return;
    const auto self = shared_from_this();
    stream_.close();
    count_input(0);
    auto& server = *std::exchange(server_, nullptr);
    server.connections.erase(id_);
    server.add_queued(std::exchange(queued_bytes_, 0), 0);
  }

  void abandon() {
    server_ = nullptr;
    stream_.close();
  }

  [[nodiscard]] bool has_sent_message() const noexcept { return has_sent_message_; }
  [[nodiscard]] std::size_t input_bytes() const noexcept { return input_bytes_; }
  [[nodiscard]] time_point last_progress() const noexcept { return last_progress_; }
  /// @return whether the connection has stopped before its first message or within a message.
  [[nodiscard]] bool is_stalled(time_point now) const {
    const bool is_due = !has_sent_message_ || input_bytes_ > 0;
    return is_due && now - last_progress_ > server_->limits.message_time;
  }

 private:
  void count_input(std::size_t bytes) {
    server_->input_bytes = server_->input_bytes - std::exchange(input_bytes_, bytes) + bytes;
  }
  void count_queued() {
    const auto bytes = stream_.queued_bytes();
    server_->add_queued(std::exchange(queued_bytes_, bytes), bytes);
  }

  peer_server_state* server_;
  std::uint64_t id_;
  tcp_stream stream_;
  frame_reader reader_;
  time_point last_progress_;
  std::size_t input_bytes_ = 0;
  std::size_t queued_bytes_ = 0;
  bool has_sent_message_ = false;
};

namespace {

constexpr duration sweep_period = std::chrono::seconds{1};

std::vector<std::shared_ptr<peer_server_connection>> copy_connections(const peer_server_state& state) {
  std::vector<std::shared_ptr<peer_server_connection>> copy;
  copy.reserve(state.connections.size());
  for (const auto& [id, connection] : state.connections) copy.push_back(connection);
  return copy;
}

void schedule_sweep(peer_server_state& state) {
  state.sweep_timer.set(sweep_period, [&state] {
    schedule_sweep(state);
    const auto now = state.loop.now();
    for (const auto& connection : copy_connections(state)) {
      if (connection->is_stalled(now)) connection->close();
    }
  });
}

/// Closes a connection that has sent no message yet, the one that has made no progress for the longest time.
void replace_idle(const peer_server_state& state) {
  std::shared_ptr<peer_server_connection> oldest;
  for (const auto& [id, each] : state.connections) {
    if (each->has_sent_message()) continue;
    if (!oldest || each->last_progress() < oldest->last_progress()) oldest = each;
  }
  if (oldest) oldest->close();
}

}  // namespace

// A peer sends a message at once, so those that have sent none and hold most are closed first.
void close_for_input(peer_server_state& state) {
  std::shared_ptr<peer_server_connection> heaviest;
  const auto weight = [](const peer_server_connection& each) {
    return std::pair{!each.has_sent_message() && each.input_bytes() > 0, each.input_bytes()};
  };
  for (const auto& [id, each] : state.connections) {
    if (!heaviest || weight(*each) > weight(*heaviest)) heaviest = each;
  }
  if (heaviest) heaviest->close();
}

}  // namespace internal

void peer_responder::operator()(peer::envelope_t reply) const {
  const auto connection = connection_.lock();
  if (!connection) return;
  reply.id = id_;
  connection->reply(reply);
}

void peer_responder::operator()(const error& failure) const {
  peer::envelope_t reply;
  reply.__set_error(to_wire(failure));
  (*this)(std::move(reply));
}

peer_server::peer_server(event_loop& loop, peer_server_limits limits, handler on_message)
    : state_(std::make_shared<internal::peer_server_state>(loop, limits, std::move(on_message))) {
  internal::schedule_sweep(*state_);
}

peer_server::~peer_server() {
  const auto connections = std::exchange(state_->connections, {});
  for (const auto& [id, connection] : connections) connection->abandon();
}

result<net_address> peer_server::listen(const net_address& address) {
  state_->listener = std::make_unique<tcp_listener>(state_->loop, [state = state_.get()](int handle) {
    if (state->connections.size() >= state->limits.connections) internal::replace_idle(*state);
    const auto id = ++state->last_id;
    auto connection = std::make_shared<internal::peer_server_connection>(*state, id);
    if (!connection->adopt(handle) || state->connections.size() >= state->limits.connections) {
      connection->abandon();
      return;
    }
    state->connections.emplace(id, std::move(connection));
  });
  return state_->listener->listen(address);
}

void peer_server::on_queue_change(queue_callback callback) { state_->on_queue_change = std::move(callback); }

std::size_t peer_server::connection_count() const noexcept { return state_->connections.size(); }

}  // namespace bulrushlift
