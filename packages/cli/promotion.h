#pragma once

#include <fmt/format.h>

#include <optional>
#include <string>
#include <string_view>

#include "cli/object_store.h"
#include "document/production_record.h"

/// @file
/// Makes a tried document the one in force (design 3.10).
///
///     auto promoted = promote(store, {"teranga", text, id, tried_against});

namespace bulrushlift {

/// The record in force with the version of its object; generation 0 and version 0 if there is none.
struct record_in_force {
  production_record record;
  object_version version;
};

struct promotion_request {
  std::string environment;
  std::string text;
  std::string promotion_id;     ///< Not used by any other promotion.
  generation_id tried_against;  ///< Must be the generation in force.
};

/// Repetitions of a write whose outcome is unknown.
inline constexpr int max_write_attempts = 6;

template <object_store Store>
[[nodiscard]] result<record_in_force> read_in_force(Store& store, std::string_view environment) {
  const auto object = store.get(production_path(environment));
  if (!object && object.error().kind == error_kind::not_found) return record_in_force{};
  if (!object) return tl::unexpected{object.error()};
  auto record = parse_production_record(object->value);
  if (!record) return tl::unexpected{record.error()};
  return record_in_force{*std::move(record), object->version};
}

namespace internal {

[[nodiscard]] inline tl::unexpected<error> generation_conflict(const production_record& winner,
                                                               generation_id tried_against) {
  return make_error(
      error_kind::conflict,
      fmt::format("generation {} is in force (promotion {}), the document was tried against {}; "
                  "try it again",
                  winner.generation.value(), winner.promotion_id, tried_against.value()));
}

/// Keeps the record that is about to be replaced.
template <object_store Store>
result<void> save_history(Store& store, std::string_view environment, const production_record& record) {
  const auto path = history_path(environment, record.generation);
  error last;
  for (int i = 0; i < max_write_attempts; ++i) {
    const auto written = store.put(path, format_record(record), object_version{0});
    // A conflict means that the record is there: a generation has one record only.
    if (written || written.error().kind == error_kind::conflict) return {};
    last = written.error();
  }
  // The document in force was not touched.
  last.stated_outcome = outcome::not_run;
  return tl::unexpected{std::move(last)};
}

/// What reading back shows about a write.
enum class write_state { applied, superseded, not_applied, unreadable };

template <object_store Store>
write_state verify_write(Store& store, std::string_view environment, const production_record& written,
                         production_record& winner) {
  const auto now = read_in_force(store, environment);
  if (!now) return write_state::unreadable;
  winner = now->record;
  if (winner.promotion_id == written.promotion_id) return write_state::applied;
  if (winner.generation < written.generation) return write_state::not_applied;
  if (winner.generation == written.generation) return write_state::superseded;
  // A later promotion has kept the record that it replaced, which may be this one.
  const auto kept = store.get(history_path(environment, written.generation));
  if (!kept)
    return kept.error().kind == error_kind::not_found ? write_state::superseded : write_state::unreadable;
  const auto record = parse_production_record(kept->value);
  return record && record->promotion_id == written.promotion_id ? write_state::applied
                                                                : write_state::superseded;
}

}  // namespace internal

/// Writes exactly the text by conditional update.
/// @return the record in force; `conflict` with the winning generation if another promotion came first;
///   `outcome_unknown` if neither could be established.
template <object_store Store>
[[nodiscard]] result<production_record> promote(Store& store, const promotion_request& request) {
  const auto current = read_in_force(store, request.environment);
  if (!current) return tl::unexpected{current.error()};
  if (current->record.generation != request.tried_against) {
    return internal::generation_conflict(current->record, request.tried_against);
  }
  if (current->version != object_version{0}) {
    const auto kept = internal::save_history(store, request.environment, current->record);
    if (!kept) return tl::unexpected{kept.error()};
  }
  const production_record next{request.tried_against.next(), request.promotion_id,
                               document_digest(request.text), request.text};
  const auto path = production_path(request.environment);
  // The condition makes the write safe to repeat: only one copy of it can succeed.
  for (int i = 0; i < max_write_attempts; ++i) {
    const auto written = store.put(path, format_record(next), current->version);
    if (written) return next;
    production_record winner;
    const auto state = internal::verify_write(store, request.environment, next, winner);
    if (state == internal::write_state::applied) return next;
    if (state == internal::write_state::superseded)
      return internal::generation_conflict(winner, request.tried_against);
  }
  return make_error(error_kind::outcome_unknown,
                    fmt::format("the platform did not answer; `bulrushlift show` tells whether generation {} "
                                "with digest {} is in force",
                                next.generation.value(), next.digest));
}

}  // namespace bulrushlift
