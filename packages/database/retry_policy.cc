#include "database/retry_policy.h"

#include <algorithm>
#include <cstdint>
#include <utility>

#include "database/backoff.h"

namespace bulrushlift {

outcome outcome_of(failure_point point) noexcept {
  switch (point) {
    case failure_point::before_send:
    case failure_point::refused:
    case failure_point::statement_failed:
    case failure_point::cancelled:
      return outcome::not_run;
    case failure_point::after_send:
    case failure_point::unacknowledged:
      break;
  }
  return outcome::unknown;
}

bool is_retry_allowed(const request_traits& request, failure_point point) noexcept {
  const bool is_final = point == failure_point::statement_failed || point == failure_point::cancelled;
  if (request.in_transaction || is_final) return false;
  if (outcome_of(point) == outcome::not_run) return true;
  return request.is_read || request.is_idempotent || request.has_idempotency_key;
}

retry_budget::bucket& retry_budget::bucket_at(time_point now) {
  const auto second = static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::seconds>(now.time_since_epoch()).count());
  auto& it = buckets_[second % window];
  if (it.second != second) it = {second, 0, 0};
  return it;
}

void retry_budget::count_request(time_point now) { ++bucket_at(now).requests; }

bool retry_budget::take(time_point now) {
  auto& current = bucket_at(now);
  std::uint64_t requests = 0;
  std::uint64_t retries = 0;
  for (const auto& it : buckets_) {
    if (it.second + window <= current.second) continue;
    requests += it.requests;
    retries += it.retries;
  }
  const auto allowed = static_cast<double>(minimum_) + share_ * static_cast<double>(requests);
  if (static_cast<double>(retries + 1) > allowed) return false;
  ++current.retries;
  return true;
}

duration backoff(const retry_options& options, std::uint32_t retries, std::uint64_t random) {
  return jittered_backoff(options.backoff_first, options.backoff_longest, retries + 1, random);
}

time_point attempt_deadline(const request_traits& request, const retry_options& options, time_point deadline,
                            time_point now) noexcept {
  if (!is_retry_allowed(request, failure_point::after_send)) return deadline;
  return std::min(deadline, now + options.attempt_timeout);
}

retry_decision request_attempts::on_failure(const failed_attempt& attempt, retry_budget& budget,
                                            const retry_options& options, time_point now,
                                            std::uint64_t random) {
  if (outcome_of(attempt.point) == outcome::unknown) may_have_run_ = true;
  if (attempt.point == failure_point::cancelled) may_have_run_ = false;
  const bool is_rule_broken = options.retries_after_send && attempt.point == failure_point::after_send;
  const bool is_allowed = is_retry_allowed(request_, attempt.point) || is_rule_broken;
  if (!is_allowed) return give_up{final_error(attempt.cause)};
  const auto when = now + backoff(options, retries_, random);
  if (when >= deadline_) return give_up{final_error(attempt.cause)};
  // A request that was not sent adds no load to a target, so it is not charged to the budget.
  const bool is_counted = attempt.point != failure_point::before_send;
  if (is_counted && !budget.take(now)) return give_up{final_error(attempt.cause)};
  ++retries_;
  return retry_at{when};
}

error request_attempts::on_deadline() const {
  return final_error({error_kind::deadline_exceeded, "the deadline passed before the request was answered"});
}

outcome request_attempts::known_outcome() const noexcept {
  const bool has_effect = !request_.is_read;
  return may_have_run_ && has_effect ? outcome::unknown : outcome::not_run;
}

error request_attempts::final_error(error cause) const {
  if (known_outcome() == outcome::unknown) {
    cause.kind = error_kind::outcome_unknown;
    cause.stated_outcome = outcome::unknown;
    return cause;
  }
  cause.stated_outcome = outcome::not_run;
  return cause;
}

std::chrono::milliseconds remaining_time(time_point deadline, time_point now) noexcept {
  if (deadline <= now) return std::chrono::milliseconds{0};
  return std::chrono::floor<std::chrono::milliseconds>(deadline - now);
}

}  // namespace bulrushlift
