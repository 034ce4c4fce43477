#include "standins/object_store_model.h"

#include <algorithm>
#include <utility>

namespace bulrushlift {

std::string_view name_of(store_call_kind kind) noexcept {
  switch (kind) {
    case store_call_kind::get:
      return "get";
    case store_call_kind::watch:
      return "watch";
    case store_call_kind::put:
      return "put";
    case store_call_kind::remove:
      return "delete";
    case store_call_kind::list:
      return "list";
    case store_call_kind::vms:
      break;
  }
  return "vms";
}

const stored_object* object_store_model::newest(std::string_view path) const {
  const auto it = content_.objects.find(path);
  return it == content_.objects.end() || !it->second.newest ? nullptr : &*it->second.newest;
}

const stored_object* object_store_model::visible(std::string_view path) const {
  if (!faults_.serve_old) return newest(path);
  const auto it = content_.objects.find(path);
  if (it == content_.objects.end()) return nullptr;
  const auto& [latest, previous] = it->second;
  if (previous) return &*previous;
  return latest ? &*latest : nullptr;
}

std::vector<store_reply> object_store_model::handle(time_point now, const store_request& request) {
  ++counts_[request.call];
  if (faults_.down) {
    reply(now, {.id = request.id, .status = 0});
    return take_due(now);
  }
  switch (request.call) {
    case store_call_kind::get:
      read(now, request);
      break;
    case store_call_kind::watch:
      watch(now, request);
      break;
    case store_call_kind::put:
    case store_call_kind::remove:
      write(now, request);
      break;
    case store_call_kind::list:
      list(now, request);
      break;
    case store_call_kind::vms:
      reply(now, {.id = request.id, .status = 200, .vms = vms_});
      break;
  }
  return take_due(now);
}

void object_store_model::write(time_point now, const store_request& request) {
  if (request.value.size() > max_object_bytes) {
    reply(now, {.id = request.id, .status = 413});
    return;
  }
  const auto* current = newest(request.path);
  const auto version = current == nullptr ? object_version{} : current->version;
  const bool is_removal = request.call == store_call_kind::remove;
  store_reply answer{.id = request.id, .status = 200, .version = version};
  if (request.if_version && *request.if_version != version) {
    answer.status = 409;
  } else if (is_removal && current == nullptr) {
    answer.status = 404;
  } else {
    auto& entry = content_.objects[request.path];
    entry.previous = std::exchange(entry.newest, std::nullopt);
    content_.last_version = content_.last_version.next();
    answer.version = content_.last_version;
    if (!is_removal) entry.newest = stored_object{request.path, content_.last_version, request.value};
  }
  if (faults_.lose_answers > 0) {
    --faults_.lose_answers;
    answer.status = 0;
  }
  reply(now, std::move(answer));
  end_watches(now, request.path);
}

void object_store_model::read(time_point now, const store_request& request) {
  store_reply answer{.id = request.id, .status = 404};
  if (const auto* object = visible(request.path)) {
    answer.status = 200;
    answer.version = object->version;
    answer.objects.push_back(*object);
  }
  reply(now, std::move(answer));
}

void object_store_model::list(time_point now, const store_request& request) {
  store_reply answer{.id = request.id, .status = 200};
  for (auto it = content_.objects.lower_bound(request.path);
       it != content_.objects.end() && it->first.starts_with(request.path); ++it) {
    if (const auto* object = visible(it->first)) answer.objects.push_back(*object);
  }
  reply(now, std::move(answer));
}

void object_store_model::watch(time_point now, const store_request& request) {
  if (faults_.silent_watch) return;
  watches_.push_back({request, now + request.wait});
  end_watches(now, request.path);
}

void object_store_model::end_watches(time_point now, std::string_view path) {
  const auto* object = visible(path);
  if (object == nullptr || faults_.silent_watch) return;
  std::erase_if(watches_, [&](const waiting_watch& it) {
    if (it.request.path != path || it.request.watch_after >= object->version) return false;
    reply(now, {.id = it.request.id, .status = 200, .version = object->version, .objects = {*object}});
    return true;
  });
}

void object_store_model::reply(time_point now, store_reply answer) {
  scheduled_replies_.emplace(now + faults_.delay, std::move(answer));
}

std::vector<store_reply> object_store_model::advance(time_point now) {
  std::erase_if(watches_, [&](const waiting_watch& it) {
    if (it.deadline > now) return false;
    if (faults_.silent_watch) return true;
    reply(now, {.id = it.request.id, .status = faults_.down ? 0 : 304});
    return true;
  });
  return take_due(now);
}

std::vector<store_reply> object_store_model::restore_copy() {
  content_ = copy_;
  std::vector<store_reply> answers;
  for (const auto& it : std::exchange(watches_, {})) answers.push_back({.id = it.request.id, .status = 0});
  for (const auto& [due, it] : std::exchange(scheduled_replies_, {})) {
    answers.push_back({.id = it.id, .status = 0});
  }
  return answers;
}

std::vector<store_reply> object_store_model::take_due(time_point now) {
  std::vector<store_reply> answers;
  const auto end = scheduled_replies_.upper_bound(now);
  for (auto it = scheduled_replies_.begin(); it != end; ++it) answers.push_back(std::move(it->second));
  scheduled_replies_.erase(scheduled_replies_.begin(), end);
  return answers;
}

std::optional<time_point> object_store_model::next_due() const {
  std::optional<time_point> next;
  if (!scheduled_replies_.empty()) next = scheduled_replies_.begin()->first;
  for (const auto& it : watches_) next = std::min(next.value_or(it.deadline), it.deadline);
  return next;
}

void object_store_model::discard_call(std::uint64_t id) {
  std::erase_if(watches_, [id](const waiting_watch& it) { return it.request.id == id; });
  std::erase_if(scheduled_replies_, [id](const auto& entry) { return entry.second.id == id; });
}

}  // namespace bulrushlift
