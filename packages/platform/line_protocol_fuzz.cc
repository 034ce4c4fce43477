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
    const bool is_read = reader.feed(line + "\r\n", max_line_bytes, [](std::string_view each) {
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

rc::Gen<std::string> any_text() {
  const auto parts = rc::gen::element<std::string>("\r", "\n", "\r\n", std::string(1, '\0'), "\t", "\x7f",
                                                   "\xff", " ", "QUERY 1 WRITE a b", "x");
  return rc::gen::map(rc::gen::container<std::vector<std::string>>(parts), [](const auto& all) {
    std::string text;
    for (const auto& each : all) text += each;
    return text;
  });
}

// Guards against a text that is cut off, or that a target reads as another statement.
TEST_CASE("A target reads what a caller sent, byte for byte, or the statement is refused") {
  const bool holds = rc::check([] {
    const auto sent = "WRITE a " + *any_text();
    const auto line = "QUERY id " + sent + "\r\n";
    const auto cut = *rc::gen::inRange<std::size_t>(0, line.size() + 1);
    line_reader caller_side;
    std::vector<std::string> read;
    const auto forward = [&](std::string_view each) {
      const auto message = decode_caller_line(each);
      const auto* run = std::get_if<run_statement>(&message);
      // Text behind a CR LF is another message, as its caller sent it.
      if (run == nullptr || run->statement.id != "id") return true;
      sql::target_command command{sql::command_kind::forward};
      command.id = run->statement.id;
      command.text = run->statement.text;
      std::string out;
      append_command(out, command);
      line_reader target_side;
      return target_side.feed(out, max_line_bytes, [&](std::string_view arrived) {
        read.emplace_back(arrived);
        return true;
      });
    };
    RC_ASSERT(caller_side.feed(line.substr(0, cut), max_line_bytes, forward));
    RC_ASSERT(caller_side.feed(line.substr(cut), max_line_bytes, forward));
    RC_ASSERT(!caller_side.is_inside_line());
    RC_ASSERT(read.size() <= 1);
    const auto first = line.substr(0, line.find("\r\n"));
    if (!read.empty()) RC_ASSERT(read.front() == first);
    const bool is_plain = first.find_first_of(std::string_view{"\r\n\0", 3}) == std::string::npos;
    if (is_plain && first.size() > std::string_view{"QUERY id WRITE "}.size()) RC_ASSERT(read.size() == 1);
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
