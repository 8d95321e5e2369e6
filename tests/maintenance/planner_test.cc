#include "chervilspar/maintenance/planner.h"

#include <algorithm>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "bench/wave_fleet.h"
#include "fleet_fixture.h"

namespace chervilspar::maintenance {
namespace {

using bench::ServingPool;
using bench::WaveFleetShape;
using config_log::Step;
using config_log::StepAction;
using config_log::StepPhase;
using config_log::VmCondition;

Plan PlanFor(const FleetFixture& fleet) {
  return Planner(kEntryA).MakePlan(fleet.state, fleet.observations, kNow);
}

std::map<PoolId, std::size_t> ClaimsByPool(const Plan& plan) {
  std::map<PoolId, std::size_t> claims;
  for (const Step& step : plan.claims) {
    ++claims[step.from_pool];
  }
  return claims;
}

std::size_t CountWaits(const Plan& plan, WaitReason reason) {
  return static_cast<std::size_t>(
      std::count_if(plan.waits.begin(), plan.waits.end(),
                    [reason](const VmWait& wait) { return wait.reason == reason; }));
}

/// A fleet and the expected plan.
struct PlanCase {
  std::string name;
  std::function<void(FleetFixture&)> arrange;
  /// Expected number of claims in the first pool.
  std::size_t claims = 0;
  /// A reason for which at least one VM must wait, if any.
  std::optional<WaitReason> reason;
};

class PlannerTableTest : public testing::TestWithParam<PlanCase> {};

TEST_P(PlannerTableTest, ClaimsInTheFirstPool) {
  FleetFixture fleet;
  GetParam().arrange(fleet);
  const Plan plan = PlanFor(fleet);
  EXPECT_EQ(ClaimsByPool(plan)[ServingPool(0)], GetParam().claims);
  if (GetParam().reason) {
    EXPECT_GT(CountWaits(plan, *GetParam().reason), 0U);
  }
}

INSTANTIATE_TEST_SUITE_P(
    Ordinary, PlannerTableTest,
    testing::Values(PlanCase{"OneBelowTheSlack", [](FleetFixture&) {}, 1, WaitReason::kPoolBudget},
                    PlanCase{"NothingDue",
                             [](FleetFixture& fleet) {
                               fleet.SetMaintained(kNow - std::chrono::hours(1));
                             },
                             0, std::nullopt},
                    PlanCase{"DueBeforeTheInterval",
                             [](FleetFixture& fleet) {
                               fleet.SetMaintained(kNow - std::chrono::hours(24 * 45));
                             },
                             1, WaitReason::kPoolBudget},
                    PlanCase{"RoutineTurnedOff",
                             [](FleetFixture& fleet) {
                               fleet.state.inventory.maintenance.every = Duration::zero();
                             },
                             0, std::nullopt}),
    [](const auto& info) { return info.param.name; });

// The free capacity is used up before the wave begins, or is uncertain. Draining a VM then would
// leave the pool below its budget once one more VM fails.
INSTANTIATE_TEST_SUITE_P(
    FreeCapacity, PlannerTableTest,
    testing::Values(
        PlanCase{"OneVmFailed",
                 [](FleetFixture& fleet) { fleet.SetCondition(0, VmCondition::kFailed); }, 0,
                 WaitReason::kPoolBudget},
        PlanCase{"OneVmNeverObserved",
                 [](FleetFixture& fleet) { fleet.observations.vms.erase(fleet.VmAt(0)); }, 0,
                 WaitReason::kVmUnavailable},
        PlanCase{"OneVmNotSeenForAMinute",
                 [](FleetFixture& fleet) {
                   fleet.observations.vms[fleet.VmAt(0)].age = std::chrono::minutes(1);
                 },
                 0, WaitReason::kPoolBudget},
        PlanCase{"OneVmLeaving",
                 [](FleetFixture& fleet) {
                   fleet.observations.vms[fleet.VmAt(0)].listing = VmListing::kLeaving;
                 },
                 0, WaitReason::kVmUnavailable},
        PlanCase{"OneStepRunning", [](FleetFixture& fleet) { fleet.HoldVm(0); }, 0,
                 WaitReason::kStepRunning},
        PlanCase{
            "ListTooOld",
            [](FleetFixture& fleet) { fleet.observations.vm_list_age = std::chrono::minutes(1); },
            0, WaitReason::kStaleView}),
    [](const auto& info) { return info.param.name; });

// When a rack loses power or a zone is cut off while steps hold VMs elsewhere, the losses add up.
// The steps of a wave hold at most one VM of a rack and, without free capacity, VMs of only one
// zone of a pool.
INSTANTIATE_TEST_SUITE_P(Domains, PlannerTableTest,
                         testing::Values(PlanCase{"RackHoldsAStep",
                                                  [](FleetFixture& fleet) {
                                                    fleet.SetSlack(3);
                                                    fleet.PutInRack(kAllVms, "shared");
                                                    fleet.HoldVm(15);
                                                  },
                                                  0, WaitReason::kRackLimit},
                                         PlanCase{"NoCapacityForASecondZone",
                                                  [](FleetFixture& fleet) {
                                                    fleet.SetPoolSlack(0, 3);
                                                    fleet.PutInZone(0, "own-zone");
                                                    fleet.HoldVm(0);
                                                  },
                                                  0, WaitReason::kOtherZone},
                                         PlanCase{"CapacityForOneInASecondZone",
                                                  [](FleetFixture& fleet) {
                                                    fleet.SetSlack(6);
                                                    fleet.SetPoolSlack(0, 4);
                                                    fleet.SetPoolSlack(1, 2);
                                                    fleet.PutInZone(0, "own-zone");
                                                    fleet.HoldVm(0);
                                                  },
                                                  1, WaitReason::kOtherZone},
                                         PlanCase{"LatePoolUsesASecondZone",
                                                  [](FleetFixture& fleet) {
                                                    fleet.SetSlack(3);
                                                    fleet.PutInZone(0, "own-zone");
                                                    fleet.HoldVm(0);
                                                  },
                                                  1, std::nullopt}),
                         [](const auto& info) { return info.param.name; });

// VMs fail after a reboot with a bad image. The wave must stop without an operator, so that the
// rest of the fleet keeps serving.
INSTANTIATE_TEST_SUITE_P(
    Stopping, PlannerTableTest,
    testing::Values(PlanCase{"TwoDidNotSurviveTheirStep",
                             [](FleetFixture& fleet) {
                               fleet.FailAfterStep(20);
                               fleet.FailAfterStep(30);
                             },
                             0, WaitReason::kWaveStopped},
                    PlanCase{"OneDidNot", [](FleetFixture& fleet) { fleet.FailAfterStep(20); }, 1,
                             std::nullopt},
                    PlanCase{"TwoFailedWhileTheirPoolHadAStep",
                             [](FleetFixture& fleet) {
                               fleet.HoldVm(20);
                               fleet.FailNow(21);
                               fleet.FailNow(22);
                             },
                             0, WaitReason::kWaveStopped},
                    PlanCase{"TwoFailedElsewhereAndEarlier",
                             [](FleetFixture& fleet) {
                               fleet.SetCondition(21, VmCondition::kFailed);
                               fleet.SetCondition(22, VmCondition::kFailed);
                             },
                             1, std::nullopt}),
    [](const auto& info) { return info.param.name; });

// A rack fails while the wave drains VMs of the same pool. As many steps as necessary are withdrawn
// before their reboot; a step that is already acting can't be withdrawn.
TEST(PlannerTest, RackFailureWithdrawsDrainingSteps) {
  FleetFixture fleet;
  fleet.SetSlack(3);
  fleet.HoldVm(0);
  fleet.HoldVm(3);
  fleet.HoldVm(6, StepPhase::kActing);
  EXPECT_TRUE(PlanFor(fleet).withdrawals.size() == 1)
      << "with three VMs held, a failure would break the budget";
  fleet.FailNow(1);
  const Plan plan = PlanFor(fleet);
  ASSERT_EQ(plan.withdrawals.size(), 2U);
  for (const StepWithdrawal& withdrawal : plan.withdrawals) {
    EXPECT_NE(withdrawal.step, fleet.StepOf(6));
    EXPECT_EQ(withdrawal.cause.reason, WaitReason::kPoolBudget);
  }
}

// The VM list is a minute old. No VM is known to have failed, so no step is withdrawn: a late list
// must not cause another round of drains.
TEST(PlannerTest, StaleListWithdrawsNothing) {
  FleetFixture fleet;
  fleet.HoldVm(0);
  fleet.observations.vm_list_age = std::chrono::minutes(1);
  EXPECT_TRUE(PlanFor(fleet).withdrawals.empty());
}

// VMs fail after their reboot. Steps that are still draining are withdrawn once the limit of such
// failures is reached, even if the budget would allow another failed VM.
TEST(PlannerTest, FailingRebootsWithdrawDrainingSteps) {
  FleetFixture fleet;
  fleet.HoldVm(0);
  fleet.FailAfterStep(20);
  EXPECT_TRUE(PlanFor(fleet).withdrawals.empty());
  fleet.FailAfterStep(30);
  const Plan plan = PlanFor(fleet);
  ASSERT_EQ(plan.withdrawals.size(), 1U);
  EXPECT_EQ(plan.withdrawals[0].cause.reason, WaitReason::kWaveStopped);
}

TEST(PlannerTest, VmLostWhileDrainingIsWithdrawn) {
  FleetFixture fleet;
  fleet.HoldVm(0);
  fleet.FailNow(0);
  const Plan plan = PlanFor(fleet);
  ASSERT_EQ(plan.withdrawals.size(), 1U);
  EXPECT_EQ(plan.withdrawals[0].cause.reason, WaitReason::kVmUnavailable);
}

// Two VMs of a pool are lost for longer than a reboot lasts, and the next failure would break the
// budget. A VM of the spare pool replaces one although the wave itself has no free capacity.
TEST(PlannerTest, SpareVmsFillInForLostOnes) {
  FleetFixture fleet;
  fleet.SetCondition(0, VmCondition::kFailed);
  fleet.SetCondition(3, VmCondition::kFailed);
  const Plan plan = PlanFor(fleet);
  const auto moves = std::count_if(plan.claims.begin(), plan.claims.end(), [](const Step& step) {
    return step.action == StepAction::kMove && step.from_pool == bench::kSparePool &&
           step.to_pool == ServingPool(0);
  });
  EXPECT_EQ(moves, 1);
}

// All spare VMs are lent when a pool loses VMs. One of them moves directly to that pool instead of
// returning to the spare pool first.
TEST(PlannerTest, LentVmsServeLossesElsewhere) {
  FleetFixture fleet;
  fleet.SetMaintained(kNow);
  for (std::uint32_t vm = 50; vm < 54; ++vm) {
    fleet.Lend(vm, ServingPool(1));
  }
  fleet.SetCondition(0, VmCondition::kFailed);
  fleet.SetCondition(3, VmCondition::kFailed);
  const Plan plan = PlanFor(fleet);
  const auto moves = std::count_if(plan.claims.begin(), plan.claims.end(), [](const Step& step) {
    return step.from_pool == ServingPool(1) && step.to_pool == ServingPool(0);
  });
  EXPECT_EQ(moves, 1);
}

// A VM that was lost just now may only be rebooting. While the pool keeps its budget, no spare VM
// replaces it; below the budget a spare VM is moved at once.
TEST(PlannerTest, SpareVmsWaitForAFreshLossUnlessTheBudgetIsBroken) {
  FleetFixture fleet;
  fleet.FailNow(0);
  fleet.FailNow(3);
  const auto moves = [&fleet] {
    const Plan plan = PlanFor(fleet);
    return std::count_if(plan.claims.begin(), plan.claims.end(),
                         [](const Step& step) { return step.to_pool == ServingPool(0); });
  };
  EXPECT_EQ(moves(), 0);
  fleet.FailNow(6);
  EXPECT_EQ(moves(), 1);
}

// Once the losses are over and the wave has ended, the lent VM returns. Otherwise the spare pool
// would be empty at the next failure.
TEST(PlannerTest, LentVmReturnsToTheSparePool) {
  FleetFixture fleet;
  fleet.SetMaintained(kNow);
  fleet.Lend(50, ServingPool(0));
  const Plan plan = PlanFor(fleet);
  ASSERT_EQ(plan.claims.size(), 1U);
  EXPECT_EQ(plan.claims[0].to_pool, bench::kSparePool);
  fleet.SetCondition(0, VmCondition::kFailed);
  EXPECT_TRUE(PlanFor(fleet).claims.empty()) << "a pool with losses keeps it";
}

// A pool whose budget leaves no free capacity would never be maintained; a spare VM adds capacity.
TEST(PlannerTest, SpareVmMakesRoomInATightPool) {
  FleetFixture fleet;
  fleet.SetSlack(1);
  const Plan plan = PlanFor(fleet);
  EXPECT_EQ(ClaimsByPool(plan).count(ServingPool(0)), 0U);
  const auto moves = std::count_if(plan.claims.begin(), plan.claims.end(), [](const Step& step) {
    return step.from_pool == bench::kSparePool && step.to_pool == ServingPool(0);
  });
  EXPECT_EQ(moves, 1);
}

TEST(PlannerTest, MovesComeBeforeRoutine) {
  FleetFixture fleet;
  fleet.MoveOut({inventory::MoveTarget{fleet.VmAt(9), ServingPool(1)}});
  const Plan plan = PlanFor(fleet);
  const auto move = std::find_if(plan.claims.begin(), plan.claims.end(),
                                 [](const Step& step) { return step.action == StepAction::kMove; });
  ASSERT_NE(move, plan.claims.end());
  EXPECT_EQ(move->vm, fleet.VmAt(9));
}

TEST(PlannerTest, MoveToAnUnknownPoolWaits) {
  FleetFixture fleet;
  fleet.MoveOut({inventory::MoveTarget{fleet.VmAt(9), PoolId{"nowhere"}}});
  EXPECT_EQ(CountWaits(PlanFor(fleet), WaitReason::kNoTarget), 1U);
}

// An executor is unreachable. All live entries choose the same successor for its step, whichever of
// them makes the plan. An entry that ranks lower than the executor waits before it takes over,
// since it may only be cut off from the executor.
TEST(PlannerTest, OneEntryTakesOver) {
  FleetFixture fleet;
  fleet.HoldVm(0);
  fleet.ExecutorOf(0) = EntryId{"gone"};
  fleet.state.steps.at(fleet.StepOf(0)).claimed_at = kNow - std::chrono::minutes(8);
  const auto first = Planner(kEntryA).MakePlan(fleet.state, fleet.observations, kNow);
  const auto second = Planner(kEntryB).MakePlan(fleet.state, fleet.observations, kNow);
  ASSERT_EQ(first.take_overs.size(), 1U);
  EXPECT_EQ(first.take_overs, second.take_overs);
  EXPECT_TRUE(fleet.observations.live_entries.contains(first.take_overs[0].new_executor));
}

TEST(PlannerTest, EntriesThatAreCutApartDoNotTakeAStepInTurns) {
  FleetFixture fleet;
  fleet.HoldVm(0);
  Step& step = fleet.state.steps.at(fleet.StepOf(0));
  int take_overs_done = 0;
  for (int round = 0; round < 10; ++round) {
    const EntryId planning_entry = step.executor == kEntryA ? kEntryB : kEntryA;
    fleet.observations.live_entries = {planning_entry};
    const Plan plan = Planner(planning_entry).MakePlan(fleet.state, fleet.observations, kNow);
    if (!plan.take_overs.empty()) {
      step.executor = planning_entry;
      ++take_overs_done;
    }
  }
  EXPECT_LE(take_overs_done, 1);
}

// An executor crashed between a drain and its record. The endpoint refuses tasks although no step
// holds its VM; without an undrain its slots would stay unused.
TEST(PlannerTest, ForgottenDrainIsUndone) {
  FleetFixture fleet;
  fleet.observations.vms[fleet.VmAt(4)].drain_state = DrainState::kDraining;
  fleet.observations.vms[fleet.VmAt(0)].drain_state = DrainState::kDraining;
  fleet.HoldVm(0);
  EXPECT_EQ(PlanFor(fleet).undrains, std::vector<VmId>{fleet.VmAt(4)});
}

// A large fleet falls due at once. Claims are limited to the rate at which an entry may append: a
// thousand at once would time out, be repeated, and leave no append capacity for other records.
TEST(PlannerTest, LargeFleetBeginsStepsAtTheAppendRate) {
  WaveFleetShape shape;
  shape.serving_pools = 40;
  const FleetFixture fleet(shape);
  EXPECT_EQ(PlanFor(fleet).claims.size(), 8U);
}

TEST(PlannerTest, OnlyOneEntryAppends) {
  FleetFixture fleet;
  EXPECT_TRUE(Planner(kEntryA).MakePlan(fleet.state, fleet.observations, kNow).appends_claims);
  EXPECT_FALSE(Planner(kEntryB).MakePlan(fleet.state, fleet.observations, kNow).appends_claims);
}

TEST(PlannerTest, EachWaitExplainsItself) {
  FleetFixture fleet;
  for (const VmWait& wait : PlanFor(fleet).waits) {
    EXPECT_NE(Explain(wait).find(wait.vm.text), std::string::npos);
  }
}

/// A fleet and the expected result of the check just before the reboot.
struct CheckCase {
  std::string name;
  std::function<void(FleetFixture&)> arrange;
  ActVerdict expected = ActVerdict::kAct;
};

class FinalCheckTest : public testing::TestWithParam<CheckCase> {};

// Draining takes minutes between the plan and the reboot, in which VMs may fail and observations
// become stale. A reboot based only on the plan could take the pool below its budget.
TEST_P(FinalCheckTest, ChecksFreshObservations) {
  FleetFixture fleet;
  fleet.HoldVm(0);
  GetParam().arrange(fleet);
  EXPECT_EQ(CheckBeforeActing(fleet.state, fleet.observations, fleet.StepOf(0)),
            GetParam().expected);
}

INSTANTIATE_TEST_SUITE_P(
    Cases, FinalCheckTest,
    testing::Values(
        CheckCase{"AllAvailable", [](FleetFixture&) {}, ActVerdict::kAct},
        CheckCase{"OneFailure", [](FleetFixture& fleet) { fleet.FailNow(1); }, ActVerdict::kAct},
        CheckCase{"TwoFailures",
                  [](FleetFixture& fleet) {
                    fleet.FailNow(1);
                    fleet.FailNow(2);
                  },
                  ActVerdict::kWithdraw},
        CheckCase{"TwoFailuresThatOnlyTheListShows",
                  [](FleetFixture& fleet) {
                    fleet.observations.vms[fleet.VmAt(1)].listing = VmListing::kUnlisted;
                    fleet.observations.vms[fleet.VmAt(2)].listing = VmListing::kUnlisted;
                  },
                  ActVerdict::kWithdraw},
        CheckCase{"TwoUnseen",
                  [](FleetFixture& fleet) {
                    fleet.observations.vms.erase(fleet.VmAt(1));
                    fleet.observations.vms[fleet.VmAt(2)].age = std::chrono::minutes(1);
                  },
                  ActVerdict::kWait},
        CheckCase{
            "OldList",
            [](FleetFixture& fleet) { fleet.observations.vm_list_age = std::chrono::minutes(1); },
            ActVerdict::kWait},
        CheckCase{"OwnVmGoneInAnOldList",
                  [](FleetFixture& fleet) {
                    fleet.observations.vms[fleet.VmAt(0)].listing = VmListing::kUnlisted;
                    fleet.observations.vm_list_age = std::chrono::minutes(1);
                  },
                  ActVerdict::kWait},
        CheckCase{"OwnVmGone",
                  [](FleetFixture& fleet) {
                    fleet.observations.vms[fleet.VmAt(0)].listing = VmListing::kUnlisted;
                  },
                  ActVerdict::kWithdraw},
        CheckCase{"StepHasEnded", [](FleetFixture& fleet) { fleet.state.steps.clear(); },
                  ActVerdict::kWithdraw}),
    [](const auto& info) { return info.param.name; });

}  // namespace
}  // namespace chervilspar::maintenance
