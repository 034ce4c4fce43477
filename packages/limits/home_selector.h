#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "base/clock.h"
#include "base/ids.h"
#include "limits/loan.h"
#include "limits/tokens.h"

/// @file
/// Chooses the home VMs from which a borrower requests tokens of one customer.

namespace bulrushlift {

/// Tracks the level, the pending request and the back-off of each home VM. At most one
/// request is pending at each home VM. A home VM that lent less than was asked for, or did
/// not reply, is asked again only after a back-off, so that a customer over its rate does
/// not cause a message for each of its requests.
class home_selector {
 public:
  home_selector(vm_id self, const budget_options& options) : self_(std::move(self)), options_(options) {}

  /// Replaces the home VMs. The state of VMs that were home VMs before is kept.
  /// @param share rate and capacity of one home VM.
  void set_homes(const std::vector<vm_id>& homes, const budget_share& share);

  /// Chooses the home VM to ask next.
  /// @param needed amount that the waiting requests lack.
  /// @param unreachable VMs that are not asked.
  /// @param random decides between home VMs with equal levels.
  /// @return the home VM with the highest expected level among those that may be asked at
  ///   `now`, or nothing.
  [[nodiscard]] std::optional<vm_id> choose(millitokens needed, time_point now,
                                            const std::set<vm_id>& unreachable, std::uint64_t random) const;

  /// As `choose`, for urgent requests while tokens are short: waits only for the initial back-off of a
  /// home VM that lent less than was asked for, because others leave it tokens for urgent requests.
  [[nodiscard]] std::optional<vm_id> choose_for_urgent(time_point now, const std::set<vm_id>& unreachable,
                                                       std::uint64_t random) const;

  /// @return the level that the home VM last reported plus its refill since then. A home VM
  ///   that has not reported a level counts as full, and a VM that is no home as empty.
  [[nodiscard]] millitokens expected_level(const vm_id& home, time_point now) const;

  /// Records that a request was sent.
  /// @param expected amount that the home VM is expected to lend.
  void on_request_sent(const vm_id& home, const loan_request& request, millitokens expected, time_point now);

  /// A request that was sent and has no reply yet.
  struct pending_request {
    loan_request request;
    millitokens expected;
    time_point sent_at;
  };

  /// Matches a reply with its request.
  /// Records the level of the home VM.
  /// @return the request, or nothing if no request with this id is pending at `home`.
  [[nodiscard]] std::optional<pending_request> on_reply(const vm_id& home, const loan_reply& reply,
                                                        time_point now);

  /// Records that a request will get no reply.
  void on_request_failed(const vm_id& home, loan_request_id id, time_point now);

  /// Marks requests without a reply within `answer_timeout` as failed. Their late
  /// replies are still matched until the loan lifetime is over.
  void expire_requests(time_point now);

  /// @return the amount expected from requests that are pending and not overdue.
  [[nodiscard]] millitokens pending_amount() const;

  /// @return the part of those requests that is for urgent requests of callers.
  [[nodiscard]] millitokens pending_urgent() const;

  /// @return the next time at which a home VM may be asked again or a pending request
  ///   becomes overdue.
  [[nodiscard]] std::optional<time_point> next_change(time_point now,
                                                      const std::set<vm_id>& unreachable) const;

 private:
  struct home {
    vm_id vm;
    millitokens level{};
    std::optional<time_point> reported_at{};
    time_point retry_at{};
    duration pause{};
    std::optional<pending_request> pending{};
    bool has_failed = false;  ///< It did not answer the last request.
    bool is_overdue = false;  ///< The pending request got no answer in time.
  };

  [[nodiscard]] home* find(const vm_id& vm);
  [[nodiscard]] const home* find(const vm_id& vm) const;
  [[nodiscard]] millitokens expected_level(const home& each, time_point now) const;
  void back_off(home& each, time_point now) const;

  vm_id self_;
  budget_options options_;
  budget_share share_;
  std::vector<home> homes_;
};

}  // namespace bulrushlift
