#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

/// @file
/// Binary encoding of the fields of signed texts: integers of variable length and short
/// names.

namespace bulrushlift::internal {

/// Appends fields to a byte string.
class byte_writer {
 public:
  /// Appends an unsigned LEB128 integer: seven bits per byte, lowest first.
  void varint(std::uint64_t value) {
    while (value >= 0x80) {
      bytes_.push_back(static_cast<char>(value | 0x80));
      value >>= 7;
    }
    bytes_.push_back(static_cast<char>(value));
  }
  /// Appends the length of `text` and its bytes.
  void name(std::string_view text) {
    varint(text.size());
    bytes_.append(text);
  }
  [[nodiscard]] const std::string& bytes() const noexcept { return bytes_; }

 private:
  std::string bytes_;
};

/// Reads the fields that `byte_writer` wrote. After the first malformed field, `is_valid`
/// is false and all further fields read as zero or empty.
class byte_reader {
 public:
  explicit byte_reader(std::string_view bytes) : rest_(bytes) {}

  /// @return the next integer, or 0 if it is truncated, longer than 64 bits or not in its
  ///   shortest form.
  std::uint64_t varint() {
    std::uint64_t value = 0;
    for (unsigned shift = 0; shift < 64; shift += 7) {
      if (rest_.empty()) return fail();
      const auto byte = static_cast<std::uint8_t>(rest_.front());
      rest_.remove_prefix(1);
      // The tenth byte holds one bit only. A zero byte at the end is not the shortest form.
      if (shift == 63 && byte > 1) return fail();
      if (shift > 0 && byte == 0) return fail();
      value |= static_cast<std::uint64_t>(byte & 0x7f) << shift;
      if (byte < 0x80) return value;
    }
    return fail();
  }
  /// @return the next name, or an empty one if it is truncated or longer than `max_size` bytes.
  std::string name(std::size_t max_size) {
    const auto size = varint();
    if (size > max_size || size > rest_.size()) {
      fail();
      return {};
    }
    std::string text{rest_.substr(0, size)};
    rest_.remove_prefix(size);
    return text;
  }
  [[nodiscard]] bool is_valid() const noexcept { return valid_; }
  /// @return whether all bytes were read and no field was malformed.
  [[nodiscard]] bool is_complete() const noexcept { return valid_ && rest_.empty(); }

 private:
  std::uint64_t fail() {
    valid_ = false;
    rest_ = {};
    return 0;
  }

  std::string_view rest_;
  bool valid_ = true;
};

}  // namespace bulrushlift::internal
