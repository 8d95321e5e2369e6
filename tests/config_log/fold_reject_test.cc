#include <functional>
#include <string>

#include <gtest/gtest.h>

#include "chervilspar/config_log/folder.h"

#include "tests/config_log/fold_fixture.h"

namespace chervilspar::config_log {
namespace {

struct RejectCase {
  std::string name;
  /// Brings the state about, and folds the record that must be rejected.
  std::function<FoldOutcome(FoldBench&)> run;
  std::string reason_part;
};

class FoldRejectTest : public testing::TestWithParam<RejectCase> {};

// Two operators, two planners or a repeated append race for the same object, and each sees a state
// that is gone by the time its record is read. If the fold took the record all the same, a pool
// would fall below its budget, a VM would be in two pools or a dead key would come back; users
// notice refused bookings or work of a stranger. The rejected record must change nothing.
TEST_P(FoldRejectTest, RecordIsRejectedAndChangesNothing) {
  FoldBench bench;
  bench.Start();
  const FoldOutcome outcome = GetParam().run(bench);
  EXPECT_EQ(outcome.verdict, FoldVerdict::kRejected);
  ASSERT_TRUE(outcome.reason);
  EXPECT_NE(outcome.reason->message.find(GetParam().reason_part), std::string::npos)
      << outcome.reason->message;

  Folder replay;
  for (std::size_t i = 0; i + 1 < bench.records.size(); ++i) {
    replay.Fold(bench.records[i]);
  }
  const FleetState before = replay.State();
  FleetState after = bench.State();
  after.next_offset = before.next_offset;
  after.recent_records = before.recent_records;
  EXPECT_EQ(after, before);
}

std::vector<RejectCase> RacingPublishCases() {
  return {
      {"StaleVersion",
       [](FoldBench& bench) {
         return bench.Apply(Publish{bench.State().version - 1, {}});
       },
       "made from version"},
      {"FutureVersion",
       [](FoldBench& bench) {
         return bench.Apply(Publish{bench.State().version + 1, {}});
       },
       "made from version"},
      {"PoolOfHeldVm",
       [](FoldBench& bench) {
         bench.Claim("vm-0");
         return PublishOf(bench,
                          [](auto& wanted) { wanted.vms.at(VmId{"vm-0"}).pool = PoolId{"fleet"}; });
       },
       "held by a step"},
      {"RemovalOfHeldVm",
       [](FoldBench& bench) {
         bench.Claim("vm-0");
         return PublishOf(bench, [](auto& wanted) { wanted.vms.erase(VmId{"vm-0"}); });
       },
       "held by a step"},
      {"RemovalOfTargetPool",
       [](FoldBench& bench) {
         bench.Claim("vm-0", StepAction::kMove, PoolId{"spare"});
         return PublishOf(bench, [](auto& wanted) {
           wanted.pools.erase(PoolId{"spare"});
           wanted.vms.erase(VmId{"vm-8"});
           wanted.vms.erase(VmId{"vm-9"});
         });
       },
       "target of a running step"},
  };
}

std::vector<RejectCase> BudgetPublishCases() {
  return {
      {"BudgetAboveAvailable",
       [](FoldBench& bench) {
         return PublishOf(
             bench, [](auto& wanted) { wanted.pools.at(PoolId{"booking"}).min_available = 5; });
       },
       "below its budget of 5"},
      {"BudgetAboveAvailableWhileHeld",
       [](FoldBench& bench) {
         bench.Claim("vm-0");
         return PublishOf(
             bench, [](auto& wanted) { wanted.pools.at(PoolId{"booking"}).min_available = 4; });
       },
       "below its budget of 4"},
      {"VmsTakenBelowBudget",
       [](FoldBench& bench) {
         return PublishOf(bench, [](auto& wanted) {
           for (const char* vm : {"vm-0", "vm-1", "vm-2"}) {
             wanted.vms.at(VmId{vm}).pool = PoolId{"fleet"};
           }
         });
       },
       "below its budget of 2"},
      {"VmsRemovedBelowBudget",
       [](FoldBench& bench) {
         return PublishOf(bench, [](auto& wanted) {
           for (const char* vm : {"vm-0", "vm-1", "vm-2"}) {
             wanted.vms.erase(VmId{vm});
           }
         });
       },
       "below its budget of 2"},
      {"FailedVmBroughtForANewBudget",
       [](FoldBench& bench) {
         bench.Observe(VmCondition::kFailed, {VmId{"vm-0"}});
         return PublishOf(bench, [](auto& wanted) {
           wanted.vms.at(VmId{"vm-0"}).pool = PoolId{"fleet"};
           wanted.pools.at(PoolId{"fleet"}).min_available = 5;
         });
       },
       "below its budget of 5"},
  };
}

std::vector<RejectCase> ReferencePublishCases() {
  return {
      {"StaleFromPool",
       [](FoldBench& bench) {
         Publish publish{bench.State().version, {}};
         inventory::Vm vm = bench.State().inventory.vms.at(VmId{"vm-0"});
         publish.delta.vm_from_pools.emplace(vm.id, PoolId{"spare"});
         vm.cores = 32;
         publish.delta.vms.put.emplace(vm.id, vm);
         return bench.Apply(publish);
       },
       "not where the change expects it"},
      {"PartOfAnotherCount",
       [](FoldBench& bench) {
         bench.Apply(PublishPart{RecordId{"p"}, 0, 3, "a"});
         return bench.Apply(PublishPart{RecordId{"p"}, 1, 2, "b"});
       },
       "another count"},
      {"StaleFromPoolOfNewAddress",
       [](FoldBench& bench) {
         Publish publish{bench.State().version, {}};
         inventory::Vm vm = bench.State().inventory.vms.at(VmId{"vm-0"});
         publish.delta.vm_from_pools.emplace(vm.id, PoolId{"spare"});
         vm.address = "127.0.0.1:9999";
         publish.delta.vms.put.emplace(vm.id, vm);
         return bench.Apply(publish);
       },
       "the change was made when"},
      {"DanglingPool",
       [](FoldBench& bench) {
         return PublishOf(
             bench, [](auto& wanted) { wanted.vms.at(VmId{"vm-0"}).pool = PoolId{"nowhere"}; });
       },
       "names no pool"},
      {"PoolRemovedWithVms",
       [](FoldBench& bench) {
         return PublishOf(bench, [](auto& wanted) { wanted.pools.erase(PoolId{"spare"}); });
       },
       "names no pool"},
      {"RemovalOfUnknownVm",
       [](FoldBench& bench) {
         Publish publish{bench.State().version, {}};
         publish.delta.vms.removed.insert(VmId{"vm-77"});
         return bench.Apply(publish);
       },
       "isn't there"},
  };
}

std::vector<RejectCase> ClaimCases() {
  return {
      {"ClaimBelowBudget",
       [](FoldBench& bench) {
         bench.Claim("vm-0");
         bench.Claim("vm-1");
         return bench.Claim("vm-2");
       },
       "must keep 2"},
      {"ClaimBelowBudgetAfterFailures",
       [](FoldBench& bench) {
         bench.Observe(VmCondition::kFailed, {VmId{"vm-0"}, VmId{"vm-1"}});
         return bench.Claim("vm-2");
       },
       "must keep 2"},
      {"ClaimOfUnseenVmsPool",
       [](FoldBench& bench) {
         PublishOf(bench, [](auto& wanted) {
           inventory::Vm vm = wanted.vms.at(VmId{"vm-8"});
           vm.id.text = "vm-new";
           vm.address = "127.0.0.1:9990";
           wanted.vms.emplace(vm.id, vm);
           wanted.pools.at(PoolId{"spare"}).min_available = 2;
         });
         return bench.Claim("vm-8");
       },
       "must keep 2"},
      {"SecondStepOnVm",
       [](FoldBench& bench) {
         bench.Claim("vm-0");
         return bench.Claim("vm-0");
       },
       "is held by step"},
      {"StaleFromPool",
       [](FoldBench& bench) {
         return bench.Apply(StepClaimed{VmId{"vm-0"}, StepAction::kReboot, PoolId{"fleet"},
                                        std::nullopt, EntryId{"e1"}});
       },
       "not in \"fleet\""},
      {"UnknownVm",
       [](FoldBench& bench) {
         return bench.Apply(StepClaimed{VmId{"vm-77"}, StepAction::kReboot, PoolId{"fleet"},
                                        std::nullopt, EntryId{"e1"}});
       },
       "not in the inventory"},
      {"MoveToUnknownPool",
       [](FoldBench& bench) { return bench.Claim("vm-0", StepAction::kMove, PoolId{"nowhere"}); },
       "not in the inventory"},
      {"MoveToOwnPool",
       [](FoldBench& bench) { return bench.Claim("vm-0", StepAction::kMove, PoolId{"booking"}); },
       "already in"},
      {"MoveWithoutPool", [](FoldBench& bench) { return bench.Claim("vm-0", StepAction::kMove); },
       "needs a pool"},
      {"RetiredVm",
       [](FoldBench& bench) {
         const RecordId step = bench.Claim("vm-0", StepAction::kRetire).record;
         bench.Act(step);
         bench.Finish(step);
         return bench.Claim("vm-0");
       },
       "is over"},
      {"SecondVmOfRack",
       [](FoldBench& bench) {
         PublishOf(bench, [](auto& wanted) { wanted.vms.at(VmId{"vm-2"}).rack = RackId{"r0"}; });
         bench.Claim("vm-0");
         return bench.Claim("vm-2");
       },
       "the most allowed"},
  };
}

std::vector<RejectCase> PhaseCases() {
  return {
      {"ClaimRepeatedLongAfterItsStep",
       [](FoldBench& bench) {
         const RecordId step = bench.Claim("vm-0").record;
         const Record claim = bench.records.back();
         bench.Act(step);
         bench.Finish(step);
         for (std::size_t i = 0; i < kMaxRecentRecords; ++i) {
           bench.Apply(KeyWithdrawn{TestDigest("k")});
         }
         return bench.ApplyRecord(claim);
       },
       "is over"},
      {"ActAfterRackFailed",
       [](FoldBench& bench) {
         const RecordId step = bench.Claim("vm-0").record;
         bench.Observe(VmCondition::kFailed, {VmId{"vm-1"}, VmId{"vm-2"}});
         return bench.Act(step);
       },
       "undrain"},
      {"ActTwice",
       [](FoldBench& bench) {
         const RecordId step = bench.Claim("vm-0").record;
         bench.Act(step);
         return bench.Act(step);
       },
       "not draining"},
      {"ActByFormerExecutor",
       [](FoldBench& bench) {
         const RecordId step = bench.Claim("vm-0").record;
         bench.Apply(StepTakenOver{StepId{step.text}, EntryId{"e1"}, EntryId{"e2"}});
         return bench.Act(step);
       },
       "\"e2\"'s"},
      {"TakenOverByTwo",
       [](FoldBench& bench) {
         const StepId step{bench.Claim("vm-0").record.text};
         bench.Apply(StepTakenOver{step, EntryId{"e1"}, EntryId{"e2"}});
         return bench.Apply(StepTakenOver{step, EntryId{"e1"}, EntryId{"e3"}});
       },
       "by now"},
      {"DoneBeforeActing",
       [](FoldBench& bench) { return bench.Finish(bench.Claim("vm-0").record); }, "not acting"},
      {"DoneTwice",
       [](FoldBench& bench) {
         const RecordId step = bench.Claim("vm-0").record;
         bench.Act(step);
         bench.Finish(step);
         return bench.Finish(step);
       },
       "not acting"},
      {"WithdrawnWhileActing",
       [](FoldBench& bench) {
         const RecordId step = bench.Claim("vm-0").record;
         bench.Act(step);
         return bench.Apply(StepWithdrawn{StepId{step.text}, "late"});
       },
       "can't be withdrawn"},
  };
}

std::vector<RejectCase> KeyAndObservationCases() {
  return {
      {"WithdrawnKeyGivenAgain",
       [](FoldBench& bench) {
         bench.Apply(KeyGiven{TestDigest("k"), TeamId{"desk"}});
         bench.Apply(KeyWithdrawn{TestDigest("k")});
         return bench.Apply(KeyGiven{TestDigest("k"), TeamId{"desk"}});
       },
       "was withdrawn"},
      {"KeyWithdrawnBeforeGiven",
       [](FoldBench& bench) {
         bench.Apply(KeyWithdrawn{TestDigest("k")});
         return bench.Apply(KeyGiven{TestDigest("k"), TeamId{"desk"}});
       },
       "was withdrawn"},
      {"KeyOfAnotherTeam",
       [](FoldBench& bench) {
         bench.Apply(KeyGiven{TestDigest("k"), TeamId{"desk"}});
         return bench.Apply(KeyGiven{TestDigest("k"), TeamId{"shop"}});
       },
       "\"desk\"'s"},
      {"KeyOfUnknownTeam",
       [](FoldBench& bench) {
         return bench.Apply(KeyGiven{TestDigest("k"), TeamId{"nobody"}});
       },
       "not in the inventory"},
      {"KeyOfRemovedTeam",
       [](FoldBench& bench) {
         bench.Apply(KeyGiven{TestDigest("k"), TeamId{"shop"}});
         const inventory::Inventory before = bench.State().inventory;
         PublishOf(bench, [](auto& wanted) {
           wanted.teams.erase(TeamId{"shop"});
           wanted.services.at(ServiceId{"booking"}).teams.clear();
         });
         PublishOf(bench, [&before](auto& wanted) { wanted = before; });
         return bench.Apply(KeyGiven{TestDigest("k"), TeamId{"shop"}});
       },
       "was withdrawn"},
      {"ObservationOlderThanKnown",
       [](FoldBench& bench) {
         const WallTime early = bench.State().vm_status.at(VmId{"vm-0"}).observed_at;
         bench.Observe(VmCondition::kFailed, {VmId{"vm-0"}});
         return bench.Apply(VmsObserved{VmCondition::kAvailable, {VmId{"vm-0"}}, early});
       },
       "newer observations"},
      {"ObservationOfUnknownVm",
       [](FoldBench& bench) { return bench.Observe(VmCondition::kFailed, {VmId{"vm-77"}}); },
       "newer observations"},
  };
}

std::string CaseName(const testing::TestParamInfo<RejectCase>& info) { return info.param.name; }

INSTANTIATE_TEST_SUITE_P(RacingPublishes, FoldRejectTest, testing::ValuesIn(RacingPublishCases()),
                         CaseName);
INSTANTIATE_TEST_SUITE_P(BudgetPublishes, FoldRejectTest, testing::ValuesIn(BudgetPublishCases()),
                         CaseName);
INSTANTIATE_TEST_SUITE_P(ReferencePublishes, FoldRejectTest,
                         testing::ValuesIn(ReferencePublishCases()), CaseName);
INSTANTIATE_TEST_SUITE_P(Claims, FoldRejectTest, testing::ValuesIn(ClaimCases()), CaseName);
INSTANTIATE_TEST_SUITE_P(Phases, FoldRejectTest, testing::ValuesIn(PhaseCases()), CaseName);
INSTANTIATE_TEST_SUITE_P(Keys, FoldRejectTest, testing::ValuesIn(KeyAndObservationCases()),
                         CaseName);

}  // namespace
}  // namespace chervilspar::config_log
