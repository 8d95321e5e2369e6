#include "chervilspar/rpc/peer_message.h"

#include "rpc/compact_codec.h"
#include "rpc/wire_convert.h"

namespace chervilspar::rpc {

std::string Encode(const PeerMessage& message) { return EncodeCompact(ToWire(message)); }

Result<PeerMessage> Decode(std::string_view bytes) {
  const Result<gen::WireMessage> wire = DecodeCompact<gen::WireMessage>(bytes, "peer-message");
  if (!wire) {
    return wire.LastReason();
  }
  return FromWire(*wire);
}

}  // namespace chervilspar::rpc
