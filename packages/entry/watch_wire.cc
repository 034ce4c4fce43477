#include "entry/watch_wire.h"

#include <algorithm>
#include <utility>

namespace bulrushlift::entry {
namespace {

using std::chrono::milliseconds;

// A longer wait or age in a message is a fault of its sender.
constexpr std::int64_t max_wait_ms = 30'000;
constexpr std::int64_t max_age_ms = 3'600'000;

std::int64_t to_signed(std::uint64_t value) { return static_cast<std::int64_t>(value); }
std::uint64_t to_unsigned(std::int64_t value) { return static_cast<std::uint64_t>(value); }

store_version version_of(std::int64_t epoch, std::int64_t version) {
  return {store_epoch{to_unsigned(epoch)}, object_version{to_unsigned(version)}};
}

peer::watched_object_t to_wire(const published_object& object) {
  peer::watched_object_t wire;
  wire.__set_name(object.name);
  wire.__set_epoch(to_signed(object.version.epoch.value()));
  wire.__set_version(to_signed(object.version.version.value()));
  if (object.content) wire.__set_content(*object.content);
  if (object.is_removed) wire.__set_is_removed(true);
  return wire;
}

}  // namespace

peer::envelope_t encode(const watch_question& question) {
  peer::watch_request_t wire;
  wire.__set_kind(question.kind);
  wire.__set_epoch(to_signed(question.position.epoch.value()));
  wire.__set_version(to_signed(question.position.version.value()));
  if (question.cursor) {
    wire.__set_instance(to_signed(question.cursor->instance));
    wire.__set_sequence(to_signed(question.cursor->sequence));
  }
  if (!question.after.empty()) wire.__set_after(question.after);
  if (question.is_probe) wire.__set_is_probe(true);
  wire.__set_wait_ms(std::chrono::duration_cast<milliseconds>(question.wait).count());
  peer::envelope_t envelope;
  envelope.__set_watch_request(wire);
  return envelope;
}

watch_question decode(const peer::watch_request_t& wire) {
  watch_question question;
  question.kind = wire.kind;
  question.position = version_of(wire.epoch, wire.version);
  if (wire.__isset.instance && wire.__isset.sequence) {
    question.cursor = publish_cursor{to_unsigned(wire.instance), to_unsigned(wire.sequence)};
  }
  question.after = wire.after;
  question.is_probe = wire.is_probe;
  question.wait = milliseconds{std::clamp<std::int64_t>(wire.wait_ms, 0, max_wait_ms)};
  return question;
}

peer::envelope_t encode(const watch_answer& answer) {
  peer::watch_reply_t wire;
  wire.__set_is_watching(true);
  wire.__set_epoch(to_signed(answer.position.epoch.value()));
  wire.__set_version(to_signed(answer.position.version.value()));
  wire.__set_instance(to_signed(answer.batch.cursor.instance));
  wire.__set_sequence(to_signed(answer.batch.cursor.sequence));
  wire.__set_confirmed_age_ms(std::chrono::ceil<milliseconds>(answer.age).count());
  if (answer.is_gap) wire.__set_is_gap(true);
  if (answer.batch.has_more) wire.__set_has_more(true);
  std::vector<peer::watched_object_t> objects;
  objects.reserve(answer.batch.objects.size());
  for (const auto& each : answer.batch.objects) objects.push_back(to_wire(each));
  if (!objects.empty()) wire.__set_objects(objects);
  peer::envelope_t envelope;
  envelope.__set_watch_reply(wire);
  return envelope;
}

peer::envelope_t encode_not_watching() {
  peer::watch_reply_t wire;
  wire.__set_is_watching(false);
  peer::envelope_t envelope;
  envelope.__set_watch_reply(wire);
  return envelope;
}

result<watch_answer> decode_answer(const peer::envelope_t& wire) {
  const auto& reply = wire.watch_reply;
  if (!wire.__isset.watch_reply || !reply.is_watching) {
    return make_error(error_kind::peer_unavailable, "the VM does not watch the store");
  }
  const auto& set = reply.__isset;
  if (!set.epoch || !set.version || !set.instance || !set.sequence || !set.confirmed_age_ms ||
      reply.confirmed_age_ms < -max_wait_ms || reply.confirmed_age_ms > max_age_ms) {
    return make_error(error_kind::peer_unavailable, "the answer has no position or no age");
  }
  watch_answer answer;
  answer.position = version_of(reply.epoch, reply.version);
  answer.age = milliseconds{reply.confirmed_age_ms};
  answer.is_gap = reply.is_gap;
  answer.batch.has_more = reply.has_more;
  answer.batch.cursor = {to_unsigned(reply.instance), to_unsigned(reply.sequence)};
  for (const auto& each : reply.objects) {
    if (!each.__isset.name || !each.__isset.epoch || !each.__isset.version) {
      return make_error(error_kind::peer_unavailable, "an object of the answer has no name or no version");
    }
    std::optional<std::string> content;
    if (each.__isset.content) content = each.content;
    answer.batch.objects.push_back(
        {each.name, version_of(each.epoch, each.version), std::move(content), each.is_removed});
  }
  return answer;
}

}  // namespace bulrushlift::entry
