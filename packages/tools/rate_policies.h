#pragma once

#include <deque>
#include <map>
#include <memory>
#include <vector>

#include "limits/borrowed_tokens.h"
#include "limits/budget_controller.h"
#include "limits/demand_window.h"
#include "limits/home_bucket.h"
#include "tools/rate_world.h"

/// @file
/// The three rate policies that are compared.

namespace bulrushlift {

/// A policy decides on the requests of a world.
template <class T>
concept rate_policy = requires(T& policy, std::size_t n, const rate_request& request) {
  T{std::declval<rate_world&>()};
  policy.on_request(n, request);
  policy.on_restart(n);
};

/// @return the times of budgets without the wait for documents, which do not change here.
[[nodiscard]] budget_options options_without_documents();

/// Each VM has an equal part of each rate.
class fixed_split {
 public:
  explicit fixed_split(rate_world& world);
  void on_request(std::size_t index, const rate_request& request);
  void on_restart(std::size_t vm);

 private:
  rate_world& world_;
  std::vector<std::vector<home_bucket>> buckets_;  ///< By VM and customer.
};

/// Shares with loans, as the daemon has them.
class loan_policy {
 public:
  explicit loan_policy(rate_world& world);
  void on_request(std::size_t index, const rate_request& request);
  void on_restart(std::size_t vm);

 private:
  struct vm_state {
    std::unique_ptr<budget_controller> budgets;
    std::map<budget_ticket, std::size_t> waiting;
    std::optional<time_point> timer;
  };

  void start(std::size_t vm);
  void do_actions(std::size_t vm, const budget_actions& actions);
  void set_timer(std::size_t vm);

  rate_world& world_;
  budget_document document_;
  std::map<vm_id, std::size_t> index_of_;
  std::vector<vm_state> nodes_;
};

/// One VM holds the whole budget of a customer and gives grants that expire.
/// Another VM becomes the holder, with an empty bucket, when the lease of a lost
/// holder is over.
class single_holder {
 public:
  explicit single_holder(rate_world& world);
  void on_request(std::size_t index, const rate_request& request);
  void on_restart(std::size_t vm);

 private:
  struct waiting_request {
    std::size_t index = 0;
    time_point deadline;
  };
  struct local_state {
    borrowed_tokens lots;
    demand_window demand{std::chrono::milliseconds{100}};
    std::deque<waiting_request> waiting;
    time_point ask_after{};
    bool is_asking = false;
  };
  struct holder_state {
    std::size_t vm = 0;
    home_bucket bucket;
    std::uint64_t loans = 0;
    bool is_changing = false;
  };

  void serve(std::size_t vm, std::size_t customer);
  void ask(std::size_t vm, std::size_t customer);
  void replace_holder(std::size_t customer);
  [[nodiscard]] millitokens grant(std::size_t customer, millitokens amount);

  rate_world& world_;
  budget_options options_;
  std::vector<holder_state> holders_;
  std::vector<std::vector<local_state>> states_;  ///< By VM and customer.
};

static_assert(rate_policy<fixed_split> && rate_policy<loan_policy> && rate_policy<single_holder>);

}  // namespace bulrushlift
