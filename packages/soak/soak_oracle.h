#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "base/clock.h"

/// @file
/// Checks consistency guarantees against the history of callers and database. Each item has
/// one writer, which writes increasing numbers. After a write with an unknown outcome the
/// item is not written again, because that write may still take effect later.

namespace bulrushlift::soak {

/// Outcome of a write as its caller knows it.
enum class write_outcome : std::uint8_t {
  pending,       ///< No answer has arrived yet.
  acknowledged,  ///< Answered with success.
  refused,       ///< The error guarantees that nothing was committed, or the caller rolled back.
  unknown,       ///< The write may or may not have been committed.
};

/// A violated consistency guarantee.
struct violation {
  std::string rule;  ///< TWICE, REFUSED, UNASKED, STALE, MIXED, PINNED, LOST or RECOVER.
  std::string detail;

  friend bool operator==(const violation&, const violation&) = default;
};

/// Records the history of a soak run and reports violated guarantees.
class soak_oracle {
 public:
  /// Records a write that a caller is about to send.
  void on_write_sent(const std::string& item, std::uint64_t number);
  /// Records the outcome of a write that was sent.
  /// @param now time at which the caller learned the outcome.
  void on_write_ended(const std::string& item, std::uint64_t number, write_outcome outcome, time_point now);

  /// Records a commit by the database.
  /// @param id id of the statement that committed the write.
  void on_commit(const std::string& item, std::uint64_t number, const std::string& id);

  /// Records the promotion of a replica. Commits that the replica lacks count as lost, which
  /// the platform's rules allow without synchronous replicas.
  /// @param number_of returns the number that the new primary holds for an item.
  void on_promotion(const std::function<std::uint64_t(const std::string& item)>& number_of);

  /// @return the newest number that was acknowledged before `when`; 0 if none was.
  [[nodiscard]] std::uint64_t newest_acknowledged(const std::string& item, time_point when) const;

  /// Checks the result of a read.
  /// @param number that was read; 0 if the item did not exist.
  /// @param minimum smallest number that the reader may see.
  /// @param id id of the statement that read it.
  void on_read(const std::string& item, std::uint64_t number, std::uint64_t minimum, const std::string& id);

  /// Adds a violation.
  void report(std::string rule, std::string detail);

  [[nodiscard]] const std::vector<violation>& violations() const noexcept { return violations_; }
  [[nodiscard]] std::vector<std::string> items() const;

 private:
  struct acknowledgement {
    time_point when{};
    std::uint64_t number = 0;
  };
  struct item_state {
    std::map<std::uint64_t, write_outcome> outcomes;  ///< By number.
    std::set<std::uint64_t> committed;                ///< Committed and held by the current primary.
    std::set<std::uint64_t> lost;                     ///< Committed, then lost by a promotion.
    std::vector<acknowledgement> acknowledged;  ///< In order of time, without those lost by a promotion.
  };

  std::map<std::string, item_state> items_;
  std::vector<violation> violations_;
};

}  // namespace bulrushlift::soak
