#include "jobs/evacuation.h"

namespace chervilspar::jobs {

namespace {

/// A sibling counts as at work only on fresh news from an endpoint that stays: one that has just
/// fallen silent still looks busy here.
constexpr Duration kFresh = std::chrono::milliseconds(1500);

/// A predecessor's stop may be under way: its task still looks at work for as long as a stop takes,
/// and a second one of the same step would be ended beside it.
constexpr Duration kSettle = std::chrono::milliseconds(2000);

/// A stop takes up to 400 ms, and its end is heard and stored some 100 ms later.
constexpr Duration kRoomKept = std::chrono::milliseconds(3000);

bool IsAtWork(const Task& task, TimePoint now) {
  if (task.state != RunState::kActive || task.percent < kReadyPercent) {
    return false;
  }
  const EndpointState& endpoint = *task.endpoint;
  return endpoint.is_registered && !endpoint.is_silent && !endpoint.record.is_draining &&
         now - endpoint.last_response < kFresh;
}

}  // namespace

void Evacuation::Run() {
  if (this->now - this->state.term_start < kSettle) {
    return;
  }
  for (const auto& [id, endpoint] : this->state.endpoints) {
    if (!endpoint->IsLeaving() || endpoint->claims.empty()) {
      continue;
    }
    const std::vector<TaskKey> claims(endpoint->claims.begin(), endpoint->claims.end());
    for (const TaskKey& key : claims) {
      this->Review(this->state.Find(key));
    }
  }
  this->LookAhead();
}

void Evacuation::LookAhead() {
  std::set<EndpointState*> taken;
  for (const auto& [key, kept] : this->state.reservations) {
    taken.insert(this->state.FindEndpoint(kept.endpoint));
  }
  for (const TaskRef& ref : this->waiting) {
    std::set<EndpointState*> excluded = taken;
    excluded.insert(ref.task->endpoint);
    EndpointState* const place = this->placement.Choose(ref, excluded, this->now);
    ref.task->lacks_target = place == nullptr;
    if (place != nullptr) {
      taken.insert(place);
    }
  }
}

void Evacuation::Review(const TaskRef& ref) {
  const bool is_movable = ref.spec->is_long_running && ref.task->state == RunState::kActive;
  if (!is_movable) {
    return;
  }
  if (!this->MayEnd(ref)) {
    this->waiting.push_back(ref);
    return;
  }
  EndpointState* const place = this->placement.Choose(ref, {ref.task->endpoint}, this->now);
  ref.task->lacks_target = place == nullptr;
  if (place == nullptr) {
    return;
  }
  this->state.ReportEvent({"run_moved",
                           ref.key,
                           {},
                           ref.task->endpoint->record.id,
                           "its endpoint is being emptied; room is kept at " + place->record.id});
  this->state.ReserveCapacity(ref, *place, this->now + kRoomKept);
  this->state.BeginStop(ref, this->now);
}

bool Evacuation::MayEnd(const TaskRef& ref) const {
  const bool leaves_anyway = ref.task->endpoint->record.is_draining;
  // Without fresh news the task itself is taken to be at work, and its siblings are not.
  if (leaves_anyway || !ref.spec->max_unavailable) {
    return true;
  }
  // A task that was still starting by the last news may be at work by now; its siblings count as
  // away unless there is fresh news that they work.
  std::uint32_t away = 0;
  for (const Task& sibling : ref.step->tasks) {
    away += &sibling == ref.task || IsAtWork(sibling, this->now) ? 0 : 1;
  }
  return away < *ref.spec->max_unavailable;
}

}  // namespace chervilspar::jobs
