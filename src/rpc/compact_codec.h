#pragma once

#include <algorithm>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

#include "chervilspar/base/result.h"

namespace chervilspar::rpc {

/// Longest string or list of a message; the transport bounds the frame further.
constexpr std::int32_t kMaxElementSize = 32 << 20;

/// The bytes of a generated struct in Thrift's compact protocol.
template <typename Wire>
std::string EncodeCompact(const Wire& wire) {
  using apache::thrift::transport::TMemoryBuffer;
  const auto buffer = std::make_shared<TMemoryBuffer>();
  apache::thrift::protocol::TCompactProtocolT<TMemoryBuffer> protocol(buffer);
  wire.write(&protocol);
  return buffer->getBufferAsString();
}

/// `what` names the message in the error.
template <typename Wire>
Result<Wire> DecodeCompact(std::string_view bytes, const char* what) {
  using apache::thrift::transport::TMemoryBuffer;
  // The buffer is only read: OBSERVE takes no copy and never writes.
  auto* data = reinterpret_cast<std::uint8_t*>(const_cast<char*>(bytes.data()));
  const auto buffer = std::make_shared<TMemoryBuffer>(
      data, static_cast<std::uint32_t>(bytes.size()), TMemoryBuffer::OBSERVE);
  // A garbage length makes the generated code reserve memory before it reads. No string or list
  // can be longer than the frame that holds it, so that bound keeps the reservation small.
  const std::int32_t limit = std::min(kMaxElementSize, static_cast<std::int32_t>(bytes.size()));
  apache::thrift::protocol::TCompactProtocolT<TMemoryBuffer> protocol(buffer, limit, limit);
  Wire wire;
  try {
    wire.read(&protocol);
  } catch (const std::exception& error) {
    return Reason{ErrorCode::kMalformed, what, error.what()};
  }
  return wire;
}

}  // namespace chervilspar::rpc
