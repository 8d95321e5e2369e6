#include "chervilspar/jobs/preemption_plan.h"

#include <algorithm>
#include <iterator>
#include <limits>
#include <set>
#include <tuple>

namespace chervilspar::jobs {

namespace {

using RunList = std::vector<const PreemptibleRun*>;

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
  RunList runs;
  double discarded_work = 0;
  double stopped_cpu = 0;
  double age_ms = 0;

  bool IsCheaperThan(const Choice& other) const {
    return std::tie(this->discarded_work, this->stopped_cpu, this->age_ms) <
           std::tie(other.discarded_work, other.stopped_cpu, other.age_ms);
  }
};

/// What a choice depends on, apart from the endpoint.
struct Demand {
  Resources need;
  std::uint32_t rank = 0;
  bool is_beyond_share = false;
  /// The step's job if it has candidates, which are not chosen.
  std::optional<JobId> job;

  friend bool operator==(const Demand&, const Demand&) = default;
};

/// An endpoint during the selection.
struct EndpointPlan {
  /// Capacity that is free now or soon, less what is planned for tasks.
  Resources room;
  /// `room` and the capacity of all candidates.
  Resources most_room;
  /// Runs that may give way to a blocked step; the cheapest first if `is_sorted`.
  RunList candidates;
  bool is_sorted = false;
  /// The smallest discarded work of a candidate.
  double least_work = std::numeric_limits<double>::infinity();
  /// The choice for the demand with this number, regardless of the allowance; 0 if none is known.
  std::size_t chosen_for = 0;
  std::optional<Choice> choice;

  void AddCandidate(const PreemptibleRun& run) {
    this->candidates.push_back(&run);
    this->most_room = this->most_room + run.capacity;
    this->least_work = std::min(this->least_work, run.DiscardedWork());
  }

  void RemoveCandidate(const PreemptibleRun* run) {
    std::erase(this->candidates, run);
    this->least_work = std::numeric_limits<double>::infinity();
    for (const PreemptibleRun* other : this->candidates) {
      this->least_work = std::min(this->least_work, other->DiscardedWork());
    }
  }
};

class Planner {
 public:
  Planner(const std::vector<BlockedStep>& blocked, const std::vector<EndpointRuns>& endpoints,
          const PreemptionLimits& limits)
      : allowance(limits.allowance) {
    BlockedRanks ranks;
    std::set<JobId> blocked_jobs;
    for (const BlockedStep& step : blocked) {
      ranks.Add(step.rank, step.is_beyond_share);
      blocked_jobs.insert(step.first.job);
    }
    this->endpoints.reserve(endpoints.size());
    for (const EndpointRuns& endpoint : endpoints) {
      EndpointPlan& plan = this->endpoints.emplace_back();
      plan.room = endpoint.free;
      plan.candidates.reserve(endpoint.runs.size());
      for (const PreemptibleRun& run : endpoint.runs) {
        if (run.EndsWithin(limits.stop_limit_ms)) {
          plan.room = plan.room + run.capacity;
        } else if (ranks.MayStop(run)) {
          plan.AddCandidate(run);
          this->has_candidates = true;
          if (blocked_jobs.contains(run.task.job)) {
            this->own_jobs.insert(run.task.job);
          }
        }
      }
      plan.most_room = plan.most_room + plan.room;
    }
  }

  /// Whether another stop is possible. Planned room alone has no effect.
  bool MayStop() const {
    return this->has_candidates && this->stop_count < PreemptionPlan::kMaxStops;
  }

  /// `position` is that of the step.
  void Serve(const BlockedStep& step, std::size_t position) {
    if (this->FailsAsLast(step)) {
      return;
    }
    this->failed = nullptr;
    this->SetDemand(step);
    std::set<std::size_t> used;
    for (std::uint32_t i = 0; i < step.count && this->MayStop(); ++i) {
      std::optional<std::size_t> endpoint = this->FindRoom(step, used);
      if (!endpoint) {
        endpoint = this->StopFor(step, position, used);
      }
      if (!endpoint) {
        this->failed = &step;
        return;
      }
      EndpointPlan& plan = this->endpoints[*endpoint];
      plan.room = plan.room - step.need;
      plan.most_room = plan.most_room - step.need;
      plan.chosen_for = 0;
      if (step.is_one_per_endpoint) {
        used.insert(*endpoint);
      }
    }
  }

  std::vector<PlannedPreemption> preemptions;
  PreemptionCost cost;

 private:
  Demand DemandOf(const BlockedStep& step) const {
    Demand demand{.need = step.need,
                  .rank = step.rank,
                  .is_beyond_share = step.is_beyond_share,
                  .job = std::nullopt};
    if (this->own_jobs.contains(step.first.job)) {
      demand.job = step.first.job;
    }
    return demand;
  }

  /// The step before found no endpoint for a task with the same demand, and nothing has changed.
  bool FailsAsLast(const BlockedStep& step) const {
    return this->failed != nullptr && !step.is_one_per_endpoint &&
           !this->failed->is_one_per_endpoint && this->DemandOf(step) == this->demand &&
           step.endpoints == this->failed->endpoints;
  }

  /// Choices are kept while consecutive steps have the same demand.
  void SetDemand(const BlockedStep& step) {
    const Demand next = this->DemandOf(step);
    if (this->demand_number == 0 || next != this->demand) {
      this->demand = next;
      ++this->demand_number;
    }
  }

