#pragma once

#include "chervilspar/base/time.h"

namespace chervilspar::scheduling {

/// The order in which waiting requests start. `kFifo` is the baseline for comparison.
enum class QueueOrder { kFairByTeam, kFifo };

/// The run time that a start is charged with. `kDeclared` is the baseline for comparison: a team
/// that declares a hundredth of its run times gets a hundred times its share.
enum class CostBasis { kMeasured, kDeclared };

/// Whether shares apply to the whole fleet or within each entry.
enum class ShareScope { kFleet, kEntry };

/// Whether requests with a long expected run time have a separate queue in each team.
enum class LongLane { kOn, kOff };

/// Whether running tasks may be preempted for urgent ones.
enum class Preemption { kOn, kOff };

struct SchedulingOptions {
  QueueOrder order = QueueOrder::kFairByTeam;
  CostBasis cost = CostBasis::kMeasured;
  ShareScope scope = ShareScope::kFleet;
  LongLane long_lane = LongLane::kOn;
  Preemption preemption = Preemption::kOn;
  /// Wait of an urgent request after which tasks are preempted for it. A slot that becomes free
  /// before then costs no work. The rest of the 2.2 s limit is for the report to peers (250 ms),
  /// the checkpoint and the stop.
  Duration preempt_after = std::chrono::milliseconds(200);
  /// Time from requesting a checkpoint to stopping the task.
  Duration checkpoint_timeout = std::chrono::milliseconds(300);
  /// Fraction of the slots that urgent work may hold before it competes like normal work. It keeps
  /// a team that marks everything as urgent from starving the others.
  double urgent_fraction = 0.5;

  friend bool operator==(const SchedulingOptions&, const SchedulingOptions&) = default;
};

}  // namespace chervilspar::scheduling
