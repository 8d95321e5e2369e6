#include <functional>

#include <gtest/gtest.h>

#include "tests/jobs/scheduler_world.h"

namespace chervilspar::jobs {
namespace {

using std::chrono::milliseconds;
using World = SchedulerWorld;

std::int64_t ToMs(TimePoint time) {
  return std::chrono::duration_cast<milliseconds>(time.time_since_epoch()).count();
}

/// A predecessor has placed a task at "a" and was killed. The successor knows what was stored, in
/// either form.
class Takeover : public ::testing::TestWithParam<ProgressForm> {
 protected:
  Takeover() {
    SchedulerOptions options;
    options.progress_form = GetParam();
    World before(options);
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
TEST_P(Takeover, KeepsWhatRuns) {
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
TEST_P(Takeover, KeepsWhatANewLifeTook) {
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
TEST_P(Takeover, StartsWhatNeverArrived) {
  this->after.Hold(this->start.endpoint, {}, {});
  const Orders orders = this->after.Round();
  ASSERT_EQ(orders.starts.size(), 1U);
  EXPECT_GT(orders.starts[0].run, this->start.run);
  EXPECT_EQ(orders.starts[0].token, 2U);
}

/// The endpoint's rack is dark while the owner dies. The predecessor may have renewed until its
/// proof ran out; only then, and one lease later, the run is certainly dead.
TEST_P(Takeover, WaitsOutThePredecessorWhereItReachesNobody) {
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
TEST_P(Takeover, WaitsOutTheLeasesThatWereGivenBeforeTheJobsWereKnown) {
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
TEST_P(Takeover, StartsAnewWhatAFormerLifeRan) {
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
TEST_P(Takeover, TakesAnEndThatWasStoredBefore) {
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
TEST_P(Takeover, KeepsAJobThatHasJustEnded) {
  World world{{}, 2};
  world.now = TimePoint{} + std::chrono::hours(1000);
  Job ended = this->job;
  ended.accepted_ms = ToMs(world.now) - 1000000;
  world.scheduler.AddJob(ended, WallTime(world.now.time_since_epoch()));
  JobProgress failed = this->progress;
  failed.phase = JobPhase::kFailed;
  failed.ended_ms = 0;
  world.scheduler.RestoreProgress(JobId{1}, failed);
  EXPECT_TRUE(world.scheduler.Expired(WallTime(world.now.time_since_epoch()), 10).empty());
  EXPECT_EQ(world.PhaseOf(1), JobPhase::kFailed);
}

/// How a job came to its end while a run of it was still being stopped.
struct EndingCase {
  const char* name;
  /// The job's, which fill an endpoint together.
  std::uint32_t tasks;
  /// Gives the run that is left at "a".
  std::function<StartOrder(World&)> end;
};

Job MakeFilling(std::uint64_t number, std::uint32_t tasks) {
  return World::MakeJob(number, {World::MakeStep(tasks, 8000 / tasks)});
}

StartOrder EndByCancelling(World& world) {
  StartOrder start = world.StartAll().at(0);
  world.scheduler.CancelJob(JobId{1});
  return start;
}

/// One of two tasks fails for the last time.
StartOrder EndByFailing(World& world) {
  const std::vector<StartOrder> starts = world.StartAll();
  world.Hold("a", {World::Active(starts[0])}, {World::Ended(1, starts[1], RunEnd::kFailed)});
  const StartOrder again = world.StartAll().at(0);
  world.Hold("a", {World::Active(starts[0])}, {World::Ended(2, again, RunEnd::kFailed)});
  return starts[0];
}

/// The first run, taken as dead, turns out to have ended well.
StartOrder EndByAnEarlierRun(World& world) {
  world.scheduler.SetEndpoints({World::Endpoint("b")}, world.now);
  world.Hold("b", {}, {});
  const StartOrder first = world.StartAll().at(0);
  world.scheduler.OnHoldFailed("b", OrderOutcome::kNoAnswer, world.now);
  world.Pass(SchedulerOptions{}.LongestLease() + std::chrono::seconds(1));
  world.Decide();
  world.Store();
  world.Register({World::Endpoint("a")});
  StartOrder second = world.StartAll().at(0);
  world.scheduler.SetEndpoints({World::Endpoint("a"), World::Endpoint("b")}, world.now);
  world.Hold("b", {}, {World::Ended(1, first, RunEnd::kDone)});
  return second;
}

/// Guards against a successor that takes the runs of a job for over because its end is stored, and
/// starts others in the room where they still are.
class EndedWithARun : public ::testing::TestWithParam<EndingCase> {};

TEST_P(EndedWithARun, KeepsItsRoomUntilItIsGone) {
  World before;
  before.Register({World::Endpoint("a")});
  before.scheduler.AddJob(MakeFilling(1, GetParam().tasks), WallTime{});
  const StartOrder left = GetParam().end(before);
  before.Store();
  const JobProgress stored = *DecodeProgress(before.stored.at(JobId{1}));
  ASSERT_TRUE(stored.IsEnded());
  World after{{}, 2};
  after.now = before.now;
  after.scheduler.SetEndpoints({World::Endpoint("a")}, after.now);
  after.scheduler.AddJob(MakeFilling(1, GetParam().tasks), WallTime{});
  after.scheduler.AddJob(MakeFilling(2, 1), WallTime{});
  after.scheduler.RestoreProgress(JobId{1}, stored);
  after.Hold("a", {World::Active(left)}, {});
  const Orders orders = after.Round();
  EXPECT_TRUE(orders.starts.empty());
  ASSERT_EQ(orders.stops.size(), 1U);
  EXPECT_EQ(orders.stops[0].task, left.task);
  after.Hold("a", {}, {World::Ended(9, left, RunEnd::kStopped)});
  EXPECT_EQ(after.StartAll().size(), 1U);
  EXPECT_EQ(after.PhaseOf(1), stored.phase);
  after.Decide();
  after.Store();
  EXPECT_EQ(after.scheduler.TakeEnded(), std::vector<JobId>{JobId{1}});
}

INSTANTIATE_TEST_SUITE_P(Endings, EndedWithARun,
                         ::testing::Values(EndingCase{"cancelled", 1, EndByCancelling},
                                           EndingCase{"failed", 2, EndByFailing},
                                           EndingCase{"complete", 1, EndByAnEarlierRun}),
                         [](const auto& info) { return info.param.name; });

/// What runs belongs to a job that nobody knows, as it was cancelled and forgotten.
TEST_P(Takeover, StopsWhatNobodyAskedFor) {
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
TEST_P(Takeover, RenewsNothingWithoutProof) {
  const SchedulerOptions options;
  this->after.Hold("a", {World::Active(this->start)}, {});
  EXPECT_TRUE(this->after.scheduler.PlanHold("a", this->after.now).order.lease_end_ms);
  this->after.now = TimePoint{} + options.predecessor_grace;
  EXPECT_FALSE(this->after.scheduler.PlanHold("a", this->after.now).order.lease_end_ms);
  this->after.scheduler.SetProof(this->after.now);
  EXPECT_TRUE(this->after.scheduler.PlanHold("a", this->after.now).order.lease_end_ms);
}

/// The operators go back to a version that reads rows only, and first ask for rows. A record that
/// stayed in the compact form would be unknown to that version, which would start its job's tasks a
/// second time.
TEST_P(Takeover, LeavesNoCompactRecordBehindWhereRowsAreAskedFor) {
  SchedulerOptions options;
  options.progress_form = ProgressForm::kRows;
  World world(options, 2);
  world.scheduler.AddJob(this->job, WallTime{});
  const std::string record = EncodeProgress(this->progress, GetParam());
  ASSERT_TRUE(world.scheduler.RestoreStored(JobId{1}, record));
  world.Store();
  const bool was_compact = GetParam() == ProgressForm::kCompact;
  ASSERT_EQ(world.stored.size(), was_compact ? 1U : 0U);
  if (was_compact) {
    EXPECT_EQ(world.stored.at(JobId{1}), EncodeProgress(this->progress, ProgressForm::kRows));
  }
}

/// A switch to the compact form must not write all jobs that go on at the next take-over.
TEST_P(Takeover, LeavesRowsAsTheyAreWhereCompactRecordsAreAskedFor) {
  SchedulerOptions options;
  options.progress_form = ProgressForm::kCompact;
  World world(options, 2);
  world.scheduler.AddJob(this->job, WallTime{});
  const std::string record = EncodeProgress(this->progress, GetParam());
  ASSERT_TRUE(world.scheduler.RestoreStored(JobId{1}, record));
  world.Store();
  EXPECT_TRUE(world.stored.empty());
}

INSTANTIATE_TEST_SUITE_P(Forms, Takeover,
                         ::testing::Values(ProgressForm::kRows, ProgressForm::kCompact),
                         [](const auto& info) {
                           return info.param == ProgressForm::kRows ? "rows" : "compact";
                         });

/// A record of a later version: the reason is for the log, and names what this version can't read.
TEST(StoredRecords, AreRefusedByTheFieldThatCannotBeRead) {
  World world({}, 2);
  world.scheduler.AddJob(World::MakeJob(1, {World::MakeStep(1)}), WallTime{});
  const Status restored = world.scheduler.RestoreStored(JobId{1}, "[1,[],[[9,0,[1]]]]");
  ASSERT_FALSE(restored);
  EXPECT_EQ(restored.LastReason().field, "groups/0/phase");
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

/// Guards against an owner that renews for longer than its successor waits: the answer to its
/// announcement took 0.9 s, in which the successor announced its own.
TEST(Takeover, RenewalsPauseByTheTimeAtWhichTheAnnouncementWasSent) {
  const SchedulerOptions options;
  const TimePoint sent{};
  const TimePoint answered = sent + milliseconds(900);
  Scheduler scheduler(options, 1, answered, sent);
  EXPECT_TRUE(scheduler.MayRenew(answered));
  EXPECT_FALSE(scheduler.MayRenew(sent + options.predecessor_grace));
}

}  // namespace
}  // namespace chervilspar::jobs
