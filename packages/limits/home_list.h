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
/// What a borrower knows of the home VMs of one customer.

namespace bulrushlift {

/// Chooses whom to ask for a loan. At most one request is pending at each home.
/// A home that had less than was asked for, or did not answer, is asked again
/// only after a pause, so that a customer over its rate does not cause a message
/// for each of its requests.
class home_list {
 public:
  home_list(vm_id self, const budget_options& options) : self_(std::move(self)), options_(options) {}

  /// Takes the homes of a newer document; what is known of the same VMs is kept.
  /// @param share rate and capacity of one home.
  void set_homes(const std::vector<vm_id>& homes, const budget_share& share);

  /// @return the home with the highest level as last reported plus what it has
  ///   accrued since, among those that may be asked now; or nothing. A home that
  ///   was never asked counts as full.
  [[nodiscard]] std::optional<vm_id> choose(millitokens needed, time_point now,
                                            const std::set<vm_id>& unreachable, std::uint64_t random) const;

  /// @return the amount that the home is expected to have.
  [[nodiscard]] millitokens expected_level(const vm_id& home, time_point now) const;

  /// Notes a request that was sent.
  void on_asked(const vm_id& home, const loan_request& request, millitokens expected, time_point now);

  struct pending_request {
    loan_request request;
    millitokens expected;
    time_point sent;
  };

  /// Matches a reply with its request.
  /// @return the request and the time it was sent, or nothing if none is pending
  ///   under this id.
  [[nodiscard]] std::optional<pending_request> on_reply(const vm_id& home, const loan_reply& reply,
                                                        time_point now);

  /// Notes that a request will not be answered.
  void on_failed(const vm_id& home, loan_request_id id, time_point now);

  /// Gives up waiting for homes that have not answered in time. Their late
  /// replies are still matched until the loan lifetime is over.
  void expire(time_point now);

  /// @return what is expected from requests that are not answered yet.
  [[nodiscard]] millitokens expected_amount() const;

  /// @return when a home may be asked again or a pending request is given up.
  [[nodiscard]] std::optional<time_point> next_change(time_point now,
                                                      const std::set<vm_id>& unreachable) const;

 private:
  struct home {
    vm_id vm;
    millitokens level{};
    std::optional<time_point> reported{};
    time_point ask_after{};
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
