#pragma once

#include <string>
#include <string_view>

/// @file
/// Splits a byte stream into lines that end with CR LF or LF.

namespace bulrushlift::platform {

class line_reader {
 public:
  /// Calls `on_line` for each whole line without its end. The callback returns false to stop.
  /// @param limit longest line in bytes.
  /// @return false if a line exceeds the limit.
  template <class Callback>
  [[nodiscard]] bool feed(std::string_view bytes, std::size_t limit, Callback on_line) {
    while (!bytes.empty()) {
      const auto end = bytes.find('\n');
      if (end == std::string_view::npos) {
        partial_ += bytes;
        return partial_.size() <= limit;
      }
      auto line = bytes.substr(0, end);
      bytes.remove_prefix(end + 1);
      std::string whole;
      if (!partial_.empty()) {
        whole = std::move(partial_);
        partial_.clear();
        whole += line;
        line = whole;
      }
      if (line.size() > limit) return false;
      if (line.ends_with('\r')) line.remove_suffix(1);
      if (!on_line(line)) return true;
    }
    return true;
  }

  [[nodiscard]] bool is_inside_line() const noexcept { return !partial_.empty(); }

 private:
  std::string partial_;
};

}  // namespace bulrushlift::platform
