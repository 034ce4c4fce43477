#include "document/reference.h"

#include <catch2/catch.hpp>
#include <fstream>
#include <sstream>

namespace bulrushlift {
namespace {

// Guards against a page that describes fields or defaults which the parser does not have.
TEST_CASE("the committed configuration reference is the generated one") {
  std::ifstream file{BULRUSHLIFT_SOURCE_DIR "/docs/operators/configuration.md"};
  REQUIRE(file);
  std::ostringstream text;
  text << file.rdbuf();
  INFO("write it again: bulrushlift reference > docs/operators/configuration.md");
  CHECK(text.str() == configuration_reference());
}

}  // namespace
}  // namespace bulrushlift
