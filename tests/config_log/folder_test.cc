#include "chervilspar/config_log/folder.h"

#include <functional>
#include <string>

#include <gtest/gtest.h>

#include "tests/config_log/fold_fixture.h"

namespace chervilspar::config_log {
namespace {

struct RejectCase {
  std::string name;
  /// Brings the state about, and folds the record that must be rejected.
  std::function<FoldOutcome(FoldBench&)> run;
  std::string reason_part;
};

FoldOutcome PublishOf(FoldBench& bench, const std::function<void(inventory::Inventory&)>& change) {
  inventory::Inventory wanted = bench.State().inventory;
  change(wanted);
  return bench.Apply(
      Publish{bench.State().version, inventory::Diff(bench.State().inventory, wanted)});
}

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

TEST(FolderTest, StepsTakeVmsFromTheirPoolsAndGiveThemBack) {
  FoldBench bench;
  bench.Start();
  EXPECT_EQ(bench.Available("booking"), 4U);
  const RecordId step = bench.Claim("vm-0", StepAction::kMove, PoolId{"fleet"}).record;
  EXPECT_EQ(bench.Available("booking"), 3U);
  bench.Act(step);
  bench.Finish(step);
  EXPECT_EQ(bench.Available("booking"), 3U);
  EXPECT_EQ(bench.Available("fleet"), 5U);
  EXPECT_EQ(bench.State().inventory.vms.at(VmId{"vm-0"}).pool, PoolId{"fleet"});
  EXPECT_TRUE(bench.State().steps.empty());
}

// A rack has failed and its pool is below the budget. Repairing the failed VMs is the way out, so
// the budget must not stand in the way of steps on VMs that serve nothing.
TEST(FolderTest, FailedVmMayBeRepairedBelowTheBudget) {
  FoldBench bench;
  bench.Start();
  bench.Observe(VmCondition::kFailed, {VmId{"vm-0"}, VmId{"vm-1"}, VmId{"vm-2"}});
  const FoldOutcome claim = bench.Claim("vm-0");
  EXPECT_EQ(claim.verdict, FoldVerdict::kAccepted);
  EXPECT_EQ(bench.Act(claim.record).verdict, FoldVerdict::kAccepted);
  EXPECT_EQ(bench.Finish(claim.record).verdict, FoldVerdict::kAccepted);
  EXPECT_EQ(bench.Available("booking"), 2U);
}

// While a pool is short after a failure, operators must still be able to change a team's share; a
// fold that judged the whole inventory would lock them out until the rack is back.
TEST(FolderTest, PublishPassesWhilePoolIsShortForAnotherReason) {
  FoldBench bench;
  bench.Start();
  bench.Observe(VmCondition::kFailed, {VmId{"vm-0"}, VmId{"vm-1"}, VmId{"vm-2"}});
  const FoldOutcome outcome =
      PublishOf(bench, [](auto& wanted) { wanted.teams.at(TeamId{"desk"}).share = 3.0; });
  EXPECT_EQ(outcome.verdict, FoldVerdict::kAccepted);
  EXPECT_EQ(outcome.version, 2);
}

// The answer to an accepted publish is lost and the publish is appended again. Without the memory
// of ids its author would be told of a conflict with its own first copy.
TEST(FolderTest, RepeatedAppendIsADuplicateAndNotAConflict) {
  FoldBench bench;
  bench.Start();
  const Record publish = bench.records.front();
  EXPECT_EQ(bench.ApplyRecord(publish).verdict, FoldVerdict::kDuplicate);
}

// A publish is rejected, its append is repeated, and meanwhile the reason has gone. Taking the copy
// would put in force what its author was told is not.
TEST(FolderTest, RepeatOfARejectedRecordStaysOut) {
  FoldBench bench;
  bench.Start();
  const Record late{RecordId{"late"}, EntryId{"e2"}, WallTime{},
                    KeyGiven{TestDigest("k"), TeamId{"new"}}};
  EXPECT_EQ(bench.ApplyRecord(late).verdict, FoldVerdict::kRejected);
  PublishOf(bench, [](auto& wanted) {
    wanted.teams[TeamId{"new"}] =
        inventory::Team{TeamId{"new"}, ClientAccountId{"counter"}, 1.0, 1, false};
  });
  EXPECT_EQ(bench.ApplyRecord(late).verdict, FoldVerdict::kDuplicate);
  EXPECT_TRUE(bench.State().keys.empty());
}

TEST(FolderTest, MemoryOfIdsIsBounded) {
  FoldBench bench;
  for (std::size_t i = 0; i < kMaxRecentRecords + 100; ++i) {
    bench.Apply(KeyWithdrawn{TestDigest("k")});
  }
  EXPECT_EQ(bench.State().recent_records.size(), kMaxRecentRecords);
}

// Authors that die between the parts of a large publish leave parts behind. Kept for good, they
// would fill the memory of every entry.
TEST(FolderTest, UnfinishedPublishesGiveWay) {
  FoldBench bench;
  for (std::size_t i = 0; i < kMaxPendingPublishes + 3; ++i) {
    bench.Apply(PublishPart{RecordId{"p" + std::to_string(i)}, 0, 2, "x"});
  }
  EXPECT_EQ(bench.State().pending_publishes.size(), kMaxPendingPublishes);
  EXPECT_FALSE(bench.State().pending_publishes.contains(RecordId{"p0"}));
}

TEST(FolderTest, PublishInPartsIsDecidedByItsLastPart) {
  inventory::Inventory wanted = inventory::SampleInventory();
  for (int i = 0; i < 6000; ++i) {
    inventory::Team team{TeamId{"team-" + std::to_string(i)}, ClientAccountId{"counter"}, 1.0, 1,
                         false};
    wanted.teams.emplace(team.id, team);
  }
  FoldBench bench;
  const Result<std::vector<Record>> parts = MakePublishRecords(
      RecordId{"big"}, EntryId{"e1"}, WallTime{}, MakePublish(bench.State(), wanted));
  ASSERT_TRUE(parts);
  ASSERT_GT(parts->size(), 1U);
  FoldOutcome last;
  for (const Record& part : *parts) {
    EXPECT_EQ(bench.State().version, 0);
    const Result<Record> read = DecodeRecord(EncodeRecord(part));
    ASSERT_TRUE(read);
    last = bench.ApplyRecord(*read);
  }
  EXPECT_EQ(last.verdict, FoldVerdict::kAccepted);
  EXPECT_EQ(last.record, RecordId{"big"});
  EXPECT_EQ(bench.State().inventory, wanted);
}

// A part was cut off on its way. The set is whole and still no publish; it must be dropped, with
// its author told, and must not stay behind.
TEST(FolderTest, PartsThatGiveNoPublishAreRejected) {
  FoldBench bench;
  bench.Apply(PublishPart{RecordId{"p"}, 0, 2, "{\"base\":"});
  const FoldOutcome outcome = bench.Apply(PublishPart{RecordId{"p"}, 1, 2, "?"});
  EXPECT_EQ(outcome.verdict, FoldVerdict::kRejected);
  EXPECT_EQ(outcome.record, RecordId{"p"});
  EXPECT_EQ(bench.State().version, 0);
  EXPECT_TRUE(bench.State().pending_publishes.empty());
}

// An operator edits a copy of the inventory that was made before the system moved a VM. Published
// as it stands, the copy would take the VM back without a drain.
TEST(FolderTest, OlderCopyOfTheInventoryDoesNotUndoAMove) {
  FoldBench bench;
  bench.Start();
  inventory::Inventory copy = bench.State().inventory;
  const RecordId step = bench.Claim("vm-0", StepAction::kMove, PoolId{"fleet"}).record;
  bench.Act(step);
  bench.Finish(step);
  for (const std::uint32_t cores : {32U, 16U}) {
    copy.vms.at(VmId{"vm-0"}).cores = cores;
    EXPECT_EQ(bench.Apply(MakePublish(bench.State(), copy)).verdict, FoldVerdict::kAccepted);
    EXPECT_EQ(bench.State().inventory.vms.at(VmId{"vm-0"}).pool, PoolId{"fleet"});
    EXPECT_EQ(bench.State().inventory.vms.at(VmId{"vm-0"}).cores, cores);
  }
  copy.vms.at(VmId{"vm-0"}).pool = PoolId{"spare"};
  EXPECT_EQ(bench.Apply(MakePublish(bench.State(), copy)).verdict, FoldVerdict::kAccepted);
  EXPECT_EQ(bench.State().inventory.vms.at(VmId{"vm-0"}).pool, PoolId{"spare"});
}

TEST(FolderTest, RemovedTeamsKeysStop) {
  FoldBench bench;
  bench.Start();
  bench.Apply(KeyGiven{TestDigest("k"), TeamId{"shop"}});
  PublishOf(bench, [](auto& wanted) {
    wanted.teams.erase(TeamId{"shop"});
    wanted.services.at(ServiceId{"booking"}).teams.clear();
  });
  EXPECT_TRUE(bench.State().keys.empty());
  EXPECT_TRUE(bench.State().withdrawn.contains(TestDigest("k")));
}

// A newer program writes a record that this one doesn't know. It must be passed over by all alike
// and must not keep the entry from reading on.
TEST(FolderTest, UnreadableTextIsPassedOver) {
  FoldBench bench;
  bench.Start();
  FleetState before = bench.State();
  const FoldOutcome outcome = bench.folder.FoldText(R"({"v":9,"id":"x"})");
  EXPECT_EQ(outcome.verdict, FoldVerdict::kUnreadable);
  ++before.next_offset;
  EXPECT_EQ(bench.State(), before);
}

}  // namespace
}  // namespace chervilspar::config_log
