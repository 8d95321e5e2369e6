#include <algorithm>
#include <optional>

#include <gtest/gtest.h>

#include "tests/jobs/scheduler_harness.h"

namespace chervilspar::jobs {
namespace {

using std::chrono::milliseconds;
using Harness = SchedulerHarness;

constexpr std::uint64_t kLateJob = 1;
constexpr std::uint64_t kUrgentJob = 2;
constexpr std::int64_t kLongAgoMs = -60'000;

SchedulerOptions Options(bool preempts) {
  SchedulerOptions options;
  options.preempts = preempts;
  return options;
}

std::int64_t NowMs(const Harness& harness) {
  return std::chrono::duration_cast<milliseconds>(harness.now.time_since_epoch()).count();
}

Job LateJob(std::uint32_t tasks = 4, std::int64_t cpu = 1000) {
  Step step = Harness::MakeStep(tasks, cpu);
  step.estimate_ms = 8000;
  step.saves_progress = true;
  Job job = Harness::MakeJob(kLateJob, {step});
  job.accepted_ms = kLongAgoMs;
  return job;
}

/// Adds a job that can be on time if it starts within its estimate plus 500 ms.
void AddUrgent(Harness& harness, std::uint64_t number, std::int64_t cpu,
               std::int64_t estimate_ms = 1000) {
  Job job = Harness::MakeJob(number, {Harness::MakeStep(1, cpu)});
  job.steps[0].estimate_ms = estimate_ms;
  job.accepted_ms = NowMs(harness);
  harness.scheduler.AddJob(job, WallTime(harness.now.time_since_epoch()));
}

/// An endpoint of four cores is full of the tasks of a late job.
class FullPool {
 public:
  /// `answer` is that to the starts of the late job; absent if they aren't answered yet.
  explicit FullPool(const Job& late_job = LateJob(), bool preempts = true,
                    std::optional<OrderOutcome> answer = OrderOutcome::kDone)
      : late_job(late_job), harness(Options(preempts)) {
    this->harness.Register({Harness::Endpoint("a", 4)});
    this->harness.scheduler.AddJob(late_job, WallTime(this->harness.now.time_since_epoch()));
    this->late = this->harness.Round().starts;
    for (const StartOrder& start : this->late) {
      if (answer) {
        this->harness.scheduler.OnStartAnswered(start, *answer, this->harness.now);
      }
    }
    this->harness.AdvanceTime(milliseconds(100));
  }

  /// Adds the urgent job and returns the stops that follow.
  std::vector<StopOrder> Preempt(std::int64_t cpu = 1000, std::uint64_t number = kUrgentJob) {
    AddUrgent(this->harness, number, cpu);
    this->stops = this->harness.Round().stops;
    return this->stops;
  }

  bool IsStopped(const StartOrder& start) const {
    return std::any_of(this->stops.begin(), this->stops.end(),
                       [&](const StopOrder& stop) { return stop.task == start.task; });
  }

  /// The first `count` stopped runs end as `end`, as seen by this owner or by `other`; the other
  /// late runs are still active.
  void EndStopped(RunEnd end, std::size_t count = 1, Harness* other = nullptr, int percent = 0) {
    std::vector<ActiveRun> active;
    std::vector<EndedRun> ended;
    for (const StartOrder& start : this->late) {
      if (this->IsStopped(start) && ended.size() < count) {
        ended.push_back(Harness::Ended(ended.size() + 1, start, end, "half"));
      } else {
        active.push_back(Harness::Active(start, percent));
      }
    }
    (other == nullptr ? this->harness : *other).AnswerRenewal("a", active, ended);
  }

  /// All tasks of the late job were placed, so that each has a row.
  TaskProgress StoredProgressOf(const TaskKey& key) const {
    return DecodeProgress(this->harness.stored.at(key.job))->rows.at(key.index).progress;
  }

