#include "chervilspar/jobs/preemption_plan.h"

#include <gtest/gtest.h>

namespace chervilspar::jobs {
namespace {

constexpr double kStopLimitMs = 900;

Resources Cores(std::int64_t cores) { return {cores * 1000, cores * 100, 0}; }

/// A late run of job 10 + `index`.
PreemptibleRun LateRun(std::uint64_t index, std::int64_t cores, double age_ms) {
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
struct Input {
  PreemptibleRun& Run(std::size_t index) { return this->endpoints[index / 2].runs[index % 2]; }

  /// No run is late any more.
  void SetRuns(std::uint32_t rank, bool is_beyond_share) {
    for (std::size_t i = 0; i < 4; ++i) {
      this->Run(i).is_late = false;
      this->Run(i).rank = rank;
      this->Run(i).is_beyond_share = is_beyond_share;
    }
  }

  /// No run saves its progress.
  void SetUnsaved(std::uint32_t tasks, double allowance) {
    this->step.count = tasks;
    this->allowance = allowance;
    for (std::size_t i = 0; i < 4; ++i) {
      this->Run(i).saves_progress = false;
    }
  }

  BlockedStep step{.first = {JobId{1}, 0, 0, 0}, .need = Cores(2), .rank = 1, .endpoints = {0, 1}};
  std::vector<EndpointRuns> endpoints{{{}, {LateRun(0, 2, 1000), LateRun(1, 2, 900)}},
                                      {{}, {LateRun(2, 2, 800), LateRun(3, 2, 700)}}};
  double allowance = 0;
};

struct PlanCase {
  const char* name;
  void (*change)(Input&);
  std::vector<std::uint64_t> stopped;
};

class PreemptionPlans : public ::testing::TestWithParam<PlanCase> {};

/// Guards against stops that aren't needed, that help no task, or that break a rule.
TEST_P(PreemptionPlans, Stop) {
  Input input;
  GetParam().change(input);
  std::vector<std::uint64_t> stopped;
  for (const PlannedPreemption& planned : PreemptionPlan::SelectRunsToStop(
           {input.step}, input.endpoints, {kStopLimitMs, input.allowance})) {
    for (const PlannedStop& stop : planned.stops) {
      stopped.push_back(stop.task.job.number - 10);
    }
  }
  EXPECT_EQ(stopped, GetParam().stopped);
}

const std::vector<PlanCase> kCases = {
    {"the_youngest", [](Input&) {}, {3}},
    {"one_that_saves_first", [](Input& in) { in.Run(3).saves_progress = false; }, {2}},
    {"none_if_the_task_fits", [](Input& in) { in.endpoints[0].free = Cores(2); }, {}},
    {"none_if_a_stop_is_under_way", [](Input& in) { in.Run(0).is_stopping = true; }, {}},
    {"none_if_a_run_ends_soon", [](Input& in) { in.Run(0).remaining_ms = kStopLimitMs; }, {}},
    {"none_of_unknown_end", [](Input& in) { in.Run(3).remaining_ms.reset(); }, {2}},
    {"none_that_is_protected", [](Input& in) { in.Run(3).may_be_stopped = false; }, {2}},
    {"none_of_the_same_job", [](Input& in) { in.Run(3).task.job = JobId{1}; }, {2}},
    {"none_on_time_of_the_same_rank", [](Input& in) { in.SetRuns(1, false); }, {}},
    {"one_of_a_later_rank", [](Input& in) { in.SetRuns(2, false); }, {3}},
    {"one_beyond_its_share", [](Input& in) { in.SetRuns(1, true); }, {3}},
    {"none_within_its_share_for_one_beyond",
     [](Input& in) {
       in.SetRuns(2, false);
       in.step.is_beyond_share = true;
     },
     {}},
    {"none_where_the_task_can_not_run", [](Input& in) { in.step.endpoints = {0}; }, {1}},
    {"none_if_the_room_stays_too_small", [](Input& in) { in.step.need = Cores(5); }, {}},
    {"two_on_one_endpoint", [](Input& in) { in.step.need = Cores(4); }, {3, 2}},
    {"no_small_run_beside_a_large_one", [](Input& in) { in.Run(3).capacity = Cores(1); }, {2}},
    {"none_beyond_the_budget", [](Input& in) { in.SetUnsaved(1, 2000 * 700 - 1); }, {}},
    {"one_within_the_budget", [](Input& in) { in.SetUnsaved(2, 2000 * 700); }, {3}},
    {"one_on_each_limited_endpoint",
     [](Input& in) {
       in.step.count = 4;
       in.step.is_one_per_endpoint = true;
     },
     {3, 1}}};

INSTANTIATE_TEST_SUITE_P(Preemption, PreemptionPlans, ::testing::ValuesIn(kCases),
                         [](const auto& info) { return info.param.name; });

}  // namespace
}  // namespace chervilspar::jobs
