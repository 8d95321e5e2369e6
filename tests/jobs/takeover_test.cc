#include <functional>

#include <gtest/gtest.h>

#include "tests/jobs/scheduler_harness.h"

namespace chervilspar::jobs {
namespace {

using std::chrono::milliseconds;
using Harness = SchedulerHarness;

std::int64_t ToMs(TimePoint time) {
  return std::chrono::duration_cast<milliseconds>(time.time_since_epoch()).count();
}

/// A predecessor was killed after it placed a task. The successor knows the stored records, in
/// either form.
class Takeover : public ::testing::TestWithParam<ProgressForm> {
 protected:
  Takeover() {
    SchedulerOptions options;
    options.progress_form = GetParam();
    Harness before(options);
    before.Register({Harness::Endpoint("a"), Harness::Endpoint("b")});
    before.scheduler.AddJob(this->job, WallTime{});
    this->start = before.Round().starts.at(0);
    this->progress = *DecodeProgress(before.stored.at(JobId{1}));
    this->after.scheduler.SetEndpoints({Harness::Endpoint("a"), Harness::Endpoint("b")},
                                       this->after.now);
    this->after.scheduler.AddJob(this->job, WallTime{});
    this->after.scheduler.RestoreProgress(JobId{1}, this->progress);
  }

