#include <algorithm>
#include <iterator>
#include <set>
#include <tuple>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "chervilspar/jobs/preemption_plan.h"

namespace chervilspar::jobs {
namespace {

constexpr double kStopLimitMs = 900;

using RunList = std::vector<const PreemptibleRun*>;

double DiscardedWork(const PreemptibleRun& run) {
  return run.saves_progress ? 0 : static_cast<double>(run.capacity.cpu) * run.age_ms;
}

bool IsCheaper(const PreemptibleRun* one, const PreemptibleRun* other) {
  return std::tuple(!one->saves_progress, one->age_ms, one->task) <
         std::tuple(!other->saves_progress, other->age_ms, other->task);
}

bool GivesWayTo(const PreemptibleRun& run, const BlockedStep& step) {
  if (run.task.job == step.first.job) {
    return false;
  }
  if (run.is_late || run.is_beyond_share != step.is_beyond_share) {
    return run.is_late || run.is_beyond_share;
  }
  return run.rank > step.rank;
}

struct Choice {
  std::size_t endpoint = 0;
  RunList runs;
  double discarded_work = 0;
  double stopped_cpu = 0;
  double age_ms = 0;

  auto Cost() const { return std::tie(this->discarded_work, this->stopped_cpu, this->age_ms); }
};

/// States the rules of `PreemptionPlan` without regard to cost: each task examines every run of
/// every endpoint.
class PlainPlan {
 public:
  PlainPlan(const std::vector<EndpointRuns>& endpoints, const PreemptionLimits& limits)
      : allowance(limits.allowance) {
    for (const EndpointRuns& endpoint : endpoints) {
      this->room.push_back(endpoint.free);
      RunList& runs = this->candidates.emplace_back();
      for (const PreemptibleRun& run : endpoint.runs) {
        if (run.is_stopping || (run.remaining_ms && *run.remaining_ms <= limits.stop_limit_ms)) {
          this->room.back() = this->room.back() + run.capacity;
        } else if (run.may_be_stopped && run.remaining_ms) {
          runs.push_back(&run);
        }
      }
      std::sort(runs.begin(), runs.end(), IsCheaper);
    }
  }

  void Serve(const BlockedStep& step, std::size_t position) {
    std::set<std::size_t> used;
    for (std::uint32_t i = 0; i < step.count; ++i) {
      std::optional<std::size_t> endpoint = this->FindRoom(step, used);
      if (!endpoint) {
        endpoint = this->StopFor(step, position, used);
      }
      if (!endpoint) {
        return;
      }
      this->room[*endpoint] = this->room[*endpoint] - step.need;
      if (step.is_one_per_endpoint) {
        used.insert(*endpoint);
      }
    }
  }

  std::vector<PlannedPreemption> preemptions;
  PreemptionCost cost;

 private:
  std::optional<std::size_t> FindRoom(const BlockedStep& step, const std::set<std::size_t>& used) {
    ++this->cost.searches;
    std::optional<std::size_t> best;
    for (const std::size_t endpoint : step.endpoints) {
      const bool is_better = !best || this->room[endpoint].cpu < this->room[*best].cpu;
      if (is_better && this->room[endpoint].Fits(step.need) && !used.contains(endpoint)) {
        best = endpoint;
      }
    }
    return best;
  }

  std::optional<std::size_t> StopFor(const BlockedStep& step, std::size_t position,
                                     const std::set<std::size_t>& used) {
    if (this->stop_count >= PreemptionPlan::kMaxStops) {
      return std::nullopt;
    }
    std::optional<Choice> best;
    for (const std::size_t endpoint : step.endpoints) {
      std::optional<Choice> choice;
      if (!used.contains(endpoint)) {
        choice = this->Choose(step, endpoint);
      }
      if (choice && (!best || choice->Cost() < best->Cost())) {
        best = std::move(choice);
      }
    }
    if (!best || this->stop_count + best->runs.size() > PreemptionPlan::kMaxStops) {
      return std::nullopt;
    }
    PlannedPreemption preemption{.step = position, .endpoint = best->endpoint, .stops = {}};
    for (const PreemptibleRun* run : best->runs) {
      this->room[best->endpoint] = this->room[best->endpoint] + run->capacity;
      preemption.stops.push_back({run->task, run->saves_progress, DiscardedWork(*run)});
      std::erase(this->candidates[best->endpoint], run);
    }
    this->stop_count += best->runs.size();
    this->allowance -= best->discarded_work;
    this->preemptions.push_back(std::move(preemption));
    return best->endpoint;
  }

