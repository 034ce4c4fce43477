#include <ace/INET_Addr.h>
#include <ace/SOCK_Connector.h>
#include <ace/SOCK_Stream.h>

#include <algorithm>
#include <array>
#include <catch2/catch.hpp>
#include <cerrno>
#include <future>
#include <list>
#include <string>
#include <vector>

#include "net/http_server.h"

// Requests that a server has not read yet when it shuts down.

namespace bulrushlift {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::string_view request = "GET /order HTTP/1.1\r\nHost: x\r\n\r\n";

/// A caller with a blocking socket, which the kernel connects and feeds while the loop stands still.
class blocking_caller {
 public:
  explicit blocking_caller(const net_address& address) {
    const ACE_INET_Addr remote{address.port, address.ip.c_str()};
    ACE_SOCK_Connector connector;
    REQUIRE(connector.connect(socket_, remote) == 0);
  }
  blocking_caller(const blocking_caller&) = delete;
  blocking_caller& operator=(const blocking_caller&) = delete;
  ~blocking_caller() { socket_.close(); }

  void send_request() {
    REQUIRE(socket_.send_n(request.data(), request.size()) == static_cast<ssize_t>(request.size()));
  }

  /// Runs the loop until an answer has arrived or the connection has ended.
  /// @return whether an answer arrived.
  bool is_answered(event_loop& loop) {
    const auto end = loop.now() + seconds{60};
    socket_.enable(ACE_NONBLOCK);
    std::array<char, 1'024> buffer{};
    while (loop.now() < end) {
      loop.run_for(milliseconds{5});
      const auto n = socket_.recv(buffer.data(), buffer.size());
      if (n > 0)
        return std::string_view{buffer.data(), static_cast<std::size_t>(n)}.find("200") !=
               std::string_view::npos;
      if (n == 0 || (errno != EWOULDBLOCK && errno != EAGAIN)) return false;
    }
    return false;
  }

 private:
  ACE_SOCK_Stream socket_;
};

struct order_server {
  /// @param first_request_time longer than any stall of the machine, unless a test waits for its end.
  explicit order_server(event_loop& loop, duration first_request_time = seconds{60})
      : server(
            loop, {.first_request_time = first_request_time},
            [](const http_request&, const http_responder& respond) { respond(json_response(200, "{}")); }) {
    const auto bound = server.listen({"127.0.0.1", 0});
    REQUIRE(bound);
    address = *bound;
  }

  http_server server;
  net_address address;
};

// Guards against resetting connections that wait to be accepted when the listener closes.
TEST_CASE("a request in the accept queue is answered when the server stops listening") {
  event_loop loop;
  order_server orders{loop};
  blocking_caller caller{orders.address};
  caller.send_request();

  orders.server.stop_listening();
  orders.server.close_after_answers();

  CHECK(caller.is_answered(loop));
}

// Guards against closing an idle connection whose next request has arrived but was not read.
TEST_CASE("an unread request on an idle connection is answered when the server closes") {
  event_loop loop;
  order_server orders{loop};
  blocking_caller caller{orders.address};
  caller.send_request();
  REQUIRE(caller.is_answered(loop));
  caller.send_request();

  orders.server.close_after_answers();

  CHECK(caller.is_answered(loop));
}

// Guards against a drain that ends while a request is on its way on a new connection.
TEST_CASE("a new connection counts as an expected request until its time is over") {
  event_loop loop;
  order_server orders{loop};
  blocking_caller caller{orders.address};
  orders.server.stop_listening();
  orders.server.close_after_answers();
  CHECK(orders.server.expected_requests() == 1);
  caller.send_request();

  CHECK(caller.is_answered(loop));
  CHECK(orders.server.expected_requests() == 0);
}

// Guards against a silent connection that delays the end of a drain.
TEST_CASE("a connection without a request is not expected to send one for ever") {
  event_loop loop;
  order_server orders{loop, milliseconds{50}};
  blocking_caller caller{orders.address};
  orders.server.stop_listening();
  const auto end = loop.now() + seconds{60};
  while (orders.server.expected_requests() > 0 && loop.now() < end) loop.run_for(milliseconds{20});

  CHECK(orders.server.expected_requests() == 0);
}

/// Sends one request after the other, each on a new connection, until no connection can be opened.
/// @return number of requests that were sent on an open connection and not answered.
int count_cut_requests(const net_address& address) {
  const ACE_INET_Addr remote{address.port, address.ip.c_str()};
  int cut = 0;
  while (true) {
    ACE_SOCK_Stream socket;
    ACE_SOCK_Connector connector;
    if (connector.connect(socket, remote) != 0) return cut;
    std::array<char, 1'024> buffer{};
    const bool is_sent = socket.send_n(request.data(), request.size()) > 0;
    if (!is_sent || socket.recv(buffer.data(), buffer.size()) <= 0) ++cut;
    socket.close();
  }
}

// Guards against resetting a connection that is opened between the last accept and the close of the listener.
// Each server has one such moment, so there are many of them.
TEST_CASE("no request is cut off while the server stops listening") {
  constexpr int server_count = 64;
  event_loop loop;
  std::list<order_server> servers;
  std::vector<std::future<int>> callers;
  for (int i = 0; i < server_count; ++i) {
    const auto& address = servers.emplace_back(loop).address;
    callers.push_back(std::async(std::launch::async, [address] { return count_cut_requests(address); }));
  }
  loop.run_for(milliseconds{100});

  for (auto& each : servers) {
    each.server.stop_listening();
    each.server.close_after_answers();
    loop.run_for(milliseconds{1});
  }
  const auto is_busy = [](order_server& each) {
    return each.server.is_stopping() || each.server.expected_requests() > 0 || each.server.queued_bytes() > 0;
  };
  while (std::any_of(servers.begin(), servers.end(), is_busy)) loop.run_for(milliseconds{20});
  servers.clear();

  int cut = 0;
  for (auto& each : callers) cut += each.get();
  CHECK(cut == 0);
}

}  // namespace
}  // namespace bulrushlift