  Job late_job;
  Harness harness;
  std::vector<StartOrder> late;
  std::vector<StopOrder> stops;
};

/// Guards against on-time tasks that wait behind late work until they are late, too.
TEST(Preemption, LateWorkGivesWayToAnOnTimeTask) {
  FullPool pool;
  ASSERT_EQ(pool.late.size(), 4U);
  ASSERT_EQ(pool.Preempt().size(), 1U);
  pool.harness.AdvanceTime(milliseconds(100));
  EXPECT_TRUE(pool.harness.Round().stops.empty()) << "the stop under way suffices";
  pool.EndStopped(RunEnd::kStopped);
  const Orders orders = pool.harness.Round();
  ASSERT_EQ(orders.starts.size(), 1U);
  EXPECT_EQ(orders.starts[0].task.job, JobId{kUrgentJob}) << "not the preempted task";
  const PreemptionCounts counts = pool.harness.scheduler.TakePreemptionCounts();
  EXPECT_EQ(counts, (PreemptionCounts{.saved = 1}));
  EXPECT_EQ(pool.harness.scheduler.TakePreemptionCounts(), PreemptionCounts{});
}

/// Without the switch, nothing changes.
TEST(Preemption, IsOffByDefault) {
  FullPool pool(LateJob(), SchedulerOptions{}.preempts);
  EXPECT_TRUE(pool.Preempt().empty());
}

/// Guards against a failed job or lost work because of preemptions: the end `stopped` isn't a
/// failed attempt, and the task resumes from its checkpoint.
TEST(Preemption, APreemptedTaskResumesFromItsCheckpoint) {
  FullPool pool;
  const TaskKey key = pool.Preempt().at(0).task;
  pool.EndStopped(RunEnd::kStopped);
  const StartOrder urgent = pool.harness.StartAll().at(0);
  EXPECT_EQ(pool.StoredProgressOf(key).failures, 0U);
  pool.harness.AnswerRenewal("a", {}, {Harness::Ended(2, urgent, RunEnd::kDone)});
  const Orders orders = pool.harness.Round();
  const auto again = std::find_if(orders.starts.begin(), orders.starts.end(),
                                  [&](const StartOrder& start) { return start.task == key; });
  ASSERT_NE(again, orders.starts.end());
  EXPECT_EQ(again->checkpoint, "half");
}

/// Guards against a second run of a task that ended by itself while its stop was on its way, and
/// against releasing its claim before its end is known: the stop may be refused as too old.
TEST(Preemption, AnEndThatComesWithTheStopCountsAsDone) {
  for (const OrderOutcome outcome : {OrderOutcome::kDone, OrderOutcome::kRunTooOld}) {
    FullPool pool;
    const StopOrder stop = pool.Preempt().at(0);
    pool.harness.scheduler.OnStopAnswered(stop, outcome, pool.harness.now);
    EXPECT_TRUE(pool.harness.Round().starts.empty());
    pool.EndStopped(RunEnd::kDone);
    const std::vector<StartOrder> starts = pool.harness.StartAll();
    ASSERT_EQ(starts.size(), 1U);
    EXPECT_EQ(starts[0].task.job, JobId{kUrgentJob});
    EXPECT_EQ(pool.StoredProgressOf(stop.task).phase, TaskPhase::kDone);
  }
}

/// Guards against a run that goes on forever while its claim counts as being freed.
TEST(Preemption, AStopWithoutAnswerIsRepeated) {
  FullPool pool;
  const std::vector<StopOrder> first = pool.Preempt();
  pool.harness.scheduler.OnStopAnswered(first.at(0), OrderOutcome::kNoAnswer, pool.harness.now);
  pool.harness.AdvanceTime(pool.harness.options.stop_retry);
  const std::vector<StopOrder> second = pool.harness.Round().stops;
  ASSERT_EQ(second.size(), 1U);
  EXPECT_EQ(second[0].run, first[0].run);
  EXPECT_EQ(second[0].task, first[0].task) << "not a second run";
}

/// Guards against a smaller task that takes what the first of two stopped runs frees, while the
/// round holds an endpoint with more free cpu for the task that the runs were stopped for.
TEST(Preemption, WhatIsFreedInPartsIsReserved) {
  FullPool pool;
  pool.harness.scheduler.SetEndpoints({Harness::Endpoint("a", 4), Harness::Endpoint("b", 4)},
                                      pool.harness.now);
  pool.harness.AnswerRenewal("b", {}, {});
  AddUrgent(pool.harness, kUrgentJob + 1, 2500, 8000);
  ASSERT_EQ(pool.harness.StartAll().at(0).endpoint, "b");
  pool.harness.AdvanceTime(milliseconds(100));
  ASSERT_EQ(pool.Preempt(2000).size(), 2U);
  AddUrgent(pool.harness, kUrgentJob + 2, 1000);
  pool.EndStopped(RunEnd::kStopped);
  const Orders small = pool.harness.Round();
  ASSERT_EQ(small.starts.size(), 1U);
  EXPECT_EQ(small.starts[0].endpoint, "b");
  pool.EndStopped(RunEnd::kStopped, 2);
  const Orders large = pool.harness.Round();
  ASSERT_EQ(large.starts.size(), 1U);
  EXPECT_EQ(large.starts[0].task.job, JobId{kUrgentJob});
}

/// Guards against a task that makes no progress because it is preempted again and again.
TEST(Preemption, ATaskIsNotPreemptedTwiceInShortTime) {
  for (const bool is_soon : {true, false}) {
    FullPool pool(LateJob(1, 4000));
    ASSERT_EQ(pool.Preempt().size(), 1U);
    pool.EndStopped(RunEnd::kStopped);
    const StartOrder urgent = pool.harness.StartAll().at(0);
    pool.harness.AnswerRenewal("a", {}, {Harness::Ended(2, urgent, RunEnd::kDone)});
    pool.late = pool.harness.StartAll();
    pool.harness.AdvanceTime(milliseconds(is_soon ? 2000 : 4000));
    pool.EndStopped(RunEnd::kStopped, 0);
    EXPECT_EQ(pool.Preempt(1000, kUrgentJob + 1).size(), is_soon ? 0U : 1U);
  }
}

/// The owner dies after it sent a stop. Its successor knows the stored records.
class PreemptionTakeover : public ::testing::Test {
 protected:
  PreemptionTakeover() {
    this->before.Preempt();
    this->after.scheduler.SetEndpoints({Harness::Endpoint("a", 4)}, this->after.now);
    this->after.scheduler.AddJob(this->before.late_job, WallTime{});
    this->after.scheduler.RestoreProgress(
        JobId{kLateJob}, *DecodeProgress(this->before.harness.stored.at(JobId{kLateJob})));
  }

