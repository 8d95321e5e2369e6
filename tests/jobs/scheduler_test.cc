#include <functional>
#include <set>

#include <gtest/gtest.h>

#include "tests/jobs/scheduler_world.h"

namespace chervilspar::jobs {
namespace {

using std::chrono::milliseconds;
using World = SchedulerWorld;

WallTime Wall(const World& world) { return WallTime(world.now.time_since_epoch()); }

/// Who may run where, as a table: the step, and how many of its tasks start on two endpoints of 8
/// cores, "a" in rack r-a and "b" in rack r-b.
struct PlacementCase {
  const char* name;
  std::function<void(Step&)> change;
  std::size_t started;
  std::set<std::string> where;
};

class PlacementTable : public ::testing::TestWithParam<PlacementCase> {};

TEST_P(PlacementTable, StartsOnlyWhereAllowed) {
  World world;
  world.Register({World::Endpoint("a"), World::Endpoint("b")});
  Step step = World::MakeStep(4, 2000);
  GetParam().change(step);
  world.scheduler.AddJob(World::MakeJob(1, {step}), Wall(world));
  std::set<std::string> where;
  const std::vector<StartOrder> starts = world.StartAll();
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
        PlacementCase{"apart", [](Step& step) { step.max_per_endpoint = 1; }, 2, {"a", "b"}},
        PlacementCase{"label", [](Step& step) { step.required_label = "r-b"; }, 4, {"b"}},
        PlacementCase{"unknown_label", [](Step& step) { step.required_label = "x"; }, 0, {}},
        PlacementCase{"near_its_data", [](Step& step) { step.data_rack = "r-b"; }, 4, {"b"}},
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
                        step.wants_one_rack = true;
                      },
                      4,
                      {"a"}}),
    [](const auto& info) { return info.param.name; });

/// Steps wait for those that they name.
TEST(Scheduler, AStepStartsAfterItsPredecessorsHaveEnded) {
  World world;
  world.Register({World::Endpoint("a")});
  Step second = World::MakeStep(1);
  second.after = {0};
  world.scheduler.AddJob(World::MakeJob(1, {World::MakeStep(2), second}), Wall(world));
  const std::vector<StartOrder> first = world.StartAll();
  ASSERT_EQ(first.size(), 2U);
  world.Hold("a", {World::Active(first[1])}, {World::Ended(1, first[0], RunEnd::kDone)});
  EXPECT_TRUE(world.StartAll().empty());
  world.Hold("a", {}, {World::Ended(2, first[1], RunEnd::kDone)});
  const std::vector<StartOrder> next = world.StartAll();
  ASSERT_EQ(next.size(), 1U);
  EXPECT_EQ(next[0].task.step, 1U);
}

/// A member of a gang fails while the others wait for it: they can't go on without it, and the
/// gang starts again together.
TEST(Scheduler, ABrokenGangStartsAgainTogether) {
  World world;
  world.Register({World::Endpoint("a")});
  Step step = World::MakeStep(2);
  step.is_gang = true;
  world.scheduler.AddJob(World::MakeJob(1, {step}), Wall(world));
  const std::vector<StartOrder> first = world.StartAll();
  ASSERT_EQ(first.size(), 2U);
  EXPECT_EQ(first[0].run, first[1].run);
  world.Hold("a", {World::Active(first[1])}, {World::Ended(1, first[0], RunEnd::kStopped, "half")});
  EXPECT_TRUE(world.StartAll().empty());
  world.Hold("a", {}, {World::Ended(2, first[1], RunEnd::kGangBroken)});
  const std::vector<StartOrder> second = world.StartAll();
  ASSERT_EQ(second.size(), 2U);
  EXPECT_EQ(second[0].run, second[1].run);
  EXPECT_EQ(second[0].checkpoint, "half");
  EXPECT_EQ(second[1].checkpoint, "half");
  world.Hold("a", {}, {World::Ended(3, second[0], RunEnd::kDone)});
  world.Store();
  EXPECT_EQ(world.PhaseOf(1), JobPhase::kComplete) << "one end stands for all";
}

