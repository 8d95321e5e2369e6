#include <cstdio>

#include <gtest/gtest.h>

#include "chervilspar/jobs/admission_outlook.h"
#include "chervilspar/jobs/admission_policy.h"
#include "chervilspar/jobs/promised_room.h"

#include "tests/jobs/scheduler_harness.h"

namespace chervilspar::jobs {
namespace {

using World = SchedulerHarness;

std::int64_t WallMs(const World& world) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(world.now.time_since_epoch())
      .count();
}

Job JobOf(const World& world, std::uint64_t number, const char* team, std::uint32_t tasks) {
  Job job = World::MakeJob(number, {World::MakeStep(tasks)});
  job.team = TeamId{team};
  job.accepted_ms = WallMs(world);
  return job;
}

const AccountOutlook* Find(const AdmissionOutlook& outlook, const char* team) {
  for (const AccountOutlook& account : outlook.accounts) {
    if (account.team == TeamId{team}) {
      return &account;
    }
  }
  return nullptr;
}

/// Two VMs of eight cores; the flood waits for 48 cores, the other account for four.
struct FloodedWorld : World {
  explicit FloodedWorld(const TeamPolicy& flood = {TeamId{"flood"}, 1.0, {}}) {
    this->policy.teams[flood.id] = flood;
    this->scheduler.SetPolicy(this->policy);
    this->Register({World::Endpoint("a"), World::Endpoint("b")});
    this->AdvanceTime(std::chrono::milliseconds(10));
    this->scheduler.AddJob(JobOf(*this, 1, "flood", 48), WallTime(this->now.time_since_epoch()));
    this->scheduler.AddJob(JobOf(*this, 2, "counter", 4), WallTime(this->now.time_since_epoch()));
  }
};

struct OutlookCase {
  const char* name;
  TeamPolicy flood;
  Resources listed;
  /// The cpu that the flooding account is due; nothing if it isn't listed.
  std::optional<double> due_cpu;
  bool is_beyond_share = true;
};

class OutlookOfAFlood : public ::testing::TestWithParam<OutlookCase> {};

/// Guards against refusals of an account whose work fits, because VMs are on their way or because
/// its weight is invalid.
TEST_P(OutlookOfAFlood, ListsWhatTheAccountIsDue) {
  FloodedWorld world(GetParam().flood);
  const AdmissionOutlook outlook = world.scheduler.Outlook(GetParam().listed, world.now);
  const AccountOutlook* const flood = Find(outlook, "flood");
  ASSERT_EQ(flood != nullptr, GetParam().due_cpu.has_value());
  EXPECT_EQ(Find(outlook, "counter"), nullptr);
  if (flood != nullptr) {
    EXPECT_NEAR(flood->due_cpu, *GetParam().due_cpu, 1);
    EXPECT_DOUBLE_EQ(flood->on_time_work, 48 * 1000.0 * 1000.0);
    EXPECT_EQ(flood->is_beyond_share, GetParam().is_beyond_share);
  }
}

const TeamId kFlood{"flood"};

INSTANTIATE_TEST_SUITE_P(
    Cases, OutlookOfAFlood,
    ::testing::Values(
        OutlookCase{"what_the_other_account_leaves", {kFlood, 1.0, {}}, {}, 12000},
        OutlookCase{"with_a_vm_that_is_off", {kFlood, 1.0, {}}, {24000, 192000, 0}, 20000},
        OutlookCase{"all_fits_on_the_listed_vms", {kFlood, 1.0, {}}, {64000, 512000, 0}, {}},
        OutlookCase{"weight_of_zero", {kFlood, 0.0, {}}, {}, 12000},
        OutlookCase{"limited_by_its_cap", {kFlood, 1.0, {2000, 0, 0}}, {}, 2000, false}),
    [](const auto& info) { return info.param.name; });

/// Right after a takeover no endpoint may be registered. That is no reason to refuse.
TEST(SchedulerOutlook, ListsNoAccountWithoutCapacity) {
  FloodedWorld world;
  world.scheduler.SetEndpoints({}, world.now);
  EXPECT_TRUE(world.scheduler.Outlook({}, world.now).accounts.empty());
}

/// What became of the jobs of the flooding account.
struct Tally {
  int on_time = 0;
  int late = 0;
  int refused = 0;
  int returned = 0;
  int refused_again = 0;
  int others_refused = 0;
};

/// Three entries and four VMs of eight cores, for 32 s. For 3 s, one account submits four times
/// what the VMs can do. Callers that are refused return at their time, through another entry.
class FloodPlay {
 public:
  explicit FloodPlay(bool admits_by_outlook) : admits_by_outlook(admits_by_outlook) {
    this->world.policy.teams[kFlood] = {kFlood, 1.0, {}};
    this->world.scheduler.SetPolicy(this->world.policy);
    this->world.Register(
        {World::Endpoint("a"), World::Endpoint("b"), World::Endpoint("c"), World::Endpoint("d")});
  }

