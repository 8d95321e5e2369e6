#pragma once

#include "chervilspar/base/result.h"
#include "chervilspar/rpc/peer_message.h"

#include "rpc/gen/peer_types.h"

/// Conversions between the modules' own types and the generated ones.
namespace chervilspar::rpc {

gen::WireMessage ToWire(const PeerMessage& message);

/// Checks what the generated code can't: ranges of enumerations and counts.
Result<PeerMessage> FromWire(const gen::WireMessage& wire);

}  // namespace chervilspar::rpc
