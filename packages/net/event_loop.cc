#include "net/event_loop.h"

#include <ace/ACE.h>
#include <ace/Dev_Poll_Reactor.h>
#include <ace/Event_Handler_Handle_Timeout_Upcall.h>
#include <ace/Monotonic_Time_Policy.h>
#include <ace/Null_Mutex.h>
#include <ace/Reactor.h>
#include <ace/Timer_Heap_T.h>
#include <sys/resource.h>
#include <sys/signalfd.h>
#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <unordered_map>
#include <utility>
#include <vector>

namespace bulrushlift {
namespace {

// The default timer queue of ACE follows the wall clock; this one follows the monotonic clock.
using monotonic_timer_heap = ACE_Timer_Heap_T<ACE_Event_Handler*, ACE_Event_Handler_Handle_Timeout_Upcall,
                                              ACE_Null_Mutex, ACE_Monotonic_Time_Policy>;

// The reactor cuts the current time to its resolution before it adds the delay of a timer.
constexpr std::chrono::microseconds reactor_resolution{1};

ACE_Time_Value to_ace(duration span) {
  if (span <= duration::zero()) return ACE_Time_Value::zero;
  // Rounded up, so that a timer never runs before its time.
  return ACE_Time_Value{std::chrono::ceil<std::chrono::microseconds>(span) + reactor_resolution};
}

// A descriptor's number must be below the size of the reactor's table, also when other
// parts of the process hold the lower numbers.
constexpr std::size_t usual_handles = 65'536;

/// Chooses the size of the reactor's table and keeps the process limit, which the
/// reactor otherwise lowers to that size.
class handle_limit {
 public:
  handle_limit() { is_known_ = getrlimit(RLIMIT_NOFILE, &limit_) == 0; }
  handle_limit(const handle_limit&) = delete;
  handle_limit& operator=(const handle_limit&) = delete;
  ~handle_limit() {
    rlimit current{};
    if (!is_known_ || getrlimit(RLIMIT_NOFILE, &current) != 0) return;
    if (current.rlim_cur < limit_.rlim_cur) setrlimit(RLIMIT_NOFILE, &limit_);
  }

  [[nodiscard]] std::size_t table_size(std::size_t wanted) const {
    if (!is_known_) return wanted;
    const auto in_use = std::min<std::size_t>(limit_.rlim_cur, usual_handles);
    return std::min<std::size_t>(std::max(wanted, in_use), limit_.rlim_max);
  }

 private:
  rlimit limit_{};
  bool is_known_ = false;
};

// Callbacks that post others run this often before the next events are handled.
constexpr int posted_rounds = 8;

/// Its address is the argument of its timeout.
struct timer_entry {
  std::uint64_t id = 0;
  long ace_id = -1;
  std::function<void()> callback;
};

/// Receives all timeouts.
class timer_dispatcher : public ACE_Event_Handler {
 public:
  int handle_timeout(const ACE_Time_Value& /*now*/, const void* argument) override {
    // Cancelled timers are removed from the reactor, so the entry exists.
    const auto node = entries.extract(static_cast<const timer_entry*>(argument)->id);
    node.mapped().callback();
    return 0;
  }

  // Entries keep their addresses while others come and go.
  std::unordered_map<std::uint64_t, timer_entry> entries;
};

/// Reads one signal from a descriptor, so that its callback runs in the loop.
class signal_handler : public ACE_Event_Handler {
 public:
  signal_handler(ACE_HANDLE handle, std::function<void()> callback)
      : handle_(handle), callback_(std::move(callback)) {}
  signal_handler(const signal_handler&) = delete;
  signal_handler& operator=(const signal_handler&) = delete;
  ~signal_handler() override { ::close(handle_); }

  [[nodiscard]] ACE_HANDLE get_handle() const override { return handle_; }

  int handle_input(ACE_HANDLE /*handle*/) override {
    signalfd_siginfo info{};
    if (::read(handle_, &info, sizeof info) == sizeof info) callback_();
    return 0;
  }

  int handle_close(ACE_HANDLE /*handle*/, ACE_Reactor_Mask /*mask*/) override { return 0; }

