#pragma once

#include "chervilspar/base/ids.h"
#include "chervilspar/base/time.h"

namespace chervilspar::scheduling {

enum class GateAnswer {
  kMayStart,
  /// The team holds all the units of its limit that this entry has. The scheduler skips it and
  /// asks again when a task of the team ends, on `OnLimitFreed`, or after a short time.
  kAtLimit,
};

/// Asked right before a task is started: may the team run one more?
class QuotaGate {
 public:
  virtual ~QuotaGate() = default;
  /// Has no side effect; the unit is taken by whoever starts the task.
  virtual GateAnswer MayStart(const TeamId& team, TimePoint now) = 0;
};

/// Lets everything through: for tests and for services without limits.
class OpenGate final : public QuotaGate {
 public:
  GateAnswer MayStart(const TeamId&, TimePoint) override { return GateAnswer::kMayStart; }
};

}  // namespace chervilspar::scheduling
