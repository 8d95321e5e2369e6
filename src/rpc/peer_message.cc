#include "chervilspar/rpc/peer_message.h"

#include <algorithm>
#include <memory>
#include <utility>

#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

#include "rpc/wire_convert.h"

namespace chervilspar::rpc {

namespace {

using apache::thrift::protocol::TCompactProtocolT;
using apache::thrift::transport::TMemoryBuffer;

/// Longest string or list of a message; the transport bounds the frame further.
constexpr std::int32_t kMaxElementSize = 32 << 20;

}  // namespace

std::string Encode(const PeerMessage& message) {
  const auto buffer = std::make_shared<TMemoryBuffer>();
  TCompactProtocolT<TMemoryBuffer> protocol(buffer);
  ToWire(message).write(&protocol);
  return buffer->getBufferAsString();
}

Result<PeerMessage> Decode(std::string_view bytes) {
  // The buffer is only read: OBSERVE takes no copy and never writes.
  auto* data = reinterpret_cast<std::uint8_t*>(const_cast<char*>(bytes.data()));
  const auto buffer = std::make_shared<TMemoryBuffer>(
      data, static_cast<std::uint32_t>(bytes.size()), TMemoryBuffer::OBSERVE);
  // A garbage length makes the generated code reserve memory before it reads. No string or list
  // can be longer than the frame that holds it, so that bound keeps the reservation small.
  const std::int32_t limit = std::min(kMaxElementSize, static_cast<std::int32_t>(bytes.size()));
  TCompactProtocolT<TMemoryBuffer> protocol(buffer, limit, limit);
  gen::WireMessage wire;
  try {
    wire.read(&protocol);
  } catch (const std::exception& error) {
    return Reason{ErrorCode::kMalformed, "peer-message", error.what()};
  }
  return FromWire(wire);
}

}  // namespace chervilspar::rpc
