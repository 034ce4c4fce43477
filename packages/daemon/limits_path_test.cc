#include <fmt/format.h>

#include <catch2/catch.hpp>
#include <chrono>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "net/event_loop.h"
#include "net/http_client.h"
#include "standins/local_fleet.h"

namespace bulrushlift {
namespace {

using namespace std::chrono_literals;
using nlohmann::json;

// Timeout of waits. No check depends on how long an event takes within it.
constexpr auto event_bound = 60s;

local_fleet start_fleet(const std::string& name, std::vector<local_customer> customers) {
  auto options = fleet_options_in(BULRUSHLIFT_BINARY_DIR, name);
  options.vms = 3;
  options.services = {{"orders"}};
  options.customers = std::move(customers);
  // A raised share takes effect only when every VM must have the new document. The document does not change
  // while a VM starts here, so a short bound is safe.
  options.timing = R"({"dissemination_bound_ms": 200})";
  auto fleet = local_fleet::start(options);
  if (!fleet) FAIL(fleet.error().message);
  return std::move(*fleet);
}

/// A connection of a customer to one VM. It carries one request at a time.
class caller {
 public:
  caller(event_loop& loop, const local_fleet& fleet, const std::string& vm, const std::string& customer)
      : connection_(std::make_unique<http_connection>(loop)) {
    request_.method = "POST";
    request_.target = "/v1/execute";
    request_.headers.add("Authorization", "Bearer " + fleet.key_of(customer));
    request_.body = json{{"route", "orders"}, {"kind", "read"}, {"statement", "get stock"}}.dump();
    connection_->open(parse_address(fleet.caller_address(vm)).value(), event_bound,
                      [](const result<void>& opened) {
                        if (!opened) FAIL(opened.error().message);
                      });
  }

  [[nodiscard]] bool is_idle() const { return connection_->is_open() && !connection_->is_busy(); }
  [[nodiscard]] bool is_open() const { return connection_->is_open(); }

  /// Sends a request.
  /// @param done called with "done", the error kind of the answer, or "connection" if the connection failed.
  void call(const std::function<void(const std::string&)>& done) {
    connection_->send(request_, event_bound, [done](const result<http_response>& response) {
      if (!response) return done("connection");
      const auto body = json::parse(response->body);
      done(response->status == 200 ? "done" : body.at("error").at("kind").get<std::string>());
    });
  }

  /// Sends a request and waits for its result.
  /// @return the result as in `call`; empty if there was none in time.
  std::string call_and_wait(event_loop& loop) {
    std::string kind;
    call([&](const std::string& got) {
      kind = got;
      loop.stop();
    });
    loop.run_for(event_bound);
    return kind;
  }

 private:
  std::unique_ptr<http_connection> connection_;
  http_request request_;
};

void open_all(event_loop& loop, const std::vector<std::unique_ptr<caller>>& callers) {
  const auto end = loop.now() + event_bound;
  for (const auto& each : callers) {
    while (!each->is_open() && loop.now() < end) loop.run_for(5ms);
    REQUIRE(each->is_open());
  }
}

void await_result(event_loop& loop, caller& each, const std::string& expected) {
  const auto end = loop.now() + event_bound;
  std::string kind;
  while (kind != expected && loop.now() < end) {
    REQUIRE(each.is_open());
    kind = each.call_and_wait(loop);
    loop.run_for(20ms);
  }
  REQUIRE(kind == expected);
}

// Guards against a key that still works on connections that were open when it was revoked (I6), and against
// refusals that are not counted in the metrics.
TEST_CASE("a revoked key stops working on an open connection") {
  auto fleet = start_fleet("limits_revoked", {{"shop", 1'000, 1'000, 1}});
  event_loop loop;
  std::vector<std::unique_ptr<caller>> callers;
  for (const auto& vm : fleet.vms()) callers.push_back(std::make_unique<caller>(loop, fleet, vm, "shop"));
  open_all(loop, callers);
  for (const auto& each : callers) await_result(loop, *each, "done");

  auto document = json::parse(fleet.document_text());
  document["customers"][0]["keys"][0]["state"] = "revoked";
  REQUIRE(fleet.put_document(document.dump()));
  for (const auto& each : callers) await_result(loop, *each, "key_revoked");

  const auto metrics = plain_request(fleet.admin_address(fleet.vms().front()), "GET", "/metrics");
  REQUIRE(metrics);
  CHECK(metrics->body.find("refusals_total") != std::string::npos);
}

/// Sends requests of a customer at a constant rate over connections to all VMs. A request is skipped if no
/// connection is idle.
class steady_traffic {
 public:
  steady_traffic(event_loop& loop, const local_fleet& fleet, const std::string& customer,
                 std::size_t connections, duration gap)
      : loop_(loop), timer_(loop), gap_(gap) {
    for (std::size_t i = 0; i < connections; ++i) {
      callers_.push_back(
          std::make_unique<caller>(loop, fleet, fleet.vms()[i % fleet.vms().size()], customer));
    }
    open_all(loop, callers_);
  }

