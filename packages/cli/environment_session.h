#pragma once

#include <memory>
#include <string>

#include "cli/command.h"
#include "cli/platform_session.h"
#include "document/document.h"

/// @file
/// The environment that a command works on, with the texts that several commands read.

namespace bulrushlift {

/// A session with the platform for one environment.
struct environment_session {
  std::unique_ptr<platform_session> platform;
  std::string environment;
};

/// @return a session, or `bad_request` if the platform or the environment is not stated.
[[nodiscard]] result<environment_session> open_session(const command_context& context);

/// The document in force and its record.
struct document_in_force {
  production_record record;
  document content;
};

/// @return the document in force, or `not_found` if none was promoted.
[[nodiscard]] result<document_in_force> read_document_in_force(const environment_session& session);

/// @return the document in force, or an empty document of generation 0 if none was promoted.
[[nodiscard]] result<document_in_force> read_document_or_empty(const environment_session& session);

/// Parses a candidate and checks that it belongs to the environment.
[[nodiscard]] result<document> parse_candidate(const std::string& text, const std::string& environment,
                                               generation_id in_force);

/// Writes the trial object.
[[nodiscard]] result<void> write_trial(const environment_session& session, const std::string& text,
                                       generation_id in_force);

/// Writes changes and warnings between two documents, as text or as JSON.
void write_changes(command_context& context, const document& before, const document& after,
                   const std::string& digest);

/// Checks and promotes a changed text of the document in force.
[[nodiscard]] result<production_record> promote_edit(const environment_session& session,
                                                     const document_in_force& base, const std::string& text);

}  // namespace bulrushlift
