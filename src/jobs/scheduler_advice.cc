#include <algorithm>
#include <tuple>

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
/// Delay before a step that needs no request is examined again, which takes time proportional to
/// the size of its pool.
constexpr Duration kReviewInterval = std::chrono::milliseconds(50);

std::size_t CountWaiting(const StepState& step) {
  return static_cast<std::size_t>(std::count_if(step.tasks.begin(), step.tasks.end(),
                                                [](const Task& task) { return task.IsWaiting(); }));
}

/// An endpoint without a valid answer. Compares less if it is better for the step.
struct Candidate {
  bool is_full = false;
  std::int64_t cost = 0;
  std::string id;

  friend auto operator<=>(const Candidate&, const Candidate&) = default;
};

/// The endpoints to ask about next; empty if the waiting tasks of the step fit on those for which
/// there are tickets, or if nothing is left to ask.
///
/// Endpoints that were refused are left out. Otherwise each request would name the same endpoints,
/// and a step that may run only on others would never start.
std::vector<std::string> SelectEndpoints(const TaskRef& ref, const PoolState& pool,
                                         const Placement& placement, TimePoint now) {
  const Resources need = RequiredCapacity(*ref.spec);
  const std::size_t waiting = CountWaiting(*ref.step);
  std::size_t room = 0;
  bool has_ticket = false;
  std::vector<Candidate> candidates;
  for (const EndpointState* endpoint : pool.endpoints) {
    const Resources free_capacity = endpoint->FreeCapacity();
    if (!endpoint->record.capacity.Fits(need) || ref.step->advice.IsRefused(*endpoint) ||
        !placement.IsEligible(ref, *endpoint, now)) {
      continue;
    }
    if (ref.step->advice.FindTicket(*endpoint, now) != nullptr) {
      has_ticket = true;
      room += free_capacity.CountFitting(need, waiting);
    } else {
      candidates.push_back(
          {!free_capacity.Fits(need), placement.Cost(ref, *endpoint), endpoint->record.id});
    }
  }
  if (room >= waiting) {
    return {};
  }
  if (has_ticket) {
    // A ticket for a full endpoint would probably expire before it is used.
    std::erase_if(candidates, [](const Candidate& candidate) { return candidate.is_full; });
  }
  std::sort(candidates.begin(), candidates.end());
  candidates.resize(std::min(candidates.size(), kMaxEndpointsPerRequest));
  std::vector<std::string> ids;
  ids.reserve(candidates.size());
  for (Candidate& candidate : candidates) {
    ids.push_back(std::move(candidate.id));
  }
  return ids;
}

}  // namespace

const std::string* StepAdvice::FindTicket(const EndpointState& endpoint, TimePoint now) const {
  const auto answer = this->answers.find(endpoint.record.id);
  const bool is_valid = answer != this->answers.end() && !answer->second.IsRefusal() &&
                        answer->second.born_ms == endpoint.born_ms &&
                        answer->second.valid_until > now;
  return is_valid ? &answer->second.ticket : nullptr;
}

bool StepAdvice::IsRefused(const EndpointState& endpoint) const {
  const auto answer = this->answers.find(endpoint.record.id);
  return answer != this->answers.end() && answer->second.IsRefusal() &&
         answer->second.born_ms == endpoint.born_ms;
}

void Scheduler::OnAdvice(const AdviceRequest& request, const std::vector<AdviceTicket>& tickets,
                         TimePoint now) {
  SchedulerState& state = this->impl->state;
  const TaskRef ref = state.Find(request.step);
  if (!ref) {
    return;
  }
  const auto queue = state.policy.queues.find(ref.job->job.queue);
  if (queue == state.policy.queues.end() || !queue->second.advice) {
    return;
  }
  StepAdvice& advice = ref.step->advice;
  advice.is_asked = false;
  std::erase_if(advice.answers,
                [&](const auto& answer) { return state.FindEndpoint(answer.first) == nullptr; });
  const auto record = [&](const std::string& id, const std::string& ticket, TimePoint valid_until) {
    if (const EndpointState* endpoint = state.FindEndpoint(id)) {
      advice.answers[id] = {endpoint->born_ms, ticket, valid_until};
    }
  };
  for (const std::string& id : request.endpoints) {
    record(id, "", {});
  }
  const TimePoint valid_until = now + queue->second.advice->validity - state.options.lease_margin;
  for (const AdviceTicket& ticket : tickets) {
    record(ticket.endpoint, ticket.ticket, valid_until);
  }
  state.ReportEvent({"advice_received",
                     request.step,
                     {},
                     "",
                     "allowed on " + std::to_string(tickets.size()) + " of " +
                         std::to_string(request.endpoints.size()) + " endpoints, the first is " +
                         request.endpoints.front() + "; answers on " +
                         std::to_string(advice.answers.size()) + " endpoints are known",
                     EventImportance::kRoutine});
}

std::vector<AdviceRequest> Scheduler::TakeAdviceRequests(TimePoint now) {
  SchedulerState& state = this->impl->state;
  const Placement placement(state);
  std::vector<AdviceRequest> requests;
  for (auto& [service, pool] : state.pools) {
    std::size_t pending = 0;
    for (const ReadyKey& ready : pool.ready) {
      JobState& job = *state.FindJob(ready.job);
      if (!job.needs_advice) {
        continue;
      }
      for (auto& [number, occurrence] : job.occurrences) {
        for (std::uint32_t i = 0; i < occurrence.steps.size(); ++i) {
          StepAdvice& advice = occurrence.steps[i].advice;
          const bool is_pending = advice.is_asked && now - advice.asked < kAdviceRetry;
          pending += is_pending ? 1 : 0;
          if (occurrence.steps[i].IsDone() || is_pending || now < advice.next_review ||
              pending >= kMaxPendingRequests) {
            continue;
          }
          const TaskKey key{job.job.id, number, i, 0};
          AdviceRequest request{key, SelectEndpoints(state.Find(key), pool, placement, now)};
          if (request.endpoints.empty()) {
            advice.next_review = now + kReviewInterval;
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