  void start() {
    started_ = loop_.now();
    timer_.set(gap_, [this] { tick(); });
  }
  void stop() { timer_.cancel(); }

  [[nodiscard]] std::uint64_t count(const std::string& kind) const {
    const auto it = results_.find(kind);
    return it == results_.end() ? 0 : it->second;
  }
  [[nodiscard]] std::uint64_t finished() const { return finished_; }
  [[nodiscard]] std::uint64_t sent() const { return sent_; }
  [[nodiscard]] double seconds() const {
    return std::chrono::duration<double>(loop_.now() - started_).count();
  }
  [[nodiscard]] caller& first() { return *callers_.front(); }
  [[nodiscard]] std::string summary() const {
    std::string text;
    for (const auto& [kind, n] : results_) text += fmt::format("{} {} ", kind, n);
    return text;
  }

 private:
  void tick() {
    timer_.set(gap_, [this] { tick(); });
    for (std::size_t i = 0; i < callers_.size(); ++i) {
      auto& each = *callers_[(next_ + i) % callers_.size()];
      if (!each.is_idle()) continue;
      next_ = (next_ + i + 1) % callers_.size();
      ++sent_;
      each.call([this](const std::string& kind) {
        ++results_[kind];
        ++finished_;
      });
      return;
    }
  }

  event_loop& loop_;
  scoped_timer timer_;
  duration gap_;
  time_point started_;
  std::vector<std::unique_ptr<caller>> callers_;
  std::map<std::string, std::uint64_t> results_;
  std::uint64_t sent_ = 0;
  std::uint64_t finished_ = 0;
  std::size_t next_ = 0;
};

// Guards against a customer that exceeds its rate when it uses all VMs (I7), and against one whose excess
// requests cause refusals for a customer within its rate.
TEST_CASE("a customer at 20 times its rate does not starve another") {
  constexpr double rate = 50;
  constexpr double burst = 25;
  const auto fleet = start_fleet("limits_excess", {{"loud", rate, burst, 1}, {"quiet", rate, burst, 1}});
  event_loop loop;
  steady_traffic loud{loop, fleet, "loud", 60, 1ms};
  steady_traffic quiet{loop, fleet, "quiet", 30, 40ms};  // half of its rate
  await_result(loop, quiet.first(), "done");
  await_result(loop, loud.first(), "done");
  loop.run_for(1s);

  loud.start();
  quiet.start();
  loop.run_for(5s);
  quiet.stop();
  loud.stop();
  const auto end = loop.now() + event_bound;
  while ((loud.finished() < loud.sent() || quiet.finished() < quiet.sent()) && loop.now() < end)
    loop.run_for(20ms);

  INFO("loud: " << loud.summary() << "of " << loud.sent() << ", quiet: " << quiet.summary() << "of "
                << quiet.sent());
  // The time that the client measures includes the whole time in which requests were admitted.
  CHECK(static_cast<double>(loud.count("done")) <= burst + rate * loud.seconds());
  CHECK(loud.count("over_rate") > loud.count("done"));
  CHECK(quiet.sent() >= 50);
  CHECK(quiet.count("done") * 100 >= quiet.sent() * 98);
}

}  // namespace
}  // namespace bulrushlift