  /// The endpoint with the least room that suffices without another stop.
  std::optional<std::size_t> FindRoom(const BlockedStep& step, const std::set<std::size_t>& used) {
    ++this->cost.searches;
    std::optional<std::size_t> best;
    for (const std::size_t endpoint : step.endpoints) {
      const Resources& room = this->endpoints[endpoint].room;
      const bool is_better = !best || room.cpu < this->endpoints[*best].room.cpu;
      if (is_better && room.Fits(step.need) && !used.contains(endpoint)) {
        best = endpoint;
      }
    }
    return best;
  }

  /// Stops the cheapest runs that free enough capacity on one endpoint, if there are any. Only for
  /// a step without room, so that every choice has runs.
  std::optional<std::size_t> StopFor(const BlockedStep& step, std::size_t position,
                                     const std::set<std::size_t>& used) {
    const Choice* best = nullptr;
    std::size_t best_endpoint = 0;
    for (const std::size_t endpoint : step.endpoints) {
      EndpointPlan& plan = this->endpoints[endpoint];
      const double most_work = best == nullptr ? this->allowance : best->discarded_work;
      if (plan.least_work > most_work || !plan.most_room.Fits(step.need) ||
          used.contains(endpoint)) {
        continue;
      }
      const std::optional<Choice>& choice = this->ChoiceOn(plan, step);
      if (choice && choice->discarded_work <= this->allowance &&
          (best == nullptr || choice->IsCheaperThan(*best))) {
        best = &*choice;
        best_endpoint = endpoint;
      }
    }
    if (best == nullptr || this->stop_count + best->runs.size() > PreemptionPlan::kMaxStops) {
      return std::nullopt;
    }
    EndpointPlan& plan = this->endpoints[best_endpoint];
    PlannedPreemption preemption{.step = position, .endpoint = best_endpoint, .stops = {}};
    for (const PreemptibleRun* run : best->runs) {
      plan.room = plan.room + run->capacity;
      preemption.stops.push_back({run->task, run->saves_progress, run->DiscardedWork()});
      plan.RemoveCandidate(run);
    }
    this->stop_count += best->runs.size();
    this->allowance -= best->discarded_work;
    this->preemptions.push_back(std::move(preemption));
    return best_endpoint;
  }

  const std::optional<Choice>& ChoiceOn(EndpointPlan& plan, const BlockedStep& step) {
    if (plan.chosen_for != this->demand_number) {
      if (!plan.is_sorted) {
        std::sort(plan.candidates.begin(), plan.candidates.end(), IsCheaper);
        plan.is_sorted = true;
      }
      plan.choice = this->Choose(step, plan);
      plan.chosen_for = this->demand_number;
    }
    return plan.choice;
  }

  std::optional<Choice> Choose(const BlockedStep& step, const EndpointPlan& plan) {
    Choice choice;
    Resources freed = plan.room;
    for (const PreemptibleRun* run : plan.candidates) {
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
      choice.discarded_work += run->DiscardedWork();
      choice.stopped_cpu += static_cast<double>(run->capacity.cpu);
      choice.age_ms += run->age_ms;
    }
    return choice;
  }

  std::vector<EndpointPlan> endpoints;
  /// Jobs with both blocked steps and candidates.
  std::set<JobId> own_jobs;
  bool has_candidates = false;
  Demand demand;
  /// The last step, if it found no endpoint for one of its tasks.
  const BlockedStep* failed = nullptr;
  /// Counts the demands, from 1.
  std::size_t demand_number = 0;
  double allowance;
  std::size_t stop_count = 0;
};

}  // namespace

bool PreemptibleRun::EndsWithin(double limit_ms) const {
  return this->is_stopping || (this->remaining_ms && *this->remaining_ms <= limit_ms);
}

double PreemptibleRun::DiscardedWork() const {
  return this->saves_progress ? 0 : static_cast<double>(this->capacity.cpu) * this->age_ms;
}

void BlockedRanks::Add(std::uint32_t rank, bool is_beyond_share) {
  std::optional<std::uint32_t>& lowest =
      is_beyond_share ? this->lowest_beyond_share : this->lowest_within_share;
  lowest = std::min(lowest.value_or(rank), rank);
}

bool BlockedRanks::MayStop(const PreemptibleRun& run) const {
  if (!run.may_be_stopped || !run.remaining_ms) {
    return false;
  }
  if (run.is_late || (run.is_beyond_share && this->lowest_within_share)) {
    return true;
  }
  const std::optional<std::uint32_t>& lowest =
      run.is_beyond_share ? this->lowest_beyond_share : this->lowest_within_share;
  return lowest && *lowest < run.rank;
}

std::vector<PlannedPreemption> PreemptionPlan::SelectRunsToStop(
    const std::vector<BlockedStep>& blocked, const std::vector<EndpointRuns>& endpoints,
    const PreemptionLimits& limits, PreemptionCost* cost) {
  Planner planner(blocked, endpoints, limits);
  for (std::size_t i = 0; i < blocked.size() && planner.MayStop(); ++i) {
    planner.Serve(blocked[i], i);
  }
  if (cost != nullptr) {
    *cost = planner.cost;
  }
  return std::move(planner.preemptions);
}

}  // namespace chervilspar::jobs
