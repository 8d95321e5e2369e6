#include <functional>

#include <gtest/gtest.h>

#include "tests/jobs/scheduler_harness.h"

namespace chervilspar::jobs {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Longer than any lease of this owner or its predecessor may last.
constexpr Duration kAllLapsed = seconds(30);

/// A scheduler with the endpoint "a", which has answered once.
class OccupiedEndpoint : public SchedulerHarness {
 public:
  OccupiedEndpoint() { this->Register({SchedulerHarness::Endpoint("a")}); }

  void Evacuate() {
    this->scheduler.BeginEvacuation("a", this->now);
    this->AdvanceTime(milliseconds(1));
  }
  void Answer(std::vector<ActiveRun> active = {}, std::vector<EndedRun> ended = {}) {
    this->AdvanceTime(milliseconds(1));
    this->AnswerRenewal("a", std::move(active), std::move(ended));
  }
  void FailToAnswer() { this->scheduler.OnRenewalFailed("a", OrderOutcome::kNoAnswer, this->now); }
  StartOrder Start() {
    this->scheduler.AddJob(MakeJob(1, {MakeStep(1)}), WallTime{});
    return this->StartAll().front();
  }
};

struct OccupancyCase {
  const char* name;
  std::function<void(OccupiedEndpoint&)> play;
  Occupancy expected;
};

class OccupancyTest : public ::testing::TestWithParam<OccupancyCase> {};

/// Guards against an order that ends runs, as an endpoint of which no run is known passes for
/// empty.
TEST_P(OccupancyTest, NeedsAReportSinceTheEvacuation) {
  OccupiedEndpoint world;
  GetParam().play(world);
  EXPECT_EQ(world.scheduler.OccupancyOf("a", world.now), GetParam().expected);
}

INSTANTIATE_TEST_SUITE_P(
    Endpoints, OccupancyTest,
    ::testing::Values(
        OccupancyCase{"takes_work", [](OccupiedEndpoint& world) { world.Answer(); },
                      Occupancy::kUnconfirmed},
        OccupancyCase{"answered_before_the_evacuation",
                      [](OccupiedEndpoint& world) {
                        world.Answer();
                        world.Evacuate();
                      },
                      Occupancy::kUnconfirmed},
        OccupancyCase{"answered_since",
                      [](OccupiedEndpoint& world) {
                        world.Evacuate();
                        world.Answer();
                      },
                      Occupancy::kEmpty},
        OccupancyCase{"evacuated_again",
                      [](OccupiedEndpoint& world) {
                        world.Evacuate();
                        world.Answer();
                        world.scheduler.EndEvacuation("a");
                        world.Evacuate();
                      },
                      Occupancy::kUnconfirmed},
        OccupancyCase{"has_a_claim",
                      [](OccupiedEndpoint& world) {
                        const StartOrder start = world.Start();
                        world.Evacuate();
                        world.Answer({SchedulerHarness::Active(start)});
                      },
                      Occupancy::kOccupied},
        OccupancyCase{"its_run_has_ended",
                      [](OccupiedEndpoint& world) {
                        const StartOrder start = world.Start();
                        world.Evacuate();
                        world.Answer({}, {SchedulerHarness::Ended(1, start, RunEnd::kDone)});
                      },
                      Occupancy::kEmpty},
        OccupancyCase{"lists_a_run_of_an_unknown_job",
                      [](OccupiedEndpoint& world) {
                        world.Evacuate();
                        world.Answer({{TaskKey{JobId{9}, 0, 0, 0}, 1, "", 100, 0}});
                      },
                      Occupancy::kOccupied},
        OccupancyCase{
            "a_start_was_refused_after_the_answer",
            [](OccupiedEndpoint& world) {
              world.scheduler.AddJob(SchedulerHarness::MakeJob(1, {SchedulerHarness::MakeStep(1)}),
                                     WallTime{});
              const StartOrder start = world.Round().starts.front();
              world.Evacuate();
              world.Answer();
              world.AdvanceTime(milliseconds(1));
              world.scheduler.OnStartAnswered(start, OrderOutcome::kNoCapacity, world.now);
            },
            Occupancy::kUnconfirmed},
        OccupancyCase{"silent",
                      [](OccupiedEndpoint& world) {
                        world.Evacuate();
                        world.Answer();
                        world.FailToAnswer();
                      },
                      Occupancy::kUnconfirmed},
        OccupancyCase{"silent_until_all_leases_have_lapsed",
                      [](OccupiedEndpoint& world) {
                        world.Evacuate();
                        world.FailToAnswer();
                        world.AdvanceTime(kAllLapsed);
                      },
                      Occupancy::kEmpty},
        OccupancyCase{"answers_but_not_since_the_evacuation",
                      [](OccupiedEndpoint& world) {
                        world.AdvanceTime(kAllLapsed);
                        world.Evacuate();
                      },
                      Occupancy::kUnconfirmed},
        OccupancyCase{"gone",
                      [](OccupiedEndpoint& world) { world.scheduler.SetEndpoints({}, world.now); },
                      Occupancy::kUnconfirmed},
        OccupancyCase{"gone_until_all_leases_have_lapsed",
                      [](OccupiedEndpoint& world) {
                        world.scheduler.SetEndpoints({}, world.now);
                        world.AdvanceTime(kAllLapsed);
                      },
                      Occupancy::kEmpty},
        OccupancyCase{"gone_after_a_late_lease",
                      [](OccupiedEndpoint& world) {
                        world.AdvanceTime(kAllLapsed);
                        world.AnswerRenewal("a", {}, {});
                        const StartOrder start = world.Start();
                        world.Answer({}, {SchedulerHarness::Ended(1, start, RunEnd::kDone)});
                        world.scheduler.SetEndpoints({}, world.now);
                      },
                      Occupancy::kUnconfirmed}),
    [](const auto& info) { return info.param.name; });

/// Guards against an order that waits for ever: an idle endpoint is asked only if a report of it is
/// requested.
TEST(ReportRequest, IsOpenUntilAReport) {
  OccupiedEndpoint world;
  world.Answer();
  EXPECT_FALSE(world.scheduler.PlanRenewal("a", world.now).is_needed);
  world.Evacuate();
  EXPECT_TRUE(world.scheduler.RequestReport("a"));
  EXPECT_FALSE(world.scheduler.RequestReport("a"));
  EXPECT_TRUE(world.scheduler.PlanRenewal("a", world.now).is_needed);
  world.Answer();
  EXPECT_FALSE(world.scheduler.PlanRenewal("a", world.now).is_needed);
  EXPECT_FALSE(world.scheduler.RequestReport("unknown"));
}

}  // namespace
}  // namespace chervilspar::jobs
