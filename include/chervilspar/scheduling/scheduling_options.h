#pragma once

#include "chervilspar/base/time.h"

namespace chervilspar::scheduling {

/// In which order waiting requests start. `kFifo` is the plain baseline.
enum class QueueOrder { kFairByTeam, kFifo };

/// What a start is charged with. `kDeclared` is the plain baseline: a team that declares a
/// hundredth of its run times gets a hundred times its share.
enum class CostBasis { kMeasured, kDeclared };

/// Whether shares are kept across entries or inside each alone.
enum class ShareScope { kFleet, kEntry };

/// Whether requests that are expected to run long have a queue of their own in each team.
enum class LongLane { kOn, kOff };

/// Whether running tasks may be stopped for urgent ones.
enum class Preemption { kOn, kOff };

struct SchedulingOptions {
  QueueOrder order = QueueOrder::kFairByTeam;
  CostBasis cost = CostBasis::kMeasured;
  ShareScope scope = ShareScope::kFleet;
  LongLane long_lane = LongLane::kOn;
  Preemption preemption = Preemption::kOn;
  /// Urgent requests waiting longer than this have slots cleared for them. A slot that frees
  /// itself meanwhile costs no one any work; the rest of the 2.2 s is for the report to peers
  /// (250 ms), the checkpoint and the stop.
  Duration preempt_after = std::chrono::milliseconds(200);
  /// From asking for a checkpoint to stopping the task.
  Duration checkpoint_timeout = std::chrono::milliseconds(300);
  /// Part of the slots that urgent work may hold before it competes like normal work, so that
  /// marking everything urgent starves no one.
  double urgent_fraction = 0.5;

  friend bool operator==(const SchedulingOptions&, const SchedulingOptions&) = default;
};

}  // namespace chervilspar::scheduling
