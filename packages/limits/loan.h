#pragma once

#include <cstdint>
#include <optional>
#include <variant>
#include <vector>

#include "base/clock.h"
#include "base/error.h"
#include "base/ids.h"
#include "limits/tokens.h"

/// @file
/// The messages by which VMs lend each other tokens, the options of budgets and the
/// actions that the budget controller asks its caller to carry out.

namespace bulrushlift {

/// Number of a loan, unique over all processes of the lending VM; 0 means no loan.
using loan_id = number_id<struct loan_tag>;
/// Number of a loan request, unique over all processes of the borrowing VM.
using loan_request_id = number_id<struct loan_request_tag>;
/// Identifies a caller's request that waits for tokens; assigned by the budget controller.
using budget_ticket = number_id<struct budget_ticket_tag>;

/// Timeouts and limits of token lending.
struct budget_options {
  /// Lifetime of borrowed tokens, counted from when the borrower sent the loan request.
  duration loan_lifetime = std::chrono::milliseconds{250};
  /// How long a caller's request waits for tokens before it is refused.
  duration loan_wait = std::chrono::milliseconds{25};
  /// A loan covers the demand expected within this time, estimated from the last such period.
  duration demand_window = std::chrono::milliseconds{100};
  /// Longest time from when the first VM receives a document until every VM has it.
  duration dissemination_bound = std::chrono::seconds{7};
  /// Delay before the first share of a process takes effect; `raise_delay()` if not set.
  /// A shorter delay lets a restarted VM spend sooner. With it, the share of a VM that is
  /// new to the fleet comes on top of the customer's rate until the other VMs have the
  /// document that names the new VM, and the previous process of a VM must have stopped within it.
  std::optional<duration> start_delay = std::nullopt;
  /// A home VM that has not replied for this long is asked again only after a back-off.
  duration answer_timeout = std::chrono::milliseconds{10};
  /// Initial back-off after a home VM lent less than was asked for or did not reply;
  /// it doubles with each such result, up to `retry_pause_max`.
  duration retry_pause = std::chrono::milliseconds{20};
  duration retry_pause_max = std::chrono::milliseconds{320};
  /// Span in which the operators count a customer's requests: at most rate x window + burst. Zero
  /// limits by token buckets of rate and burst instead.
  duration window{};
  /// What a customer may spend at once after all its home VMs restarted, on top of what their earlier
  /// processes admitted in the window: a part of its limit, and tokens. Must be below the excess that
  /// the operators tolerate.
  double restart_limit_fraction = 0;
  millitokens restart_tokens{};
  /// Most home VMs of a customer. Without one of five the others hold enough for a demand of 0.8 of the
  /// limit.
  std::size_t homes_per_customer = 5;
  std::size_t waiting_bound = 64;  ///< Most requests of one customer that wait at one VM.

  /// @return how long the lender counts a loan as outstanding: 5 % longer than the
  ///   borrower may use it, because the clocks of both VMs may be off by up to 1 %.
  [[nodiscard]] duration outstanding_time() const noexcept { return loan_lifetime + loan_lifetime / 20; }

  /// @return how long a larger part of a customer's rate is delayed: until every VM has the document,
  ///   the loans made under the old shares have expired, and what was spent from these has left the
  ///   window. The added 2 % allow for a local clock that is up to 1 % fast.
  [[nodiscard]] duration raise_delay() const noexcept {
    const auto longest = dissemination_bound + outstanding_time() + window;
    return longest + longest / 50;
  }
};

/// Faults that a test injects one at a time to prove that its oracle detects them.
struct budget_test_faults {
  bool expires_from_receipt = false;  ///< Loan lifetime counts from the reply, not the request.
  bool forgets_outstanding = false;   ///< The lender does not count its loans.
  bool raises_at_once = false;        ///< A higher share takes effect without delay.
  bool starts_full = false;           ///< The first share fills the bucket.
};

/// A borrower's report of the tokens that it has spent from one loan.
struct loan_use {
  loan_id loan;
  millitokens used;  ///< Total since the grant, so that a repeated report changes nothing.

  friend bool operator==(const loan_use&, const loan_use&) = default;
};

/// Asks a home VM for tokens and reports the use of its earlier loans.
struct loan_request {
  loan_request_id id;
  vm_id sender;
  incarnation_id incarnation;
  customer_id customer;
  millitokens amount;
  std::vector<loan_use> used;
  millitokens urgent{};  ///< Part of the amount that urgent requests wait for.

  friend bool operator==(const loan_request&, const loan_request&) = default;
};

/// The home VM's answer to a loan request.
struct loan_reply {
  loan_request_id id;
  customer_id customer;
  loan_id loan;        ///< 0 if nothing was lent.
  millitokens amount;  ///< At most the amount asked for.
  millitokens level;   ///< Level of the lender's bucket after the loan.

  friend bool operator==(const loan_reply&, const loan_reply&) = default;
};

/// Action: send the request to the home VM.
struct send_loan_request {
  vm_id home;
  loan_request request;
};

/// Action: send the reply to the borrower.
struct send_loan_reply {
  vm_id borrower;
  loan_reply reply;
};

/// Action: run the waiting request; its tokens have been taken.
struct resume_request {
  budget_ticket ticket;
};

/// Action: refuse the waiting request; it did not run.
struct refuse_request {
  budget_ticket ticket;
  error reason;
};

using budget_action = std::variant<send_loan_request, send_loan_reply, resume_request, refuse_request>;
using budget_actions = std::vector<budget_action>;

}  // namespace bulrushlift
