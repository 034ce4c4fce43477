#include "daemon/attempt_results.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "daemon/answer.h"

namespace bulrushlift {
namespace {

target_answer answer_of_kind(const char* kind) {
  target_answer answer;
  answer.error_kind = kind;
  return answer;
}

// Guards against a retry of a cancelled or malformed request, and against no retry of a refused one.
TEST_CASE("answers that are final for a request") {
  CHECK(failure_point_of(answer_of_kind("cancelled")) == failure_point::cancelled);
  CHECK(failure_point_of(answer_of_kind("statement_failed")) == failure_point::statement_failed);
  CHECK(failure_point_of(answer_of_kind("bad_request")) == failure_point::statement_failed);
  for (const auto* kind : {"wrong_term", "not_primary", "behind", "busy", "too_many_connections"}) {
    CHECK(failure_point_of(answer_of_kind(kind)) == failure_point::refused);
  }
}

// Guards against a connection that stays bound to its transaction after the target has refused a rollback,
// and against the loss of a transaction that is still open at the target.
TEST_CASE("answers that leave a transaction open") {
  CHECK(step_result_of(answer_of_kind("")) == step_result::confirmed);
  for (const auto* kind : {"statement_failed", "busy", "bad_request"}) {
    CHECK(step_result_of(answer_of_kind(kind)) == step_result::failed);
  }
  for (const auto* kind : {"wrong_term", "not_primary", "unknown_transaction"}) {
    CHECK(step_result_of(answer_of_kind(kind)) == step_result::refused);
  }
  CHECK(step_result_of(make_error(error_kind::target_unavailable, "reset")) == step_result::lost);
}

// Guards against an answer that advises the caller to retry a request that may have run.
TEST_CASE("an unknown outcome is answered with the advice to resolve it") {
  for (const auto kind :
       {error_kind::draining, error_kind::transaction_lost, error_kind::deadline_exceeded}) {
    const error failure{kind, "", std::nullopt, outcome::unknown};
    const auto body = nlohmann::json::parse(format_error({}, failure).body);
    CHECK(body["error"]["outcome"] == "unknown");
    CHECK(body["error"]["retry"] == "resolve");
  }
}

}  // namespace
}  // namespace bulrushlift
