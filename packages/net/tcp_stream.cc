#include "net/tcp_stream.h"

#include <ace/Event_Handler.h>
#include <ace/INET_Addr.h>
#include <ace/OS_NS_sys_socket.h>
#include <ace/Reactor.h>
#include <ace/SOCK_Connector.h>
#include <ace/SOCK_Stream.h>
#include <fmt/format.h>
#include <netinet/tcp.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstring>

namespace bulrushlift {
namespace internal {

ACE_INET_Addr to_ace(const net_address& address) {
  const bool is_v6 = address.ip.find(':') != std::string::npos;
  ACE_INET_Addr value;
  value.set(address.port, address.ip.c_str(), 1, is_v6 ? AF_INET6 : AF_INET);
  return value;
}

net_address from_ace(const ACE_INET_Addr& address) {
  std::array<char, INET6_ADDRSTRLEN> text{};
  address.get_host_addr(text.data(), static_cast<int>(text.size()));
  return {text.data(), address.get_port_number()};
}

}  // namespace internal

namespace {

constexpr std::size_t read_buffer_bytes = 64U << 10U;
// A queue that is empty keeps a buffer of this size at most.
constexpr std::size_t kept_queue_bytes = 16U << 10U;

// One buffer for all connections of the thread keeps idle connections small.
std::array<char, read_buffer_bytes>& read_buffer() {
  thread_local std::array<char, read_buffer_bytes> buffer;
  return buffer;
}

error stream_error(std::string_view action, int code) {
  return {error_kind::io_error, fmt::format("{}: {}", action, std::strerror(code))};
}

bool is_transient(int code) noexcept { return code == EWOULDBLOCK || code == EAGAIN || code == EINTR; }

void disable_delay(ACE_SOCK_Stream& stream) {
  int flag = 1;
  stream.set_option(IPPROTO_TCP, TCP_NODELAY, &flag, sizeof flag);
}

}  // namespace

class tcp_stream::io_handler : public ACE_Event_Handler, public std::enable_shared_from_this<io_handler> {
 public:
  io_handler(event_loop& loop, tcp_stream_observer& observer) : loop_(loop), observer_(&observer) {}

  void connect(const net_address& address) {
    const auto remote = internal::to_ace(address);
    ACE_SOCK_Connector connector;
    const int status = connector.connect(socket_, remote, &ACE_Time_Value::zero);
    if (status != 0 && errno != EWOULDBLOCK && errno != EINPROGRESS) {
      fail_later(stream_error("connect", errno));
      return;
    }
    socket_.enable(ACE_NONBLOCK);
    is_connecting_ = true;
    if (!register_events()) fail_later(stream_error("register", errno));
  }

  bool adopt(ACE_HANDLE handle) {
    socket_.set_handle(handle);
    disable_delay(socket_);
    is_connected_ = true;
    return register_events();
  }

  void write(std::string_view bytes) {
    if (!is_open()) return;
    if (is_connected_ && queue_.empty()) bytes.remove_prefix(send_some(bytes));
    if (bytes.empty() || !is_open()) return;
    queue_ += bytes;
    update_mask();
  }

  void pause_reading(bool is_paused) {
    is_paused_ = is_paused;
    if (is_open()) update_mask();
  }

  void set_read_limit(std::size_t bytes) {
    read_limit_ = std::clamp<std::size_t>(bytes, 1, read_buffer_bytes);
  }

  void shutdown_write() {
    if (is_open()) socket_.close_writer();
  }

  void close() {
    observer_ = nullptr;
    release();
  }

  [[nodiscard]] bool is_open() const noexcept { return socket_.get_handle() != ACE_INVALID_HANDLE; }
  [[nodiscard]] bool is_connected() const noexcept { return is_connected_ && is_open(); }
  [[nodiscard]] std::size_t queued_bytes() const noexcept { return queue_.size() - queue_start_; }
  [[nodiscard]] std::uint64_t sent_bytes() const noexcept { return sent_bytes_; }

  [[nodiscard]] ACE_HANDLE get_handle() const override { return socket_.get_handle(); }

  int handle_input(ACE_HANDLE /*handle*/) override {
    const auto self = shared_from_this();
    if (is_connecting_) return finish_connect();
    if (is_paused_ || !is_open()) return 0;
    auto& buffer = read_buffer();
    const auto n = socket_.recv(buffer.data(), read_limit_);
    if (n > 0) {
      if (observer_ != nullptr) observer_->on_bytes({buffer.data(), static_cast<std::size_t>(n)});
      return 0;
    }
    if (n < 0 && is_transient(errno)) return 0;
    fail(n == 0 ? error{error_kind::io_error, "closed by the peer"} : stream_error("receive", errno));
    return 0;
  }

  int handle_output(ACE_HANDLE /*handle*/) override {
    const auto self = shared_from_this();
    if (is_connecting_) return finish_connect();
    if (!is_open()) return 0;
    queue_start_ += send_some(std::string_view{queue_}.substr(queue_start_));
    compact_queue();
    update_mask();
    if (observer_ != nullptr) observer_->on_progress();
    return 0;
  }

  int handle_exception(ACE_HANDLE /*handle*/) override { return 0; }