/// Long-running work is started again however it ends, more often than a batch task may fail.
TEST(Scheduler, LongRunningTasksAreAlwaysStartedAgain) {
  World world;
  world.Register({World::Endpoint("a"), World::Endpoint("b")});
  Step step = World::MakeStep(1);
  step.is_long_running = true;
  world.scheduler.AddJob(World::MakeJob(1, {step}), Wall(world));
  std::map<std::string, std::uint64_t> ends;
  for (const RunEnd end :
       {RunEnd::kFailed, RunEnd::kFailed, RunEnd::kFailed, RunEnd::kDone, RunEnd::kLeaseLapsed}) {
    const std::vector<StartOrder> starts = world.StartAll();
    ASSERT_EQ(starts.size(), 1U) << ToString(end);
    const std::string where = starts[0].endpoint;
    world.Hold(where, {}, {World::Ended(++ends[where], starts[0], end)});
    world.Pass(std::chrono::seconds(2));
  }
  EXPECT_EQ(world.PhaseOf(1), JobPhase::kRunning);
}

/// A scheduled job's occurrences start when they are due, and overlap.
TEST(Scheduler, OccurrencesStartWhenDue) {
  World world;
  world.Register({World::Endpoint("a")});
  Job job = World::MakeJob(1, {World::MakeStep(1)});
  job.repeats = 2;
  job.first_due_ms = 5000;
  job.interval_ms = 1000;
  world.scheduler.AddJob(job, Wall(world));
  EXPECT_TRUE(world.StartAll().empty());
  world.now = TimePoint{} + milliseconds(5010);
  const std::vector<StartOrder> first = world.StartAll();
  ASSERT_EQ(first.size(), 1U);
  world.now = TimePoint{} + milliseconds(6010);
  const std::vector<StartOrder> second = world.StartAll();
  ASSERT_EQ(second.size(), 1U);
  EXPECT_EQ(second[0].task.occurrence, 1U);
  world.Hold("a", {},
             {World::Ended(1, first[0], RunEnd::kDone), World::Ended(2, second[0], RunEnd::kDone)});
  world.Store();
  EXPECT_EQ(world.PhaseOf(1), JobPhase::kComplete);
}

/// A queue of more than its pool holds: whoever comes first in time would be served late by then,
/// and those that could still be on time would wait behind it.
TEST(Scheduler, JobsThatCanBeOnTimeGoBeforeLateOnes) {
  World world;
  world.Register({World::Endpoint("a", 1)});
  Job late = World::MakeJob(1, {World::MakeStep(1)});
  late.taken_ms = 0;
  world.now = TimePoint{} + std::chrono::seconds(30);
  Job fresh = World::MakeJob(2, {World::MakeStep(1)});
  fresh.taken_ms = 30000;
  world.scheduler.AddJob(late, Wall(world));
  world.scheduler.AddJob(fresh, Wall(world));
  world.Hold("a", {}, {});
  const std::vector<StartOrder> starts = world.StartAll();
  ASSERT_EQ(starts.size(), 1U);
  EXPECT_EQ(starts[0].task.job, JobId{2});
  world.Hold("a", {}, {World::Ended(1, starts[0], RunEnd::kDone)});
  EXPECT_EQ(world.StartAll().at(0).task.job, JobId{1}) << "late ones fill what is left";
}

/// A long-running job's tasks must stand apart, and its pool has lost an endpoint: one of them can
/// run nowhere. Were it waited for, nobody else's late job would ever start again.
TEST(Scheduler, ATaskThatCanRunNowhereHoldsUpNobody) {
  World world;
  world.now = TimePoint{} + std::chrono::seconds(30);
  world.Register({World::Endpoint("a")});
  Step apart = World::MakeStep(2);
  apart.is_long_running = true;
  apart.max_per_endpoint = 1;
  world.scheduler.AddJob(World::MakeJob(1, {apart}), Wall(world));
  EXPECT_EQ(world.StartAll().size(), 1U);
  const PoolLoad load = world.scheduler.PoolLoads().at(ServiceId{"desk"});
  EXPECT_EQ(load.least_endpoints, 2);
  EXPECT_EQ(load.waiting_long_running, 1);
  Job late = World::MakeJob(2, {World::MakeStep(1)});
  late.taken_ms = 0;
  world.scheduler.AddJob(late, Wall(world));
  EXPECT_EQ(world.StartAll().size(), 1U);
}

/// An endpoint fails all that it starts and so always has room. Without being passed over it would
/// use up the attempts of every job.
TEST(Scheduler, AnEndpointThatFailsJobAfterJobIsPassedOver) {
  World world;
  world.Register({World::Endpoint("a")});
  for (std::uint64_t i = 1; i <= 3; ++i) {
    world.scheduler.AddJob(World::MakeJob(i, {World::MakeStep(1)}), Wall(world));
  }
  const std::vector<StartOrder> starts = world.StartAll();
  ASSERT_EQ(starts.size(), 3U);
  world.Hold(
      "a", {},
      {World::Ended(1, starts[0], RunEnd::kFailed), World::Ended(2, starts[1], RunEnd::kFailed),
       World::Ended(3, starts[2], RunEnd::kFailed)});
  EXPECT_TRUE(world.StartAll().empty());
  world.Pass(world.options.ejection + milliseconds(1));
  world.Hold("a", {}, {});
  EXPECT_EQ(world.StartAll().size(), 3U);
}

