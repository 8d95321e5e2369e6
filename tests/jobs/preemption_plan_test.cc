#include "chervilspar/jobs/preemption_plan.h"

#include <functional>
#include <string>

#include <gtest/gtest.h>

namespace chervilspar::jobs {
namespace {

constexpr double kStopLimitMs = 900;

Resources Cores(std::int64_t cores) { return {cores * 1000, cores * 100, 0}; }

/// A late run of job 10 + `index` that saves its progress, as the only task of its job.
PreemptibleRun LateRun(std::uint32_t index, std::int64_t cores, double age_ms = 1000) {
  return {.task = {JobId{10 + index}, 0, 0, 0},
          .capacity = Cores(cores),
          .rank = 1,
          .is_late = true,
          .saves_progress = true,
          .may_be_stopped = true,
          .age_ms = age_ms,
          .remaining_ms = 5000};
}

/// Two endpoints, with two late runs of two cores each, and one task that needs two cores.
struct PlanInput {
  std::vector<BlockedStep> blocked{
      {.first = {JobId{1}, 0, 0, 0}, .need = Cores(2), .rank = 1, .endpoints = {0, 1}}};
  std::vector<EndpointRuns> endpoints{{{}, {LateRun(0, 2, 1000), LateRun(1, 2, 900)}},
                                      {{}, {LateRun(2, 2, 800), LateRun(3, 2, 700)}}};
  PreemptionLimits limits{.stop_limit_ms = kStopLimitMs, .allowance = 0};
};

struct PlanCase {
  const char* name;
  std::function<void(PlanInput&)> change;
  /// The positions of the stopped runs, as in `LateRun`.
  std::vector<std::uint64_t> stopped;
};

class PreemptionPlans : public ::testing::TestWithParam<PlanCase> {};

/// Guards against stops that aren't needed, that help no task, or that break a rule of the page.
TEST_P(PreemptionPlans, StopOnly) {
  PlanInput input;
  GetParam().change(input);
  std::vector<std::uint64_t> stopped;
  for (const PlannedPreemption& one :
       PreemptionPlan::SelectRunsToStop(input.blocked, input.endpoints, input.limits)) {
    for (const PlannedStop& stop : one.stops) {
      stopped.push_back(stop.task.job.number - 10);
    }
  }
  EXPECT_EQ(stopped, GetParam().stopped);
}

/// Makes the runs of the first endpoint the only ones.
void UseOneEndpoint(PlanInput& input) { input.blocked[0].endpoints = {0}; }

std::function<void(PlanInput&)> ForEachRun(std::function<void(PreemptibleRun&)> change) {
  return [change](PlanInput& input) {
    for (EndpointRuns& endpoint : input.endpoints) {
      for (PreemptibleRun& run : endpoint.runs) {
        change(run);
      }
    }
  };
}

INSTANTIATE_TEST_SUITE_P(
    Preemption, PreemptionPlans,
    ::testing::Values(
        PlanCase{"the_youngest", [](PlanInput&) {}, {3}},
        PlanCase{"one_that_saves_before_a_younger_one",
                 [](PlanInput& input) {
                   input.limits.allowance = 1e9;
                   input.endpoints[1].runs[1].saves_progress = false;
                 },
                 {2}},
        PlanCase{"none_if_the_task_fits",
                 [](PlanInput& input) { input.endpoints[0].free = Cores(2); },
                 {}},
        PlanCase{"none_if_a_stop_is_under_way",
                 [](PlanInput& input) { input.endpoints[0].runs[0].is_stopping = true; },
                 {}},
        PlanCase{"none_if_a_run_ends_soon",
                 [](PlanInput& input) { input.endpoints[0].runs[0].remaining_ms = kStopLimitMs; },
                 {}},
        PlanCase{"one_for_the_second_of_two_tasks",
                 [](PlanInput& input) {
                   input.blocked[0].count = 2;
                   input.endpoints[0].runs[0].is_stopping = true;
                 },
                 {3}},
        PlanCase{
            "none_of_unknown_end", ForEachRun([](auto& run) { run.remaining_ms.reset(); }), {}},
        PlanCase{"none_that_is_protected",
                 ForEachRun([](auto& run) { run.may_be_stopped = false; }),
                 {}},
        PlanCase{"none_on_time_of_the_same_rank",
                 ForEachRun([](auto& run) { run.is_late = false; }),
                 {}},
        PlanCase{"one_of_a_later_rank",
                 ForEachRun([](auto& run) {
                   run.is_late = false;
                   run.rank = 2;
                 }),
                 {3}},
        PlanCase{"one_beyond_its_share",
                 ForEachRun([](auto& run) {
                   run.is_late = false;
                   run.is_beyond_share = true;
                 }),
                 {3}},
        PlanCase{"none_of_a_later_rank_within_its_share_for_one_beyond",
                 [](PlanInput& input) {
                   input.blocked[0].is_beyond_share = true;
                   ForEachRun([](auto& run) {
                     run.is_late = false;
                     run.rank = 2;
                   })(input);
                 },
                 {}},
        PlanCase{
            "none_of_the_same_job", ForEachRun([](auto& run) { run.task.job = JobId{1}; }), {}},
        PlanCase{"none_where_the_task_can_not_run",
                 [](PlanInput& input) { input.blocked[0].endpoints.clear(); },
                 {}},
        PlanCase{"none_if_the_room_stays_too_small",
                 [](PlanInput& input) { input.blocked[0].need = Cores(5); },
                 {}},
        PlanCase{"two_on_one_endpoint",
                 [](PlanInput& input) { input.blocked[0].need = Cores(4); },
                 {3, 2}},
        PlanCase{"no_small_run_beside_a_large_one",
                 [](PlanInput& input) {
                   UseOneEndpoint(input);
                   input.endpoints[0].runs = {LateRun(0, 1, 100), LateRun(1, 2, 900)};
                 },
                 {1}},
        PlanCase{"none_beyond_the_budget",
                 [](PlanInput& input) {
                   ForEachRun([](auto& run) { run.saves_progress = false; })(input);
                   input.limits.allowance = 2000 * 700 - 1;
                 },
                 {}},
        PlanCase{"one_within_the_budget",
                 [](PlanInput& input) {
                   ForEachRun([](auto& run) { run.saves_progress = false; })(input);
                   input.blocked[0].count = 2;
                   input.limits.allowance = 2000 * 700;
                 },
                 {3}},
        PlanCase{"one_for_each_limited_endpoint",
                 [](PlanInput& input) {
                   input.blocked[0].count = 4;
                   input.blocked[0].is_one_per_endpoint = true;
                 },
                 {3, 1}}),
    [](const auto& info) { return info.param.name; });

}  // namespace
}  // namespace chervilspar::jobs
