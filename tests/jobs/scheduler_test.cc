#include <functional>
#include <set>

#include <gtest/gtest.h>

#include "tests/jobs/scheduler_harness.h"

namespace chervilspar::jobs {
namespace {

using std::chrono::milliseconds;
using Harness = SchedulerHarness;

WallTime Wall(const Harness& harness) { return WallTime(harness.now.time_since_epoch()); }

/// A change of a step, and how many of its tasks start on two endpoints of 8 cores: "a" in rack r-a
/// and "b" in rack r-b.
struct PlacementCase {
  const char* name;
  std::function<void(Step&)> change;
  std::size_t started;
  std::set<std::string> where;
};

class PlacementTable : public ::testing::TestWithParam<PlacementCase> {};

TEST_P(PlacementTable, StartsOnlyWhereAllowed) {
  Harness harness;
  harness.Register({Harness::Endpoint("a"), Harness::Endpoint("b")});
  Step step = Harness::MakeStep(4, 2000);
  GetParam().change(step);
  harness.scheduler.AddJob(Harness::MakeJob(1, {step}), Wall(harness));
  std::set<std::string> where;
  const std::vector<StartOrder> starts = harness.StartAll();
  for (const StartOrder& start : starts) {
    where.insert(start.endpoint);
  }
  EXPECT_EQ(starts.size(), GetParam().started);
  EXPECT_EQ(where, GetParam().where);
}

INSTANTIATE_TEST_SUITE_P(
    Rules, PlacementTable,
    ::testing::Values(
        PlacementCase{"fits", [](Step&) {}, 4, {"a"}},
        PlacementCase{"no_room_for_all", [](Step& step) { step.need.cpu = 3000; }, 4, {"a", "b"}},
        PlacementCase{"too_large", [](Step& step) { step.need.cpu = 9000; }, 0, {}},
        PlacementCase{"memory", [](Step& step) { step.need.memory_mb = 40000; }, 2, {"a", "b"}},
        PlacementCase{"no_gpu", [](Step& step) { step.need.gpus = 1; }, 0, {}},
        PlacementCase{"spread", [](Step& step) { step.max_per_endpoint = 1; }, 2, {"a", "b"}},
        PlacementCase{"label", [](Step& step) { step.required_label = "r-b"; }, 4, {"b"}},
        PlacementCase{"unknown_label", [](Step& step) { step.required_label = "x"; }, 0, {}},
        PlacementCase{"close_to_its_data", [](Step& step) { step.data_rack = "r-b"; }, 4, {"b"}},
        PlacementCase{"filler_takes_no_cpu",
                      [](Step& step) {
                        step.need.cpu = 9000;
                        step.is_filler = true;
                      },
                      4,
                      {"a", "b"}},
        PlacementCase{"gang", [](Step& step) { step.is_gang = true; }, 4, {"a"}},
        PlacementCase{"gang_that_does_not_fit",
                      [](Step& step) {
                        step.is_gang = true;
                        step.need.cpu = 5000;
                      },
                      0,
                      {}},
        PlacementCase{"gang_on_one_rack",
                      [](Step& step) {
                        step.is_gang = true;
                        step.prefers_one_rack = true;
                      },
                      4,
                      {"a"}}),
    [](const auto& info) { return info.param.name; });

/// Steps wait for the steps that they depend on.
TEST(Scheduler, AStepStartsAfterItsPredecessorsHaveEnded) {
  Harness harness;
  harness.Register({Harness::Endpoint("a")});
  Step second = Harness::MakeStep(1);
  second.after = {0};
  harness.scheduler.AddJob(Harness::MakeJob(1, {Harness::MakeStep(2), second}), Wall(harness));
  const std::vector<StartOrder> first = harness.StartAll();
  ASSERT_EQ(first.size(), 2U);
  harness.AnswerRenewal("a", {Harness::Active(first[1])},
                        {Harness::Ended(1, first[0], RunEnd::kDone)});
  EXPECT_TRUE(harness.StartAll().empty());
  harness.AnswerRenewal("a", {}, {Harness::Ended(2, first[1], RunEnd::kDone)});
  const std::vector<StartOrder> next = harness.StartAll();
  ASSERT_EQ(next.size(), 1U);
  EXPECT_EQ(next[0].task.step, 1U);
}

/// A member of a gang ends while the others wait for it. They can't continue without it, and the
/// whole gang restarts.
TEST(Scheduler, ABrokenGangRestartsTogether) {
  Harness harness;
  harness.Register({Harness::Endpoint("a")});
  Step step = Harness::MakeStep(2);
  step.is_gang = true;
  harness.scheduler.AddJob(Harness::MakeJob(1, {step}), Wall(harness));
  const std::vector<StartOrder> first = harness.StartAll();
  ASSERT_EQ(first.size(), 2U);
  EXPECT_EQ(first[0].run, first[1].run);
  harness.AnswerRenewal("a", {Harness::Active(first[1])},
                        {Harness::Ended(1, first[0], RunEnd::kStopped, "half")});
  EXPECT_TRUE(harness.StartAll().empty());
  harness.AnswerRenewal("a", {}, {Harness::Ended(2, first[1], RunEnd::kGangBroken)});
  const std::vector<StartOrder> second = harness.StartAll();
  ASSERT_EQ(second.size(), 2U);
  EXPECT_EQ(second[0].run, second[1].run);
  EXPECT_EQ(second[0].checkpoint, "half");
  EXPECT_EQ(second[1].checkpoint, "half");
  harness.AnswerRenewal("a", {}, {Harness::Ended(3, second[0], RunEnd::kDone)});
  harness.Store();
  EXPECT_EQ(harness.PhaseOf(1), JobPhase::kComplete) << "the end of one member completes the gang";
}

/// A long-running task restarts after any end, even more often than a batch task may fail.
TEST(Scheduler, LongRunningTasksAlwaysRestart) {
  Harness harness;
  harness.Register({Harness::Endpoint("a"), Harness::Endpoint("b")});
  Step step = Harness::MakeStep(1);
  step.is_long_running = true;
  harness.scheduler.AddJob(Harness::MakeJob(1, {step}), Wall(harness));
  std::map<std::string, std::uint64_t> ends;
  for (const RunEnd end :
       {RunEnd::kFailed, RunEnd::kFailed, RunEnd::kFailed, RunEnd::kDone, RunEnd::kLeaseLapsed}) {
    const std::vector<StartOrder> starts = harness.StartAll();
    ASSERT_EQ(starts.size(), 1U) << ToString(end);
    const std::string where = starts[0].endpoint;
    harness.AnswerRenewal(where, {}, {Harness::Ended(++ends[where], starts[0], end)});
    harness.AdvanceTime(std::chrono::seconds(2));
  }
  EXPECT_EQ(harness.PhaseOf(1), JobPhase::kRunning);
}

/// The occurrences of a scheduled job start when they are due, and may overlap.
TEST(Scheduler, OccurrencesStartWhenDue) {
  Harness harness;
  harness.Register({Harness::Endpoint("a")});
  Job job = Harness::MakeJob(1, {Harness::MakeStep(1)});
  job.repeats = 2;
  job.first_due_ms = 5000;
  job.interval_ms = 1000;
  harness.scheduler.AddJob(job, Wall(harness));
  EXPECT_TRUE(harness.StartAll().empty());
  harness.now = TimePoint{} + milliseconds(5010);
  const std::vector<StartOrder> first = harness.StartAll();
  ASSERT_EQ(first.size(), 1U);
  harness.now = TimePoint{} + milliseconds(6010);
  const std::vector<StartOrder> second = harness.StartAll();
  ASSERT_EQ(second.size(), 1U);
  EXPECT_EQ(second[0].task.occurrence, 1U);
  harness.AnswerRenewal(
      "a", {},
      {Harness::Ended(1, first[0], RunEnd::kDone), Harness::Ended(2, second[0], RunEnd::kDone)});
  harness.Store();
  EXPECT_EQ(harness.PhaseOf(1), JobPhase::kComplete);
}

/// With a queue longer than its pool can serve, oldest first would place late jobs ahead of jobs
/// that can still meet their deadlines.
TEST(Scheduler, JobsThatCanMeetTheirDeadlineGoBeforeLateOnes) {
  Harness harness;
  harness.Register({Harness::Endpoint("a", 1)});
  Job late = Harness::MakeJob(1, {Harness::MakeStep(1)});
  late.accepted_ms = 0;
  harness.now = TimePoint{} + std::chrono::seconds(30);
  Job recent = Harness::MakeJob(2, {Harness::MakeStep(1)});
  recent.accepted_ms = 30000;
  harness.scheduler.AddJob(late, Wall(harness));
  harness.scheduler.AddJob(recent, Wall(harness));
  harness.AnswerRenewal("a", {}, {});
  const std::vector<StartOrder> starts = harness.StartAll();
  ASSERT_EQ(starts.size(), 1U);
  EXPECT_EQ(starts[0].task.job, JobId{2});
  harness.AnswerRenewal("a", {}, {Harness::Ended(1, starts[0], RunEnd::kDone)});
  EXPECT_EQ(harness.StartAll().at(0).task.job, JobId{1}) << "late jobs take the remaining capacity";
}

/// The tasks of a long-running job need an endpoint each, and the pool has one too few. Waiting for
/// the task that can't run anywhere would block all late jobs forever.
TEST(Scheduler, ATaskThatCanRunNowhereBlocksNoOther) {
  Harness harness;
  harness.now = TimePoint{} + std::chrono::seconds(30);
  harness.Register({Harness::Endpoint("a")});
  Step spread = Harness::MakeStep(2);
  spread.is_long_running = true;
  spread.max_per_endpoint = 1;
  harness.scheduler.AddJob(Harness::MakeJob(1, {spread}), Wall(harness));
  EXPECT_EQ(harness.StartAll().size(), 1U);
  const PoolLoad load = harness.scheduler.PoolLoads().at(ServiceId{"desk"});
  EXPECT_EQ(load.min_endpoints, 2);
  EXPECT_EQ(load.waiting_long_running, 1);
  Job late = Harness::MakeJob(2, {Harness::MakeStep(1)});
  late.accepted_ms = 0;
  harness.scheduler.AddJob(late, Wall(harness));
  EXPECT_EQ(harness.StartAll().size(), 1U);
}

/// An endpoint that fails all its runs always has free capacity. Unless it is ejected, it uses up
/// the attempts of every job.
TEST(Scheduler, AnEndpointThatFailsSeveralJobsIsEjected) {
  Harness harness;
  harness.Register({Harness::Endpoint("a")});
  for (std::uint64_t i = 1; i <= 3; ++i) {
    harness.scheduler.AddJob(Harness::MakeJob(i, {Harness::MakeStep(1)}), Wall(harness));
  }
  const std::vector<StartOrder> starts = harness.StartAll();
  ASSERT_EQ(starts.size(), 3U);
  harness.AnswerRenewal(
      "a", {},
      {Harness::Ended(1, starts[0], RunEnd::kFailed), Harness::Ended(2, starts[1], RunEnd::kFailed),
       Harness::Ended(3, starts[2], RunEnd::kFailed)});
  EXPECT_TRUE(harness.StartAll().empty());
  harness.AdvanceTime(harness.options.ejection + milliseconds(1));
  harness.AnswerRenewal("a", {}, {});
  EXPECT_EQ(harness.StartAll().size(), 3U);
}

/// A task stalls while its endpoint still answers. Its caller would wait forever.
TEST(Scheduler, AStalledRunIsMoved) {
  Harness harness;
  harness.Register({Harness::Endpoint("a"), Harness::Endpoint("b")});
  harness.scheduler.AddJob(Harness::MakeJob(1, {Harness::MakeStep(1)}), Wall(harness));
  const StartOrder start = harness.StartAll().at(0);
  harness.AnswerRenewal(start.endpoint, {Harness::Active(start, 10)}, {});
  harness.AdvanceTime(harness.options.stall_timeout + milliseconds(10));
  harness.AnswerRenewal(start.endpoint, {Harness::Active(start, 10)}, {});
  const Orders orders = harness.Round();
  ASSERT_EQ(orders.stops.size(), 1U);
  harness.AnswerRenewal(start.endpoint, {}, {Harness::Ended(1, start, RunEnd::kStopped, "saved")});
  const StartOrder again = harness.StartAll().at(0);
  EXPECT_NE(again.endpoint, start.endpoint);
  EXPECT_EQ(again.checkpoint, "saved");
}

/// Several VMs are evacuated while at most one task of a step may be unavailable. Ending a second
/// task would leave the users of the step with too few.
class EvacuationTest : public ::testing::Test {
 protected:
  EvacuationTest() {
    // One endpoint more than tasks, so that a task can move.
    this->harness.Register({Harness::Endpoint("a"), Harness::Endpoint("b"), Harness::Endpoint("c"),
                            Harness::Endpoint("d")});
    Step step = Harness::MakeStep(3);
    step.is_long_running = true;
    step.max_per_endpoint = 1;
    step.max_unavailable = 1;
    this->harness.scheduler.AddJob(Harness::MakeJob(1, {step}), Wall(this->harness));
    for (const StartOrder& start : this->harness.StartAll()) {
      this->running[start.endpoint] = start;
    }
    this->harness.AdvanceTime(std::chrono::seconds(3));
    this->AnswerAllRenewals(100);
  }

