#include "database/group_options.h"

#include <string>

namespace bulrushlift {

group_options_builder& group_options_builder::poll_interval(duration value) noexcept {
  options_.poll_interval = value;
  return *this;
}

group_options_builder& group_options_builder::poll_timeout(duration value) noexcept {
  options_.poll_timeout = value;
  return *this;
}

group_options_builder& group_options_builder::primary_silence(duration value) noexcept {
  options_.primary_silence = value;
  return *this;
}

group_options_builder& group_options_builder::long_poll_wait(duration value) noexcept {
  options_.long_poll_wait = value;
  return *this;
}

group_options_builder& group_options_builder::step_timeout(duration value) noexcept {
  options_.step_timeout = value;
  return *this;
}

group_options_builder& group_options_builder::retry_pause(duration first, duration limit) noexcept {
  options_.retry_pause = first;
  options_.retry_limit = limit;
  return *this;
}

group_options_builder& group_options_builder::hand_over_wait(duration value) noexcept {
  options_.hand_over_wait = value;
  return *this;
}

group_options_builder& group_options_builder::sample_limit(std::size_t value) noexcept {
  options_.sample_limit = value;
  return *this;
}

group_options_builder& group_options_builder::broken_rule(broken_group_rule value) noexcept {
  options_.broken_rule = value;
  return *this;
}

result<group_options> group_options_builder::build() const {
  const auto is_positive = [](duration value) { return value > duration{}; };
  const auto invalid = [](const std::string& message) {
    return make_error(error_kind::invalid_settings, "group options: " + message);
  };
  if (!is_positive(options_.poll_interval)) return invalid("poll_interval must be positive");
  if (!is_positive(options_.poll_timeout)) return invalid("poll_timeout must be positive");
  if (!is_positive(options_.long_poll_wait)) return invalid("long_poll_wait must be positive");
  if (!is_positive(options_.step_timeout)) return invalid("step_timeout must be positive");
  if (!is_positive(options_.retry_pause)) return invalid("retry_pause must be positive");
  if (options_.retry_limit < options_.retry_pause) return invalid("retry_limit must be at least retry_pause");
  if (options_.primary_silence < options_.poll_interval)
    return invalid("primary_silence must be at least poll_interval");
  if (options_.sample_limit == 0) return invalid("sample_limit must be positive");
  return options_;
}

}  // namespace bulrushlift
