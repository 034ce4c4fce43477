#include "standins/session_lines.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>

namespace bulrushlift {
namespace {

constexpr std::array<std::string_view, 6> no_effect_codes{"BUSY",     "ABORTED", "LAGGING",
                                                          "READONLY", "TOOMANY", "MISROUTED"};

}  // namespace

std::string session_line(std::string_view database, std::string_view key) {
  return fmt::format("START {} {}\r\n", database, key);
}

std::string statement_line(std::string_view id, std::string_view text) {
  return fmt::format("QUERY {} {}\r\n", id, text);
}

bool guarantees_no_effect(std::string_view error_code) {
  return std::find(no_effect_codes.begin(), no_effect_codes.end(), error_code) != no_effect_codes.end();
}

}  // namespace bulrushlift
