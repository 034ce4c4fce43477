#include "standins/fault_proxy.h"

#include <unistd.h>

#include <deque>
#include <stdexcept>
#include <utility>

namespace bulrushlift {

class fault_proxy::connection : public std::enable_shared_from_this<connection> {
 public:
  connection(fault_proxy& owner, std::uint64_t id)
      : number(id),
        owner_(owner),
        delay_(owner.delay_),
        client_endpoint_(*this),
        destination_endpoint_(*this),
        client_stream_(owner.loop_, client_endpoint_),
        destination_stream_(owner.loop_, destination_endpoint_) {}

  bool start(int handle) {
    if (!client_stream_.adopt(handle)) return false;
    destination_stream_.connect(owner_.destination_);
    return true;
  }
  void blackhole() noexcept { is_blackholed_ = true; }
  void close() {
    client_stream_.close();
    destination_stream_.close();
  }

  const std::uint64_t number;

 private:
  struct endpoint : tcp_stream_observer {
    explicit endpoint(connection& parent) : owner(parent) {}
    void on_bytes(std::string_view bytes) override { owner.forward(*this, bytes); }
    void on_closed(const error& /*reason*/) override { owner.close_both(); }
    connection& owner;
    std::deque<std::string> delayed =
        {};  ///< Chunks received from this endpoint and not yet forwarded, oldest first.
  };

  void forward(endpoint& from, std::string_view bytes) {
    const bool is_answer = &from == &destination_endpoint_;
    if (is_blackholed_ || (is_answer && owner_.are_answers_lost_)) return;
    auto& to = is_answer ? client_stream_ : destination_stream_;
    if (delay_ <= duration::zero()) {
      to.write(bytes);
      return;
    }
    from.delayed.emplace_back(bytes);
    owner_.loop_.schedule(delay_, [self = shared_from_this(), &from, &to] {
      const auto text = std::move(from.delayed.front());
      from.delayed.pop_front();
      if (!self->is_blackholed_ && to.is_open()) to.write(text);
    });
  }

  void close_both() {
    if (is_blackholed_) return;
    close();
    owner_.remove(*this);
  }

  fault_proxy& owner_;
  duration delay_;
  endpoint client_endpoint_;
  endpoint destination_endpoint_;
  tcp_stream client_stream_;
  tcp_stream destination_stream_;
  bool is_blackholed_ = false;
};

fault_proxy::fault_proxy(event_loop& loop, net_address destination)
    : loop_(loop),
      destination_(std::move(destination)),
      listener_(loop, [this](int handle) { accept(handle); }) {
  const auto bound = listener_.listen({"127.0.0.1", 0});
  if (!bound) throw std::runtime_error{bound.error().message};
  address_ = *bound;
}

fault_proxy::~fault_proxy() { close_connections(); }

void fault_proxy::accept(int handle) {
  if (is_refusing_) {
    ::close(handle);
    return;
  }
  const auto accepted = std::make_shared<connection>(*this, ++last_connection_);
  if (accepted->start(handle)) connections_.emplace(accepted->number, accepted);
}

void fault_proxy::remove(connection& closed) {
  const auto node = connections_.extract(closed.number);
  // The connection may be running its own callback, so it is destroyed later, by the event loop.
  if (!node.empty()) loop_.post([last = node.mapped()] {});
}

void fault_proxy::blackhole_connections() {
  for (const auto& [number, each] : connections_) each->blackhole();
}

void fault_proxy::close_connections() {
  for (const auto& [number, each] : std::exchange(connections_, {})) {
    each->close();
    loop_.post([last = each] {});
  }
}

}  // namespace bulrushlift
