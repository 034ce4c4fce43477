#pragma once

#include <deque>
#include <map>
#include <memory>
#include <vector>

#include "limits/borrowed_tokens.h"
#include "limits/budget_controller.h"
#include "limits/demand_window.h"
#include "limits/home_bucket.h"
#include "tools/rate_simulation.h"

/// @file
/// The three rate-limiting policies that are compared.

namespace bulrushlift {

/// A policy admits or refuses the requests of a simulation.
template <class T>
concept rate_policy = requires(T& policy, std::size_t n, const rate_request& request) {
  T{std::declval<rate_simulation&>()};
  policy.on_request(n, request);
  policy.on_restart(n);
};

/// @return budget options without the dissemination wait, since documents don't change here.
[[nodiscard]] budget_options options_without_dissemination_wait();

/// Gives each VM an equal, fixed part of each customer's rate.
class fixed_split {
 public:
  explicit fixed_split(rate_simulation& simulation);
  void on_request(std::size_t index, const rate_request& request);
  void on_restart(std::size_t vm);

 private:
  rate_simulation& simulation_;
  std::vector<std::vector<home_bucket>> buckets_;  ///< By VM and customer.
};

/// Shares of the rate with loans between VMs, as in the daemon.
class loan_policy {
 public:
  explicit loan_policy(rate_simulation& simulation);
  void on_request(std::size_t index, const rate_request& request);
  void on_restart(std::size_t vm);

 private:
  struct vm_state {
    std::unique_ptr<budget_controller> budgets;
    std::map<budget_ticket, std::size_t> waiting;
    std::optional<time_point> timer;
  };

  void start(std::size_t vm);
  void execute(std::size_t vm, const budget_actions& actions);
  void set_timer(std::size_t vm);

  rate_simulation& simulation_;
  budget_document document_;
  std::map<vm_id, std::size_t> index_of_;
  std::vector<vm_state> vm_states_;
};

/// One VM holds the whole budget of a customer and grants tokens that expire to
/// the others. When the lease of a lost holder has expired, another VM becomes the
/// holder, starting with an empty bucket.
class single_holder {
 public:
  explicit single_holder(rate_simulation& simulation);
  void on_request(std::size_t index, const rate_request& request);
  void on_restart(std::size_t vm);

 private:
  struct waiting_request {
    std::size_t index = 0;
    time_point deadline;
  };
  struct local_state {
    borrowed_tokens tokens;
    demand_window demand{std::chrono::milliseconds{100}};
    std::deque<waiting_request> waiting;
    time_point next_request_at{};
    bool is_request_pending = false;
  };
  struct holder_state {
    std::size_t vm = 0;
    home_bucket bucket;
    std::uint64_t loans = 0;
    bool is_failover_pending = false;
  };

  void serve(std::size_t vm, std::size_t customer);
  void request_grant(std::size_t vm, std::size_t customer);
  void replace_holder(std::size_t customer);
  [[nodiscard]] millitokens grant(std::size_t customer, millitokens amount);

  rate_simulation& simulation_;
  budget_options options_;
  std::vector<holder_state> holders_;
  std::vector<std::vector<local_state>> states_;  ///< By VM and customer.
};

static_assert(rate_policy<fixed_split> && rate_policy<loan_policy> && rate_policy<single_holder>);

}  // namespace bulrushlift
