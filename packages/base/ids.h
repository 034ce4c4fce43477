#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <utility>

/// @file
/// Strong types for names, terms and log positions.

namespace bulrushlift {

/// A name that converts neither to nor from names of another kind.
/// @tparam Tag distinguishes the kinds; never defined.
template <class Tag>
class name_id {
 public:
  name_id() = default;
  explicit name_id(std::string value) : value_(std::move(value)) {}
  explicit name_id(std::string_view value) : value_(value) {}
  explicit name_id(const char* value) : value_(value) {}

  [[nodiscard]] const std::string& str() const noexcept { return value_; }
  [[nodiscard]] bool empty() const noexcept { return value_.empty(); }

  friend bool operator==(const name_id&, const name_id&) = default;
  friend auto operator<=>(const name_id&, const name_id&) = default;

 private:
  std::string value_;
};

using vm_id = name_id<struct vm_tag>;
using data_centre_id = name_id<struct data_centre_tag>;
using customer_id = name_id<struct customer_tag>;
using target_id = name_id<struct target_tag>;
/// A database service; each service is one database group with one primary.
using service_id = name_id<struct service_tag>;
using route_id = name_id<struct route_tag>;
using key_id = name_id<struct key_tag>;
using request_id = name_id<struct request_tag>;

/// A counter that converts neither to nor from counters of another kind.
template <class Tag>
class number_id {
 public:
  constexpr number_id() = default;
  constexpr explicit number_id(std::uint64_t value) noexcept : value_(value) {}

  [[nodiscard]] constexpr std::uint64_t value() const noexcept { return value_; }
  [[nodiscard]] constexpr number_id next() const noexcept { return number_id{value_ + 1}; }

  friend constexpr bool operator==(const number_id&, const number_id&) = default;
  friend constexpr auto operator<=>(const number_id&, const number_id&) = default;

 private:
  std::uint64_t value_ = 0;
};

/// Term of a database group; grows with each promotion.
using term_id = number_id<struct term_tag>;
/// Index of an entry in the log of a database group; the first entry is 1.
using log_position = number_id<struct position_tag>;
/// Generation of the environment document in force; 0 means none.
using generation_id = number_id<struct generation_tag>;
/// Version of an object in the platform's store; 0 means that the object does not exist.
using object_version = number_id<struct object_version_tag>;
/// Start count of a process; a later process with the same VM name has a higher one.
using incarnation_id = number_id<struct incarnation_tag>;

/// @return the first of the numbers that a process gives out, to loans and to transactions for example. The
///   numbers of a process lie above those of earlier processes of its VM, provided that a process gives out
///   fewer than 2^20 numbers in each millisecond.
/// @param incarnation start of the process in wall-clock milliseconds.
[[nodiscard]] constexpr std::uint64_t first_number_of(incarnation_id incarnation) noexcept {
  return (incarnation.value() << 20U) + 1;
}

/// The newest entry of a log. Points compare by term first, so a member whose
/// point is at or above an acknowledged point holds that entry.
struct log_point {
  term_id term;
  log_position position;

  friend constexpr bool operator==(const log_point&, const log_point&) = default;
  friend constexpr auto operator<=>(const log_point&, const log_point&) = default;
};

}  // namespace bulrushlift

template <class Tag>
struct std::hash<bulrushlift::name_id<Tag>> {
  std::size_t operator()(const bulrushlift::name_id<Tag>& id) const noexcept {
    return std::hash<std::string>{}(id.str());
  }
};
