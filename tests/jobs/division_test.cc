#include <algorithm>
#include <set>

#include <gtest/gtest.h>

#include "tests/jobs/scheduler_harness.h"

namespace chervilspar::jobs {
namespace {

using std::chrono::milliseconds;

const TeamId kHot{"hot"};
const TeamId kGuest{"guest"};

/// Two pools of 20 cores each, "desk" and "tills", whose tasks take exactly their estimate.
class TwoPools : public SchedulerHarness {
 public:
  explicit TwoPools(bool divides_shares, std::uint64_t token = 1, bool plans_overload = true)
      : SchedulerHarness(OptionsFor(divides_shares, plans_overload), token) {
    Queue tills = this->policy.queues.at("bookings");
    tills.service = ServiceId{"tills"};
    this->policy.queues["tills"] = tills;
    this->SetWeights(1, 1);
    EndpointRecord other = Endpoint("b", 20);
    other.service = ServiceId{"tills"};
    this->Register({Endpoint("a", 20), other});
  }

  void SetWeights(double hot, double guest) {
    this->policy.teams[kHot] = {kHot, hot, {}};
    this->policy.teams[kGuest] = {kGuest, guest, {}};
    this->scheduler.SetPolicy(this->policy);
  }

  /// Adds jobs of one task of a core for a second, due 2.5 s from now.
  void Add(const TeamId& team, const std::string& queue, int count) {
    for (int i = 0; i < count; ++i) {
      Job job = MakeJob(this->jobs.size() + 1, {MakeStep(1)});
      job.team = team;
      job.queue = queue;
      job.service = this->policy.queues.at(queue).service;
      job.accepted_ms = this->WallMs();
      this->jobs.push_back(job);
      this->scheduler.AddJob(job, WallTime(this->now.time_since_epoch()));
    }
  }

  /// Places and confirms, and reports the runs that have ended.
  std::vector<StartOrder> Step() {
    std::vector<StartOrder> starts = this->StartAll();
    for (const StartOrder& start : starts) {
      this->runs.push_back({start, this->WallMs() + 1000});
    }
    std::map<std::string, std::vector<ActiveRun>> active{{"a", {}}, {"b", {}}};
    std::map<std::string, std::vector<EndedRun>> ended;
    std::erase_if(this->runs, [&](const Run& run) {
      if (run.end_ms > this->WallMs()) {
        active[run.start.endpoint].push_back(Active(run.start));
        return false;
      }
      const std::uint64_t number = ++this->ends[run.start.endpoint];
      ended[run.start.endpoint].push_back(Ended(number, run.start, RunEnd::kDone));
      this->done_ms[run.start.task.job] = run.end_ms;
      return true;
    });
    for (const auto& [endpoint, runs_there] : active) {
      this->AnswerRenewal(endpoint, runs_there, ended[endpoint]);
    }
    this->AdvanceTime(milliseconds(6));
    this->scheduler.SetProof(this->now);
    return starts;
  }

  /// The part of the account's jobs in a queue that are done on time.
  double OnTimeShare(const TeamId& team, const std::string& queue) const {
    double all = 0;
    double on_time = 0;
    for (const Job& job : this->jobs) {
      if (job.team == team && job.queue == queue) {
        const auto done = this->done_ms.find(job.id);
        ++all;
        on_time += done != this->done_ms.end() && done->second <= job.accepted_ms + 2500 ? 1 : 0;
      }
    }
    return all > 0 ? on_time / all : 1;
  }

  std::int64_t WallMs() const {
    return std::chrono::duration_cast<milliseconds>(this->now.time_since_epoch()).count();
  }

  std::vector<Job> jobs;

 private:
  static SchedulerOptions OptionsFor(bool divides_shares, bool plans_overload) {
    SchedulerOptions options;
    options.plans_overload = plans_overload;
    options.divides_shares = divides_shares;
    return options;
  }

