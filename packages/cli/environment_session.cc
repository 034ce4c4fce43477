#include "cli/environment_session.h"

#include <fmt/format.h>

#include <nlohmann/json.hpp>
#include <ostream>

#include "document/comparison.h"

namespace bulrushlift {

using nlohmann::json;

result<environment_session> open_session(const command_context& context) {
  const auto address = required_platform(context.options);
  if (!address) return tl::unexpected{address.error()};
  const auto environment = required_environment(context.options);
  if (!environment) return tl::unexpected{environment.error()};
  return environment_session{std::make_unique<platform_session>(context.loop, *address), *environment};
}

result<document_in_force> read_document_or_empty(const environment_session& session) {
  auto current = read_in_force(*session.platform, session.environment);
  if (!current) return tl::unexpected{current.error()};
  if (current->version == object_version{0}) return document_in_force{};
  auto content = parse_document(current->record.text, current->record.generation);
  if (!content) return tl::unexpected{content.error()};
  return document_in_force{std::move(current->record), *std::move(content)};
}

result<document_in_force> read_document_in_force(const environment_session& session) {
  auto found = read_document_or_empty(session);
  if (found && found->record.generation == generation_id{}) {
    return make_error(error_kind::not_found,
                      fmt::format("no document has been promoted in environment {}", session.environment));
  }
  return found;
}

result<document> parse_candidate(const std::string& text, const std::string& environment,
                                 generation_id in_force) {
  auto parsed = parse_document(text, in_force.next());
  if (parsed && parsed->environment() != environment) {
    return make_error(
        error_kind::invalid_document,
        fmt::format("the document belongs to environment {}, not to {}", parsed->environment(), environment));
  }
  return parsed;
}

result<void> write_trial(const environment_session& session, const std::string& text,
                         generation_id in_force) {
  const trial_record record{in_force, document_digest(text), text};
  result<object_version> written;
  // The write has no condition, so it is safe to repeat when its answer is lost.
  for (int i = 0; i < max_write_attempts; ++i) {
    written = session.platform->put(trial_path(session.environment), format_record(record), std::nullopt);
    if (written) return {};
  }
  return tl::unexpected{written.error()};
}

void write_changes(command_context& context, const document& before, const document& after,
                   const std::string& digest) {
  const auto changes = compare_documents(before, after);
  const auto warnings = impact_of(before, after);
  if (context.options.json) {
    json out{{"digest", digest}, {"in_force", before.generation().value()}, {"warnings", warnings}};
    out["changes"] = json::array();
    for (const auto& it : changes) {
      out["changes"].push_back({{"sign", std::string{it.sign}}, {"what", it.what}, {"text", it.text}});
    }
    context.out << out.dump() << '\n';
    return;
  }
  for (const auto& it : changes) context.out << fmt::format("{} {}: {}\n", it.sign, it.what, it.text);
  for (const auto& it : warnings) context.out << fmt::format("warning: {}\n", it);
}

result<production_record> promote_edit(const environment_session& session, const document_in_force& base,
                                       const std::string& text) {
  const auto generation = base.record.generation;
  const auto parsed = parse_candidate(text, session.environment, generation);
  if (!parsed) return tl::unexpected{parsed.error()};
  return promote(*session.platform, {session.environment, text, new_promotion_id(), generation});
}

}  // namespace bulrushlift
