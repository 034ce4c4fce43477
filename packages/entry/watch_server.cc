#include "entry/watch_server.h"

#include <utility>

namespace bulrushlift::entry {
namespace {

// Bytes of names and contents in an answer. An eighth of the largest frame, so that one large object more
// still fits, and a fifth of a second of a link of 10 Mbit/s.
constexpr std::size_t max_batch_bytes = 256U << 10U;
static_assert(max_batch_bytes * 8 <= 2U << 20U);

}  // namespace

void watch_server::on_confirmed(const store_version& position, time_point confirmed_at) {
  is_watching_ = true;
  position_ = position;
  confirmed_at_ = confirmed_at;
  answer_changed();
}

void watch_server::on_stopped() {
  is_watching_ = false;
  for (const auto& [end, each] : std::exchange(waiting_, {})) each.respond(encode_not_watching());
  wait_timer_.cancel();
}

watch_answer watch_server::make_answer(const watch_question& question, time_point received) const {
  watch_answer answer;
  answer.position = position_;
  answer.age = received - confirmed_at_;
  answer.batch.cursor = objects_.cursor();
  if (question.is_probe) return answer;
  if (!question.cursor) {
    answer.batch = objects_.list(question.after, question.position, max_batch_bytes);
    return answer;
  }
  if (auto changes = objects_.changes_after(*question.cursor, max_batch_bytes)) {
    answer.batch = std::move(*changes);
  } else {
    answer.is_gap = true;
  }
  return answer;
}

void watch_server::answer(watch_question question, const peer_responder& respond) {
  if (!is_watching_) return respond(encode_not_watching());
  const bool is_waiting = question.cursor == objects_.cursor() && question.wait > duration::zero();
  const auto now = loop_.now();
  if (!is_waiting) return respond(encode(make_answer(question, now)));
  const auto end = now + question.wait;
  waiting_.emplace(end, waiting_question{std::move(question), now, respond});
  reset_timer();
}

void watch_server::answer_changed() {
  for (auto it = waiting_.begin(); it != waiting_.end();) {
    const auto& [question, received, respond] = it->second;
    if (question.cursor == objects_.cursor()) {
      ++it;
      continue;
    }
    respond(encode(make_answer(question, received)));
    it = waiting_.erase(it);
  }
  reset_timer();
}

void watch_server::answer_expired() {
  const auto now = loop_.now();
  while (!waiting_.empty() && waiting_.begin()->first <= now) {
    const auto node = waiting_.extract(waiting_.begin());
    const auto& [question, received, respond] = node.mapped();
    respond(encode(make_answer(question, received)));
  }
  reset_timer();
}

void watch_server::reset_timer() {
  if (waiting_.empty()) {
    wait_timer_.cancel();
  } else {
    wait_timer_.set(waiting_.begin()->first - loop_.now(), [this] { answer_expired(); });
  }
}

}  // namespace bulrushlift::entry
