#include "document/reference.h"

#include <fmt/format.h>

#include "document/document_schema.h"

namespace bulrushlift {
namespace {

using internal::object_description;

void append_object(std::string& page, const object_description& object, const std::string& path) {
  const auto title = path.empty() ? object.name : path;
  page += fmt::format("\n### {}\n\n{}\n\n", title, object.text);
  page += "| field | type | default | valid values | meaning |\n| --- | --- | --- | --- | --- |\n";
  for (const auto& it : object.fields) {
    page += fmt::format("| `{}` | {} | {} | {} | {} |\n", it.name, it.type,
                        it.default_text.empty() ? "required" : it.default_text, it.rule, it.text);
  }
  for (const auto& it : object.fields) {
    if (!it.nested) continue;
    const auto is_list = it.type.starts_with("list");
    append_object(page, *it.nested, internal::member_path(path, it.name) + (is_list ? "[]" : ""));
  }
}

}  // namespace

std::string configuration_reference() {
  std::string page =
      "# Configuration reference\n\n"
      "This page is generated from the tables that drive the parsers: `bulrushlift reference` prints it.\n"
      "Both kinds of file are JSON in which `//` and `/* */` comments are valid. `bulrushlift check FILE` "
      "reports\n"
      "all errors of a file with their lines. Unknown fields are errors.\n\n"
      "## Environment document\n";
  append_object(page, *internal::document_schema().description(), "");
  page += "\n## Settings of a daemon\n";
  append_object(page, *internal::settings_schema().description(), "");
  return page;
}

}  // namespace bulrushlift
