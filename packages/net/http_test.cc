#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "net/http_client.h"
#include "net/http_server.h"
#include "net/tcp_stream.h"

using namespace bulrushlift;
using namespace std::chrono_literals;

namespace {

/// Runs the loop until the condition holds, under a generous bound.
template <class Condition>
void run_until(event_loop& loop, Condition condition) {
  const auto end = loop.now() + 60s;
  while (!condition() && loop.now() < end) loop.run_for(2ms);
  REQUIRE(condition());
}

/// A caller that sends raw bytes and keeps all that it gets.
class raw_caller : public tcp_stream_observer {
 public:
  raw_caller(event_loop& loop, const net_address& address) : loop_(loop), stream(loop, *this) {
    stream.connect(address);
  }

  void on_connected() override { loop_.stop(); }
  void on_bytes(std::string_view bytes) override {
    received += bytes;
    if (!awaited.empty() && received.find(awaited) != std::string::npos) loop_.stop();
  }
  void on_closed(const error& /*reason*/) override {
    is_closed = true;
    loop_.stop();
  }

  void send_and_await(std::string_view bytes, std::string text) {
    awaited = std::move(text);
    stream.write(bytes);
    loop_.run_for(20s);
  }

 private:
  event_loop& loop_;

 public:
  tcp_stream stream;
  std::string received;
  std::string awaited;
  bool is_closed = false;
};

struct echo_server {
  explicit echo_server(event_loop& loop, http_limits limits = {})
      : server(loop, limits, [this](const http_request& request, const http_responder& respond) {
          if (request.target == "/later") {
            later.push_back(respond);
            return;
          }
          respond(json_response(200, request.target + request.body));
        }) {
    auto bound = server.listen({"127.0.0.1", 0});
    REQUIRE(bound);
    address = *bound;
    server.on_close([this](http_connection_id) { ++closed; });
  }

  std::vector<http_responder> later;
  http_server server;
  net_address address;
  int closed = 0;
};

std::string get(const std::string& target) { return "GET " + target + " HTTP/1.1\r\nHost: x\r\n\r\n"; }

}  // namespace

// Guards against answers that reach the wrong one of several pipelined requests.
TEST_CASE("pipelined requests are answered in order") {
  event_loop loop;
  echo_server echo{loop};
  raw_caller caller{loop, echo.address};
  loop.run_for(20s);
  caller.stream.write(get("/later") + get("/second"));
  run_until(loop, [&] { return echo.later.size() == 1; });
  CHECK(caller.received.empty());
  CHECK(echo.server.pending_requests() == 1);
  echo.later[0](json_response(200, "first"));
  echo.later[0](json_response(200, "again"));
  caller.send_and_await(get("/third"), "/third");
  const auto first = caller.received.find("first");
  CHECK(first < caller.received.find("/second"));
  CHECK(caller.received.find("again") == std::string::npos);
  CHECK(echo.server.pending_requests() == 0);
}

// Guards against a flood of pipelined requests that takes unbounded memory or is cut short.
TEST_CASE("more pipelined requests than the bound wait and are all answered") {
  event_loop loop;
  http_limits limits;
  limits.pipelined_requests = 2;
  echo_server echo{loop, limits};
  raw_caller caller{loop, echo.address};
  loop.run_for(20s);
  caller.stream.write(get("/later") + get("/later") + get("/later") + get("/last"));
  run_until(loop, [&] { return echo.later.size() == 2; });
  echo.later[0](json_response(200, "a"));
  run_until(loop, [&] { return echo.later.size() == 3; });
  echo.later[1](json_response(200, "b"));
  echo.later[2](json_response(200, "c"));
  caller.send_and_await("", "/last");
  CHECK(caller.received.find("/last") != std::string::npos);
}

