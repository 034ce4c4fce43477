#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

/// @file
/// Fields of the sealed texts: numbers of variable length and short names.

namespace bulrushlift::internal {

/// Appends fields to a byte string.
class byte_writer {
 public:
  /// Seven bits a byte, lowest first.
  void number(std::uint64_t value) {
    while (value >= 0x80) {
      bytes_.push_back(static_cast<char>(value | 0x80));
      value >>= 7;
    }
    bytes_.push_back(static_cast<char>(value));
  }
  void name(std::string_view text) {
    number(text.size());
    bytes_.append(text);
  }
  [[nodiscard]] const std::string& bytes() const noexcept { return bytes_; }

 private:
  std::string bytes_;
};

/// Reads what `byte_writer` wrote. After the first malformed field all further
/// ones read as zero or empty, and `is_valid` is false.
class byte_reader {
 public:
  explicit byte_reader(std::string_view bytes) : rest_(bytes) {}

  std::uint64_t number() {
    std::uint64_t value = 0;
    for (unsigned shift = 0; shift < 64; shift += 7) {
      if (rest_.empty()) return fail();
      const auto byte = static_cast<std::uint8_t>(rest_.front());
      rest_.remove_prefix(1);
      // The tenth byte has room for one bit only, and a trailing zero byte is not canonical.
      if (shift == 63 && byte > 1) return fail();
      if (shift > 0 && byte == 0) return fail();
      value |= static_cast<std::uint64_t>(byte & 0x7f) << shift;
      if (byte < 0x80) return value;
    }
    return fail();
  }
  std::string name(std::size_t maximum_size) {
    const auto size = number();
    if (size > maximum_size || size > rest_.size()) {
      fail();
      return {};
    }
    std::string text{rest_.substr(0, size)};
    rest_.remove_prefix(size);
    return text;
  }
  [[nodiscard]] bool is_valid() const noexcept { return valid_; }
  /// Whether all bytes were read without a malformed field.
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
