#include "jobs/target_search.h"

#include <algorithm>

namespace chervilspar::jobs {

TargetSearch::TargetSearch(SchedulerState& state, TimePoint now) : placement(state), now(now) {
  for (const auto& [key, reservation] : state.reservations) {
    this->taken.insert(state.FindEndpoint(reservation.endpoint));
  }
}

TargetSearch::Candidates& TargetSearch::CandidatesFor(const TaskRef& ref) {
  const auto [entry, is_new] = this->candidates.try_emplace(ref.step);
  if (is_new) {
    entry->second = Candidates({}, this->placement.ListForStep(ref, this->now));
  }
  return entry->second;
}

EndpointState* TargetSearch::Find(const TaskRef& ref) {
  Candidates& untaken = this->CandidatesFor(ref);
  // Those that may be the best for this task: up to the first without a cost of its own.
  std::vector<PricedEndpoint> removed;
  PricedEndpoint best;
  bool is_last = false;
  while (!is_last && !untaken.empty()) {
    const PricedEndpoint candidate = untaken.top();
    untaken.pop();
    if (this->taken.contains(candidate.endpoint)) {
      continue;
    }
    removed.push_back(candidate);
    PricedEndpoint priced = candidate;
    priced.cost += Placement::FailureCost(ref, *candidate.endpoint);
    is_last = priced.cost == candidate.cost;
    if (best.endpoint == nullptr || priced < best) {
      best = priced;
    }
  }
  if (best.endpoint != nullptr) {
    this->taken.insert(best.endpoint);
  }
  for (const PricedEndpoint& candidate : removed) {
    if (candidate.endpoint != best.endpoint) {
      untaken.push(candidate);
    }
  }
  return best.endpoint;
}

}  // namespace chervilspar::jobs
