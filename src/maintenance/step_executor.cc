#include "chervilspar/maintenance/step_executor.h"

#include <utility>

#include "chervilspar/base/assert.h"

namespace chervilspar::maintenance {

namespace {

using config_log::StepAction;
using config_log::StepPhase;

/// Interval at which calls to the endpoint or platform are repeated. A call is answered within
/// milliseconds, and polling a drain once a second is frequent enough.
constexpr Duration kCallRepeat = std::chrono::seconds(1);

/// Interval at which a record that was not read back is appended again. The log appender retries
/// lost appends itself; this covers those that it abandoned.
constexpr Duration kAppendRepeat = std::chrono::seconds(5);

/// How long a claim or take-over is repeated without being read back. Records are read back within
/// seconds while the log is reachable; an older plan is replaced by a new one.
constexpr Duration kClaimTimeout = std::chrono::minutes(1);

/// Minimum number of attempts before a missing answer counts. Time also passes while this process
/// is paused or cut off, which says nothing about the other side; ten calls take ten seconds.
constexpr std::uint32_t kMinAttempts = 10;

/// The record that a stage waits to read back from the log, if any.
std::optional<StepRecord> AppendedIn(ExecutorStage stage) {
  switch (stage) {
    case ExecutorStage::kClaiming:
      return StepRecord::kClaim;
    case ExecutorStage::kTakingOver:
      return StepRecord::kTakeOver;
    case ExecutorStage::kEnteringAct:
      return StepRecord::kActing;
    case ExecutorStage::kRecordingDone:
      return StepRecord::kDone;
    case ExecutorStage::kRecordingWithdrawn:
      return StepRecord::kWithdrawn;
    default:
      return std::nullopt;
  }
}

}  // namespace

StepExecutor::StepExecutor(config_log::Step step, ExecutorStage stage,
                           const inventory::MaintenanceRules& rules, TimePoint now)
    : step(std::move(step)),
      stage(stage),
      drain_timeout(rules.drain_timeout),
      reboot_timeout(rules.reboot_timeout),
      stage_since(now),
      drain_since(now),
      last_outputs(TimePoint::min()) {}

StepExecutor StepExecutor::Claim(config_log::Step step, const inventory::MaintenanceRules& rules,
                                 TimePoint now) {
  return StepExecutor(std::move(step), ExecutorStage::kClaiming, rules, now);
}

StepExecutor StepExecutor::TakeOver(config_log::Step step, const inventory::MaintenanceRules& rules,
                                    TimePoint now) {
  return StepExecutor(std::move(step), ExecutorStage::kTakingOver, rules, now);
}

StepExecutor StepExecutor::Resume(config_log::Step step, const inventory::MaintenanceRules& rules,
                                  TimePoint now) {
  StepExecutor executor(std::move(step), ExecutorStage::kDraining, rules, now);
  executor.EnterPhase(now);
  executor.last_outputs = TimePoint::min();
  return executor;
}

StepExecutor::Outputs StepExecutor::Handle(const StepInput& input, TimePoint now) {
  if (this->IsFinished()) {
    return {};
  }
  return std::visit([this, now](const auto& typed) { return this->On(typed, now); }, input);
}

StepExecutor::Outputs StepExecutor::On(const RecordReadBack& input, TimePoint now) {
  if (input.verdict == RecordVerdict::kRejected) {
    return this->OnRejected(input.record, now);
  }
  return this->OnAccepted(input.record, now);
}

StepExecutor::Outputs StepExecutor::OnAccepted(StepRecord record, TimePoint now) {
  switch (record) {
    case StepRecord::kClaim:
      return this->stage == ExecutorStage::kClaiming ? this->EnterPhase(now) : Outputs();
    case StepRecord::kTakeOver:
      // The phase may have advanced since the plan was made, so only `FoldedStep` starts the work.
      return {};
    case StepRecord::kActing:
      if (this->stage != ExecutorStage::kEnteringAct) {
        return {};
      }
      this->step.phase = StepPhase::kActing;
      return this->Enter(ExecutorStage::kConfirmingDrain, now);
    case StepRecord::kDone:
    case StepRecord::kWithdrawn:
      return this->Enter(ExecutorStage::kFinished, now);
  }
  CHERVILSPAR_ASSERT(false);
}

StepExecutor::Outputs StepExecutor::OnRejected(StepRecord record, TimePoint now) {
  // A record may be appended twice, and the fold rejects the second copy. Such a rejection is
  // ignored once the step is in a later stage.
  if (AppendedIn(this->stage) != record) {
    return {};
  }
  // The fold rejects "acting" of a step that this executor still owns if the budget no longer
  // allows it. If another executor had taken over, the `FoldedStep` of the same batch would have
  // ended this executor.
  return this->Enter(
      record == StepRecord::kActing ? ExecutorStage::kUndoing : ExecutorStage::kFinished, now);
}

StepExecutor::Outputs StepExecutor::On(const FoldedStep& input, TimePoint now) {
  const bool own = input.step && input.step->executor == this->step.executor;
  if (this->stage == ExecutorStage::kClaiming && !input.step) {
    return {};
  }
  if (this->stage == ExecutorStage::kTakingOver && input.step && !own) {
    return {};
  }
  if (!own) {
    return this->Enter(ExecutorStage::kFinished, now);
  }
  const bool starts =
      this->stage == ExecutorStage::kClaiming || this->stage == ExecutorStage::kTakingOver;
  const bool phase_moved = this->step.phase != input.step->phase;
  this->step.phase = input.step->phase;
  if (phase_moved && this->stage == ExecutorStage::kEnteringAct) {
    return this->Enter(ExecutorStage::kConfirmingDrain, now);
  }
  // A phase change that this executor didn't record was recorded by the previous executor.
  return starts || phase_moved ? this->EnterPhase(now) : Outputs();
}

StepExecutor::Outputs StepExecutor::On(const DrainAnswer& input, TimePoint now) {
  this->endpoint_contact = EndpointContact::kAnswered;
  if (input.running > 0) {
    return {};
  }
  if (this->stage == ExecutorStage::kDraining) {
    return this->Enter(ExecutorStage::kChecking, now);
  }
  if (this->stage == ExecutorStage::kConfirmingDrain) {
    return this->EnterIrreversibleAct(now);
  }
  return {};
}

StepExecutor::Outputs StepExecutor::On(const UndrainAnswer& /*input*/, TimePoint now) {
  if (this->stage == ExecutorStage::kUndraining) {
    return this->Enter(ExecutorStage::kRecordingDone, now);
  }
  if (this->stage == ExecutorStage::kUndoing) {
    return this->Enter(ExecutorStage::kRecordingWithdrawn, now);
  }
  return {};
}

StepExecutor::Outputs StepExecutor::On(const FinalCheckAnswer& input, TimePoint now) {
  if (this->stage != ExecutorStage::kChecking) {
    return {};
  }
  switch (input.verdict) {
    case ActVerdict::kAct:
      return this->Enter(ExecutorStage::kEnteringAct, now);
    case ActVerdict::kWait:
      return {};
    case ActVerdict::kWithdraw:
      return this->Enter(ExecutorStage::kUndoing, now);
  }
  CHERVILSPAR_ASSERT(false);
}

StepExecutor::Outputs StepExecutor::On(const RebootAnswer& /*input*/, TimePoint now) {
  if (this->stage != ExecutorStage::kRebooting) {
    return {};
  }
  return this->Enter(ExecutorStage::kAwaitingBoot, now);
}

StepExecutor::Outputs StepExecutor::On(const DescribeAnswer& input, TimePoint now) {
  // `last_step`, not the boot counter, shows whether this step's reboot took place: after a reboot
  // caused by a failure, the step must still reboot the VM.
  const bool rebooted = input.last_step == this->step.id;
  if (!rebooted) {
    this->boot_before = input.boot;
  }
  switch (this->stage) {
    case ExecutorStage::kInspecting:
      if (!rebooted) {
        return this->Enter(ExecutorStage::kConfirmingDrain, now);
      }
      return this->Enter(ExecutorStage::kAwaitingBoot, now);
    case ExecutorStage::kAwaitingBoot:
      if (rebooted && input.state == PlatformVmState::kLive && input.boot != this->boot_before) {
        return this->Enter(ExecutorStage::kUndraining, now);
      }
      // Decided on the platform's current answer: after a pause of this process, the elapsed time
      // alone would mark a VM as failed that came back long ago.
      return now - this->stage_since > this->reboot_timeout ? this->RecordFailure(now) : Outputs();
    case ExecutorStage::kRebooting:
      // The reboot's answer was lost.
      return rebooted ? this->Enter(ExecutorStage::kAwaitingBoot, now) : Outputs();
    default:
      return {};
  }
}

StepExecutor::Outputs StepExecutor::On(const WithdrawalRequested& /*input*/, TimePoint now) {
  // Once "acting" has been sent to the log it may take effect, and the step can no longer be
  // undone.
  if (this->stage == ExecutorStage::kDraining || this->stage == ExecutorStage::kChecking) {
    return this->Enter(ExecutorStage::kUndoing, now);
  }
  return {};
}

StepExecutor::Outputs StepExecutor::On(const Tick& /*input*/, TimePoint now) {
  Outputs outputs = this->OnStageTimeout(now);
  if (!outputs.empty()) {
    return outputs;
  }
  const Duration repeat = AppendedIn(this->stage) ? kAppendRepeat : kCallRepeat;
  if (this->last_outputs != TimePoint::min() && now - this->last_outputs < repeat) {
    return {};
  }
  this->last_outputs = now;
  ++this->attempts;
  return this->StageOutputs();
}

bool StepExecutor::IsUnansweredFor(Duration timeout, TimePoint now) const {
  return now - this->stage_since > timeout && this->attempts >= kMinAttempts;
}

StepExecutor::Outputs StepExecutor::OnStageTimeout(TimePoint now) {
  switch (this->stage) {
    case ExecutorStage::kClaiming:
    case ExecutorStage::kTakingOver:
      // The step may have started and ended unobserved, and its record would be repeated forever.
      // If the record takes effect later, the folded step names this entry and is resumed.
      return this->IsUnansweredFor(kClaimTimeout, now) ? this->Enter(ExecutorStage::kFinished, now)
                                                       : Outputs();
    case ExecutorStage::kDraining:
    case ExecutorStage::kChecking:
      // A long task is never interrupted: the drain is abandoned and the VM is planned again later.
      return now - this->drain_since > this->drain_timeout
                 ? this->Enter(ExecutorStage::kUndoing, now)
                 : Outputs();
    case ExecutorStage::kUndoing:
      // The endpoint does not answer. The planner undrains it once it answers again.
      return this->IsUnansweredFor(this->drain_timeout, now)
                 ? this->Enter(ExecutorStage::kRecordingWithdrawn, now)
                 : Outputs();
    case ExecutorStage::kUndraining:
      // The platform reports the VM as live, but its endpoint does not answer.
      return this->IsUnansweredFor(this->reboot_timeout, now) ? this->RecordFailure(now)
                                                              : Outputs();
    case ExecutorStage::kConfirmingDrain:
      // The VM failed while "acting" was recorded. It ran no tasks before, and has been held since.
      return this->endpoint_contact == EndpointContact::kNone &&
                     this->IsUnansweredFor(this->drain_timeout, now)
                 ? this->EnterIrreversibleAct(now)
                 : Outputs();
    default:
      return {};
  }
}

StepExecutor::Outputs StepExecutor::RecordFailure(TimePoint now) {
  this->result = ActResult::kVmFailed;
  return this->Enter(ExecutorStage::kRecordingDone, now);
}

StepExecutor::Outputs StepExecutor::EnterPhase(TimePoint now) {
  if (this->step.phase == StepPhase::kDraining) {
    this->drain_since = now;
    return this->Enter(ExecutorStage::kDraining, now);
  }
  if (this->step.action == StepAction::kReboot) {
    return this->Enter(ExecutorStage::kInspecting, now);
  }
  return this->Enter(ExecutorStage::kConfirmingDrain, now);
}

StepExecutor::Outputs StepExecutor::EnterIrreversibleAct(TimePoint now) {
  switch (this->step.action) {
    case StepAction::kReboot:
      return this->Enter(ExecutorStage::kRebooting, now);
    case StepAction::kMove:
      return this->Enter(ExecutorStage::kUndraining, now);
    case StepAction::kRetire:
      return this->Enter(ExecutorStage::kRecordingDone, now);
  }
  CHERVILSPAR_ASSERT(false);
}

StepExecutor::Outputs StepExecutor::Enter(ExecutorStage next, TimePoint now) {
  this->stage = next;
  this->stage_since = now;
  this->attempts = 1;
  this->endpoint_contact = EndpointContact::kNone;
  this->last_outputs = now;
  return this->StageOutputs();
}

StepExecutor::Outputs StepExecutor::StageOutputs() const {
  switch (this->stage) {
    case ExecutorStage::kClaiming:
      return {AppendRecord{StepRecord::kClaim}};
    case ExecutorStage::kTakingOver:
      return {AppendRecord{StepRecord::kTakeOver}};
    case ExecutorStage::kDraining:
    case ExecutorStage::kConfirmingDrain:
      return {DrainEndpoint{}};
    case ExecutorStage::kChecking:
      return {RequestFinalCheck{}};
    case ExecutorStage::kEnteringAct:
      return {AppendRecord{StepRecord::kActing}};
    case ExecutorStage::kInspecting:
    case ExecutorStage::kAwaitingBoot:
      return {DescribeVm{}};
    case ExecutorStage::kRebooting:
      return {DescribeVm{}, RebootVm{}};
    case ExecutorStage::kUndraining:
    case ExecutorStage::kUndoing:
      return {UndrainEndpoint{}};
    case ExecutorStage::kRecordingDone:
      return {AppendRecord{StepRecord::kDone, this->result}};
    case ExecutorStage::kRecordingWithdrawn:
      return {AppendRecord{StepRecord::kWithdrawn}};
    case ExecutorStage::kFinished:
      return {};
  }
  CHERVILSPAR_ASSERT(false);
}

}  // namespace chervilspar::maintenance
