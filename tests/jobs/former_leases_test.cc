#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <set>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "tests/jobs/scheduler_harness.h"

namespace chervilspar::jobs {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using Harness = SchedulerHarness;

/// The longest lease that an endpoint grants.
constexpr std::int64_t kLeaseLimitMs = 10000;
/// Enough for all tasks on one endpoint.
constexpr std::int64_t kCores = 1000;
/// An endpoint's registration shows a new incarnation this long after its start.
constexpr Duration kRegistrationDelay = milliseconds(1500);
/// The owner runs a round each 10 ms.
constexpr int kStepsPerRenewal = 8;

/// An endpoint whose clock starts anew with each incarnation.
class LeasedEndpoint {
 public:
  LeasedEndpoint(std::string id, double clock_rate) : id(std::move(id)), clock_rate(clock_rate) {}

  void Restart(TimePoint now) {
    this->start = now;
    ++this->born_ms;
    this->lease_end_ms = 0;
    this->token = 0;
    this->next_end = 1;
    this->active.clear();
    this->ended.clear();
    this->highest.clear();
  }

  RenewalReport Renew(const RenewalOrder& order, TimePoint now) {
    this->token = std::max(this->token, order.token);
    this->Grant(order.lease_end_ms.value_or(0), now);
    std::erase_if(this->ended,
                  [&](const EndedRun& end) { return end.number <= order.confirmed_end; });
    RenewalReport report{this->ClockMs(now), this->born_ms, {}, this->ended};
    for (const auto& [task, run] : this->active) {
      // A different percentage each time, as a run without progress would be moved.
      report.active.push_back({task, run, "", static_cast<int>(++this->reports % 100), 0});
    }
    return report;
  }

  OrderOutcome Start(const StartOrder& order, TimePoint now) {
    if (order.token < this->token) {
      return OrderOutcome::kTokenTooLow;
    }
    this->token = order.token;
    if (order.lease_end_ms <= this->ClockMs(now)) {
      return OrderOutcome::kTooLate;
    }
    this->Grant(order.lease_end_ms, now);
    const auto running = this->active.find(order.task);
    if (running != this->active.end() && running->second == order.run) {
      return OrderOutcome::kDone;
    }
    if (running != this->active.end() || order.run <= this->highest[order.task]) {
      return OrderOutcome::kRunTooOld;
    }
    if (this->is_full) {
      return OrderOutcome::kNoCapacity;
    }
    this->active[order.task] = order.run;
    return OrderOutcome::kDone;
  }

  OrderOutcome Stop(const StopOrder& order) {
    if (order.token < this->token) {
      return OrderOutcome::kTokenTooLow;
    }
    const auto running = this->active.find(order.task);
    if (running != this->active.end() && running->second == order.run) {
      this->End(order.task, RunEnd::kStopped);
    }
    this->highest[order.task] = std::max(this->highest[order.task], order.run);
    return OrderOutcome::kDone;
  }

  void EndLapsedRuns(TimePoint now) {
    if (this->ClockMs(now) >= this->lease_end_ms) {
      const auto lapsed = this->active;
      for (const auto& [task, run] : lapsed) {
        this->End(task, RunEnd::kLeaseLapsed);
      }
    }
  }

  const std::string id;
  const double clock_rate;
  std::int64_t born_ms = 0;
  TimePoint start{};
  std::map<TaskKey, std::uint64_t> active;
  /// Neither its orders nor its answers arrive.
  bool is_cut = false;
  bool loses_answers = false;
  bool is_full = false;

 private:
  std::int64_t ClockMs(TimePoint now) const {
    const std::chrono::duration<double, std::milli> age = now - this->start;
    return static_cast<std::int64_t>(age.count() * this->clock_rate);
  }

  void Grant(std::int64_t end_ms, TimePoint now) {
    const std::int64_t longest = this->ClockMs(now) + kLeaseLimitMs;
    this->lease_end_ms = std::max(this->lease_end_ms, std::min(end_ms, longest));
  }

  void End(const TaskKey& task, RunEnd end) {
    this->ended.push_back({this->next_end++, task, this->active.at(task), end, ""});
    this->highest[task] = std::max(this->highest[task], this->active.at(task));
    this->active.erase(task);
  }

