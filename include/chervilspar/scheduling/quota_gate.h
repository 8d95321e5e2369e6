#pragma once

#include "chervilspar/base/ids.h"
#include "chervilspar/base/time.h"

namespace chervilspar::scheduling {

enum class GateAnswer {
  kMayStart,
  /// The team uses all units of its limit that this entry holds. The scheduler skips the team and
  /// checks again when a task of the team ends, on `OnLimitFreed`, or after a short delay.
  kAtLimit,
};

/// Decides, immediately before a task starts, whether the limit of its team permits one more.
class QuotaGate {
 public:
  virtual ~QuotaGate() = default;
  /// Has no side effect: the caller that starts the task takes the unit.
  virtual GateAnswer MayStart(const TeamId& team, TimePoint now) = 0;
};

/// Permits every start. Used in tests and for services without limits.
class OpenGate final : public QuotaGate {
 public:
  GateAnswer MayStart(const TeamId&, TimePoint) override { return GateAnswer::kMayStart; }
};

}  // namespace chervilspar::scheduling
