#pragma once

#include <chrono>
#include <cstddef>

#include "base/clock.h"
#include "base/error.h"

/// @file
/// Settings of the group controller and their builder.
///
///     auto options = group_options_builder{}.poll_interval(50ms).build();

namespace bulrushlift {

/// Test-only: makes the controller break one rule, to prove that the checks notice.
enum class broken_group_rule {
  none,
  no_fencing,         ///< Promotes after one member is fenced.
  promote_oldest,     ///< Promotes the fenced member with the oldest log point.
  acknowledge_alone,  ///< Acknowledges without a second member.
  count_any_term,     ///< Counts a second member whatever the term of its point.
};

/// Immutable settings; the defaults are those of the design page.
struct group_options {
  duration tick_interval = std::chrono::milliseconds{10};
  duration poll_interval = std::chrono::milliseconds{100};
  duration poll_timeout = std::chrono::milliseconds{150};
  /// Polls that time out in a row before a target counts as unreachable.
  std::size_t failed_poll_limit = 3;
  /// A primary that a majority has not heard for this long is lost. A term without a known
  /// primary for this long starts a promotion.
  duration primary_silence = std::chrono::milliseconds{500};
  duration long_poll_wait = std::chrono::milliseconds{1'000};
  /// Timeout of one fence, promote or follow request.
  duration step_timeout = std::chrono::milliseconds{150};
  /// First pause before a step is repeated and before another attempt at a promotion;
  /// doubles up to `retry_limit`, with jitter of half the pause.
  duration retry_pause = std::chrono::milliseconds{50};
  duration retry_limit = std::chrono::milliseconds{1'000};
  /// Time in which the members other than a lost or leaving primary may form the fenced
  /// majority by themselves, before that primary is considered for promotion too.
  duration exclusion_wait = std::chrono::milliseconds{300};
  /// Requests to one chosen member that fail before another attempt with a higher term.
  std::size_t promote_attempts = 3;
  /// Longest wait for the writes in flight in a planned hand-over.
  duration hand_over_wait = std::chrono::milliseconds{200};
  /// Freshness samples kept. At one sample per poll round they span several seconds, so
  /// that a replica that lags by less than that has a known age.
  std::size_t sample_limit = 64;

  broken_group_rule broken_rule = broken_group_rule::none;

  friend bool operator==(const group_options&, const group_options&) = default;
};

/// Builds options and checks them.
class group_options_builder {
 public:
  group_options_builder& poll_interval(duration value) noexcept;
  group_options_builder& poll_timeout(duration value) noexcept;
  group_options_builder& primary_silence(duration value) noexcept;
  group_options_builder& long_poll_wait(duration value) noexcept;
  group_options_builder& step_timeout(duration value) noexcept;
  group_options_builder& retry_pause(duration first, duration limit) noexcept;
  group_options_builder& hand_over_wait(duration value) noexcept;
  group_options_builder& sample_limit(std::size_t value) noexcept;

  /// Test-only.
  group_options_builder& broken_rule(broken_group_rule value) noexcept;

  /// @return the options, or `invalid_settings` naming the setting that is not positive
  ///   or contradicts another.
  [[nodiscard]] result<group_options> build() const;

 private:
  group_options options_;
};

}  // namespace bulrushlift
