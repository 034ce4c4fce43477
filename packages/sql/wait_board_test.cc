#include "sql/wait_board.h"

#include <catch2/catch.hpp>
#include <random>
#include <vector>

namespace bulrushlift::sql {
namespace {

using std::chrono::milliseconds;

constexpr duration allowed = milliseconds{100};
const wait_key here{service_id{"ledger"}, data_centre_id{"thies"}, 1};
const wait_key there{service_id{"ledger"}, data_centre_id{"mbour"}, 1};

/// @return how many of `count` statements of the customer are admitted.
int admitted(wait_board& board, const std::vector<wait_key>& keys, const char* customer, time_point now,
             int count = 1'000) {
  std::mt19937_64 random{7};
  int sum = 0;
  for (int i = 0; i < count; ++i) {
    if (board.admits(keys, customer_id{customer}, allowed, now, random())) ++sum;
  }
  return sum;
}

// Guards against refusals in calm, when no VM has reported a wait or all waits are short.
TEST_CASE("Statements are admitted without a report, after a short one and after an old one") {
  const time_point now{std::chrono::seconds{10}};
  wait_board board;
  CHECK(admitted(board, {here}, "a", now) == 1'000);
  board.record(here, allowed, now);
  CHECK(admitted(board, {here}, "a", now) == 1'000);
  board.record(here, 10 * allowed, now);
  CHECK(admitted(board, {here}, "a", now + wait_board::refusal_lifetime + milliseconds{1}) == 1'000);
}

// Guards against a queue that is never asked again, and against a rush when it is short again.
TEST_CASE("The part that is sent to a long queue shrinks with its wait and is never zero") {
  const time_point now{std::chrono::seconds{10}};
  wait_board board;
  board.record(here, 2 * allowed, now);
  const auto some = admitted(board, {here}, "a", now);
  board.record(here, 20 * allowed, now);
  const auto few = admitted(board, {here}, "a", now);
  CHECK(some > few);
  CHECK(some < 700);
  CHECK(few > 0);
}

// Guards against refusals while another data centre has room, or may have it.
TEST_CASE("One queue with room, or without a report, admits the statement") {
  const time_point now{std::chrono::seconds{10}};
  wait_board board;
  board.record(here, 50 * allowed, now);
  CHECK(admitted(board, {here, there}, "a", now) == 1'000);
  board.record(there, milliseconds{1}, now);
  CHECK(admitted(board, {here, there}, "a", now) == 1'000);
}

// Guards against one customer's flood that has the statements of the others refused.
TEST_CASE("A customer with most of the demand is refused more often than the others") {
  const time_point now{std::chrono::seconds{10}};
  wait_board board;
  board.record(here, 2 * allowed, now);
  std::mt19937_64 random{11};
  int large_sent = 0;
  int small_sent = 0;
  constexpr int rounds = 400;
  constexpr int large_per_round = 9;
  for (int i = 0; i < rounds; ++i) {
    for (int j = 0; j < large_per_round; ++j) {
      if (board.admits(std::vector{here}, customer_id{"large"}, allowed, now, random())) ++large_sent;
    }
    if (board.admits(std::vector{here}, customer_id{"small"}, allowed, now, random())) ++small_sent;
  }
  const auto large_part = static_cast<double>(large_sent) / (rounds * large_per_round);
  const auto small_part = static_cast<double>(small_sent) / rounds;
  CHECK(small_part > 0.4);
  CHECK(large_part < 0.75 * small_part);
}

}  // namespace
}  // namespace bulrushlift::sql