 private:
  ACE_HANDLE handle_;
  std::function<void()> callback_;
};

}  // namespace

struct event_loop::state {
  explicit state(std::size_t max_handles)
      : implementation(max_handles, false, nullptr, &timers), reactor(&implementation) {}

  monotonic_timer_heap timers;
  ACE_Dev_Poll_Reactor implementation;
  ACE_Reactor reactor;
  timer_dispatcher dispatcher;
  std::uint64_t last_timer = 0;
  std::vector<std::unique_ptr<signal_handler>> signals;
  std::vector<std::function<void()>> posted;
};

event_loop::event_loop(std::size_t max_handles) {
  // A write to a closed connection is reported by its error code.
  std::signal(SIGPIPE, SIG_IGN);
  const handle_limit limit;
  state_ = std::make_unique<state>(limit.table_size(max_handles));
}

event_loop::~event_loop() {
  for (const auto& handler : state_->signals) {
    state_->reactor.remove_handler(handler.get(),
                                   ACE_Event_Handler::READ_MASK | ACE_Event_Handler::DONT_CALL);
  }
  // The timer queue outlives the dispatcher and would call it for timers that are left.
  state_->reactor.cancel_timer(&state_->dispatcher);
  // Callbacks may own connections, which use the reactor until they are destroyed.
  state_->posted.clear();
  auto entries = std::exchange(state_->dispatcher.entries, {});
  entries.clear();
}

ACE_Reactor& event_loop::reactor() noexcept { return state_->reactor; }

void event_loop::run() {
  is_stopped_ = false;
  while (!is_stopped_) turn();
}

void event_loop::run_for(duration span) {
  is_stopped_ = false;
  const auto end = now() + span;
  // Wakes the loop at the end if nothing else does.
  const auto wake = schedule(span, [] {});
  while (!is_stopped_ && now() < end) turn();
  cancel(wake);
}

void event_loop::turn() {
  for (int i = 0; i < posted_rounds && !state_->posted.empty() && !is_stopped_; ++i) run_posted();
  if (is_stopped_) return;
  if (!state_->posted.empty()) {
    auto no_wait = ACE_Time_Value::zero;
    state_->reactor.handle_events(no_wait);
    return;
  }
  // Without a bound: the reactor reads the wall clock several times for each bounded wait.
  state_->reactor.handle_events();
}

void event_loop::run_posted() {
  const auto callbacks = std::exchange(state_->posted, {});
  for (const auto& callback : callbacks) callback();
}

timer_id event_loop::schedule(duration delay, std::function<void()> callback) {
  const auto id = ++state_->last_timer;
  auto& entry = state_->dispatcher.entries[id];
  entry.id = id;
  entry.callback = std::move(callback);
  entry.ace_id = state_->reactor.schedule_timer(&state_->dispatcher, &entry, to_ace(delay));
  return timer_id{id};
}

void event_loop::cancel(timer_id id) {
  // The callback is destroyed after the removal, because it may own other timers.
  const auto node = state_->dispatcher.entries.extract(id.value());
  if (!node.empty()) state_->reactor.cancel_timer(node.mapped().ace_id);
}

void event_loop::post(std::function<void()> callback) { state_->posted.push_back(std::move(callback)); }

bool event_loop::on_signal(int signal_number, std::function<void()> callback) {
  sigset_t set;
  sigemptyset(&set);
  sigaddset(&set, signal_number);
  if (pthread_sigmask(SIG_BLOCK, &set, nullptr) != 0) return false;
  const int handle = signalfd(-1, &set, SFD_NONBLOCK | SFD_CLOEXEC);
  if (handle < 0) return false;
  auto handler = std::make_unique<signal_handler>(handle, std::move(callback));
  if (state_->reactor.register_handler(handler.get(), ACE_Event_Handler::READ_MASK) != 0) return false;
  state_->signals.push_back(std::move(handler));
  return true;
}

void scoped_timer::set(duration delay, std::function<void()> callback) {
  cancel();
  id_ = loop_->schedule(delay, [this, callback = std::move(callback)] {
    id_ = timer_id{};
    // Copied, because the callback may set this timer again or destroy its owner.
    const auto copy = callback;
    copy();
  });
}

void scoped_timer::cancel() {
  if (!is_set()) return;
  loop_->cancel(std::exchange(id_, timer_id{}));
}

}  // namespace bulrushlift
