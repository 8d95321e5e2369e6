#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "tests/jobs/scheduler_harness.h"

namespace chervilspar::jobs {
namespace {

using std::chrono::milliseconds;
using World = SchedulerHarness;

constexpr std::uint32_t kAttempts = 4;
constexpr std::int64_t kCap = 2000;

Policy Rules(std::uint64_t version, std::uint32_t attempts = kAttempts) {
  Policy policy;
  policy.version = version;
  Queue queue;
  queue.name = "bookings";
  queue.service = ServiceId{"desk"};
  queue.attempts = attempts;
  queue.priority = 2;
  queue.slack_factor = 3.0;
  queue.target = milliseconds(700);
  queue.advice = AdviceTerms{milliseconds(10), milliseconds(2), milliseconds(5000)};
  policy.queues[queue.name] = queue;
  policy.teams[TeamId{"counter"}] = {TeamId{"counter"}, 5.0, {kCap, 0, 0}};
  return policy;
}

/// The same rules without the queue, the team or both.
Policy Without(Policy policy, bool has_queue, bool has_team) {
  ++policy.version;
  if (!has_queue) {
    policy.queues.clear();
  }
  if (!has_team) {
    policy.teams.clear();
  }
  return policy;
}

/// The order in which the rules and the owners change after the submission.
struct RemovalCase {
  const char* name;
  /// The owner that runs the job sees that its queue and team are removed.
  bool is_seen;
  /// The number of owners that take over after that.
  int owners;
  /// The owner sees a change of the number of attempts before the removal.
  std::uint32_t attempts = kAttempts;
  /// The job was submitted to an older version, which stores no terms.
  bool is_old = false;
};

class RemovedQueue : public ::testing::TestWithParam<RemovalCase> {
 protected:
  RemovedQueue() {
    Job job = World::MakeJob(1, {World::MakeStep(1)});
    job.accepted_ms = 100;
    job.terms = GetParam().is_old ? JobTerms{} : Rules(3).TermsFor(job.queue, job.team);
    this->submission = EncodeJob(job);
    this->Take(Rules(3));
    if (GetParam().attempts != kAttempts) {
      this->world->scheduler.SetPolicy(Rules(4, GetParam().attempts));
    }
    this->world->Store();
    if (GetParam().is_seen) {
      this->world->scheduler.SetPolicy(Removed());
      this->world->Store();
    }
    for (int i = 0; i < GetParam().owners; ++i) {
      this->Take(Removed());
      this->world->Store();
    }
  }

  static Policy Removed() { return Without(Rules(8), false, false); }

  /// The next owner reads what is stored.
  void Take(const Policy& policy) {
    auto next = std::make_unique<World>(SchedulerOptions{}, ++this->token);
    next->scheduler.SetPolicy(policy);
    next->scheduler.AddJob(*DecodeJob(this->submission), WallTime{});
    if (this->world != nullptr) {
      next->now = this->world->now;
      next->stored = this->world->stored;
      if (next->stored.contains(JobId{1})) {
        EXPECT_TRUE(next->scheduler.RestoreStored(JobId{1}, {next->stored.at(JobId{1})}));
      }
    }
    next->Register({World::Endpoint("a"), World::Endpoint("b")});
    this->world = std::move(next);
  }

  /// Runs the task with the adviser's ticket; returns its start, or nothing if none is sent.
  std::optional<StartOrder> StartWithAdvice() {
    World& world = *this->world;
    if (!world.StartAll().empty()) {
      ADD_FAILURE() << "started without the adviser's ticket";
    }
    for (const AdviceRequest& request : world.scheduler.TakeAdviceRequests(world.now)) {
      std::vector<AdviceTicket> tickets;
      for (const std::string& endpoint : request.endpoints) {
        tickets.push_back({endpoint, "ticket"});
      }
      world.scheduler.OnAdvice(request, tickets, world.now);
    }
    const std::vector<StartOrder> starts = world.StartAll();
    return starts.empty() ? std::nullopt : std::optional(starts[0]);
  }

