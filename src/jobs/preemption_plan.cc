#include "chervilspar/jobs/preemption_plan.h"

#include <algorithm>
#include <iterator>
#include <set>
#include <tuple>

namespace chervilspar::jobs {

namespace {

using RunList = std::vector<const PreemptibleRun*>;

double DiscardedWork(const PreemptibleRun& run) {
  return run.saves_progress ? 0 : static_cast<double>(run.capacity.cpu) * run.age_ms;
}

/// Runs that save their progress come first, then the youngest.
bool IsCheaper(const PreemptibleRun* one, const PreemptibleRun* other) {
  return std::tuple(!one->saves_progress, one->age_ms, one->task) <
         std::tuple(!other->saves_progress, other->age_ms, other->task);
}

/// Follows the order of placing: work within shares goes before work beyond them, and late work
/// comes last. Otherwise a stopped task would go before the task that it was stopped for.
bool GivesWayTo(const PreemptibleRun& run, const BlockedStep& step) {
  if (run.task.job == step.first.job) {
    return false;
  }
  if (run.is_late || run.is_beyond_share != step.is_beyond_share) {
    return run.is_late || run.is_beyond_share;
  }
  return run.rank > step.rank;
}

/// Runs to stop on one endpoint, with what this costs. Smaller costs are preferred.
struct Choice {
  std::size_t endpoint = 0;
  RunList runs;
  double discarded_work = 0;
  double stopped_cpu = 0;
  double age_ms = 0;

  bool IsCheaperThan(const Choice& other) const {
    return std::tie(this->discarded_work, this->stopped_cpu, this->age_ms) <
           std::tie(other.discarded_work, other.stopped_cpu, other.age_ms);
  }
};

class Planner {
 public:
  Planner(const std::vector<EndpointRuns>& endpoints, const PreemptionLimits& limits)
      : allowance(limits.allowance) {
    for (const EndpointRuns& endpoint : endpoints) {
      this->room.push_back(endpoint.free);
      this->candidates.emplace_back();
      for (const PreemptibleRun& run : endpoint.runs) {
        const bool ends_soon = run.remaining_ms && *run.remaining_ms <= limits.stop_limit_ms;
        if (run.is_stopping || ends_soon) {
          this->room.back() = this->room.back() + run.capacity;
        } else if (run.may_be_stopped && run.remaining_ms) {
          this->candidates.back().push_back(&run);
        }
      }
      std::sort(this->candidates.back().begin(), this->candidates.back().end(), IsCheaper);
    }
  }

  /// `position` is that of the step.
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

 private:
  /// The endpoint with the least room that suffices without another stop.
  std::optional<std::size_t> FindRoom(const BlockedStep& step,
                                      const std::set<std::size_t>& used) const {
    std::optional<std::size_t> best;
    for (const std::size_t endpoint : step.endpoints) {
      const bool is_better = !best || this->room[endpoint].cpu < this->room[*best].cpu;
      if (is_better && this->room[endpoint].Fits(step.need) && !used.contains(endpoint)) {
        best = endpoint;
      }
    }
    return best;
  }

  /// Stops the cheapest runs that free enough capacity on one endpoint, if there are any.
  std::optional<std::size_t> StopFor(const BlockedStep& step, std::size_t position,
                                     const std::set<std::size_t>& used) {
    if (this->stop_count >= PreemptionPlan::kMaxStops) {
      return std::nullopt;
    }
    std::optional<Choice> best;
    for (const std::size_t endpoint : step.endpoints) {
      if (used.contains(endpoint)) {
        continue;
      }
      std::optional<Choice> choice = this->Choose(step, endpoint);
      if (choice && (!best || choice->IsCheaperThan(*best))) {
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

  std::optional<Choice> Choose(const BlockedStep& step, std::size_t endpoint) const {
    Choice choice{.endpoint = endpoint};
    Resources freed = this->room[endpoint];
    for (const PreemptibleRun* run : this->candidates[endpoint]) {
      if (freed.Fits(step.need)) {
        break;
      }
      if (GivesWayTo(*run, step)) {
        freed = freed + run->capacity;
        choice.runs.push_back(run);
      }
    }
    if (!freed.Fits(step.need)) {
      return std::nullopt;
    }
    // Runs that were added first may not be needed beside a larger one; the costliest are dropped
    // first.
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

  /// Of each endpoint: capacity that is free now or soon, less what is planned for tasks.
  std::vector<Resources> room;
  /// Of each endpoint, the cheapest first.
  std::vector<RunList> candidates;
  double allowance;
  std::size_t stop_count = 0;
};

}  // namespace

std::vector<PlannedPreemption> PreemptionPlan::SelectRunsToStop(
    const std::vector<BlockedStep>& blocked, const std::vector<EndpointRuns>& endpoints,
    const PreemptionLimits& limits) {
  Planner planner(endpoints, limits);
  for (std::size_t i = 0; i < blocked.size(); ++i) {
    planner.Serve(blocked[i], i);
  }
  return std::move(planner.preemptions);
}

}  // namespace chervilspar::jobs
