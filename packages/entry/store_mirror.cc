#include "entry/store_mirror.h"

#include <algorithm>
#include <utility>

#include "base/log.h"

namespace bulrushlift::entry {
namespace {

using std::chrono::milliseconds;

constexpr duration list_timeout = std::chrono::seconds{2};
// Added to the timeout of a watch call for the round trip to the store.
constexpr duration watch_reply_allowance = milliseconds{700};
// Added to the bound of a follower for the journey of an answer.
constexpr duration follow_allowance = milliseconds{500};
constexpr duration min_refresh_interval = milliseconds{300};
constexpr duration min_retry_pause = milliseconds{100};
constexpr duration max_retry_pause = milliseconds{1'000};

duration retry_pause(std::uint32_t failures, std::uint64_t random) {
  auto step = min_retry_pause;
  for (std::uint32_t i = 1; i < failures && step < max_retry_pause; ++i) step *= 2;
  if (step > max_retry_pause) step = max_retry_pause;
  // The second half of the pause is random, so that VMs that lost the store together do not retry
  // all at once.
  return step / 2 +
         duration{static_cast<duration::rep>(random % static_cast<std::uint64_t>(step.count() / 2))};
}

/// A silent connection hides a change from the watching VM for its wait, and the time of a confirmation is
/// known only to within the time that the watching VM may hold a question.
watch_delegation_options delegation_options(const shared_watch_options& shared) {
  watch_delegation_options options;
  options.bound = shared.watch_wait + watch_reply_allowance + shared.peer_wait + follow_allowance;
  return options;
}

}  // namespace

store_mirror::store_mirror(entry_context& context, platform::object_store& store, peer_adapter& peers,
                           platform::object_kind kind, mirror_options options, observer callbacks)
    : context_(context),
      store_(store),
      peers_(peers),
      kind_(kind),
      options_(options),
      callbacks_(std::move(callbacks)),
      merge_(options.removal_grace),
      delegation_(context.settings.vm, context.settings.data_centre, delegation_options(options.shared),
                  context.random()),
      server_(context.loop, context.incarnation.value()),
      retry_timer_(context.loop),
      grace_timer_(context.loop) {}

duration store_mirror::watch_wait() const noexcept {
  return delegation_.is_watcher() ? options_.shared.watch_wait : options_.watch_wait;
}

duration store_mirror::change_pause() const noexcept {
  return delegation_.is_delegating() ? options_.shared.change_pause : options_.change_pause;
}

void store_mirror::refresh() {
  const auto now = context_.loop.now();
  if (now - last_refresh_ < min_refresh_interval) return;
  last_refresh_ = now;
  store_.close_idle();
  list_again();
}

void store_mirror::list_again() {
  ++round_;
  is_refreshing_ = true;
  retry_timer_.cancel();
  list("");
}

void store_mirror::list(const std::string& after) {
  if (after.empty()) {
    merge_.begin_listing();
    has_first_page_ = false;
    first_sent_ = context_.loop.now();
    listing_source_ = delegation_.source();
  }
  if (listing_source_) {
    list_from_peer(after);
  } else {
    list_from_store(after);
  }
}

void store_mirror::list_from_store(const std::string& after) {
  store_.list(kind_, after, list_timeout,
              [this, alive = is_alive_, round = round_,
               sent = context_.loop.now()](const result<platform::object_page>& page) {
                if (*alive && round == round_) on_page(page, sent);
              });
}

void store_mirror::on_page(const result<platform::object_page>& page, time_point sent) {
  if (!page) {
    handle_failure(page.error());
    return;
  }
  const auto epoch = page->position.epoch;
  if (!std::exchange(has_first_page_, true)) listing_epoch_ = epoch;
  if (epoch != listing_epoch_) {
    // The pages before are of a lost history.
    list("");
    return;
  }
  if (page->has_more && page->objects.empty()) {
    // The next page can't be named, and a listing that ends here would seem to remove objects.
    handle_failure({error_kind::protocol_error, "a page of the listing has no readable object"});
    return;
  }
  for (const auto& each : page->objects) {
    merge_.on_listed(each.name);
    apply_object(each, object_origin::store);
  }
  if (page->has_more) {
    list(page->objects.back().name);
    return;
  }
  handle_success();
  finish_listing(page->position, object_origin::store);
  // The response may have waited here while the process was paused.
  confirm(std::min(context_.loop.now(), sent + list_timeout));
  watch();
}

void store_mirror::finish_listing(const store_version& position, object_origin origin) {
  is_refreshing_ = false;
  const bool is_first = !merge_.is_synced();
  if (merge_.is_restored(position)) {
    log_warning("store_restored", {{"kind", platform::name_of(kind_)},
                                   {"epoch", position.epoch.value()},
                                   {"at", position.version.value()}});
    start_removal_grace();
  }
  for (const auto& name : merge_.end_listing(position, origin, context_.loop.now())) {
    forget(name, position);
  }
  if (is_first) {
    log_info("store_synced", {{"kind", platform::name_of(kind_)}, {"at", position.version.value()}});
  }
  callbacks_.on_synced();
}

void store_mirror::confirm(time_point confirmed_at) {
  delegation_.on_confirmed(confirmed_at);
  if (is_shared()) server_.on_confirmed(merge_.position(), confirmed_at);
  if (callbacks_.on_confirmed) callbacks_.on_confirmed();
}

void store_mirror::watch() {
  const auto& source = delegation_.source();
  if (source != listing_source_) {
    // What the source before had not told is not in the changes of the new one.
    list("");
  } else if (source) {
    watch_peer(*source);
  } else {
    watch_store();
  }
}

void store_mirror::watch_store() {
  const auto wait = watch_wait();
  store_.watch(kind_, merge_.position(), wait, wait + watch_reply_allowance,
               [this, wait, alive = is_alive_, round = round_,
                sent = context_.loop.now()](const result<platform::object_events>& update) {
                 if (*alive && round == round_) on_events(update, sent, wait);
               });
}

void store_mirror::on_events(const result<platform::object_events>& update, time_point sent, duration wait) {
  if (!update) {
    handle_failure(update.error());
    return;
  }
  handle_success();
  for (const auto& each : update->events) {
    if (each.is_removed) {
      remove_object(each.object.name, update->position, object_origin::store);
    } else {
      apply_object(each.object, object_origin::store);
    }
  }
  merge_.advance(update->position);
  if (!update->events.empty()) callbacks_.on_synced();
  // The response may have waited here while the process was paused.
  confirm(std::min(context_.loop.now(), sent + wait + watch_reply_allowance));
  if (update->events.empty()) {
    watch();
  } else {
    retry_timer_.set(change_pause(), [this] { watch(); });
  }
}

bool store_mirror::apply_object(const platform::stored_object& object, object_origin origin) {
  const auto known = merge_.version_of(object.name);
  const auto verdict = merge_.put(object.name, object.version, origin);
  if (verdict == object_verdict::older) {
    log_info("object_ignored", {{"kind", platform::name_of(kind_)},
                                {"object", object.name},
                                {"version", object.version.version.value()},
                                {"known_version", known.version.value()}});
  }
  if (verdict != object_verdict::applied) return false;
  if (is_shared()) {
    server_.objects().put(object.name, object.version,
                          object.content.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
  }
  callbacks_.on_object(object);
  return true;
}

void store_mirror::remove_object(const std::string& name, const store_version& at, object_origin origin) {
  if (merge_.remove(name, at, origin, context_.loop.now())) forget(name, at);
}

void store_mirror::forget(const std::string& name, const store_version& at) {
  if (is_shared()) server_.objects().remove(name, std::max(at, merge_.position()));
  callbacks_.on_removed(name);
}

void store_mirror::handle_success() {
  is_refreshing_ = false;
  const bool was_lost = std::exchange(failures_, 0) != 0;
  if (was_lost) log_info("store_regained", {{"kind", platform::name_of(kind_)}});
  if (std::exchange(needs_grace_, false) || was_lost) start_removal_grace();
}

void store_mirror::start_removal_grace() {
  if (!merge_.has_grace()) return;
  merge_.start_grace(context_.loop.now());
  grace_timer_.set(options_.removal_grace, [this] { remove_pending(); });
}

void store_mirror::remove_pending() {
  const auto names = merge_.end_grace();
  for (const auto& name : names) forget(name, merge_.position());
  if (names.empty()) return;
  callbacks_.on_synced();
  server_.answer_changed();
}

void store_mirror::handle_failure(const error& reason) {
  is_refreshing_ = false;
  if (failures_++ == 0) {
    log_warning("store_lost", {{"kind", platform::name_of(kind_)}, {"reason", reason.message}});
  }
  server_.on_stopped();
  // The store may come back from an older copy, where the position of the watch is one of the lost history.
  retry_timer_.set(retry_pause(failures_, context_.random()), [this] { list(""); });
}

}  // namespace bulrushlift::entry
