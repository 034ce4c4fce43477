#include <rapidcheck.h>
#include <catch2/catch.hpp>
#include <string>

#include "platform/line_protocol.h"
#include "platform/line_reader.h"

namespace bulrushlift::platform {
namespace {

rc::Gen<std::string> any_line() {
  const auto words = rc::gen::element<std::string>(
      "START", "QUERY", "CLOSE", "READ", "WRITE", "BEGIN", "EXECUTE", "PREPARE", "SET", "AFTER", "READY",
      "ERROR", "ROW", "COMPLETE", "-", "1.2", "I", "T", "", "x", "\t", "18446744073709551616.1");
  return rc::gen::map(rc::gen::container<std::vector<std::string>>(words), [](const auto& parts) {
    std::string line;
    for (const auto& each : parts) line += each + " ";
    return line;
  });
}

// Guards against crashes and against a caller's line that is forwarded to a target as two lines.
TEST_CASE("Any line of a caller is decoded, and a statement stays one line") {
  const bool holds = rc::check([] {
    const auto line = *rc::gen::oneOf(any_line(), rc::gen::arbitrary<std::string>());
    line_reader reader;
    const bool is_read = reader.feed(line + "\n", max_line_bytes, [](std::string_view each) {
      const auto message = decode_caller_line(each);
      if (const auto* run = std::get_if<run_statement>(&message)) {
        sql::target_command command{sql::command_kind::forward};
        command.id = run->statement.id;
        command.text = run->statement.text;
        std::string out;
        append_command(out, command);
        RC_ASSERT(out.find('\n') == out.size() - 1);
        RC_ASSERT(out.ends_with(run->statement.text + "\r\n"));
      }
      return true;
    });
    RC_ASSERT(is_read);
  });
  CHECK(holds);
}

TEST_CASE("Any line of a target is decoded") {
  const bool holds = rc::check([] {
    const auto line = *rc::gen::oneOf(any_line(), rc::gen::arbitrary<std::string>());
    static_cast<void>(decode_target_line(line));
    static_cast<void>(decode_status(line));
  });
  CHECK(holds);
}

}  // namespace
}  // namespace bulrushlift::platform