  Tally Play() {
    const TimePoint begin = this->world.now;
    for (std::uint64_t i = 0; i < 96; ++i) {
      const TimePoint at = begin + std::chrono::milliseconds(31 * i);
      this->submissions.insert({at, {i, i % 12 == 0 ? "counter" : "flood", 0}});
    }
    while (this->world.now < begin + std::chrono::seconds(32)) {
      this->world.AdvanceTime(std::chrono::milliseconds(40));
      if (this->world.now >= this->next_question) {
        this->next_question = this->world.now + std::chrono::milliseconds(250);
        this->AskForEach();
      }
      this->Submit();
      this->EndRuns();
      for (const StartOrder& start : this->world.StartAll()) {
        this->runs[start.endpoint].push_back({this->world.now + std::chrono::seconds(1), start});
      }
      this->CountCompleted();
    }
    this->tally.late += static_cast<int>(this->open.size());
    return this->tally;
  }

 private:
  struct Submission {
    std::uint64_t number = 0;
    const char* team = "";
    int tries = 0;
  };
  struct RunningTask {
    TimePoint end{};
    StartOrder start;
  };

  void AskForEach() {
    for (AdmissionPolicy& policy : this->policies) {
      const std::vector<Promise> refused = policy.UnreportedRefusals(this->world.now);
      this->room.Add(refused, this->world.now);
      policy.OnReported(refused);
    }
    this->room.Review(this->world.now, [this](const JobId& id) {
      return this->world.scheduler.Find(id).has_value();
    });
    AdmissionOutlook outlook = this->world.scheduler.Outlook({}, this->world.now);
    outlook.entries = static_cast<std::uint32_t>(this->policies.size());
    this->room.AddTo(outlook, this->world.now, std::chrono::seconds(2));
    for (AdmissionPolicy& policy : this->policies) {
      policy.SetOutlook(outlook, this->world.now);
    }
  }

  void Submit() {
    while (!this->submissions.empty() && this->submissions.begin()->first <= this->world.now) {
      Submission submission = this->submissions.begin()->second;
      this->submissions.erase(this->submissions.begin());
      const Job job = JobOf(this->world, submission.number, submission.team, 4);
      AdmissionPolicy& entry =
          this->policies[(submission.number + static_cast<std::uint64_t>(submission.tries)) %
                         this->policies.size()];
      const AdmissionDecision decision =
          this->admits_by_outlook
              ? entry.Decide(MakeAdmissionRequest(job, this->world.policy), this->world.now)
              : AdmissionDecision{};
      this->tally.returned += submission.tries > 0 ? 1 : 0;
      if (!decision.IsRefused()) {
        this->world.scheduler.AddJob(job, WallTime(this->world.now.time_since_epoch()));
        this->open[job.id] = {job.accepted_ms, job.team == kFlood};
        continue;
      }
      this->tally.refused += submission.tries == 0 ? 1 : 0;
      this->tally.refused_again += submission.tries > 0 ? 1 : 0;
      this->tally.others_refused += job.team == kFlood ? 0 : 1;
      ++submission.tries;
      this->submissions.insert(
          {this->world.now + std::chrono::seconds(decision.return_after_s), submission});
    }
  }

