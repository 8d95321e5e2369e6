#include "jobs/order_round.h"

#include "jobs/former_leases.h"

namespace chervilspar::jobs {

namespace {

/// In a cordoned zone, an unanswered start isn't repeated. It may have arrived, and active runs are
/// to continue there: a poll of the endpoint comes within this time, and a stop is sent only after
/// that.
constexpr Duration kPollBeforeStop = std::chrono::milliseconds(1300);
/// A run that a poll of this age does not show can't be serving yet: programs take longer to start.
constexpr Duration kMaxPollAge = std::chrono::milliseconds(100);

}  // namespace

std::int64_t OrderRound::StartBytes(const TaskRef& ref) {
  return LinkBudget::StartBytes(ref.job->job.payload.size(), ref.task->progress.checkpoint.size());
}

StartOrder OrderRound::StartOf(const TaskRef& ref) {
  Task& task = *ref.task;
  this->state.link.budget.Release(task.reserved_bytes);
  task.reserved_bytes = 0;
  if (this->state.options.budgets_link) {
    this->state.link.budget.OnStartSent(StartBytes(ref), this->now);
  }
  task.last_order_sent = this->now;
  task.last_start_sent = this->now;
  ++task.start_tries;
  FormerLeases::OnStartOrdered(*task.endpoint);
  const EndpointRecord& record = task.endpoint->record;
  return {.endpoint = record.id,
          .address = record.address,
          .task = ref.key,
          .run = task.progress.run,
          .payload = ref.job->job.payload,
          .checkpoint = task.progress.checkpoint,
          .ticket = task.ticket,
          .token = task.endpoint->order_token,
          .lease_end_ms = task.lease_end_ms};
}

void OrderRound::Gather(Orders& orders) {
  for (auto place = this->state.retry_candidates.begin();
       place != this->state.retry_candidates.end();) {
    const TaskKey key = *place++;
    const TaskRef ref = this->state.Find(key);
    if (ref && ref.task->state == RunState::kUnconfirmed) {
      this->GatherUnconfirmed(ref, orders);
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
        this->GatherOrphanStops(*endpoint, orders);
      }
    }
  }
  orders.paces = std::move(this->state.paces);
  this->state.paces.clear();
}

void OrderRound::GatherUnconfirmed(const TaskRef& ref, Orders& orders) {
  Task& task = *ref.task;
  // The next answer tells whether the incarnation that it was placed on is still there.
  if (!task.is_adopted && !task.endpoint->is_fenced) {
    return;
  }
  const bool is_cordoned = task.endpoint->is_cordoned;
  const Duration pause = is_cordoned ? kPollBeforeStop : this->state.options.start_retry;
  if (this->now - task.last_order_sent < pause) {
    return;
  }
  const bool takes_work = task.endpoint->is_registered && !task.endpoint->IsLeaving();
  const bool is_same_incarnation = task.progress.endpoint_born_ms == task.endpoint->born_ms;
  // Of several tries, one may be outstanding when the run has ended.
  const bool is_single = this->state.options.unheard_order_delay_limit > Duration::zero();
  const bool may_repeat = takes_work && !is_cordoned && is_same_incarnation && !is_single &&
                          this->now < task.start_expires;
  if (task.start_tries < this->state.options.start_tries && may_repeat) {
    if (this->state.options.budgets_link &&
        !this->state.link.budget.Admits(StartBytes(ref), LinkBudget::Precedence::kHigh,
                                        this->now)) {
      return;
    }
    orders.starts.push_back(this->StartOf(ref));
    return;
  }
  if (!task.is_adopted && !this->MayBeServing(ref)) {
    this->state.ReportEvent(
        {"start_given_up",
         ref.key,
         {},
         task.endpoint->record.id,
         "no answer to " + std::to_string(task.start_tries) + " start orders; sending a stop"});
    this->state.BeginStop(ref, this->now);
    task.is_given_up = true;
    this->state.StopGang(ref, this->now);
    this->GatherStop(ref, orders);
  }
}

/// A late answer, or an order that is executed late, may hide a task that already serves its users.
/// A stop would then take it away while siblings may be away, too, so the endpoint has to be polled
/// after the order, and just before the stop.
bool OrderRound::MayBeServing(const TaskRef& ref) const {
  const Task& task = *ref.task;
  const bool is_polled = task.endpoint->last_answered_request > task.last_order_sent &&
                         this->now - task.endpoint->last_response <= kMaxPollAge;
  return ref.spec->is_long_running && !is_polled;
}

void OrderRound::GatherStop(const TaskRef& ref, Orders& orders) {
  Task& task = *ref.task;
  const bool is_waiting = this->now - task.last_order_sent < this->state.options.stop_retry;
  const bool needs_poll = task.is_given_up && !ref.job->IsOver() && this->MayBeServing(ref);
  if (is_waiting || task.stop_answered || needs_poll) {
    return;
  }
  task.last_order_sent = this->now;
  const EndpointRecord& record = task.endpoint->record;
  orders.stops.push_back(
      {record.id, record.address, ref.key, task.progress.run, task.endpoint->order_token});
}

void OrderRound::GatherOrphanStops(EndpointState& endpoint, Orders& orders) {
  for (auto& [orphan, last_order_sent] : endpoint.orphaned_runs) {
    if (this->now - last_order_sent < this->state.options.stop_retry) {
      continue;
    }
    last_order_sent = this->now;
    orders.stops.push_back({endpoint.record.id, endpoint.record.address, orphan.first,
                            orphan.second, endpoint.order_token});
  }
}

}  // namespace chervilspar::jobs
