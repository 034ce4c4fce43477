#include "entry/store_mirror.h"

#include <utility>

#include "base/log.h"

namespace bulrushlift::entry {
namespace {

using std::chrono::milliseconds;

constexpr duration list_timeout = std::chrono::seconds{2};
// Beyond the wait of a watch: its way to the store and back.
constexpr duration watch_slack = milliseconds{700};
constexpr duration refresh_pause = milliseconds{300};
constexpr duration first_retry = milliseconds{100};
constexpr duration longest_retry = milliseconds{1'000};

duration retry_pause(std::uint32_t failures, std::uint64_t random) {
  auto step = first_retry;
  for (std::uint32_t i = 1; i < failures && step < longest_retry; ++i) step *= 2;
  if (step > longest_retry) step = longest_retry;
  // The upper half is random, so that VMs that failed together return spread out.
  return step / 2 +
         duration{static_cast<duration::rep>(random % static_cast<std::uint64_t>(step.count() / 2))};
}

}  // namespace

store_mirror::store_mirror(entry_context& context, platform::object_store& store, platform::object_kind kind,
                           mirror_options options, observer callbacks)
    : context_(context),
      store_(store),
      kind_(kind),
      options_(options),
      callbacks_(std::move(callbacks)),
      retry_timer_(context.loop),
      grace_timer_(context.loop) {}

object_version store_mirror::version_of(const std::string& name) const {
  const auto it = known_.find(name);
  return it == known_.end() ? object_version{} : it->second;
}

void store_mirror::refresh() {
  const auto now = context_.loop.now();
  if (now - refreshed_ < refresh_pause) return;
  refreshed_ = now;
  ++round_;
  is_refreshing_ = true;
  retry_timer_.cancel();
  list("");
}

void store_mirror::list(const std::string& after) {
  if (after.empty()) listed_.clear();
  store_.list(kind_, after, list_timeout,
              [this, alive = is_alive_, round = round_](const result<platform::object_page>& page) {
                if (*alive && round == round_) on_page(page);
              });
}

void store_mirror::on_page(const result<platform::object_page>& page) {
  if (!page) {
    on_failure(page.error());
    return;
  }
  for (const auto& each : page->objects) {
    listed_.insert(each.name);
    take(each);
  }
  if (page->has_more && !page->objects.empty()) {
    list(page->objects.back().name);
    return;
  }
  at_ = page->at;
  must_list_ = false;
  regain();
  std::set<std::string> gone;
  for (const auto& [name, version] : known_) {
    if (!listed_.contains(name)) gone.insert(name);
  }
  for (const auto& name : gone) drop(name);
  const bool is_first = !std::exchange(is_synced_, true);
  if (is_first) log_info("store_synced", {{"kind", platform::name_of(kind_)}, {"at", at_.value()}});
  callbacks_.on_synced();
  watch();
}

void store_mirror::watch() {
  store_.watch(kind_, at_, options_.watch_wait, options_.watch_wait + watch_slack,
               [this, alive = is_alive_, round = round_](const result<platform::object_events>& news) {
                 if (*alive && round == round_) on_events(news);
               });
}

void store_mirror::on_events(const result<platform::object_events>& news) {
  if (!news) {
    if (news.error().kind == error_kind::position_unavailable) must_list_ = true;
    on_failure(news.error());
    return;
  }
  regain();
  for (const auto& each : news->events) {
    if (each.is_removed) {
      drop(each.object.name);
    } else {
      take(each.object);
    }
  }
  if (news->at > at_) at_ = news->at;
  if (!news->events.empty()) callbacks_.on_synced();
  watch();
}

void store_mirror::take(const platform::stored_object& object) {
  missing_.erase(object.name);
  auto& version = known_[object.name];
  // Listings and watches may show an object twice, but never go back.
  if (version != object_version{} && object.version <= version) return;
  version = object.version;
  callbacks_.on_object(object);
}

void store_mirror::drop(const std::string& name) {
  if (!known_.contains(name)) return;
  if (context_.loop.now() < grace_end_) {
    missing_.insert(name);
    return;
  }
  known_.erase(name);
  missing_.erase(name);
  callbacks_.on_removed(name);
}

void store_mirror::regain() {
  is_refreshing_ = false;
  if (std::exchange(failures_, 0) == 0) return;
  log_info("store_regained", {{"kind", platform::name_of(kind_)}});
  if (options_.removal_grace <= duration::zero()) return;
  grace_end_ = context_.loop.now() + options_.removal_grace;
  grace_timer_.set(options_.removal_grace, [this] { remove_missing(); });
}

void store_mirror::remove_missing() {
  const auto names = std::exchange(missing_, {});
  for (const auto& name : names) drop(name);
  if (!names.empty()) callbacks_.on_synced();
}

void store_mirror::on_failure(const error& reason) {
  is_refreshing_ = false;
  if (failures_++ == 0) {
    log_warning("store_lost", {{"kind", platform::name_of(kind_)}, {"reason", reason.message}});
  }
  retry_timer_.set(retry_pause(failures_, context_.random()), [this] {
    if (must_list_) {
      list("");
    } else {
      watch();
    }
  });
}

}  // namespace bulrushlift::entry
