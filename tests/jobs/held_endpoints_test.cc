#include <algorithm>

#include <gtest/gtest.h>

#include "tests/jobs/scheduler_harness.h"

namespace chervilspar::jobs {
namespace {

using Harness = SchedulerHarness;

std::string WaitsOf(Harness& harness, JobId job) {
  std::string found;
  for (const DecisionEvent& event : harness.scheduler.TakeEvents()) {
    found += event.event == "job_waits" && event.job == job ? event.why : "";
  }
  return found;
}

/// Guards against a late job that waits behind the endpoints held for another, while nothing in the
/// log says so.
TEST(HeldEndpoints, ALateJobLogsWhichJobHoldsThem) {
  Harness harness;
  harness.Register({Harness::Endpoint("a"), Harness::Endpoint("b")});
  const WallTime now(harness.now.time_since_epoch());
  harness.scheduler.AddJob(Harness::MakeJob(1, {Harness::MakeStep(2, 7000)}), now);
  ASSERT_EQ(harness.StartAll().size(), 2U);
  Step large = Harness::MakeStep(1, 8000);
  large.estimate_ms = 60000;
  harness.scheduler.AddJob(Harness::MakeJob(2, {large}), now);
  Job late = Harness::MakeJob(3, {Harness::MakeStep(1)});
  late.accepted_ms = -9000;
  harness.scheduler.AddJob(late, now);
  EXPECT_TRUE(harness.StartAll().empty());
  EXPECT_NE(WaitsOf(harness, JobId{3}).find(ToString(JobId{2})), std::string::npos);
}

}  // namespace
}  // namespace chervilspar::jobs