  Job job = Harness::MakeJob(1, {Harness::MakeStep(1)});
  StartOrder start;
  JobProgress progress;
  Harness after{{}, 2};
};

/// The run is active. It must continue, and no second run may start.
TEST_P(Takeover, KeepsActiveRuns) {
  this->after.AnswerRenewal("a", {Harness::Active(this->start)}, {});
  this->after.AnswerRenewal("b", {}, {});
  const Orders orders = this->after.Round();
  EXPECT_TRUE(orders.starts.empty());
  EXPECT_TRUE(orders.stops.empty());
  this->after.AnswerRenewal("a", {}, {Harness::Ended(1, this->start, RunEnd::kDone)});
  this->after.Store();
  EXPECT_EQ(this->after.PhaseOf(1), JobPhase::kComplete);
}

/// The endpoint restarted before it accepted the run, unknown to the predecessor. The successor
/// sees the new incarnation first, and must not start a second run.
TEST_P(Takeover, KeepsRunsOfANewIncarnation) {
  Harness harness({}, 2);
  EndpointRecord restarted = Harness::Endpoint(this->start.endpoint);
  restarted.born_ms = 2;
  harness.scheduler.SetEndpoints({restarted, Harness::Endpoint("c")}, harness.now);
  harness.scheduler.AddJob(this->job, WallTime{});
  harness.scheduler.RestoreProgress(JobId{1}, this->progress);
  harness.AnswerRenewal("c", {}, {});
  EXPECT_TRUE(harness.Round().starts.empty());
  harness.AnswerRenewal(restarted.id, {Harness::Active(this->start)}, {}, 2);
  EXPECT_TRUE(harness.Round().starts.empty());
  harness.AnswerRenewal(restarted.id, {}, {Harness::Ended(1, this->start, RunEnd::kDone)}, 2);
  harness.Store();
  EXPECT_EQ(harness.PhaseOf(1), JobPhase::kComplete);
}

/// The start never arrived. As the endpoint has answered a request with the successor's token, it
/// would refuse the order now, and the task starts with a higher run number.
TEST_P(Takeover, RestartsWhatNeverArrived) {
  this->after.AnswerRenewal(this->start.endpoint, {}, {});
  const Orders orders = this->after.Round();
  ASSERT_EQ(orders.starts.size(), 1U);
  EXPECT_GT(orders.starts[0].run, this->start.run);
  EXPECT_EQ(orders.starts[0].token >> 30U, 2U);
}

/// The rack of the endpoint is unreachable while the owner fails. The predecessor may have renewed
/// leases until its proof expired. Only one lease after that, the run is certainly dead.
TEST_P(Takeover, WaitsOutThePredecessorOfAnUnreachableEndpoint) {
  const std::string other = this->start.endpoint == "a" ? "b" : "a";
  this->after.AnswerRenewal(other, {}, {});
  this->after.scheduler.OnRenewalFailed(this->start.endpoint, OrderOutcome::kNoAnswer,
                                        this->after.now);
  const SchedulerOptions options;
  this->after.now = TimePoint{} + options.predecessor_grace + options.lease;
  EXPECT_TRUE(this->after.Round().starts.empty());
  this->after.AdvanceTime(milliseconds(500));
  const Orders orders = this->after.Round();
  ASSERT_EQ(orders.starts.size(), 1U);
  EXPECT_EQ(orders.starts[0].endpoint, other);
}

/// The same, after the successor renewed the leases while it loaded the jobs. These last longer
/// than any that the predecessor may have granted.
TEST_P(Takeover, WaitsOutTheLeasesThatWereGrantedBeforeTheJobsWereLoaded) {
  const std::string other = this->start.endpoint == "a" ? "b" : "a";
  const SchedulerOptions options;
  const TimePoint renewed = TimePoint{} + options.predecessor_grace + std::chrono::seconds(2);
  this->after.scheduler.RecordInterimLeases(
      {{this->start.endpoint, {renewed + options.LongestLease(), 1}}});
  this->after.AnswerRenewal(other, {}, {});
  this->after.scheduler.OnRenewalFailed(this->start.endpoint, OrderOutcome::kNoAnswer,
                                        this->after.now);
  this->after.now = renewed + options.lease;
  EXPECT_TRUE(this->after.Round().starts.empty());
  this->after.AdvanceTime(milliseconds(500));
  const Orders orders = this->after.Round();
  ASSERT_EQ(orders.starts.size(), 1U);
  EXPECT_EQ(orders.starts[0].endpoint, other);
}

/// The endpoint has restarted since, so the runs of its previous incarnation are gone.
TEST_P(Takeover, RestartsRunsOfAPreviousIncarnation) {
  Harness harness{{}, 2};
  EndpointRecord restarted = Harness::Endpoint(this->start.endpoint);
  restarted.born_ms = 2;
  harness.scheduler.SetEndpoints({restarted}, harness.now);
  harness.scheduler.AddJob(this->job, WallTime{});
  harness.scheduler.RestoreProgress(JobId{1}, this->progress);
  harness.AnswerRenewal(this->start.endpoint, {}, {}, 2);
  EXPECT_EQ(harness.Round().starts.size(), 1U);
}

/// The end was stored but not confirmed, so the endpoint reports it to the successor again.
TEST_P(Takeover, AcceptsAnEndThatWasAlreadyStored) {
  Harness harness{{}, 2};
  harness.scheduler.SetEndpoints({Harness::Endpoint("a")}, harness.now);
  harness.scheduler.AddJob(this->job, WallTime{});
  JobProgress done = this->progress;
  done.rows[0].progress.phase = TaskPhase::kDone;
  done.rows[0].progress.endpoint.clear();
  harness.scheduler.RestoreProgress(JobId{1}, done);
  harness.AnswerRenewal("a", {}, {Harness::Ended(1, this->start, RunEnd::kDone)});
  EXPECT_TRUE(harness.Round().starts.empty());
  EXPECT_EQ(harness.PhaseOf(1), JobPhase::kComplete);
}

/// Guards against a successor that drops a job whose failure is stored without an end date, as if
/// it had ended long ago, and then reports it as unknown. This happens if the owner is replaced
/// between the failure and the record of the end date.
TEST_P(Takeover, KeepsAJobThatHasJustEnded) {
  Harness harness{{}, 2};
  harness.now = TimePoint{} + std::chrono::hours(1000);
  Job ended = this->job;
  ended.accepted_ms = ToMs(harness.now) - 1000000;
  harness.scheduler.AddJob(ended, WallTime(harness.now.time_since_epoch()));
  JobProgress failed = this->progress;
  failed.phase = JobPhase::kFailed;
  failed.ended_ms = 0;
  harness.scheduler.RestoreProgress(JobId{1}, failed);
  EXPECT_TRUE(harness.scheduler.ExpiredJobs(WallTime(harness.now.time_since_epoch()), 10).empty());
  EXPECT_EQ(harness.PhaseOf(1), JobPhase::kFailed);
}

/// How a job ends while one of its runs is still being stopped.
struct EndingCase {
  const char* name;
  /// Number of tasks of the job, which fill an endpoint together.
  std::uint32_t tasks;
  /// Ends the job and returns the start of the run that remains at "a".
  std::function<StartOrder(Harness&)> end;
};

Job MakeFilling(std::uint64_t number, std::uint32_t tasks) {
  return Harness::MakeJob(number, {Harness::MakeStep(tasks, 8000 / tasks)});
}

StartOrder EndByCancelling(Harness& harness) {
  StartOrder start = harness.StartAll().at(0);
  harness.scheduler.CancelJob(JobId{1});
  return start;
}

/// One of two tasks fails for the last time.
StartOrder EndByFailing(Harness& harness) {
  const std::vector<StartOrder> starts = harness.StartAll();
  harness.AnswerRenewal("a", {Harness::Active(starts[0])},
                        {Harness::Ended(1, starts[1], RunEnd::kFailed)});
  const StartOrder again = harness.StartAll().at(0);
  harness.AnswerRenewal("a", {Harness::Active(starts[0])},
                        {Harness::Ended(2, again, RunEnd::kFailed)});
  return starts[0];
}

/// The first run, considered dead, turns out to have succeeded.
StartOrder EndByAnEarlierRun(Harness& harness) {
  harness.scheduler.SetEndpoints({Harness::Endpoint("b")}, harness.now);
  harness.AnswerRenewal("b", {}, {});
  const StartOrder first = harness.StartAll().at(0);
  harness.scheduler.OnRenewalFailed("b", OrderOutcome::kNoAnswer, harness.now);
  const SchedulerOptions options;
  harness.AdvanceTime(options.TimeToLapse(options.lease_limit) + std::chrono::seconds(1));
  harness.Decide();
  harness.Store();
  harness.Register({Harness::Endpoint("a")});
  StartOrder second = harness.StartAll().at(0);
  harness.scheduler.SetEndpoints({Harness::Endpoint("a"), Harness::Endpoint("b")}, harness.now);
  harness.AnswerRenewal("b", {}, {Harness::Ended(1, first, RunEnd::kDone)});
  return second;
}

/// Guards against a successor that considers the runs of a job ended because the end of the job is
/// stored, and starts others in the capacity that they still use.
class EndedWithARun : public ::testing::TestWithParam<EndingCase> {};

TEST_P(EndedWithARun, KeepsItsCapacityUntilTheRunEnds) {
  Harness before;
  before.Register({Harness::Endpoint("a")});
  before.scheduler.AddJob(MakeFilling(1, GetParam().tasks), WallTime{});
  const StartOrder left = GetParam().end(before);
  before.Store();
  const JobProgress stored = *DecodeProgress(before.stored.at(JobId{1}));
  ASSERT_TRUE(stored.IsEnded());
  Harness after{{}, 2};
  after.now = before.now;
  after.scheduler.SetEndpoints({Harness::Endpoint("a")}, after.now);
  after.scheduler.AddJob(MakeFilling(1, GetParam().tasks), WallTime{});
  after.scheduler.AddJob(MakeFilling(2, 1), WallTime{});
  after.scheduler.RestoreProgress(JobId{1}, stored);
  after.AnswerRenewal("a", {Harness::Active(left)}, {});
  const Orders orders = after.Round();
  EXPECT_TRUE(orders.starts.empty());
  ASSERT_EQ(orders.stops.size(), 1U);
  EXPECT_EQ(orders.stops[0].task, left.task);
  after.AnswerRenewal("a", {}, {Harness::Ended(9, left, RunEnd::kStopped)});
  EXPECT_EQ(after.StartAll().size(), 1U);
  EXPECT_EQ(after.PhaseOf(1), stored.phase);
  after.Decide();
  after.Store();
  EXPECT_EQ(after.scheduler.TakeEndedJobs(), std::vector<JobId>{JobId{1}});
}

INSTANTIATE_TEST_SUITE_P(Endings, EndedWithARun,
                         ::testing::Values(EndingCase{"cancelled", 1, EndByCancelling},
                                           EndingCase{"failed", 2, EndByFailing},
                                           EndingCase{"complete", 1, EndByAnEarlierRun}),
                         [](const auto& info) { return info.param.name; });

/// The active run belongs to an unknown job, one that was cancelled and forgotten.
TEST_P(Takeover, StopsOrphanedRuns) {
  StartOrder orphan = this->start;
  orphan.task.job = JobId{99};
  this->after.AnswerRenewal("a", {Harness::Active(orphan)}, {});
  const Orders orders = this->after.Round();
  ASSERT_EQ(orders.stops.size(), 1U);
  EXPECT_EQ(orders.stops[0].task.job, JobId{99});
}

/// In a slow process, a renewal may become due seconds after the last proof that there is no
/// successor, without a check of the age of the proof in between. By then a successor may consider
/// the run dead and start it elsewhere.
TEST_P(Takeover, RenewsNothingWithoutProof) {
  const SchedulerOptions options;
  this->after.AnswerRenewal("a", {Harness::Active(this->start)}, {});
  EXPECT_TRUE(this->after.scheduler.PlanRenewal("a", this->after.now).order.lease_end_ms);
  this->after.now = TimePoint{} + options.predecessor_grace;
  EXPECT_FALSE(this->after.scheduler.PlanRenewal("a", this->after.now).order.lease_end_ms);
  this->after.scheduler.SetProof(this->after.now);
  EXPECT_TRUE(this->after.scheduler.PlanRenewal("a", this->after.now).order.lease_end_ms);
}

/// Operators switch to rows before they deploy an older version that reads rows only. A record left
/// in the compact form would be unknown to that version, which would start the tasks of its job a
/// second time.
TEST_P(Takeover, RewritesCompactRecordsIfRowsAreConfigured) {
  SchedulerOptions options;
  options.progress_form = ProgressForm::kRows;
  Harness harness(options, 2);
  harness.scheduler.AddJob(this->job, WallTime{});
  const std::string record = EncodeProgress(this->progress, GetParam());
  ASSERT_TRUE(harness.scheduler.RestoreStored(JobId{1}, {record}));
  harness.Store();
  const bool was_compact = GetParam() == ProgressForm::kCompact;
  ASSERT_EQ(harness.stored.size(), was_compact ? 1U : 0U);
  if (was_compact) {
    EXPECT_EQ(harness.stored.at(JobId{1}), EncodeProgress(this->progress, ProgressForm::kRows));
  }
}

/// After a switch to the compact form, the next takeover must not rewrite all active jobs.
TEST_P(Takeover, KeepsRowsIfCompactRecordsAreConfigured) {
  SchedulerOptions options;
  options.progress_form = ProgressForm::kCompact;
  Harness harness(options, 2);
  harness.scheduler.AddJob(this->job, WallTime{});
  const std::string record = EncodeProgress(this->progress, GetParam());
  ASSERT_TRUE(harness.scheduler.RestoreStored(JobId{1}, {record}));
  harness.Store();
  EXPECT_TRUE(harness.stored.empty());
}

INSTANTIATE_TEST_SUITE_P(Forms, Takeover,
                         ::testing::Values(ProgressForm::kRows, ProgressForm::kCompact),
                         [](const auto& info) {
                           return info.param == ProgressForm::kRows ? "rows" : "compact";
                         });

/// The record is of a later version. The error, which is logged, names the field that this version
/// can't read.
TEST(StoredRecords, AreRefusedByTheFieldThatCannotBeRead) {
  Harness harness({}, 2);
  harness.scheduler.AddJob(Harness::MakeJob(1, {Harness::MakeStep(1)}), WallTime{});
  const Status restored = harness.scheduler.RestoreStored(JobId{1}, {"[1,[],[[9,0,[1]]]]"});
  ASSERT_FALSE(restored);
  EXPECT_EQ(restored.LastReason().field, "groups/0/phase");
}

/// The submission of a job is removed once its end is stored, so a successor has only the progress.
/// If it reported the job as unknown, the caller would submit it again.
TEST(EndedJobs, AreKnownByTheirProgressAlone) {
  Harness harness;
  JobProgress ended;
  ended.phase = JobPhase::kComplete;
  ended.ended_ms = 5;
  harness.scheduler.RestoreProgress(JobId{1}, ended);
  JobProgress running;
  running.phase = JobPhase::kRunning;
  harness.scheduler.RestoreProgress(JobId{2}, running);
  harness.Register({Harness::Endpoint("a")});
  ASSERT_TRUE(harness.scheduler.Find(JobId{1}));
  EXPECT_EQ(harness.PhaseOf(1), JobPhase::kComplete);
  EXPECT_FALSE(harness.scheduler.Find(JobId{2})) << "its submission is unknown";
  // Its submission is repeated after the end.
  harness.scheduler.AddJob(Harness::MakeJob(1, {Harness::MakeStep(1)}), WallTime{});
  EXPECT_TRUE(harness.StartAll().empty());
  EXPECT_EQ(harness.scheduler.ExpiredJobs(WallTime(std::chrono::hours(1)), 10),
            std::vector<JobId>{JobId{1}});
}

/// If the end were returned before it is stored, the submission would be removed while a successor
/// may still have to run the job.
TEST(EndedJobs, CountAsEndedOnceTheirEndIsStored) {
  Harness harness;
  harness.Register({Harness::Endpoint("a")});
  harness.scheduler.AddJob(Harness::MakeJob(1, {Harness::MakeStep(1)}), WallTime{});
  const StartOrder start = harness.StartAll().at(0);
  harness.AnswerRenewal("a", {}, {Harness::Ended(1, start, RunEnd::kDone)});
  harness.Decide();
  EXPECT_TRUE(harness.scheduler.TakeEndedJobs().empty());
  harness.Store();
  EXPECT_EQ(harness.scheduler.TakeEndedJobs(), std::vector<JobId>{JobId{1}});
  EXPECT_TRUE(harness.scheduler.TakeEndedJobs().empty());
}

/// Guards against an owner that renews for longer than its successor waits. The answer to its
/// announcement may take 0.9 s, during which a successor announces itself.
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
