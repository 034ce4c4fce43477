#pragma once

#include <memory>
#include <string>

#include "cli/command.h"
#include "cli/platform_session.h"
#include "document/document.h"

/// @file
/// The environment that a command works on, and the steps that several commands share: reading the document
/// in force, checking a candidate, storing it as the trial and promoting an edited document.

namespace bulrushlift {

/// A session with the platform for one environment.
struct environment_session {
  std::unique_ptr<platform_session> platform;
  std::string environment;
};

/// @return a session, or `bad_request` if the platform's address or the environment is not given.
[[nodiscard]] result<environment_session> open_session(const command_context& context);

/// The document in force: its stored record and its parsed content.
struct document_in_force {
  production_record record;
  document content;
};

/// @return the document in force, or `not_found` if none was promoted.
[[nodiscard]] result<document_in_force> read_document_in_force(const environment_session& session);

/// @return the document in force, or an empty document of generation 0 if none was promoted.
[[nodiscard]] result<document_in_force> read_document_or_empty(const environment_session& session);

/// Parses a candidate and checks that it belongs to the environment.
/// @param in_force the generation in force; the candidate gets the next one.
/// @return the candidate, or `invalid_document`.
[[nodiscard]] result<document> parse_candidate(const std::string& text, const std::string& environment,
                                               generation_id in_force);

/// Stores a candidate as the environment's trial object and replaces any other candidate there.
/// @param in_force the generation that the candidate was tried against.
[[nodiscard]] result<void> write_trial(const environment_session& session, const std::string& text,
                                       generation_id in_force);

/// Prints the changes from one document to another and the warnings about their effects, as text or as JSON.
/// @param digest the digest of the later document; printed in JSON only.
void write_changes(command_context& context, const document& before, const document& after,
                   const std::string& digest);

/// Checks and promotes an edited text of the document in force.
/// @param base the document that was edited; must still be in force.
/// @return the new record, `invalid_document`, or an error of `promote`.
[[nodiscard]] result<production_record> promote_edit(const environment_session& session,
                                                     const document_in_force& base, const std::string& text);

}  // namespace bulrushlift
