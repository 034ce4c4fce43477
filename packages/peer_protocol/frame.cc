#include "peer_protocol/frame.h"

#include <fmt/format.h>
#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

#include <cstdint>
#include <memory>

namespace bulrushlift {
namespace {

using apache::thrift::protocol::TCompactProtocolT;
using apache::thrift::transport::TMemoryBuffer;

constexpr std::size_t length_bytes = 4;

std::uint32_t read_length(std::string_view bytes) {
  std::uint32_t length = 0;
  for (std::size_t i = 0; i < length_bytes; ++i) {
    length = (length << 8U) | static_cast<unsigned char>(bytes[i]);
  }
  return length;
}

}  // namespace

std::string encode_envelope(const peer::envelope_t& message) {
  auto buffer = std::make_shared<TMemoryBuffer>();
  TCompactProtocolT<TMemoryBuffer> protocol{buffer};
  message.write(&protocol);
  return buffer->getBufferAsString();
}

result<peer::envelope_t> decode_envelope(std::string_view bytes) {
  // With OBSERVE, the buffer neither owns nor writes the bytes, so the const_cast is safe.
  auto* data = reinterpret_cast<std::uint8_t*>(const_cast<char*>(bytes.data()));
  auto buffer =
      std::make_shared<TMemoryBuffer>(data, static_cast<std::uint32_t>(bytes.size()), TMemoryBuffer::OBSERVE);
  const auto limit = static_cast<std::int32_t>(max_frame_bytes);
  TCompactProtocolT<TMemoryBuffer> protocol{buffer, limit, limit};
  peer::envelope_t message;
  try {
    message.read(&protocol);
  } catch (const std::exception& failure) {
    return make_error(error_kind::protocol_error, fmt::format("malformed peer message: {}", failure.what()));
  }
  if (buffer->available_read() != 0) {
    return make_error(error_kind::protocol_error,
                      fmt::format("{} bytes after the end of a peer message", buffer->available_read()));
  }
  return message;
}

std::string encode_frame(const peer::envelope_t& message) {
  const auto body = encode_envelope(message);
  const auto length = static_cast<std::uint32_t>(body.size());
  std::string frame;
  frame.reserve(length_bytes + body.size());
  for (unsigned shift = 32; shift > 0; shift -= 8) {
    frame.push_back(static_cast<char>((length >> (shift - 8U)) & 0xffU));
  }
  frame += body;
  return frame;
}

result<std::vector<peer::envelope_t>> frame_reader::feed(std::string_view bytes) {
  pending_ += bytes;
  std::vector<peer::envelope_t> messages;
  std::string_view rest = pending_;
  while (rest.size() >= length_bytes) {
    const auto length = read_length(rest);
    if (length > max_bytes_) {
      return make_error(error_kind::protocol_error,
                        fmt::format("peer frame of {} bytes exceeds {}", length, max_bytes_));
    }
    if (rest.size() < length_bytes + length) break;
    auto message = decode_envelope(rest.substr(length_bytes, length));
    if (!message) return tl::unexpected<error>(message.error());
    messages.push_back(std::move(*message));
    rest.remove_prefix(length_bytes + length);
  }
  pending_.erase(0, pending_.size() - rest.size());
  return messages;
}

}  // namespace bulrushlift
