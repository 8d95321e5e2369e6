#include <algorithm>
#include <functional>

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

WallTime Wall(const Harness& harness) { return WallTime(harness.now.time_since_epoch()); }

std::int64_t NowMs(const Harness& harness) {
  return std::chrono::duration_cast<milliseconds>(harness.now.time_since_epoch()).count();
}

Job LateJob(std::uint32_t tasks) {
  Step step = Harness::MakeStep(tasks);
  step.estimate_ms = 8000;
  step.saves_progress = true;
  Job job = Harness::MakeJob(kLateJob, {step});
  job.accepted_ms = kLongAgoMs;
  return job;
}

/// An endpoint of four cores is full of the tasks of a late job, of one core each. Then a job
/// arrives that can be on time if it starts within 1.5 s.
class FullPool {
 public:
  explicit FullPool(bool preempts = true) : harness(Options(preempts)) {
    this->harness.Register({Harness::Endpoint("a", 4)});
    this->harness.scheduler.AddJob(this->late_job, Wall(this->harness));
    this->late = this->harness.StartAll();
    this->harness.AdvanceTime(milliseconds(100));
  }

  void AddUrgent(std::uint64_t number, std::int64_t cpu, std::int64_t estimate_ms = 1000) {
    Job job = Harness::MakeJob(number, {Harness::MakeStep(1, cpu)});
    job.steps[0].estimate_ms = estimate_ms;
    job.accepted_ms = NowMs(this->harness);
    this->harness.scheduler.AddJob(job, Wall(this->harness));
  }

  /// Adds the urgent job and returns the stops that follow.
  std::vector<StopOrder> Preempt(std::int64_t cpu = 1000) {
    this->AddUrgent(kUrgentJob, cpu);
    this->stops = this->harness.Round().stops;
    return this->stops;
  }

  bool IsStopped(const StartOrder& start) const {
    return std::any_of(this->stops.begin(), this->stops.end(),
                       [&](const StopOrder& stop) { return stop.task == start.task; });
  }

  /// The first `count` stopped runs end as `end`; the other late runs are still active.
  void EndStopped(RunEnd end, std::size_t count = 1) {
    std::vector<ActiveRun> active;
    std::vector<EndedRun> ended;
    for (const StartOrder& start : this->late) {
      if (this->IsStopped(start) && ended.size() < count) {
        ended.push_back(Harness::Ended(ended.size() + 1, start, end, "half"));
      } else {
        active.push_back(Harness::Active(start, 0));
      }
    }
    this->harness.AnswerRenewal("a", active, ended);
  }

  TaskProgress StoredProgressOf(const TaskKey& key) const {
    const auto stored = DecodeProgress(this->harness.stored.at(key.job));
    for (const TaskRow& row : stored->rows) {
      if (row.index == key.index) {
        return row.progress;
      }
    }
    return {};
  }

