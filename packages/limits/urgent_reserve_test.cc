#include "limits/urgent_reserve.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <deque>
#include <map>
#include <memory>
#include <random>
#include <vector>

#include "limits/budget_controller.h"
#include "limits/window_limiter.h"

namespace bulrushlift {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr time_point start{seconds{1'000}};
constexpr auto window = seconds{5};
constexpr budget_share share{whole_tokens(40), whole_tokens(20)};
const customer_id customer{"flood"};

/// Requests of one kind.
struct request_counts {
  int sent = 0;
  int admitted = 0;

  friend bool operator==(const request_counts&, const request_counts&) = default;
};

struct play_result {
  request_counts urgent;
  request_counts others;
  std::vector<time_point> admissions;

  /// @return the most that was admitted in any window.
  [[nodiscard]] std::size_t most_in_window() const {
    std::size_t most = 0;
    for (auto it = admissions.begin(); it != admissions.end(); ++it) {
      const auto end = std::lower_bound(it, admissions.end(), *it + window);
      most = std::max(most, static_cast<std::size_t>(end - it));
    }
    return most;
  }
};

/// Demand of one customer on all VMs.
struct demand {
  int per_second = 160;
  int urgent_percent = 20;
  bool has_priorities = true;  ///< Whether the controllers are told which requests are urgent.
};

/// Some VMs whose loan messages arrive at once.
class budget_play {
 public:
  explicit budget_play(demand load) : load_(load) {
    budget_options options;
    options.window = window;
    options.loan_lifetime = milliseconds{120};
    options.loan_wait = milliseconds{60};
    options.start_delay = options.outstanding_time();
    budget_document document;
    for (const auto* vm : {"vm-1", "vm-2", "vm-3", "vm-4", "vm-5", "vm-6", "vm-7", "vm-8"}) {
      document.vms.emplace_back(vm);
    }
    document.customers.emplace(customer, share);
    for (const auto& vm : document.vms) {
      auto& budgets = vms_[vm];
      budgets = std::make_unique<budget_controller>(vm, incarnation_id{1}, options);
      perform(vm, budgets->apply_document(document, start));
    }
  }

