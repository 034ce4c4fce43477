#include "daemon/attempt_results.h"

namespace bulrushlift {

failure_point failure_point_of(const target_answer& answer) {
  if (answer.error_kind == "cancelled") return failure_point::cancelled;
  // The statement itself is at fault, so a retry on another target would fail in the same way.
  const bool is_final = answer.error_kind == "statement_failed" || answer.error_kind == "bad_request";
  return is_final ? failure_point::statement_failed : failure_point::refused;
}

step_result step_result_of(const result<target_answer>& answer) {
  if (!answer) return step_result::lost;
  const auto& kind = answer->error_kind;
  if (kind.empty()) return step_result::confirmed;
  const bool is_open = kind == "statement_failed" || kind == "busy" || kind == "bad_request";
  return is_open ? step_result::failed : step_result::refused;
}

}  // namespace bulrushlift