  Job late_job = LateJob(4);
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
  FullPool pool(SchedulerOptions{}.preempts);
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

/// Guards against a second run of a task that ended by itself while its stop was on its way.
TEST(Preemption, AnEndThatComesWithTheStopCountsAsDone) {
  FullPool pool;
  const TaskKey key = pool.Preempt().at(0).task;
  pool.EndStopped(RunEnd::kDone);
  const std::vector<StartOrder> starts = pool.harness.StartAll();
  ASSERT_EQ(starts.size(), 1U);
  EXPECT_EQ(starts[0].task.job, JobId{kUrgentJob});
  EXPECT_EQ(pool.StoredProgressOf(key).phase, TaskPhase::kDone);
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

/// Guards against releasing a claim before its end is known: the endpoint refuses the stop as too
/// old, because the run has ended, and lists the end later.
TEST(Preemption, AStopRefusedAsTooOldLeavesTheEndToTheEndpoint) {
  FullPool pool;
  const StopOrder stop = pool.Preempt().at(0);
  pool.harness.scheduler.OnStopAnswered(stop, OrderOutcome::kRunTooOld, pool.harness.now);
  EXPECT_TRUE(pool.harness.Round().starts.empty());
  pool.EndStopped(RunEnd::kDone);
  EXPECT_EQ(pool.harness.Round().starts.size(), 1U);
  EXPECT_EQ(pool.StoredProgressOf(stop.task).phase, TaskPhase::kDone);
}

/// Guards against a smaller task that takes what the first of two stopped runs frees, while the
/// round holds an endpoint with more free cpu for the task that the runs were stopped for.
TEST(Preemption, WhatIsFreedInPartsIsReserved) {
  FullPool pool;
  pool.harness.scheduler.SetEndpoints({Harness::Endpoint("a", 4), Harness::Endpoint("b", 4)},
                                      pool.harness.now);
  pool.harness.AnswerRenewal("b", {}, {});
  pool.AddUrgent(kUrgentJob + 1, 2500, 8000);
  ASSERT_EQ(pool.harness.StartAll().at(0).endpoint, "b");
  pool.harness.AdvanceTime(milliseconds(100));
  ASSERT_EQ(pool.Preempt(2000).size(), 2U);
  pool.AddUrgent(kUrgentJob + 2, 1000);
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
  struct Case {
    Duration after;
    std::size_t stops;
  };
  for (const Case& one : {Case{milliseconds(2000), 0}, Case{milliseconds(4000), 1}}) {
    Harness harness(Options(true));
    harness.Register({Harness::Endpoint("a", 1)});
    harness.scheduler.AddJob(LateJob(1), Wall(harness));
    std::uint64_t end = 0;
    std::vector<StopOrder> stops;
    for (std::uint64_t number = kUrgentJob; number < kUrgentJob + 2; ++number) {
      const StartOrder late = harness.StartAll().at(0);
      harness.AdvanceTime(number == kUrgentJob ? milliseconds(100) : one.after);
      harness.AnswerRenewal("a", {Harness::Active(late, 0)}, {});
      Job job = Harness::MakeJob(number, {Harness::MakeStep(1)});
      job.accepted_ms = NowMs(harness);
      harness.scheduler.AddJob(job, Wall(harness));
      stops = harness.Round().stops;
      if (number == kUrgentJob) {
        harness.AnswerRenewal("a", {}, {Harness::Ended(++end, late, RunEnd::kStopped)});
        const StartOrder urgent = harness.StartAll().at(0);
        harness.AnswerRenewal("a", {}, {Harness::Ended(++end, urgent, RunEnd::kDone)});
      }
    }
    EXPECT_EQ(stops.size(), one.stops) << one.after.count();
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

  void Report(bool is_stopped) {
    std::vector<ActiveRun> active;
    std::vector<EndedRun> ended;
    for (const StartOrder& start : this->before.late) {
      if (is_stopped && this->before.IsStopped(start)) {
        ended.push_back(Harness::Ended(1, start, RunEnd::kStopped, "half"));
      } else {
        active.push_back(Harness::Active(start, 0));
      }
    }
    this->after.AnswerRenewal("a", active, ended);
  }

  FullPool before;
  Harness after{Options(true), 2};
};

/// The stop never arrived, and the run goes on.
TEST_F(PreemptionTakeover, KeepsARunThatIsStillActive) {
  this->Report(false);
  const Orders orders = this->after.Round();
  EXPECT_TRUE(orders.starts.empty());
  EXPECT_TRUE(orders.stops.empty());
}

/// The run ended before the successor asked. It isn't a failure, and its progress isn't lost.
TEST_F(PreemptionTakeover, RestartsARunThatWasStopped) {
  this->Report(true);
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
  Job job = Harness::MakeJob(kUrgentJob, {Harness::MakeStep(1)});
  job.accepted_ms = NowMs(this->after);
  this->after.scheduler.AddJob(job, Wall(this->after));
  EXPECT_TRUE(this->after.Round().stops.empty());
}

/// Guards against stops of runs whose starts aren't answered: nothing may run there.
TEST(Preemption, StopsNoRunThatIsNotConfirmed) {
  for (const bool is_lost : {false, true}) {
    Harness harness(Options(true));
    harness.Register({Harness::Endpoint("a", 4)});
    harness.scheduler.AddJob(LateJob(4), Wall(harness));
    for (const StartOrder& start : harness.Round().starts) {
      if (is_lost) {
        harness.scheduler.OnStartAnswered(start, OrderOutcome::kNoAnswer, harness.now);
      }
    }
    harness.AdvanceTime(milliseconds(60));
    Job job = Harness::MakeJob(kUrgentJob, {Harness::MakeStep(1)});
    job.accepted_ms = NowMs(harness);
    harness.scheduler.AddJob(job, Wall(harness));
    EXPECT_TRUE(harness.Round().stops.empty()) << is_lost;
  }
}

/// A change to the late job, and how many of its runs are stopped then.
struct VictimCase {
  const char* name;
  std::function<void(Job& late)> change;
  /// As the endpoint reports the runs after 1,100 ms.
  int percent = 0;
  std::size_t stops = 0;
};

class Victims : public ::testing::TestWithParam<VictimCase> {};

/// Guards against stops of runs that must go on, or that end before a stop takes effect.
TEST_P(Victims, AreStoppedOnlyIfNothingProtectsThem) {
  Harness harness(Options(true));
  harness.Register({Harness::Endpoint("a", 4)});
  Job late = LateJob(4);
  GetParam().change(late);
  harness.scheduler.AddJob(late, Wall(harness));
  std::vector<ActiveRun> active;
  for (const StartOrder& start : harness.StartAll()) {
    active.push_back(Harness::Active(start, GetParam().percent));
  }
  harness.AdvanceTime(milliseconds(1100));
  harness.AnswerRenewal("a", active, {});
  Job urgent = Harness::MakeJob(kUrgentJob, {Harness::MakeStep(1)});
  urgent.accepted_ms = NowMs(harness);
  harness.scheduler.AddJob(urgent, Wall(harness));
  EXPECT_EQ(harness.Round().stops.size(), GetParam().stops);
}

INSTANTIATE_TEST_SUITE_P(
    Preemption, Victims,
    ::testing::Values(VictimCase{"late", [](Job&) {}, 0, 1},
                      VictimCase{"late_at_half_its_work", [](Job&) {}, 50, 1},
                      VictimCase{"long_running",
                                 [](Job& late) { late.steps[0].is_long_running = true; }},
                      VictimCase{"gang", [](Job& late) { late.steps[0].is_gang = true; }},
                      VictimCase{"on_time", [](Job& late) { late.accepted_ms = 0; }},
                      VictimCase{"ends_soon_by_its_estimate",
                                 [](Job& late) { late.steps[0].estimate_ms = 2000; }},
                      VictimCase{"ends_soon_by_its_report", [](Job&) {}, 60},
                      VictimCase{"not_saved_beyond_the_budget",
                                 [](Job& late) { late.steps[0].saves_progress = false; }}),
    [](const auto& info) { return info.param.name; });

}  // namespace
}  // namespace chervilspar::jobs
