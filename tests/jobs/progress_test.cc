#include "chervilspar/jobs/progress.h"

#include <set>
#include <tuple>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "tests/jobs/arbitrary_terms.h"
#include "tests/jobs/scheduler_harness.h"

namespace chervilspar::jobs {
namespace {

using World = SchedulerHarness;

TaskRow Row(std::uint32_t step, std::uint32_t index, TaskProgress progress) {
  return {0, step, index, std::move(progress)};
}

TaskProgress Done() { return {.phase = TaskPhase::kDone, .run = 1}; }

TaskProgress Placed(const std::string& endpoint, std::int64_t born_ms, std::uint64_t run = 1,
                    const std::string& checkpoint = "") {
  return {.phase = TaskPhase::kPlaced,
          .run = run,
          .endpoint = endpoint,
          .endpoint_born_ms = born_ms,
          .checkpoint = checkpoint};
}

/// Progress as it is stored in each format. Other versions of the program read these texts.
struct StoredCase {
  const char* name;
  JobProgress progress;
  const char* rows;
  const char* compact;
};

class StoredProgress : public ::testing::TestWithParam<StoredCase> {};

TEST_P(StoredProgress, HasItsTextInEachFormat) {
  EXPECT_EQ(EncodeProgress(GetParam().progress, ProgressForm::kRows), GetParam().rows);
  EXPECT_EQ(EncodeProgress(GetParam().progress, ProgressForm::kCompact), GetParam().compact);
}

TEST_P(StoredProgress, IsDecodedFromEachFormat) {
  for (const char* text : {GetParam().rows, GetParam().compact}) {
    const Result<JobProgress> read = DecodeProgress(text);
    ASSERT_TRUE(read) << text << ": " << ToString(read.LastReason());
    EXPECT_EQ(*read, GetParam().progress) << text;
  }
  EXPECT_FALSE(IsCompactProgress(GetParam().rows));
  EXPECT_EQ(IsCompactProgress(GetParam().compact), !GetParam().progress.rows.empty());
}

const std::vector<StoredCase> kStoredCases = {
    {"ended",
     {.phase = JobPhase::kComplete, .ended_ms = 5},
     R"({"phase":2,"ended_ms":5})",
     R"({"phase":2,"ended_ms":5})"},
    {"nothing_placed", {}, R"({"phase":0})", R"({"phase":0})"},
    {"one_placed",
     {.rows = {Row(0, 0, Placed("i-7", 170))}},
     R"({"phase":0,"rows":[[0,0,0,1,1,0,0,"i-7",170,""]]})",
     R"([0,["i-7",170],[[1,0,[1],[0]]]])"},
    {"two_endpoints_and_a_done_task",
     {.phase = JobPhase::kRunning,
      .rows = {Row(0, 0, Placed("i-8", 170)), Row(0, 1, Done()), Row(0, 2, Placed("i-7", 175))}},
     R"({"phase":1,"rows":[[0,0,0,1,1,0,0,"i-8",170,""],[0,0,1,2,1,0,0,"",0,""],)"
     R"([0,0,2,1,1,0,0,"i-7",175,""]]})",
     R"([1,["i-8",170,"i-7",5],[[1,0,[5],[0,1]],[2,0,[2]]]])"},
    {"restarted_endpoint_and_checkpoints",
     {.phase = JobPhase::kRunning,
      .rows = {Row(0, 0, Placed("i-7", 170, 1, "0a")), Row(0, 1, Placed("i-7", 175, 1, "0b"))}},
     R"({"phase":1,"rows":[[0,0,0,1,1,0,0,"i-7",170,"0a"],[0,0,1,1,1,0,0,"i-7",175,"0b"]]})",
     R"([1,["i-7",170,"i-7",5],[[1,0,[3],[0,1],1,["0a","0b"]]]])"},
    {"failed_once_and_placed_again",
     {.phase = JobPhase::kRunning,
      .rows = {Row(1, 33, {TaskPhase::kPlaced, 2, 1, 1, "i-7", 170, "0f"})}},
     R"({"phase":1,"rows":[[0,1,33,1,2,1,1,"i-7",170,"0f"]]})",
     R"([1,["i-7",170],[[1,1,[0,2],[0],2,["0f"],1,1]]])"},
    {"a_later_occurrence",
     {.phase = JobPhase::kRunning, .complete_occurrences = {0}, .rows = {{1, 0, 0, Done()}}},
     R"({"phase":1,"complete":[0],"rows":[[1,0,0,2,1,0,0,"",0,""]]})",
     R"([1,[],[[2,0,[1],[],1,[],0,0,1]],[0]])"},
};

INSTANTIATE_TEST_SUITE_P(Forms, StoredProgress, ::testing::ValuesIn(kStoredCases),
                         [](const auto& info) { return info.param.name; });

/// A record that is truncated, or was written by a later version or another writer.
struct UnreadableCase {
  const char* name;
  const char* text;
  /// The field that the reason names; empty for the record as a whole.
  const char* field;
};

class UnreadableProgress : public ::testing::TestWithParam<UnreadableCase> {};

TEST_P(UnreadableProgress, IsRejectedWithTheFieldsName) {
  const Result<JobProgress> read = DecodeProgress(GetParam().text);
  ASSERT_FALSE(read);
  EXPECT_EQ(read.LastReason().field, GetParam().field);
}

INSTANTIATE_TEST_SUITE_P(
    Shapes, UnreadableProgress,
    ::testing::Values(
        UnreadableCase{"empty", "", ""}, UnreadableCase{"a_number", "1", ""},
        UnreadableCase{"truncated", R"({"phase":1,"rows":[[0,0)", ""},
        UnreadableCase{"unknown_job_phase", R"({"phase":5})", "phase"},
        UnreadableCase{"end_time_is_a_string", R"({"phase":2,"ended_ms":"now"})", "ended_ms"},
        UnreadableCase{"occurrence_below_0", R"({"phase":1,"complete":[-1]})", "complete"},
        UnreadableCase{"rows_is_a_number", R"({"phase":1,"rows":3})", "rows"},
        UnreadableCase{"row_is_a_number", R"({"phase":1,"rows":[3]})", "rows/0"},
        UnreadableCase{"truncated_row",
                       R"({"phase":1,"rows":[[0,0,0,1,1,0,0,"i-7",1,""],[0,0,1,1,1]]})",
                       "rows/1/ended_run"},
        UnreadableCase{"unknown_task_phase", R"({"phase":1,"rows":[[0,0,0,4,1,0,0,"i-7",1,""]]})",
                       "rows/0/phase"},
        UnreadableCase{"empty_list", "[]", "phase"}, UnreadableCase{"phase_alone", "[1]", "groups"},
        UnreadableCase{"no_groups", "[1,[],[]]", "groups"},
        UnreadableCase{"unknown_phase_of_compact", "[7,[],[[2,0,[1]]]]", "phase"},
        UnreadableCase{"endpoint_without_start_time", R"([1,["i-7"],[[1,0,[1],[0]]]])",
                       "endpoints"},
        UnreadableCase{"endpoint_is_a_number", "[1,[7,1],[[1,0,[1],[0]]]]", "endpoints/0"},
        UnreadableCase{"start_time_is_a_string", R"([1,["i-7","1"],[[1,0,[1],[0]]]])",
                       "endpoints/1"},
        UnreadableCase{"unlisted_endpoint", R"([1,["i-7",1],[[1,0,[1],[1]]]])", "groups/0/at"},
        UnreadableCase{"too_few_endpoints", R"([1,["i-7",1],[[1,0,[7],[0,0]]]])", "groups/0/at"},
        UnreadableCase{"group_without_step", "[1,[],[[2,0,[1]],[2]]]", "groups/1/tasks"},
        UnreadableCase{"group_without_tasks", "[1,[],[[2,0,[0]]]]", "groups/0/tasks"},
        UnreadableCase{"bits_below_0", "[1,[],[[2,0,[-1]]]]", "groups/0/tasks/0"},
        UnreadableCase{"unknown_phase_in_group", "[1,[],[[9,0,[1]]]]", "groups/0/phase"},
        UnreadableCase{"checkpoint_is_a_number", "[1,[],[[0,0,[1],[],1,[7]]]]",
                       "groups/0/checkpoints"},
        UnreadableCase{"failures_is_a_string", R"([1,[],[[0,0,[1],[],1,[],1,"x"]]])",
                       "groups/0/failures"}),
    [](const auto& info) { return info.param.name; });

/// A record of another writer with more tasks than a job may have must not exhaust the memory.
TEST(CompactProgress, RejectsMoreTasksThanAJobMayHave) {
  std::string bits = "1";
  for (std::uint32_t i = 0; i < kMaxTasks; ++i) {
    bits += ",1";
  }
  const Result<JobProgress> read = DecodeProgress("[1,[],[[2,0,[" + bits + "]]]]");
  ASSERT_FALSE(read);
  EXPECT_EQ(read.LastReason().field, "groups/0/tasks");
}

rc::Gen<TaskProgress> ArbitraryTask() {
  return rc::gen::exec([] {
    TaskProgress task;
    task.phase = static_cast<TaskPhase>(*rc::gen::inRange(0, 4));
    task.run = *rc::gen::element<std::uint64_t>(0, 1, 1, 1, 2, 1ULL << 62U);
    task.ended_run = *rc::gen::element<std::uint64_t>(0, 0, 1, 7);
    task.failures = *rc::gen::element<std::uint32_t>(0, 0, 1, 0xffffffff);
    task.endpoint = *rc::gen::element<std::string>("", "i-7", "i-8", "i \"9\"");
    task.endpoint_born_ms =
        *rc::gen::element<std::int64_t>(0, 1733212345678, 1733212345700, -5, INT64_MAX, INT64_MIN);
    task.checkpoint = *rc::gen::element<std::string>("", "", "0f", "1f");
    return task;
  });
}

rc::Gen<JobProgress> ArbitraryProgress() {
  return rc::gen::exec([] {
    JobProgress progress;
    progress.phase = static_cast<JobPhase>(*rc::gen::inRange(0, 5));
    progress.ended_ms = *rc::gen::element<std::int64_t>(0, 1733212345678);
    for (const std::uint32_t number : *rc::gen::arbitrary<std::vector<std::uint32_t>>()) {
      progress.complete_occurrences.Insert(number);
    }
    progress.terms = *ArbitraryTerms();
    const auto positions =
        *rc::gen::container<std::set<std::tuple<std::uint32_t, std::uint32_t, std::uint32_t>>>(
            rc::gen::tuple(rc::gen::element<std::uint32_t>(0, 1, 0xffffffff),
                           rc::gen::inRange<std::uint32_t>(0, 3),
                           rc::gen::inRange<std::uint32_t>(0, kMaxTasks)));
    // Few kinds of tasks, so that many are equal.
    const auto kinds =
        *rc::gen::nonEmpty(rc::gen::container<std::vector<TaskProgress>>(ArbitraryTask()));
    for (const auto& [occurrence, step, index] : positions) {
      const auto kind = *rc::gen::inRange<std::size_t>(0, kinds.size());
      progress.rows.push_back({occurrence, step, index, kinds[kind]});
    }
    return progress;
  });
}

rc::Gen<ProgressForm> ArbitraryForm() {
  return rc::gen::element(ProgressForm::kRows, ProgressForm::kCompact);
}

RC_GTEST_PROP(ProgressCodec, ReadsBackWhatItWrote, ()) {
  const JobProgress progress = *ArbitraryProgress();
  for (const ProgressForm form : {ProgressForm::kRows, ProgressForm::kCompact}) {
    const Result<JobProgress> read = DecodeProgress(EncodeProgress(progress, form));
    RC_ASSERT(read.HasValue());
    RC_ASSERT(*read == progress);
  }
}

/// Guards against a record that the store rejects for its size.
RC_GTEST_PROP(ProgressCodec, ReadsBackPartsOfLimitedSize, ()) {
  const JobProgress progress = *ArbitraryProgress();
  const auto max_bytes = *rc::gen::inRange<std::size_t>(1, 4000);
  const std::vector<std::string> texts = EncodeProgressParts(progress, *ArbitraryForm(), max_bytes);
  const std::vector<std::string_view> parts(texts.begin(), texts.end());
  const Result<JobProgress> read = DecodeProgressParts(parts);
  RC_ASSERT(read.HasValue());
  RC_ASSERT(*read == progress);
  for (const std::string& text : texts) {
    RC_ASSERT(text.size() <= max_bytes || DecodeProgress(text)->rows.size() <= 1);
  }
}

RC_GTEST_PROP(ProgressCodec, RejectsBytesThatAreNoProgress, (const std::string& bytes)) {
  RC_ASSERT(!DecodeProgress(bytes).HasValue());
}

/// A record of another writer must not crash the process. If it is decoded, its phases are valid.
RC_GTEST_PROP(ProgressCodec, SurvivesAChangedByte, ()) {
  std::string text = EncodeProgress(*ArbitraryProgress(), *ArbitraryForm());
  const auto position = *rc::gen::inRange<std::size_t>(0, text.size());
  text[position] = *rc::gen::arbitrary<char>();
  const Result<JobProgress> read = DecodeProgress(text);
  const bool is_valid =
      !read || std::all_of(read->rows.begin(), read->rows.end(), [](const TaskRow& row) {
        return row.progress.phase <= TaskPhase::kFailed;
      });
  RC_ASSERT(is_valid);
}

/// The tasks that have ended when the record of a job with two steps of eight tasks is written.
struct SizeCase {
  const char* name;
  std::set<std::uint32_t> ended;
  /// The maximum ratio of the size of the compact format to that of the other.
  double max_ratio;
};

/// The progress of each job is stored several times, and the next owner reads all of it while
/// leases run out. On a link with low bandwidth, lease renewals wait behind these bytes.
class StoredSize : public ::testing::TestWithParam<SizeCase> {
 protected:
  static constexpr std::int64_t kFirstStartMs = 1733212345678;
  static constexpr std::int64_t kStartIntervalMs = 731;
  static constexpr int kEndpoints = 6;

