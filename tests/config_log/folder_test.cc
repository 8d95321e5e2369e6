#include "chervilspar/config_log/folder.h"

#include <string>

#include <gtest/gtest.h>

#include "tests/config_log/fold_fixture.h"

namespace chervilspar::config_log {
namespace {

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

// A pool is two VMs short, and the operator lowers its budget by one, which is all that can be
// given up. Refusing it because one VM is still short would leave the pool two short.
TEST(FolderTest, PublishThatMakesAShortageSmallerPasses) {
  FoldBench bench;
  bench.Start([] {
    inventory::Inventory wanted = inventory::SampleInventory();
    wanted.pools.at(PoolId{"booking"}).min_available = 3;
    return wanted;
  }());
  bench.Observe(VmCondition::kFailed, {VmId{"vm-0"}, VmId{"vm-1"}, VmId{"vm-2"}});
  const FoldOutcome outcome =
      PublishOf(bench, [](auto& wanted) { wanted.pools.at(PoolId{"booking"}).min_available = 2; });
  EXPECT_EQ(outcome.verdict, FoldVerdict::kAccepted);
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

// An entry is taken off the list while its zone is cut off, and goes on using its part of the
// limits. An entry that starts later, from a snapshot, must know that it has to wait for it.
TEST(FolderTest, EntryTakenOffTheListIsRememberedUntilDeclaredGone) {
  FoldBench bench;
  bench.Start();
  const EntryId entry = bench.State().inventory.entries.begin()->first;
  EXPECT_EQ(bench.Apply(EntryGone{entry}).verdict, FoldVerdict::kRejected);
  PublishOf(bench, [&entry](auto& wanted) { wanted.entries.erase(entry); });
  EXPECT_TRUE(bench.State().former_entries.contains(entry));
  const Result<FleetState> read = DecodeState(EncodeState(bench.State()));
  ASSERT_TRUE(read);
  EXPECT_EQ(*read, bench.State());
  EXPECT_EQ(bench.Apply(EntryGone{entry}).verdict, FoldVerdict::kAccepted);
  EXPECT_FALSE(bench.State().former_entries.contains(entry));
  EXPECT_TRUE(bench.State().gone_entries.contains(entry));
  PublishOf(bench, [&entry](auto& wanted) {
    wanted.entries[entry] = inventory::SampleInventory().entries.at(entry);
  });
  EXPECT_TRUE(bench.State().former_entries.empty());
  EXPECT_TRUE(bench.State().gone_entries.empty());
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
