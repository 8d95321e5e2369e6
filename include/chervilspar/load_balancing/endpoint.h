#pragma once

#include <cstdint>

#include "chervilspar/admission/ticket.h"
#include "chervilspar/base/ids.h"

namespace chervilspar::load_balancing {

/// An endpoint of a service's pools that may receive new work. The list given to the balancer
/// leaves out endpoints that are leaving, draining or have a stale state at this entry.
struct Endpoint {
  VmId id;
  ZoneId zone;
  std::uint32_t slots = 8;
  /// Resources that the VM offers to one task.
  admission::Requirement shape;

  friend bool operator==(const Endpoint&, const Endpoint&) = default;
};

/// How one attempt at an endpoint ended.
enum class Outcome {
  /// The complete response was received.
  kCompleted,
  /// The endpoint responded that the task ran and failed (a 5xx other than a not-run response).
  kFailed,
  /// No complete response: the connection was lost after the first byte was sent, or the task lease
  /// or the deadline expired.
  kLost,
  /// The endpoint responded that the task did not run, for the named reason.
  kFull,
  kDraining,
  kLate,
  kUnfit,
  /// No connection was made and no byte was sent.
  kUnreachable,
  /// The caller cancelled, or the task was preempted and stopped.
  kStopped,
};

}  // namespace chervilspar::load_balancing
