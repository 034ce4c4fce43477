#include "sql/dispatch_queue.h"

#include <tuple>

namespace bulrushlift::sql {
namespace {

// Starts of more urgent statements between two of overdue ones.
constexpr std::uint32_t starts_per_overdue = 4;

// A shorter queue is not divided among customers.
constexpr std::size_t min_divided_queue = 16;

// Waiting statements that each customer may have in any queue.
constexpr std::size_t min_customer_queue = 8;

}  // namespace

bool is_overdue(const waiting_statement& statement, time_point now) noexcept {
  return now - statement.arrived >= (statement.wait_end - statement.arrived) / 2;
}

bool precedes(const waiting_statement& a, const waiting_statement& b) {
  return std::tie(a.priority, a.start_tag, a.arrived) < std::tie(b.priority, b.start_tag, b.arrived);
}

bool exceeds_queue_share(std::size_t waiting, std::size_t of_customer) noexcept {
  const bool do_others_wait = waiting > of_customer;
  if (!do_others_wait || waiting < min_divided_queue || of_customer < min_customer_queue) return false;
  return of_customer > waiting / 2;
}

bool overdue_turns::is_due() const noexcept { return passed_ >= starts_per_overdue; }

}  // namespace bulrushlift::sql
