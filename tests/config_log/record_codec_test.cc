#include "chervilspar/config_log/record_codec.h"

#include <string>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "tests/config_log/fold_fixture.h"

namespace chervilspar::config_log {
namespace {

std::vector<RecordBody> OneOfEach() {
  Publish publish = MakePublish(FleetState{}, inventory::SampleInventory());
  publish.delta.move = inventory::MoveChange{};
  publish.delta.vms.removed.insert(VmId{"vm-77"});
  publish.delta.vm_from_pools.emplace(VmId{"vm-0"}, PoolId{"spare"});
  return {publish,
          PublishPart{RecordId{"p"}, 1, 3, "{\"ä\":\"\\\""},
          KeyGiven{TestDigest("k"), TeamId{"desk"}},
          KeyWithdrawn{TestDigest("k")},
          VmsObserved{VmCondition::kLeaving, {VmId{"vm-0"}, VmId{"vm-1"}}, WallTime(Duration(5))},
          StepClaimed{VmId{"vm-0"}, StepAction::kMove, PoolId{"a"}, PoolId{"b"}, EntryId{"e1"}},
          StepClaimed{VmId{"vm-0"}, StepAction::kRetire, PoolId{"a"}, std::nullopt, EntryId{"e1"}},
          StepActing{StepId{"s"}, EntryId{"e1"}},
          StepTakenOver{StepId{"s"}, EntryId{"e1"}, EntryId{"e2"}},
          StepDone{StepId{"s"}, StepResult::kVmFailed},
          StepWithdrawn{StepId{"s"}, "no room"},
          SnapshotChunk{RecordId{"n"}, 17, 0, 2, "text"},
          EntryGone{EntryId{"e3"}}};
}

class RecordCodecTest : public testing::TestWithParam<RecordBody> {};

TEST_P(RecordCodecTest, ReadsBackWhatItWrites) {
  const Record record{RecordId{"r1"}, EntryId{"e1"}, WallTime(Duration(123456789)), GetParam()};
  const Result<Record> read = DecodeRecord(EncodeRecord(record));
  ASSERT_TRUE(read) << ToString(read.LastReason());
  EXPECT_EQ(*read, record);
}

// A record reaches the log damaged, or from a program with a fault. If reading it crashed an entry,
// every entry would crash on it, again after each restart, and nothing would be served.
TEST_P(RecordCodecTest, TruncationIsAReasonAndNotACrash) {
  const std::string text =
      EncodeRecord(Record{RecordId{"r1"}, EntryId{"e1"}, WallTime{}, GetParam()});
  for (std::size_t size = 0; size < text.size(); size += 1 + text.size() / 200) {
    EXPECT_FALSE(DecodeRecord(text.substr(0, size)));
  }
}

INSTANTIATE_TEST_SUITE_P(Bodies, RecordCodecTest, testing::ValuesIn(OneOfEach()),
                         [](const testing::TestParamInfo<RecordBody>& info) {
                           std::string name = std::to_string(info.index);
                           for (const char c : std::string(TypeName(info.param))) {
                             name += c == '-' ? '_' : c;
                           }
                           return name;
                         });

struct BrokenCase {
  std::string name;
  std::string text;
  std::string reason_part;
};

class BrokenRecordTest : public testing::TestWithParam<BrokenCase> {};

// During a roll-out, entries of two versions read the same log; what one doesn't know it must pass
// over with a reason that an operator understands.
TEST_P(BrokenRecordTest, GivesAReason) {
  const Result<Record> read = DecodeRecord(GetParam().text);
  ASSERT_FALSE(read);
  EXPECT_EQ(read.LastReason().code, ErrorCode::kMalformed);
  EXPECT_NE(read.LastReason().message.find(GetParam().reason_part), std::string::npos)
      << read.LastReason().message;
}

INSTANTIATE_TEST_SUITE_P(
    Cases, BrokenRecordTest,
    testing::Values(
        BrokenCase{"NoJson", "garbage", "broken JSON"}, BrokenCase{"Empty", "", "broken JSON"},
        BrokenCase{"List", "[]", "version 0"},
        BrokenCase{"OtherVersion", R"({"v":2,"id":"a"})", "version 2"},
        BrokenCase{"TextVersion", R"({"v":"1"})", "version"},
        BrokenCase{"NoId", R"({"v":1,"author":"e","at":1,"type":"step-done","body":{}})", "id"},
        BrokenCase{"EmptyId", R"({"v":1,"id":"","author":"e","at":1,"type":"x","body":{}})", "id"},
        BrokenCase{"NegativeTime",
                   R"({"v":1,"id":"a","author":"e","at":-1,"type":"step-done","body":{}})", "time"},
        BrokenCase{"UnknownType",
                   R"({"v":1,"id":"a","author":"e","at":1,"type":"step-begun","body":{}})",
                   "step-begun"},
        BrokenCase{"BodyIsText",
                   R"({"v":1,"id":"a","author":"e","at":1,"type":"step-done","body":"x"})",
                   "body of the step-done"},
        BrokenCase{"PartIndexTooLarge",
                   R"({"v":1,"id":"a","author":"e","at":1,"type":"publish-part",)"
                   R"("body":{"publish":"p","index":2,"count":2,"text":""}})",
                   "body of the publish-part"},
        BrokenCase{"PartCountTooLarge",
                   R"({"v":1,"id":"a","author":"e","at":1,"type":"publish-part",)"
                   R"("body":{"publish":"p","index":0,"count":4000000000,"text":""}})",
                   "body of the publish-part"},
        BrokenCase{"DigestInUpperCase",
                   R"({"v":1,"id":"a","author":"e","at":1,"type":"key-withdrawn",)"
                   R"("body":{"digest":"ABCD"}})",
                   "body of the key-withdrawn"}),
    [](const testing::TestParamInfo<BrokenCase>& info) { return info.param.name; });

// The same bytes with one of them changed, as a broken disk or a wrong edit gives them.
RC_GTEST_PROP(RecordCodecProperty, DamagedRecordsNeverCrash, ()) {
  const std::vector<RecordBody> bodies = OneOfEach();
  const auto which = *rc::gen::inRange<std::size_t>(0, bodies.size());
  std::string text = EncodeRecord(Record{RecordId{"r1"}, EntryId{"e1"}, WallTime{}, bodies[which]});
  const auto edits = *rc::gen::inRange(1, 6);
  for (int i = 0; i < edits; ++i) {
    text[*rc::gen::inRange<std::size_t>(0, text.size())] = *rc::gen::arbitrary<char>();
  }
  Folder folder;
  const FoldOutcome outcome = folder.FoldText(text);
  RC_ASSERT(outcome.offset == 0);
  RC_ASSERT(folder.State().next_offset == 1);
}

FleetState FullState() {
  FoldBench bench;
  bench.Start();
  bench.Apply(KeyGiven{TestDigest("k"), TeamId{"desk"}});
  bench.Apply(KeyWithdrawn{TestDigest("gone")});
  bench.Apply(PublishPart{RecordId{"p"}, 1, 3, "{\"a\":\"b\\\"c"});
  const RecordId moved = bench.Claim("vm-0", StepAction::kMove, PoolId{"fleet"}).record;
  bench.Act(moved);
  bench.Finish(moved);
  const RecordId retired = bench.Claim("vm-4", StepAction::kRetire).record;
  bench.Act(retired);
  bench.Finish(retired);
  bench.Act(bench.Claim("vm-5").record);
  bench.Claim("vm-8", StepAction::kMove, PoolId{"booking"});
  return bench.State();
}

TEST(StateCodecTest, ReadsBackWhatItWrites) {
  const FleetState state = FullState();
  const Result<FleetState> read = DecodeState(EncodeState(state));
  ASSERT_TRUE(read) << ToString(read.LastReason());
  EXPECT_EQ(*read, state);
}

// A peer hands over a state in which a VM is held by a step that isn't there, because of a fault or
// damage on the way. Taken, it would trip the entry's own assertions later on.
TEST(StateCodecTest, InconsistentStateIsRefused) {
  FleetState state = FullState();
  state.steps.clear();
  EXPECT_FALSE(DecodeState(EncodeState(state)));
  state = FullState();
  state.vm_status.erase(VmId{"vm-1"});
  EXPECT_FALSE(DecodeState(EncodeState(state)));
  state = FullState();
  for (auto& [id, step] : state.steps) {
    step.to_pool = PoolId{"nowhere"};
  }
  EXPECT_FALSE(DecodeState(EncodeState(state)));
}

RC_GTEST_PROP(StateCodecProperty, DamagedStatesNeverCrash, ()) {
  static const std::string kText = EncodeState(FullState());
  std::string text = kText;
  const auto edits = *rc::gen::inRange(1, 6);
  for (int i = 0; i < edits; ++i) {
    text[*rc::gen::inRange<std::size_t>(0, text.size())] = *rc::gen::inRange<char>(32, 126);
  }
  const Result<FleetState> read = DecodeState(text);
  if (read) {
    Folder folder{FleetState(*read)};
    folder.Fold(Record{RecordId{"new"}, EntryId{"e1"}, WallTime{}, KeyWithdrawn{TestDigest("z")}});
  }
}

}  // namespace
}  // namespace chervilspar::config_log