  // Called only when the reactor removed this handler after an error or hang-up that came
  // while no bytes were awaited.
  int handle_close(ACE_HANDLE /*handle*/, ACE_Reactor_Mask /*mask*/) override {
    is_registered_ = false;
    fail_later({error_kind::io_error, "the connection was reset"});
    return 0;
  }

 private:
  bool register_events() {
    mask_ = is_connecting_ ? ACE_Event_Handler::CONNECT_MASK : ACE_Event_Handler::READ_MASK;
    is_registered_ = loop_.reactor().register_handler(this, mask_) == 0;
    return is_registered_;
  }

  int finish_connect() {
    int code = 0;
    int size = sizeof code;
    socket_.get_option(SOL_SOCKET, SO_ERROR, &code, &size);
    if (code != 0) {
      fail(stream_error("connect", code));
      return 0;
    }
    is_connecting_ = false;
    is_connected_ = true;
    disable_delay(socket_);
    update_mask();
    if (observer_ != nullptr) observer_->on_connected();
    return 0;
  }

  std::size_t send_some(std::string_view bytes) {
    const auto n = socket_.send(bytes.data(), bytes.size());
    if (n >= 0) {
      sent_bytes_ += static_cast<std::uint64_t>(n);
      return static_cast<std::size_t>(n);
    }
    if (!is_transient(errno)) fail_later(stream_error("send", errno));
    return 0;
  }

  void compact_queue() {
    if (queue_start_ == queue_.size()) {
      // An assignment would keep the buffer.
      if (queue_.capacity() > kept_queue_bytes) std::string{}.swap(queue_);
      queue_.clear();
      queue_start_ = 0;
    } else if (queue_start_ > queue_.size() / 2) {
      queue_.erase(0, queue_start_);
      queue_start_ = 0;
    }
  }

  void update_mask() {
    if (!is_open() || is_connecting_ || !is_registered_) return;
    ACE_Reactor_Mask wanted = ACE_Event_Handler::NULL_MASK;
    if (!is_paused_) wanted |= ACE_Event_Handler::READ_MASK;
    if (!queue_.empty()) wanted |= ACE_Event_Handler::WRITE_MASK;
    // The reactor can't remove a handler whose mask is empty; urgent data is never sent.
    if (wanted == ACE_Event_Handler::NULL_MASK) wanted = ACE_Event_Handler::EXCEPT_MASK;
    if (wanted == mask_) return;
    mask_ = wanted;
    loop_.reactor().mask_ops(this, wanted, ACE_Reactor::SET_MASK);
  }

  void fail_later(error reason) {
    loop_.post([weak = weak_from_this(), reason = std::move(reason)] {
      if (const auto self = weak.lock()) self->fail(reason);
    });
  }

  void fail(const error& reason) {
    release();
    if (auto* observer = std::exchange(observer_, nullptr)) observer->on_closed(reason);
  }

  void release() {
    if (!is_open()) return;
    if (is_registered_)
      loop_.reactor().remove_handler(this, ACE_Event_Handler::ALL_EVENTS_MASK | ACE_Event_Handler::DONT_CALL);
    socket_.close();
    is_connecting_ = false;
    // The reactor may be inside a call of this handler, so it lives until the next turn.
    loop_.post([self = shared_from_this()] {});
  }

  event_loop& loop_;
  tcp_stream_observer* observer_;
  ACE_SOCK_Stream socket_;
  ACE_Reactor_Mask mask_ = ACE_Event_Handler::NULL_MASK;
  std::string queue_;
  std::size_t queue_start_ = 0;
  std::uint64_t sent_bytes_ = 0;
  std::size_t read_limit_ = read_buffer_bytes;
  bool is_registered_ = false;
  bool is_connecting_ = false;
  bool is_connected_ = false;
  bool is_paused_ = false;
};

tcp_stream::tcp_stream(event_loop& loop, tcp_stream_observer& observer)
    : handler_(std::make_shared<io_handler>(loop, observer)) {}

tcp_stream::~tcp_stream() { handler_->close(); }

void tcp_stream::connect(const net_address& address) { handler_->connect(address); }
bool tcp_stream::adopt(int handle) { return handler_->adopt(handle); }
void tcp_stream::write(std::string_view bytes) { handler_->write(bytes); }
void tcp_stream::pause_reading(bool is_paused) { handler_->pause_reading(is_paused); }
void tcp_stream::set_read_limit(std::size_t bytes) { handler_->set_read_limit(bytes); }
void tcp_stream::read_available() {
  if (handler_->is_connected()) handler_->handle_input(handler_->get_handle());
}
void tcp_stream::shutdown_write() { handler_->shutdown_write(); }
void tcp_stream::close() { handler_->close(); }
bool tcp_stream::is_open() const noexcept { return handler_->is_open(); }
bool tcp_stream::is_connected() const noexcept { return handler_->is_connected(); }
std::size_t tcp_stream::queued_bytes() const noexcept { return handler_->queued_bytes(); }
std::uint64_t tcp_stream::sent_bytes() const noexcept { return handler_->sent_bytes(); }

}  // namespace bulrushlift
