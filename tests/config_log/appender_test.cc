#include "chervilspar/config_log/appender.h"

#include <string>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "tests/config_log/fold_fixture.h"

namespace chervilspar::config_log {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kStart{seconds(100)};

Record KeyRecord(const std::string& id) {
  return Record{RecordId{id}, EntryId{"e1"}, WallTime{}, KeyWithdrawn{TestDigest(id)}};
}

FoldOutcome Outcome(const std::string& record, FoldVerdict verdict) {
  FoldOutcome outcome;
  outcome.offset = 7;
  outcome.verdict = verdict;
  outcome.record.text = record;
  return outcome;
}

// The platform takes an append and its answer is lost. Not repeating it could lose the record,
// taking the loss for failure would tell an operator that a publish isn't in force when it is.
TEST(AppenderTest, LostAnswerIsRepeatedAndSettledByReadingBack) {
  Appender appender{AppendPolicy{}};
  SeededRandom random(1);
  AppendActions actions =
      appender.Submit(RecordId{"a"}, {KeyRecord("a")}, kStart + seconds(30), kStart);
  ASSERT_EQ(actions.send.size(), 1U);
  appender.OnFailure(RecordId{"a"}, kStart + milliseconds(10), random);
  EXPECT_TRUE(appender.OnTick(kStart + milliseconds(11)).send.empty());
  EXPECT_EQ(appender.OnTick(kStart + seconds(1)).send.size(), 1U);
  actions = appender.OnFolded(Outcome("a", FoldVerdict::kAccepted), kStart + seconds(2));
  ASSERT_EQ(actions.finished.size(), 1U);
  EXPECT_EQ(actions.finished[0].result, AppendResult::kAccepted);
  EXPECT_EQ(actions.finished[0].offset, 7);
  EXPECT_EQ(appender.Waiting(), 0U);
}

TEST(AppenderTest, AnswerThatNeverComesCountsAsLost) {
  Appender appender{AppendPolicy{}};
  appender.Submit(RecordId{"a"}, {KeyRecord("a")}, kStart + seconds(30), kStart);
  EXPECT_TRUE(appender.OnTick(kStart + seconds(1)).send.empty());
  EXPECT_EQ(appender.OnTick(kStart + seconds(2)).send.size(), 1U);
}

TEST(AppenderTest, AnsweredAppendIsNotRepeated) {
  Appender appender{AppendPolicy{}};
  appender.Submit(RecordId{"a"}, {KeyRecord("a")}, kStart + seconds(30), kStart);
  appender.OnAnswer(RecordId{"a"}, 7);
  EXPECT_TRUE(appender.OnTick(kStart + seconds(10)).send.empty());
  EXPECT_EQ(appender.Waiting(), 1U);
}

struct EndCase {
  std::string name;
  std::vector<FoldOutcome> outcomes;
  AppendResult expected;
};

class AppenderEndTest : public testing::TestWithParam<EndCase> {};

TEST_P(AppenderEndTest, NamesWhatIsKnown) {
  Appender appender{AppendPolicy{}};
  appender.Submit(RecordId{"a"}, {KeyRecord("a.0"), KeyRecord("a.1")}, kStart + seconds(30),
                  kStart);
  std::vector<AppendOutcome> finished;
  for (const FoldOutcome& outcome : GetParam().outcomes) {
    for (const AppendOutcome& end : appender.OnFolded(outcome, kStart).finished) {
      finished.push_back(end);
    }
  }
  for (const AppendOutcome& end : appender.OnTick(kStart + seconds(30)).finished) {
    finished.push_back(end);
  }
  ASSERT_EQ(finished.size(), 1U);
  EXPECT_EQ(finished[0].record, RecordId{"a"});
  EXPECT_EQ(finished[0].result, GetParam().expected);
}

INSTANTIATE_TEST_SUITE_P(
    Cases, AppenderEndTest,
    testing::Values(
        EndCase{"WholePublish",
                {Outcome("a.0", FoldVerdict::kPassedOver), Outcome("a", FoldVerdict::kAccepted)},
                AppendResult::kAccepted},
        EndCase{"RejectedPublish",
                {Outcome("a.0", FoldVerdict::kPassedOver), Outcome("a", FoldVerdict::kRejected)},
                AppendResult::kRejected},
        EndCase{"RejectedPart", {Outcome("a.0", FoldVerdict::kRejected)}, AppendResult::kRejected},
        EndCase{"NothingReadBack", {}, AppendResult::kUnknown},
        EndCase{"OnlyARepeatReadBack",
                {Outcome("a.1", FoldVerdict::kDuplicate)},
                AppendResult::kUnknown},
        EndCase{
            "SomebodyElsesRecord", {Outcome("b", FoldVerdict::kAccepted)}, AppendResult::kUnknown}),
    [](const testing::TestParamInfo<EndCase>& info) { return info.param.name; });

// During an outage everything waits. When the log is back, all entries' backlog at once would take
// more than the several hundred appends a second that it can, and the outage would go on.
TEST(AppenderTest, BacklogGoesOutAtTheBudgetedRate) {
  AppendPolicy policy;
  policy.rate_per_second = 10;
  policy.burst = 5;
  Appender appender{policy};
  std::size_t sent = 0;
  for (int i = 0; i < 100; ++i) {
    const std::string id = "r" + std::to_string(i);
    sent +=
        appender.Submit(RecordId{id}, {KeyRecord(id)}, kStart + seconds(600), kStart).send.size();
  }
  EXPECT_EQ(sent, 5U);
  for (int i = 1; i <= 10; ++i) {
    for (const Record& record : appender.OnTick(kStart + milliseconds(100 * i)).send) {
      appender.OnAnswer(record.id, 0);
      ++sent;
    }
  }
  EXPECT_EQ(sent, 15U);
}

// A record that was never handed over can't take effect, and whoever waits may be told so. Saying
// "unknown" would keep an operator from trying again for no reason.
TEST(AppenderTest, NeverSentIsNotAppended) {
  AppendPolicy policy;
  policy.burst = 1;
  policy.rate_per_second = 0.001;
  Appender appender{policy};
  appender.Submit(RecordId{"a"}, {KeyRecord("a")}, kStart + seconds(1), kStart);
  appender.Submit(RecordId{"b"}, {KeyRecord("b")}, kStart + seconds(1), kStart);
  const AppendActions actions = appender.OnTick(kStart + seconds(1));
  ASSERT_EQ(actions.finished.size(), 2U);
  EXPECT_EQ(actions.finished[0].result, AppendResult::kUnknown);
  EXPECT_EQ(actions.finished[1].result, AppendResult::kNotAppended);
}

TEST(AppenderTest, FullQueueRefusesAtOnce) {
  AppendPolicy policy;
  policy.max_waiting = 1;
  Appender appender{policy};
  appender.Submit(RecordId{"a"}, {KeyRecord("a")}, kStart + seconds(1), kStart);
  const AppendActions actions =
      appender.Submit(RecordId{"b"}, {KeyRecord("b")}, kStart + seconds(1), kStart);
  ASSERT_EQ(actions.finished.size(), 1U);
  EXPECT_EQ(actions.finished[0].result, AppendResult::kNotAppended);
}

// Answers are lost, late or doubled, and the log takes records in any order. Whatever happens, each
// submission ends exactly once, and what was accepted is told as accepted.
RC_GTEST_PROP(AppenderProperty, EverySubmissionEndsOnceAndTruly, ()) {
  Appender appender{AppendPolicy{}};
  SeededRandom random(*rc::gen::arbitrary<std::uint64_t>());
  Folder log;
  std::map<RecordId, FoldVerdict> truth;
  std::map<RecordId, AppendResult> told;
  std::vector<Record> on_their_way;
  TimePoint now = kStart;
  const auto take = [&](const AppendActions& actions) {
    on_their_way.insert(on_their_way.end(), actions.send.begin(), actions.send.end());
    for (const AppendOutcome& end : actions.finished) {
      RC_ASSERT(told.emplace(end.record, end.result).second);
    }
  };
  const int submissions = *rc::gen::inRange(1, 10);
  for (int i = 0; i < submissions; ++i) {
    const std::string id = "r" + std::to_string(i);
    take(appender.Submit(RecordId{id}, {KeyRecord(id)}, now + seconds(20), now));
  }
  while (appender.Waiting() > 0) {
    now += milliseconds(200);
    std::vector<Record> arriving;
    arriving.swap(on_their_way);
    for (const Record& record : arriving) {
      const int fate = *rc::gen::inRange(0, 5);
      if (fate >= 2) {
        const FoldOutcome outcome = log.Fold(record);
        truth.emplace(record.id, outcome.verdict);
        if (fate == 2) {
          appender.OnFailure(record.id, now, random);
        } else if (fate == 3) {
          appender.OnAnswer(record.id, outcome.offset);
        }
        take(appender.OnFolded(outcome, now));
      } else if (fate == 1) {
        appender.OnFailure(record.id, now, random);
      }
    }
    take(appender.OnTick(now));
  }
  RC_ASSERT(told.size() == static_cast<std::size_t>(submissions));
  for (const auto& [id, result] : told) {
    RC_ASSERT((result == AppendResult::kAccepted) == truth.contains(id));
  }
}

}  // namespace
}  // namespace chervilspar::config_log
