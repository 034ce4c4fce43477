#include <ace/Event_Handler.h>
#include <ace/INET_Addr.h>
#include <ace/Reactor.h>
#include <ace/SOCK_Acceptor.h>
#include <ace/SOCK_Stream.h>
#include <fmt/format.h>
#include <linux/filter.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <array>
#include <cerrno>
#include <cstring>

#include "base/log.h"
#include "net/tcp_stream.h"

namespace bulrushlift {
namespace {

constexpr int listen_backlog = 1'024;
// Bounds the time that new connections take from open ones in one turn.
constexpr int accepts_per_turn = 64;
// While descriptors are exhausted, the waiting connection would wake the loop at once.
constexpr auto accept_pause = std::chrono::milliseconds{100};
// Handshakes that have begun complete within this time, also between regions.
constexpr auto handshake_time = std::chrono::milliseconds{300};

/// Drops the segments that open a connection, so that none is opened between the last accept and the close of
/// the listener, which resets those that wait. Handshakes that have begun complete.
/// @return whether the kernel accepted the filter.
bool drop_new_connections(ACE_HANDLE listener) {
  constexpr unsigned flags_offset = 13;  // Of the flags in the TCP header, with which the kernel begins.
  constexpr unsigned drop = 0;           // Bytes of the segment that are kept.
  constexpr unsigned pass = 0xffffffff;
  std::array<sock_filter, 5> program{{
      BPF_STMT(BPF_LD | BPF_B | BPF_ABS, flags_offset),
      BPF_STMT(BPF_ALU | BPF_AND | BPF_K, TH_SYN | TH_ACK),
      BPF_JUMP(BPF_JMP | BPF_JEQ | BPF_K, TH_SYN, 0, 1),
      BPF_STMT(BPF_RET | BPF_K, drop),
      BPF_STMT(BPF_RET | BPF_K, pass),
  }};
  const sock_fprog filter{program.size(), program.data()};
  return setsockopt(listener, SOL_SOCKET, SO_ATTACH_FILTER, &filter, sizeof filter) == 0;
}

}  // namespace

class tcp_listener::accept_handler : public ACE_Event_Handler,
                                     public std::enable_shared_from_this<accept_handler> {
 public:
  accept_handler(event_loop& loop, accept_callback on_accept)
      : loop_(loop), on_accept_(std::move(on_accept)) {}

  result<net_address> listen(const net_address& address) {
    if (acceptor_.open(internal::to_ace(address), 1, PF_UNSPEC, listen_backlog) != 0) return failure(address);
    acceptor_.enable(ACE_NONBLOCK);
    ACE_INET_Addr bound;
    if (acceptor_.get_local_addr(bound) != 0) return failure(address);
    if (loop_.reactor().register_handler(this, ACE_Event_Handler::ACCEPT_MASK) != 0) return failure(address);
    return internal::from_ace(bound);
  }

  void stop() {
    if (acceptor_.get_handle() == ACE_INVALID_HANDLE || is_stopping_) return;
    if (!drop_new_connections(acceptor_.get_handle())) {
      log_info("listener_not_filtered", {{"reason", std::strerror(errno)}});
      accept_all_and_close();
      return;
    }
    is_stopping_ = true;
    loop_.schedule(handshake_time, [weak = weak_from_this()] {
      if (const auto self = weak.lock()) self->accept_all_and_close();
    });
    accept_up_to(listen_backlog);
  }

  [[nodiscard]] bool is_stopping() const noexcept { return is_stopping_; }

  void close() {
    on_accept_ = nullptr;
    is_stopping_ = false;
    if (acceptor_.get_handle() == ACE_INVALID_HANDLE) return;
    loop_.reactor().remove_handler(this, ACE_Event_Handler::ALL_EVENTS_MASK | ACE_Event_Handler::DONT_CALL);
    acceptor_.close();
    loop_.post([self = shared_from_this()] {});
  }

  [[nodiscard]] ACE_HANDLE get_handle() const override { return acceptor_.get_handle(); }

  int handle_input(ACE_HANDLE /*handle*/) override {
    accept_up_to(accepts_per_turn);
    return 0;
  }

  int handle_close(ACE_HANDLE /*handle*/, ACE_Reactor_Mask /*mask*/) override { return 0; }

 private:
  void accept_all_and_close() {
    if (acceptor_.get_handle() != ACE_INVALID_HANDLE) accept_up_to(listen_backlog);
    close();
  }

  void accept_up_to(int count) {
    const auto self = shared_from_this();
    for (int i = 0; i < count; ++i) {
      ACE_SOCK_Stream stream;
      if (acceptor_.accept(stream, nullptr, nullptr, false) != 0) {
        if (errno == EMFILE || errno == ENFILE) pause();
        break;
      }
      stream.enable(ACE_NONBLOCK);
      if (on_accept_) {
        on_accept_(stream.get_handle());
      } else {
        stream.close();
      }
    }
  }

  [[nodiscard]] static tl::unexpected<error> failure(const net_address& address) {
    return make_error(error_kind::io_error,
                      fmt::format("cannot listen on {}: {}", address.str(), std::strerror(errno)));
  }

  void pause() {
    log_error("accept_paused", {{"reason", "no descriptor is free"}});
    loop_.reactor().remove_handler(this, ACE_Event_Handler::ACCEPT_MASK | ACE_Event_Handler::DONT_CALL);
    loop_.schedule(accept_pause, [weak = weak_from_this()] {
      const auto self = weak.lock();
      if (!self || self->get_handle() == ACE_INVALID_HANDLE) return;
      self->loop_.reactor().register_handler(self.get(), ACE_Event_Handler::ACCEPT_MASK);
    });
  }

  event_loop& loop_;
  accept_callback on_accept_;
  ACE_SOCK_Acceptor acceptor_;
  bool is_stopping_ = false;
};

tcp_listener::tcp_listener(event_loop& loop, accept_callback on_accept)
    : handler_(std::make_shared<accept_handler>(loop, std::move(on_accept))) {}

tcp_listener::~tcp_listener() { handler_->close(); }

result<net_address> tcp_listener::listen(const net_address& address) { return handler_->listen(address); }
void tcp_listener::stop() { handler_->stop(); }
bool tcp_listener::is_stopping() const noexcept { return handler_->is_stopping(); }
void tcp_listener::close() { handler_->close(); }

}  // namespace bulrushlift