  FullPool before;
  Harness after{Options(true), 2};
};

/// The stop never arrived, and the run goes on.
TEST_F(PreemptionTakeover, KeepsARunThatIsStillActive) {
  this->before.EndStopped(RunEnd::kStopped, 0, &this->after);
  const Orders orders = this->after.Round();
  EXPECT_TRUE(orders.starts.empty());
  EXPECT_TRUE(orders.stops.empty());
}

/// The run ended before the successor asked. It isn't a failure, and its progress isn't lost.
TEST_F(PreemptionTakeover, RestartsARunThatWasStopped) {
  this->before.EndStopped(RunEnd::kStopped, 1, &this->after);
  const Orders orders = this->after.Round();
  ASSERT_EQ(orders.starts.size(), 1U);
  EXPECT_EQ(orders.starts[0].task, this->before.stops.at(0).task);
  EXPECT_EQ(orders.starts[0].checkpoint, "half");
}

/// Guards against stops of runs of which nothing is known. The endpoint lists so many ends that the
/// predecessor's runs may be missing from its list.
TEST_F(PreemptionTakeover, StopsNoRunThatIsNotReported) {
  constexpr std::uint64_t kFullList = 500;
  std::vector<EndedRun> ended;
  for (std::uint64_t i = 1; i <= kFullList; ++i) {
    ended.push_back({i, {JobId{1000 + i}, 0, 0, 0}, 1, RunEnd::kDone, ""});
  }
  this->after.AnswerRenewal("a", {}, ended);
  AddUrgent(this->after, kUrgentJob, 1000);
  EXPECT_TRUE(this->after.Round().stops.empty());
}

/// Guards against stops of runs whose starts aren't answered: nothing may run there.
TEST(Preemption, StopsNoRunThatIsNotConfirmed) {
  for (const auto& answer :
       {std::optional<OrderOutcome>(), std::optional(OrderOutcome::kNoAnswer)}) {
    FullPool pool(LateJob(), true, answer);
    EXPECT_TRUE(pool.Preempt().empty());
  }
}

/// A change to the late job, and how many of its runs are stopped then.
struct VictimCase {
  const char* name;
  void (*change)(Job& late);
  /// As the endpoint reports the runs after 1,100 ms.
  int percent = 0;
  std::size_t stops = 0;
};

class Victims : public ::testing::TestWithParam<VictimCase> {};

/// Guards against stops of runs that must go on, or that end before a stop takes effect.
TEST_P(Victims, AreStoppedOnlyIfNothingProtectsThem) {
  Job late = LateJob();
  GetParam().change(late);
  FullPool pool(late);
  pool.harness.AdvanceTime(milliseconds(1000));
  pool.EndStopped(RunEnd::kStopped, 0, nullptr, GetParam().percent);
  EXPECT_EQ(pool.Preempt().size(), GetParam().stops);
}

const std::vector<VictimCase> kCases = {
    {"late", [](Job&) {}, 0, 1},
    {"late_at_half_its_work", [](Job&) {}, 50, 1},
    {"long_running", [](Job& late) { late.steps[0].is_long_running = true; }},
    {"gang", [](Job& late) { late.steps[0].is_gang = true; }},
    {"on_time", [](Job& late) { late.accepted_ms = 0; }},
    {"ends_soon_by_its_estimate", [](Job& late) { late.steps[0].estimate_ms = 2000; }},
    {"ends_soon_by_its_report", [](Job&) {}, 60},
    {"beyond_the_budget", [](Job& late) { late.steps[0].saves_progress = false; }}};

INSTANTIATE_TEST_SUITE_P(Preemption, Victims, ::testing::ValuesIn(kCases),
                         [](const auto& info) { return info.param.name; });

}  // namespace
}  // namespace chervilspar::jobs
