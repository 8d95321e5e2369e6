#include "chervilspar/config_log/log_follower.h"

#include <algorithm>
#include <string>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "tests/config_log/fold_fixture.h"

namespace chervilspar::config_log {
namespace {

using std::chrono::hours;
using std::chrono::minutes;
using std::chrono::seconds;

constexpr TimePoint kStart{hours(1000)};

/// The platform's log, with retention.
class FakeLog {
 public:
  void Append(const Record& record) { this->texts.push_back(EncodeRecord(record)); }
  void AppendText(std::string text) { this->texts.push_back(std::move(text)); }
  void Forget(Offset before) { this->first = std::max(this->first, before); }
  Offset End() const { return static_cast<Offset>(this->texts.size()); }

  ReadBatch Read(Offset from, Offset max) const {
    ReadBatch batch;
    batch.first = this->first;
    batch.end = this->End();
    for (Offset at = from; at < std::min(this->End(), from + max); ++at) {
      if (at >= this->first) {
        batch.records.push_back(LogRecord{at, this->texts[static_cast<std::size_t>(at)]});
      }
    }
    return batch;
  }

  /// One call of a follower, as the platform answers it.
  FollowUpdate Serve(LogFollower& follower, TimePoint now, Offset max = 100) const {
    const Offset from = follower.ReadFrom();
    if (from < this->first) {
      return follower.OnTooOld(this->first, this->End(), now);
    }
    return follower.OnBatch(this->Read(from, max), now);
  }

  void ServeUntilEnd(LogFollower& follower, TimePoint now) const {
    constexpr int kMaxCalls = 1000;
    for (int i = 0; i < kMaxCalls && !follower.HasReachedEnd(); ++i) {
      this->Serve(follower, now);
    }
  }