/// Tasks on some endpoint stand still while the endpoint answers. Their callers would wait for
/// ever.
TEST(Scheduler, ARunThatStandsStillIsMoved) {
  World world;
  world.Register({World::Endpoint("a"), World::Endpoint("b")});
  world.scheduler.AddJob(World::MakeJob(1, {World::MakeStep(1)}), Wall(world));
  const StartOrder start = world.StartAll().at(0);
  world.Hold(start.endpoint, {World::Active(start, 10)}, {});
  world.Pass(world.options.stall + milliseconds(10));
  world.Hold(start.endpoint, {World::Active(start, 10)}, {});
  const Orders orders = world.Round();
  ASSERT_EQ(orders.stops.size(), 1U);
  world.Hold(start.endpoint, {}, {World::Ended(1, start, RunEnd::kStopped, "saved")});
  const StartOrder again = world.StartAll().at(0);
  EXPECT_NE(again.endpoint, start.endpoint);
  EXPECT_EQ(again.checkpoint, "saved");
}

/// VMs are emptied one after the other while a step may lack one task only. Ending a second one
/// would leave its users without enough of them.
class EvacuationTest : public ::testing::Test {
 protected:
  EvacuationTest() {
    // The last one is where a task can go.
    this->world.Register(
        {World::Endpoint("a"), World::Endpoint("b"), World::Endpoint("c"), World::Endpoint("d")});
    Step step = World::MakeStep(3);
    step.is_long_running = true;
    step.max_per_endpoint = 1;
    step.max_unavailable = 1;
    this->world.scheduler.AddJob(World::MakeJob(1, {step}), Wall(this->world));
    for (const StartOrder& start : this->world.StartAll()) {
      this->running[start.endpoint] = start;
    }
    this->world.Pass(std::chrono::seconds(3));
    this->HoldAll(100);
  }

  void HoldAll(int percent) {
    for (const auto& [endpoint, start] : this->running) {
      this->world.Hold(endpoint, {World::Active(start, percent)}, {});
    }
  }

  World world;
  std::map<std::string, StartOrder> running;
};

TEST_F(EvacuationTest, EndsOneTaskAtATime) {
  this->world.scheduler.BeginEvacuation("a");
  this->world.scheduler.BeginEvacuation("b");
  EXPECT_EQ(this->world.Round().stops.size(), 1U);
}

TEST_F(EvacuationTest, EndsNoneWhileASiblingsEndpointIsSilent) {
  this->world.scheduler.OnHoldFailed("c", OrderOutcome::kNoAnswer, this->world.now);
  this->world.scheduler.BeginEvacuation("a");
  EXPECT_TRUE(this->world.Round().stops.empty());
}

/// The endpoint that is emptied has just fallen silent itself: its own task may well be at work.
TEST_F(EvacuationTest, TakesATaskWithoutNewsToBeAtWork) {
  this->world.scheduler.BeginEvacuation("a");
  this->world.scheduler.BeginEvacuation("b");
  this->world.Pass(std::chrono::seconds(2));
  EXPECT_TRUE(this->world.Round().stops.empty());
}

TEST_F(EvacuationTest, EndsNoneWhileASiblingIsStarting) {
  this->HoldAll(100);
  this->world.Hold("c", {World::Active(this->running["c"], 20)}, {});
  this->world.scheduler.BeginEvacuation("a");
  EXPECT_TRUE(this->world.Round().stops.empty());
}

/// Guards against a wave that waits for the next look to learn that a moved task is at work.
TEST_F(EvacuationTest, LooksSoonerWhileATaskStarts) {
  const SchedulerOptions options;
  EXPECT_EQ(this->world.scheduler.PlanHold("a", this->world.now).order.wait, options.hold_wait);
  this->HoldAll(40);
  EXPECT_EQ(this->world.scheduler.PlanHold("a", this->world.now).order.wait, options.startup_wait);
  EXPECT_LT(options.startup_wait, options.hold_wait / 2);
}

