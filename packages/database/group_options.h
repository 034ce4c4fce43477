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

/// For tests only: a rule that the controller breaks, to show that the checks detect it.
enum class broken_group_rule {
  none,
  no_fencing,         ///< Promotes after one member, not a majority, is fenced.
  promote_oldest,     ///< Promotes the fenced member with the oldest log point.
  acknowledge_alone,  ///< Acknowledges writes that only the primary has.
  count_any_term,     ///< Counts a member for the majority whatever the term of its log point.
};

/// Settings of the group controller; the defaults are those of the design page.
struct group_options {
  duration tick_interval = std::chrono::milliseconds{10};
  duration poll_interval = std::chrono::milliseconds{100};
  duration poll_timeout = std::chrono::milliseconds{150};
  /// Number of consecutive failed polls after which a target counts as unreachable.
  std::size_t failed_poll_limit = 3;
  /// A primary counts as failed when a majority had no contact with it for this long. A term
  /// without a known primary for this long starts a promotion.
  duration primary_silence = std::chrono::milliseconds{500};
  duration long_poll_wait = std::chrono::milliseconds{1'000};
  /// Timeout of one fence, promote or follow request.
  duration step_timeout = std::chrono::milliseconds{150};
  /// First pause before a request is repeated and before another promotion attempt. It doubles with
  /// each failure, up to `retry_limit`; the pause is a random value between its half and the whole.
  duration retry_pause = std::chrono::milliseconds{50};
  duration retry_limit = std::chrono::milliseconds{1'000};
  /// A failed or leaving primary is promoted again only if the other members have not formed a
  /// fenced majority within this time.
  duration exclusion_wait = std::chrono::milliseconds{300};
  /// Number of failed `promote` requests to the chosen member after which another attempt with a
  /// higher term starts.
  std::size_t promote_attempts = 3;
  /// Longest time that a planned hand-over waits for the writes in flight.
  duration hand_over_wait = std::chrono::milliseconds{200};
  /// Number of freshness samples kept. At one sample per poll round they span several seconds, so
  /// that the age of the data is known on replicas that lag by less than that.
  std::size_t sample_limit = 64;

  broken_group_rule broken_rule = broken_group_rule::none;

  friend bool operator==(const group_options&, const group_options&) = default;
};

/// Builds `group_options` and validates them.
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

  /// For tests only.
  group_options_builder& broken_rule(broken_group_rule value) noexcept;

  /// @return the options, or `invalid_settings` with the name of a setting that is not positive
  ///   or contradicts another one.
  [[nodiscard]] result<group_options> build() const;

 private:
  group_options options_;
};

}  // namespace bulrushlift