  std::int64_t lease_end_ms = 0;
  std::uint64_t token = 0;
  std::uint64_t next_end = 1;
  std::uint64_t reports = 0;
  std::vector<EndedRun> ended;
  std::map<TaskKey, std::uint64_t> highest;
};

/// Two endpoints, successive owners with one store, and jobs whose tasks don't end by themselves.
class RestartWorld {
 public:
  RestartWorld() {
    for (LeasedEndpoint& endpoint : this->endpoints) {
      endpoint.Restart(TimePoint{});
    }
    this->TakeOver();
  }

  LeasedEndpoint& At(int endpoint) { return this->endpoints.at(endpoint % 2); }

  void Submit(std::uint32_t tasks) {
    this->jobs.push_back(Harness::MakeJob(this->jobs.size() + 1, {Harness::MakeStep(tasks)}));
    this->owner->AddJob(this->jobs.back(), this->Wall());
  }

  /// A successor reads the store; the present owner does nothing any more.
  void TakeOver() {
    this->owner = std::make_unique<Scheduler>(SchedulerOptions{}, ++this->token, this->now);
    this->owner->SetPolicy(Harness().policy);
    this->Register();
    for (const Job& job : this->jobs) {
      this->owner->AddJob(job, this->Wall());
    }
    for (const auto& [id, text] : this->stored) {
      this->owner->RestoreProgress(id, *DecodeProgress(text));
    }
    this->owner->RestoreLapseNotices(this->notices[LapseRecord::Kind::kLapse].Read());
    this->owner->RestoreLongLeases(this->notices[LapseRecord::Kind::kLongLease].Read());
  }

  void Run(Duration duration) {
    for (const TimePoint end = this->now + duration; this->now < end;) {
      this->now += milliseconds(10);
      this->owner->SetProof(this->now);
      this->Register();
      const bool is_renewal_due = ++this->steps % kStepsPerRenewal == 0;
      for (LeasedEndpoint& endpoint : this->endpoints) {
        endpoint.EndLapsedRuns(this->now);
        if (is_renewal_due) {
          this->Renew(endpoint);
        }
      }
      this->Send(this->owner->Decide(this->now, this->Wall()));
      this->Store();
      this->CountSecondRuns();
    }
  }

  /// All endpoints answer again, for long enough that every task runs.
  void Recover() {
    for (LeasedEndpoint& endpoint : this->endpoints) {
      endpoint.is_cut = endpoint.loses_answers = endpoint.is_full = false;
    }
    this->Run(seconds(16));
  }

  std::size_t ActiveRuns() const {
    std::size_t count = 0;
    for (const LeasedEndpoint& endpoint : this->endpoints) {
      count += endpoint.active.size();
    }
    return count;
  }

  std::size_t Tasks() const {
    std::size_t count = 0;
    for (const Job& job : this->jobs) {
      count += job.steps[0].count;
    }
    return count;
  }

  TimePoint now = TimePoint{} + std::chrono::hours(1);
  /// How often a task was active on both endpoints.
  int second_runs = 0;

 private:
  struct Notices {
    std::vector<LapseNotice> Read() const {
      std::vector<LapseNotice> notices;
      for (const auto& [endpoint, text] : this->texts) {
        notices.push_back(*DecodeLapseNotice(text));
      }
      return notices;
    }

    std::map<std::string, std::string> texts;
  };

  WallTime Wall() const { return WallTime(this->now.time_since_epoch()); }

  void Register() {
    std::vector<EndpointRecord> records;
    for (const LeasedEndpoint& endpoint : this->endpoints) {
      EndpointRecord record = Harness::Endpoint(endpoint.id, kCores);
      const bool is_new = this->now - endpoint.start < kRegistrationDelay;
      record.born_ms = endpoint.born_ms - (is_new ? 1 : 0);
      records.push_back(record);
    }
    this->owner->SetEndpoints(records, this->now);
  }

  void Renew(LeasedEndpoint& endpoint) {
    const RenewalPlan plan = this->owner->PlanRenewal(endpoint.id, this->now);
    if (!plan.is_needed) {
      return;
    }
    if (!endpoint.is_cut) {
      const RenewalReport report = endpoint.Renew(plan.order, this->now);
      if (!endpoint.loses_answers) {
        const TimePoint sent = this->now - milliseconds(1);
        this->owner->OnRenewalAnswered(plan.order, report, sent, this->now);
        return;
      }
    }
    this->owner->OnRenewalFailed(endpoint.id, OrderOutcome::kNoAnswer, this->now);
  }

