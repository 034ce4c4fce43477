#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <fstream>
#include <nlohmann/json.hpp>
#include <ostream>
#include <sstream>

#include "cli/command.h"
#include "cli/environment_session.h"
#include "document/reference.h"
#include "document/settings.h"

namespace bulrushlift {

result<std::string> read_file(const std::string& path) {
  std::ifstream file{path, std::ios::binary};
  std::ostringstream text;
  text << file.rdbuf();
  if (!file || file.bad()) {
    return make_error(error_kind::not_found, fmt::format("cannot read the file {}", path));
  }
  return text.str();
}

namespace {

using nlohmann::json;

json finding_json(const finding& it) {
  return {{"line", it.line}, {"path", it.path}, {"message", it.message}};
}

command_result run_check(command_context& context) {
  if (context.options.sessions) return run_session_check(context);
  if (!context.options.against.empty()) {
    return make_error(error_kind::bad_request, "--against needs --sessions");
  }
  const auto& path = context.operands[0];
  const auto text = read_file(path);
  if (!text) return tl::unexpected{text.error()};
  const bool settings = is_settings_text(*text);
  const auto found = settings ? check_settings(*text) : check_document(*text);
  if (context.options.json) {
    json out{{"valid", found.empty()}, {"findings", json::array()}};
    for (const auto& it : found) out["findings"].push_back(finding_json(it));
    context.out << out.dump() << '\n';
  } else {
    for (const auto& it : found) {
      context.out << fmt::format("{}:{}: {}{}{}\n", path, it.line, it.path, it.path.empty() ? "" : ": ",
                                 it.message);
    }
  }
  if (found.empty()) {
    if (!context.options.json)
      context.out << fmt::format("{}: valid {}\n", path, settings ? "settings" : "document");
    return {};
  }
  const auto kind = settings ? error_kind::invalid_settings : error_kind::invalid_document;
  return make_error(kind, fmt::format("the file {} has {} error(s)", path, found.size()));
}

command_result run_trial(command_context& context) {
  const auto text = read_file(context.operands[0]);
  if (!text) return tl::unexpected{text.error()};
  const auto session = open_session(context);
  if (!session) return tl::unexpected{session.error()};
  const auto base = read_document_or_empty(*session);
  if (!base) return tl::unexpected{base.error()};
  const auto generation = base->record.generation;
  const auto candidate = parse_candidate(*text, session->environment, generation);
  if (!candidate) return tl::unexpected{candidate.error()};
  if (auto written = write_trial(*session, *text, generation); !written) return written;
  const auto digest = document_digest(*text);
  write_changes(context, base->content, *candidate, digest);
  if (!context.options.json) {
    context.out << fmt::format("tried against generation {}; promote with: bulrushlift promote --digest {}\n",
                               generation.value(), digest);
  }
  return {};
}

/// @return the stored candidate, or `not_found` if there is none.
result<trial_record> read_trial(const environment_session& session) {
  const auto object = session.platform->get(trial_path(session.environment));
  if (!object) return tl::unexpected{object.error()};
  return parse_trial_record(object->value);
}

command_result run_promote(command_context& context) {
  const auto session = open_session(context);
  if (!session) return tl::unexpected{session.error()};
  const auto trial = read_trial(*session);
  if (!trial) return tl::unexpected{trial.error()};
  if (!trial->digest.starts_with(context.options.digest)) {
    return make_error(error_kind::conflict,
                      fmt::format("the stored candidate has digest {}: another operator has replaced yours "
                                  "since; run the trial again",
                                  trial->digest));
  }
  const auto record = promote(*session->platform,
                              {session->environment, trial->text, new_promotion_id(), trial->tried_against});
  if (!record) return tl::unexpected{record.error()};
  context.out << fmt::format("generation {} is in force, digest {}\n", record->generation.value(),
                             record->digest);
  return {};
}

result<generation_id> parse_generation(const std::string& word) {
  std::uint64_t value = 0;
  const auto [end, ec] = std::from_chars(word.data(), word.data() + word.size(), value);
  if (ec != std::errc{} || end != word.data() + word.size()) {
    return make_error(error_kind::bad_request, fmt::format("\"{}\" is not a generation number", word));
  }
  return generation_id{value};
}

/// @return the record of a generation, in force or earlier; `not_found` if it does not exist.
result<production_record> read_generation(const environment_session& session, generation_id generation) {
  const auto current = read_in_force(*session.platform, session.environment);
  if (!current) return tl::unexpected{current.error()};
  if (current->record.generation == generation) return current->record;
  const auto object = session.platform->get(history_path(session.environment, generation));
  if (!object) return tl::unexpected{object.error()};
  return parse_production_record(object->value);
}

command_result run_show(command_context& context) {
  const auto session = open_session(context);
  if (!session) return tl::unexpected{session.error()};
  result<production_record> record;
  if (context.operands.empty()) {
    record = read_document_in_force(*session).map([](const document_in_force& it) { return it.record; });
  } else {
    const auto generation = parse_generation(context.operands[0]);
    if (!generation) return tl::unexpected{generation.error()};
    record = read_generation(*session, *generation);
  }
  if (!record) return tl::unexpected{record.error()};
  if (context.options.json) {
    context.out << format_record(*record) << '\n';
  } else {
    context.out << record->text;
  }
  return {};
}

command_result run_diff(command_context& context) {
  const auto session = open_session(context);
  if (!session) return tl::unexpected{session.error()};
  result<std::string> text;
  if (context.operands.empty()) {
    text = read_trial(*session).map([](const trial_record& it) { return it.text; });
  } else {
    text = read_file(context.operands[0]);
  }
  if (!text) return tl::unexpected{text.error()};
  const auto base = read_document_or_empty(*session);
  if (!base) return tl::unexpected{base.error()};
  const auto candidate = parse_candidate(*text, session->environment, base->record.generation);
  if (!candidate) return tl::unexpected{candidate.error()};
  write_changes(context, base->content, *candidate, document_digest(*text));
  return {};
}

command_result run_history(command_context& context) {
  const auto session = open_session(context);
  if (!session) return tl::unexpected{session.error()};
  const auto current = read_document_in_force(*session);
  if (!current) return tl::unexpected{current.error()};
  const auto objects = session->platform->list(fmt::format("environments/{}/history/", session->environment));
  if (!objects) return tl::unexpected{objects.error()};
  std::vector<production_record> records;
  for (const auto& it : *objects) {
    auto record = parse_production_record(it.value);
    if (!record) return tl::unexpected{record.error()};
    // An interrupted promotion may have saved the record that is still in force.
    if (record->generation < current->record.generation) records.push_back(*std::move(record));
  }
  records.push_back(current->record);
  std::sort(records.begin(), records.end(),
            [](const auto& left, const auto& right) { return left.generation > right.generation; });
  if (context.options.json) {
    json out = json::array();
    for (const auto& it : records) {
      out.push_back(
          {{"generation", it.generation.value()}, {"digest", it.digest}, {"promotion_id", it.promotion_id}});
    }
    context.out << out.dump() << '\n';
    return {};
  }
  std::vector<std::vector<std::string>> rows{{"GENERATION", "PROMOTION", "DIGEST"}};
  for (const auto& it : records) {
    rows.push_back({std::to_string(it.generation.value()), it.promotion_id, it.digest});
  }
  write_table(context.out, rows);
  return {};
}

command_result run_reference(command_context& context) {
  context.out << configuration_reference();
  return {};
}

}  // namespace

std::vector<command> document_commands() {
  return {
      {"check", "check [--sessions [--against FILE]] FILE [--json]",
       "Check a document, the settings of a daemon or a configuration of sessions; report all errors",
       "check examples/teranga.jsonc", 1, 1, run_check},
      {"trial", "trial FILE [--json]",
       "Check a document against the one in force and store it as the candidate",
       "trial examples/teranga.jsonc --platform 127.0.0.1:7000 --environment teranga", 1, 1, run_trial},
      {"promote", "promote [--digest DIGEST]",
       "Put the candidate in force, exactly as it was tried; --digest refuses another operator's candidate",
       "promote --platform 127.0.0.1:7000 --environment teranga", 0, 0, run_promote},
      {"show", "show [GENERATION] [--json]", "Print the document in force or an earlier one",
       "show 1 --platform 127.0.0.1:7000 --environment teranga", 0, 1, run_show},
      {"diff", "diff [FILE] [--json]", "Compare a file, or the candidate, with the document in force",
       "diff examples/teranga.jsonc --platform 127.0.0.1:7000 --environment teranga", 0, 1, run_diff},
      {"history", "history [--json]", "List the documents that were in force, newest first",
       "history --platform 127.0.0.1:7000 --environment teranga", 0, 0, run_history},
      {"reference", "reference", "Print the configuration reference", "reference", 0, 0, run_reference},
  };
}

}  // namespace bulrushlift
