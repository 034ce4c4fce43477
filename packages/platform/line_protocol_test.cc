#include "platform/line_protocol.h"

#include <catch2/catch.hpp>

#include "platform/line_reader.h"

namespace bulrushlift::platform {
namespace {

using sql::statement_kind;

sql::statement decode_statement_line(std::string_view line) {
  const auto message = decode_caller_line(line);
  const auto* run = std::get_if<run_statement>(&message);
  REQUIRE(run != nullptr);
  return run->statement;
}

template <class Message>
bool decodes_as(std::string_view line) {
  return std::holds_alternative<Message>(decode_caller_line(line));
}

std::string encode(const sql::target_command& command) {
  std::string line;
  append_command(line, command);
  return line;
}

TEST_CASE("A caller opens a session with database and key") {
  const auto message = decode_caller_line("START lepu270 u3f1");
  const auto* open = std::get_if<open_session>(&message);
  REQUIRE(open != nullptr);
  CHECK(open->database == "lepu270");
  CHECK(open->key == "u3f1");
}

TEST_CASE("Statements keep their id and text") {
  const auto read = decode_statement_line("QUERY 5c0e READ 1a4");
  CHECK(read.id == "5c0e");
  CHECK(read.kind == statement_kind::read);
  CHECK(read.text == "READ 1a4");
  CHECK(decode_statement_line("QUERY 1 WRITE 1a4 some data").text == "WRITE 1a4 some data");
  CHECK(decode_statement_line("QUERY 1 BEGIN").kind == statement_kind::begin);
  CHECK(decode_statement_line("QUERY 1 BEGIN READ").kind == statement_kind::begin_read_only);
  CHECK(decode_statement_line("QUERY 1 COMMIT").kind == statement_kind::commit);
  CHECK(decode_statement_line("QUERY 1 ROLLBACK").kind == statement_kind::rollback);
}

TEST_CASE("Session values and prepared statements are decoded") {
  const auto value = decode_statement_line("QUERY 1 SET zone north east");
  CHECK(value.name == "zone");
  CHECK(value.argument == "north east");
  const auto prepared = decode_statement_line("QUERY 1 PREPARE s1 WRITE q2c");
  CHECK(prepared.name == "s1");
  CHECK(prepared.definition == sql::prepared_statement{true, "q2c"});
  const auto executed = decode_statement_line("QUERY 1 EXECUTE s1 1a4 xkq pw");
  CHECK(executed.name == "s1");
  CHECK(executed.argument == "1a4 xkq pw");
  CHECK(decode_statement_line("QUERY 1 DEALLOCATE s1").kind == statement_kind::deallocate);
}

// Guards against callers that inject the proxy's own commands or other commands to targets.
TEST_CASE("Malformed statements are refused under their id") {
  for (const auto* line : {"QUERY 1 STATUS", "QUERY 1 RESET", "QUERY 1 AFTER 1.2 READ a", "QUERY 1 PAUSE 4",
                           "QUERY 1 BEGIN WRITE", "QUERY 1 READ", "QUERY 1 PREPARE s", "QUERY 1 EXECUTE s",
                           "QUERY 1 COMMIT now", "QUERY 1 read a", "QUERY 1 ", "QUERY - READ a"}) {
    CAPTURE(line);
    CHECK(decodes_as<malformed_statement>(line));
  }
  for (const auto* line : {"", "HELLO", "QUERY", "START", "query 1 READ a"}) {
    CAPTURE(line);
    CHECK(decodes_as<malformed_message>(line));
  }
  CHECK(decodes_as<close_session>("CLOSE"));
}

TEST_CASE("Responses to callers are encoded") {
  std::string out;
  append_row(out, "qhz kw");
  append_complete(out, "");
  append_error(out, sql::caller_error::outcome_unknown, "lost");
  append_ready(out, sql::transaction_state::failed, log_point{term_id{3}, log_position{12}});
  append_ready(out, sql::transaction_state::none, std::nullopt);

  CHECK(out == "ROW qhz kw\r\nCOMPLETE -\r\nERROR INDOUBT lost\r\nREADY E 3.12\r\nREADY I -\r\n");
}

TEST_CASE("Commands to targets are encoded") {
  sql::target_command read{sql::command_kind::forward};
  read.id = "5c0e";
  read.text = "READ 1a4";
  read.after = log_point{term_id{3}, log_position{1207}};
  CHECK(encode(read) == "QUERY 5c0e AFTER 3.1207 READ 1a4\r\n");

  sql::target_command executed{sql::command_kind::execute};
  executed.id = "5c0e";
  executed.name = "p1";
  executed.text = "1a4 xk";
  CHECK(encode(executed) == "QUERY 5c0e EXECUTE p1 1a4 xk\r\n");

  sql::target_command prepared{sql::command_kind::prepare};
  prepared.name = "p1";
  prepared.definition = {true, "q2c"};
  CHECK(encode(prepared) == "QUERY - PREPARE p1 WRITE q2c\r\n");
  CHECK(encode({sql::command_kind::begin}) == "QUERY - BEGIN\r\n");
  sql::target_command pause{sql::command_kind::pause_replication};
  pause.term = term_id{4};
  CHECK(encode(pause) == "QUERY - PAUSE 4\r\n");
  CHECK(encode({sql::command_kind::resume_replication}) == "QUERY - RESUME\r\n");
  CHECK(encode_target_start(service_id{"huvo"}, customer_id{"nypu"}, target_id{"i-7f"}) ==
        "START huvo nypu i-7f\r\n");
}

TEST_CASE("Replies of targets are decoded") {
  const auto failure = decode_target_line("ERROR READONLY i-7f3a");
  REQUIRE(std::holds_alternative<target_failure>(failure));
  CHECK(std::get<target_failure>(failure).kind == sql::target_error::read_only);
  const auto unknown = decode_target_line("ERROR NEWCODE x");
  CHECK(std::get<target_failure>(unknown).kind == sql::target_error::other);
  const auto ready = decode_target_line("READY T 3.1209");
  CHECK(std::get<target_ready>(ready).state == sql::transaction_state::open);
  CHECK(std::get<target_ready>(ready).point == log_point{term_id{3}, log_position{1209}});
  CHECK_FALSE(std::get<target_ready>(decode_target_line("READY I -")).point);
  CHECK(std::holds_alternative<malformed_target_message>(decode_target_line("HELLO")));
  // A connection whose state isn't known is not used again.
  for (const auto* line : {"READY", "READY ", "READY  1.5", "READY X 1.5", "READY i 1.5"}) {
    CAPTURE(line);
    CHECK(std::holds_alternative<malformed_target_message>(decode_target_line(line)));
  }
}

TEST_CASE("A status row gives role, term and received point") {
  const auto status = decode_status("replica 3 3.1209 0 12 2 17");
  REQUIRE(status);
  CHECK_FALSE(status->is_primary);
  CHECK(status->term == term_id{3});
  CHECK(status->received == log_point{term_id{3}, log_position{1209}});
  CHECK(status->fence_term == term_id{0});
  CHECK(decode_status("replica 3 3.1209 4 12 2 17")->fence_term == term_id{4});
  CHECK_FALSE(decode_status("replica x"));
}

TEST_CASE("Lines that arrive in pieces are assembled") {
  line_reader reader;
  std::vector<std::string> lines;
  const auto collect = [&](std::string_view line) {
    lines.emplace_back(line);
    return true;
  };
  CHECK(reader.feed("STA", 100, collect));
  CHECK(reader.feed("RT a b\r", 100, collect));
  CHECK(reader.feed("\nCLOSE\r\nQU", 100, collect));
  CHECK(lines == std::vector<std::string>{"START a b", "CLOSE"});
  CHECK(reader.is_inside_line());
}

// Guards against a line whose rest is buffered although there is no memory for it, or taken for another line.
TEST_CASE("The rest of a line is discarded up to its end") {
  line_reader reader;
  std::vector<std::string> lines;
  const auto collect = [&](std::string_view line) {
    lines.emplace_back(line);
    return true;
  };
  CHECK(reader.feed("ROW " + std::string(59, 'x') + "\rxx", 10'000, collect));
  reader.discard_rest_of_line();
  CHECK(reader.feed("\nx", 10'000, collect));
  CHECK(reader.feed(std::string(5'000, 'x') + "\r", 10'000, collect));
  CHECK(reader.buffered_bytes() < 100);
  CHECK(lines.empty());
  CHECK(reader.feed("\nCOMPLETE a\r\nREADY", 10'000, collect));
  REQUIRE(lines.size() == 2);
  CHECK(lines[0].starts_with("ROW x"));
  CHECK(lines[1] == "COMPLETE a");
  CHECK(reader.buffered_bytes() == 5);
}

// Guards against a connection that goes back to the pool inside a transaction, because the state in the last
// line of a large answer came in a later piece and was discarded with the rows.
TEST_CASE("A short line is whole though rows before it were discarded") {
  line_reader reader;
  std::vector<std::string> lines;
  const auto collect = [&](std::string_view line) {
    lines.emplace_back(line);
    return true;
  };
  const std::string answer = "COMPLETE -\r\nREADY T 1.5\r\n";
  const auto cut = GENERATE(range(1, 24));
  CAPTURE(cut);
  CHECK(reader.feed("ROW " + std::string(500, 'x'), 10'000, collect));
  reader.discard_rest_of_line();
  CHECK(reader.feed("xxx\r\n" + answer.substr(0, static_cast<std::size_t>(cut)), 10'000, collect));
  reader.discard_rest_of_line();
  CHECK(reader.feed(answer.substr(static_cast<std::size_t>(cut)), 10'000, collect));
  REQUIRE(lines.size() == 3);
  CHECK(lines[1] == "COMPLETE -");
  CHECK(lines[2] == "READY T 1.5");
}

// Guards against a text with a line feed whose rest is read as another message.
TEST_CASE("Only a CR LF ends a line") {
  line_reader reader;
  std::vector<std::string> lines;
  const auto collect = [&](std::string_view line) {
    lines.emplace_back(line);
    return true;
  };
  CHECK(reader.feed("a\nb\rc\r", 100, collect));
  CHECK(lines.empty());
  CHECK(reader.feed("\r\n\n\r", 100, collect));
  CHECK(reader.feed("\n", 100, collect));
  CHECK(lines == std::vector<std::string>{"a\nb\rc\r", "\n"});
  CHECK_FALSE(reader.is_inside_line());
}

// Guards against a statement that a target reads as two.
TEST_CASE("A statement with a line end or a NUL in its text is refused") {
  for (const auto end : {'\r', '\n', '\0'}) {
    for (const std::string text : {"WRITE a x", "SET a x", "EXECUTE p a x", "PREPARE p READ q", "READ a"}) {
      const auto message = decode_caller_line("QUERY 5c0e " + text + end + "QUERY 5c0f WRITE b y");
      const auto* refused = std::get_if<malformed_statement>(&message);
      REQUIRE(refused != nullptr);
      CHECK(refused->id == "5c0e");
    }
  }
  CHECK(std::holds_alternative<malformed_message>(decode_caller_line("QUERY 5c\n0e READ a")));
  CHECK(decode_statement_line("QUERY 5c0e WRITE a \t\xff\x01").text == "WRITE a \t\xff\x01");
}

TEST_CASE("A line over the limit is refused before its terminator arrives") {
  line_reader reader;
  CHECK_FALSE(reader.feed(std::string(101, 'x'), 100, [](std::string_view) { return true; }));
}

}  // namespace
}  // namespace bulrushlift::platform