  void AnswerAllRenewals(int percent) {
    for (const auto& [endpoint, start] : this->running) {
      this->harness.AnswerRenewal(endpoint, {Harness::Active(start, percent)}, {});
    }
  }

  Harness harness;
  std::map<std::string, StartOrder> running;
};

TEST_F(EvacuationTest, EndsOneTaskAtATime) {
  this->harness.scheduler.BeginEvacuation("a", this->harness.now);
  this->harness.scheduler.BeginEvacuation("b", this->harness.now);
  EXPECT_EQ(this->harness.Round().stops.size(), 1U);
}

TEST_F(EvacuationTest, EndsNoneWhileASiblingsEndpointIsUnresponsive) {
  this->harness.scheduler.OnRenewalFailed("c", OrderOutcome::kNoAnswer, this->harness.now);
  this->harness.scheduler.BeginEvacuation("a", this->harness.now);
  EXPECT_TRUE(this->harness.Round().stops.empty());
}

/// Without recent answers from an endpoint that is being evacuated, its task may still be serving.
TEST_F(EvacuationTest, AssumesATaskWithoutRecentReportsToBeServing) {
  this->harness.scheduler.BeginEvacuation("a", this->harness.now);
  this->harness.scheduler.BeginEvacuation("b", this->harness.now);
  this->harness.AdvanceTime(std::chrono::seconds(2));
  EXPECT_TRUE(this->harness.Round().stops.empty());
}

TEST_F(EvacuationTest, EndsNoneWhileASiblingIsStarting) {
  this->AnswerAllRenewals(100);
  this->harness.AnswerRenewal("c", {Harness::Active(this->running["c"], 20)}, {});
  this->harness.scheduler.BeginEvacuation("a", this->harness.now);
  EXPECT_TRUE(this->harness.Round().stops.empty());
}

/// Guards against a wave that waits a full renewal interval to learn that a moved task is serving.
TEST_F(EvacuationTest, PollsSoonerWhileATaskStarts) {
  const SchedulerOptions options;
  EXPECT_EQ(this->harness.scheduler.PlanRenewal("a", this->harness.now).order.wait,
            options.renewal_wait);
  this->AnswerAllRenewals(40);
  EXPECT_EQ(this->harness.scheduler.PlanRenewal("a", this->harness.now).order.wait,
            options.startup_wait);
  EXPECT_LT(options.startup_wait, options.renewal_wait / 2);
}

/// Two tasks are restarting after the loss of their endpoint, and one of them is on an endpoint
/// that is to be evacuated. It may be serving since the last report, so that ending it would leave
/// two tasks unavailable.
TEST_F(EvacuationTest, EndsNoneThatMayBeServingSinceTheLastReport) {
  this->harness.AnswerRenewal("a", {Harness::Active(this->running["a"], 20)}, {});
  this->harness.AnswerRenewal("b", {Harness::Active(this->running["b"], 20)}, {});
  this->harness.scheduler.BeginEvacuation("a", this->harness.now);
  EXPECT_TRUE(this->harness.Round().stops.empty());
}

/// Guards against a wave that orders a VM for each task only after the previous task has moved. Of
/// three tasks that leave, one moves to the only free endpoint, and two need another VM.
TEST_F(EvacuationTest, RequestsAllMissingEndpointsAtOnce) {
  this->harness.scheduler.BeginEvacuation("a", this->harness.now);
  this->harness.scheduler.BeginEvacuation("b", this->harness.now);
  this->harness.scheduler.BeginEvacuation("c", this->harness.now);
  EXPECT_EQ(this->harness.Round().stops.size(), 1U);
  EXPECT_EQ(this->harness.scheduler.PoolLoads().at(ServiceId{"desk"}).waiting_long_running, 2);
}

/// A predecessor may have just ended a task that is still reported as serving.
TEST(Evacuation, WaitsAfterATakeover) {
  Harness harness;
  harness.now = TimePoint{};
  harness.Register({Harness::Endpoint("a"), Harness::Endpoint("b")});
  Step step = Harness::MakeStep(1);
  step.is_long_running = true;
  harness.scheduler.AddJob(Harness::MakeJob(1, {step}), WallTime{});
  const StartOrder start = harness.StartAll().at(0);
  harness.scheduler.BeginEvacuation(start.endpoint, harness.now);
  harness.AnswerRenewal(start.endpoint, {Harness::Active(start, 100)}, {});
  EXPECT_TRUE(harness.Round().stops.empty());
  harness.AdvanceTime(std::chrono::seconds(3));
  harness.AnswerRenewal(
      "a",
      start.endpoint == "a" ? std::vector{Harness::Active(start, 100)} : std::vector<ActiveRun>{},
      {});
  harness.AnswerRenewal(
      "b",
      start.endpoint == "b" ? std::vector{Harness::Active(start, 100)} : std::vector<ActiveRun>{},
      {});
  EXPECT_EQ(harness.Round().stops.size(), 1U);
}

struct MoveCase {
  const char* name;
  /// Cores of the only other endpoint; 0 for none.
  std::int64_t other_cores;
  std::size_t stops;
  int waiting;
};

class LongRunningMoves : public ::testing::TestWithParam<MoveCase> {};

/// A wave evacuates an endpoint while no other has free capacity. If the serving task were ended
/// anyway, it would be unavailable for seconds until a VM is ready.
TEST_P(LongRunningMoves, WaitForFreeCapacityElsewhere) {
  Harness harness;
  std::vector<EndpointRecord> endpoints = {Harness::Endpoint("a")};
  harness.Register(endpoints);
  Step step = Harness::MakeStep(1, 4000);
  step.is_long_running = true;
  harness.scheduler.AddJob(Harness::MakeJob(1, {step}), Wall(harness));
  const StartOrder start = harness.StartAll().at(0);
  harness.AdvanceTime(std::chrono::seconds(3));
  if (GetParam().other_cores > 0) {
    endpoints.push_back(Harness::Endpoint("b", GetParam().other_cores));
    harness.scheduler.SetEndpoints(endpoints, harness.now);
    harness.AnswerRenewal("b", {}, {});
  }
  harness.AnswerRenewal("a", {Harness::Active(start, 100)}, {});
  harness.scheduler.BeginEvacuation("a", harness.now);
  EXPECT_EQ(harness.Round().stops.size(), GetParam().stops);
  EXPECT_EQ(harness.scheduler.PoolLoads().at(ServiceId{"desk"}).waiting_long_running,
            GetParam().waiting);
}

INSTANTIATE_TEST_SUITE_P(Places, LongRunningMoves,
                         ::testing::Values(MoveCase{"none", 0, 0, 1},
                                           MoveCase{"too_small", 3, 0, 1},
                                           MoveCase{"one", 4, 1, 0}),
                         [](const auto& info) { return info.param.name; });

/// A task moves to an endpoint with just enough free capacity. A batch job must not take that
/// capacity before the first endpoint has reported the end of the task.
TEST(Evacuation, ReservesCapacityForAMovingTask) {
  Harness harness;
  harness.Register({Harness::Endpoint("a")});
  Step serving = Harness::MakeStep(1, 6000);
  serving.is_long_running = true;
  harness.scheduler.AddJob(Harness::MakeJob(1, {serving}), Wall(harness));
  const StartOrder start = harness.StartAll().at(0);
  harness.AdvanceTime(std::chrono::seconds(3));
  harness.scheduler.SetEndpoints({Harness::Endpoint("a"), Harness::Endpoint("b")}, harness.now);
  harness.AnswerRenewal("b", {}, {});
  harness.AnswerRenewal("a", {Harness::Active(start, 100)}, {});
  harness.scheduler.BeginEvacuation("a", harness.now);
  ASSERT_EQ(harness.Round().stops.size(), 1U);
  harness.scheduler.AddJob(Harness::MakeJob(2, {Harness::MakeStep(1, 6000)}), Wall(harness));
  EXPECT_TRUE(harness.Round().starts.empty());
  harness.AnswerRenewal("a", {}, {Harness::Ended(1, start, RunEnd::kStopped)});
  const std::vector<StartOrder> starts = harness.Round().starts;
  ASSERT_EQ(starts.size(), 1U);
  EXPECT_EQ(starts[0].task.job, JobId{1});
  EXPECT_EQ(starts[0].endpoint, "b");
}

/// A filler slows down a serving task on its endpoint. As the response times approach their target,
/// the filler is throttled, and later released again.
TEST(Pacing, ThrottlesFillersBesideATaskNearItsTarget) {
  Harness harness;
  harness.Register({Harness::Endpoint("a")});
  Step serving = Harness::MakeStep(1);
  serving.is_long_running = true;
  serving.target_ms = 100;
  Step filler = Harness::MakeStep(1);
  filler.is_filler = true;
  filler.is_long_running = true;
  harness.scheduler.AddJob(Harness::MakeJob(1, {serving}), Wall(harness));
  harness.scheduler.AddJob(Harness::MakeJob(2, {filler}), Wall(harness));
  const std::vector<StartOrder> starts = harness.StartAll();
  ASSERT_EQ(starts.size(), 2U);
  const auto report_tail = [&](std::int64_t tail) {
    std::vector<ActiveRun> active = {Harness::Active(starts[0], 100),
                                     Harness::Active(starts[1], 100)};
    active[starts[0].task.job == JobId{1} ? 0 : 1].gauge = tail;
    harness.AnswerRenewal("a", active, {});
    return harness.Round().paces;
  };
  EXPECT_TRUE(report_tail(50).empty());
  const std::vector<ThrottleOrder> slower = report_tail(95);
  ASSERT_EQ(slower.size(), 1U);
  EXPECT_EQ(slower[0].task.job, JobId{2});
  EXPECT_EQ(slower[0].percent, 50);
  const std::vector<ThrottleOrder> faster = report_tail(40);
  ASSERT_EQ(faster.size(), 1U);
  EXPECT_EQ(faster[0].percent, 60);
}

/// Steps of a queue with an adviser start only with a ticket of the adviser.
TEST(Advice, StartsOnlyWithATicket) {
  Harness harness;
  harness.policy.version = 2;
  harness.policy.queues["bookings"].advice =
      AdviceTerms{milliseconds(10), milliseconds(1), milliseconds(3000)};
  harness.scheduler.SetPolicy(harness.policy);
  harness.Register({Harness::Endpoint("a"), Harness::Endpoint("b")});
  harness.scheduler.AddJob(Harness::MakeJob(1, {Harness::MakeStep(1)}), Wall(harness));
  EXPECT_TRUE(harness.StartAll().empty());
  const std::vector<AdviceRequest> requests = harness.scheduler.TakeAdviceRequests(harness.now);
  ASSERT_EQ(requests.size(), 1U);
  EXPECT_EQ(requests[0].endpoints.size(), 2U);
  EXPECT_TRUE(harness.scheduler.TakeAdviceRequests(harness.now).empty())
      << "one pending request at a time";
  harness.scheduler.OnAdvice(requests[0], {{"b", "ticket"}}, harness.now);
  const std::vector<StartOrder> starts = harness.StartAll();
  ASSERT_EQ(starts.size(), 1U);
  EXPECT_EQ(starts[0].endpoint, "b");
  EXPECT_EQ(starts[0].ticket, "ticket");
}

/// Ended jobs can be queried for a while, then their records are removed.
TEST(Scheduler, ForgetsEndedJobsAfterTheirRetention) {
  Harness harness;
  harness.Register({Harness::Endpoint("a")});
  harness.scheduler.AddJob(Harness::MakeJob(1, {Harness::MakeStep(1)}), Wall(harness));
  const StartOrder start = harness.StartAll().at(0);
  harness.AnswerRenewal("a", {}, {Harness::Ended(1, start, RunEnd::kDone)});
  harness.Store();
  EXPECT_TRUE(harness.scheduler.ExpiredJobs(Wall(harness), 10).empty());
  harness.AdvanceTime(harness.options.ended_job_retention + milliseconds(1));
  const std::vector<JobId> expired = harness.scheduler.ExpiredJobs(Wall(harness), 10);
  ASSERT_EQ(expired.size(), 1U);
  harness.scheduler.Forget(expired);
  EXPECT_FALSE(harness.scheduler.Find(JobId{1}));
  const Batch batch = harness.scheduler.TakeBatch();
  ASSERT_EQ(batch.records.size(), 1U);
  EXPECT_FALSE(batch.records[0].text);
}

}  // namespace
}  // namespace chervilspar::jobs
