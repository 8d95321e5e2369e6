#include <algorithm>

#include <gtest/gtest.h>

#include "tests/jobs/scheduler_world.h"

namespace chervilspar::jobs {
namespace {

using World = SchedulerWorld;

constexpr std::uint64_t kMedium = 1;
constexpr std::uint64_t kLarge = 2;
constexpr std::uint64_t kFirstSmall = 10;
constexpr std::uint64_t kSmallJobs = 10;

Job MakeTimed(std::uint64_t number, std::uint32_t tasks, std::int64_t estimate_ms,
              std::int64_t taken_ms) {
  Step step = World::MakeStep(tasks);
  step.estimate_ms = estimate_ms;
  Job job = World::MakeJob(number, {step});
  job.taken_ms = taken_ms;
  return job;
}

struct OrderCase {
  const char* name;
  /// A job comes as well for which there is no time beside the others.
  bool is_overloaded;
  bool is_switched_on;
  /// Tasks of the medium job, which must begin first, among the first eight that start.
  int medium_tasks;
};

class WaitingOrder : public ::testing::TestWithParam<OrderCase> {};

/// Guards against a peak in which one wide job holds the room of many small ones, all of which then
/// come a little too late: eight cores, ten small jobs, and a medium one that must begin first.
TEST_P(WaitingOrder, IsBySizeWhileNotAllCanBeOnTime) {
  SchedulerOptions options;
  options.smallest_first_when_full = GetParam().is_switched_on;
  World world(options);
  world.Register({World::Endpoint("a")});
  const WallTime wall(world.now.time_since_epoch());
  world.scheduler.AddJob(MakeTimed(kMedium, 4, 1000, 0), wall);
  if (GetParam().is_overloaded) {
    world.scheduler.AddJob(MakeTimed(kLarge, 8, 1500, 0), wall);
  }
  for (std::uint64_t i = 0; i < kSmallJobs; ++i) {
    world.scheduler.AddJob(MakeTimed(kFirstSmall + i, 1, 500, 1200), wall);
  }
  const std::vector<StartOrder> starts = world.Round().starts;
  EXPECT_EQ(starts.size(), 8U);
  const auto medium = std::count_if(starts.begin(), starts.end(), [](const StartOrder& start) {
    return start.task.job == JobId{kMedium};
  });
  EXPECT_EQ(medium, GetParam().medium_tasks);
}

INSTANTIATE_TEST_SUITE_P(Peaks, WaitingOrder,
                         ::testing::Values(OrderCase{"all_can_be_on_time", false, true, 4},
                                           OrderCase{"not_all_can", true, true, 0},
                                           OrderCase{"not_all_can_by_latest_start", true, false,
                                                     4}),
                         [](const auto& info) { return info.param.name; });

}  // namespace
}  // namespace chervilspar::jobs
