#pragma once

#include <cstddef>
#include <functional>
#include <memory>

#include "base/clock.h"
#include "base/ids.h"

class ACE_Reactor;

/// @file
/// The single-threaded event loop of a process: one `ACE_Reactor` over an
/// `ACE_Dev_Poll_Reactor`, with timers on monotonic time.
///
///     event_loop loop;
///     loop.schedule(std::chrono::milliseconds{5}, [&] { loop.stop(); });
///     loop.run();

namespace bulrushlift {

/// Names a scheduled timer; 0 names none.
using timer_id = number_id<struct timer_tag>;

/// Owns the reactor and the timers. All calls come from the thread that runs it.
class event_loop {
 public:
  /// @param max_handles descriptors that must be usable, as far as the process limit allows.
  explicit event_loop(std::size_t max_handles = 65'536);
  event_loop(const event_loop&) = delete;
  event_loop& operator=(const event_loop&) = delete;
  ~event_loop();

  [[nodiscard]] time_point now() const noexcept { return system_clock{}.now(); }

  /// Handles events until `stop()`.
  void run();

  /// Handles events until `stop()` or until `span` has passed.
  void run_for(duration span);

  /// Ends `run()` or `run_for()` after the current callback.
  void stop() noexcept { is_stopped_ = true; }

  /// Calls `callback` once after `delay`. A delay of zero or less runs in the next turn.
  timer_id schedule(duration delay, std::function<void()> callback);

  /// Drops the timer. Timers that ran or were cancelled are ignored.
  void cancel(timer_id id);

  /// Calls `callback` in the next turn of the loop, in the order of the calls.
  void post(std::function<void()> callback);

  /// Calls `callback` for each arrival of the signal, from the loop and not from
  /// the signal context.
  /// @return false if the signal cannot be watched.
  [[nodiscard]] bool on_signal(int signal_number, std::function<void()> callback);

  /// The reactor, for the classes of this package.
  [[nodiscard]] ACE_Reactor& reactor() noexcept;

 private:
  struct state;

  void run_posted();
  void turn(duration max_wait);

  std::unique_ptr<state> state_;
  bool is_stopped_ = false;
};

/// A timer that is cancelled when its owner is destroyed or sets it again.
class scoped_timer {
 public:
  explicit scoped_timer(event_loop& loop) : loop_(&loop) {}
  scoped_timer(const scoped_timer&) = delete;
  scoped_timer& operator=(const scoped_timer&) = delete;
  ~scoped_timer() { cancel(); }

  /// Replaces a pending call by one of `callback` after `delay`.
  void set(duration delay, std::function<void()> callback);
  void cancel();
  [[nodiscard]] bool is_set() const noexcept { return id_ != timer_id{}; }

 private:
  event_loop* loop_;
  timer_id id_;
};

}  // namespace bulrushlift
