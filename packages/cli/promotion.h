#pragma once

#include <fmt/format.h>

#include <algorithm>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>

#include "cli/object_store.h"
#include "document/production_record.h"

/// @file
/// Puts a document that was tried into force by a conditional write to the object store (design 3.10).
///
///     auto promoted = promote(store, {"teranga", text, id, tried_against});

namespace bulrushlift {

/// The record in force and the version of its object. Both the generation and the version are 0 if no
/// document was promoted.
struct record_in_force {
  production_record record;
  object_version version;
};

/// A document to put into force.
struct promotion_request {
  std::string environment;
  std::string text;
  std::string promotion_id;     ///< Unique; identifies this write when it is read back.
  generation_id tried_against;  ///< Must be in force, or else the promotion is a conflict.
};

/// Number of times that a write is sent, the first one included, while its outcome is unknown.
inline constexpr int max_write_attempts = 6;

/// Reads the record in force.
/// @return the record and its version, an empty `record_in_force` if no document was promoted, or an error.
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

/// @return `conflict`, because the document was tried against another generation than the one in force.
[[nodiscard]] inline tl::unexpected<error> generation_conflict(const production_record& winner,
                                                               generation_id tried_against) {
  return make_error(
      error_kind::conflict,
      fmt::format(
          "generation {} is in force (promotion {}), but the document was tried against generation {}; "
          "run the trial again",
          winner.generation.value(), winner.promotion_id, tried_against.value()));
}

/// Stores the record that is about to be replaced in the history.
template <object_store Store>
result<void> save_history(Store& store, std::string_view environment, const production_record& record) {
  const auto path = history_path(environment, record.generation);
  error last;
  for (int i = 0; i < max_write_attempts; ++i) {
    const auto written = store.put(path, format_record(record), object_version{0});
    // A conflict means that the record is already stored: each generation has only one record.
    if (written || written.error().kind == error_kind::conflict) return {};
    last = written.error();
  }
  // Only the history was written, so the document in force is unchanged.
  last.stated_outcome = outcome::not_run;
  return tl::unexpected{std::move(last)};
}

/// @return the highest generation that a VM of the environment has in force according to its status object;
///   0 if no VM reports one. After a return of the store from an older copy it is above the one in the store.
template <object_store Store>
result<generation_id> highest_reported_generation(Store& store, std::string_view environment) {
  const auto objects = store.list(vm_status_prefix);
  if (!objects) return tl::unexpected{objects.error()};
  generation_id highest{};
  for (const auto& each : *objects) {
    const auto status = nlohmann::json::parse(each.value, nullptr, false);
    if (!status.is_object() || status.value("environment", nlohmann::json{}) != environment) continue;
    const auto generation = status.find("generation");
    if (generation == status.end() || !generation->is_number_unsigned()) continue;
    highest = std::max(highest, generation_id{generation->template get<std::uint64_t>()});
  }
  return highest;
}

/// The result of a write as a later read shows it: this promotion took effect (`applied`), another one
/// replaced the same record (`superseded`), that record is still in force (`not_applied`), or the read failed
/// (`unreadable`).
enum class write_state { applied, superseded, not_applied, unreadable };

/// Reads the record in force, and the history if needed, to find out whether a write took effect.
/// @param replaced the generation that the write replaces.
/// @param winner receives the record in force, unless the result is `unreadable` because it can't be read.
template <object_store Store>
write_state verify_write(Store& store, std::string_view environment, const production_record& written,
                         generation_id replaced, production_record& winner) {
  const auto now = read_in_force(store, environment);
  if (!now) return write_state::unreadable;
  winner = now->record;
  if (winner.promotion_id == written.promotion_id) return write_state::applied;
  if (winner.generation <= replaced) return write_state::not_applied;
  if (winner.generation <= written.generation) return write_state::superseded;
  // A later promotion is in force. The record that it replaced is in the history and may be the written one.
  const auto kept = store.get(history_path(environment, written.generation));
  if (!kept)
    return kept.error().kind == error_kind::not_found ? write_state::superseded : write_state::unreadable;
  const auto record = parse_production_record(kept->value);
  return record && record->promotion_id == written.promotion_id ? write_state::applied
                                                                : write_state::superseded;
}

}  // namespace internal

/// Puts a document into force: saves the record in force to the history, then replaces it by a conditional
/// write. The new generation is above the one in the store and above those that VMs report, because VMs
/// accept only a higher one. The text is stored byte for byte. After a failed write, the record in force is
/// read back, and the write is repeated unless it took effect or was superseded.
/// @return the new record; `conflict` with the generation in force if another promotion came first;
///   `outcome_unknown` if no read shows which of the two happened; or the error of a read or of the history
///   write, after which the document in force is unchanged.
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
  const auto reported = internal::highest_reported_generation(store, request.environment);
  if (!reported) return tl::unexpected{reported.error()};
  const auto generation = std::max(request.tried_against, *reported).next();
  const production_record next{generation, request.promotion_id, document_digest(request.text), request.text};
  const auto path = production_path(request.environment);
  // The condition on the version makes the write safe to repeat: at most one attempt can succeed.
  for (int i = 0; i < max_write_attempts; ++i) {
    const auto written = store.put(path, format_record(next), current->version);
    if (written) return next;
    production_record winner;
    const auto state =
        internal::verify_write(store, request.environment, next, request.tried_against, winner);
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
