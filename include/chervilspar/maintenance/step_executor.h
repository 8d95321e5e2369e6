#pragma once

#include <cstdint>
#include <optional>
#include <variant>
#include <vector>

#include "chervilspar/base/ids.h"
#include "chervilspar/base/time.h"
#include "chervilspar/config_log/fleet_state.h"
#include "chervilspar/inventory/inventory.h"
#include "chervilspar/maintenance/planner.h"

namespace chervilspar::maintenance {

/// The records that a step writes from its claim to its end. The driver of the executor turns them
/// into records of the log.
enum class StepRecord {
  /// Claims the VM for the step.
  kClaim,
  /// Names a new executor for a step whose executor is unreachable.
  kTakeOver,
  /// Allows the irreversible act to begin.
  kActing,
  /// The step is done and releases its VM.
  kDone,
  /// The step is undone and releases its VM.
  kWithdrawn,
};
const char* ToString(StepRecord record);

/// How a step's act ended.
enum class ActResult {
  kSucceeded,
  /// The VM was not live again within the rules' reboot timeout.
  kVmFailed,
};

// Inputs.

enum class RecordVerdict { kAccepted, kRejected };

/// A record of this step was read back from the log and folded.
struct RecordReadBack {
  StepRecord record = StepRecord::kClaim;
  RecordVerdict verdict = RecordVerdict::kAccepted;

  friend bool operator==(const RecordReadBack&, const RecordReadBack&) = default;
};

/// The step in the current folded state; none once it has ended. The driver passes it after each
/// batch of folded records, before the `RecordReadBack` inputs of that batch. It also covers
/// records that were skipped by installing a snapshot.
struct FoldedStep {
  std::optional<config_log::Step> step;

  friend bool operator==(const FoldedStep&, const FoldedStep&) = default;
};

/// The endpoint answered a drain request with the number of tasks that still run.
struct DrainAnswer {
  std::uint32_t running = 0;

  friend bool operator==(const DrainAnswer&, const DrainAnswer&) = default;
};

/// The endpoint accepts tasks again.
struct UndrainAnswer {
  friend bool operator==(const UndrainAnswer&, const UndrainAnswer&) = default;
};

/// The result of `CheckBeforeActing`.
struct FinalCheckAnswer {
  ActVerdict verdict = ActVerdict::kWait;

  friend bool operator==(const FinalCheckAnswer&, const FinalCheckAnswer&) = default;
};

/// The platform accepted the reboot, now or earlier for the same step id.
struct RebootAnswer {
  friend bool operator==(const RebootAnswer&, const RebootAnswer&) = default;
};

enum class PlatformVmState { kLive, kLeaving, kRebooting, kFailed };

/// The platform's description of the VM.
struct DescribeAnswer {
  PlatformVmState state = PlatformVmState::kLive;
  std::uint64_t boot = 0;
  StepId last_step;

  friend bool operator==(const DescribeAnswer&, const DescribeAnswer&) = default;
};

/// The planner or an operator requests that the step is undone.
struct WithdrawalRequested {
  friend bool operator==(const WithdrawalRequested&, const WithdrawalRequested&) = default;
};

/// Time has passed. Repeats unanswered requests; once a second is enough.
struct Tick {
  friend bool operator==(const Tick&, const Tick&) = default;
};

using StepInput =
    std::variant<RecordReadBack, FoldedStep, DrainAnswer, UndrainAnswer, FinalCheckAnswer,
                 RebootAnswer, DescribeAnswer, WithdrawalRequested, Tick>;

// Actions. Each may be repeated and must be idempotent. `StepExecutor::Current` returns the step.

struct AppendRecord {
  StepRecord record = StepRecord::kClaim;
  /// For `kDone`: how the act ended.
  ActResult result = ActResult::kSucceeded;