// Guards against a paused connection that stays registered after its caller has gone.
TEST_CASE("a caller that resets a paused connection is noticed") {
  event_loop loop;
  http_limits limits;
  limits.pipelined_requests = 1;
  echo_server echo{loop, limits};
  auto caller = std::make_unique<raw_caller>(loop, echo.address);
  loop.run_for(20s);
  caller->stream.write(get("/later") + get("/later"));
  run_until(loop, [&] { return echo.later.size() == 1; });
  echo.later[0](json_response(200, std::string(1'000, 'a')));
  run_until(loop, [&] { return echo.later.size() == 2; });
  // Closing with unread bytes resets the connection.
  caller->stream.pause_reading(true);
  echo.later[1](json_response(200, std::string(100'000, 'b')));
  loop.run_for(5ms);
  caller.reset();
  run_until(loop, [&] { return echo.closed == 1; });
  CHECK(echo.server.connection_count() == 0);
}

// Guards against an answer for a connection that is gone.
TEST_CASE("a responder outlives its connection and its server") {
  event_loop loop;
  auto echo = std::make_unique<echo_server>(loop);
  {
    raw_caller caller{loop, echo->address};
    loop.run_for(20s);
    caller.stream.write(get("/later"));
    run_until(loop, [&] { return echo->later.size() == 1; });
  }
  run_until(loop, [&] { return echo->closed == 1; });
  CHECK(echo->server.connection_count() == 0);
  CHECK(echo->server.pending_requests() == 0);
  const auto responder = echo->later.at(0);
  CHECK_FALSE(responder.is_awaited());
  responder(json_response(200, "late"));
  echo.reset();
  responder(json_response(200, "later"));
}

// Guards against oversize, malformed and ambiguous requests that are executed or crash the server.
TEST_CASE("input beyond the bounds gets a typed error and a closed connection") {
  event_loop loop;
  http_limits limits;
  limits.head_bytes = 1'024;
  limits.body_bytes = 64;
  echo_server echo{loop, limits};
  const auto [input, status] = GENERATE(table<std::string, std::string>({
      {"GET / HTTP/1.1\r\nX: " + std::string(4'000, 'a'), "413"},
      {"POST / HTTP/1.1\r\nContent-Length: 65\r\n\r\n", "413"},
      {"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n41\r\n" + std::string(0x41, 'b') + "\r\n",
       "413"},
      {"POST / HTTP/1.1\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n", "400"},
      {"POST / HTTP/1.1\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\n", "400"},
      {"\x16\x03\x01 no http", "400"},
  }));
  raw_caller caller{loop, echo.address};
  loop.run_for(20s);
  caller.send_and_await(input, "\"outcome\":\"not_run\"");
  CHECK(caller.received.substr(9, 3) == status);
  loop.run_for(20s);
  CHECK(caller.is_closed);
  raw_caller other{loop, echo.address};
  loop.run_for(20s);
  other.send_and_await(get("/fine"), "/fine");
  CHECK(other.received.find("200") == 9);
}

// Guards against callers that hold a connection with half a request, and against idle ones.
TEST_CASE("slow and idle callers are disconnected") {
  event_loop loop;
  http_limits limits;
  limits.request_time = 50ms;
  limits.idle_time = 100ms;
  echo_server echo{loop, limits};
  const auto* input = GENERATE("GET / HT", "");
  raw_caller caller{loop, echo.address};
  loop.run_for(20s);
  caller.stream.write(input);
  while (!caller.is_closed) loop.run_for(20s);
  CHECK((caller.received.find("408") != std::string::npos ||
         caller.received.find("504") != std::string::npos || caller.received.empty()));
}

// Guards against a drain that cuts a running request.
TEST_CASE("a closing server answers what runs and closes what is idle") {
  event_loop loop;
  echo_server echo{loop};
  raw_caller idle{loop, echo.address};
  loop.run_for(20s);
  raw_caller busy{loop, echo.address};
  loop.run_for(20s);
  busy.stream.write(get("/later"));
  run_until(loop, [&] { return echo.later.size() == 1; });
  echo.server.stop_listening();
  echo.server.close_after_answers();
  while (!idle.is_closed) loop.run_for(20s);
  echo.later[0](json_response(200, "whole"));
  while (!busy.is_closed) loop.run_for(20s);
  CHECK(busy.received.find("Connection: close") != std::string::npos);
  CHECK(busy.received.find("whole") != std::string::npos);
}

// Guards against responses that reach the wrong request, and against wrong outcomes.
TEST_CASE("the client tells not_run from unknown") {
  event_loop loop;
  echo_server echo{loop};
  http_connection connection{loop};
  std::vector<result<http_response>> answers;
  const auto keep = [&](result<http_response> answer) {
    answers.push_back(std::move(answer));
    loop.stop();
  };
  connection.send({.target = "/x"}, 1s, keep);
  loop.run_for(20s);
  REQUIRE(answers.size() == 1);
  CHECK(answers[0].error().request_outcome() == outcome::not_run);
  connection.open(echo.address, 1s, [&](result<void> opened) {
    CHECK(opened);
    loop.stop();
  });
  loop.run_for(20s);
  connection.send({.target = "/x", .body = std::string(300'000, 'z')}, 10s, keep);
  loop.run_for(20s);
  REQUIRE(answers.size() == 2);
  CHECK(answers[1]->body == "/x" + std::string(300'000, 'z'));
  connection.send({.target = "/later"}, 30ms, keep);
  loop.run_for(20s);
  REQUIRE(answers.size() == 3);
  CHECK(answers[2].error().kind == error_kind::deadline_exceeded);
  CHECK(answers[2].error().request_outcome() == outcome::unknown);
  CHECK(connection.may_have_left());
  CHECK_FALSE(connection.is_open());
}

// Guards against a refused connection that is reported as a possible execution.
TEST_CASE("a refused connection is not_run") {
  event_loop loop;
  net_address address;
  {
    echo_server echo{loop};
    address = echo.address;
  }
  http_connection connection{loop};
  result<void> opened;
  connection.open(address, 5s, [&](result<void> value) {
    opened = std::move(value);
    loop.stop();
  });
  loop.run_for(20s);
  REQUIRE_FALSE(opened);
  CHECK(opened.error().kind == error_kind::target_unavailable);
  CHECK(opened.error().request_outcome() == outcome::not_run);
}