  static EndpointRecord Endpoint(int number) {
    EndpointRecord record = World::Endpoint("i-7f3a91c" + std::to_string(number), 64);
    record.born_ms = kFirstStartMs + kStartIntervalMs * number;
    return record;
  }

  /// The last record of the job, after the ended tasks have been reported.
  static std::string StoredIn(ProgressForm form, const std::set<std::uint32_t>& ended) {
    SchedulerOptions options;
    options.progress_form = form;
    World world(options);
    std::vector<EndpointRecord> endpoints;
    endpoints.reserve(kEndpoints);
    for (int i = 0; i < kEndpoints; ++i) {
      endpoints.push_back(Endpoint(i));
    }
    world.scheduler.SetEndpoints(endpoints, world.now);
    for (const EndpointRecord& endpoint : endpoints) {
      world.AnswerRenewal(endpoint.id, {}, {}, endpoint.born_ms);
    }
    std::vector<Step> steps(2, World::MakeStep(8, 19000));
    steps[1].after = {0};
    world.scheduler.AddJob(World::MakeJob(1, std::move(steps)), WallTime{});
    const std::vector<StartOrder> starts = world.StartAll();
    EXPECT_EQ(starts.size(), 8U);
    for (const EndpointRecord& endpoint : endpoints) {
      std::vector<ActiveRun> active;
      std::vector<EndedRun> ends;
      for (const StartOrder& start : starts) {
        if (start.endpoint != endpoint.id) {
          continue;
        }
        if (ended.contains(start.task.index)) {
          ends.push_back(World::Ended(ends.size() + 1, start, RunEnd::kDone));
        } else {
          active.push_back(World::Active(start));
        }
      }
      world.AnswerRenewal(endpoint.id, active, ends, endpoint.born_ms);
    }
    world.Round();
    return world.stored.at(JobId{1});
  }
};

TEST_P(StoredSize, IsSmallInTheCompactFormat) {
  const std::string rows = StoredIn(ProgressForm::kRows, GetParam().ended);
  const std::string compact = StoredIn(ProgressForm::kCompact, GetParam().ended);
  EXPECT_EQ(*DecodeProgress(rows), *DecodeProgress(compact));
  RecordProperty("rows", static_cast<int>(rows.size()));
  RecordProperty("compact", static_cast<int>(compact.size()));
  EXPECT_LE(static_cast<double>(compact.size()),
            GetParam().max_ratio * static_cast<double>(rows.size()))
      << compact << "\ninstead of " << rows;
}

INSTANTIATE_TEST_SUITE_P(
    TwoStepsOfEight, StoredSize,
    ::testing::Values(SizeCase{"first_step_placed", {}, 1.0 / 3},
                      SizeCase{"first_step_done_second_placed", {0, 1, 2, 3, 4, 5, 6, 7}, 1.0 / 3},
                      SizeCase{"each_second_task_done", {0, 2, 4, 6}, 0.4}),
    [](const auto& info) { return info.param.name; });

}  // namespace
}  // namespace chervilspar::jobs
