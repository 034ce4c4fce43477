#pragma once

#include <string>
#include <string_view>

/// @file
/// Splits a byte stream into lines that are terminated by CR LF or LF.

namespace bulrushlift::platform {

/// Keeps an incomplete line until the rest of it arrives.
class line_reader {
 public:
  /// Calls `on_line` for each complete line.
  /// @param bytes the next bytes of the stream.
  /// @param limit maximum length of a line in bytes.
  /// @param on_line gets the line without its line terminator. If it returns false, the
  ///   remaining bytes are discarded.
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
      std::string complete_line;
      if (!partial_.empty()) {
        complete_line = std::move(partial_);
        partial_.clear();
        complete_line += line;
        line = complete_line;
      }
      if (line.size() > limit) return false;
      if (line.ends_with('\r')) line.remove_suffix(1);
      if (!on_line(line)) return true;
    }
    return true;
  }

  /// @return whether an incomplete line has been read.
  [[nodiscard]] bool is_inside_line() const noexcept { return !partial_.empty(); }

 private:
  std::string partial_;
};

}  // namespace bulrushlift::platform
