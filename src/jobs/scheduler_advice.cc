#include "jobs/placement.h"
#include "jobs/scheduler_impl.h"

namespace chervilspar::jobs {

namespace {

/// The number of endpoints in one request. More of them make the answer of the adviser late.
constexpr std::size_t kMaxEndpointsPerRequest = 30;
/// Delay before an unanswered request is sent again.
constexpr Duration kAdviceRetry = std::chrono::milliseconds(1500);
/// The number of pending requests per pool. The adviser handles them one after the other.
constexpr std::size_t kMaxPendingRequests = 4;

}  // namespace

void Scheduler::OnAdvice(const TaskKey& step, const std::vector<AdviceTicket>& tickets,
                         TimePoint now) {
  SchedulerState& state = this->impl->state;
  const TaskRef ref = state.Find({step.job, step.occurrence, step.step, 0});
  if (!ref) {
    return;
  }
  const auto queue = state.policy.queues.find(ref.job->job.queue);
  if (queue == state.policy.queues.end() || !queue->second.advice) {
    return;
  }
  ref.step->advice.is_asked = false;
  ref.step->advice.valid_until = now + queue->second.advice->validity - state.options.lease_margin;
  ref.step->advice.ticket_of_endpoint.clear();
  for (const AdviceTicket& ticket : tickets) {
    ref.step->advice.ticket_of_endpoint[ticket.endpoint] = ticket.ticket;
  }
}

std::vector<AdviceRequest> Scheduler::TakeAdviceRequests(TimePoint now) {
  SchedulerState& state = this->impl->state;
  std::vector<AdviceRequest> requests;
  for (auto& [service, pool] : state.pools) {
    std::size_t pending = 0;
    for (const ReadyKey& ready : pool.ready) {
      JobState& job = *state.FindJob(ready.job);
      const auto queue = state.policy.queues.find(job.job.queue);
      if (queue == state.policy.queues.end() || !queue->second.advice) {
        continue;
      }
      for (auto& [number, occurrence] : job.occurrences) {
        for (std::uint32_t i = 0; i < occurrence.steps.size(); ++i) {
          StepAdvice& advice = occurrence.steps[i].advice;
          const bool is_pending = advice.is_asked && now - advice.asked < kAdviceRetry;
          pending += is_pending ? 1 : 0;
          if (occurrence.steps[i].IsDone() || advice.valid_until > now || is_pending ||
              pending >= kMaxPendingRequests) {
            continue;
          }
          AdviceRequest request{{job.job.id, number, i, 0}, {}};
          for (const EndpointState* endpoint : pool.endpoints) {
            if (request.endpoints.size() < kMaxEndpointsPerRequest &&
                Placement::IsUsable(*endpoint, now)) {
              request.endpoints.push_back(endpoint->record.id);
            }
          }
          if (request.endpoints.empty()) {
            continue;
          }
          advice.is_asked = true;
          advice.asked = now;
          ++pending;
          requests.push_back(std::move(request));
        }
      }
    }
  }
  return requests;
}

}  // namespace chervilspar::jobs
