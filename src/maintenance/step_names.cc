#include "chervilspar/base/assert.h"
#include "chervilspar/maintenance/step_executor.h"

namespace chervilspar::maintenance {

const char* ToString(StepRecord record) {
  switch (record) {
    case StepRecord::kClaim:
      return "claim";
    case StepRecord::kTakeOver:
      return "take-over";
    case StepRecord::kActing:
      return "acting";
    case StepRecord::kDone:
      return "done";
    case StepRecord::kWithdrawn:
      return "withdrawn";
  }
  CHERVILSPAR_ASSERT(false);
}

const char* ToString(ExecutorStage stage) {
  switch (stage) {
    case ExecutorStage::kClaiming:
      return "claiming";
    case ExecutorStage::kTakingOver:
      return "taking-over";
    case ExecutorStage::kDraining:
      return "draining";
    case ExecutorStage::kChecking:
      return "checking";
    case ExecutorStage::kEnteringAct:
      return "entering-act";
    case ExecutorStage::kInspecting:
      return "inspecting";
    case ExecutorStage::kConfirmingDrain:
      return "confirming-drain";
    case ExecutorStage::kRebooting:
      return "rebooting";
    case ExecutorStage::kAwaitingBoot:
      return "awaiting-boot";
    case ExecutorStage::kUndraining:
      return "undraining";
    case ExecutorStage::kRecordingDone:
      return "recording-done";
    case ExecutorStage::kUndoing:
      return "undoing";
    case ExecutorStage::kRecordingWithdrawn:
      return "recording-withdrawn";
    case ExecutorStage::kFinished:
      return "finished";
  }
  CHERVILSPAR_ASSERT(false);
}

}  // namespace chervilspar::maintenance
