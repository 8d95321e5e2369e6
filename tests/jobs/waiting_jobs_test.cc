#include <algorithm>
#include <functional>

#include <gtest/gtest.h>

#include "tests/jobs/scheduler_world.h"

namespace chervilspar::jobs {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using World = SchedulerWorld;

/// Longer than a count is told again.
constexpr Duration kRecount = milliseconds(500);

/// What became of the first order to start a job of one task.
struct WaitingCase {
  const char* name;
  std::function<void(World&, const StartOrder&)> happen;
};

/// The endpoint doesn't answer any more, and no other is registered.
void FallSilent(World& world, const std::string& endpoint) {
  world.scheduler.SetEndpoints({}, world.now);
  world.scheduler.OnHoldFailed(endpoint, OrderOutcome::kNoAnswer, world.now);
}

void Answer(World& world, const StartOrder& start, OrderOutcome outcome) {
  world.scheduler.OnStartAnswered(start, outcome, world.now);
}

std::uint64_t Recount(World& world) {
  world.Pass(kRecount);
  world.Decide();
  return world.scheduler.PendingIn("bookings");
}

StartOrder OrderOne(World& world) {
  world.Register({World::Endpoint("a")});
  world.scheduler.AddJob(World::MakeJob(1, {World::MakeStep(1)}), WallTime{});
  return world.Round().starts.at(0);
}

/// `after` takes over from `before` with what that one has stored.
void TakeOver(World& after, const World& before, const std::vector<EndpointRecord>& endpoints) {
  after.now = before.now;
  after.scheduler.SetEndpoints(endpoints, after.now);
  after.scheduler.AddJob(World::MakeJob(1, {World::MakeStep(1)}), WallTime{});
  after.scheduler.RestoreProgress(JobId{1}, *DecodeProgress(before.stored.at(JobId{1})));
}

/// Guards against a count of waiting jobs that leaves out jobs whose order never became a run.
class OrderedButNotBegun : public ::testing::TestWithParam<WaitingCase> {};

TEST_P(OrderedButNotBegun, StillWaits) {
  World world;
  const StartOrder start = OrderOne(world);
  GetParam().happen(world, start);
  EXPECT_EQ(Recount(world), 1U);
  EXPECT_EQ(world.PhaseOf(1), JobPhase::kQueued);
}

TEST_P(OrderedButNotBegun, StillWaitsForASuccessor) {
  World before;
  const StartOrder start = OrderOne(before);
  GetParam().happen(before, start);
  before.Store();
  World after{{}, 2};
  TakeOver(after, before, {});
  EXPECT_EQ(Recount(after), 1U);
  EXPECT_EQ(after.PhaseOf(1), JobPhase::kQueued);
}

INSTANTIATE_TEST_SUITE_P(
    Orders, OrderedButNotBegun,
    ::testing::Values(WaitingCase{"under_way", [](World&, const StartOrder&) {}},
                      WaitingCase{"no_room",
                                  [](World& world, const StartOrder& start) {
                                    Answer(world, start, OrderOutcome::kNoCapacity);
                                  }},
                      WaitingCase{"refused",
                                  [](World& world, const StartOrder& start) {
                                    Answer(world, start, OrderOutcome::kRefused);
                                  }},
                      WaitingCase{"too_late",
                                  [](World& world, const StartOrder& start) {
                                    Answer(world, start, OrderOutcome::kTooLate);
                                  }},
                      WaitingCase{"not_sent",
                                  [](World& world, const StartOrder& start) {
                                    Answer(world, start, OrderOutcome::kNotSent);
                                  }},
                      WaitingCase{"another_endpoint_answers",
                                  [](World& world, const StartOrder& start) {
                                    Answer(world, start, OrderOutcome::kOtherIncarnation);
                                  }},
                      WaitingCase{"no_answer_yet",
                                  [](World& world, const StartOrder& start) {
                                    Answer(world, start, OrderOutcome::kNoAnswer);
                                  }},
                      WaitingCase{"not_listed",
                                  [](World& world, const StartOrder& start) {
                                    Answer(world, start, OrderOutcome::kNoAnswer);
                                    world.Pass(SchedulerOptions{}.LongestLease() + seconds(1));
                                    world.Hold("a", {}, {});
                                  }},
                      WaitingCase{"lease_lapsed",
                                  [](World& world, const StartOrder& start) {
                                    Answer(world, start, OrderOutcome::kNoAnswer);
                                    FallSilent(world, "a");
                                    world.Pass(SchedulerOptions{}.LongestLease() + seconds(1));
                                    world.Decide();
                                  }},
                      WaitingCase{"endpoint_started_anew",
                                  [](World& world, const StartOrder& start) {
                                    Answer(world, start, OrderOutcome::kNoAnswer);
                                    world.Hold("a", {}, {}, 2);
                                    world.Pass(SchedulerOptions{}.LongestLease() + seconds(1));
                                    world.Hold("a", {}, {}, 2);
                                  }}),
    [](const auto& info) { return info.param.name; });

/// Guards against a count that takes a job for waiting again, once a task of it has begun.
class Begun : public ::testing::TestWithParam<WaitingCase> {};

TEST_P(Begun, WaitsNoMore) {
  World world;
  const StartOrder start = OrderOne(world);
  GetParam().happen(world, start);
  EXPECT_EQ(Recount(world), 0U);
  EXPECT_NE(world.PhaseOf(1), JobPhase::kQueued);
}

INSTANTIATE_TEST_SUITE_P(
    Runs, Begun,
    ::testing::Values(WaitingCase{"confirmed",
                                  [](World& world, const StartOrder& start) {
                                    Answer(world, start, OrderOutcome::kDone);
                                  }},
                      WaitingCase{"listed_after_a_lost_answer",
                                  [](World& world, const StartOrder& start) {
                                    Answer(world, start, OrderOutcome::kNoAnswer);
                                    world.Hold("a", {World::Active(start)}, {});
                                  }},
                      WaitingCase{"its_end_heard_first",
                                  [](World& world, const StartOrder& start) {
                                    world.Hold("a", {}, {World::Ended(1, start, RunEnd::kFailed)});
                                  }},
                      WaitingCase{"lost_with_its_endpoint",
                                  [](World& world, const StartOrder& start) {
                                    Answer(world, start, OrderOutcome::kDone);
                                    FallSilent(world, "a");
                                    world.Pass(SchedulerOptions{}.LongestLease() + seconds(1));
                                    world.Decide();
                                  }},
                      WaitingCase{"listed_while_it_is_stopped",
                                  [](World& world, const StartOrder& start) {
                                    Answer(world, start, OrderOutcome::kNoAnswer);
                                    world.Pass(SchedulerOptions{}.LongestLease());
                                    world.Decide();
                                    world.Hold("a", {World::Active(start)}, {});
                                  }}),
    [](const auto& info) { return info.param.name; });

/// Guards against a successor that takes a job for waiting although its predecessor saw it begin.
TEST(WaitingJobs, ASuccessorKnowsWhatHasBegun) {
  World before;
  const StartOrder start = OrderOne(before);
  Answer(before, start, OrderOutcome::kDone);
  before.Hold("a", {}, {World::Ended(1, start, RunEnd::kFailed)});
  before.Store();
  World after{{}, 2};
  TakeOver(after, before, {});
  EXPECT_EQ(Recount(after), 0U);
}

/// Guards against a successor that counts a run as waiting that its endpoint lists.
TEST(WaitingJobs, ASuccessorHearsFromTheEndpointWhatHasBegun) {
  World before;
  const StartOrder start = OrderOne(before);
  Answer(before, start, OrderOutcome::kDone);
  World after{{}, 2};
  TakeOver(after, before, before.endpoints);
  after.Hold("a", {World::Active(start)}, {});
  EXPECT_EQ(Recount(after), 0U);
}

/// Guards against a successor that takes a job for waiting whose only run was lost.
TEST(WaitingJobs, ASuccessorKnowsOfARunThatWasLost) {
  World before;
  const StartOrder start = OrderOne(before);
  Answer(before, start, OrderOutcome::kDone);
  FallSilent(before, "a");
  before.Pass(SchedulerOptions{}.LongestLease() + seconds(1));
  before.Round();
  World after{{}, 2};
  TakeOver(after, before, {});
  EXPECT_EQ(Recount(after), 0U);
  EXPECT_EQ(after.PhaseOf(1), JobPhase::kRunning);
}

/// A job of one task that runs for long without anything else to store of it.
struct LongCase {
  const char* name;
  bool is_long_running;
  std::int64_t estimate_ms;
};

class LongJobs : public ::testing::TestWithParam<LongCase> {};

/// Guards against a successor that tells callers "queued" of a job that was told to run for long.
TEST_P(LongJobs, ASuccessorDoesNotTakeBackThatTheyRun) {
  Step step = World::MakeStep(1);
  step.is_long_running = GetParam().is_long_running;
  step.estimate_ms = GetParam().estimate_ms;
  const Job job = World::MakeJob(1, {step});
  World before;
  before.Register({World::Endpoint("a")});
  before.scheduler.AddJob(job, WallTime{});
  const StartOrder start = before.Round().starts.at(0);
  Answer(before, start, OrderOutcome::kDone);
  before.Round();
  ASSERT_EQ(before.PhaseOf(1), JobPhase::kRunning);
  World after{{}, 2};
  after.now = before.now;
  after.scheduler.AddJob(job, WallTime{});
  after.scheduler.RestoreProgress(JobId{1}, *DecodeProgress(before.stored.at(JobId{1})));
  EXPECT_EQ(after.PhaseOf(1), JobPhase::kRunning);
  EXPECT_EQ(Recount(after), 0U);
}

INSTANTIATE_TEST_SUITE_P(WaitingJobs, LongJobs,
                         ::testing::Values(LongCase{"long_running", true, 0},
                                           LongCase{"long_estimate", false, 60000}),
                         [](const auto& info) { return info.param.name; });

bool IsTold(World& world, const std::string& event) {
  const std::vector<Note> notes = world.scheduler.TakeNotes();
  return std::any_of(notes.begin(), notes.end(),
                     [&](const Note& note) { return note.event == event; });
}

/// Guards against a second line on a job's start, with a wait that was none, after a take-over.
TEST(WaitingJobs, AStartIsToldOnce) {
  World before;
  const StartOrder start = OrderOne(before);
  Answer(before, start, OrderOutcome::kDone);
  EXPECT_TRUE(IsTold(before, "job_started"));
  World after{{}, 2};
  TakeOver(after, before, before.endpoints);
  after.Hold("a", {World::Active(start)}, {});
  EXPECT_FALSE(IsTold(after, "job_started"));
}

/// Guards against an answer "none waits" that leaves no trace in the logs.
TEST(WaitingJobs, ACountOfNoneIsToldToo) {
  World world;
  EXPECT_EQ(Recount(world), 0U);
  EXPECT_TRUE(IsTold(world, "waiting_jobs_told"));
}

/// Guards against a successor that tells callers "queued" of a run that they were told of, and
/// counts it as waiting, since nothing is stored while it goes on.
TEST(WaitingJobs, ASuccessorDoesNotTakeBackThatAJobRuns) {
  World before;
  const StartOrder start = OrderOne(before);
  Answer(before, start, OrderOutcome::kDone);
  for (int i = 0; i < 60; ++i) {
    before.Pass(seconds(1));
    before.scheduler.SetProof(before.now);
    before.Hold("a", {World::Active(start)}, {});
    before.Round();
  }
  ASSERT_EQ(before.PhaseOf(1), JobPhase::kRunning);
  World after{{}, 2};
  TakeOver(after, before, before.endpoints);
  EXPECT_EQ(after.PhaseOf(1), JobPhase::kRunning);
  EXPECT_EQ(Recount(after), 0U);
}

}  // namespace
}  // namespace chervilspar::jobs
