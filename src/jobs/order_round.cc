#include "jobs/order_round.h"

namespace chervilspar::jobs {

namespace {

/// In a cordoned zone a start without answer isn't repeated. It may have arrived, and what runs is
/// to run on: a look comes within this time, and only then a stop settles it.
constexpr Duration kLookFirst = std::chrono::milliseconds(1300);

}  // namespace

StartOrder OrderRound::StartOf(const TaskRef& ref) {
  Task& task = *ref.task;
  task.last_order_sent = this->now;
  ++task.start_tries;
  const EndpointRecord& record = task.endpoint->record;
  return {.endpoint = record.id,
          .address = record.address,
          .task = ref.key,
          .run = task.progress.run,
          .payload = ref.job->job.payload,
          .checkpoint = task.progress.checkpoint,
          .ticket = task.ticket,
          .token = this->state.token,
          .lease_end_ms = task.lease_end_ms};
}

void OrderRound::Gather(Orders& orders) {
  for (auto place = this->state.retry_candidates.begin();
       place != this->state.retry_candidates.end();) {
    const TaskKey key = *place++;
    const TaskRef ref = this->state.Find(key);
    if (ref && ref.task->state == RunState::kUnconfirmed) {
      this->GatherUnsure(ref, orders);
    } else if (ref && ref.task->state == RunState::kStopping) {
      this->GatherStop(ref, orders);
    } else {
      this->state.retry_candidates.erase(key);
    }
  }
  if (this->state.has_orphaned_runs) {
    this->state.has_orphaned_runs = false;
    for (const auto& [id, endpoint] : this->state.endpoints) {
      if (!endpoint->orphaned_runs.empty()) {
        this->state.has_orphaned_runs = true;
        this->GatherStrays(*endpoint, orders);
      }
    }
  }
  orders.paces = std::move(this->state.paces);
  this->state.paces.clear();
}

void OrderRound::GatherUnsure(const TaskRef& ref, Orders& orders) {
  Task& task = *ref.task;
  const bool is_cordoned = task.endpoint->is_cordoned;
  const Duration pause = is_cordoned ? kLookFirst : this->state.options.start_retry;
  if (this->now - task.last_order_sent < pause) {
    return;
  }
  const bool may_repeat = !is_cordoned && this->now < task.start_expires;
  if (task.start_tries < this->state.options.start_tries && may_repeat) {
    orders.starts.push_back(this->StartOf(ref));
    return;
  }
  if (!task.is_adopted && !this->MayBeAtWork(ref)) {
    this->state.ReportEvent(
        {"start_given_up",
         ref.key,
         {},
         task.endpoint->record.id,
         "no answer to " + std::to_string(task.start_tries) + " orders; stopped"});
    this->state.BeginStop(ref, this->now);
    this->state.StopGang(ref, this->now);
    this->GatherStop(ref, orders);
  }
}

/// What can go wrong: the answer is late, and the task serves its users already. A stop would take
/// it from them beside siblings that are away. So a look that is newer than the order comes first.
bool OrderRound::MayBeAtWork(const TaskRef& ref) const {
  const Task& task = *ref.task;
  return ref.spec->is_long_running && task.endpoint->last_answered_request <= task.last_order_sent;
}

void OrderRound::GatherStop(const TaskRef& ref, Orders& orders) {
  Task& task = *ref.task;
  const bool is_waiting = this->now - task.last_order_sent < this->state.options.stop_retry;
  if (is_waiting || task.stop_answered) {
    return;
  }
  task.last_order_sent = this->now;
  const EndpointRecord& record = task.endpoint->record;
  orders.stops.push_back(
      {record.id, record.address, ref.key, task.progress.run, this->state.token});
}

void OrderRound::GatherStrays(EndpointState& endpoint, Orders& orders) {
  for (auto& [stray, last_order_sent] : endpoint.orphaned_runs) {
    if (this->now - last_order_sent < this->state.options.stop_retry) {
      continue;
    }
    last_order_sent = this->now;
    orders.stops.push_back({endpoint.record.id, endpoint.record.address, stray.first, stray.second,
                            this->state.token});
  }
}

}  // namespace chervilspar::jobs
