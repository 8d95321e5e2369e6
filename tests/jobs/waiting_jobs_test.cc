#include <algorithm>
#include <functional>

#include <gtest/gtest.h>

#include "tests/jobs/scheduler_harness.h"

namespace chervilspar::jobs {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using Harness = SchedulerHarness;

/// Longer than a count is cached.
constexpr Duration kRecountDelay = milliseconds(500);

/// What happens to the first start order of a job of one task.
struct WaitingCase {
  const char* name;
  std::function<void(Harness&, const StartOrder&)> happen;
};

/// The endpoint stops answering, and no other is registered.
void MakeUnresponsive(Harness& harness, const std::string& endpoint) {
  harness.scheduler.SetEndpoints({}, harness.now);
  harness.scheduler.OnRenewalFailed(endpoint, OrderOutcome::kNoAnswer, harness.now);
}

void Answer(Harness& harness, const StartOrder& start, OrderOutcome outcome) {
  harness.scheduler.OnStartAnswered(start, outcome, harness.now);
}

std::uint64_t Recount(Harness& harness) {
  harness.AdvanceTime(kRecountDelay);
  harness.Decide();
  return harness.scheduler.PendingIn("bookings");
}

StartOrder OrderOne(Harness& harness) {
  harness.Register({Harness::Endpoint("a")});
  harness.scheduler.AddJob(Harness::MakeJob(1, {Harness::MakeStep(1)}), WallTime{});
  return harness.Round().starts.at(0);
}

/// `after` takes over from `before` with the stored records of `before`.
void TakeOver(Harness& after, const Harness& before, const std::vector<EndpointRecord>& endpoints) {
  after.now = before.now;
  after.scheduler.SetEndpoints(endpoints, after.now);
  after.scheduler.AddJob(Harness::MakeJob(1, {Harness::MakeStep(1)}), WallTime{});
  after.scheduler.RestoreProgress(JobId{1}, *DecodeProgress(before.stored.at(JobId{1})));
}

/// Guards against a count of waiting jobs that omits jobs whose start order never led to a run.
class OrderedButNotStarted : public ::testing::TestWithParam<WaitingCase> {};

TEST_P(OrderedButNotStarted, StillWaits) {
  Harness harness;
  const StartOrder start = OrderOne(harness);
  GetParam().happen(harness, start);
  EXPECT_EQ(Recount(harness), 1U);
  EXPECT_EQ(harness.PhaseOf(1), JobPhase::kQueued);
}

TEST_P(OrderedButNotStarted, StillWaitsForASuccessor) {
  Harness before;
  const StartOrder start = OrderOne(before);
  GetParam().happen(before, start);
  before.Store();
  Harness after{{}, 2};
  TakeOver(after, before, {});
  EXPECT_EQ(Recount(after), 1U);
  EXPECT_EQ(after.PhaseOf(1), JobPhase::kQueued);
}

INSTANTIATE_TEST_SUITE_P(
    Orders, OrderedButNotStarted,
    ::testing::Values(
        WaitingCase{"in_flight", [](Harness&, const StartOrder&) {}},
        WaitingCase{"no_room",
                    [](Harness& harness, const StartOrder& start) {
                      Answer(harness, start, OrderOutcome::kNoCapacity);
                    }},
        WaitingCase{"refused",
                    [](Harness& harness, const StartOrder& start) {
                      Answer(harness, start, OrderOutcome::kRefused);
                    }},
        WaitingCase{"too_late",
                    [](Harness& harness, const StartOrder& start) {
                      Answer(harness, start, OrderOutcome::kTooLate);
                    }},
        WaitingCase{"not_sent",
                    [](Harness& harness, const StartOrder& start) {
                      Answer(harness, start, OrderOutcome::kNotSent);
                    }},
        WaitingCase{"another_endpoint_answers",
                    [](Harness& harness, const StartOrder& start) {
                      Answer(harness, start, OrderOutcome::kOtherIncarnation);
                    }},
        WaitingCase{"no_answer_yet",
                    [](Harness& harness, const StartOrder& start) {
                      Answer(harness, start, OrderOutcome::kNoAnswer);
                    }},
        WaitingCase{"not_listed",
                    [](Harness& harness, const StartOrder& start) {
                      Answer(harness, start, OrderOutcome::kNoAnswer);
                      harness.AdvanceTime(SchedulerOptions{}.LongestLease() + seconds(1));
                      harness.AnswerRenewal("a", {}, {});
                    }},
        WaitingCase{"lease_lapsed",
                    [](Harness& harness, const StartOrder& start) {
                      Answer(harness, start, OrderOutcome::kNoAnswer);
                      MakeUnresponsive(harness, "a");
                      harness.AdvanceTime(SchedulerOptions{}.LongestLease() + seconds(1));
                      harness.Decide();
                    }},
        WaitingCase{"endpoint_restarted",
                    [](Harness& harness, const StartOrder& start) {
                      Answer(harness, start, OrderOutcome::kNoAnswer);
                      harness.AnswerRenewal("a", {}, {}, 2);
                      harness.AdvanceTime(SchedulerOptions{}.LongestLease() + seconds(1));
                      harness.AnswerRenewal("a", {}, {}, 2);
                    }}),
    [](const auto& info) { return info.param.name; });

/// Guards against a count that includes a job again after one of its tasks has started.
class Started : public ::testing::TestWithParam<WaitingCase> {};

TEST_P(Started, IsNoLongerWaiting) {
  Harness harness;
  const StartOrder start = OrderOne(harness);
  GetParam().happen(harness, start);
  EXPECT_EQ(Recount(harness), 0U);
  EXPECT_NE(harness.PhaseOf(1), JobPhase::kQueued);
}

INSTANTIATE_TEST_SUITE_P(
    Runs, Started,
    ::testing::Values(WaitingCase{"confirmed",
                                  [](Harness& harness, const StartOrder& start) {
                                    Answer(harness, start, OrderOutcome::kDone);
                                  }},
                      WaitingCase{"listed_after_a_lost_answer",
                                  [](Harness& harness, const StartOrder& start) {
                                    Answer(harness, start, OrderOutcome::kNoAnswer);
                                    harness.AnswerRenewal("a", {Harness::Active(start)}, {});
                                  }},
                      WaitingCase{"its_end_reported_first",
                                  [](Harness& harness, const StartOrder& start) {
                                    harness.AnswerRenewal(
                                        "a", {}, {Harness::Ended(1, start, RunEnd::kFailed)});
                                  }},
                      WaitingCase{"lost_with_its_endpoint",
                                  [](Harness& harness, const StartOrder& start) {
                                    Answer(harness, start, OrderOutcome::kDone);
                                    MakeUnresponsive(harness, "a");
                                    harness.AdvanceTime(SchedulerOptions{}.LongestLease() +
                                                        seconds(1));
                                    harness.Decide();
                                  }},
                      WaitingCase{"listed_while_it_is_stopped",
                                  [](Harness& harness, const StartOrder& start) {
                                    Answer(harness, start, OrderOutcome::kNoAnswer);
                                    harness.AdvanceTime(SchedulerOptions{}.LongestLease());
                                    harness.Decide();
                                    harness.AnswerRenewal("a", {Harness::Active(start)}, {});
                                  }}),
    [](const auto& info) { return info.param.name; });

/// Guards against a successor that counts a job as waiting although its predecessor saw it start.
TEST(WaitingJobs, ASuccessorKnowsWhichJobsHaveStarted) {
  Harness before;
  const StartOrder start = OrderOne(before);
  Answer(before, start, OrderOutcome::kDone);
  before.AnswerRenewal("a", {}, {Harness::Ended(1, start, RunEnd::kFailed)});
  before.Store();
  Harness after{{}, 2};
  TakeOver(after, before, {});
  EXPECT_EQ(Recount(after), 0U);
}

/// Guards against a successor that counts a job as waiting although an endpoint lists its run.
TEST(WaitingJobs, ASuccessorLearnsFromTheEndpointWhichJobsHaveStarted) {
  Harness before;
  const StartOrder start = OrderOne(before);
  Answer(before, start, OrderOutcome::kDone);
  Harness after{{}, 2};
  TakeOver(after, before, before.endpoints);
  after.AnswerRenewal("a", {Harness::Active(start)}, {});
  EXPECT_EQ(Recount(after), 0U);
}

/// Guards against a successor that counts a job as waiting whose only run was lost.
TEST(WaitingJobs, ASuccessorKnowsOfARunThatWasLost) {
  Harness before;
  const StartOrder start = OrderOne(before);
  Answer(before, start, OrderOutcome::kDone);
  MakeUnresponsive(before, "a");
  before.AdvanceTime(SchedulerOptions{}.LongestLease() + seconds(1));
  before.Round();
  Harness after{{}, 2};
  TakeOver(after, before, {});
  EXPECT_EQ(Recount(after), 0U);
  EXPECT_EQ(after.PhaseOf(1), JobPhase::kRunning);
}

/// A job of one task that runs for long without any further changes to store.
struct LongCase {
  const char* name;
  bool is_long_running;
  std::int64_t estimate_ms;
};

class LongJobs : public ::testing::TestWithParam<LongCase> {};

/// Guards against a successor that reports a job as queued that was reported as running before.
TEST_P(LongJobs, ASuccessorStillReportsThemAsRunning) {
  Step step = Harness::MakeStep(1);
  step.is_long_running = GetParam().is_long_running;
  step.estimate_ms = GetParam().estimate_ms;
  const Job job = Harness::MakeJob(1, {step});
  Harness before;
  before.Register({Harness::Endpoint("a")});
  before.scheduler.AddJob(job, WallTime{});
  const StartOrder start = before.Round().starts.at(0);
  Answer(before, start, OrderOutcome::kDone);
  before.Round();
  ASSERT_EQ(before.PhaseOf(1), JobPhase::kRunning);
  Harness after{{}, 2};
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

bool IsLogged(Harness& harness, const std::string& event) {
  const std::vector<DecisionEvent> events = harness.scheduler.TakeEvents();
  return std::any_of(events.begin(), events.end(),
                     [&](const DecisionEvent& logged) { return logged.event == event; });
}

/// Guards against a second log line about the start of a job after a takeover, with a wrong wait.
TEST(WaitingJobs, AStartIsLoggedOnce) {
  Harness before;
  const StartOrder start = OrderOne(before);
  Answer(before, start, OrderOutcome::kDone);
  EXPECT_TRUE(IsLogged(before, "job_started"));
  Harness after{{}, 2};
  TakeOver(after, before, before.endpoints);
  after.AnswerRenewal("a", {Harness::Active(start)}, {});
  EXPECT_FALSE(IsLogged(after, "job_started"));
}

/// Guards against a reported count of zero that leaves no trace in the log.
TEST(WaitingJobs, ACountOfZeroIsLogged) {
  Harness harness;
  EXPECT_EQ(Recount(harness), 0U);
  EXPECT_TRUE(IsLogged(harness, "waiting_jobs_told"));
}

/// Guards against a successor that reports a job as queued and counts it as waiting although it was
/// reported as running before, since nothing is stored while a run continues.
TEST(WaitingJobs, ASuccessorStillReportsAJobAsRunning) {
  Harness before;
  const StartOrder start = OrderOne(before);
  Answer(before, start, OrderOutcome::kDone);
  for (int i = 0; i < 60; ++i) {
    before.AdvanceTime(seconds(1));
    before.scheduler.SetProof(before.now);
    before.AnswerRenewal("a", {Harness::Active(start)}, {});
    before.Round();
  }
  ASSERT_EQ(before.PhaseOf(1), JobPhase::kRunning);
  Harness after{{}, 2};
  TakeOver(after, before, before.endpoints);
  EXPECT_EQ(after.PhaseOf(1), JobPhase::kRunning);
  EXPECT_EQ(Recount(after), 0U);
}

}  // namespace
}  // namespace chervilspar::jobs
