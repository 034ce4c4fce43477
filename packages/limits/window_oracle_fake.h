#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <utility>

#include "limits/tokens.h"

/// @file
/// Checks the limit of one customer in every span of the operators' window, in true time.

namespace bulrushlift {

class global_window_oracle {
 public:
  explicit global_window_oracle(duration window) : window_(window) {}

  /// Adds a document that may be in force from `now` on.
  void add(std::uint64_t generation, const budget_share& share) { documents_[generation] = share; }
  /// Removes a document that is no longer in force on any VM. It binds the windows that began before.
  void remove(std::uint64_t generation, duration now) { removals_[generation] = now; }
  /// A process started, or one that had a successor stopped: the operators tolerate an excess of a
  /// tenth and `slack`, which is used only in windows that contain such an event.
  void on_restart(duration now) { last_restart_ = now; }

  /// Counts a request.
  /// @return whether the window that ends now keeps the limit.
  [[nodiscard]] bool spend(millitokens cost, duration now);

 private:
  [[nodiscard]] millitokens limit(duration now);

  static constexpr auto slack = whole_tokens(20);
  static constexpr std::int64_t overage_divisor = 10;

  duration window_;
  std::map<std::uint64_t, budget_share> documents_;
  std::map<std::uint64_t, duration> removals_;
  std::deque<std::pair<duration, millitokens>> spent_;
  millitokens sum_;
  duration last_restart_ = -std::chrono::hours{1};
};

}  // namespace bulrushlift
