#pragma once

#include "chervilspar/base/ids.h"
#include "chervilspar/rpc/peer_message.h"

namespace chervilspar::entry {

/// Sends a message to another entry; it may be lost. Safe to call from any thread, also under a
/// lock of the caller: it only queues.
class PeerSender {
 public:
  virtual ~PeerSender() = default;
  virtual void SendTo(const EntryId& entry, rpc::PeerBody body) = 0;
};

}  // namespace chervilspar::entry
