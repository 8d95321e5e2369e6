#pragma once

#include <cstdint>

#include "chervilspar/admission/ticket.h"
#include "chervilspar/base/ids.h"

namespace chervilspar::load_balancing {

/// An endpoint of a service's pools that may get new work. Endpoints that are leaving, draining or
/// not fresh enough in the entry's view are not in the list given to the balancer.
struct Endpoint {
  VmId id;
  ZoneId zone;
  std::uint32_t slots = 8;
  /// What the VM offers to one task.
  admission::Requirement shape;

  friend bool operator==(const Endpoint&, const Endpoint&) = default;
};

/// How one try at an endpoint ended.
enum class Outcome {
  /// The whole answer is here.
  kCompleted,
  /// The endpoint answered that the task ran and failed (a 5xx other than a not-run answer).
  kFailed,
  /// No whole answer: connection lost after the first byte, task lease or deadline passed.
  kLost,
  /// True not-run answers of the endpoint.
  kFull,
  kDraining,
  kLate,
  kUnfit,
  /// No connection; no byte has left.
  kUnreachable,
  /// The caller cancelled, or the task was preempted and stopped.
  kStopped,
};

}  // namespace chervilspar::load_balancing