  LeasedEndpoint& Find(const std::string& id) {
    return this->endpoints[0].id == id ? this->endpoints[0] : this->endpoints[1];
  }

  void Send(const Orders& orders) {
    for (const StopOrder& stop : orders.stops) {
      LeasedEndpoint& endpoint = this->Find(stop.endpoint);
      const OrderOutcome outcome = endpoint.is_cut ? OrderOutcome::kNoAnswer : endpoint.Stop(stop);
      this->owner->OnStopAnswered(stop, endpoint.loses_answers ? OrderOutcome::kNoAnswer : outcome,
                                  this->now);
    }
    for (const StartOrder& start : orders.starts) {
      LeasedEndpoint& endpoint = this->Find(start.endpoint);
      const OrderOutcome outcome =
          endpoint.is_cut ? OrderOutcome::kNoAnswer : endpoint.Start(start, this->now);
      this->owner->OnStartAnswered(
          start, endpoint.loses_answers ? OrderOutcome::kNoAnswer : outcome, this->now);
    }
  }

  void Store() {
    if (!this->owner->HasBatch()) {
      return;
    }
    const Batch batch = this->owner->TakeBatch();
    for (const ProgressRecord& record : batch.records) {
      this->stored[record.job] = *record.text;
    }
    for (const LapseRecord& record : batch.lapses) {
      std::map<std::string, std::string>& texts = this->notices[record.kind].texts;
      if (record.text) {
        texts[record.endpoint] = *record.text;
      } else {
        texts.erase(record.endpoint);
      }
    }
    this->Send(this->owner->ConfirmBatch(this->now));
  }

  void CountSecondRuns() {
    for (const auto& [task, run] : this->endpoints[0].active) {
      this->second_runs += this->endpoints[1].active.contains(task) ? 1 : 0;
    }
  }

