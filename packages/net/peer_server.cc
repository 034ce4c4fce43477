#include <unordered_map>
#include <utility>

#include "net/peer_link.h"
#include "net/tcp_stream.h"
#include "peer_protocol/frame.h"

namespace bulrushlift {
namespace internal {

struct peer_server_state {
  peer_server_state(event_loop& owner, peer_server_limits bounds, peer_server::handler handler)
      : loop(owner), limits(bounds), on_message(std::move(handler)) {}

  event_loop& loop;
  peer_server_limits limits;
  peer_server::handler on_message;
  std::unique_ptr<tcp_listener> listener;
  std::unordered_map<std::uint64_t, std::shared_ptr<peer_server_connection>> connections;
  std::uint64_t last_id = 0;
};

/// One link from a peer.
class peer_server_connection : public tcp_stream_observer,
                               public std::enable_shared_from_this<peer_server_connection> {
 public:
  peer_server_connection(peer_server_state& server, std::uint64_t id)
      : server_(&server), id_(id), stream_(server.loop, *this) {}

  [[nodiscard]] bool adopt(int handle) { return stream_.adopt(handle); }

  void on_bytes(std::string_view bytes) override {
    const auto self = shared_from_this();
    const auto messages = reader_.feed(bytes);
    if (!messages) {
      close();
      return;
    }
    for (const auto& message : *messages) {
      if (server_ == nullptr) return;
      const peer_responder respond{weak_from_this(), message.id};
      if (is_probe(message)) {
        respond(error{error_kind::protocol_error, "message without content"});
        continue;
      }
      // Copied, because the handler may destroy the server.
      const auto handler = server_->on_message;
      handler(message, respond);
    }
  }

  void on_closed(const error& /*reason*/) override { close(); }

  void reply(const peer::envelope_t& message) {
    if (server_ == nullptr) return;
    stream_.write(encode_frame(message));
    if (stream_.queued_bytes() > server_->limits.queued_bytes) close();
  }

  void close() {
    if (server_ == nullptr) return;
    const auto self = shared_from_this();
    stream_.close();
    std::exchange(server_, nullptr)->connections.erase(id_);
  }

  void abandon() {
    server_ = nullptr;
    stream_.close();
  }

 private:
  peer_server_state* server_;
  std::uint64_t id_;
  tcp_stream stream_;
  frame_reader reader_;
};

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
    : state_(std::make_shared<internal::peer_server_state>(loop, limits, std::move(on_message))) {}

peer_server::~peer_server() {
  const auto connections = std::exchange(state_->connections, {});
  for (const auto& [id, connection] : connections) connection->abandon();
}

result<net_address> peer_server::listen(const net_address& address) {
  state_->listener = std::make_unique<tcp_listener>(state_->loop, [state = state_.get()](int handle) {
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

std::size_t peer_server::connection_count() const noexcept { return state_->connections.size(); }

}  // namespace bulrushlift
