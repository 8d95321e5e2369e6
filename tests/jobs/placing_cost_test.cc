#include <algorithm>
#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "tests/jobs/scheduler_harness.h"

namespace chervilspar::jobs {
namespace {

using World = SchedulerHarness;

constexpr int kSmallPool = 100;
constexpr int kLargePool = 800;
constexpr int kFewJobs = 4;
constexpr int kManyJobs = 24;
constexpr std::uint32_t kTasksPerJob = 8;

struct CostCase {
  const char* name;
  /// No endpoint has free capacity for the waiting jobs that they may use.
  bool is_full = true;
  std::uint32_t max_per_endpoint = 0;
  const char* label = "";
  /// The waiting jobs are late, and others before them hold endpoints.
  bool is_late = false;
};

/// Sizes of tasks in no particular order.
std::int64_t CpuOf(int number) { return 1000 + 37 * ((number * 7) % 24); }

/// The endpoints that one round examines while `jobs` jobs wait at a pool of `endpoints` endpoints.
/// One of them is leaving, so that not all are eligible.
std::uint64_t ExaminedInARound(const CostCase& param, int endpoints, int jobs) {
  SchedulerOptions options;
  options.divides_shares = true;
  World world(options);
  std::vector<EndpointRecord> records;
  records.reserve(static_cast<std::size_t>(endpoints));
  for (int i = 0; i < endpoints; ++i) {
    records.push_back(World::Endpoint("e" + std::to_string(10000 + i)));
  }
  world.Register(records);
  world.scheduler.BeginEvacuation(records.front().id, world.now);
  if (param.is_full) {
    const auto count = static_cast<std::uint32_t>(endpoints);
    const std::int64_t cpu = param.is_late ? 6000 : 8000;
    world.scheduler.AddJob(World::MakeJob(1, {World::MakeStep(count, cpu)}), WallTime{});
    world.StartAll();
  }
  if (param.is_late) {
    Step holder = World::MakeStep(1, 8000);
    holder.estimate_ms = 60000;
    world.scheduler.AddJob(World::MakeJob(2, {holder}), WallTime(world.now.time_since_epoch()));
  }
  for (int i = 0; i < jobs; ++i) {
    Step step = World::MakeStep(kTasksPerJob, CpuOf(i));
    step.max_per_endpoint = param.max_per_endpoint;
    step.required_label = param.label;
    Job job = World::MakeJob(100 + static_cast<std::uint64_t>(i), {step});
    job.accepted_ms = param.is_late ? -100000 : 0;
    world.scheduler.AddJob(job, WallTime(world.now.time_since_epoch()));
  }
  const std::uint64_t before = world.scheduler.EndpointsExamined();
  world.Decide();
  return world.scheduler.EndpointsExamined() - before;
}

/// Per job, beyond the first ones.
double ExaminedPerJob(const CostCase& param, int endpoints) {
  const std::uint64_t few = ExaminedInARound(param, endpoints, kFewJobs);
  const std::uint64_t many = ExaminedInARound(param, endpoints, kManyJobs);
  return static_cast<double>(many - std::min(few, many)) / (kManyJobs - kFewJobs);
}

class CostOfARound : public ::testing::TestWithParam<CostCase> {};

/// Guards against an owner that falls further behind the more jobs wait at a large pool.
TEST_P(CostOfARound, PerJobHardlyGrowsWithThePool) {
  const double small = ExaminedPerJob(GetParam(), kSmallPool);
  const double large = ExaminedPerJob(GetParam(), kLargePool);
  EXPECT_LE(large, 2 * small + kTasksPerJob) << "endpoints examined per job: " << small << " at "
                                             << kSmallPool << ", " << large << " at " << kLargePool;
}

INSTANTIATE_TEST_SUITE_P(
    Pools, CostOfARound,
    ::testing::Values(CostCase{.name = "JobsWithoutRoom"},
                      CostCase{.name = "JobsThatFit", .is_full = false},
                      CostCase{.name = "SpreadJobsWithoutRoom", .max_per_endpoint = 1},
                      CostCase{
                          .name = "SpreadJobsThatFit", .is_full = false, .max_per_endpoint = 1},
                      CostCase{.name = "JobsWithALabelWithoutRoom", .label = "kind"},
                      CostCase{.name = "JobsWithALabelThatFit", .is_full = false, .label = "kind"},
                      CostCase{.name = "LateJobsBesideHeldEndpoints", .is_late = true}),
    [](const auto& info) { return std::string(info.param.name); });

}  // namespace
}  // namespace chervilspar::jobs
