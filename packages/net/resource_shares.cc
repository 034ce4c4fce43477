#include <algorithm>

#include "net/resource_budget.h"

// Bounds that follow from what a VM has.

namespace bulrushlift {
namespace {

constexpr std::size_t kibibyte = 1'024;
constexpr std::size_t mebibyte = 1'024 * kibibyte;

// Bounds of a process that does not know its limits.
constexpr std::size_t unknown_caller_bytes = std::size_t{4} * 1'024 * mebibyte;
constexpr std::size_t unknown_descriptors = 65'536;
constexpr std::size_t unknown_unsent_bytes = 16 * mebibyte;

// The program, its libraries and the copies that one turn of the event loop makes of a message.
constexpr std::size_t program_bytes = 20 * mebibyte;
// The least that callers get, so that one message of the largest size is served on any VM.
constexpr std::size_t min_caller_bytes = 8 * mebibyte;

// Descriptors that callers never get: at least this many, and a quarter.
constexpr std::size_t min_kept_descriptors = 96;

std::size_t saturated(std::uint64_t value) { return static_cast<std::size_t>(value); }

}  // namespace

resource_shares shares_of(const resource_limits& limits) {
  const bool knows_memory = limits.memory_bytes > 0;
  const auto memory = saturated(limits.memory_bytes);
  const auto descriptors = limits.descriptors > 0 ? saturated(limits.descriptors) : unknown_descriptors;
  resource_shares shares;
  shares.caller_bytes =
      knows_memory ? std::max(min_caller_bytes, memory > program_bytes ? (memory - program_bytes) / 4 * 3 : 0)
                   : unknown_caller_bytes;
  shares.refusal_bytes = shares.caller_bytes / 10 * 9;
  shares.reserved_bytes = shares.caller_bytes / 4 * 3;
  shares.customer_bytes = std::max(shares.reserved_bytes / 4 * 3, message_reservation_bytes);
  shares.small_bytes = knows_memory ? 16 * kibibyte : 2 * mebibyte;
  shares.unsent_bytes = knows_memory ? 64 * kibibyte : unknown_unsent_bytes;
  shares.session_bytes = knows_memory ? 2 * mebibyte : 16 * mebibyte;
  const auto kept = std::min(std::max(min_kept_descriptors, descriptors / 4), descriptors / 2);
  shares.caller_connections = descriptors - kept;
  shares.unstarted_connections = std::max<std::size_t>(shares.caller_connections / 4, 1);
  // The rest of the descriptors that are kept is for the store, targets and links to peers.
  shares.probe_connections = std::max<std::size_t>(kept / 8, 2);
  shares.peer_connections = std::max<std::size_t>(kept / 5 * 2, 2);
  shares.peer_input_bytes =
      knows_memory ? std::max(shares.caller_bytes / 4, 4 * mebibyte) : unknown_caller_bytes;
  return shares;
}

std::string_view name_of(close_reason reason) noexcept {
  switch (reason) {
    case close_reason::not_started:
      return "not_started";
    case close_reason::half_message:
      return "half_message";
    case close_reason::unread_answers:
      return "unread_answers";
    case close_reason::memory:
      return "memory";
    case close_reason::no_room:
      return "no_room";
    case close_reason::descriptors:
      return "descriptors";
  }
  return "unknown";
}

}  // namespace bulrushlift
