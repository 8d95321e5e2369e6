#include <functional>

#include <gtest/gtest.h>

#include "tests/jobs/scheduler_harness.h"

namespace chervilspar::jobs {
namespace {

using std::chrono::milliseconds;
using World = SchedulerHarness;

WallTime Wall(const World& world) { return WallTime(world.now.time_since_epoch()); }

/// A process that is killed between a start and its record would leave an unknown run, and the
/// caller would be charged twice. Therefore no start is sent before its placement is stored.
TEST(RunRaces, NothingStartsBeforeItsRecordIsStored) {
  World world;
  world.Register({World::Endpoint("a")});
  world.scheduler.AddJob(World::MakeJob(1, {World::MakeStep(2)}), Wall(world));
  EXPECT_TRUE(world.Decide().starts.empty());
  EXPECT_TRUE(world.scheduler.HasBatch());
  EXPECT_EQ(world.Store().starts.size(), 2U);
  const auto stored = DecodeProgress(world.stored.at(JobId{1}));
  ASSERT_TRUE(stored);
  EXPECT_EQ(stored->rows.size(), 2U);
  EXPECT_EQ(stored->rows.front().progress.endpoint, "a");
}

/// The answer to a start is lost, and the endpoint executes the order 8 s later. If the task were
/// started elsewhere in the meantime, it would run twice.
TEST(RunRaces, AnUnansweredStartIsStoppedBeforeTheTaskRunsElsewhere) {
  World world;
  world.Register({World::Endpoint("a"), World::Endpoint("b")});
  world.scheduler.AddJob(World::MakeJob(1, {World::MakeStep(1)}), Wall(world));
  const StartOrder first = world.Round().starts.at(0);
  world.scheduler.OnStartAnswered(first, OrderOutcome::kNoAnswer, world.now);
  world.AdvanceTime(milliseconds(200));
  const Orders again = world.Round();
  ASSERT_EQ(again.starts.size(), 1U);
  EXPECT_EQ(again.starts.at(0).run, first.run) << "the same run number, so that it can't run twice";
  EXPECT_EQ(again.starts.at(0).endpoint, first.endpoint);
  world.scheduler.OnStartAnswered(again.starts.at(0), OrderOutcome::kNoAnswer, world.now);
  world.AdvanceTime(milliseconds(200));
  const Orders stop = world.Round();
  EXPECT_TRUE(stop.starts.empty());
  ASSERT_EQ(stop.stops.size(), 1U);
  world.AnswerRenewal(first.endpoint, {}, {});
  EXPECT_TRUE(world.Round().starts.empty())
      << "the stop is unanswered; the start may still be executed";
  world.scheduler.OnStopAnswered(stop.stops.at(0), OrderOutcome::kDone, world.now);
  world.AdvanceTime(milliseconds(1));
  world.AnswerRenewal(first.endpoint, {}, {});
  const Orders next = world.Round();
  ASSERT_EQ(next.starts.size(), 1U);
  EXPECT_GT(next.starts.at(0).run, first.run);
}

/// Two tasks that serve users, of which one may be unavailable, and whose starts get no answer.
class UnansweredServing : public ::testing::Test {
 protected:
  UnansweredServing() {
    this->world.Register({World::Endpoint("a"), World::Endpoint("b")});
    Step step = World::MakeStep(2);
    step.is_long_running = true;
    step.max_unavailable = 1;
    step.max_per_endpoint = 1;
    this->world.scheduler.AddJob(World::MakeJob(1, {step}), Wall(this->world));
    this->starts = this->world.Round().starts;
    for (int i = 0; i < this->world.options.start_tries; ++i) {
      for (const StartOrder& start : this->starts) {
        this->world.scheduler.OnStartAnswered(start, OrderOutcome::kNoAnswer, this->world.now);
      }
      this->world.AdvanceTime(this->world.options.start_retry);
      this->stops = this->world.Round().stops.size();
    }
  }

  /// The endpoint of a start reports its run as ready, or no runs.
  void Poll(std::size_t start, bool is_active) {
    std::vector<ActiveRun> active;
    if (is_active) {
      active.push_back(World::Active(this->starts[start]));
      active.back().percent = 100;
    }
    this->world.AnswerRenewal(this->starts[start].endpoint, std::move(active), {});
  }

