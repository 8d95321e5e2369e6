#include <algorithm>
#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "tests/jobs/scheduler_harness.h"

namespace chervilspar::jobs {
namespace {

using Harness = SchedulerHarness;

constexpr int kEndpoints = 8;
constexpr std::int64_t kCores = 64;

std::string WaitsOf(Harness& harness, JobId job) {
  std::string found;
  for (const DecisionEvent& event : harness.scheduler.TakeEvents()) {
    found += event.event == "job_waits" && event.job == job ? event.why : "";
  }
  return found;
}

Step MakeStep(std::uint32_t count, std::int64_t cores, std::int64_t estimate_ms,
              std::int64_t memory_mb = 100) {
  Step step = Harness::MakeStep(count, cores * 1000);
  step.need.memory_mb = memory_mb;
  step.estimate_ms = estimate_ms;
  return step;
}

/// One task on each endpoint.
Step OnEach(std::int64_t cores, std::int64_t estimate_ms, std::int64_t memory_mb = 100) {
  Step step = MakeStep(kEndpoints, cores, estimate_ms, memory_mb);
  step.max_per_endpoint = 1;
  return step;
}

Step LongRunning(Step step) {
  step.is_long_running = true;
  return step;
}

Step OnePerEndpoint(Step step) {
  step.max_per_endpoint = 1;
  return step;
}

Step Labelled(Step step) {
  step.required_label = "kind";
  return step;
}

Step AsGang(Step step) {
  step.is_gang = true;
  return step;
}

Step OnOneRack(Step step) {
  step.prefers_one_rack = true;
  return step;
}

struct WaitingCase {
  const char* name;
  /// One task of it runs on each endpoint.
  Step running;
  /// The step of the jobs that wait for room; unless accepted earlier, on time for the next minute.
  Step waiting;
  int jobs = 1;
  /// The estimate of the late job.
  std::int64_t late_ms = 6000;
  /// When the waiting jobs were accepted.
  std::int64_t accepted_ms = 0;
};

/// Starts the running tasks, adds the waiting jobs, and then a late job of 8 cores as job 1000.
void Fill(Harness& harness, const WaitingCase& param) {
  std::vector<EndpointRecord> records;
  for (const char* id : {"a1", "a2", "b1", "b2", "c1", "c2", "d1", "d2"}) {
    records.push_back(Harness::Endpoint(id, kCores));
  }
  harness.Register(records);
  const WallTime now(harness.now.time_since_epoch());
  harness.scheduler.AddJob(Harness::MakeJob(1, {param.running}), now);
  ASSERT_EQ(harness.StartAll().size(), std::size_t{kEndpoints});
  for (int i = 0; i < param.jobs; ++i) {
    Job waiting = Harness::MakeJob(10 + static_cast<std::uint64_t>(i), {param.waiting});
    waiting.accepted_ms = param.accepted_ms;
    harness.scheduler.AddJob(waiting, now);
  }
  Job late = Harness::MakeJob(1000, {MakeStep(1, 8, param.late_ms)});
  late.accepted_ms = -100000;
  harness.scheduler.AddJob(late, now);
}

bool StartsSoon(Harness& harness, JobId job) {
  for (int round = 0; round < 20; ++round) {
    const std::vector<StartOrder> starts = harness.StartAll();
    if (std::any_of(starts.begin(), starts.end(),
                    [&](const StartOrder& start) { return start.task.job == job; })) {
      return true;
    }
  }
  return false;
}

/// Guards against a late job that isn't started on a pool that is four fifths free, as all
/// endpoints are held for a job that gets no room there, or much later.
class LateJobBesideWaitingOnes : public ::testing::TestWithParam<WaitingCase> {};

TEST_P(LateJobBesideWaitingOnes, Starts) {
  Harness harness;
  ASSERT_NO_FATAL_FAILURE(Fill(harness, GetParam()));
  EXPECT_TRUE(StartsSoon(harness, JobId{1000}));
}

const Step kServing = LongRunning(OnEach(12, 1000));
const Step kServingWithMemory = LongRunning(OnEach(4, 1000, 20000));
/// Ends after the latest start of the waiting jobs, or before it.
const Step kEndless = OnEach(12, 600000);
const Step kLong = OnEach(12, 45000);
const Step kLarge = MakeStep(1, 60, 60000);

INSTANTIATE_TEST_SUITE_P(
    Pools, LateJobBesideWaitingOnes,
    ::testing::Values(
        WaitingCase{"large_beside_long_running", kServing, kLarge},
        WaitingCase{"thirty_large_beside_long_running", kServing, kLarge, 30},
        WaitingCase{"gang_beside_long_running", kServing, AsGang(MakeStep(4, 60, 60000))},
        WaitingCase{"one_rack_gang_beside_long_running", kServing,
                    OnOneRack(AsGang(MakeStep(2, 60, 60000)))},
        WaitingCase{"long_running_beside_long_running", kServing,
                    LongRunning(MakeStep(1, 60, 60000))},
        WaitingCase{"one_per_endpoint_beside_long_running", kServing,
                    OnePerEndpoint(MakeStep(2, 60, 60000))},
        WaitingCase{"labelled_beside_long_running", kServing, Labelled(kLarge)},
        WaitingCase{"much_memory_beside_long_running", kServingWithMemory,
                    MakeStep(1, 8, 60000, 60000)},
        WaitingCase{"large_beside_endless", kEndless, kLarge},
        WaitingCase{"thirty_large_beside_endless", kEndless, kLarge, 30},
        WaitingCase{"gang_beside_endless", kEndless, AsGang(MakeStep(4, 60, 60000))},
        WaitingCase{"one_rack_gang_beside_endless", kEndless,
                    OnOneRack(AsGang(MakeStep(2, 60, 60000)))},
        WaitingCase{"much_memory_beside_endless", OnEach(4, 600000, 20000),
                    MakeStep(1, 8, 60000, 60000)},
        WaitingCase{"large_beside_long", kLong, kLarge},
        WaitingCase{"thirty_large_beside_long", kLong, kLarge, 30},
        WaitingCase{"gang_beside_long", kLong, AsGang(MakeStep(4, 60, 60000))},
        WaitingCase{"long_running_beside_long", kLong, LongRunning(MakeStep(1, 60, 60000))},
        WaitingCase{"one_per_endpoint_beside_long", kLong, OnePerEndpoint(MakeStep(2, 60, 60000))},
        WaitingCase{"labelled_beside_long", kLong, Labelled(kLarge)},
        WaitingCase{"a_long_late_one_beside_long", kLong, kLarge, 1, 50000},
        WaitingCase{"a_long_late_one_and_thirty_large", kLong, kLarge, 30, 50000}),
    [](const auto& info) { return info.param.name; });

/// Guards against a small pool whose endpoints are kept for one job, one as it is reserved and the
/// other as it is held.
TEST(HeldEndpoints, LeaveHalfOfASmallPoolToLateJobs) {
  Harness harness;
  harness.Register({Harness::Endpoint("a", kCores), Harness::Endpoint("b", kCores)});
  const WallTime now(harness.now.time_since_epoch());
  // The one with the most free cpu isn't the one that has room first.
  harness.scheduler.AddJob(Harness::MakeJob(1, {MakeStep(1, 33, 40000)}), now);
  ASSERT_EQ(harness.StartAll().size(), 1U);
  harness.scheduler.AddJob(Harness::MakeJob(2, {MakeStep(1, 32, 45000)}), now);
  ASSERT_EQ(harness.StartAll().size(), 1U);
  harness.scheduler.AddJob(Harness::MakeJob(10, {kLarge}), now);
  Job late = Harness::MakeJob(1000, {MakeStep(1, 8, 50000)});
  late.accepted_ms = -200000;
  harness.scheduler.AddJob(late, now);
  EXPECT_TRUE(StartsSoon(harness, JobId{1000}));
}

/// Guards against a late job that is never examined, as each round ends at the same late jobs
/// before it, which find no room.
TEST(LateJobs, AreTriedBehindManyThatWaitForRoom) {
  Harness harness;
  ASSERT_NO_FATAL_FAILURE(Fill(harness, {"", kLong, kLarge, 30, 6000, -300000}));
  EXPECT_TRUE(StartsSoon(harness, JobId{1000}));
}

/// Guards against endpoints that are kept from on-time jobs for one whose room comes too late.
TEST(HeldEndpoints, AreNotReservedIfTheRoomComesTooLate) {
  Harness harness;
  harness.Register({Harness::Endpoint("a"), Harness::Endpoint("b")});
  const WallTime now(harness.now.time_since_epoch());
  Step running = Harness::MakeStep(2, 4000);
  running.max_per_endpoint = 1;
  running.estimate_ms = 600000;
  harness.scheduler.AddJob(Harness::MakeJob(1, {running}), now);
  ASSERT_EQ(harness.StartAll().size(), 2U);
  Step large = Harness::MakeStep(1, 8000);
  large.estimate_ms = 10000;
  harness.scheduler.AddJob(Harness::MakeJob(2, {large}), now);
  Step small = Harness::MakeStep(2, 4000);
  small.estimate_ms = 30000;
  harness.scheduler.AddJob(Harness::MakeJob(3, {small}), now);
  EXPECT_EQ(harness.StartAll().size(), 2U);
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

/// Guards against a late gang that waits for room, while nothing in the log says so.
TEST(HeldEndpoints, ALateGangLogsThatItWaits) {
  Harness harness;
  ASSERT_NO_FATAL_FAILURE(
      Fill(harness, {"", kLong, AsGang(MakeStep(4, 60, 60000)), 1, 6000, -300000}));
  harness.StartAll();
  EXPECT_NE(WaitsOf(harness, JobId{10}).find("free capacity"), std::string::npos);
}

/// Guards against a job that waits for room which long-running tasks never give up, while the log
/// names a lack of capacity.
TEST(HeldEndpoints, ALateJobLogsThatLongRunningTasksLeaveTooLittle) {
  Harness harness;
  WaitingCase param{"", kServing, kLarge, 0};
  ASSERT_NO_FATAL_FAILURE(Fill(harness, param));
  Job late = Harness::MakeJob(2, {kLarge});
  late.accepted_ms = -300000;
  harness.scheduler.AddJob(late, WallTime(harness.now.time_since_epoch()));
  harness.StartAll();
  EXPECT_NE(WaitsOf(harness, JobId{2}).find("long-running tasks"), std::string::npos);
}

}  // namespace
}  // namespace chervilspar::jobs
