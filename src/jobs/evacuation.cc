#include "jobs/evacuation.h"

#include "jobs/endpoint_filter.h"
#include "jobs/target_search.h"

namespace chervilspar::jobs {

namespace {

/// A sibling counts as ready only by a response of at most this age from an endpoint that isn't
/// draining: an endpoint that has just become unresponsive still has active runs in this state.
constexpr Duration kMaxResponseAge = std::chrono::milliseconds(1500);

/// A predecessor's stop may be in flight. Until it takes effect, its task is reported as ready, and
/// a second task of the same step could be stopped at the same time.
constexpr Duration kPredecessorStopDelay = std::chrono::milliseconds(2000);

/// A stop takes up to 400 ms, and its end is reported and stored about 100 ms later.
constexpr Duration kReservationDuration = std::chrono::milliseconds(3000);

bool IsReady(const Task& task, TimePoint now) {
  if (task.state != RunState::kActive || task.percent < kReadyPercent) {
    return false;
  }
  const EndpointState& endpoint = *task.endpoint;
  return endpoint.is_registered && !endpoint.is_silent && !endpoint.record.is_draining &&
         now - endpoint.last_response < kMaxResponseAge;
}

}  // namespace

void Evacuation::Run() {
  if (this->now - this->state.term_start < kPredecessorStopDelay) {
    return;
  }
  for (const auto& [id, endpoint] : this->state.leaving) {
    const std::vector<TaskKey> claims(endpoint->claims.begin(), endpoint->claims.end());
    for (const TaskKey& key : claims) {
      this->Review(this->state.Find(key));
    }
  }
  this->FindTargets();
}

void Evacuation::FindTargets() {
  if (this->waiting.empty()) {
    return;
  }
  TargetSearch search(this->state, this->now);
  for (const TaskRef& ref : this->waiting) {
    ref.task->lacks_target = search.Find(ref) == nullptr;
  }
}

void Evacuation::Review(const TaskRef& ref) {
  const bool is_movable = ref.spec->is_long_running && ref.task->state == RunState::kActive;
  if (!is_movable) {
    return;
  }
  if (!this->MayStop(ref)) {
    this->waiting.push_back(ref);
    return;
  }
  EndpointState* const target = this->ChooseTarget(ref);
  ref.task->lacks_target = target == nullptr;
  if (target == nullptr) {
    return;
  }
  this->state.ReportEvent(
      {"run_moved",
       ref.key,
       {},
       ref.task->endpoint->record.id,
       "its endpoint is being evacuated; capacity is reserved on " + target->record.id});
  this->state.ReserveCapacity(ref, *target, this->now + kReservationDuration);
  this->without_target.clear();
  this->state.BeginStop(ref, this->now);
}

EndpointState* Evacuation::ChooseTarget(const TaskRef& ref) {
  if (this->without_target.contains(ref.step)) {
    return nullptr;
  }
  // Its own endpoint is leaving and therefore accepts no tasks.
  AnyEndpoint any;
  EndpointState* const target = this->placement.Choose(ref, any, this->now);
  if (target == nullptr) {
    this->without_target.insert(ref.step);
  }
  return target;
}

bool Evacuation::MayStop(const TaskRef& ref) const {
  const bool is_draining = ref.task->endpoint->record.is_draining;
  if (is_draining || !ref.spec->max_unavailable) {
    return true;
  }
  // The task itself counts as ready, as it may have become ready since the last response. Its
  // siblings count as unavailable unless a recent response reports them as ready.
  std::uint32_t unavailable = 0;
  for (const Task& sibling : ref.step->tasks) {
    unavailable += &sibling == ref.task || IsReady(sibling, this->now) ? 0 : 1;
  }
  return unavailable < *ref.spec->max_unavailable;
}

}  // namespace chervilspar::jobs