 private:
  std::vector<std::string> texts;
  Offset first = 0;
};

/// Fills a log with a started fleet and some changes.
FleetState Fill(FakeLog& log, int changes) {
  FoldBench bench;
  bench.Start();
  for (int i = 0; i < changes; ++i) {
    bench.Apply(KeyGiven{TestDigest("k" + std::to_string(i)), TeamId{"desk"}});
  }
  for (const Record& record : bench.records) {
    log.Append(record);
  }
  return bench.State();
}

LogFollower NewFollower(const char* name = "e1") {
  return LogFollower(EntryId{name}, SnapshotPolicy{}, kStart);
}

void AppendSnapshot(FakeLog& log, const FleetState& state, const std::string& id,
                    std::size_t leave_out = 0) {
  const auto records = MakeSnapshotRecords(RecordId{id}, EntryId{"e1"}, WallTime{}, state);
  for (std::size_t i = 0; i + leave_out < records.size(); ++i) {
    log.Append(records[i]);
  }
}

TEST(LogFollowerTest, FoldsTheLogToItsEnd) {
  FakeLog log;
  const FleetState expected = Fill(log, 10);
  LogFollower follower = NewFollower();
  EXPECT_FALSE(follower.HasReachedEnd());
  log.Serve(follower, kStart, 3);
  EXPECT_FALSE(follower.HasReachedEnd());
  log.ServeUntilEnd(follower, kStart);
  EXPECT_TRUE(follower.HasReachedEnd());
  EXPECT_EQ(*follower.State(), expected);
}

// An answer of the log is late and comes after a newer one, or comes twice. Folding its records
// again would take the entry back to what was in force minutes ago.
TEST(LogFollowerTest, OldBatchesChangeNothing) {
  FakeLog log;
  Fill(log, 10);
  LogFollower follower = NewFollower();
  const ReadBatch early = log.Read(0, 5);
  log.ServeUntilEnd(follower, kStart);
  const FleetState before = *follower.State();
  EXPECT_EQ(follower.OnBatch(early, kStart), FollowUpdate{});
  follower.OnTooOld(0, 2, kStart);
  EXPECT_EQ(*follower.State(), before);
  EXPECT_EQ(follower.ReadFrom(), before.next_offset);
}

// The platform keeps records for a limited time. An entry that starts later finds the first ones
// gone; without a snapshot it would know no team and refuse all work.
TEST(LogFollowerTest, StartsFromASnapshotWhenOlderRecordsAreGone) {
  FakeLog log;
  const FleetState early = Fill(log, 5);
  AppendSnapshot(log, early, "s1");
  log.Append(Record{RecordId{"late"}, EntryId{"e1"}, WallTime{},
                    KeyGiven{TestDigest("late"), TeamId{"shop"}}});
  log.Forget(early.next_offset);
  LogFollower follower = NewFollower();
  log.ServeUntilEnd(follower, kStart);
  ASSERT_TRUE(follower.HasReachedEnd());
  EXPECT_EQ(follower.State()->next_offset, log.End());
  EXPECT_TRUE(follower.State()->keys.contains(TestDigest("late")));
  EXPECT_TRUE(follower.State()->keys.contains(TestDigest("k0")));
}

// The entry that wrote a snapshot died half way. Taking the half for a whole would start others
// without some of the VMs or keys.
TEST(LogFollowerTest, HalfWrittenSnapshotIsPassedOver) {
  FoldBench bench;
  inventory::Inventory big = inventory::SampleInventory();
  for (int i = 0; i < 5000; ++i) {
    inventory::Team team{TeamId{"team-" + std::to_string(i)}, ClientAccountId{"counter"}, 1.0, 1,
                         false};
    big.teams.emplace(team.id, team);
  }
  bench.Start(big);
  FakeLog log;
  for (const Record& record : bench.records) {
    log.Append(record);
  }
  const FleetState state = bench.State();
  AppendSnapshot(log, state, "half", 1);
  ASSERT_GT(log.End(), state.next_offset) << "the snapshot must have more than one chunk";
  log.Forget(state.next_offset);
  LogFollower follower = NewFollower();
  for (int i = 0; i < 10; ++i) {
    log.Serve(follower, kStart);
  }
  EXPECT_FALSE(follower.HasReachedEnd());
  EXPECT_EQ(follower.State()->version, 0);
  EXPECT_EQ(follower.UnreadableRecords(), 0U);
  AppendSnapshot(log, state, "whole");
  log.ServeUntilEnd(follower, kStart);
  EXPECT_TRUE(follower.HasReachedEnd());
  EXPECT_EQ(follower.State()->inventory, big);
}

// Entries die one after the other while each writes a snapshot. What they leave behind must neither
// fill the memory of those that start later nor keep them from the whole snapshot that follows.
TEST(LogFollowerTest, ManyHalfWrittenSnapshotsGiveWay) {
  FakeLog log;
  const FleetState state = Fill(log, 5);
  constexpr int kHalves = 20;
  for (int i = 0; i < kHalves; ++i) {
    const SnapshotChunk half{RecordId{"half" + std::to_string(i)}, state.next_offset, 0, 2, "x"};
    log.Append(Record{RecordId{"c" + std::to_string(i)}, EntryId{"e1"}, WallTime{}, half});
  }
  AppendSnapshot(log, state, "whole");
  log.Forget(state.next_offset);
  LogFollower follower = NewFollower();
  log.ServeUntilEnd(follower, kStart);
  ASSERT_TRUE(follower.HasReachedEnd());
  EXPECT_EQ(follower.State()->version, 1);
}

// A snapshot stands in the log, but records that follow it are gone already. Starting from it would
// leave a hole in which a key was withdrawn.
TEST(LogFollowerTest, SnapshotFromBeforeTheKeptRecordsIsNotTaken) {
  FakeLog log;
  const FleetState early = Fill(log, 3);
  log.Append(Record{RecordId{"gone"}, EntryId{"e1"}, WallTime{}, KeyWithdrawn{TestDigest("k0")}});
  AppendSnapshot(log, early, "old");
  log.Forget(early.next_offset + 1);
  LogFollower follower = NewFollower();
  for (int i = 0; i < 10; ++i) {
    log.Serve(follower, kStart);
  }
  EXPECT_FALSE(follower.HasReachedEnd());
  EXPECT_TRUE(follower.State()->keys.empty());
}

// The zone is cut off from the platform, an entry in it is replaced and gets the state from its
// neighbour. It may serve with that, but must not think that it has read the log to the end.
TEST(LogFollowerTest, PeerStateIsTakenInAnOutage) {
  FakeLog log;
  const FleetState state = Fill(log, 10);
  LogFollower follower = NewFollower();
  EXPECT_TRUE(follower.OnPeerState(state, kStart).replaced);
  EXPECT_FALSE(follower.HasReachedEnd());
  EXPECT_EQ(*follower.State(), state);
  log.ServeUntilEnd(follower, kStart);
  EXPECT_TRUE(follower.HasReachedEnd());
}

// A peer that was cut off for an hour hands over what it has. Taking it would put an old
// configuration in force again.
TEST(LogFollowerTest, OlderPeerStateIsNotTaken) {
  FakeLog log;
  Fill(log, 10);
  LogFollower follower = NewFollower();
  log.ServeUntilEnd(follower, kStart);
  const FleetState before = *follower.State();
  FakeLog older;
  EXPECT_FALSE(follower.OnPeerState(Fill(older, 3), kStart).changed);
  EXPECT_EQ(*follower.State(), before);
}

TEST(LogFollowerTest, PeersRecordsCarryOn) {
  FakeLog log;
  const FleetState expected = Fill(log, 10);
  LogFollower ahead = NewFollower("e1");
  log.ServeUntilEnd(ahead, kStart);
  LogFollower behind = NewFollower("e2");
  log.Serve(behind, kStart, 4);
  ReadBatch batch;
  batch.source = BatchSource::kPeer;
  batch.records = ahead.TailFrom(behind.ReadFrom());
  batch.end = ahead.ReadFrom();
  behind.OnBatch(batch, kStart);
  EXPECT_EQ(*behind.State(), expected);
  EXPECT_FALSE(behind.HasReachedEnd());
}

// Records that an entry has not read are no longer kept, so that it looks for a snapshot; meanwhile
// a peer hands it the records, and then some that are newer than the snapshot it finds. Taking the
// snapshot would go back, and an entry that stops instead takes its callers' requests with it.
TEST(LogFollowerTest, SnapshotOlderThanAPeersRecordsIsNotTaken) {
  FakeLog log;
  const FleetState early = Fill(log, 10);
  LogFollower follower = NewFollower();
  const ReadBatch all = log.Read(0, 100);
  follower.OnBatch(log.Read(0, 3), kStart);
  AppendSnapshot(log, early, "s1");
  log.Append(Record{RecordId{"late"}, EntryId{"e1"}, WallTime{}, KeyWithdrawn{TestDigest("k0")}});
  log.Forget(early.next_offset);
  log.Serve(follower, kStart);
  ReadBatch peer = log.Read(early.next_offset, 100);
  peer.source = BatchSource::kPeer;
  peer.records.insert(peer.records.begin(), all.records.begin(), all.records.end());
  follower.OnBatch(peer, kStart);
  const FleetState newest = *follower.State();
  EXPECT_TRUE(newest.withdrawn.contains(TestDigest("k0")));
  log.ServeUntilEnd(follower, kStart);
  EXPECT_EQ(*follower.State(), newest);
  EXPECT_TRUE(follower.HasReachedEnd());
}

TEST(LogFollowerTest, RecordsKeptForPeersAreBounded) {
  FakeLog log;
  Fill(log, 3000);
  LogFollower follower = NewFollower();
  log.ServeUntilEnd(follower, kStart);
  EXPECT_TRUE(follower.TailFrom(0).empty());
  EXPECT_EQ(follower.TailFrom(log.End() - 10).size(), 10U);
}

TEST(LogFollowerTest, PeersRecordsAfterAGapChangeNothing) {
  FakeLog log;
  Fill(log, 10);
  LogFollower ahead = NewFollower("e1");
  log.ServeUntilEnd(ahead, kStart);
  LogFollower behind = NewFollower("e2");
  ReadBatch batch;
  batch.source = BatchSource::kPeer;
  batch.first = 5;
  batch.records = ahead.TailFrom(5);
  batch.end = ahead.ReadFrom();
  behind.OnBatch(batch, kStart);
  EXPECT_EQ(behind.ReadFrom(), 0);
}

// A record from a newer program and a damaged one stand in the log. They are counted, for an alarm,
// and what follows them is folded.
TEST(LogFollowerTest, UnreadableRecordsAreCountedAndPassedOver) {
  FakeLog log;
  log.AppendText("?");
  log.AppendText(R"({"v":2})");
  Fill(log, 2);
  LogFollower follower = NewFollower();
  log.ServeUntilEnd(follower, kStart);
  EXPECT_EQ(follower.UnreadableRecords(), 2U);
  EXPECT_EQ(follower.State()->version, 1);
}

struct DueCase {
  std::string name;
  int records;
  Duration later;
  bool is_due;
};

class SnapshotDueTest : public testing::TestWithParam<DueCase> {};

TEST_P(SnapshotDueTest, ComesWithRecordsOrTime) {
  FakeLog log;
  Fill(log, GetParam().records);
  SnapshotPolicy policy;
  policy.max_records = 100;
  LogFollower follower(EntryId{"e1"}, policy, kStart);
  log.ServeUntilEnd(follower, kStart);
  EXPECT_EQ(follower.IsSnapshotDue(kStart + GetParam().later), GetParam().is_due);
}

INSTANTIATE_TEST_SUITE_P(Cases, SnapshotDueTest,
                         testing::Values(DueCase{"Fresh", 10, seconds(0), false},
                                         DueCase{"ManyRecords", 200, seconds(0), true},
                                         DueCase{"LongTime", 10, hours(1) + minutes(1), true}),
                         [](const auto& info) { return info.param.name; });

// All entries notice at the same moment that a snapshot is due. Without turns, nine would write the
// same megabytes; once one is seen whole the others must leave it.
TEST(LogFollowerTest, SnapshotOfAnotherEntryIsEnough) {
  FakeLog log;
  const FleetState state = Fill(log, 10);
  LogFollower follower = NewFollower();
  log.ServeUntilEnd(follower, kStart);
  const TimePoint later = kStart + hours(2);
  ASSERT_TRUE(follower.IsSnapshotDue(later));
  AppendSnapshot(log, state, "s1");
  log.Serve(follower, later);
  EXPECT_FALSE(follower.IsSnapshotDue(later + minutes(1)));
}

TEST(LogFollowerTest, OwnSnapshotIsNotWrittenTwiceAtOnce) {
  FakeLog log;
  Fill(log, 10);
  LogFollower follower = NewFollower();
  log.ServeUntilEnd(follower, kStart);
  const TimePoint later = kStart + hours(2);
  follower.OnSnapshotWritten(later);
  EXPECT_FALSE(follower.IsSnapshotDue(later + seconds(10)));
  EXPECT_TRUE(follower.IsSnapshotDue(later + minutes(2)));
}

// Entries are replaced every half hour. Were each to wait an hour from its own start, none would
// ever write a snapshot, and the records would run out.
TEST(LogFollowerTest, EntriesThatLiveShortStillWriteSnapshots) {
  FakeLog log;
  Fill(log, 10);
  int due = 0;
  for (const char* name : {"a1", "a2", "a3", "b1", "b2", "b3", "c1", "c2", "c3"}) {
    LogFollower follower = NewFollower(name);
    log.ServeUntilEnd(follower, kStart);
    EXPECT_FALSE(follower.IsSnapshotDue(kStart));
    due += follower.IsSnapshotDue(kStart + minutes(30)) ? 1 : 0;
  }
  EXPECT_GE(due, 1);
  EXPECT_LT(due, 9);
}

// An entry that knows nothing yet must not write what it knows.
TEST(LogFollowerTest, EntryThatHasNotReadToTheEndWritesNoSnapshot) {
  FakeLog log;
  Fill(log, 10);
  LogFollower follower = NewFollower();
  log.Serve(follower, kStart, 5);
  EXPECT_FALSE(follower.IsSnapshotDue(kStart + hours(100)));
}

// Retention, outages, late answers, peers ahead and behind, in any order: every entry that reaches
// the end has the same state, and none ever goes back.
RC_GTEST_PROP(LogFollowerProperty, NeverGoesBackAndAgreesAtTheEnd, ()) {
  FakeLog log;
  FoldBench bench;
  bench.Start();
  for (const Record& record : bench.records) {
    log.Append(record);
  }
  Folder truth(bench.State());
  LogFollower first = NewFollower("e1");
  LogFollower second = NewFollower("e2");
  std::vector<ReadBatch> late;
  const int steps = *rc::gen::inRange(1, 60);
  for (int i = 0; i < steps; ++i) {
    LogFollower& follower = *rc::gen::arbitrary<bool>() ? first : second;
    LogFollower& other = &follower == &first ? second : first;
    const Offset before = follower.State()->next_offset;
    const std::string id = "x" + std::to_string(i);
    switch (*rc::gen::inRange(0, 7)) {
      case 0:
      case 1: {
        const Record record{RecordId{id}, EntryId{"e1"}, WallTime{},
                            KeyGiven{TestDigest(id), TeamId{"desk"}}};
        log.Append(record);
        truth.Fold(record);
        break;
      }
      case 2: {
        const FleetState state = truth.State();
        for (const Record& record :
             MakeSnapshotRecords(RecordId{id}, EntryId{"e1"}, WallTime{}, state)) {
          log.Append(record);
          truth.Fold(record);
        }
        log.Forget(*rc::gen::inRange<Offset>(0, state.next_offset + 1));
        break;
      }
      case 3:
        late.push_back(log.Read(follower.ReadFrom(), *rc::gen::inRange<Offset>(0, 5)));
        break;
      case 4:
        if (!late.empty()) {
          follower.OnBatch(late[*rc::gen::inRange<std::size_t>(0, late.size())], kStart);
        }
        break;
      case 5:
        follower.OnPeerState(*other.State(), kStart);
        break;
      default:
        log.Serve(follower, kStart, *rc::gen::inRange<Offset>(1, 5));
        break;
    }
    RC_ASSERT(follower.State()->next_offset >= before);
  }
  for (LogFollower* follower : {&first, &second}) {
    for (int i = 0; i < 200; ++i) {
      log.Serve(*follower, kStart);
    }
    RC_ASSERT(follower->HasReachedEnd());
    RC_ASSERT(*follower->State() == truth.State());
  }
}

}  // namespace
}  // namespace chervilspar::config_log
