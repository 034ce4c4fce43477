#pragma once

#include <string>
#include <string_view>
#include <utility>

/// @file
/// Splits a byte stream into lines that are terminated by CR LF. A CR or an LF alone is part of its line.

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
      std::string complete_line;
      std::string_view line;
      // A terminator may be divided between two reads.
      if (partial_.ends_with('\r') && bytes.front() == '\n') {
        complete_line = std::exchange(partial_, {});
        complete_line.pop_back();
        line = complete_line;
        bytes.remove_prefix(1);
      } else {
        const auto end = bytes.find("\r\n");
        if (end == std::string_view::npos) {
          partial_ += bytes;
          if (is_discarding_) keep_start();
          return partial_.size() <= limit;
        }
        line = bytes.substr(0, end);
        bytes.remove_prefix(end + 2);
        if (!partial_.empty()) {
          complete_line = std::exchange(partial_, {});
          complete_line += is_discarding_ ? line.substr(0, room_of_start(complete_line)) : line;
          line = complete_line;
        }
      }
      is_discarding_ = false;
      if (line.size() > limit) return false;
      if (!on_line(line)) return true;
    }
    return true;
  }

  /// @return whether an incomplete line has been read.
  [[nodiscard]] bool is_inside_line() const noexcept { return !partial_.empty(); }
  /// @return the bytes of the incomplete line that are buffered.
  [[nodiscard]] std::size_t buffered_bytes() const noexcept { return partial_.size(); }

  /// Drops the incomplete line.
  void clear() { std::string{}.swap(partial_); }
  /// Keeps only the start of the incomplete line. What follows of it is not buffered, and `on_line` gets that
  /// start. A line that is no longer than it stays whole.
  void discard_rest_of_line() {
    if (partial_.empty()) return;
    is_discarding_ = true;
    keep_start();
  }

 private:
  void keep_start() {
    if (partial_.size() <= max_start_bytes) return;
    // The terminator may be divided between two reads.
    const bool may_end = partial_.ends_with('\r');
    partial_ = partial_.substr(0, max_start_bytes);
    while (partial_.ends_with('\r')) partial_.pop_back();
    if (may_end) partial_ += '\r';
  }

  [[nodiscard]] static std::size_t room_of_start(const std::string& start) noexcept {
    return start.size() < max_start_bytes ? max_start_bytes - start.size() : 0;
  }

  /// The last line of an answer, with its state and position, is shorter.
  static constexpr std::size_t max_start_bytes = 64;

  std::string partial_;
  bool is_discarding_ = false;
};

}  // namespace bulrushlift::platform