/// Two tasks are starting again after their endpoint was lost, and one of them is on an endpoint
/// that is to be emptied. It may have come to work since the last news, so that its end would leave
/// two away.
TEST_F(EvacuationTest, EndsNoneThatMayHaveComeToWorkSince) {
  this->world.Hold("a", {World::Active(this->running["a"], 20)}, {});
  this->world.Hold("b", {World::Active(this->running["b"], 20)}, {});
  this->world.scheduler.BeginEvacuation("a");
  EXPECT_TRUE(this->world.Round().stops.empty());
}

/// Guards against a wave that orders the VM for each task only when the task before it has moved:
/// of two that leave, one moves to the only free place, and the other needs another VM.
TEST_F(EvacuationTest, AsksAtOnceForAllPlacesThatAreMissing) {
  this->world.scheduler.BeginEvacuation("a");
  this->world.scheduler.BeginEvacuation("b");
  this->world.scheduler.BeginEvacuation("c");
  EXPECT_EQ(this->world.Round().stops.size(), 1U);
  EXPECT_EQ(this->world.scheduler.PoolLoads().at(ServiceId{"desk"}).waiting_long_running, 2);
}

/// A predecessor may have ended a task just before: it still looks at work.
TEST(Evacuation, WaitsAfterATakeover) {
  World world;
  world.now = TimePoint{};
  world.Register({World::Endpoint("a"), World::Endpoint("b")});
  Step step = World::MakeStep(1);
  step.is_long_running = true;
  world.scheduler.AddJob(World::MakeJob(1, {step}), WallTime{});
  const StartOrder start = world.StartAll().at(0);
  world.scheduler.BeginEvacuation(start.endpoint);
  world.Hold(start.endpoint, {World::Active(start, 100)}, {});
  EXPECT_TRUE(world.Round().stops.empty());
  world.Pass(std::chrono::seconds(3));
  world.Hold(
      "a",
      start.endpoint == "a" ? std::vector{World::Active(start, 100)} : std::vector<ActiveRun>{},
      {});
  world.Hold(
      "b",
      start.endpoint == "b" ? std::vector{World::Active(start, 100)} : std::vector<ActiveRun>{},
      {});
  EXPECT_EQ(world.Round().stops.size(), 1U);
}

struct MoveCase {
  const char* name;
  /// Cores of the only other endpoint; 0 for none.
  std::int64_t other_cores;
  std::size_t stops;
  int waiting;
};

class LongRunningMoves : public ::testing::TestWithParam<MoveCase> {};

/// A wave empties an endpoint while no other has room: ended all the same, the task that serves
/// users is away until a VM has come, seconds later.
TEST_P(LongRunningMoves, WaitForAPlaceElsewhere) {
  World world;
  std::vector<EndpointRecord> endpoints = {World::Endpoint("a")};
  world.Register(endpoints);
  Step step = World::MakeStep(1, 4000);
  step.is_long_running = true;
  world.scheduler.AddJob(World::MakeJob(1, {step}), Wall(world));
  const StartOrder start = world.StartAll().at(0);
  world.Pass(std::chrono::seconds(3));
  if (GetParam().other_cores > 0) {
    endpoints.push_back(World::Endpoint("b", GetParam().other_cores));
    world.scheduler.SetEndpoints(endpoints, world.now);
    world.Hold("b", {}, {});
  }
  world.Hold("a", {World::Active(start, 100)}, {});
  world.scheduler.BeginEvacuation("a");
  EXPECT_EQ(world.Round().stops.size(), GetParam().stops);
  EXPECT_EQ(world.scheduler.PoolLoads().at(ServiceId{"desk"}).waiting_long_running,
            GetParam().waiting);
}

INSTANTIATE_TEST_SUITE_P(Places, LongRunningMoves,
                         ::testing::Values(MoveCase{"none", 0, 0, 1},
                                           MoveCase{"too_small", 3, 0, 1},
                                           MoveCase{"one", 4, 1, 0}),
                         [](const auto& info) { return info.param.name; });

/// A task is on its way to an endpoint with just room enough, and a batch job takes that room
/// before the first endpoint has told the task's end: the task finds no place any more.
TEST(Evacuation, KeepsRoomForATaskOnItsWay) {
  World world;
  world.Register({World::Endpoint("a")});
  Step serving = World::MakeStep(1, 6000);
  serving.is_long_running = true;
  world.scheduler.AddJob(World::MakeJob(1, {serving}), Wall(world));
  const StartOrder start = world.StartAll().at(0);
  world.Pass(std::chrono::seconds(3));
  world.scheduler.SetEndpoints({World::Endpoint("a"), World::Endpoint("b")}, world.now);
  world.Hold("b", {}, {});
  world.Hold("a", {World::Active(start, 100)}, {});
  world.scheduler.BeginEvacuation("a");
  ASSERT_EQ(world.Round().stops.size(), 1U);
  world.scheduler.AddJob(World::MakeJob(2, {World::MakeStep(1, 6000)}), Wall(world));
  EXPECT_TRUE(world.Round().starts.empty());
  world.Hold("a", {}, {World::Ended(1, start, RunEnd::kStopped)});
  const std::vector<StartOrder> starts = world.Round().starts;
  ASSERT_EQ(starts.size(), 1U);
  EXPECT_EQ(starts[0].task.job, JobId{1});
  EXPECT_EQ(starts[0].endpoint, "b");
}

