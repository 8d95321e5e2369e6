#include <functional>
#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "tests/jobs/scheduler_harness.h"

namespace chervilspar::jobs {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using World = SchedulerHarness;

/// A task whose start order waits to be sent, with other endpoints that have room.
struct QueuedStart : World {
  explicit QueuedStart(std::vector<Step> steps = {World::MakeStep(1)}) {
    this->Register({World::Endpoint("a"), World::Endpoint("b"), World::Endpoint("c")});
    this->scheduler.AddJob(World::MakeJob(1, std::move(steps)), WallTime{});
    this->starts = this->Round().starts;
    this->AdvanceTime(milliseconds(100));
  }

  const StartOrder& Start() const { return this->starts.at(0); }
  const std::string& Where() const { return this->Start().endpoint; }

  bool MaySend() { return this->scheduler.MaySendStart(this->Start(), this->now); }

  /// Changes the registration of the endpoint that the start goes to.
  void ChangeEndpoint(const std::function<void(EndpointRecord&)>& change) {
    std::vector<EndpointRecord> records = this->endpoints;
    for (EndpointRecord& record : records) {
      if (record.id == this->Where()) {
        change(record);
      }
    }
    this->scheduler.SetEndpoints(records, this->now);
  }

  void RemoveEndpoint() {
    std::vector<EndpointRecord> records = this->endpoints;
    std::erase_if(records, [this](const auto& record) { return record.id == this->Where(); });
    this->scheduler.SetEndpoints(records, this->now);
  }

  void SetCap(std::int64_t cpu) {
    Policy policy = this->policy;
    ++policy.version;
    policy.teams[TeamId{"counter"}].cap = {cpu, 0, 0};
    this->scheduler.SetPolicy(policy);
  }