  /// Counts from the second window on, because a new limiter admits less than the rate in the first.
  play_result run(duration span) {
    std::bernoulli_distribution sends{load_.per_second / 1'000.0};
    std::uniform_int_distribution<int> percent{0, 99};
    std::uniform_int_distribution<std::size_t> pick{0, vms_.size() - 1};
    for (now_ = start; now_ < start + window + span; now_ += milliseconds{1}) {
      for (const auto& [vm, budgets] : vms_) {
        const auto due = budgets->next_timer();
        if (due && *due <= now_) perform(vm, budgets->on_timer(now_, random_()));
      }
      if (sends(random_)) {
        const auto chosen = std::next(vms_.begin(), static_cast<std::ptrdiff_t>(pick(random_)));
        send(chosen->first, percent(random_) < load_.urgent_percent);
      }
    }
    return result_;
  }

 private:
  request_counts& counts(bool is_urgent_request) {
    return is_urgent_request ? result_.urgent : result_.others;
  }

  [[nodiscard]] bool is_counted() const { return now_ >= start + window; }

  void send(const vm_id& vm, bool is_urgent_request) {
    if (is_counted()) ++counts(is_urgent_request).sent;
    budget_actions actions;
    const int priority = is_urgent_request || !load_.has_priorities ? 0 : 1;
    const auto decision = vms_.at(vm)->admit(customer, whole_tokens(1), now_, random_(), actions, priority);
    if (const auto* wait = std::get_if<waits_for_loan>(&decision)) {
      waiting_[{vm, wait->ticket}] = is_urgent_request;
    } else if (std::holds_alternative<admitted>(decision)) {
      on_admitted(is_urgent_request);
    }
    perform(vm, actions);
  }

  void on_admitted(bool is_urgent_request) {
    if (is_counted()) ++counts(is_urgent_request).admitted;
    result_.admissions.push_back(now_);
  }

  void perform(const vm_id& vm, const budget_actions& actions) {
    for (const auto& action : actions) {
      if (const auto* resume = std::get_if<resume_request>(&action)) {
        on_admitted(waiting_.extract({vm, resume->ticket}).mapped());
      } else if (const auto* refusal = std::get_if<refuse_request>(&action)) {
        waiting_.erase({vm, refusal->ticket});
      } else if (const auto* request = std::get_if<send_loan_request>(&action)) {
        const auto replies = vms_.at(request->home)->on_loan_request(request->request, now_);
        const auto& reply = std::get<send_loan_reply>(replies.front()).reply;
        perform(vm, vms_.at(vm)->on_loan_reply(request->home, reply, now_));
      }
    }
  }

  demand load_;
  time_point now_ = start;
  std::mt19937_64 random_{20261206};
  std::map<vm_id, std::unique_ptr<budget_controller>> vms_;
  std::map<std::pair<vm_id, budget_ticket>, bool> waiting_;
  play_result result_;
};

std::size_t limit() { return static_cast<std::size_t>(limit_in_window(share, window).value() / 1'000); }

// Guards against a customer over its limit whose urgent requests are refused as often as the others.
TEST_CASE("At four times the rate most urgent requests are admitted, within the limit") {
  const auto equal = budget_play{{160, 20, false}}.run(seconds{30});
  const auto preferred = budget_play{{160, 20, true}}.run(seconds{30});
  CAPTURE(equal.urgent.sent, equal.urgent.admitted, equal.others.admitted, preferred.urgent.sent,
          preferred.urgent.admitted, preferred.others.admitted);
  CHECK(preferred.urgent.admitted * 10 >= preferred.urgent.sent * 9);
  CHECK(preferred.urgent.admitted >= equal.urgent.admitted * 2);
  CHECK(preferred.others.admitted > 0);
  CHECK(preferred.most_in_window() <= limit());
  // Reserved tokens must not stay unused.
  CHECK(preferred.admissions.size() * 20 >= equal.admissions.size() * 19);
}

// Guards against urgent requests that leave nothing to the others.
TEST_CASE("The others get a part of the tokens when urgent requests alone exceed the rate") {
  const auto result = budget_play{{320, 50, true}}.run(seconds{30});
  CAPTURE(result.urgent.admitted, result.others.admitted);
  CHECK(result.others.admitted * 10 >= static_cast<int>(result.admissions.size()));
  CHECK(result.urgent.admitted > result.others.admitted);
  CHECK(result.most_in_window() <= limit());
}

// Guards against a change for customers below their limit.
TEST_CASE("Below the limit priorities change nothing") {
  const auto equal = budget_play{{20, 20, false}}.run(seconds{30});
  const auto preferred = budget_play{{20, 20, true}}.run(seconds{30});
  CHECK(preferred.urgent == equal.urgent);
  CHECK(preferred.others == equal.others);
  CHECK(preferred.admissions == equal.admissions);
}

TEST_CASE("The reserve is bounded, and exists only while tokens are short for both kinds") {
  constexpr auto span = milliseconds{100};
  constexpr auto most = whole_tokens(3);
  urgent_reserve reserve{span};
  reserve.on_demand(0, whole_tokens(2), start);
  reserve.on_demand(1, whole_tokens(9), start);
  CHECK(reserve.amount(most, start) == millitokens{});
  reserve.on_refused(start);
  CHECK(reserve.amount(most, start) == whole_tokens(2));
  reserve.on_demand(0, whole_tokens(9), start);
  CHECK(reserve.amount(most, start) == most);
  for (int i = 0; i < 7; ++i) reserve.on_served(0, whole_tokens(1), start);
  CHECK(reserve.is_turn_of_others());
  CHECK(reserve.amount(most, start) == millitokens{});
  reserve.on_served(1, whole_tokens(1), start);
  CHECK(reserve.amount(most, start) == most);
  CHECK(reserve.amount(millitokens{}, start) == whole_tokens(1));
  CHECK(reserve.amount(most, start + seconds{1}) == millitokens{});
}

}  // namespace
}  // namespace bulrushlift
