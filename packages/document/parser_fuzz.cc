#include <rapidcheck.h>
#include <algorithm>
#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>
#include <set>
#include <sstream>

#include "document/document.h"
#include "document/settings.h"

namespace bulrushlift {
namespace {

constexpr int texts_per_case = 20;

std::vector<std::string> read_corpus() {
  std::vector<std::string> texts;
  for (const auto& entry :
       std::filesystem::directory_iterator{BULRUSHLIFT_SOURCE_DIR "/packages/document/corpus"}) {
    std::ifstream file{entry.path()};
    std::ostringstream text;
    text << file.rdbuf();
    texts.push_back(text.str());
  }
  // The order of a directory differs between file systems.
  std::sort(texts.begin(), texts.end());
  return texts;
}

/// Changes a few places of a corpus text: bytes, numbers, whole lines, and pieces of other texts.
std::string mutated_text(const std::vector<std::string>& corpus) {
  auto text = *rc::gen::elementOf(corpus);
  const auto changes = *rc::gen::inRange(0, 6);
  for (int i = 0; i < changes && !text.empty(); ++i) {
    const auto at = *rc::gen::inRange<std::size_t>(0, text.size());
    const auto length = std::min(*rc::gen::inRange<std::size_t>(0, 40), text.size() - at);
    const auto& other = *rc::gen::elementOf(corpus);
    const auto other_at = *rc::gen::inRange<std::size_t>(0, other.size());
    switch (*rc::gen::inRange(0, 5)) {
      case 0:
        text[at] = *rc::gen::arbitrary<char>();
        break;
      case 1:
        text.erase(at, length);
        break;
      case 2:
        text.insert(at, other.substr(other_at, length));
        break;
      case 3:
        text.replace(at, 1,
                     *rc::gen::element<std::string>("0", "-1", "1e400", "null", "{}", "[", "\"", "\n"));
        break;
      default: {
        const auto digit = text.find_first_of("0123456789", at);
        if (digit != std::string::npos) text[digit] = *rc::gen::inRange<char>('0', '9');
        break;
      }
    }
  }
  return text;
}

void check_places(const findings& found, const std::string& text) {
  const auto lines = static_cast<std::size_t>(std::count(text.begin(), text.end(), '\n')) + 1;
  std::size_t last = 1;
  for (const auto& it : found) {
    RC_ASSERT(it.line >= last);
    RC_ASSERT(it.line <= lines);
    RC_ASSERT(!it.message.empty());
    last = it.line;
  }
}

/// What users of a document rely on, stated apart from the schema.
void check_accepted(const document& accepted) {
  std::set<key_id> keys;
  for (const auto& it : accepted.services()) {
    for (const auto& member : it.targets) {
      RC_ASSERT(member.slots >= 1U);
      RC_ASSERT(member.slots <= member.connections);
      RC_ASSERT(is_network_address(member.address.str()));
      RC_ASSERT(accepted.find_region_of(member.data_centre) != nullptr);
      RC_ASSERT(accepted.find_target(member.name) == &member);
    }
  }
  for (const auto& it : accepted.customers()) {
    RC_ASSERT(it.rate_per_second > 0);
    RC_ASSERT(it.burst >= 1);
    RC_ASSERT(it.weight > 0);
    RC_ASSERT(accepted.find_customer(it.name) == &it);
    for (const auto& key : it.keys) RC_ASSERT(keys.insert(key.id).second);
  }
  for (const auto& it : accepted.routes()) {
    RC_ASSERT(accepted.find_service(it.service) != nullptr);
    RC_ASSERT(it.open == it.customers.empty());
    for (const auto& name : it.customers) RC_ASSERT(accepted.find_customer(name) != nullptr);
  }
}

// Guards against texts that crash the parser, findings outside the text, and documents that are accepted
// although their items contradict each other.
TEST_CASE("any text gives a consistent document or findings inside the text") {
  const auto corpus = read_corpus();
  REQUIRE(corpus.size() >= 4);
  int accepted = 0;
  const auto passed = rc::check([&] {
    for (int i = 0; i < texts_per_case; ++i) {
      const auto text = mutated_text(corpus);
      const auto found = check_document(text);
      check_places(found, text);
      const auto parsed = parse_document(text, generation_id{1});
      RC_ASSERT(parsed.has_value() == found.empty());
      if (!parsed) continue;
      ++accepted;
      check_accepted(*parsed);
    }
  });
  CHECK(passed);
  CHECK(accepted > 0);
}

TEST_CASE("any text gives settings or findings inside the text") {
  const auto corpus = read_corpus();
  CHECK(rc::check([&] {
    for (int i = 0; i < texts_per_case; ++i) {
      const auto text = mutated_text(corpus);
      const auto found = check_settings(text);
      check_places(found, text);
      RC_ASSERT(parse_settings(text).has_value() == found.empty());
    }
  }));
}

}  // namespace
}  // namespace bulrushlift
