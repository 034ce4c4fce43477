#pragma once

#include <peer_types.h>

#include "entry/work_item.h"

/// @file
/// Converts statements that one VM runs for the sessions of another, and their replies, to and
/// from their Thrift form.

namespace bulrushlift::entry {

/// @param remaining time until the statement's deadline.
[[nodiscard]] peer::statement_request_t encode_request(const work_item& item, const vm_id& sender,
                                                       duration remaining);

/// @param now receive time; the deadline of the item is counted from it.
/// @return the item without its callback and its open transaction, or `protocol_error`.
[[nodiscard]] result<work_ptr> decode_request(const peer::statement_request_t& wire, time_point now);

/// @param transaction number of the transaction that is open after the statement; 0 if there is none.
[[nodiscard]] peer::statement_reply_t encode_reply(const work_result& value, std::uint64_t transaction);
/// @param owner the VM that replied and holds the transaction if it is still open.
/// @return the result; error codes that are not known here become `outcome_unknown`.
[[nodiscard]] work_result decode_reply(const peer::statement_reply_t& wire, const vm_id& owner);

[[nodiscard]] peer::session_statement_t encode_statement(const sql::statement& value);
[[nodiscard]] result<sql::statement> decode_statement(const peer::session_statement_t& wire);

}  // namespace bulrushlift::entry