  std::string submission;
  std::unique_ptr<World> world;
  std::uint64_t token = 0;
};

/// Guards against an owner that fails a job too early, since the queue was removed before it took
/// over and it doesn't know the number of attempts; and against one attempt too many.
TEST_P(RemovedQueue, LeavesItsJobsTheirAttempts) {
  std::map<std::string, std::uint64_t> ends;
  for (std::uint32_t attempt = 1; attempt <= GetParam().attempts; ++attempt) {
    EXPECT_NE(this->world->PhaseOf(1), JobPhase::kFailed) << "after " << attempt - 1 << " failures";
    std::optional<StartOrder> start;
    if (attempt == 1) {
      start = this->StartWithAdvice();
    } else {
      const std::vector<StartOrder> starts = this->world->StartAll();
      start = starts.empty() ? std::nullopt : std::optional(starts[0]);
    }
    ASSERT_TRUE(start) << "attempt " << attempt;
    EXPECT_EQ(start->ticket, "ticket");
    this->world->AnswerRenewal(start->endpoint, {},
                               {World::Ended(++ends[start->endpoint], *start, RunEnd::kFailed)});
    this->world->AdvanceTime(milliseconds(50));
  }
  this->world->Round();
  EXPECT_EQ(this->world->PhaseOf(1), JobPhase::kFailed);
}

/// Guards against a team that runs more than its limit, as it was removed from the rules.
TEST_P(RemovedQueue, KeepsTheLimitOfATeamThatIsRemovedAsWell) {
  Job more = World::MakeJob(2, {World::MakeStep(6)});
  more.queue = "other";
  this->world->scheduler.AddJob(more, WallTime{});
  std::size_t running = 0;
  for (int i = 0; i < 3; ++i) {
    running += this->world->StartAll().size();
  }
  EXPECT_EQ(running, kCap / 1000);
}

INSTANTIATE_TEST_SUITE_P(
    Histories, RemovedQueue,
    ::testing::Values(RemovalCase{"seen_by_the_owner", true, 0},
                      RemovalCase{"seen_before_a_take_over", true, 1},
                      RemovalCase{"seen_before_two_take_overs", true, 2},
                      RemovalCase{"while_there_is_no_owner", false, 1},
                      RemovalCase{"before_two_take_overs", false, 2},
                      RemovalCase{"after_a_change_and_seen", true, 1, 2},
                      RemovalCase{"after_a_change_while_there_is_no_owner", false, 1, 2},
                      RemovalCase{"of_an_older_versions_job", true, 2, kAttempts, true}),
    [](const auto& info) { return info.param.name; });

/// Guards against rules of the time of the removal that stay in force after the queue has returned.
TEST(ReturnedQueue, HasTheNewestRules) {
  World world;
  world.scheduler.SetPolicy(Rules(3));
  Job job = World::MakeJob(1, {World::MakeStep(1)});
  job.terms = Rules(3).TermsFor(job.queue, job.team);
  world.Register({World::Endpoint("a"), World::Endpoint("b")});
  world.scheduler.AddJob(job, WallTime{});
  world.scheduler.SetPolicy(Without(Rules(4), false, true));
  Policy returned = Rules(9, 1);
  returned.queues["bookings"].advice.reset();
  world.scheduler.SetPolicy(returned);
  const std::vector<StartOrder> starts = world.StartAll();
  ASSERT_EQ(starts.size(), 1U);
  world.AnswerRenewal(starts[0].endpoint, {}, {World::Ended(1, starts[0], RunEnd::kFailed)});
  world.Round();
  EXPECT_EQ(world.PhaseOf(1), JobPhase::kFailed);
}

/// Guards against a record for each job with each version of the rules.
TEST(UnchangedRules, CostNoRecords) {
  World world;
  world.scheduler.SetPolicy(Rules(3));
  Job job = World::MakeJob(1, {World::MakeStep(1)});
  job.terms = Rules(3).TermsFor(job.queue, job.team);
  world.scheduler.AddJob(job, WallTime{});
  world.scheduler.SetPolicy(Rules(4));
  EXPECT_FALSE(world.scheduler.HasBatch());
  world.scheduler.SetPolicy(Without(Rules(5), false, true));
  EXPECT_FALSE(world.scheduler.HasBatch());
}

}  // namespace
}  // namespace chervilspar::jobs
