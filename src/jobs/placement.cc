#include "jobs/placement.h"

#include <algorithm>
#include <limits>

namespace chervilspar::jobs {

namespace {

/// Costs are in thousandths of a core left over. These are larger than any endpoint, so that they
/// decide first, in this order.
constexpr std::int64_t kFailedThereCost = 100'000'000;
constexpr std::int64_t kFarRackCost = 10'000'000;
/// For an endpoint whose VM is to be rebooted soon: the task would have to move once more.
constexpr std::int64_t kDueCost = 20'000'000;
/// For an endpoint that would get its first long-running task: those without any can be moved
/// between pools as demand asks, since no move may end a task that serves users.
constexpr std::int64_t kOpeningCost = 3'000'000;
/// For each serving or filling task on the endpoint that the task would share it with. Less than
/// opening another endpoint: five tasks on as many endpoints keep two VMs paid for that could be
/// off, while only the loss of a VM then takes two of them at once.
constexpr std::int64_t kSharingCost = 1'000'000;

bool HasLabelFor(const TaskRef& ref, const EndpointState& endpoint) {
  const std::string& label = ref.spec->required_label;
  return label.empty() || endpoint.record.HasLabel(label);
}

bool IsServing(const Step& step) { return step.is_long_running && !step.is_filler; }

}  // namespace

bool Placement::IsUsable(const EndpointState& endpoint, TimePoint now) {
  return endpoint.is_registered && !endpoint.record.is_draining && !endpoint.is_evacuating &&
         !endpoint.is_cordoned && !endpoint.is_silent && !endpoint.has_lapse_notice &&
         endpoint.clock_ms.has_value() && endpoint.ejected_until <= now &&
         endpoint.full_until <= now;
}

bool Placement::IsBelowLimitPerEndpoint(const TaskRef& ref, const EndpointState& endpoint) const {
  const std::uint32_t limit = ref.spec->max_per_endpoint;
  if (limit == 0) {
    return true;
  }
  std::uint32_t there = 0;
  for (const Task& sibling : ref.step->tasks) {
    there += sibling.endpoint == &endpoint ? 1 : 0;
  }
  return there < limit;
}

bool Placement::MayRunOn(const TaskRef& ref, const EndpointState& endpoint, TimePoint now) const {
  if (!IsUsable(endpoint, now)) {
    return false;
  }
  if (!HasLabelFor(ref, endpoint)) {
    return false;
  }
  if (ref.job->needs_advice &&
      (ref.step->advice.valid_until <= now ||
       !ref.step->advice.ticket_of_endpoint.contains(endpoint.record.id))) {
    return false;
  }
  return this->IsBelowLimitPerEndpoint(ref, endpoint);
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
  return shared * kSharingCost + (opens_another ? kOpeningCost : 0) +
         (endpoint.is_reboot_due ? kDueCost : 0);
}

std::int64_t Placement::Cost(const TaskRef& ref, const EndpointState& endpoint) const {
  std::int64_t cost = this->SharingCost(ref, endpoint);
  if (endpoint.record.id == ref.task->avoided_endpoint) {
    cost += kFailedThereCost;
  }
  if (!ref.spec->data_rack.empty() && !endpoint.record.HasLabel(ref.spec->data_rack)) {
    cost += kFarRackCost;
  }
  const std::int64_t left = endpoint.FreeCapacity().cpu - RequiredCapacity(*ref.spec).cpu;
  const bool is_spread = ref.spec->is_long_running;
  return cost + (is_spread ? -left : left);
}

EndpointState* Placement::Choose(const TaskRef& ref, const std::set<EndpointState*>& reserved,
                                 TimePoint now) const {
  const auto pool = this->state.pools.find(ref.job->service);
  if (pool == this->state.pools.end()) {
    return nullptr;
  }
  const Resources need = RequiredCapacity(*ref.spec);
  EndpointState* best = nullptr;
  std::int64_t best_cost = std::numeric_limits<std::int64_t>::max();
  for (EndpointState* endpoint : pool->second.endpoints) {
    const Resources room = endpoint->FreeCapacity();
    // What is left over is the least that batch work costs; most endpoints end here.
    const bool is_dearer = !ref.spec->is_long_running && room.cpu - need.cpu >= best_cost;
    if (is_dearer || !room.Fits(need) || reserved.contains(endpoint) ||
        !this->MayRunOn(ref, *endpoint, now)) {
      continue;
    }
    const std::int64_t cost = this->Cost(ref, *endpoint);
    if (cost < best_cost) {
      best = endpoint;
      best_cost = cost;
    }
  }
  return best;
}

bool Placement::IsHeldByCordon(const TaskRef& ref) const {
  const auto pool = this->state.pools.find(ref.job->service);
  if (pool == this->state.pools.end()) {
    return false;
  }
  const std::vector<EndpointState*>& endpoints = pool->second.endpoints;
  return std::any_of(endpoints.begin(), endpoints.end(), [&](const EndpointState* endpoint) {
    return endpoint->is_cordoned && !endpoint->IsLeaving() && HasLabelFor(ref, *endpoint) &&
           endpoint->record.capacity.Fits(RequiredCapacity(*ref.spec));
  });
}

EndpointState* Placement::ChooseToKeepFree(const TaskRef& ref, TimePoint now) const {
  const auto pool = this->state.pools.find(ref.job->service);
  EndpointState* best = nullptr;
  if (pool == this->state.pools.end()) {
    return nullptr;
  }
  for (EndpointState* endpoint : pool->second.endpoints) {
    const bool may_run = this->MayRunOn(ref, *endpoint, now) &&
                         endpoint->record.capacity.Fits(RequiredCapacity(*ref.spec));
    if (may_run && (best == nullptr || best->FreeCapacity().cpu < endpoint->FreeCapacity().cpu)) {
      best = endpoint;
    }
  }
  return best;
}

}  // namespace chervilspar::jobs