  World world;
  std::vector<StartOrder> starts;
  std::size_t stops = 0;
};

/// Guards against stopping a task that serves users while its sibling is unavailable: the answer to
/// its start was late, and the task had become ready.
TEST_F(UnansweredServing, IsPolledBeforeItIsStopped) {
  ASSERT_EQ(this->starts.size(), 2U);
  EXPECT_EQ(this->stops, 0U);
  this->Poll(0, true);
  this->Poll(1, false);
  const Orders orders = this->world.Round();
  ASSERT_EQ(orders.stops.size(), 1U);
  EXPECT_EQ(orders.stops[0].endpoint, this->starts[1].endpoint);
}

/// Guards against the same if the start is executed between the poll and the stop.
TEST_F(UnansweredServing, IsStoppedOnlyRightAfterAPoll) {
  this->Poll(0, true);
  this->Poll(1, false);
  this->world.AdvanceTime(milliseconds(300));
  EXPECT_TRUE(this->world.Round().stops.empty());
  this->Poll(1, false);
  EXPECT_EQ(this->world.Round().stops.size(), 1U);
}

/// The stop gets no answer either, and the start is executed late. Guards against further stops,
/// which would end the run once it serves.
TEST_F(UnansweredServing, IsKeptIfItIsFoundActiveLater) {
  this->Poll(0, true);
  this->Poll(1, false);
  const std::vector<StopOrder> sent = this->world.Round().stops;
  ASSERT_EQ(sent.size(), 1U);
  this->world.scheduler.OnStopAnswered(sent[0], OrderOutcome::kNoAnswer, this->world.now);
  this->world.AdvanceTime(milliseconds(500));
  this->Poll(1, true);
  for (int i = 0; i < 3; ++i) {
    const Orders orders = this->world.Round();
    EXPECT_TRUE(orders.stops.empty());
    EXPECT_TRUE(orders.starts.empty());
    this->world.AdvanceTime(milliseconds(500));
    this->Poll(1, true);
  }
}

/// Guards against a cancelled job whose run goes on, as its start was given up before.
TEST_F(UnansweredServing, IsStoppedIfItsJobIsCancelled) {
  this->Poll(0, true);
  this->Poll(1, false);
  const std::vector<StopOrder> sent = this->world.Round().stops;
  ASSERT_EQ(sent.size(), 1U);
  this->world.scheduler.OnStopAnswered(sent[0], OrderOutcome::kNoAnswer, this->world.now);
  this->world.scheduler.CancelJob(JobId{1});
  this->world.AdvanceTime(milliseconds(500));
  this->Poll(1, true);
  EXPECT_EQ(this->world.Round().stops.size(), 2U);
}

/// If an end were confirmed before it is stored, the endpoint would drop it, and a crash of the
/// owner would lose it. The successor would run a finished task again.
TEST(RunRaces, EndsAreConfirmedAndReportedOnlyAfterTheyAreStored) {
  World world;
  world.Register({World::Endpoint("a")});
  world.scheduler.AddJob(World::MakeJob(1, {World::MakeStep(1)}), Wall(world));
  const StartOrder start = world.StartAll().at(0);
  world.AnswerRenewal("a", {}, {World::Ended(1, start, RunEnd::kDone)});
  EXPECT_EQ(world.PhaseOf(1), JobPhase::kRunning);
  EXPECT_EQ(world.scheduler.PlanRenewal("a", world.now).order.confirmed_end, 0U);
  world.Store();
  EXPECT_EQ(world.PhaseOf(1), JobPhase::kComplete);
  EXPECT_EQ(world.scheduler.PlanRenewal("a", world.now).order.confirmed_end, 1U);
}

/// Endpoints repeat an end until it is confirmed. If one failure were counted twice, it would use
/// up both attempts of a task, and its job would be reported as failed without cause.
TEST(RunRaces, ARepeatedEndCountsOnce) {
  World world;
  world.Register({World::Endpoint("a"), World::Endpoint("b")});
  world.scheduler.AddJob(World::MakeJob(1, {World::MakeStep(1)}), Wall(world));
  const StartOrder start = world.StartAll().at(0);
  world.AnswerRenewal(start.endpoint, {}, {World::Ended(1, start, RunEnd::kFailed)});
  world.AnswerRenewal(start.endpoint, {}, {World::Ended(1, start, RunEnd::kFailed)});
  const StartOrder second = world.StartAll().at(0);
  EXPECT_NE(second.endpoint, start.endpoint) << "it failed there";
  EXPECT_EQ(world.PhaseOf(1), JobPhase::kRunning);
  world.AnswerRenewal(second.endpoint, {}, {World::Ended(1, second, RunEnd::kFailed)});
  world.Round();
  EXPECT_EQ(world.PhaseOf(1), JobPhase::kFailed);
}

/// An owner is suspended, another takes over, and the first resumes with pending orders. An
/// endpoint that has seen the higher token refuses them, and the first owner must not interfere
/// with its successor.
TEST(RunRaces, AHigherTokenEndsTheTerm) {
  struct Case {
    const char* name;
    std::function<void(World&, const StartOrder&)> meet;
  };
  const std::vector<Case> cases = {
      {"start",
       [](World& world, const StartOrder& start) {
         world.scheduler.OnStartAnswered(start, OrderOutcome::kTokenTooLow, world.now);
       }},
      {"hold",
       [](World& world, const StartOrder& start) {
         world.scheduler.OnRenewalFailed(start.endpoint, OrderOutcome::kTokenTooLow, world.now);
       }},
      {"stop",
       [](World& world, const StartOrder& start) {
         world.scheduler.OnStopAnswered({start.endpoint, {}, start.task, start.run, start.token},
                                        OrderOutcome::kTokenTooLow, world.now);
       }},
  };
  for (const Case& one : cases) {
    World world;
    world.Register({World::Endpoint("a")});
    world.scheduler.AddJob(World::MakeJob(1, {World::MakeStep(1)}), Wall(world));
    const StartOrder start = world.Round().starts.at(0);
    EXPECT_FALSE(world.scheduler.IsSuperseded());
    one.meet(world, start);
    EXPECT_TRUE(world.scheduler.IsSuperseded()) << one.name;
  }
}

/// Guards against an owner that ends its term as an endpoint refuses an order which the owner
/// itself has voided by a newer token.
TEST(RunRaces, AnOrderThatTheOwnerItselfVoidedDoesNotEndItsTerm) {
  World world;
  world.Register({World::Endpoint("a")});
  world.scheduler.AddJob(World::MakeJob(1, {World::MakeStep(1)}), Wall(world));
  const StartOrder start = world.Round().starts.at(0);
  world.scheduler.PlanRenewal("a", world.now);
  EndpointRecord restarted = World::Endpoint("a");
  restarted.born_ms = 2;
  world.scheduler.SetEndpoints({restarted}, world.now);
  world.scheduler.OnStartAnswered(start, OrderOutcome::kTokenTooLow, world.now);
  world.scheduler.OnStopAnswered({start.endpoint, {}, start.task, start.run, start.token},
                                 OrderOutcome::kTokenTooLow, world.now);
  world.scheduler.OnRenewalFailed("a", OrderOutcome::kTokenTooLow, world.now);
  EXPECT_FALSE(world.scheduler.IsSuperseded());
  world.AnswerRenewal("a", {}, {}, 2);
  EXPECT_EQ(world.Round().starts.size(), 1U);
}

/// An endpoint crashes and restarts with the same id: it has no runs and numbers its ends from 1
/// again. The runs of its former incarnation must be placed again at once, and the new ends must be
/// processed.
TEST(RunRaces, ARestartedEndpointRunsNothingOfItsFormerIncarnation) {
  World world;
  world.Register({World::Endpoint("a")});
  world.scheduler.AddJob(World::MakeJob(1, {World::MakeStep(2)}), Wall(world));
  const std::vector<StartOrder> first = world.StartAll();
  world.AnswerRenewal("a", {World::Active(first[1])}, {World::Ended(1, first[0], RunEnd::kDone)});
  world.Store();
  EndpointRecord restarted = World::Endpoint("a");
  restarted.born_ms = 2;
  world.scheduler.SetEndpoints({restarted}, world.now);
  world.AnswerRenewal("a", {}, {}, 2);
  const std::vector<StartOrder> second = world.StartAll();
  ASSERT_EQ(second.size(), 1U) << "only what had not ended";
  EXPECT_EQ(second[0].task, first[1].task);
  world.AnswerRenewal("a", {}, {World::Ended(1, second[0], RunEnd::kDone)}, 2);
  world.Store();
  EXPECT_EQ(world.PhaseOf(1), JobPhase::kComplete);
}

/// What the owner learns of the endpoint after a start there got no answer.
struct LeavingCase {
  const char* name;
  std::function<void(World&, EndpointRecord)> learn;
  std::size_t repeated;
};

/// Guards against a start on a VM that has said that it leaves.
class UnansweredStartOnALeavingEndpoint : public ::testing::TestWithParam<LeavingCase> {};

TEST_P(UnansweredStartOnALeavingEndpoint, IsNotRepeated) {
  World world;
  world.Register({World::Endpoint("a")});
  world.scheduler.AddJob(World::MakeJob(1, {World::MakeStep(1)}), Wall(world));
  const StartOrder start = world.Round().starts.at(0);
  world.scheduler.OnStartAnswered(start, OrderOutcome::kNoAnswer, world.now);
  GetParam().learn(world, World::Endpoint("a"));
  world.AdvanceTime(milliseconds(200));
  const Orders orders = world.Round();
  EXPECT_EQ(orders.starts.size(), GetParam().repeated);
  EXPECT_EQ(orders.stops.size(), 1 - GetParam().repeated);
}

INSTANTIATE_TEST_SUITE_P(
    RunRaces, UnansweredStartOnALeavingEndpoint,
    ::testing::Values(LeavingCase{"StillThere", [](World&, const EndpointRecord&) {}, 1},
                      LeavingCase{"Draining",
                                  [](World& world, EndpointRecord record) {
                                    record.is_draining = true;
                                    world.scheduler.SetEndpoints({record}, world.now);
                                  },
                                  0},
                      LeavingCase{"Evacuated",
                                  [](World& world, const EndpointRecord& record) {
                                    world.scheduler.BeginEvacuation(record.id, world.now);
                                  },
                                  0},
                      LeavingCase{"Gone",
                                  [](World& world, const EndpointRecord&) {
                                    world.scheduler.SetEndpoints({}, world.now);
                                  },
                                  0}),
    [](const auto& info) { return std::string(info.param.name); });

/// What happened to the orders to start and to stop a run before its endpoint restarted.
struct UnansweredStartCase {
  const char* name;
  std::function<void(World&, const StartOrder&)> happen;
};

/// Guards against starting a task elsewhere while its unanswered first start may still arrive at
/// the new incarnation of its endpoint, which refuses it only once it has answered an order with a
/// higher token. A stop that the former incarnation executed doesn't prevent that.
class UnansweredStarts : public ::testing::TestWithParam<UnansweredStartCase> {};

TEST_P(UnansweredStarts, AreRefusedByTheNewIncarnation) {
  World world;
  world.Register({World::Endpoint("a")});
  world.scheduler.AddJob(World::MakeJob(1, {World::MakeStep(1)}), Wall(world));
  const StartOrder start = world.Round().starts.at(0);
  GetParam().happen(world, start);
  world.scheduler.SetEndpoints({World::Endpoint("a"), World::Endpoint("b")}, world.now);
  world.AnswerRenewal("b", {}, {});
  world.AnswerOneRenewal("a", {}, {}, 2);
  EXPECT_EQ(world.last_renewal.token, start.token);
  EXPECT_TRUE(world.Round().starts.empty()) << "a start with this token would be executed";
  world.AnswerOneRenewal("a", {}, {}, 2);
  EXPECT_GT(world.last_renewal.token, start.token);
  EXPECT_FALSE(world.last_renewal.lease_end_ms);
  const std::vector<StartOrder> starts = world.Round().starts;
  ASSERT_EQ(starts.size(), 1U);
  EXPECT_GT(starts[0].run, start.run);
}

/// Both tries get no answer, so that the run is stopped.
std::vector<StopOrder> LoseAnswers(World& world, const StartOrder& start) {
  std::vector<StopOrder> stops;
  for (int i = 0; i < 3 && stops.empty(); ++i) {
    world.scheduler.OnStartAnswered(start, OrderOutcome::kNoAnswer, world.now);
    world.AdvanceTime(world.options.start_retry);
    stops = world.Round().stops;
  }
  return stops;
}

INSTANTIATE_TEST_SUITE_P(
    RunRaces, UnansweredStarts,
    ::testing::Values(UnansweredStartCase{"under_way", [](World&, const StartOrder&) {}},
                      UnansweredStartCase{"unanswered",
                                          [](World& world, const StartOrder& start) {
                                            world.scheduler.OnStartAnswered(
                                                start, OrderOutcome::kNoAnswer, world.now);
                                          }},
                      UnansweredStartCase{"unanswered_and_being_stopped",
                                          [](World& world, const StartOrder& start) {
                                            ASSERT_EQ(LoseAnswers(world, start).size(), 1U);
                                          }},
                      UnansweredStartCase{"unanswered_and_its_stop_answered",
                                          [](World& world, const StartOrder& start) {
                                            const std::vector<StopOrder> stops =
                                                LoseAnswers(world, start);
                                            ASSERT_EQ(stops.size(), 1U);
                                            world.scheduler.OnStopAnswered(
                                                stops[0], OrderOutcome::kDone, world.now);
                                          }}),
    [](const auto& info) { return info.param.name; });

/// A restarted endpoint numbers its ends from 1 again. A confirmation of its former incarnation's
/// ends would make it drop ends that were never received, and finished tasks would run again.
/// Therefore ends are confirmed once, and only right after the endpoint has reported them.
TEST(RunRaces, EndsAreConfirmedOnlyToTheIncarnationThatReportedThem) {
  World world;
  world.Register({World::Endpoint("a")});
  world.scheduler.AddJob(World::MakeJob(1, {World::MakeStep(2)}), Wall(world));
  const std::vector<StartOrder> starts = world.StartAll();
  world.AnswerRenewal("a", {World::Active(starts[1])}, {World::Ended(1, starts[0], RunEnd::kDone)});
  world.Store();
  EXPECT_EQ(world.scheduler.PlanRenewal("a", world.now).order.confirmed_end, 1U);
  world.scheduler.OnRenewalFailed("a", OrderOutcome::kNoAnswer, world.now);
  EXPECT_EQ(world.scheduler.PlanRenewal("a", world.now).order.confirmed_end, 0U)
      << "it may have restarted";
  world.AnswerRenewal("a", {World::Active(starts[1])}, {World::Ended(1, starts[0], RunEnd::kDone)});
  EXPECT_EQ(world.scheduler.PlanRenewal("a", world.now).order.confirmed_end, 1U);
  world.AnswerRenewal("a", {World::Active(starts[1])}, {});
  EXPECT_EQ(world.scheduler.PlanRenewal("a", world.now).order.confirmed_end, 0U)
      << "there is nothing left to confirm";
}

struct RestartCase {
  const char* name;
  /// The outcome of the start, and what the new incarnation reports about the run.
  OrderOutcome answer;
  bool is_active;
  bool is_done;
  /// The task is started again, on this or another endpoint.
  bool is_started_again;
  /// The phase that callers see afterwards.
  JobPhase phase;
};

class Restarts : public ::testing::TestWithParam<RestartCase> {};

/// An endpoint restarts and starts a task before the owner learns of the new incarnation. When the
/// registry reports it, the task must not be treated as lost with the former incarnation: it would
/// run twice at the same time, and a deposit would be charged twice.
TEST_P(Restarts, ATaskOfTheNewIncarnationRunsOnce) {
  World world;
  world.Register({World::Endpoint("a")});
  world.scheduler.AddJob(World::MakeJob(1, {World::MakeStep(1)}), Wall(world));
  const StartOrder start = world.Round().starts.at(0);
  world.scheduler.OnStartAnswered(start, GetParam().answer, world.now);
  EndpointRecord restarted = World::Endpoint("a");
  restarted.born_ms = 2;
  world.scheduler.SetEndpoints({restarted, World::Endpoint("b")}, world.now);
  world.AnswerRenewal("b", {}, {});
  EXPECT_TRUE(world.Round().starts.empty()) << "the new incarnation may run it";
  const std::vector<ActiveRun> active = {World::Active(start)};
  const std::vector<EndedRun> ended = {World::Ended(1, start, RunEnd::kDone)};
  EXPECT_FALSE(world.scheduler.PlanRenewal("a", world.now).order.lease_end_ms)
      << "the clock of the former incarnation doesn't apply to the new one";
  world.AnswerRenewal("a", GetParam().is_active ? active : std::vector<ActiveRun>{},
                      GetParam().is_done ? ended : std::vector<EndedRun>{}, 2);
  EXPECT_GT(world.last_renewal.token, start.token) << "so that the start isn't executed any more";
  const Orders next = world.Round();
  EXPECT_EQ(!next.starts.empty(), GetParam().is_started_again);
  EXPECT_EQ(world.PhaseOf(1), GetParam().phase);
}

INSTANTIATE_TEST_SUITE_P(
    RunRaces, Restarts,
    ::testing::Values(RestartCase{"answered_and_at_work", OrderOutcome::kDone, true, false, false,
                                  JobPhase::kRunning},
                      RestartCase{"answered_and_done", OrderOutcome::kDone, false, true, false,
                                  JobPhase::kComplete},
                      RestartCase{"answered_by_the_former_incarnation", OrderOutcome::kDone, false,
                                  false, true, JobPhase::kRunning},
                      RestartCase{"unanswered_and_at_work", OrderOutcome::kNoAnswer, true, false,
                                  false, JobPhase::kRunning},
                      RestartCase{"unanswered_and_not_there", OrderOutcome::kNoAnswer, false, false,
                                  true, JobPhase::kQueued}),
    [](const auto& info) { return info.param.name; });

/// The runs of an unreachable endpoint may continue until their leases lapse. A task that is
/// started elsewhere earlier would run twice; one that is never started elsewhere would be lost.
TEST(RunRaces, TasksOfAnUnresponsiveEndpointWaitForItsLeases) {
  World world;
  world.Register({World::Endpoint("a")});
  world.scheduler.AddJob(World::MakeJob(1, {World::MakeStep(1)}), Wall(world));
  world.StartAll();
  world.scheduler.OnRenewalFailed("a", OrderOutcome::kNoAnswer, world.now);
  world.scheduler.SetEndpoints({World::Endpoint("a"), World::Endpoint("b")}, world.now);
  world.AnswerRenewal("b", {}, {});
  world.AdvanceTime(world.options.lease - milliseconds(100));
  EXPECT_TRUE(world.Round().starts.empty());
  EXPECT_FALSE(world.scheduler.PlanRenewal("a", world.now).order.lease_end_ms)
      << "only a status request: a renewal would keep the lost runs active";
  world.AdvanceTime(milliseconds(800));
  const Orders orders = world.Round();
  ASSERT_EQ(orders.starts.size(), 1U);
  EXPECT_EQ(orders.starts[0].endpoint, "b");
}

/// A cancellation that one entry accepted may be read before the submission that another one
/// accepted. The job must not run after its caller got the answer that it is cancelled.
TEST(RunRaces, ACancellationMayComeBeforeItsJob) {
  World world;
  world.Register({World::Endpoint("a")});
  world.scheduler.CancelJob(JobId{1});
  EXPECT_FALSE(world.scheduler.Find(JobId{1})) << "it has not been submitted";
  world.scheduler.AddJob(World::MakeJob(1, {World::MakeStep(1)}), Wall(world));
  EXPECT_TRUE(world.Round().starts.empty());
  EXPECT_EQ(world.PhaseOf(1), JobPhase::kCancelled);
}

/// A caller cancels a job while its placement is being stored, and another while it runs.
TEST(RunRaces, ACancelledJobStartsNothingAndStopsWhatRuns) {
  World world;
  world.Register({World::Endpoint("a")});
  world.scheduler.AddJob(World::MakeJob(1, {World::MakeStep(1)}), Wall(world));
  world.scheduler.AddJob(World::MakeJob(2, {World::MakeStep(1)}), Wall(world));
  const std::vector<StartOrder> running = world.StartAll();
  world.scheduler.AddJob(World::MakeJob(3, {World::MakeStep(1)}), Wall(world));
  world.Decide();
  world.scheduler.CancelJob(JobId{3});
  world.scheduler.CancelJob(JobId{1});
  EXPECT_TRUE(world.Store().starts.empty());
  const Orders orders = world.Round();
  ASSERT_EQ(orders.stops.size(), 1U);
  EXPECT_EQ(orders.stops[0].task.job, JobId{1});
  EXPECT_TRUE(orders.starts.empty());
}

/// Two copies of a submission reach the store through two entries.
TEST(RunRaces, AJobSubmittedTwiceRunsOnce) {
  World world;
  world.Register({World::Endpoint("a")});
  const Job job = World::MakeJob(1, {World::MakeStep(1)});
  world.scheduler.AddJob(job, Wall(world));
  world.scheduler.AddJob(job, Wall(world));
  const StartOrder start = world.StartAll().at(0);
  world.AnswerRenewal("a", {}, {World::Ended(1, start, RunEnd::kDone)});
  world.Store();
  world.scheduler.AddJob(job, Wall(world));
  EXPECT_TRUE(world.Round().starts.empty());
}

/// An operator lowers a team's limit below its current use: active runs continue, and nothing
/// starts until the use is below the new limit.
TEST(RunRaces, ALoweredLimitHoldsForNewStarts) {
  World world;
  world.Register({World::Endpoint("a")});
  world.scheduler.AddJob(World::MakeJob(1, {World::MakeStep(4)}), Wall(world));
  const std::vector<StartOrder> running = world.StartAll();
  world.policy.version = 2;
  world.policy.teams[TeamId{"counter"}].cap = {2000, 0, 0};
  world.scheduler.SetPolicy(world.policy);
  world.scheduler.AddJob(World::MakeJob(2, {World::MakeStep(1)}), Wall(world));
  world.AnswerRenewal(
      "a", {World::Active(running[2]), World::Active(running[3])},
      {World::Ended(1, running[0], RunEnd::kDone), World::Ended(2, running[1], RunEnd::kDone)});
  EXPECT_TRUE(world.Round().starts.empty()) << "two are still running";
  world.AnswerRenewal("a", {World::Active(running[3])},
                      {World::Ended(3, running[2], RunEnd::kDone)});
  EXPECT_EQ(world.Round().starts.size(), 1U);
}

/// A start is sent twice, and the answer to the second try confirms the run. When the endpoint
/// restarts, the first try may still be in flight: if the task were started elsewhere before the
/// new incarnation refuses that, it would run twice at the same time.
TEST(RunRaces, ADelayedTryMayArriveAfterARestart) {
  World world;
  world.Register({World::Endpoint("a")});
  world.scheduler.AddJob(World::MakeJob(1, {World::MakeStep(1)}), Wall(world));
  world.scheduler.OnStartAnswered(world.Round().starts.at(0), OrderOutcome::kNoAnswer, world.now);
  world.AdvanceTime(SchedulerOptions{}.start_retry);
  const StartOrder second = world.Round().starts.at(0);
  world.scheduler.OnStartAnswered(second, OrderOutcome::kDone, world.now);
  EndpointRecord restarted = World::Endpoint("a");
  restarted.born_ms = 2;
  world.scheduler.SetEndpoints({restarted, World::Endpoint("b")}, world.now);
  world.AnswerRenewal("b", {}, {});
  EXPECT_TRUE(world.Round().starts.empty());
  const Duration lease = world.options.LongestLease();
  world.AdvanceTime(lease + milliseconds(100));
  world.AnswerRenewal("b", {}, {});
  EXPECT_TRUE(world.Round().starts.empty()) << "longer than a lease from the start";
  world.AnswerRenewal("a", {}, {}, 2);
  EXPECT_GT(world.last_renewal.token, second.token);
  EXPECT_EQ(world.Round().starts.size(), 1U);
}

}  // namespace
}  // namespace chervilspar::jobs
