#include "sql/statement.h"

namespace bulrushlift::sql {

std::string_view name_of(statement_kind kind) noexcept {
  switch (kind) {
    case statement_kind::begin:
      return "begin";
    case statement_kind::begin_read_only:
      return "begin_read_only";
    case statement_kind::commit:
      return "commit";
    case statement_kind::rollback:
      return "rollback";
    case statement_kind::read:
      return "read";
    case statement_kind::write:
      return "write";
    case statement_kind::set_value:
      return "set_value";
    case statement_kind::prepare:
      return "prepare";
    case statement_kind::execute:
      return "execute";
    case statement_kind::deallocate:
      break;
  }
  return "deallocate";
}

std::string_view name_of(target_error kind) noexcept {
  switch (kind) {
    case target_error::busy:
      return "busy";
    case target_error::undefined_name:
      return "undefined_name";
    case target_error::behind:
      return "behind";
    case target_error::read_only:
      return "read_only";
    case target_error::wrong_target:
      return "wrong_target";
    case target_error::too_many_connections:
      return "too_many_connections";
    case target_error::malformed:
      return "malformed";
    case target_error::failed:
      return "failed";
    case target_error::timed_out:
      return "timed_out";
    case target_error::other:
      return "other";
    case target_error::connection_lost:
      break;
  }
  return "connection_lost";
}

std::string_view name_of(caller_error kind) noexcept {
  switch (kind) {
    case caller_error::busy:
      return "busy";
    case caller_error::aborted:
      return "aborted";
    case caller_error::outcome_unknown:
      return "outcome_unknown";
    case caller_error::timed_out:
      return "timed_out";
    case caller_error::failed:
      return "failed";
    case caller_error::access_denied:
      return "access_denied";
    case caller_error::no_database:
      return "no_database";
    case caller_error::undefined_name:
      return "undefined_name";
    case caller_error::malformed:
      return "malformed";
    case caller_error::too_large:
      break;
  }
  return "too_large";
}

}  // namespace bulrushlift::sql
