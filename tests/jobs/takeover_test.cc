#include <gtest/gtest.h>

#include "tests/jobs/scheduler_world.h"

namespace chervilspar::jobs {
namespace {

using std::chrono::milliseconds;
using World = SchedulerWorld;

std::int64_t ToMs(TimePoint time) {
  return std::chrono::duration_cast<milliseconds>(time.time_since_epoch()).count();
}

/// A predecessor has placed a task at "a" and was killed. The successor knows what was stored.
class Takeover : public ::testing::Test {
 protected:
  Takeover() {
    World before;
    before.Register({World::Endpoint("a"), World::Endpoint("b")});
    before.scheduler.AddJob(this->job, WallTime{});
    this->start = before.Round().starts.at(0);
    this->progress = *DecodeProgress(before.stored.at(JobId{1}));
    this->after.scheduler.SetEndpoints({World::Endpoint("a"), World::Endpoint("b")},
                                       this->after.now);
    this->after.scheduler.AddJob(this->job, WallTime{});
    this->after.scheduler.RestoreProgress(JobId{1}, this->progress);
  }

  Job job = World::MakeJob(1, {World::MakeStep(1)});
  StartOrder start;
  JobProgress progress;
  World after{{}, 2};
};

/// The run is at work: it must go on, and nothing is started beside it.
TEST_F(Takeover, KeepsWhatRuns) {
  this->after.Hold("a", {World::Active(this->start)}, {});
  this->after.Hold("b", {}, {});
  const Orders orders = this->after.Round();
  EXPECT_TRUE(orders.starts.empty());
  EXPECT_TRUE(orders.stops.empty());
  this->after.Hold("a", {}, {World::Ended(1, this->start, RunEnd::kDone)});
  this->after.Store();
  EXPECT_EQ(this->after.PhaseOf(1), JobPhase::kComplete);
}

/// The endpoint had started anew before it took the run, which the predecessor did not know. The
/// successor hears of the new life first, and must not start beside it.
TEST_F(Takeover, KeepsWhatANewLifeTook) {
  World world({}, 2);
  EndpointRecord reborn = World::Endpoint(this->start.endpoint);
  reborn.born_ms = 2;
  world.scheduler.SetEndpoints({reborn, World::Endpoint("c")}, world.now);
  world.scheduler.AddJob(this->job, WallTime{});
  world.scheduler.RestoreProgress(JobId{1}, this->progress);
  world.Hold("c", {}, {});
  EXPECT_TRUE(world.Round().starts.empty());
  world.Hold(reborn.id, {World::Active(this->start)}, {}, 2);
  EXPECT_TRUE(world.Round().starts.empty());
  world.Hold(reborn.id, {}, {World::Ended(1, this->start, RunEnd::kDone)}, 2);
  world.Store();
  EXPECT_EQ(world.PhaseOf(1), JobPhase::kComplete);
}

/// The start never arrived. The endpoint's answer knows the successor's token, so that the order
/// can't arrive any more, and the task starts with a higher run.
TEST_F(Takeover, StartsWhatNeverArrived) {
  this->after.Hold(this->start.endpoint, {}, {});
  const Orders orders = this->after.Round();
  ASSERT_EQ(orders.starts.size(), 1U);
  EXPECT_GT(orders.starts[0].run, this->start.run);
  EXPECT_EQ(orders.starts[0].token, 2U);
}

/// The endpoint's rack is dark while the owner dies. The predecessor may have renewed until its
/// proof ran out; only then, and one lease later, the run is certainly dead.
TEST_F(Takeover, WaitsOutThePredecessorWhereItReachesNobody) {
  const std::string other = this->start.endpoint == "a" ? "b" : "a";
  this->after.Hold(other, {}, {});
  this->after.scheduler.OnHoldFailed(this->start.endpoint, OrderOutcome::kNoAnswer,
                                     this->after.now);
  const SchedulerOptions options;
  this->after.now = TimePoint{} + options.predecessor_grace + options.lease;
  EXPECT_TRUE(this->after.Round().starts.empty());
  this->after.Pass(milliseconds(500));
  const Orders orders = this->after.Round();
  ASSERT_EQ(orders.starts.size(), 1U);
  EXPECT_EQ(orders.starts[0].endpoint, other);
}

/// The same, after the successor had renewed the leases while it read the jobs: these last longer
/// than what the predecessor may have given.
TEST_F(Takeover, WaitsOutTheLeasesThatWereGivenBeforeTheJobsWereKnown) {
  const std::string other = this->start.endpoint == "a" ? "b" : "a";
  const SchedulerOptions options;
  const TimePoint renewed = TimePoint{} + options.predecessor_grace + std::chrono::seconds(2);
  this->after.scheduler.NoteLeases({{this->start.endpoint, renewed + options.LongestLease()}});
  this->after.Hold(other, {}, {});
  this->after.scheduler.OnHoldFailed(this->start.endpoint, OrderOutcome::kNoAnswer,
                                     this->after.now);
  this->after.now = renewed + options.lease;
  EXPECT_TRUE(this->after.Round().starts.empty());
  this->after.Pass(milliseconds(500));
  const Orders orders = this->after.Round();
  ASSERT_EQ(orders.starts.size(), 1U);
  EXPECT_EQ(orders.starts[0].endpoint, other);
}

/// The endpoint lives a new life since: what the former ran is gone.
TEST_F(Takeover, StartsAnewWhatAFormerLifeRan) {
  World world{{}, 2};
  EndpointRecord reborn = World::Endpoint(this->start.endpoint);
  reborn.born_ms = 2;
  world.scheduler.SetEndpoints({reborn}, world.now);
  world.scheduler.AddJob(this->job, WallTime{});
  world.scheduler.RestoreProgress(JobId{1}, this->progress);
  world.Hold(this->start.endpoint, {}, {}, 2);
  EXPECT_EQ(world.Round().starts.size(), 1U);
}

/// The end was stored but not confirmed, so that the endpoint tells it to the successor again.
TEST_F(Takeover, TakesAnEndThatWasStoredBefore) {
  World world{{}, 2};
  world.scheduler.SetEndpoints({World::Endpoint("a")}, world.now);
  world.scheduler.AddJob(this->job, WallTime{});
  JobProgress done = this->progress;
  done.rows[0].progress.phase = TaskPhase::kDone;
  done.rows[0].progress.endpoint.clear();
  world.scheduler.RestoreProgress(JobId{1}, done);
  world.Hold("a", {}, {World::Ended(1, this->start, RunEnd::kDone)});
  EXPECT_TRUE(world.Round().starts.empty());
  EXPECT_EQ(world.PhaseOf(1), JobPhase::kComplete);
}

/// The owner was replaced between a job's failure and the record of when it ended. The successor
/// took it for one that had ended ages ago and dropped it: its caller was told that there is no
/// such job.
TEST_F(Takeover, KeepsAJobThatHasJustEnded) {
  World world{{}, 2};
  world.now = TimePoint{} + std::chrono::hours(1000);
  Job ended = this->job;
  ended.taken_ms = ToMs(world.now) - 1000000;
  world.scheduler.AddJob(ended, WallTime(world.now.time_since_epoch()));
  JobProgress failed = this->progress;
  failed.phase = JobPhase::kFailed;
  failed.ended_ms = 0;
  world.scheduler.RestoreProgress(JobId{1}, failed);
  EXPECT_TRUE(world.scheduler.Expired(WallTime(world.now.time_since_epoch()), 10).empty());
  EXPECT_EQ(world.PhaseOf(1), JobPhase::kFailed);
}

/// What runs belongs to a job that nobody knows, as it was cancelled and forgotten.
TEST_F(Takeover, StopsWhatNobodyAskedFor) {
  StartOrder stray = this->start;
  stray.task.job = JobId{99};
  this->after.Hold("a", {World::Active(stray)}, {});
  const Orders orders = this->after.Round();
  ASSERT_EQ(orders.stops.size(), 1U);
  EXPECT_EQ(orders.stops[0].task.job, JobId{99});
}

/// The process runs slowly: a renewal comes up seconds after the last proof that there is no
/// successor, and nothing has looked at the proof's age in between. A successor may take the run as
/// dead by then and start it elsewhere.
TEST_F(Takeover, RenewsNothingWithoutProof) {
  const SchedulerOptions options;
  this->after.Hold("a", {World::Active(this->start)}, {});
  EXPECT_TRUE(this->after.scheduler.PlanHold("a", this->after.now).order.lease_end_ms);
  this->after.now = TimePoint{} + options.predecessor_grace;
  EXPECT_FALSE(this->after.scheduler.PlanHold("a", this->after.now).order.lease_end_ms);
  this->after.scheduler.SetProof(this->after.now);
  EXPECT_TRUE(this->after.scheduler.PlanHold("a", this->after.now).order.lease_end_ms);
}

/// A job's submission is dropped once its end is stored. Its caller asks the successor, which has
/// only the progress; told that there is no such job, he hands it in again.
TEST(EndedJobs, AreKnownByTheirProgressAlone) {
  World world;
  JobProgress ended;
  ended.phase = JobPhase::kComplete;
  ended.ended_ms = 5;
  world.scheduler.RestoreProgress(JobId{1}, ended);
  JobProgress going_on;
  going_on.phase = JobPhase::kRunning;
  world.scheduler.RestoreProgress(JobId{2}, going_on);
  world.Register({World::Endpoint("a")});
  ASSERT_TRUE(world.scheduler.Find(JobId{1}));
  EXPECT_EQ(world.PhaseOf(1), JobPhase::kComplete);
  EXPECT_FALSE(world.scheduler.Find(JobId{2})) << "nothing is known of what it is";
  // A repeat of its submission came after the end.
  world.scheduler.AddJob(World::MakeJob(1, {World::MakeStep(1)}), WallTime{});
  EXPECT_TRUE(world.StartAll().empty());
  EXPECT_EQ(world.scheduler.Expired(WallTime(std::chrono::hours(1)), 10),
            std::vector<JobId>{JobId{1}});
}

/// Told before its end is stored, a job's submission would be dropped while a successor still has
/// to run it.
TEST(EndedJobs, CountAsEndedOnceThatIsStored) {
  World world;
  world.Register({World::Endpoint("a")});
  world.scheduler.AddJob(World::MakeJob(1, {World::MakeStep(1)}), WallTime{});
  const StartOrder start = world.StartAll().at(0);
  world.Hold("a", {}, {World::Ended(1, start, RunEnd::kDone)});
  world.Decide();
  EXPECT_TRUE(world.scheduler.TakeEnded().empty());
  world.Store();
  EXPECT_EQ(world.scheduler.TakeEnded(), std::vector<JobId>{JobId{1}});
  EXPECT_TRUE(world.scheduler.TakeEnded().empty());
}

}  // namespace
}  // namespace chervilspar::jobs
