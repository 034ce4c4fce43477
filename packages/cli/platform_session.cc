#include "cli/platform_session.h"

#include <fmt/format.h>

#include <deque>
#include <functional>
#include <utility>

#include "base/digest.h"

namespace bulrushlift {
namespace {

using std::chrono::seconds;

constexpr seconds admin_timeout{2};

/// @return a random seed, so that the retry jitter differs between processes.
std::uint64_t random_seed() {
  std::uint64_t seed = 0;
  for (const char c : random_bytes(sizeof(seed))) seed = seed << 8U | static_cast<unsigned char>(c);
  return seed;
}

object_store_client_options session_options() {
  object_store_client_options options;
  options.pacing = call_pacer::options{};
  options.seed = random_seed();
  return options;
}

/// Starts a call and runs the loop until it is answered. It always returns, since the client's timeouts end
/// every call.
template <class T, class Start>
result<T> run_until_answered(event_loop& loop, Start start) {
  std::optional<result<T>> answer;
  start([&](result<T> value) {
    answer = std::move(value);
    loop.stop();
  });
  while (!answer) loop.run_for(seconds{1});
  return *std::move(answer);
}

/// A request to one admin listener. Calls `done` when the answer or an error is available.
class admin_call {
 public:
  admin_call(event_loop& loop, const admin_request& request, std::function<void()> done)
      : connection_(loop), done_(std::move(done)) {
    const auto address = parse_address(request.address);
    if (!address) {
      loop.post([this, problem = address.error()] { finish(tl::unexpected{problem}); });
      return;
    }
    connection_.open(*address, admin_timeout, [this, request](const result<void>& opened) {
      if (!opened) {
        finish(tl::unexpected{opened.error()});
        return;
      }
      http_request message{.method = request.method, .target = request.target};
      message.headers.add("Host", request.address);
      connection_.send(message, admin_timeout,
                       [this](const result<http_response>& answer) { handle_response(answer); });
    });
  }

  [[nodiscard]] const std::optional<result<std::string>>& answer() const noexcept { return answer_; }

 private:
  void handle_response(const result<http_response>& answer) {
    if (!answer) {
      finish(tl::unexpected{answer.error()});
    } else if (answer->status < 200 || answer->status > 299) {
      finish(make_error(error_kind::protocol_error,
                        fmt::format("the admin listener answered with HTTP status {}", answer->status)));
    } else {
      finish(answer->body);
    }
  }

  void finish(result<std::string> answer) {
    answer_ = std::move(answer);
    done_();
  }

  http_connection connection_;
  std::function<void()> done_;
  std::optional<result<std::string>> answer_;
};

}  // namespace

namespace {

/// Marks a failed read as not run: it changed nothing, whether or not it reached the platform.
template <class T>
result<T> mark_not_run(result<T> answer) {
  if (!answer) answer.error().stated_outcome = outcome::not_run;
  return answer;
}

}  // namespace

platform_session::platform_session(event_loop& loop, const net_address& platform)
    : loop_(loop), client_(loop, platform, session_options()) {}

result<platform_object> platform_session::get(std::string_view path) {
  return mark_not_run(
      run_until_answered<platform_object>(loop_, [&](auto done) { client_.get(path, done); }));
}

result<object_version> platform_session::put(std::string_view path, std::string_view value,
                                             std::optional<object_version> if_version) {
  return run_until_answered<object_version>(loop_,
                                            [&](auto done) { client_.put(path, value, if_version, done); });
}

result<std::vector<platform_object>> platform_session::list(std::string_view prefix) {
  return mark_not_run(run_until_answered<std::vector<platform_object>>(
      loop_, [&](auto done) { client_.list(prefix, done); }));
}

std::vector<result<std::string>> call_admin_listeners(event_loop& loop,
                                                      const std::vector<admin_request>& requests) {
  auto pending = requests.size();
  std::deque<admin_call> calls;
  for (const auto& it : requests) {
    calls.emplace_back(loop, it, [&] {
      if (--pending == 0) loop.stop();
    });
  }
  while (pending > 0) loop.run_for(seconds{1});
  std::vector<result<std::string>> answers;
  answers.reserve(calls.size());
  for (const auto& it : calls) answers.push_back(*it.answer());
  return answers;
}

}  // namespace bulrushlift
