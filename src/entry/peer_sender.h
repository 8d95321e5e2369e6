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
  /// Whether the entry was heard lately. When not, an answer to a message is not to be expected.
  virtual bool IsHeard(const EntryId& entry) = 0;
};

}  // namespace chervilspar::entry