  void EndRuns() {
    for (const EndpointRecord& endpoint : this->world.endpoints) {
      std::vector<ActiveRun> active;
      std::vector<EndedRun> ended;
      std::erase_if(this->runs[endpoint.id], [&](const RunningTask& run) {
        const bool is_over = run.end <= this->world.now;
        if (is_over) {
          ended.push_back(World::Ended(++this->ends[endpoint.id], run.start, RunEnd::kDone));
        } else {
          active.push_back(World::Active(run.start));
        }
        return is_over;
      });
      this->world.AnswerRenewal(endpoint.id, active, ended);
    }
  }

  void CountCompleted() {
    std::erase_if(this->open, [&](const auto& item) {
      if (this->world.PhaseOf(item.first.number) != JobPhase::kComplete) {
        return false;
      }
      const auto [accepted_ms, is_flood] = item.second;
      // The objective is twice one second plus 500 ms; the play's steps take 50 ms.
      const bool is_on_time = WallMs(this->world) <= accepted_ms + 2500 + 50;
      this->tally.on_time += is_flood && is_on_time ? 1 : 0;
      this->tally.late += is_flood && !is_on_time ? 1 : 0;
      return true;
    });
  }

  const bool admits_by_outlook;
  World world;
  std::vector<AdmissionPolicy> policies = std::vector<AdmissionPolicy>(3);
  PromisedRoom room;
  TimePoint next_question{};
  std::multimap<TimePoint, Submission> submissions;
  std::map<std::string, std::vector<RunningTask>> runs;
  std::map<std::string, std::uint64_t> ends;
  std::map<JobId, std::pair<std::int64_t, bool>> open;
  Tally tally;
};

/// Without admission, two thirds of a flood are completed late although the VMs are idle soon
/// after. With it, those that don't fit return when there is room, and no other account is refused.
TEST(SchedulerOutlook, SpreadsAFloodOverTheTimeAfterIt) {
  const Tally before = FloodPlay(false).Play();
  const Tally after = FloodPlay(true).Play();
  std::printf(
      "jobs of the flood on time: %d, with admission %d; refused %d, returned %d, refused "
      "again %d; late %d, with admission %d\n",
      before.on_time, after.on_time, after.refused, after.returned, after.refused_again,
      before.late, after.late);
  EXPECT_GT(after.refused, 30);
  EXPECT_GT(after.on_time, 2 * before.on_time);
  EXPECT_LE(10 * after.refused_again, after.returned);
  EXPECT_EQ(after.others_refused, 0);
}

/// Guards against callers who are accepted for work that free VMs could run but whose starts the
/// owner's link doesn't carry: all of it waits for the link until it is worthless.
TEST(SchedulerOutlook, NarrowLinkLimitsWhatAccountsAreDue) {
  SchedulerOptions options;
  options.budgets_link = true;
  options.link_rate = 0.01;
  World world(options);
  world.policy.teams[TeamId{"flood"}] = {TeamId{"flood"}, 1.0, {}};
  world.scheduler.SetPolicy(world.policy);
  world.Register({World::Endpoint("a", 64), World::Endpoint("b", 64)});
  world.scheduler.AddJob(JobOf(world, 1, "flood", 48), WallTime(world.now.time_since_epoch()));
  const AdmissionOutlook outlook = world.scheduler.Outlook({}, world.now);
  const AccountOutlook* const flood = Find(outlook, "flood");
  ASSERT_NE(flood, nullptr);
  EXPECT_TRUE(outlook.is_full);
  // The link carries two or three starts of one core-second each per second.
  EXPECT_LT(flood->due_cpu, 4000);
}

}  // namespace
}  // namespace chervilspar::jobs
