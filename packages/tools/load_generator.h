#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "base/clock.h"
#include "net/event_loop.h"
#include "net/http_client.h"

/// @file
/// Open-loop load on a deployment: each customer sends at its own rate, with
/// Poisson arrivals from a fixed seed, independent of the answers. Each write adds
/// a unique number to a unique key, so that the audit can tell lost from repeated
/// writes, and an answer delivered to the wrong request shows as a wrong number.

namespace bulrushlift {

struct load_customer {
  std::string name;
  std::string key;
  double requests_per_second = 0;
};

struct load_vm {
  std::string name;
  net_address address;
};

struct load_options {
  std::uint64_t seed = 1;
  duration length{};
  std::vector<load_customer> customers;
  std::vector<load_vm> vms;
  std::vector<std::string> routes;
  double read_share = 0.7;
  /// Share of the writes that carry an idempotency key.
  double idempotent_share = 0.8;
  duration request_timeout = std::chrono::seconds{10};
};

/// One request and its outcome.
struct load_record {
  std::size_t customer = 0;  ///< Index in the options.
  std::size_t route = 0;
  bool is_write = false;
  std::string key;         ///< Key of the database that was written or read.
  std::int64_t value = 0;  ///< Number that was written or that the read must return.
  time_point sent_at;
  time_point answered_at;
  bool is_answered = false;
  std::string kind;     ///< "done", the name of an error kind, or "connection" if no answer arrived.
  std::string outcome;  ///< "done", "not_run" or "unknown".
  std::string target;
  std::uint64_t term = 0;
  bool is_wrong = false;  ///< Whether a read did not return the session's own write.
};

/// Generates the load on one event loop, in the roles of the callers and the load balancer.
class load_generator {
 public:
  load_generator(event_loop& loop, load_options options);
  ~load_generator();
  load_generator(const load_generator&) = delete;
  load_generator& operator=(const load_generator&) = delete;

  /// Schedules the first arrivals. New requests stop after `load_options::length`.
  void start();

  /// Changes the rate of one customer, in effect after its next arrival.
  void set_rate(std::size_t customer, double requests_per_second);

  [[nodiscard]] bool is_finished() const noexcept;
  [[nodiscard]] const std::deque<load_record>& records() const noexcept { return records_; }
  [[nodiscard]] time_point started_at() const noexcept { return started_at_; }

 private:
  /// The last acknowledged write of a session and the session token of its answer.
  struct session {
    std::string token;
    std::string key;
    std::size_t route = 0;
    std::int64_t value = 0;
  };
  struct vm_state {
    std::vector<std::unique_ptr<http_connection>> idle;
    time_point avoid_until{};
  };

  void schedule_arrival(std::size_t customer);
  void send_request(std::size_t customer);
  [[nodiscard]] std::string make_body(load_record& record, const session& from);
  void dispatch(std::size_t record, const http_request& request, std::size_t session_index,
                int attempts_left);
  void send_on_connection(std::size_t record, const http_request& request, std::size_t session_index,
                          std::size_t vm, int attempts_left, std::unique_ptr<http_connection> connection);
  void finish(std::size_t record, const http_response& response, std::size_t session_index);
  void finish_without_answer(std::size_t record, const error& reason);
  [[nodiscard]] std::size_t choose_vm();

  event_loop& loop_;
  load_options options_;
  std::mt19937_64 random_;
  std::deque<load_record> records_;
  std::vector<double> rates_;
  std::vector<std::vector<session>> sessions_;
  std::vector<vm_state> vms_;
  std::map<std::uint64_t, std::unique_ptr<http_connection>> busy_connections_;
  std::uint64_t next_connection_ = 0;
  std::int64_t next_value_ = 1'000;
  std::size_t in_flight_ = 0;
  std::size_t active_customers_ = 0;
  time_point started_at_;
};

}  // namespace bulrushlift