/// A filler disturbs a serving task beside it: the response times near their target, and the
/// filler is slowed down, then given its speed back.
TEST(Pacing, SlowsFillersBesideATaskNearItsTarget) {
  World world;
  world.Register({World::Endpoint("a")});
  Step serving = World::MakeStep(1);
  serving.is_long_running = true;
  serving.target_ms = 100;
  Step filler = World::MakeStep(1);
  filler.is_filler = true;
  filler.is_long_running = true;
  world.scheduler.AddJob(World::MakeJob(1, {serving}), Wall(world));
  world.scheduler.AddJob(World::MakeJob(2, {filler}), Wall(world));
  const std::vector<StartOrder> starts = world.StartAll();
  ASSERT_EQ(starts.size(), 2U);
  const auto hold = [&](std::int64_t tail) {
    std::vector<ActiveRun> active = {World::Active(starts[0], 100), World::Active(starts[1], 100)};
    active[starts[0].task.job == JobId{1} ? 0 : 1].gauge = tail;
    world.Hold("a", active, {});
    return world.Round().paces;
  };
  EXPECT_TRUE(hold(50).empty());
  const std::vector<ThrottleOrder> slower = hold(95);
  ASSERT_EQ(slower.size(), 1U);
  EXPECT_EQ(slower[0].task.job, JobId{2});
  EXPECT_EQ(slower[0].percent, 50);
  const std::vector<ThrottleOrder> faster = hold(40);
  ASSERT_EQ(faster.size(), 1U);
  EXPECT_EQ(faster[0].percent, 60);
}

/// Steps of a queue with an adviser start only with its ticket.
TEST(Advice, StartsOnlyWithATicket) {
  World world;
  world.policy.version = 2;
  world.policy.queues["bookings"].advice =
      AdviceTerms{milliseconds(10), milliseconds(1), milliseconds(3000)};
  world.scheduler.SetPolicy(world.policy);
  world.Register({World::Endpoint("a"), World::Endpoint("b")});
  world.scheduler.AddJob(World::MakeJob(1, {World::MakeStep(1)}), Wall(world));
  EXPECT_TRUE(world.StartAll().empty());
  const std::vector<AdviceQuestion> questions = world.scheduler.TakeQuestions(world.now);
  ASSERT_EQ(questions.size(), 1U);
  EXPECT_EQ(questions[0].endpoints.size(), 2U);
  EXPECT_TRUE(world.scheduler.TakeQuestions(world.now).empty()) << "one question at a time";
  world.scheduler.OnAdvice(questions[0].step, {{"b", "ticket"}}, world.now);
  const std::vector<StartOrder> starts = world.StartAll();
  ASSERT_EQ(starts.size(), 1U);
  EXPECT_EQ(starts[0].endpoint, "b");
  EXPECT_EQ(starts[0].ticket, "ticket");
}

/// Ended jobs are told of for a while, then their records go.
TEST(Scheduler, ForgetsEndedJobsAfterAWhile) {
  World world;
  world.Register({World::Endpoint("a")});
  world.scheduler.AddJob(World::MakeJob(1, {World::MakeStep(1)}), Wall(world));
  const StartOrder start = world.StartAll().at(0);
  world.Hold("a", {}, {World::Ended(1, start, RunEnd::kDone)});
  world.Store();
  EXPECT_TRUE(world.scheduler.Expired(Wall(world), 10).empty());
  world.Pass(world.options.keep_ended + milliseconds(1));
  const std::vector<JobId> expired = world.scheduler.Expired(Wall(world), 10);
  ASSERT_EQ(expired.size(), 1U);
  world.scheduler.Forget(expired);
  EXPECT_FALSE(world.scheduler.Find(JobId{1}));
  const Batch batch = world.scheduler.TakeBatch();
  ASSERT_EQ(batch.records.size(), 1U);
  EXPECT_FALSE(batch.records[0].text);
}

}  // namespace
}  // namespace chervilspar::jobs