  std::optional<Choice> Choose(const BlockedStep& step, std::size_t endpoint) {
    Choice choice{.endpoint = endpoint};
    Resources freed = this->room[endpoint];
    for (const PreemptibleRun* run : this->candidates[endpoint]) {
      if (freed.Fits(step.need)) {
        break;
      }
      ++this->cost.examined_runs;
      if (GivesWayTo(*run, step)) {
        freed = freed + run->capacity;
        choice.runs.push_back(run);
      }
    }
    if (!freed.Fits(step.need)) {
      return std::nullopt;
    }
    for (std::size_t i = choice.runs.size(); i-- > 0;) {
      const Resources without = freed - choice.runs[i]->capacity;
      if (without.Fits(step.need)) {
        freed = without;
        choice.runs.erase(std::next(choice.runs.begin(), static_cast<std::ptrdiff_t>(i)));
      }
    }
    for (const PreemptibleRun* run : choice.runs) {
      choice.discarded_work += DiscardedWork(*run);
      choice.stopped_cpu += static_cast<double>(run->capacity.cpu);
      choice.age_ms += run->age_ms;
    }
    return choice.discarded_work <= this->allowance ? std::optional(choice) : std::nullopt;
  }

  std::vector<Resources> room;
  std::vector<RunList> candidates;
  double allowance;
  std::size_t stop_count = 0;
};

PlainPlan PlanPlainly(const std::vector<BlockedStep>& blocked,
                      const std::vector<EndpointRuns>& endpoints, const PreemptionLimits& limits) {
  PlainPlan plan(endpoints, limits);
  for (std::size_t i = 0; i < blocked.size(); ++i) {
    plan.Serve(blocked[i], i);
  }
  return plan;
}

int Pick(int begin, int end) { return *rc::gen::inRange(begin, end); }

/// True once in `count` cases.
bool IsOneIn(int count) { return Pick(0, count) == 0; }

/// Few different values, so that ties and equal demands are frequent.
Resources SomeResources(int begin, int end) {
  return {Pick(begin, end) * std::int64_t{500}, Pick(begin, end) * std::int64_t{100}, 0};
}

Resources SomeCapacity() {
  Resources capacity = SomeResources(1, 5);
  capacity.gpus = IsOneIn(8) ? 1 : 0;
  return capacity;
}

PreemptibleRun SomeRun(std::uint32_t index) {
  PreemptibleRun run{.task = {JobId{static_cast<std::uint64_t>(Pick(1, 12))}, 0, 0, index},
                     .capacity = SomeCapacity(),
                     .rank = static_cast<std::uint32_t>(Pick(1, 4)),
                     .is_late = IsOneIn(4),
                     .is_beyond_share = IsOneIn(3),
                     .saves_progress = IsOneIn(2),
                     .is_stopping = IsOneIn(10),
                     .may_be_stopped = !IsOneIn(5),
                     .age_ms = Pick(0, 8) * 100.0};
  if (!IsOneIn(8)) {
    run.remaining_ms = Pick(0, 10) * 500.0;
  }
  return run;
}

std::vector<EndpointRuns> SomeEndpoints() {
  std::vector<EndpointRuns> endpoints(static_cast<std::size_t>(Pick(0, 8)));
  std::uint32_t index = 0;
  for (EndpointRuns& endpoint : endpoints) {
    endpoint.free = SomeResources(0, 3);
    for (int left = Pick(0, 7); left > 0; --left) {
      endpoint.runs.push_back(SomeRun(++index));
    }
  }
  return endpoints;
}

std::vector<BlockedStep> SomeSteps(std::size_t endpoints) {
  std::vector<BlockedStep> steps(static_cast<std::size_t>(Pick(1, 8)));
  const BlockedStep* last = nullptr;
  for (BlockedStep& step : steps) {
    if (last != nullptr && IsOneIn(3)) {
      step = *last;  // Steps of one kind of job often wait together.
    }
    last = &step;
    step.first.job = JobId{static_cast<std::uint64_t>(Pick(1, 20))};
    step.count = static_cast<std::uint32_t>(Pick(0, 10));
    if (step.need != Resources{}) {
      continue;
    }
    step.need = SomeCapacity();
    step.rank = static_cast<std::uint32_t>(Pick(1, 4));
    step.is_beyond_share = IsOneIn(3);
    step.is_one_per_endpoint = IsOneIn(4);
    const bool is_limited = IsOneIn(3);
    for (std::size_t i = 0; i < endpoints; ++i) {
      if (!is_limited || IsOneIn(2)) {
        step.endpoints.push_back(i);
      }
    }
  }
  return steps;
}

/// Guards against shortcuts of the selection that change what is stopped.
RC_GTEST_PROP(PreemptionPlanProperty, SelectsAsThePlainRulesDo, ()) {
  const std::vector<EndpointRuns> endpoints = SomeEndpoints();
  const std::vector<BlockedStep> steps = SomeSteps(endpoints.size());
  const PreemptionLimits limits{.stop_limit_ms = kStopLimitMs, .allowance = Pick(0, 6) * 500'000.0};
  const PlainPlan plain = PlanPlainly(steps, endpoints, limits);
  PreemptionCost cost;
  RC_ASSERT(PreemptionPlan::SelectRunsToStop(steps, endpoints, limits, &cost) == plain.preemptions);
  RC_ASSERT(cost.examined_runs <= plain.cost.examined_runs);
  RC_ASSERT(cost.searches <= plain.cost.searches);
  RC_CLASSIFY(!plain.preemptions.empty(), "stops runs");
}

constexpr std::size_t kEndpoints = 200;
constexpr std::size_t kRunsPerEndpoint = 8;
constexpr std::size_t kSteps = 20;
constexpr std::uint32_t kTasksPerStep = 8;

/// A full pool, and steps of rank 1 that wait for it.
struct LargePool {
  LargePool() {
    for (std::size_t i = 0; i < kEndpoints; ++i) {
      EndpointRuns& endpoint = this->endpoints.emplace_back();
      for (std::size_t k = 0; k < kRunsPerEndpoint; ++k) {
        endpoint.runs.push_back({.task = {JobId{1000 + i}, 0, 0, static_cast<std::uint32_t>(k)},
                                 .capacity = {1000, 100, 0},
                                 .rank = 1,
                                 .may_be_stopped = true,
                                 .age_ms = 100.0 * static_cast<double>(k + 1),
                                 .remaining_ms = 5000});
      }
    }
    for (std::size_t i = 0; i < kSteps; ++i) {
      BlockedStep& step = this->steps.emplace_back();
      step.first.job = JobId{1 + i};
      step.count = kTasksPerStep;
      step.need = {1000, 100, 0};
      step.rank = 1;
      for (std::size_t k = 0; k < kEndpoints; ++k) {
        step.endpoints.push_back(k);
      }
    }
  }

  void ChangeRuns(void (*change)(PreemptibleRun&)) {
    for (EndpointRuns& endpoint : this->endpoints) {
      std::for_each(endpoint.runs.begin(), endpoint.runs.end(), change);
    }
  }

  std::vector<EndpointRuns> endpoints;
  std::vector<BlockedStep> steps;
};

struct CostCase {
  const char* name;
  void (*change)(PreemptibleRun&);
  double allowance = 0;
  std::size_t stops = 0;
  PreemptionCost most;
};

class PreemptionPlanCost : public ::testing::TestWithParam<CostCase> {};

/// Guards against plans that examine every run of a full pool for every blocked task.
TEST_P(PreemptionPlanCost, IsBoundedInAFullPool) {
  LargePool pool;
  pool.ChangeRuns(GetParam().change);
  const PreemptionLimits limits{.stop_limit_ms = kStopLimitMs, .allowance = GetParam().allowance};
  PreemptionCost cost;
  const auto planned = PreemptionPlan::SelectRunsToStop(pool.steps, pool.endpoints, limits, &cost);
  EXPECT_EQ(planned, PlanPlainly(pool.steps, pool.endpoints, limits).preemptions);
  EXPECT_EQ(planned.size(), GetParam().stops);
  EXPECT_LE(cost.examined_runs, GetParam().most.examined_runs);
  EXPECT_LE(cost.searches, GetParam().most.searches);
}

/// Each run once, and one search for each stop and for the first failure.
constexpr PreemptionCost kOnce{.examined_runs = kEndpoints * kRunsPerEndpoint,
                               .searches = PreemptionPlan::kMaxStops + 1};

const std::vector<CostCase> kCostCases = {
    {"no_run_gives_way", [](PreemptibleRun&) {}, 0, 0, {}},
    {"no_run_is_within_the_budget",
     [](PreemptibleRun& run) { run.is_late = true; },
     99'999,
     0,
     {.examined_runs = 0, .searches = 1}},
    {"runs_save_their_progress",
     [](PreemptibleRun& run) {
       run.is_late = true;
       run.saves_progress = true;
     },
     0, PreemptionPlan::kMaxStops, kOnce},
    {"runs_are_within_the_budget", [](PreemptibleRun& run) { run.is_late = true; }, 1e12,
     PreemptionPlan::kMaxStops, kOnce}};

INSTANTIATE_TEST_SUITE_P(Preemption, PreemptionPlanCost, ::testing::ValuesIn(kCostCases),
                         [](const auto& info) { return info.param.name; });

}  // namespace
}  // namespace chervilspar::jobs
