#include <catch2/catch.hpp>

#include "entry/caller_crowd_fake.h"
#include "standins/session_documents.h"

// Memory of a process while many callers send or leave unread more than it may hold. Each test fails if the
// process ends, exceeds the memory or the descriptors of its VM, or serves nobody afterwards.

namespace bulrushlift::entry {
namespace {

constexpr std::size_t large_bytes = 1'000'000;
const std::string greeting = "START orders key-shop\r\n";

std::string large_text(std::size_t bytes = large_bytes) { return std::string(bytes, 'x'); }

crowd_behaviour greeted(const std::string& text, std::size_t repeats) {
  crowd_behaviour behaviour;
  behaviour.greeting = greeting;
  behaviour.text = text;
  behaviour.repeats = repeats;
  return behaviour;
}

/// Stores a row of 900,000 bytes.
void write_large_row(session_deployment& deployment) {
  const auto caller = deployment.session(0, "orders");
  CHECK(caller->ask_joined("QUERY w1 WRITE hide " + large_text(900'000)).starts_with("COMPLETE signed"));
}

}  // namespace

// Guards against a process that holds all messages of legal size that arrive at once.
TEST_CASE("Large messages of many callers at once stay within the memory of the VM") {
  session_deployment deployment{"crowd_large_messages", 1, false, crowd_settings()};
  static_cast<void>(deployment.session(0, "orders"));
  auto behaviour = greeted("QUERY w1 WRITE large " + large_text() + "\r\n", 2);
  behaviour.reads = GENERATE(true, false);
  caller_crowd crowd{deployment, deployment.caller_address(0), behaviour};

  crowd.run(60);

  check_processes(deployment, crowd);
}

// Guards against messages that are held for callers which never send their ends.
TEST_CASE("Large messages that stop half-way stay within the memory of the VM") {
  session_deployment deployment{"crowd_half_messages", 1, false, crowd_settings()};
  static_cast<void>(deployment.session(0, "orders"));
  auto behaviour = greeted("QUERY w1 WRITE large " + large_text(), 1);
  behaviour.piece_bytes = GENERATE(std::size_t{65'536}, std::size_t{4'000});
  if (GENERATE(false, true)) behaviour.greeting.clear();
  caller_crowd crowd{deployment, deployment.caller_address(0), behaviour};

  crowd.run(100);

  check_processes(deployment, crowd);
}

// Guards against a process that collects a message far beyond the limit.
TEST_CASE("Messages far over the limit stay within the memory of the VM") {
  session_deployment deployment{"crowd_oversize", 1, false, crowd_settings()};
  static_cast<void>(deployment.session(0, "orders"));
  caller_crowd crowd{deployment, deployment.caller_address(0),
                     greeted("QUERY w1 WRITE large " + large_text(), 8)};

  crowd.run(60);

  check_processes(deployment, crowd);
}

// Guards against answers that are collected for callers which do not read.
TEST_CASE("Large answers that nobody reads stay within the memory of the VM") {
  session_deployment deployment{"crowd_unread_answers", 1, false, crowd_settings()};
  write_large_row(deployment);
  caller_crowd crowd{deployment, deployment.caller_address(0), greeted("QUERY r1 READ hide\r\n", 20)};

  crowd.run(40);

  check_processes(deployment, crowd);
}

// Guards against an owner that collects the answers of relayed statements, and a VM that collects the relayed
// answers.
TEST_CASE("Large relayed answers that nobody reads stay within the memory of the VMs") {
  session_deployment deployment{"crowd_relayed_answers", 2, false, crowd_settings()};
  write_large_row(deployment);
  const auto other = 1 - deployment.owner();
  static_cast<void>(deployment.session(other, "orders"));
  caller_crowd crowd{deployment, deployment.caller_address(other), greeted("QUERY r1 READ hide\r\n", 20)};

  crowd.run(40);

  check_processes(deployment, crowd);
}

// Guards against an owner that collects large statements of another VM.
TEST_CASE("Large relayed messages stay within the memory of the VMs") {
  session_deployment deployment{"crowd_relayed_messages", 2, false, crowd_settings()};
  static_cast<void>(deployment.session(0, "orders"));
  const auto other = 1 - deployment.owner();
  static_cast<void>(deployment.session(other, "orders"));
  auto behaviour = greeted("QUERY w1 WRITE large " + large_text() + "\r\n", 2);
  behaviour.reads = true;
  caller_crowd crowd{deployment, deployment.caller_address(other), behaviour};

  crowd.run(40);

  check_processes(deployment, crowd);
}

// Guards against many small messages that wait for their turn on many connections.
TEST_CASE("Small statements sent ahead by many callers stay within the memory of the VM") {
  session_deployment deployment{"crowd_sent_ahead", 1, false, crowd_settings()};
  static_cast<void>(deployment.session(0, "orders"));
  // Under the number of statements that a session may send ahead, so that the bytes are what counts.
  caller_crowd crowd{deployment, deployment.caller_address(0),
                     greeted("QUERY w1 WRITE small " + large_text(15'000) + "\r\n", 60)};

  crowd.run(120);

  check_processes(deployment, crowd);
}

// Guards against session state that grows with each statement.
TEST_CASE("Values and prepared statements of many sessions stay within the memory of the VM") {
  session_deployment deployment{"crowd_values", 1, false, crowd_settings()};
  static_cast<void>(deployment.session(0, "orders"));
  const bool is_prepared = GENERATE(false, true);
  std::string text;
  for (int i = 0; i < 20; ++i) {
    const auto name = "v" + std::to_string(i);
    text += is_prepared ? "QUERY p1 PREPARE " + name + " READ " : "QUERY s1 SET " + name + " ";
    text += large_text(200'000) + "\r\n";
  }
  auto behaviour = greeted(text, 1);
  behaviour.reads = true;
  caller_crowd crowd{deployment, deployment.caller_address(0), behaviour};

  crowd.run(40);

  check_processes(deployment, crowd);
}

// Guards against the id of a begin that is kept, and not counted, for as long as its transaction lasts.
TEST_CASE("Transactions with long ids stay within the memory of the VM") {
  session_deployment deployment{"crowd_long_ids", 1, false, crowd_settings()};
  static_cast<void>(deployment.session(0, "orders"));
  auto behaviour = greeted("QUERY " + large_text() + " BEGIN\r\n", 1);
  behaviour.reads = true;
  caller_crowd crowd{deployment, deployment.caller_address(0), behaviour};

  crowd.run(100);

  check_processes(deployment, crowd);
}

// Guards against a transaction with a long id that keeps memory for as long as its caller rests.
TEST_CASE("A transaction with a long id that rests is ended, and its memory is free") {
  session_deployment deployment{"crowd_resting_id", 1, false, crowd_settings()};
  static_cast<void>(deployment.session(0, "orders"));
  auto configuration = configuration_document(2, "ledger", {{"shop", {"key-new"}}}, 0);
  configuration["limits"]["transactionIdleMs"] = 300;
  deployment.platform->put("config", "main", configuration);
  std::unique_ptr<test_caller> small;
  deployment.await("configuration", [&] {
    small = deployment.connect(0);
    return small->ask_joined("START orders key-new") == "READY I -";
  });
  const auto large = deployment.connect(0);
  CHECK(large->ask_joined("START orders key-new") == "READY I -");
  CHECK(small->ask_joined("QUERY b1 BEGIN") == "COMPLETE -|READY T -");
  CHECK(large->ask_joined("QUERY " + large_text() + " BEGIN") == "COMPLETE -|READY T -");

  deployment.await("end", [&] { return deployment.count_logged(0, "\"transaction_aborted\"") > 0; });

  CHECK(large->ask("QUERY r1 READ hide").front().starts_with("ERROR MALFORMED"));
  CHECK(small->ask_joined("QUERY r2 READ hide").starts_with("ROW |COMPLETE signed|READY T"));
}

// Guards against the key of a session on a public route, which may be any text, that is kept and not counted.
TEST_CASE("Sessions with long keys stay within the memory of the VM") {
  session_deployment deployment{"crowd_long_keys", 1, false, crowd_settings()};
  static_cast<void>(deployment.session(0, "orders"));
  crowd_behaviour behaviour;
  behaviour.text = "START catalogue " + large_text() + "\r\n";
  behaviour.reads = true;
  caller_crowd crowd{deployment, deployment.caller_address(0), behaviour};

  crowd.run(100);

  check_processes(deployment, crowd);
}

// Guards against limits that a caller inside the pages' limits meets.
TEST_CASE("A single message of the largest size is served on a small VM") {
  session_deployment deployment{"crowd_calm", 1, false, crowd_settings()};
  const auto caller = deployment.session(0, "orders");
  constexpr std::size_t limit = std::size_t{1} << 20U;
  const std::string command = "QUERY w1 WRITE hide ";
  const auto value = large_text(limit - command.size() - 2);

  CHECK(caller->ask_joined(command + value).starts_with("COMPLETE signed|READY I"));
  CHECK(caller->ask_joined("QUERY r1 READ hide").starts_with("ROW " + value + "|COMPLETE signed"));
  CHECK(caller->ask_joined("QUERY s1 SET zone " + value) == "COMPLETE -|READY I -");
  CHECK(caller->ask_joined("QUERY r2 READ hide").starts_with("ROW " + value + "|COMPLETE signed"));
}

// Guards against buffers that are not counted, and bytes that stay counted after their connection has ended.
TEST_CASE("What a process counts is what its connections hold") {
  session_deployment deployment{"crowd_count", 1, false, crowd_settings()};
  static_cast<void>(deployment.session(0, "orders"));
  const auto await_bytes = [&](double least, double most) {
    deployment.await("counted bytes", [&] {
      const auto bytes = deployment.metric(0, "caller_bytes");
      return bytes && *bytes >= least && *bytes <= most;
    });
  };
  // Each session keeps the name of its database and its key.
  constexpr double kept = 14;
  auto half = deployment.session(0, "orders");
  auto resting = deployment.session(0, "orders");
  await_bytes(2 * kept, 2 * kept);

  half->send("QUERY w1 WRITE hide " + std::string(10'000, 'x'));
  await_bytes(2 * kept + 10'020, 2 * kept + 10'020);
  CHECK(resting->ask_joined("QUERY s1 SET zone " + std::string(1'000, 'x')) == "COMPLETE -|READY I -");
  await_bytes(2 * kept + 11'024, 2 * kept + 11'200);
  half->send("\r\n");
  CHECK(half->read_answer().back().starts_with("READY I"));
  await_bytes(2 * kept + 1'004, 2 * kept + 1'180);
  half->send("QUERY w2 WRITE hide " + large_text());
  await_bytes(kept + (4 << 20), kept + (4 << 20) + 1'180);

  half.reset();
  resting.reset();
  await_bytes(0, 0);
}

// Guards against a transaction that is kept, or goes on, when its connection is closed for a half-sent
// message.
TEST_CASE("A caller that stops within a message or before the first one is closed") {
  auto settings = crowd_settings();
  settings["caller_limits"] = {{"message_pause_seconds", 1}, {"first_message_seconds", 1}};
  session_deployment deployment{"crowd_pauses", 1, false, settings};
  const auto resting = deployment.session(0, "orders");
  const auto stopped = deployment.session(0, "orders");
  const auto silent = deployment.connect(0);
  CHECK(stopped->ask_joined("QUERY b1 BEGIN") == "COMPLETE -|READY T -");
  CHECK(stopped->ask_joined("QUERY t1 WRITE hide 1").starts_with("COMPLETE signed|READY T"));
  stopped->send("QUERY c1 COMM");

  deployment.await("end of the connections", [&] { return stopped->is_closed() && silent->is_closed(); });

  CHECK(resting->ask_joined("QUERY r1 READ hide").starts_with("ROW |COMPLETE signed"));
  CHECK(deployment.database->value_of("hide").empty());
  CHECK(deployment.has_logged(0, {R"("event":"caller_closed")", R"("reason":"half_message")"}));
  CHECK(deployment.has_logged(0, {R"("event":"caller_closed")", R"("reason":"not_started")"}));
}

// Guards against a transaction that stays open, or is kept, when its connection is closed by force.
TEST_CASE("The transaction of a caller that is closed is rolled back") {
  session_deployment deployment{"crowd_transaction", 1, false, crowd_settings()};
  const auto caller = deployment.session(0, "orders");
  CHECK(caller->ask_joined("QUERY b1 BEGIN") == "COMPLETE -|READY T -");
  CHECK(caller->ask_joined("QUERY t1 WRITE hide 1").starts_with("COMPLETE signed|READY T"));

  caller->send("QUERY t2 WRITE hide " + large_text(3 * large_bytes) + "\r\nQUERY c1 COMMIT\r\n");
  deployment.await("end of the session", [&] { return caller->is_closed(); });

  const auto other = deployment.session(0, "orders");
  CHECK(other->ask_joined("QUERY r1 READ hide").starts_with("ROW |COMPLETE signed"));
  CHECK(count_runs(deployment, "c1") == 0);
  CHECK(deployment.database->value_of("hide").empty());
}

}  // namespace bulrushlift::entry
