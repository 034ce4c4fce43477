#include "net/http_client.h"

#include <catch2/catch.hpp>
#include <memory>
#include <string>

#include "net/tcp_stream.h"

using namespace bulrushlift;
using namespace std::chrono_literals;

namespace {

// Timeout of the requests; the first part of a response must arrive within it.
constexpr duration request_timeout = 2s;

/// Accepts one connection and sends what the test tells it to, whatever it receives.
class scripted_server : public tcp_stream_observer {
 public:
  explicit scripted_server(event_loop& loop)
      : stream_(loop, *this), listener_(loop, [this](int handle) { is_adopted = stream_.adopt(handle); }) {
    const auto bound = listener_.listen({"127.0.0.1", 0});
    REQUIRE(bound);
    address = *bound;
  }

  void on_bytes(std::string_view /*bytes*/) override { has_request = true; }
  void on_closed(const error& /*reason*/) override {}

  void send(std::string_view bytes) { stream_.write(bytes); }

  net_address address;
  bool is_adopted = false;
  bool has_request = false;

 private:
  tcp_stream stream_;
  tcp_listener listener_;
};

/// Sends a request and receives the first part of its response.
struct partial_response {
  explicit partial_response(std::optional<duration> receive_pause)
      : connection(loop, {16U << 10U, 4U << 20U, receive_pause}) {
    connection.open(server.address, request_timeout, [this](const result<void>& opened) {
      REQUIRE(opened);
      connection.send({.target = "/"}, request_timeout, [this](result<http_response> answer) {
        response = std::move(answer);
        is_complete = true;
      });
    });
    run_until([this] { return server.has_request; });
    CHECK(server.is_adopted);
    CHECK_FALSE(connection.is_receiving());
    server.send("HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\nhalf");
    run_until([this] { return connection.is_receiving() || is_complete; });
  }

  template <class Condition>
  void run_until(Condition condition) {
    const auto end = loop.now() + 60s;
    while (!condition() && loop.now() < end) loop.run_for(2ms);
    REQUIRE(condition());
  }

  event_loop loop;
  scripted_server server{loop};
  http_connection connection;
  result<http_response> response;
  bool is_complete = false;
};

// Guards against a large response that never arrives because its transfer takes longer than the timeout.
TEST_CASE("a response that is arriving may take longer than the timeout") {
  partial_response it{60s};
  it.loop.run_for(request_timeout + 100ms);
  CHECK_FALSE(it.is_complete);
  it.server.send("full");
  it.run_until([&] { return it.is_complete; });
  REQUIRE(it.response);
  CHECK(it.response->body == "halffull");
  CHECK_FALSE(it.connection.is_receiving());
}

// Guards against a connection that becomes silent within a response and is waited for without end.
TEST_CASE("a pause within a response ends the request") {
  partial_response it{50ms};
  it.run_until([&] { return it.is_complete; });
  CHECK(it.response.error().kind == error_kind::deadline_exceeded);
  CHECK_FALSE(it.connection.is_open());
}

}  // namespace
