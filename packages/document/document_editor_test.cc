#include "document/document_editor.h"

#include <catch2/catch.hpp>
#include <fstream>
#include <sstream>

#include "document/comparison.h"

namespace bulrushlift {
namespace {

std::string example_text() {
  std::ifstream file{BULRUSHLIFT_SOURCE_DIR "/examples/teranga.jsonc"};
  REQUIRE(file);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

document parsed(const std::string& text) {
  auto value = parse_document(text, generation_id{1});
  INFO((value ? "" : value.error().message));
  REQUIRE(value);
  return *value;
}

std::size_t line_count(const std::string& text) {
  return static_cast<std::size_t>(std::count(text.begin(), text.end(), '\n'));
}

// Guards against edits that damage the text, lose comments, or change more than they name.
TEST_CASE("each edit changes what it names and nothing else") {
  const auto original = example_text();
  const auto before = parsed(original);
  document_editor editor{original};
  const customer_id added{"fouta-miel"};
  const auto digest = sha256("new key");

  REQUIRE(editor.add_customer({added, 12.5, 3, 1, {}}, {route_id{"orders"}, route_id{"stock"}}));
  REQUIRE(editor.add_key(added, {key_id{"fouta-1"}, digest, key_state::active}));
  REQUIRE(editor.set_rate(customer_id{"baobab-marche"}, 1000, 200, std::nullopt));
  REQUIRE(editor.revoke_key(key_id{"kora-stock-1"}));

  const auto after = parsed(editor.text());
  CHECK(after.find_key(key_id{"fouta-1"}).key->digest == digest);
  CHECK(after.is_allowed(*after.find_route(route_id{"stock"}), added));
  std::vector<std::string> changes;
  for (const auto& it : compare_documents(before, after)) changes.push_back(it.sign + it.what);
  CHECK(changes == std::vector<std::string>{"~customer baobab-marche", "+customer fouta-miel",
                                            "~key kora-stock-1", "+key fouta-1", "~route orders",
                                            "~route stock"});
  CHECK(editor.text().starts_with("// Deployment of Teranga"));
  CHECK(line_count(editor.text()) == line_count(original) + 1);
  CHECK(impact_of(before, after) ==
        std::vector<std::string>{"key kora-stock-1 of customer kora-stock stops working within seconds"});
}

// Guards against insertions before a comment, into an empty list, or at a quote that a text contains.
TEST_CASE("edits find their place in unusual layouts") {
  const std::string text = R"({"environment": "e",
  "regions": [{"name": "r", "data_centres": ["d"]}],
  "vms": [{"name": "v", "data_centre": "d", "peer_address": "10.0.0.1:1"}],
  "services": [{"name": "s", "targets": [
    {"name": "t1", "address": "10.0.0.2:1", "data_centre": "d", "slots": 1, "connections": 2},
    {"name": "t2", "address": "10.0.0.3:1", "data_centre": "d", "slots": 1, "connections": 2}]}],
  "customers": [],  // none ] yet
  "routes": [{"name": "open", "service": "s", "open": true}]})";
  document_editor editor{text};
  REQUIRE(editor.add_customer({customer_id{"c"}, 1, 1, 1, {}}, {}));
  REQUIRE(editor.add_key(customer_id{"c"}, {key_id{"k1"}, sha256("1"), key_state::active}));
  REQUIRE(editor.add_key(customer_id{"c"}, {key_id{"k2"}, sha256("2"), key_state::active}));
  const auto after = parsed(editor.text());
  CHECK(after.find_customer(customer_id{"c"})->keys.size() == 2);
  CHECK(editor.text().find("// none ] yet") != std::string::npos);
}

// Guards against half an edit, and against a second item with a name that is taken.
TEST_CASE("an edit that fails changes nothing") {
  const auto original = example_text();
  document_editor editor{original};
  const customer known{customer_id{"baobab-marche"}, 1, 1, 1, {}};
  CHECK(editor.add_customer(known, {}).error().kind == error_kind::conflict);
  const customer fresh{customer_id{"fresh"}, 1, 1, 1, {}};
  CHECK(editor.add_customer(fresh, {route_id{"none"}}).error().kind == error_kind::not_found);
  CHECK(editor.set_rate(customer_id{"none"}, 1, {}, {}).error().kind == error_kind::not_found);
  CHECK(editor.revoke_key(key_id{"none"}).error().kind == error_kind::not_found);
  CHECK(editor.text() == original);
}

}  // namespace
}  // namespace bulrushlift
