#pragma once

#include <peer_types.h>

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include "base/error.h"

/// @file
/// Encoding of peer messages: Thrift compact protocol, and on TCP a length of
/// four bytes, big endian, before each message.
///
///     frame_reader reader{max_frame_bytes};
///     auto messages = reader.feed(bytes);   // all messages that are complete

namespace bulrushlift {

/// Largest message that a peer may send; a document of 1 MB fits.
inline constexpr std::size_t max_frame_bytes = 2U << 20U;

/// @return the message without a length, as sent in a datagram.
[[nodiscard]] std::string encode_envelope(const peer::envelope_t& message);

/// @return the message, or `protocol_error` if the bytes are not exactly one message.
[[nodiscard]] result<peer::envelope_t> decode_envelope(std::string_view bytes);

/// @return the message with its length, as sent on a stream.
[[nodiscard]] std::string encode_frame(const peer::envelope_t& message);

/// Splits a stream of bytes into messages.
class frame_reader {
 public:
  /// @param max_bytes a longer frame is an error before any of it is stored.
  explicit frame_reader(std::size_t max_bytes = max_frame_bytes) : max_bytes_(max_bytes) {}

  /// @param bytes what arrived; kept as far as it is an incomplete message.
  /// @return the messages completed by `bytes`, in order, or `protocol_error`,
  ///   after which the stream must be closed.
  [[nodiscard]] result<std::vector<peer::envelope_t>> feed(std::string_view bytes);

 private:
  std::size_t max_bytes_;
  std::string pending_;
};

}  // namespace bulrushlift
