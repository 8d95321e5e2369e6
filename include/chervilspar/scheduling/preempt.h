#pragma once

#include "chervilspar/admission/ticket.h"
#include "chervilspar/base/ids.h"

namespace chervilspar::scheduling {

/// What to do with a running task so that its slot becomes free, mildest first.
enum class PreemptKind { kCheckpoint, kThrottle, kStop };

/// Asks the entry to act on a running task; only tasks that may safely run again are named.
struct Preempt {
  admission::TicketId ticket;
  VmId endpoint;
  PreemptKind kind = PreemptKind::kCheckpoint;

  friend bool operator==(const Preempt&, const Preempt&) = default;
};

}  // namespace chervilspar::scheduling
