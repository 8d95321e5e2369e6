#include "jobs/placement.h"

#include <algorithm>

namespace chervilspar::jobs {

namespace {

/// Costs are in thousandths of a core that stay free. The following are larger than any endpoint,
/// so that they take precedence over its free capacity.
constexpr std::int64_t kFailedThereCost = 100'000'000;
constexpr std::int64_t kOtherRackCost = 10'000'000;
/// For an endpoint whose VM will be rebooted soon, as the task would have to move again.
constexpr std::int64_t kRebootSoonCost = 20'000'000;
/// For an endpoint that would get its first serving task. Endpoints without any can move between
/// pools with demand, as no move may end a task that serves users.
constexpr std::int64_t kFirstServingTaskCost = 3'000'000;
/// For each serving or filler task that the task would share the endpoint with. Less than
/// `kFirstServingTaskCost`: spreading five tasks over five endpoints keeps two VMs running that
/// could be off, while sharing costs two tasks at once only if a VM is lost.
constexpr std::int64_t kSharingCost = 1'000'000;

/// The last run of the task, or of a member of its gang, failed on the endpoint.
bool HasFailedOn(const TaskRef& ref, const EndpointState& endpoint) {
  const std::string& id = endpoint.record.id;
  if (!ref.spec->is_gang) {
    return ref.task->avoided_endpoint == id;
  }
  return std::any_of(ref.step->tasks.begin(), ref.step->tasks.end(),
                     [&](const Task& member) { return member.avoided_endpoint == id; });
}

bool IsOfSameStep(const TaskKey& one, const TaskKey& other) {
  return one.job == other.job && one.occurrence == other.occurrence && one.step == other.step;
}

/// How many tasks of the gang may run on one endpoint.
std::size_t LimitPerEndpoint(const TaskRef& ref) {
  return ref.spec->max_per_endpoint > 0 ? std::size_t{ref.spec->max_per_endpoint}
                                        : ref.step->tasks.size();
}

bool IsServing(const Step& step) { return step.is_long_running && !step.is_filler; }

}  // namespace

bool Placement::IsUsable(const EndpointState& endpoint, TimePoint now) {
  return endpoint.is_registered && !endpoint.record.is_draining && !endpoint.is_evacuating &&
         !endpoint.is_cordoned && !endpoint.is_silent && !endpoint.has_lapse_notice &&
         endpoint.clock_ms.has_value() && endpoint.ejected_until <= now &&
         endpoint.full_until <= now;
}

bool Placement::HasLabelFor(const TaskRef& ref, const EndpointState& endpoint) {
  const std::string& label = ref.spec->required_label;
  return label.empty() || endpoint.record.HasLabel(label);
}

bool Placement::IsBelowLimitPerEndpoint(const TaskRef& ref, const EndpointState& endpoint) const {
  const std::uint32_t limit = ref.spec->max_per_endpoint;
  if (limit == 0) {
    return true;
  }
  std::uint32_t there = 0;
  for (auto claim = endpoint.claims.lower_bound({ref.key.job, ref.key.occurrence, ref.key.step, 0});
       claim != endpoint.claims.end() && IsOfSameStep(*claim, ref.key); ++claim) {
    ++there;
  }
  return there < limit;
}

bool Placement::IsEligible(const TaskRef& ref, const EndpointState& endpoint, TimePoint now) const {
  return IsUsable(endpoint, now) && HasLabelFor(ref, endpoint) &&
         this->IsBelowLimitPerEndpoint(ref, endpoint);
}

bool Placement::MayRunOn(const TaskRef& ref, const EndpointState& endpoint, TimePoint now) const {
  const bool is_allowed =
      !ref.job->needs_advice || ref.step->advice.FindTicket(endpoint, now) != nullptr;
  return is_allowed && this->IsEligible(ref, endpoint, now);
}

std::int64_t Placement::SharingCost(const TaskRef& ref, const EndpointState& endpoint) const {
  if (!ref.spec->is_long_running && !ref.spec->is_filler) {
    return 0;
  }
  std::int64_t shared = 0;
  bool has_serving = false;
  for (const TaskKey& key : endpoint.claims) {
    const TaskRef other = this->state.Find(key);
    const bool is_sibling = key.job == ref.key.job;
    if (ref.spec->is_filler) {
      shared += IsServing(*other.spec) ? 2 : 0;
      shared += other.spec->is_filler ? 1 : 0;
    } else if (IsServing(*ref.spec)) {
      shared += other.spec->is_filler ? 2 : 0;
      shared += is_sibling ? 1 : 0;
      has_serving = has_serving || IsServing(*other.spec);
    }
  }
  const bool opens_another = IsServing(*ref.spec) && !has_serving;
  return shared * kSharingCost + (opens_another ? kFirstServingTaskCost : 0) +
         (endpoint.is_reboot_due ? kRebootSoonCost : 0);
}

std::int64_t Placement::FailureCost(const TaskRef& ref, const EndpointState& endpoint) {
  return HasFailedOn(ref, endpoint) ? kFailedThereCost : 0;
}

std::int64_t Placement::Cost(const TaskRef& ref, const EndpointState& endpoint) const {
  return this->CostForStep(ref, endpoint) + FailureCost(ref, endpoint);
}

std::int64_t Placement::CostForStep(const TaskRef& ref, const EndpointState& endpoint) const {
  std::int64_t cost = this->SharingCost(ref, endpoint);
  if (!ref.spec->data_rack.empty() && !endpoint.record.HasLabel(ref.spec->data_rack)) {
    cost += kOtherRackCost;
  }
  const std::int64_t left = endpoint.FreeCapacity().cpu - RequiredCapacity(*ref.spec).cpu;
  const bool is_spread = ref.spec->is_long_running;
  return cost + (is_spread ? -left : left);
}

EndpointState* Placement::Choose(const TaskRef& ref, EndpointFilter& filter, TimePoint now) const {
  const auto pool = this->state.pools.find(ref.job->service);
  if (pool == this->state.pools.end()) {
    return nullptr;
  }
  const std::int64_t need = RequiredCapacity(*ref.spec).cpu;
  const std::vector<EndpointState*>& endpoints = pool->second.endpoints;
  const FreeCpuIndex& index = pool->second.by_free_cpu;
  const std::vector<FreeCpuIndex::Entry>& entries = index.Entries();
  const std::size_t first = index.FirstWith(need);
  Choice best;
  // The free cpu that remains is a lower bound of the cost, so the cheapest candidates come first.
  const auto consider = [&](const FreeCpuIndex::Entry& entry, std::int64_t bound) {
    const bool can_improve = best.CanBeImprovedBy(bound, entry.position);
    if (can_improve) {
      this->Consider(ref, *endpoints[entry.position], filter, now, best);
    }
    return can_improve;
  };
  if (!ref.spec->is_long_running) {
    for (std::size_t i = first; i < entries.size(); ++i) {
      if (!consider(entries[i], entries[i].free_cpu - need)) {
        break;
      }
    }
    return best.endpoint;
  }
  for (std::size_t end = entries.size(); end > first;) {
    const std::int64_t free_cpu = entries[end - 1].free_cpu;
    const std::size_t begin = index.FirstWith(free_cpu);
    if (!best.CanBeImprovedBy(need - free_cpu, 0)) {
      break;
    }
    for (std::size_t i = begin; i < end; ++i) {
      if (!consider(entries[i], need - free_cpu)) {
        break;
      }
    }
    end = begin;
  }
  return best.endpoint;
}

bool Placement::Choice::CanBeImprovedBy(std::int64_t bound, std::size_t position) const {
  return this->endpoint == nullptr || bound < this->cost ||
         (bound == this->cost && position < this->endpoint->position);
}

void Placement::Consider(const TaskRef& ref, EndpointState& endpoint, EndpointFilter& filter,
                         TimePoint now, Choice& best) const {
  ++this->state.endpoints_examined;
  if (!endpoint.FreeCapacity().Fits(RequiredCapacity(*ref.spec)) ||
      !this->MayRunOn(ref, endpoint, now) || !filter.Allows(endpoint)) {
    return;
  }
  const std::int64_t cost = this->Cost(ref, endpoint);
  if (best.CanBeImprovedBy(cost, endpoint.position)) {
    best = {&endpoint, cost};
  }
}

std::vector<PricedEndpoint> Placement::ListForStep(const TaskRef& ref, TimePoint now) const {
  std::vector<PricedEndpoint> found;
  const auto pool = this->state.pools.find(ref.job->service);
  if (pool == this->state.pools.end()) {
    return found;
  }
  const Resources need = RequiredCapacity(*ref.spec);
  const FreeCpuIndex& index = pool->second.by_free_cpu;
  const std::vector<FreeCpuIndex::Entry>& entries = index.Entries();
  for (std::size_t i = index.FirstWith(need.cpu); i < entries.size(); ++i) {
    EndpointState* const endpoint = pool->second.endpoints[entries[i].position];
    ++this->state.endpoints_examined;
    if (endpoint->FreeCapacity().Fits(need) && this->MayRunOn(ref, *endpoint, now)) {
      found.push_back({this->CostForStep(ref, *endpoint), entries[i].position, endpoint});
    }
  }
  return found;
}

bool Placement::IsBlockedByCordon(const TaskRef& ref) const {
  const auto pool = this->state.pools.find(ref.job->service);
  if (pool == this->state.pools.end()) {
    return false;
  }
  const std::vector<EndpointState*>& endpoints = pool->second.endpoints;
  return std::any_of(endpoints.begin(), endpoints.end(), [&](const EndpointState* endpoint) {
    ++this->state.endpoints_examined;
    return endpoint->is_cordoned && !endpoint->IsLeaving() && HasLabelFor(ref, *endpoint) &&
           endpoint->record.capacity.Fits(RequiredCapacity(*ref.spec));
  });
}

Prospect Placement::ProspectOf(const TaskRef& ref, TimePoint now) const {
  const auto pool = this->state.pools.find(ref.job->service);
  if (pool == this->state.pools.end()) {
    return Prospect::kNone;
  }
  const Resources need = RequiredCapacity(*ref.spec);
  const std::vector<FreeCpuIndex::Entry>& entries = pool->second.by_free_cpu.Entries();
  Prospect prospect = Prospect::kNone;
  // Those with the most free cpu are the most likely to have room.
  for (auto entry = entries.rbegin(); entry != entries.rend(); ++entry) {
    const EndpointState& endpoint = *pool->second.endpoints[entry->position];
    ++this->state.endpoints_examined;
    if (!endpoint.record.capacity.Fits(need) || !this->MayRunOn(ref, endpoint, now)) {
      continue;
    }
    if (endpoint.CapacityForBatch().Fits(need)) {
      return Prospect::kRoom;
    }
    prospect = Prospect::kLongRunningTasks;
  }
  return prospect;
}

Prospect Placement::ProspectOfGang(const TaskRef& ref, TimePoint now) const {
  const auto pool = this->state.pools.find(ref.job->service);
  if (pool == this->state.pools.end()) {
    return Prospect::kNone;
  }
  const std::size_t count = ref.step->tasks.size();
  const std::size_t limit = LimitPerEndpoint(ref);
  const Resources need = RequiredCapacity(*ref.spec);
  std::size_t of_empty = 0;
  std::size_t for_batch = 0;
  for (const EndpointState* endpoint : pool->second.endpoints) {
    ++this->state.endpoints_examined;
    if (this->MayRunOn(ref, *endpoint, now)) {
      of_empty += endpoint->record.capacity.CountFitting(need, limit);
      for_batch += endpoint->CapacityForBatch().CountFitting(need, limit);
    }
  }
  if (for_batch >= count) {
    return Prospect::kRoom;
  }
  return of_empty >= count ? Prospect::kLongRunningTasks : Prospect::kNone;
}

bool Placement::CouldHoldOnOneRack(const TaskRef& ref, TimePoint now) const {
  const auto pool = this->state.pools.find(ref.job->service);
  if (pool == this->state.pools.end()) {
    return false;
  }
  const Resources need = RequiredCapacity(*ref.spec);
  std::map<std::string, std::size_t> found;
  return std::any_of(pool->second.endpoints.begin(), pool->second.endpoints.end(),
                     [&](const EndpointState* endpoint) {
                       ++this->state.endpoints_examined;
                       if (!this->MayRunOn(ref, *endpoint, now)) {
                         return false;
                       }
                       std::size_t& there = found[endpoint->record.rack];
                       there +=
                           endpoint->CapacityForBatch().CountFitting(need, LimitPerEndpoint(ref));
                       return there >= ref.step->tasks.size();
                     });
}

}  // namespace chervilspar::jobs