  std::vector<StartOrder> starts;
};

struct ObsoleteCase {
  const char* name;
  /// What happens while the start waits.
  std::function<void(QueuedStart&)> event;
  bool may_send;
};

class WaitingStart : public ::testing::TestWithParam<ObsoleteCase> {};

/// Guards against a start that has waited for an unresponsive endpoint, and is sent although it has
/// become pointless or forbidden meanwhile.
TEST_P(WaitingStart, IsSentOnlyIfItIsStillWanted) {
  QueuedStart world;
  ASSERT_EQ(world.starts.size(), 1U);
  GetParam().event(world);
  EXPECT_EQ(world.MaySend(), GetParam().may_send);
}

INSTANTIATE_TEST_SUITE_P(
    Events, WaitingStart,
    ::testing::Values(
        ObsoleteCase{"nothing", [](QueuedStart&) {}, true},
        ObsoleteCase{"job_cancelled",
                     [](QueuedStart& world) { world.scheduler.CancelJob(JobId{1}); }, false},
        ObsoleteCase{"endpoint_drains",
                     [](QueuedStart& world) {
                       world.ChangeEndpoint(
                           [](EndpointRecord& record) { record.is_draining = true; });
                     },
                     false},
        ObsoleteCase{
            "endpoint_evacuated",
            [](QueuedStart& world) { world.scheduler.BeginEvacuation(world.Where(), world.now); },
            false},
        ObsoleteCase{"endpoint_gone", [](QueuedStart& world) { world.RemoveEndpoint(); }, false},
        ObsoleteCase{"endpoint_restarted",
                     [](QueuedStart& world) {
                       world.ChangeEndpoint([](EndpointRecord& record) { record.born_ms = 9; });
                     },
                     false},
        ObsoleteCase{"endpoint_at_another_address",
                     [](QueuedStart& world) {
                       world.ChangeEndpoint(
                           [](EndpointRecord& record) { record.address.port = 1001; });
                     },
                     false},
        ObsoleteCase{"zone_cordoned",
                     [](QueuedStart& world) { world.scheduler.SetCordonedZones({ZoneId{}}); },
                     false},
        ObsoleteCase{"endpoint_unresponsive",
                     [](QueuedStart& world) {
                       world.scheduler.OnRenewalFailed(world.Where(), OrderOutcome::kNoAnswer,
                                                       world.now);
                     },
                     false},
        ObsoleteCase{"lease_lapsed",
                     [](QueuedStart& world) {
                       world.AdvanceTime(seconds(6));
                       world.Decide();
                     },
                     false},
        ObsoleteCase{
            "run_stopped",
            [](QueuedStart& world) {
              world.AdvanceTime(seconds(1));
              world.scheduler.OnStartAnswered(world.Start(), OrderOutcome::kNoAnswer, world.now);
              for (int i = 0; i < 3; ++i) {
                world.AdvanceTime(milliseconds(200));
                for (const StartOrder& retry : world.Decide().starts) {
                  world.scheduler.OnStartAnswered(retry, OrderOutcome::kNoAnswer, world.now);
                }
              }
            },
            false},
        ObsoleteCase{"limit_of_its_team_lowered", [](QueuedStart& world) { world.SetCap(999); },
                     false},
        ObsoleteCase{"limit_of_its_team_reached", [](QueuedStart& world) { world.SetCap(1000); },
                     true},
        ObsoleteCase{"already_confirmed",
                     [](QueuedStart& world) {
                       world.AnswerRenewal(world.Where(), {World::Active(world.Start())}, {});
                     },
                     false}),
    [](const auto& info) { return info.param.name; });

/// Guards against a task that is started a second time after its job was shown as complete: its
/// lease lapsed while it finished, and the start of its second run waits for another endpoint.
TEST(WaitingStartOfASecondRun, IsNotSentOnceTheTaskIsDone) {
  QueuedStart world;
  const StartOrder first = world.Start();
  world.scheduler.OnStartAnswered(first, OrderOutcome::kDone, world.now);
  world.scheduler.OnRenewalFailed(first.endpoint, OrderOutcome::kNoAnswer, world.now);
  world.AdvanceTime(seconds(6));
  for (const char* endpoint : {"a", "b", "c"}) {
    if (endpoint != first.endpoint) {
      world.AnswerRenewal(endpoint, {}, {});
    }
  }
  world.starts = world.Round().starts;
  ASSERT_EQ(world.starts.size(), 1U);
  ASSERT_TRUE(world.MaySend());
  world.AnswerRenewal(first.endpoint, {}, {World::Ended(1, first, RunEnd::kDone)});
  world.Store();
  EXPECT_EQ(world.PhaseOf(1), JobPhase::kComplete);
  EXPECT_FALSE(world.MaySend());
}

/// Nothing was sent. Guards against a task that waits for the lease of an unresponsive endpoint to
/// lapse, and against a stop of a run that doesn't exist.
TEST(WithdrawnStart, IsPlacedElsewhereAtOnce) {
  QueuedStart world;
  world.ChangeEndpoint([](EndpointRecord& record) { record.is_draining = true; });
  world.scheduler.OnStartAnswered(world.Start(), OrderOutcome::kWithdrawn, world.now);
  const Orders orders = world.Round();
  EXPECT_TRUE(orders.stops.empty());
  ASSERT_EQ(orders.starts.size(), 1U);
  EXPECT_NE(orders.starts[0].endpoint, world.Where());
  EXPECT_GT(orders.starts[0].run, world.Start().run);
}

/// Guards against a claim that is kept until the lease lapses, though no run can exist.
TEST(WithdrawnStart, OfACancelledJobEndsIt) {
  QueuedStart world;
  world.scheduler.CancelJob(JobId{1});
  world.scheduler.OnStartAnswered(world.Start(), OrderOutcome::kWithdrawn, world.now);
  EXPECT_TRUE(world.Round().stops.empty());
  EXPECT_FALSE(world.scheduler.UsageOf(world.Where())->has_claims);
  EXPECT_EQ(world.PhaseOf(1), JobPhase::kCancelled);
}

/// An earlier try of the start got no answer. Guards against a second run while the first may be
/// active.
TEST(WithdrawnStart, AfterAnUnansweredTryIsSettledByAStop) {
  QueuedStart world;
  world.scheduler.OnStartAnswered(world.Start(), OrderOutcome::kNoAnswer, world.now);
  world.AdvanceTime(milliseconds(200));
  const std::vector<StartOrder> retries = world.Decide().starts;
  ASSERT_EQ(retries.size(), 1U);
  world.ChangeEndpoint([](EndpointRecord& record) { record.is_draining = true; });
  world.scheduler.OnStartAnswered(retries[0], OrderOutcome::kWithdrawn, world.now);
  world.AdvanceTime(milliseconds(500));
  const Orders orders = world.Round();
  EXPECT_TRUE(orders.starts.empty());
  ASSERT_EQ(orders.stops.size(), 1U);
  EXPECT_EQ(orders.stops[0].run, world.Start().run);
}

/// Guards against members of a gang that run alone, as the start of another one was withdrawn.
TEST(WithdrawnStart, OfAGangStopsTheOtherMembers) {
  Step gang = World::MakeStep(2, 5000);
  gang.is_gang = true;
  QueuedStart world({gang});
  ASSERT_EQ(world.starts.size(), 2U);
  world.scheduler.OnStartAnswered(world.starts[1], OrderOutcome::kDone, world.now);
  world.scheduler.OnStartAnswered(world.starts[0], OrderOutcome::kWithdrawn, world.now);
  const Orders orders = world.Round();
  ASSERT_EQ(orders.stops.size(), 1U);
  EXPECT_EQ(orders.stops[0].task, world.starts[1].task);
}

}  // namespace
}  // namespace chervilspar::jobs
