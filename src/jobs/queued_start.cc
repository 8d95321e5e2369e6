#include "jobs/queued_start.h"

namespace chervilspar::jobs {

QueuedStart::QueuedStart(SchedulerState& state, const StartOrder& order)
    : state(state),
      order(order),
      endpoint(state.FindEndpoint(order.endpoint)),
      ref(state.Find(order.task)) {}

bool QueuedStart::IsWanted() const {
  if (!this->ref || this->endpoint == nullptr) {
    return false;
  }
  const Task& task = *this->ref.task;
  const bool is_starting =
      task.state == RunState::kStarting || task.state == RunState::kUnconfirmed;
  return is_starting && task.endpoint == this->endpoint && task.progress.run == this->order.run;
}

bool QueuedStart::HasEndpointRestarted() const {
  const std::int64_t placed_born_ms = this->ref.task->progress.endpoint_born_ms;
  return this->order.token != this->endpoint->order_token ||
         this->endpoint->born_ms != placed_born_ms ||
         !(this->endpoint->record.address == this->order.address);
}

bool QueuedStart::IsAcceptedByEndpoint() const {
  return this->endpoint->is_registered && !this->endpoint->IsLeaving() &&
         !this->endpoint->is_cordoned && !this->endpoint->has_lapse_notice;
}

std::optional<std::string> QueuedStart::FindObstacle(TimePoint now) const {
  if (!this->IsWanted()) {
    return "its run is no longer wanted";
  }
  if (!this->IsAcceptedByEndpoint()) {
    return "its endpoint accepts no more tasks";
  }
  if (this->HasEndpointRestarted()) {
    return "its endpoint has restarted";
  }
  if (now >= this->ref.task->start_expires) {
    return "it has expired";
  }
  if (!this->state.IsWithinCap(*this->ref.job, {})) {
    return "its team is above its limit";
  }
  // Nothing was sent yet, so that the task can be placed on another endpoint at once.
  if (this->endpoint->is_silent && this->ref.task->start_tries <= 1) {
    return "its endpoint does not answer";
  }
  return std::nullopt;
}

}  // namespace chervilspar::jobs
