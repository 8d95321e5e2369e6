#pragma once

#include "chervilspar/admission/ticket.h"
#include "chervilspar/base/ids.h"

namespace chervilspar::scheduling {

/// The action that frees the slot of a running task, least disruptive first.
enum class PreemptKind { kCheckpoint, kThrottle, kStop };

/// A request to the entry to preempt a running task. Only tasks that may safely run again are
/// preempted.
struct Preempt {
  admission::TicketId ticket;
  VmId endpoint;
  PreemptKind kind = PreemptKind::kCheckpoint;

  friend bool operator==(const Preempt&, const Preempt&) = default;
};

}  // namespace chervilspar::scheduling
