#include "jobs/placement.h"
#include "jobs/scheduler_impl.h"

namespace chervilspar::jobs {

namespace {

/// Endpoints named in one question to the adviser; more make its answer late.
constexpr std::size_t kMostAdvised = 30;
/// A question without answer is asked again after this.
constexpr Duration kAdviceRetry = std::chrono::milliseconds(1500);
/// Questions that may wait at once: the adviser handles one after the other.
constexpr std::size_t kMostQuestions = 4;

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
  std::vector<AdviceRequest> questions;
  for (auto& [service, pool] : state.pools) {
    std::size_t asked = 0;
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
          asked += is_pending ? 1 : 0;
          if (occurrence.steps[i].IsDone() || advice.valid_until > now || is_pending ||
              asked >= kMostQuestions) {
            continue;
          }
          AdviceRequest question{{job.job.id, number, i, 0}, {}};
          for (const EndpointState* endpoint : pool.endpoints) {
            if (question.endpoints.size() < kMostAdvised && Placement::IsUsable(*endpoint, now)) {
              question.endpoints.push_back(endpoint->record.id);
            }
          }
          if (question.endpoints.empty()) {
            continue;
          }
          advice.is_asked = true;
          advice.asked = now;
          ++asked;
          questions.push_back(std::move(question));
        }
      }
    }
  }
  return questions;
}

}  // namespace chervilspar::jobs
