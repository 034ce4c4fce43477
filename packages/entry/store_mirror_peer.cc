#include <algorithm>
#include <utility>

#include "base/log.h"
#include "entry/store_mirror.h"

// The part of the mirror that reads from a VM that watches the store.

namespace bulrushlift::entry {
namespace {

using std::chrono::milliseconds;

// Added to the timeout of a question for the journey and for a busy VM.
constexpr duration answer_allowance = milliseconds{500};
constexpr duration page_timeout = std::chrono::seconds{1};
constexpr duration peer_retry_pause = milliseconds{200};

}  // namespace

void store_mirror::on_members() {
  if (!is_shared()) return;
  const auto change = delegation_.set_members(context_.shared.members, context_.loop.now());
  const bool is_role_changed =
      std::exchange(is_watcher_, delegation_.is_watcher()) != delegation_.is_watcher();
  const bool has_become_watcher = is_role_changed && is_watcher_;
  if (is_role_changed) {
    log_info("store_watcher_changed", {{"kind", platform::name_of(kind_)}, {"is_watcher", is_watcher_}});
  }
  if (change) return on_source_changed(*change);
  // The running watch may have a long wait, and followers need a young confirmation.
  if (has_become_watcher && is_synced()) list_again();
}

void store_mirror::on_tick() {
  if (!is_shared()) return;
  const auto action = delegation_.on_tick(context_.loop.now());
  if (action.change) {
    context_.counters
        .counter("store_watch_fallbacks_total", {{"kind", std::string{platform::name_of(kind_)}}})
        .add();
    needs_grace_ = true;
    on_source_changed(*action.change);
  }
  if (action.probe) probe(*action.probe);
}

void store_mirror::on_source_changed(const watch_source_change& change) {
  if (change.watcher) {
    log_info(
        "store_watch_followed",
        {{"kind", platform::name_of(kind_)}, {"watcher", change.watcher->str()}, {"reason", change.reason}});
    last_saved_ = context_.loop.now();
    server_.on_stopped();
  } else {
    log_info(
        "store_watch_resumed",
        {{"kind", platform::name_of(kind_)}, {"reason", change.reason}, {"confirmed_age_ms", change.age}});
  }
  list_again();
}

void store_mirror::ask(const vm_id& watcher, watch_question question,
                       std::function<void(const result<watch_answer>&)> done) {
  question.kind = platform::name_of(kind_);
  question.position = merge_.is_synced() ? merge_.position() : store_version{};
  const auto timeout = question.wait > duration::zero() ? question.wait + answer_allowance : page_timeout;
  peers_.request_watch(watcher, encode(question), timeout,
                       [alive = is_alive_, done = std::move(done)](const result<peer::envelope_t>& reply) {
                         if (!*alive) return;
                         if (!reply) return done(tl::unexpected<error>(reply.error()));
                         done(decode_answer(*reply));
                       });
}

void store_mirror::probe(const vm_id& watcher) {
  watch_question question;
  question.is_probe = true;
  ask(watcher, std::move(question),
      [this, watcher, sent = context_.loop.now()](const result<watch_answer>& answer) {
        const auto now = context_.loop.now();
        if (!answer || !delegation_.is_young(sent - answer->age, now)) return;
        if (!merge_.is_synced() || answer->position.epoch < merge_.position().epoch) return;
        if (const auto change = delegation_.on_probe_succeeded(watcher, now)) on_source_changed(*change);
      });
}

void store_mirror::list_from_peer(const std::string& after) {
  watch_question question;
  question.after = after;
  ask(*listing_source_, std::move(question),
      [this, round = round_, watcher = *listing_source_,
       sent = context_.loop.now()](const result<watch_answer>& answer) {
        if (round == round_) on_peer_page(watcher, answer, sent);
      });
}

bool store_mirror::check_answer(const vm_id& watcher, const result<watch_answer>& answer, time_point sent) {
  if (!answer) {
    retry_peer(watcher, answer.error().message);
    return false;
  }
  // The question arrived after it was sent, so the confirmation is at least as old as it seems here. A VM or
  // a link that was paused in between makes it no younger.
  if (!delegation_.is_young(sent - answer->age, context_.loop.now())) {
    retry_peer(watcher, "its confirmation is old");
    return false;
  }
  if (answer->position.epoch < merge_.position().epoch) {
    retry_peer(watcher, "it knows an earlier epoch of the store");
    return false;
  }
  return true;
}

void store_mirror::retry_peer(const vm_id& watcher, std::string_view reason) {
  log_info("store_watch_missed",
           {{"kind", platform::name_of(kind_)}, {"watcher", watcher.str()}, {"reason", reason}});
  delegation_.on_follow_failed(watcher, context_.loop.now());
  retry_timer_.set(peer_retry_pause, [this] { list(""); });
}

void store_mirror::on_peer_page(const vm_id& watcher, const result<watch_answer>& answer, time_point sent) {
  if (!check_answer(watcher, answer, sent)) return;
  if (!std::exchange(has_first_page_, true)) {
    first_answer_ = *answer;
    first_answer_.batch.objects.clear();
  }
  if (answer->batch.cursor.instance != first_answer_.batch.cursor.instance ||
      answer->position.epoch != first_answer_.position.epoch) {
    // The pages before are of another process or of a lost history.
    list("");
    return;
  }
  for (const auto& each : answer->batch.objects) merge_.on_listed(each.name);
  apply_from_peer(*answer);
  if (answer->batch.has_more) {
    // The next page cannot be named, and a listing that ends here would seem to remove objects.
    if (answer->batch.objects.empty()) {
      retry_peer(watcher, "a page of the listing has no object");
    } else {
      list(answer->batch.objects.back().name);
    }
    return;
  }
  // Changes after the first page are asked for from its cursor on, because pages before may lack them.
  cursor_ = first_answer_.batch.cursor;
  finish_listing(first_answer_.position, object_origin::peer);
  delegation_.on_followed(watcher, context_.loop.now());
  delegation_.on_confirmed(first_sent_ - first_answer_.age);
  watch();
}

void store_mirror::watch_peer(const vm_id& watcher) {
  watch_question question;
  question.cursor = cursor_;
  question.wait = options_.shared.peer_wait;
  ask(watcher, std::move(question),
      [this, round = round_, watcher, sent = context_.loop.now()](const result<watch_answer>& answer) {
        if (round == round_) on_peer_changes(watcher, answer, sent);
      });
}

void store_mirror::on_peer_changes(const vm_id& watcher, const result<watch_answer>& answer,
                                   time_point sent) {
  if (!check_answer(watcher, answer, sent)) return;
  if (answer->is_gap || answer->position.epoch != merge_.position().epoch) {
    list("");
    return;
  }
  apply_from_peer(*answer);
  cursor_ = answer->batch.cursor;
  if (!answer->batch.has_more) {
    merge_.advance(answer->position);
    delegation_.on_followed(watcher, context_.loop.now());
    delegation_.on_confirmed(sent - answer->age);
  }
  count_saved(!answer->batch.objects.empty());
  if (!answer->batch.objects.empty()) callbacks_.on_synced();
  if (!answer->batch.has_more && merge_.needs_listing(answer->position)) return list("");
  watch();
}

void store_mirror::apply_from_peer(const watch_answer& answer) {
  for (const auto& each : answer.batch.objects) {
    if (each.is_removed) {
      remove_object(each.name, each.version, object_origin::peer);
    } else if (each.content) {
      auto content = nlohmann::json::parse(*each.content, nullptr, false);
      if (content.is_discarded()) content = nullptr;
      apply_object({each.name, each.version, std::move(content)}, object_origin::peer);
    }
  }
}

void store_mirror::count_saved(bool has_changes) {
  const auto now = context_.loop.now();
  if (!has_changes && now - last_saved_ < options_.watch_wait) return;
  last_saved_ = now;
  ++saved_calls_;
  context_.counters.counter("store_calls_saved_total", {{"kind", std::string{platform::name_of(kind_)}}})
      .add();
}

}  // namespace bulrushlift::entry
