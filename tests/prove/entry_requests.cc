#include <algorithm>
#include <string>
#include <utility>

#include "tests/prove/entry_process.h"
#include "tests/prove/world.h"

namespace chervilspar::prove {

using idempotency::KeyOrigin;
using idempotency::ReplyUse;

namespace {

constexpr Duration kRegisterTimeout = std::chrono::seconds(1);
/// An answer of an endpoint that takes longer counts as lost.
constexpr Duration kTaskTimeout = kMaxTaskLease + std::chrono::seconds(2);
constexpr std::uint32_t kSendsPerRequest = 3;
constexpr double kSlowConnect = 0.1;

Observer::Answer AnswerOf(Verdict verdict) {
  switch (verdict) {
    case Verdict::kNotRun:
      return Observer::Answer::kNotRun;
    case Verdict::kCompleted:
      return Observer::Answer::kCompleted;
    case Verdict::kMayHaveRun:
      break;
  }
  return Observer::Answer::kMayHaveRun;
}

}  // namespace

void EntryProcess::OnCall(const Call& call) {
  const std::optional<TeamId> team = this->overlay.Authenticate(*this->Current(), call.key);
  if (!team) {
    this->world.Count("entry refused: key");
    call.answer(Observer::Answer::kUnauthenticated, "");
    return;
  }
  const auto begun = this->client.Begin(call.request, this->Now());
  if (!begun) {
    call.answer(AnswerOf(idempotency::VerdictWithoutOwner(KeyOrigin::kCaller)), "");
    return;
  }
  const std::uint64_t number = begun->request.attempt.number;
  Open open;
  open.call = call;
  open.call.team = *team;
  open.attempt = begun->request.attempt;
  open.deadline = this->Now() + call.patience;
  this->open.emplace(number, open);
  if (begun->to == this->self.id) {
    this->OnRegisterReply(this->registry.OnRegister(begun->request, this->Wall()));
    return;
  }
  this->Send(begun->to,
             [request = begun->request](EntryProcess& owner) { owner.OnRegister(request); });
  this->Later(kRegisterTimeout, [this, number] { this->OnRegisterTimeout(number); });
}

void EntryProcess::OnRegisterTimeout(std::uint64_t number) {
  const auto found = this->open.find(number);
  if (found == this->open.end() || found->second.is_queued || found->second.sends > 0) {
    return;
  }
  this->SendOutcome(this->client.GiveUp(found->second.attempt, this->Now()));
  const Call call = found->second.call;
  this->open.erase(found);
  call.answer(AnswerOf(idempotency::VerdictWithoutOwner(KeyOrigin::kCaller)), "");
}

void EntryProcess::OnRegisterReply(const idempotency::RegisterReply& reply) {
  const ReplyUse use = this->client.OnReply(reply);
  if (use == ReplyUse::kIgnore) {
    this->world.Count("entry ignored: late or repeated leave");
    return;
  }
  const std::uint64_t number = reply.attempt.number;
  if (use == ReplyUse::kDispatch) {
    this->Enqueue(number);
    return;
  }
  const auto found = this->open.find(number);
  const Call call = found->second.call;
  this->open.erase(found);
  const Verdict verdict = idempotency::VerdictOf(reply.registration, KeyOrigin::kCaller);
  const bool ran_earlier = verdict == Verdict::kCompleted;
  call.answer(ran_earlier ? Observer::Answer::kCompletedEarlier : AnswerOf(verdict), "");
}

void EntryProcess::Enqueue(std::uint64_t number) {
  Open& open = this->open.at(number);
  open.is_queued = true;
  this->queues[open.call.team].push_back(number);
  this->StartWaiting();
}

void EntryProcess::StartWaiting() {
  for (auto& [team, queue] : this->queues) {
    while (!queue.empty()) {
      const std::uint64_t number = queue.front();
      if (this->open.at(number).deadline <= this->Now()) {
        queue.pop_front();
        this->GiveUpWaiting(number);
      } else if (this->TryDispatch(number)) {
        queue.pop_front();
      } else {
        break;
      }
    }
    this->quota.SetWaiting(team, static_cast<std::uint32_t>(queue.size()));
  }
  this->SendLending(this->quota.Tick(this->Now()));
}

void EntryProcess::GiveUpWaiting(std::uint64_t number) {
  this->Finish(number, Verdict::kNotRun, "");
}

bool EntryProcess::TryDispatch(std::uint64_t number) {
  Open& open = this->open.at(number);
  const std::optional<std::uint32_t> endpoint = this->PickEndpoint(open.call.team);
  if (!endpoint) {
    return false;
  }
  const TaskId task{this->self.id.text + "." + std::to_string(this->self.incarnation.nonce) + "." +
                    std::to_string(++this->last_task)};
  const Result<quota::StartPermit> permit =
      this->quota.TryStart(open.call.team, task, this->Now(), this->Wall());
  if (!permit) {
    return false;
  }
  open.is_queued = false;
  open.task = task;
  open.tracker = VerdictTracker();
  ++open.sends;
  open.endpoint = *endpoint;
  // The process may be paused between the check and the moment the bytes leave, and a connection
  // may take its time.
  const bool is_slow = this->world.Sim().Chance(kSlowConnect);
  const Duration gap = is_slow ? this->world.Sim().Between(Duration::zero(), Seconds(1.5))
                               : std::chrono::microseconds(200);
  this->Later(gap, [this, number, permit = *permit] { this->SendTask(number, permit); });
  return true;
}

void EntryProcess::SendTask(std::uint64_t number, const quota::StartPermit& permit) {
  const auto found = this->open.find(number);
  if (found == this->open.end()) {
    return;
  }
  Open& open = found->second;
  open.tracker.OnBeforeWrite();
  const TaskMessage message{open.task,       open.call.team,    open.call.request,
                            permit.start_by, permit.task_lease, open.call.length};
  const std::uint32_t to = open.endpoint;
  const auto reply = [life = this->shared_from_this(), number, task = open.task, to](
                         TaskAnswer answer, const std::string& body) {
    life->world.Net().SendOnce(life->world.EndpointZone(to), life->zone, [=] {
      life->Run([=] { life->OnTaskAnswer(number, task, answer, body); });
    });
  };
  this->world.Net().SendOnce(
      this->zone, this->world.EndpointZone(to),
      [&world = this->world, to, message, reply] { world.EndpointAt(to).OnTask(message, reply); });
  this->Later(kTaskTimeout,
              [this, number, task = open.task] { this->OnTaskTimeout(number, task); });
}

void EntryProcess::OnTaskAnswer(std::uint64_t number, const TaskId& task, TaskAnswer answer,
                                const std::string& body) {
  const auto found = this->open.find(number);
  const bool is_awaited = found != this->open.end() && found->second.task == task;
  if (!is_awaited || found->second.tracker.Current() != Verdict::kMayHaveRun) {
    return;
  }
  Open& open = found->second;
  switch (answer) {
    case TaskAnswer::kDuplicate:
      // It was started before; whether it has ended is not said.
      this->Finish(number, Verdict::kMayHaveRun, "");
      break;
    case TaskAnswer::kDone:
      open.tracker.OnWholeAnswer();
      this->quota.OnEnded(task, this->Now());
      this->Finish(number, Verdict::kCompleted, body);
      break;
    case TaskAnswer::kFull:
    case TaskAnswer::kLate:
    case TaskAnswer::kDraining:
      open.tracker.OnRefusedByEndpoint();
      this->quota.OnEnded(task, this->Now());
      if (open.sends < kSendsPerRequest && open.deadline > this->Now()) {
        this->Enqueue(number);
      } else {
        this->Finish(number, open.tracker.Current(), "");
      }
      break;
  }
  this->StartWaiting();
}

void EntryProcess::OnTaskTimeout(std::uint64_t number, const TaskId& task) {
  const auto found = this->open.find(number);
  if (found == this->open.end() || found->second.task != task) {
    return;
  }
  if (found->second.tracker.Current() != Verdict::kMayHaveRun) {
    return;
  }
  this->CancelTask(task, found->second.endpoint);
  this->Finish(number, Verdict::kMayHaveRun, "");
}

void EntryProcess::CancelTask(const TaskId& task, std::uint32_t endpoint) {
  const auto reply = [life = this->shared_from_this(), task, endpoint](CancelAnswer answer) {
    life->world.Net().SendOnce(life->world.EndpointZone(endpoint), life->zone, [=] {
      life->Run([=] {
        // "Unknown" proves nothing: the task itself may still be on its way.
        if (answer != CancelAnswer::kUnknown) {
          life->quota.OnEnded(task, life->Now());
        }
      });
    });
  };
  this->world.Net().SendOnce(this->zone, this->world.EndpointZone(endpoint),
                             [&world = this->world, endpoint, task, reply] {
                               world.EndpointAt(endpoint).OnCancel(task, reply);
                             });
}

void EntryProcess::OnCallCancelled(const RequestId& request) {
  for (auto& [number, open] : this->open) {
    if (open.call.request != request) {
      continue;
    }
    const bool is_sent = open.tracker.Current() == Verdict::kMayHaveRun;
    if (open.is_queued) {
      open.deadline = this->Now();
    } else if (is_sent) {
      this->CancelTask(open.task, open.endpoint);
      this->Finish(number, Verdict::kMayHaveRun, "");
      return;
    }
  }
  this->StartWaiting();
}

void EntryProcess::Finish(std::uint64_t number, Verdict verdict, const std::string& body) {
  const auto found = this->open.find(number);
  const Open ended = std::move(found->second);
  this->open.erase(found);
  this->SendOutcome(this->client.Finish(ended.attempt, verdict, this->Now()));
  ended.call.answer(AnswerOf(verdict), body);
}

}  // namespace chervilspar::prove