  std::vector<LeasedEndpoint> endpoints{{"a", 0.98}, {"b", 1.0}};
  std::uint64_t token = 0;
  std::unique_ptr<Scheduler> owner;
  std::vector<Job> jobs;
  std::map<JobId, std::string> stored;
  std::map<LapseRecord::Kind, Notices> notices;
  int steps = 0;
};

struct RestartCase {
  const char* name;
  /// From the restart of the endpoint on which the tasks run until it is cut off.
  std::function<void(RestartWorld&, LeasedEndpoint&)> happen;
};

/// Guards against a task that runs twice, as an endpoint that restarted took a lease which was
/// computed with its former clock, and is cut off afterwards.
class EndpointRestart : public ::testing::TestWithParam<RestartCase> {};

TEST_P(EndpointRestart, KeepsItsRunsUntilItsLeasesHaveLapsed) {
  for (const int endpoint : {0, 1}) {
    RestartWorld world;
    LeasedEndpoint& used = world.At(endpoint);
    world.At(endpoint + 1).is_cut = true;
    world.Run(milliseconds(200));
    world.Submit(3);
    world.Run(seconds(5));
    ASSERT_EQ(used.active.size(), 3U);
    world.At(endpoint + 1).is_cut = false;
    world.Run(seconds(1));
    used.Restart(world.now);
    GetParam().happen(world, used);
    used.is_cut = true;
    world.Run(seconds(16));
    EXPECT_EQ(world.second_runs, 0);
    EXPECT_EQ(world.At(endpoint + 1).active.size(), world.Tasks()) << "the tasks move in the end";
  }
}

void LoseAnswers(RestartWorld& world, LeasedEndpoint& endpoint, Duration duration) {
  endpoint.loses_answers = true;
  world.Run(duration);
  endpoint.loses_answers = false;
}

INSTANTIATE_TEST_SUITE_P(
    Events, EndpointRestart,
    ::testing::Values(RestartCase{"noticed_at_once",
                                  [](RestartWorld& world, LeasedEndpoint&) {
                                    world.Run(milliseconds(500));
                                  }},
                      RestartCase{"noticed_when_registered",
                                  [](RestartWorld& world, LeasedEndpoint& used) {
                                    LoseAnswers(world, used, seconds(2));
                                    world.Run(milliseconds(300));
                                  }},
                      RestartCase{"never_answers",
                                  [](RestartWorld& world, LeasedEndpoint& used) {
                                    LoseAnswers(world, used, milliseconds(300));
                                  }},
                      RestartCase{"owner_changes_after_the_tasks_were_started_again",
                                  [](RestartWorld& world, LeasedEndpoint&) {
                                    world.Run(milliseconds(500));
                                    world.TakeOver();
                                    world.Run(milliseconds(500));
                                  }},
                      RestartCase{"owner_changes_twice",
                                  [](RestartWorld& world, LeasedEndpoint&) {
                                    world.Run(milliseconds(500));
                                    world.TakeOver();
                                    world.Run(milliseconds(500));
                                    world.TakeOver();
                                    world.Run(milliseconds(500));
                                  }},
                      RestartCase{"successor_never_reaches_the_endpoint",
                                  [](RestartWorld& world, LeasedEndpoint& used) {
                                    world.Run(milliseconds(500));
                                    used.is_cut = true;
                                    world.TakeOver();
                                  }},
                      RestartCase{"owner_changes_before_the_restart_is_noticed",
                                  [](RestartWorld& world, LeasedEndpoint& used) {
                                    LoseAnswers(world, used, milliseconds(200));
                                    world.TakeOver();
                                    world.Run(milliseconds(500));
                                  }},
                      RestartCase{"more_tasks_are_started_meanwhile",
                                  [](RestartWorld& world, LeasedEndpoint&) {
                                    world.Submit(2);
                                    world.Run(milliseconds(500));
                                  }},
                      RestartCase{"a_start_is_refused",
                                  [](RestartWorld& world, LeasedEndpoint& used) {
                                    used.is_full = true;
                                    world.Submit(2);
                                    world.Run(milliseconds(100));
                                    used.is_full = false;
                                    world.Run(milliseconds(500));
                                  }}),
    [](const auto& info) { return info.param.name; });

/// Guards against a lease that is computed with the clock of an incarnation that may be gone, since
/// the endpoint did not answer.
TEST(RestartedEndpoint, IsProbedBeforeItsLeasesAreRenewed) {
  Harness harness;
  harness.Register({Harness::Endpoint("a")});
  harness.scheduler.AddJob(Harness::MakeJob(1, {Harness::MakeStep(1)}), WallTime{});
  const StartOrder start = harness.StartAll().at(0);
  harness.scheduler.SetProof(harness.now);
  EXPECT_TRUE(harness.scheduler.PlanRenewal("a", harness.now).order.lease_end_ms);
  harness.scheduler.OnRenewalFailed("a", OrderOutcome::kNoAnswer, harness.now);
  const RenewalPlan probe = harness.scheduler.PlanRenewal("a", harness.now);
  EXPECT_TRUE(probe.is_needed);
  EXPECT_TRUE(probe.is_probe);
  EXPECT_FALSE(probe.order.lease_end_ms);
  harness.AnswerRenewal("a", {Harness::Active(start)}, {});
  const RenewalPlan renewal = harness.scheduler.PlanRenewal("a", harness.now);
  EXPECT_FALSE(renewal.is_probe);
  EXPECT_TRUE(renewal.order.lease_end_ms);
}

/// Guards against a task that runs twice under any sequence of restarts, cuts, lost answers and
/// changes of owner, and against tasks that are given up.
RC_GTEST_PROP(RestartProperty, EachTaskRunsOnceAtATime, ()) {
  RestartWorld world;
  world.Submit(3);
  const auto events = *rc::gen::container<std::vector<std::pair<int, int>>>(
      rc::gen::pair(rc::gen::inRange(0, 8), rc::gen::inRange(0, 40)));
  for (const auto& [event, value] : events) {
    LeasedEndpoint& endpoint = world.At(value);
    switch (event) {
      case 0:
        world.Submit(1 + value % 3);
        break;
      case 1:
      case 2:
        endpoint.Restart(world.now);
        world.Run(milliseconds(value * 40));
        break;
      case 3:
        endpoint.is_cut = true;
        world.Run(milliseconds(4000 + value * 200));
        endpoint.is_cut = false;
        break;
      case 4:
        LoseAnswers(world, endpoint, milliseconds(value * 50));
        break;
      case 5:
        world.TakeOver();
        break;
      default:
        world.Run(milliseconds(20 + value * value * 5));
    }
  }
  RC_ASSERT(world.second_runs == 0);
  world.Recover();
  RC_ASSERT(world.second_runs == 0);
  RC_ASSERT(world.ActiveRuns() == world.Tasks());
}

}  // namespace
}  // namespace chervilspar::jobs
