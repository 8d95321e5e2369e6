#include <algorithm>

#include <gtest/gtest.h>

#include "tests/jobs/scheduler_harness.h"

namespace chervilspar::jobs {
namespace {

using Harness = SchedulerHarness;

struct BlockedQueueCase {
  const char* name;
  /// The shape of the jobs for which no endpoint has room.
  Step blocked;
  int jobs;
  /// When the job behind them was accepted; its deadline is 2.5 s later.
  std::int64_t accepted_ms;
};

Step OnSpecial(Step step) {
  step.required_label = "special";
  return step;
}

Step LongRunning() {
  Step step = Harness::MakeStep(1);
  step.is_long_running = true;
  return step;
}

Step AsGang(Step step) {
  step.is_gang = true;
  return step;
}

/// Guards against a job that never starts although an endpoint is idle, as each round ends at the
/// same jobs before it, which fit nowhere.
class BlockedQueue : public ::testing::TestWithParam<BlockedQueueCase> {};

TEST_P(BlockedQueue, DoesNotBlockTheJobsBehindIt) {
  Harness harness;
  EndpointRecord special = Harness::Endpoint("special");
  special.labels.emplace_back("special");
  std::vector<EndpointRecord> records{special};
  for (const char* id : {"a", "b", "c", "d"}) {
    records.push_back(Harness::Endpoint(id));
  }
  harness.Register(records);
  harness.scheduler.AddJob(Harness::MakeJob(1, {OnSpecial(Harness::MakeStep(1, 8000))}),
                           WallTime(harness.now.time_since_epoch()));
  ASSERT_EQ(harness.StartAll().size(), 1U);
  for (int i = 0; i < GetParam().jobs; ++i) {
    harness.scheduler.AddJob(Harness::MakeJob(10 + i, {GetParam().blocked}),
                             WallTime(harness.now.time_since_epoch()));
  }
  harness.StartAll();
  Job last = Harness::MakeJob(1000, {Harness::MakeStep(1)});
  last.accepted_ms = GetParam().accepted_ms;
  harness.scheduler.AddJob(last, WallTime(harness.now.time_since_epoch()));
  bool has_started = false;
  for (int round = 0; round < 20 && !has_started; ++round) {
    const std::vector<StartOrder> starts = harness.StartAll();
    has_started = std::any_of(starts.begin(), starts.end(), [](const StartOrder& start) {
      return start.task.job == JobId{1000};
    });
  }
  EXPECT_TRUE(has_started);
}

INSTANTIATE_TEST_SUITE_P(
    Shapes, BlockedQueue,
    ::testing::Values(
        BlockedQueueCase{"few", OnSpecial(Harness::MakeStep(1)), 3, 10},
        BlockedQueueCase{"many", OnSpecial(Harness::MakeStep(1)), 100, 10},
        BlockedQueueCase{"many_before_a_late_one", OnSpecial(Harness::MakeStep(1)), 100, -9000},
        BlockedQueueCase{"one_before_a_late_one", OnSpecial(Harness::MakeStep(1)), 1, -9000},
        BlockedQueueCase{"a_long_running_one_before_a_late_one", OnSpecial(LongRunning()), 1,
                         -9000},
        BlockedQueueCase{"gangs_on_other_endpoints", AsGang(OnSpecial(Harness::MakeStep(2))), 100,
                         10},
        BlockedQueueCase{"gangs_larger_than_the_pool", AsGang(Harness::MakeStep(60)), 100, 10}),
    [](const auto& info) { return info.param.name; });

}  // namespace
}  // namespace chervilspar::jobs
