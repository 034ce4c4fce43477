#pragma once

#include <peer_types.h>

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include "base/error.h"

/// @file
/// Encoding of peer messages in the Thrift compact protocol. On TCP, each message is
/// preceded by its length in four bytes, big endian; the two form a frame.
///
///     frame_reader reader{max_frame_bytes};
///     auto messages = reader.feed(bytes);  // all messages that are now complete

namespace bulrushlift {

/// Size of the largest message that a peer may send, without the length; large enough
/// for a document of 1 MB, and for a statement of 1 MiB with session values of 2 MiB.
inline constexpr std::size_t max_frame_bytes = 4U << 20U;

/// @return the encoded message without a length, as sent in a datagram.
[[nodiscard]] std::string encode_envelope(const peer::envelope_t& message);

/// @return the message, or `protocol_error` if the bytes are not exactly one message.
[[nodiscard]] result<peer::envelope_t> decode_envelope(std::string_view bytes);

/// @return the encoded message preceded by its length, as sent on a stream.
[[nodiscard]] std::string encode_frame(const peer::envelope_t& message);

/// Splits a stream of bytes into messages.
class frame_reader {
 public:
  /// @param max_bytes largest message; a longer one is an error as soon as its length is
  ///   known.
  explicit frame_reader(std::size_t max_bytes = max_frame_bytes) : max_bytes_(max_bytes) {}

  /// Reads the next bytes of the stream. An incomplete message at their end is buffered.
  /// @return the messages completed by `bytes`, in order, or `protocol_error` if one is too
  ///   long or malformed. The stream must be closed after an error.
  [[nodiscard]] result<std::vector<peer::envelope_t>> feed(std::string_view bytes);

  /// @return the bytes of an incomplete message that are buffered.
  [[nodiscard]] std::size_t buffered_bytes() const noexcept { return pending_.size(); }

 private:
  std::size_t max_bytes_;
  std::string pending_;
};

}  // namespace bulrushlift