  friend bool operator==(const AppendRecord&, const AppendRecord&) = default;
};
struct DrainEndpoint {
  friend bool operator==(const DrainEndpoint&, const DrainEndpoint&) = default;
};
struct UndrainEndpoint {
  friend bool operator==(const UndrainEndpoint&, const UndrainEndpoint&) = default;
};
/// Requests a call of `CheckBeforeActing` with fresh observations, and its result as an input.
struct RequestFinalCheck {
  friend bool operator==(const RequestFinalCheck&, const RequestFinalCheck&) = default;
};
/// Requests a reboot from the platform, with the step's id.
struct RebootVm {
  friend bool operator==(const RebootVm&, const RebootVm&) = default;
};
struct DescribeVm {
  friend bool operator==(const DescribeVm&, const DescribeVm&) = default;
};

using StepOutput = std::variant<AppendRecord, DrainEndpoint, UndrainEndpoint, RequestFinalCheck,
                                RebootVm, DescribeVm>;

/// The stage of a step that an executor is in.
enum class ExecutorStage {
  kClaiming,
  kTakingOver,
  kDraining,
  kChecking,
  kEnteringAct,
  /// Queries the platform for the progress of an act that another executor began.
  kInspecting,
  /// Drains once more just before the reboot, move or retirement.
  kConfirmingDrain,
  kRebooting,
  kAwaitingBoot,
  kUndraining,
  kRecordingDone,
  kUndoing,
  kRecordingWithdrawn,
  /// Nothing is left to do, and the executor may be destroyed.
  kFinished,
};
const char* ToString(ExecutorStage stage);

/// Whether the endpoint has answered in the current stage.
enum class EndpointContact { kNone, kAnswered };

/// Carries out one step. A state machine without clock, network or threads: it takes inputs with
/// their time and returns actions.
///
/// The order of the stages covers these failures:
/// - The claim was appended although the answer was lost. Nothing starts until the claim is read
///   back as accepted, and the same record is appended again (deduplicated by its id). An entry
///   that is cut off from the log reads nothing back and so does nothing.
/// - The reboot would interrupt a task. The endpoint must answer a drain with zero running tasks
///   twice, the second time after "acting" was read back; a drain that takes too long is withdrawn.
/// - The executor crashes. Another takes over with a record that has the old executor as its
///   precondition, and starts again from the step's folded phase. Drain and undrain may be
///   repeated, and the platform reboots once for each step id.
/// - The executor is paused or cut off for longer than a timeout. A missing answer counts only
///   after several unanswered requests, and a VM that still reboots counts as failed only after an
///   answer of the platform.
/// - The executor was paused while another took over. The fold rejects its records, its reboot
///   request is a repetition, and it stops at the first rejection.
class StepExecutor {
 public:
  /// Starts a new step of a plan by claiming it.
  static StepExecutor Claim(config_log::Step step, const inventory::MaintenanceRules& rules,
                            TimePoint now);
  /// Takes over a folded step whose executor is unreachable. `step.executor` is the new executor.
  static StepExecutor TakeOver(config_log::Step step, const inventory::MaintenanceRules& rules,
                               TimePoint now);
  /// Resumes a folded step that names this entry as its executor, after a restart.
  static StepExecutor Resume(config_log::Step step, const inventory::MaintenanceRules& rules,
                             TimePoint now);

  /// Processes one input and returns the next actions, in order.
  std::vector<StepOutput> Handle(const StepInput& input, TimePoint now);

  const config_log::Step& Current() const { return this->step; }
  ExecutorStage Stage() const { return this->stage; }
  bool IsFinished() const { return this->stage == ExecutorStage::kFinished; }

 private:
  using Outputs = std::vector<StepOutput>;

  StepExecutor(config_log::Step step, ExecutorStage stage, const inventory::MaintenanceRules& rules,
               TimePoint now);

  Outputs On(const RecordReadBack& input, TimePoint now);
  Outputs On(const FoldedStep& input, TimePoint now);
  Outputs On(const DrainAnswer& input, TimePoint now);
  Outputs On(const UndrainAnswer& input, TimePoint now);
  Outputs On(const FinalCheckAnswer& input, TimePoint now);
  Outputs On(const RebootAnswer& input, TimePoint now);
  Outputs On(const DescribeAnswer& input, TimePoint now);
  Outputs On(const WithdrawalRequested& input, TimePoint now);
  Outputs On(const Tick& input, TimePoint now);

  Outputs OnAccepted(StepRecord record, TimePoint now);
  Outputs OnRejected(StepRecord record, TimePoint now);
  /// Enters the first stage of the step's folded phase.
  Outputs EnterPhase(TimePoint now);
  /// Enters the stage that follows the second confirmation that the endpoint runs no tasks.
  Outputs EnterIrreversibleAct(TimePoint now);
  Outputs Enter(ExecutorStage next, TimePoint now);
  /// Leaves a stage that has timed out, if the stage allows it.
  Outputs OnStageTimeout(TimePoint now);
  Outputs RecordFailure(TimePoint now);
  bool IsUnansweredFor(Duration timeout, TimePoint now) const;
  /// The actions of the current stage, which a tick repeats.
  Outputs StageOutputs() const;

  config_log::Step step;
  ExecutorStage stage;
  Duration drain_timeout;
  Duration reboot_timeout;
  TimePoint stage_since;
  TimePoint drain_since;
  TimePoint last_outputs;
  /// How often the current stage has returned its actions.
  std::uint32_t attempts = 0;
  ActResult result = ActResult::kSucceeded;
  /// The boot counter before this step's reboot, if known.
  std::optional<std::uint64_t> boot_before;
  /// Whether the endpoint has answered since the stage began. The endpoint of a VM that failed
  /// while the act was being recorded never does.
  EndpointContact endpoint_contact = EndpointContact::kNone;
};

}  // namespace chervilspar::maintenance
