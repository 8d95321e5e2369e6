#include "jobs/wanted_endpoints.h"

#include <algorithm>

namespace chervilspar::jobs {

void WantedEndpoints::Begin(const PoolState& next) {
  this->pool = &next;
  this->is_wanted.assign(next.endpoints.size(), 0);
  this->added.clear();
  this->first_holder.reset();
}

std::set<EndpointState*> WantedEndpoints::All() const {
  std::set<EndpointState*> all;
  for (EndpointState* endpoint : this->pool->endpoints) {
    if (this->Contains(*endpoint)) {
      all.insert(endpoint);
    }
  }
  return all;
}

bool WantedEndpoints::Added::Covers(const TaskRef& ref, const Resources& need) const {
  return ref.spec->required_label == this->label && need.Fits(this->need);
}

bool WantedEndpoints::CouldRun(const TaskRef& ref, const Resources& need,
                               EndpointState& endpoint) const {
  ++this->state.endpoints_examined;
  return endpoint.record.capacity.Fits(need) && this->placement.MayRunOn(ref, endpoint, this->now);
}

void WantedEndpoints::Add(const TaskRef& ref) {
  const Resources need = RequiredCapacity(*ref.spec);
  this->first_holder = this->first_holder.value_or(ref.key.job);
  const auto covering = std::find_if(this->added.begin(), this->added.end(),
                                     [&](const Added& one) { return one.Covers(ref, need); });
  if (covering != this->added.end()) {
    std::erase_if(covering->missing, [&](EndpointState* endpoint) {
      const bool could_run = this->CouldRun(ref, need, *endpoint);
      if (could_run) {
        this->is_wanted[endpoint->position] = 1;
      }
      return could_run;
    });
    return;
  }
  Added one{ref.spec->required_label, need, {}};
  for (EndpointState* endpoint : this->pool->endpoints) {
    if (this->CouldRun(ref, need, *endpoint)) {
      this->is_wanted[endpoint->position] = 1;
    } else if (endpoint->record.capacity.Fits(need) && Placement::IsUsable(*endpoint, this->now) &&
               Placement::HasLabelFor(ref, *endpoint)) {
      one.missing.push_back(endpoint);
    }
  }
  // The adviser allows other endpoints for each step.
  if (!ref.job->needs_advice) {
    this->added.push_back(std::move(one));
  }
}

}  // namespace chervilspar::jobs
