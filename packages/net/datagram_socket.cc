#include "net/datagram_socket.h"

#include <ace/Event_Handler.h>
#include <ace/INET_Addr.h>
#include <ace/Reactor.h>
#include <ace/SOCK_Dgram.h>
#include <fmt/format.h>

#include <array>
#include <cerrno>
#include <cstring>

#include "net/tcp_stream.h"

namespace bulrushlift {
namespace {

// The largest UDP payload; longer datagrams do not exist.
constexpr std::size_t datagram_bytes = 65'535;
// Bounds the time that datagrams take from connections in one turn.
constexpr int datagrams_per_turn = 64;

}  // namespace

class datagram_socket::socket_handler : public ACE_Event_Handler,
                                        public std::enable_shared_from_this<socket_handler> {
 public:
  socket_handler(event_loop& loop, handler on_datagram) : loop_(loop), on_datagram_(std::move(on_datagram)) {}

  result<net_address> open(const net_address& address) {
    const auto local = internal::to_ace(address);
    if (socket_.open(local, local.get_type()) != 0) return failure(address);
    socket_.enable(ACE_NONBLOCK);
    ACE_INET_Addr bound;
    if (socket_.get_local_addr(bound) != 0) return failure(address);
    if (loop_.reactor().register_handler(this, ACE_Event_Handler::READ_MASK) != 0) return failure(address);
    return internal::from_ace(bound);
  }

  void send(const net_address& to, std::string_view bytes) {
    if (socket_.get_handle() == ACE_INVALID_HANDLE) return;
    socket_.send(bytes.data(), bytes.size(), internal::to_ace(to));
  }

  void close() {
    on_datagram_ = nullptr;
    if (socket_.get_handle() == ACE_INVALID_HANDLE) return;
    loop_.reactor().remove_handler(this, ACE_Event_Handler::ALL_EVENTS_MASK | ACE_Event_Handler::DONT_CALL);
    socket_.close();
    loop_.post([self = shared_from_this()] {});
  }

  [[nodiscard]] ACE_HANDLE get_handle() const override { return socket_.get_handle(); }

  int handle_input(ACE_HANDLE /*handle*/) override {
    const auto self = shared_from_this();
    static thread_local std::array<char, datagram_bytes> buffer;
    for (int i = 0; i < datagrams_per_turn && on_datagram_; ++i) {
      ACE_INET_Addr from;
      const auto n = socket_.recv(buffer.data(), buffer.size(), from);
      if (n < 0) break;
      // Copied, because the callback may destroy the socket.
      const auto callback = on_datagram_;
      callback(internal::from_ace(from), {buffer.data(), static_cast<std::size_t>(n)});
    }
    return 0;
  }

  int handle_close(ACE_HANDLE /*handle*/, ACE_Reactor_Mask /*mask*/) override { return 0; }

 private:
  [[nodiscard]] static tl::unexpected<error> failure(const net_address& address) {
    return make_error(error_kind::io_error,
                      fmt::format("cannot bind {}: {}", address.str(), std::strerror(errno)));
  }

  event_loop& loop_;
  handler on_datagram_;
  ACE_SOCK_Dgram socket_;
};

datagram_socket::datagram_socket(event_loop& loop, handler on_datagram)
    : handler_(std::make_shared<socket_handler>(loop, std::move(on_datagram))) {}

datagram_socket::~datagram_socket() { handler_->close(); }

result<net_address> datagram_socket::open(const net_address& address) { return handler_->open(address); }

void datagram_socket::send(const net_address& to, std::string_view bytes) { handler_->send(to, bytes); }

}  // namespace bulrushlift
