#pragma once

#include <map>

#include "entry/watch_wire.h"
#include "fleet/published_objects.h"
#include "net/event_loop.h"
#include "net/peer_link.h"

/// @file
/// Answers the followers of one kind of objects, at once or when something changes.

namespace bulrushlift::entry {

class watch_server {
 public:
  /// @param instance number of this process.
  watch_server(event_loop& loop, std::uint64_t instance)
      : loop_(loop), objects_(instance), wait_timer_(loop) {}

  [[nodiscard]] published_objects& objects() noexcept { return objects_; }

  /// The store has confirmed what is published here. Answers the questions that wait for a change.
  /// @param position that the published objects reach.
  /// @param confirmed_at when the store had nothing newer.
  void on_confirmed(const store_version& position, time_point confirmed_at);
  /// This VM does not watch the store, or cannot reach it. Tells so to all that wait.
  void on_stopped();
  /// Answers the questions that wait and whose cursor is behind. Call after a change that no confirmation
  /// follows.
  void answer_changed();
  /// Handles a question; the answer comes within the wait that the question allows.
  void answer(watch_question question, const peer_responder& respond);

 private:
  struct waiting_question {
    watch_question question;
    time_point received;
    peer_responder respond;
  };

  [[nodiscard]] watch_answer make_answer(const watch_question& question, time_point received) const;
  void answer_expired();
  void reset_timer();

  event_loop& loop_;
  published_objects objects_;
  bool is_watching_ = false;
  store_version position_;
  time_point confirmed_at_{};
  std::multimap<time_point, waiting_question> waiting_;  ///< By the end of the wait.
  scoped_timer wait_timer_;
};

}  // namespace bulrushlift::entry
