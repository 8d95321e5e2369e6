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

/// The records of a step's life. The driver turns them into records of the log.
enum class StepRecord {
  /// Claims the VM for the step.
  kClaim,
  /// Names a new executor for a step whose executor is gone.
  kTakeOver,
  /// The irreversible act may begin.
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
  /// The VM did not come back in the time that the rules give a reboot.
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

/// The step as the folded state has it now; none once it has ended. Feed it after each batch of
/// folded records, before the `RecordReadBack` of that batch: it also covers records that were
/// skipped by taking a snapshot.
struct FoldedStep {
  std::optional<config_log::Step> step;

  friend bool operator==(const FoldedStep&, const FoldedStep&) = default;
};

/// The endpoint answered a drain with the number of tasks that still run.
struct DrainAnswer {
  std::uint32_t running = 0;

  friend bool operator==(const DrainAnswer&, const DrainAnswer&) = default;
};

/// The endpoint takes tasks again.
struct UndrainAnswer {
  friend bool operator==(const UndrainAnswer&, const UndrainAnswer&) = default;
};

/// The answer of `CheckBeforeActing`.
struct FinalCheckAnswer {
  ActVerdict verdict = ActVerdict::kWait;

  friend bool operator==(const FinalCheckAnswer&, const FinalCheckAnswer&) = default;
};

/// The platform took the reboot, now or earlier for the same step id.
struct RebootAnswer {
  friend bool operator==(const RebootAnswer&, const RebootAnswer&) = default;
};

enum class PlatformVmState { kLive, kLeaving, kRebooting, kFailed };

/// The platform's own word on the VM.
struct DescribeAnswer {
  PlatformVmState state = PlatformVmState::kLive;
  std::uint64_t boot = 0;
  StepId last_step;

  friend bool operator==(const DescribeAnswer&, const DescribeAnswer&) = default;
};

/// The planner, or an operator, wants the step undone.
struct WithdrawalRequested {
  friend bool operator==(const WithdrawalRequested&, const WithdrawalRequested&) = default;
};

/// Time passes; repeats what was not answered. Once a second is enough.
struct Tick {
  friend bool operator==(const Tick&, const Tick&) = default;
};

using StepInput =
    std::variant<RecordReadBack, FoldedStep, DrainAnswer, UndrainAnswer, FinalCheckAnswer,
                 RebootAnswer, DescribeAnswer, WithdrawalRequested, Tick>;

// Actions. Each may be repeated and must do no harm then. The step is in `StepExecutor::Current`.

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
/// Take fresh observations, call `CheckBeforeActing`, and feed the answer.
struct RequestFinalCheck {
  friend bool operator==(const RequestFinalCheck&, const RequestFinalCheck&) = default;
};
/// Reboot by the platform, with the step's id.
struct RebootVm {
  friend bool operator==(const RebootVm&, const RebootVm&) = default;
};
struct DescribeVm {
  friend bool operator==(const DescribeVm&, const DescribeVm&) = default;
};

using StepOutput = std::variant<AppendRecord, DrainEndpoint, UndrainEndpoint, RequestFinalCheck,
                                RebootVm, DescribeVm>;

/// Where an executor stands with its step.
enum class ExecutorStage {
  kClaiming,
  kTakingOver,
  kDraining,
  kChecking,
  kEnteringAct,
  /// Asks the platform how far an act has come that another executor began.
  kInspecting,
  /// Drains once more just before the reboot or hand-over.
  kConfirmingDrain,
  kRebooting,
  kAwaitingBoot,
  kUndraining,
  kRecordingDone,
  kUndoing,
  kRecordingWithdrawn,
  /// Nothing is left to do; drop the executor.
  kFinished,
};
const char* ToString(ExecutorStage stage);

enum class DrainContact { kSilent, kAnswered };

/// Carries out one step. Has no clock, network or thread: inputs with the time in, actions out.
///
/// What can go wrong, and why this order prevents it:
/// - The claim's append took effect although its answer was lost: nothing starts until the claim is
///   read back as accepted, and the same record is appended again (deduplicated by its id). An
///   entry that is cut off reads nothing back and so does nothing.
/// - A task is cut by the reboot: the endpoint must answer a drain with zero running tasks twice,
///   the second time after "acting" was read back; a drain that takes too long is withdrawn.
/// - The executor dies at any point: another takes over by a record with the old executor as its
///   precondition and starts again from the step's folded phase; drain and undrain may be repeated,
///   and the platform reboots once for each step id.
/// - The executor is paused or cut off for longer than a timeout: silence counts only after it has
///   asked in vain, and a VM counts as failed only by an answer of the platform.
/// - The executor was paused while another took over: its records are rejected by the fold, its
///   reboot is a repetition, and it stops at the first rejection.
class StepExecutor {
 public:
  /// Starts a new step of a plan by claiming it.
  static StepExecutor Claim(config_log::Step step, const inventory::MaintenanceRules& rules,
                            TimePoint now);
  /// Takes over a folded step whose executor is gone. `step.executor` is the new executor.
  static StepExecutor TakeOver(config_log::Step step, const inventory::MaintenanceRules& rules,
                               TimePoint now);
  /// Goes on with a folded step that names this entry as its executor, after a restart.
  static StepExecutor Resume(config_log::Step step, const inventory::MaintenanceRules& rules,
                             TimePoint now);

  /// Feeds one input and returns what to do next, in order.
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
  /// Begins the work of the step's folded phase.
  Outputs EnterPhase(TimePoint now);
  /// Goes on after the endpoint is known to be empty for the second time.
  Outputs EnterIrreversibleAct(TimePoint now);
  Outputs Enter(ExecutorStage next, TimePoint now);
  /// Leaves a stage that has lasted too long, if it may be left.
  Outputs OnStageTimeout(TimePoint now);
  Outputs RecordFailure(TimePoint now);
  bool IsSilentFor(Duration timeout, TimePoint now) const;
  /// What the present stage asks for, also when repeated by a tick.
  Outputs StageOutputs() const;

  config_log::Step step;
  ExecutorStage stage;
  Duration drain_timeout;
  Duration reboot_timeout;
  TimePoint stage_since;
  TimePoint drain_since;
  TimePoint last_outputs;
  /// How often the present stage has sent its outputs.
  std::uint32_t attempts = 0;
  ActResult result = ActResult::kSucceeded;
  /// The boot counter before this step's reboot, where it is known.
  std::optional<std::uint64_t> boot_before;
  /// Whether the endpoint answered since the stage began; a VM that died while the act was being
  /// recorded never does.
  DrainContact drain_contact = DrainContact::kSilent;
};

}  // namespace chervilspar::maintenance