  struct Run {
    StartOrder start;
    std::int64_t end_ms = 0;
  };
  std::vector<Run> runs;
  std::map<std::string, std::uint64_t> ends;
  std::map<JobId, std::int64_t> done_ms;
};

/// Eight seconds in which `hot` submits ten times the work of `guest` in the first pool and twice
/// that of `guest` in the second one, where both together submit one and a half times what fits.
/// What `guest` submits is less than half of what both pools can do.
void PlayHotAccount(TwoPools& world) {
  for (int round = 0; round < 800; ++round) {
    if (round % 20 == 0) {
      world.Add(kHot, "bookings", 10);
      world.Add(kGuest, "bookings", 1);
      world.Add(kHot, "tills", 4);
      world.Add(kGuest, "tills", 2);
    }
    world.Step();
  }
  for (int round = 0; round < 300; ++round) {
    world.Step();
  }
}

/// Guards against an account that has taken one pool and gets half of the next one as well, where
/// another account's work would fit.
TEST(Division, AnAccountBeyondItsShareElsewhereDoesNotMakeOthersLate) {
  TwoPools divided(true);
  TwoPools before(false);
  PlayHotAccount(divided);
  PlayHotAccount(before);
  EXPECT_GT(divided.OnTimeShare(kGuest, "tills"), 0.95);
  EXPECT_GT(divided.OnTimeShare(kGuest, "bookings"), 0.95);
  EXPECT_LT(before.OnTimeShare(kGuest, "tills"), 0.8);
  EXPECT_GT(divided.OnTimeShare(kHot, "bookings") + 0.05, before.OnTimeShare(kHot, "bookings"));
}

int CountStarts(const TwoPools& world, const std::vector<StartOrder>& starts, const TeamId& team) {
  return static_cast<int>(std::count_if(starts.begin(), starts.end(), [&](const auto& start) {
    return world.jobs[start.task.job.number - 1].team == team;
  }));
}

/// What is submitted to the first pool of 20 cores, and how many of each account start at once.
/// The jobs of `hot` are due first; the division counts 85% of both pools' 40 cores.
struct OrderCase {
  const char* name;
  bool divides_shares;
  int hot;
  int guest;
  int started_hot;
  int started_guest;
};

class OrderOfPlacing : public ::testing::TestWithParam<OrderCase> {};

/// Guards against claims of a round that don't count towards the use of their account.
TEST_P(OrderOfPlacing, IsByShareThenByDeadline) {
  TwoPools world(GetParam().divides_shares, 1, /*plans_overload=*/false);
  world.Add(kHot, "bookings", GetParam().hot);
  world.AdvanceTime(milliseconds(2));
  world.Add(kGuest, "bookings", GetParam().guest);
  const std::vector<StartOrder> starts = world.Step();
  EXPECT_EQ(CountStarts(world, starts, kHot), GetParam().started_hot);
  EXPECT_EQ(CountStarts(world, starts, kGuest), GetParam().started_guest);
}

INSTANTIATE_TEST_SUITE_P(Loads, OrderOfPlacing,
                         ::testing::Values(OrderCase{"by_deadline", false, 30, 10, 20, 0},
                                           OrderCase{"by_share", true, 30, 17, 18, 2},
                                           OrderCase{"all_fits", true, 20, 10, 20, 0},
                                           OrderCase{"alone", true, 40, 0, 20, 0}),
                         [](const auto& info) { return info.param.name; });

/// Fills the first pool with jobs of `hot`; 60 more and 20 jobs of `guest` wait.
void Overload(TwoPools& world) {
  world.Add(kHot, "bookings", 80);
  world.Step();
  world.Add(kGuest, "bookings", 20);
  world.AdvanceTime(milliseconds(60));
  world.Step();
}

/// A weight or a cap that is changed counts in the next decision, not after the next interval.
TEST(Division, TakesAPolicyFromTheNextDecisionOn) {
  TwoPools world(true);
  Overload(world);
  EXPECT_NEAR(world.scheduler.Shares().Find(kHot)->due, 0.5, 0.01);
  world.SetWeights(4, 1);
  world.Decide();
  EXPECT_NEAR(world.scheduler.Shares().Find(kHot)->due, 0.8, 0.01);
  world.policy.teams[kGuest].cap = {5'000, 0, 0};  // Of 34 cores.
  world.scheduler.SetPolicy(world.policy);
  world.Decide();
  EXPECT_NEAR(world.scheduler.Shares().Find(kHot)->due, 29.0 / 34, 0.01);
}

/// An account that the policy doesn't name has the weight 1 and isn't lost.
TEST(Division, CountsAnUnknownAccountWithWeightOne) {
  TwoPools world(true);
  world.policy.teams.erase(kGuest);
  world.policy.teams[kHot].weight = 3;
  world.scheduler.SetPolicy(world.policy);
  world.Add(kHot, "bookings", 40);
  world.Add(kGuest, "bookings", 40);
  world.Step();
  EXPECT_NEAR(world.scheduler.Shares().Find(kGuest)->due, 0.25, 0.01);
}

/// The owner dies while an account is beyond its share. Its successor stores nothing of the
/// division, and must come to the same one from the jobs and claims that it reads.
TEST(Division, IsTheSameForASuccessor) {
  TwoPools before(true);
  Overload(before);
  TwoPools after(true, 2);
  after.now = before.now;
  for (const Job& job : before.jobs) {
    after.scheduler.AddJob(job, WallTime(after.now.time_since_epoch()));
    if (before.stored.contains(job.id)) {
      after.scheduler.RestoreProgress(job.id, *DecodeProgress(before.stored.at(job.id)));
    }
  }
  after.Decide();
  EXPECT_EQ(after.scheduler.Shares().All(), before.scheduler.Shares().All());
}

/// Long-running tasks are neither use of their account nor capacity for batch work.
TEST(Division, LeavesOutLongRunningTasks) {
  TwoPools world(true);
  jobs::Step step = SchedulerHarness::MakeStep(1, 10'000);
  step.is_long_running = true;
  Job service = SchedulerHarness::MakeJob(1000, {step});
  service.team = kGuest;
  world.scheduler.AddJob(service, WallTime(world.now.time_since_epoch()));
  world.StartAll();
  world.Add(kHot, "bookings", 26);
  world.AdvanceTime(milliseconds(60));
  world.Decide();
  EXPECT_EQ(world.scheduler.Shares().Find(kGuest), nullptr);
  EXPECT_TRUE(world.scheduler.Shares().IsFull());  // 26 of 25.5 cores.
}

std::vector<DecisionEvent> Waits(TwoPools& world) {
  std::vector<DecisionEvent> events = world.scheduler.TakeEvents();
  std::erase_if(events, [](const DecisionEvent& event) { return event.event != "job_waits"; });
  return events;
}

/// Guards against a job that waits for its account's share without a line that says so, and
/// against a line for each round.
TEST(Division, SaysOnceThatAJobWaitsBehind) {
  TwoPools world(true);
  Overload(world);
  for (int i = 0; i < 20; ++i) {
    world.Step();
  }
  const std::vector<DecisionEvent> waits = Waits(world);
  std::set<JobId> named;
  for (const DecisionEvent& event : waits) {
    EXPECT_EQ(event.why, "waits behind: its account uses 1.2 of its share");
    named.insert(*event.job);
  }
  EXPECT_FALSE(waits.empty());
  EXPECT_EQ(named.size(), waits.size());
  EXPECT_EQ(world.scheduler.JobsBehindShare(), waits.size());
}

/// The marks for the pool sizes, with and without a division.
class LoadsOfPools : public ::testing::TestWithParam<bool> {};

TEST_P(LoadsOfPools, MarkWorkBeyondSharesOnlyWithADivision) {
  TwoPools world(GetParam());
  Overload(world);
  const ResourceLoad load = world.scheduler.PoolLoads().at(ServiceId{"desk"}).cpu;
  const bool has_mark = std::any_of(load.waiting.begin(), load.waiting.end(),
                                    [](const WaitingWork& work) { return work.is_beyond_share; });
  EXPECT_EQ(has_mark, GetParam());
  // 18 of the 20 running jobs are within the 17 cores that are due; half of each is done.
  EXPECT_DOUBLE_EQ(load.running_beyond_share, GetParam() ? 2 * 0.5 * 1e6 : 0);
}

INSTANTIATE_TEST_SUITE_P(Switch, LoadsOfPools, ::testing::Bool());

}  // namespace
}  // namespace chervilspar::jobs
