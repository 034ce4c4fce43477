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
/// Loan messages between VMs, and the times and options of budgets.

namespace bulrushlift {

/// Number of a loan, unique over all instances of the lender; 0 means no loan.
using loan_id = number_id<struct loan_tag>;
/// Number of a loan request, unique over all instances of the borrower.
using loan_request_id = number_id<struct loan_request_tag>;
/// A request of a caller that waits for tokens; chosen by the budget controller.
using budget_ticket = number_id<struct budget_ticket_tag>;

struct budget_options {
  /// Life of borrowed tokens, from the time at which the borrower sent the request.
  duration loan_lifetime = std::chrono::milliseconds{250};
  /// How long a request waits for a loan.
  duration loan_wait = std::chrono::milliseconds{25};
  /// The span of the demand that a loan is to cover.
  duration demand_window = std::chrono::milliseconds{100};
  /// Longest time from the first VM that receives a document to the last one.
  duration dissemination_bound = std::chrono::seconds{7};
  /// Delay of the first share of a process; as long as that of any other rise if not set.
  /// A shorter one lets a restarted VM spend sooner; until the others have heard of a new
  /// VM, the customer's rate is exceeded by that VM's share.
  std::optional<duration> start_delay = std::nullopt;
  /// A home VM that has not answered for this long is asked again later.
  duration answer_timeout = std::chrono::milliseconds{10};
  /// First pause before asking a home VM that had too little or did not answer;
  /// it doubles with each such result, up to `retry_pause_max`.
  duration retry_pause = std::chrono::milliseconds{20};
  duration retry_pause_max = std::chrono::milliseconds{320};
  std::size_t waiting_bound = 64;  ///< Requests of one customer that wait at one VM.

  /// @return how long the lender counts a loan: 5 % longer than the borrower
  ///   keeps it, for clocks that are off by up to 1 % on either side.
  [[nodiscard]] duration outstanding_time() const noexcept { return loan_lifetime + loan_lifetime / 20; }

  /// @return how long a higher share waits: until every VM has the document,
  ///   on a clock that is up to 1 % fast, and the loans of the old shares are over.
  [[nodiscard]] duration raise_delay() const noexcept {
    const auto longest = dissemination_bound + outstanding_time();
    return longest + longest / 50;
  }
};

/// Rules that a test disables one at a time to prove that its oracle notices.
struct budget_test_faults {
  bool expires_from_receipt = false;
  bool forgets_outstanding = false;
  bool raises_at_once = false;
  bool starts_full = false;
};

/// What a borrower did with the tokens of one loan so far.
struct loan_use {
  loan_id loan;
  millitokens used;  ///< Sum since the grant, so that a repeated report changes nothing.

  friend bool operator==(const loan_use&, const loan_use&) = default;
};

struct loan_request {
  loan_request_id id;
  vm_id sender;
  incarnation_id incarnation;
  customer_id customer;
  millitokens amount;
  std::vector<loan_use> used;

  friend bool operator==(const loan_request&, const loan_request&) = default;
};

struct loan_reply {
  loan_request_id id;
  customer_id customer;
  loan_id loan;        ///< 0 if nothing was lent.
  millitokens amount;  ///< At most the amount asked for.
  millitokens level;   ///< What the lender has left.

  friend bool operator==(const loan_reply&, const loan_reply&) = default;
};

/// Send the request to the home VM.
struct send_loan_request {
  vm_id home;
  loan_request request;
};

/// Send the reply to the borrower.
struct send_loan_reply {
  vm_id borrower;
  loan_reply reply;
};

/// The waiting request has its tokens and goes on.
struct resume_request {
  budget_ticket ticket;
};

/// The waiting request is refused; it did not run.
struct refuse_request {
  budget_ticket ticket;
  error reason;
};

using budget_action = std::variant<send_loan_request, send_loan_reply, resume_request, refuse_request>;
using budget_actions = std::vector<budget_action>;

}  // namespace bulrushlift
