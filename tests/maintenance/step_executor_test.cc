#include "chervilspar/maintenance/step_executor.h"

#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "chervilspar/base/assert.h"

namespace chervilspar::maintenance {
namespace {

using config_log::Step;
using config_log::StepAction;
using config_log::StepPhase;

const EntryId kSelf{"entry-a"};
const EntryId kOther{"entry-b"};
const StepId kStep{"step-1"};

Step MakeStep(StepAction action, StepPhase phase = StepPhase::kDraining) {
  Step step;
  step.id = kStep;
  step.vm = VmId{"vm-1"};
  step.action = action;
  step.from_pool = PoolId{"pool"};
  step.phase = phase;
  step.executor = kSelf;
  return step;
}

Step HeldBy(const EntryId& executor, StepPhase phase) {
  Step step = MakeStep(StepAction::kReboot, phase);
  step.executor = executor;
  return step;
}

TimePoint At(int seconds) { return TimePoint(std::chrono::seconds(seconds)); }

RecordReadBack Accepted(StepRecord record) {
  return RecordReadBack{record, RecordVerdict::kAccepted};
}

RecordReadBack Rejected(StepRecord record) {
  return RecordReadBack{record, RecordVerdict::kRejected};
}

DescribeAnswer Described(std::uint64_t boot, const StepId& last_step,
                         PlatformVmState state = PlatformVmState::kLive) {
  return DescribeAnswer{state, boot, last_step};
}

/// An input, its time in seconds, and the stage that must follow.
struct Transition {
  int at = 0;
  StepInput input;
  ExecutorStage stage = ExecutorStage::kClaiming;
};

enum class Start { kClaim, kTakeOver, kResume };

struct StageCase {
  std::string name;
  Start start = Start::kClaim;
  Step step;
  std::vector<Transition> transitions;
};

StepExecutor Begin(const StageCase& stage_case) {
  const inventory::MaintenanceRules rules;
  switch (stage_case.start) {
    case Start::kClaim:
      return StepExecutor::Claim(stage_case.step, rules, At(0));
    case Start::kTakeOver:
      return StepExecutor::TakeOver(stage_case.step, rules, At(0));
    case Start::kResume:
      return StepExecutor::Resume(stage_case.step, rules, At(0));
  }
  CHERVILSPAR_ASSERT(false);
}

class StepExecutorStageTest : public testing::TestWithParam<StageCase> {};

TEST_P(StepExecutorStageTest, GoesThroughItsStages) {
  StepExecutor executor = Begin(GetParam());
  int number = 0;
  for (const Transition& transition : GetParam().transitions) {
    executor.Handle(transition.input, At(transition.at));
    EXPECT_EQ(executor.Stage(), transition.stage)
        << "transition " << number << ", is " << ToString(executor.Stage());
    ++number;
  }
}

using enum ExecutorStage;

const std::vector<Transition> kUpToActing = {
    {0, Tick{}, kClaiming},
    {1, Accepted(StepRecord::kClaim), kDraining},
    {2, DrainAnswer{3}, kDraining},
    {9, DrainAnswer{0}, kChecking},
    {9, FinalCheckAnswer{ActVerdict::kAct}, kEnteringAct},
    {10, Accepted(StepRecord::kActing), kConfirmingDrain},
};

std::vector<Transition> Then(std::vector<Transition> first, const std::vector<Transition>& second) {
  first.insert(first.end(), second.begin(), second.end());
  return first;
}

/// One tick each second, all in the same stage.
std::vector<Transition> Ticks(int from, int to, ExecutorStage stage) {
  std::vector<Transition> transitions;
  for (int second = from; second <= to; ++second) {
    transitions.push_back(Transition{second, Tick{}, stage});
  }
  return transitions;
}

INSTANTIATE_TEST_SUITE_P(
    Actions, StepExecutorStageTest,
    testing::Values(StageCase{"Reboot", Start::kClaim, MakeStep(StepAction::kReboot),
                              Then(kUpToActing,
                                   {{10, DrainAnswer{0}, kRebooting},
                                    {11, RebootAnswer{}, kAwaitingBoot},
                                    {12, Described(1, kStep, PlatformVmState::kRebooting),
                                     kAwaitingBoot},
                                    {90, Described(2, kStep), kUndraining},
                                    {91, UndrainAnswer{}, kRecordingDone},
                                    {92, Accepted(StepRecord::kDone), kFinished}})},
                    StageCase{"Move", Start::kClaim, MakeStep(StepAction::kMove),
                              Then(kUpToActing, {{10, DrainAnswer{0}, kUndraining},
                                                 {11, UndrainAnswer{}, kRecordingDone},
                                                 {12, Accepted(StepRecord::kDone), kFinished}})},
                    StageCase{"RetireStaysDrained", Start::kClaim, MakeStep(StepAction::kRetire),
                              Then(kUpToActing, {{10, DrainAnswer{0}, kRecordingDone},
                                                 {12, Accepted(StepRecord::kDone), kFinished}})}),
    [](const auto& info) { return info.param.name; });

// A claim that conflicts with an earlier one is read back as rejected. Continuing would drain a VM
// that another step holds.
INSTANTIATE_TEST_SUITE_P(
    Claims, StepExecutorStageTest,
    testing::Values(StageCase{"RejectedClaimEnds",
                              Start::kClaim,
                              MakeStep(StepAction::kReboot),
                              {{1, Rejected(StepRecord::kClaim), kFinished}}},
                    StageCase{"UnreadClaimStays",
                              Start::kClaim,
                              MakeStep(StepAction::kReboot),
                              {{1, FoldedStep{}, kClaiming}, {60, Tick{}, kClaiming}}},
                    StageCase{"UnreadClaimIsAbandoned", Start::kClaim,
                              MakeStep(StepAction::kReboot),
                              Then(Ticks(0, 60, kClaiming), {{61, Tick{}, kFinished}})},
                    StageCase{"ClaimSeenInSnapshot",
                              Start::kClaim,
                              MakeStep(StepAction::kReboot),
                              {{1, FoldedStep{HeldBy(kSelf, StepPhase::kDraining)}, kDraining}}}),
    [](const auto& info) { return info.param.name; });

// A task runs longer than the drain timeout. The drain is abandoned so that the task can finish;
// the VM accepts tasks again and its step is planned again later.
INSTANTIATE_TEST_SUITE_P(
    Undoing, StepExecutorStageTest,
    testing::Values(StageCase{"LongTask",
                              Start::kClaim,
                              MakeStep(StepAction::kReboot),
                              {{0, Accepted(StepRecord::kClaim), kDraining},
                               {119, DrainAnswer{1}, kDraining},
                               {121, Tick{}, kUndoing},
                               {122, UndrainAnswer{}, kRecordingWithdrawn},
                               {123, Accepted(StepRecord::kWithdrawn), kFinished}}},
                    StageCase{"EndpointGoneWhileUndoing", Start::kClaim,
                              MakeStep(StepAction::kReboot),
                              Then(Then({{0, Accepted(StepRecord::kClaim), kDraining},
                                         {5, WithdrawalRequested{}, kUndoing}},
                                        Ticks(6, 125, kUndoing)),
                                   {{126, Tick{}, kRecordingWithdrawn}})},
                    StageCase{"FinalCheckWaitsForFreshViews",
                              Start::kClaim,
                              MakeStep(StepAction::kReboot),
                              {{0, Accepted(StepRecord::kClaim), kDraining},
                               {5, DrainAnswer{0}, kChecking},
                               {6, FinalCheckAnswer{ActVerdict::kWait}, kChecking},
                               {121, Tick{}, kUndoing}}},
                    StageCase{"FinalCheckFindsBudgetShort",
                              Start::kClaim,
                              MakeStep(StepAction::kReboot),
                              {{0, Accepted(StepRecord::kClaim), kDraining},
                               {5, DrainAnswer{0}, kChecking},
                               {6, FinalCheckAnswer{ActVerdict::kWithdraw}, kUndoing}}},
                    StageCase{"FoldRejectsActing",
                              Start::kClaim,
                              MakeStep(StepAction::kReboot),
                              {{0, Accepted(StepRecord::kClaim), kDraining},
                               {5, DrainAnswer{0}, kChecking},
                               {6, FinalCheckAnswer{ActVerdict::kAct}, kEnteringAct},
                               {7, FoldedStep{HeldBy(kSelf, StepPhase::kDraining)}, kEnteringAct},
                               {7, Rejected(StepRecord::kActing), kUndoing}}},
                    StageCase{"TooLateToWithdraw",
                              Start::kClaim,
                              MakeStep(StepAction::kReboot),
                              {{0, Accepted(StepRecord::kClaim), kDraining},
                               {5, DrainAnswer{0}, kChecking},
                               {6, FinalCheckAnswer{ActVerdict::kAct}, kEnteringAct},
                               {7, WithdrawalRequested{}, kEnteringAct}}}),
    [](const auto& info) { return info.param.name; });

// The executor crashes during a step, and another entry takes the step over or the executor resumes
// it after a restart. The VM must neither stay drained forever nor be rebooted a second time.
INSTANTIATE_TEST_SUITE_P(
    TakingOver, StepExecutorStageTest,
    testing::Values(StageCase{"WhileDraining",
                              Start::kTakeOver,
                              MakeStep(StepAction::kReboot),
                              {{0, Tick{}, kTakingOver},
                               {0, FoldedStep{HeldBy(kOther, StepPhase::kDraining)}, kTakingOver},
                               {1, FoldedStep{HeldBy(kSelf, StepPhase::kDraining)}, kDraining}}},
                    StageCase{"OneEntryWasFaster",
                              Start::kTakeOver,
                              MakeStep(StepAction::kReboot),
                              {{0, FoldedStep{HeldBy(kOther, StepPhase::kDraining)}, kTakingOver},
                               {1, Rejected(StepRecord::kTakeOver), kFinished}}},
                    StageCase{"ActBeganAfterThePlan",
                              Start::kTakeOver,
                              MakeStep(StepAction::kReboot),
                              {{0, Accepted(StepRecord::kTakeOver), kTakingOver},
                               {1, FoldedStep{HeldBy(kSelf, StepPhase::kActing)}, kInspecting}}},
                    StageCase{"BeforeTheReboot",
                              Start::kResume,
                              MakeStep(StepAction::kReboot, StepPhase::kActing),
                              {{0, Tick{}, kInspecting},
                               {1, Described(1, StepId{}), kConfirmingDrain},
                               {2, DrainAnswer{0}, kRebooting}}},
                    StageCase{"DuringTheReboot",
                              Start::kResume,
                              MakeStep(StepAction::kReboot, StepPhase::kActing),
                              {{1, Described(1, kStep, PlatformVmState::kRebooting), kAwaitingBoot},
                               {50, Described(2, kStep), kUndraining}}},
                    StageCase{"AfterTheReboot",
                              Start::kResume,
                              MakeStep(StepAction::kReboot, StepPhase::kActing),
                              {{1, Described(2, kStep), kAwaitingBoot},
                               {2, Described(2, kStep), kUndraining}}},
                    StageCase{"MoveAfterActing",
                              Start::kResume,
                              MakeStep(StepAction::kMove, StepPhase::kActing),
                              {{0, Tick{}, kConfirmingDrain}, {1, DrainAnswer{0}, kUndraining}}}),
    [](const auto& info) { return info.param.name; });

// An executor is paused while its step is taken over and ended. After the pause it must no longer
// act on the VM, which the next step may hold by then.
INSTANTIATE_TEST_SUITE_P(
    LosingTheStep, StepExecutorStageTest,
    testing::Values(
        StageCase{"StepEnded",
                  Start::kClaim,
                  MakeStep(StepAction::kReboot),
                  {{0, Accepted(StepRecord::kClaim), kDraining}, {600, FoldedStep{}, kFinished}}},
        StageCase{
            "StepTakenOver", Start::kClaim, MakeStep(StepAction::kReboot),
            Then(kUpToActing, {{600, FoldedStep{HeldBy(kOther, StepPhase::kActing)}, kFinished}})},
        StageCase{"SecondCopyOfARecordIsRejected", Start::kClaim, MakeStep(StepAction::kReboot),
                  Then(kUpToActing, {{11, Rejected(StepRecord::kActing), kConfirmingDrain},
                                     {11, Rejected(StepRecord::kClaim), kConfirmingDrain}})},
        StageCase{"DoneByAnother", Start::kClaim, MakeStep(StepAction::kRetire),
                  Then(kUpToActing, {{10, DrainAnswer{0}, kRecordingDone},
                                     {11, Rejected(StepRecord::kDone), kFinished}})}),
    [](const auto& info) { return info.param.name; });

// The executor's process is paused or cut off for a quarter of an hour during an act, and all its
// timeouts have expired when it continues. If it took that for an unresponsive VM, it would reboot
// a VM that may run tasks, or mark a VM as failed that came back long ago and reboot it again.
INSTANTIATE_TEST_SUITE_P(
    Paused, StepExecutorStageTest,
    testing::Values(StageCase{"BeforeTheSecondDrain", Start::kClaim, MakeStep(StepAction::kReboot),
                              Then(kUpToActing, {{900, Tick{}, kConfirmingDrain},
                                                 {901, DrainAnswer{1}, kConfirmingDrain}})},
                    StageCase{"DuringTheReboot", Start::kClaim, MakeStep(StepAction::kReboot),
                              Then(kUpToActing, {{10, DrainAnswer{0}, kRebooting},
                                                 {11, RebootAnswer{}, kAwaitingBoot},
                                                 {900, Tick{}, kAwaitingBoot},
                                                 {900, Described(2, kStep), kUndraining}})},
                    StageCase{"WhileUndraining", Start::kClaim, MakeStep(StepAction::kMove),
                              Then(kUpToActing, {{10, DrainAnswer{0}, kUndraining},
                                                 {900, Tick{}, kUndraining},
                                                 {901, UndrainAnswer{}, kRecordingDone}})}),
    [](const auto& info) { return info.param.name; });

// The VM misbehaves while the step acts: its endpoint accepts a task after the first drain, it
// fails before the reboot, or it does not come back.
INSTANTIATE_TEST_SUITE_P(
    FailureWhileActing, StepExecutorStageTest,
    testing::Values(
        StageCase{
            "TaskAfterTheFirstDrain", Start::kClaim, MakeStep(StepAction::kReboot),
            Then(Then(kUpToActing, {{11, DrainAnswer{1}, kConfirmingDrain}}),
                 Then(Ticks(12, 500, kConfirmingDrain), {{501, DrainAnswer{0}, kRebooting}}))},
        StageCase{
            "FailsBeforeTheReboot", Start::kClaim, MakeStep(StepAction::kReboot),
            Then(Then(kUpToActing, Ticks(11, 130, kConfirmingDrain)), {{131, Tick{}, kRebooting}})},
        StageCase{"StillUpAfterTheRebootRequest", Start::kClaim, MakeStep(StepAction::kReboot),
                  Then(kUpToActing, {{10, DrainAnswer{0}, kRebooting},
                                     {10, Described(7, StepId{}), kRebooting},
                                     {11, RebootAnswer{}, kAwaitingBoot},
                                     {12, Described(7, kStep), kAwaitingBoot},
                                     {60, Described(8, kStep), kUndraining}})},
        StageCase{"RebootAnswerLost", Start::kClaim, MakeStep(StepAction::kReboot),
                  Then(kUpToActing,
                       {{10, DrainAnswer{0}, kRebooting},
                        {11, Described(1, kStep, PlatformVmState::kRebooting), kAwaitingBoot}})},
        StageCase{"DoesNotComeBack", Start::kClaim, MakeStep(StepAction::kReboot),
                  Then(kUpToActing,
                       {{10, DrainAnswer{0}, kRebooting},
                        {11, RebootAnswer{}, kAwaitingBoot},
                        {312, Tick{}, kAwaitingBoot},
                        {312, Described(1, kStep, PlatformVmState::kRebooting), kRecordingDone}})}),
    [](const auto& info) { return info.param.name; });

// The record reports the VM as failed, so that it doesn't count as maintained and the wave can stop
// after repeated failures.
TEST(StepExecutorTest, VmThatDoesNotComeBackIsRecordedAsFailed) {
  StepExecutor executor =
      StepExecutor::Resume(MakeStep(StepAction::kReboot, StepPhase::kActing), {}, At(0));
  executor.Handle(Described(1, kStep, PlatformVmState::kRebooting), At(1));
  const auto outputs = executor.Handle(Described(1, kStep, PlatformVmState::kRebooting), At(400));
  const AppendRecord expected{StepRecord::kDone, ActResult::kVmFailed};
  EXPECT_EQ(outputs, std::vector<StepOutput>{expected});
}

// An entry that is cut off from the log never reads its claim back. It repeats the record at a low
// rate, abandons it after a timeout, and calls neither endpoint nor platform.
TEST(StepExecutorTest, WithoutReadBackNothingButTheClaimIsSent) {
  StepExecutor executor = StepExecutor::Claim(MakeStep(StepAction::kReboot), {}, At(0));
  const std::vector<StepOutput> claim{AppendRecord{StepRecord::kClaim}};
  int sent = 0;
  for (int second = 0; second < 600; ++second) {
    const auto outputs = executor.Handle(Tick{}, At(second));
    if (!outputs.empty()) {
      EXPECT_EQ(outputs, claim);
      ++sent;
    }
  }
  EXPECT_EQ(sent, 13);
  EXPECT_TRUE(executor.IsFinished());
}

// Answers may arrive twice or late. A repeated answer must not advance the step past a stage.
TEST(StepExecutorTest, RepeatedAnswersChangeNothing) {
  StepExecutor executor = StepExecutor::Claim(MakeStep(StepAction::kReboot), {}, At(0));
  for (const Transition& transition : kUpToActing) {
    executor.Handle(transition.input, At(transition.at));
    const ExecutorStage stage = executor.Stage();
    const bool is_drain = std::holds_alternative<DrainAnswer>(transition.input);
    if (!is_drain) {
      EXPECT_TRUE(executor.Handle(transition.input, At(transition.at)).empty());
    }
    EXPECT_EQ(executor.Stage(), stage);
  }
}

}  // namespace
}  // namespace chervilspar::maintenance
