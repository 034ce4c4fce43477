#include "platform/target_connection.h"

#include <catch2/catch.hpp>

namespace bulrushlift::platform {
namespace {

using std::chrono::seconds;

/// A target that opens each session, and closes it when it gets a statement unless it has an answer.
struct closing_target : private tcp_stream_observer {
  explicit closing_target(event_loop& loop)
      : listener(loop, [this, &loop](int handle) {
          stream = std::make_unique<tcp_stream>(loop, static_cast<tcp_stream_observer&>(*this));
          REQUIRE(stream->adopt(handle));
        }) {
    const auto bound = listener.listen({"127.0.0.1", 0});
    REQUIRE(bound);
    address = *bound;
  }

  void on_bytes(std::string_view bytes) override {
    if (bytes.starts_with("START")) {
      stream->write("READY I 1.1\r\n");
    } else if (!answer.empty()) {
      stream->write(answer);
    } else {
      stream->close();
    }
  }
  void on_closed(const error& /*reason*/) override {}

  std::string answer;
  std::unique_ptr<tcp_stream> stream;
  tcp_listener listener;
  net_address address;
};

struct fixture {
  event_loop loop;
  closing_target target{loop};
  resource_budget budget{{std::uint64_t{48} << 20U, 200}};
  target_connection connection{loop, &budget, customer_id{"c"}};

  fixture() {
    connection.open({target.address, service_id{"s"}, customer_id{"c"}, target_id{"t"}},
                    [this](std::optional<sql::target_error> failure) {
                      CHECK_FALSE(failure);
                      loop.stop();
                    });
    loop.run_for(seconds{30});
    REQUIRE(connection.is_open());
  }

  std::vector<batch_result> run() {
    std::vector<batch_result> results;
    connection.run({{sql::command_kind::begin}}, [&](const batch_result& result) {
      results.push_back(result);
      loop.stop();
    });
    CHECK(results.empty());
    loop.run_for(seconds{30});
    return results;
  }
};

// Guards against a statement without an answer, whose slot of the target is never free again.
TEST_CASE("A batch on a connection that has ended is answered as not sent") {
  fixture test;
  test.connection.abort();

  const auto results = test.run();

  REQUIRE(results.size() == 1);
  CHECK_FALSE(results.front().is_complete);
  CHECK_FALSE(results.front().may_have_been_sent);
}

TEST_CASE("A batch whose connection ends before its answer may have been sent") {
  fixture test;

  const auto results = test.run();

  REQUIRE(results.size() == 1);
  CHECK_FALSE(results.front().is_complete);
  CHECK(results.front().may_have_been_sent);
}

// Guards against an answer that is collected without memory for it, and a connection that is lost by it.
TEST_CASE("Rows of an answer are dropped when there is no memory for them") {
  fixture test;
  test.target.answer = "ROW " + std::string(900'000, 'x') + "\r\nCOMPLETE signed\r\nREADY I 1.2\r\n";
  const auto all = test.budget.shares().customer_bytes;

  auto results = test.run();
  REQUIRE(results.size() == 1);
  CHECK_FALSE(results.front().is_over_memory);
  CHECK(results.front().replies.front().rows.size() == 1);
  CHECK(test.budget.held_bytes() >= 900'000);
  results.clear();
  CHECK(test.budget.held_bytes() == 0);

  REQUIRE(test.budget.try_reserve(customer_id{"c"}, all, test.loop.now()));
  results = test.run();
  REQUIRE(results.size() == 1);
  CHECK(results.front().is_complete);
  CHECK(results.front().is_over_memory);
  CHECK(results.front().replies.front().rows.empty());
  CHECK(test.budget.held_bytes() == all);
  CHECK(test.connection.is_open());
}

}  // namespace
}  // namespace bulrushlift::platform
