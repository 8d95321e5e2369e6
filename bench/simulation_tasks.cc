#include <algorithm>

#include "chervilspar/base/assert.h"

#include "bench/simulation_state.h"

/// The part of the simulation between entries and endpoints.
namespace chervilspar::bench {

using load_balancing::Outcome;

namespace {

/// From the entry's call to the end of the task.
constexpr Duration kStopTime = std::chrono::milliseconds(50);
constexpr Duration kFastFailure = std::chrono::milliseconds(1);

double ToSeconds(Duration span) { return static_cast<double>(span.count()) / 1e6; }

}  // namespace

void Simulation::Send(std::uint32_t entry, const dispatch::Start& start) {
  const std::uint64_t number = start.ticket.id.number / kAsksPerRequest;
  const auto endpoint = static_cast<std::uint32_t>(std::stoul(start.endpoint.text.substr(3)));
  const std::uint64_t attempt = this->next_attempt++;
  this->attempt_of[number] = attempt;
  ++this->gate.running[start.ticket.team];
  const bool is_counted = this->Seconds(this->loop.Now()) >= this->scenario.warm_up;
  this->outcome.tries += is_counted ? 1 : 0;
  this->outcome.sent_to[endpoint] += is_counted ? 1 : 0;
  this->loop.After(this->Delay(entry, endpoint), [this, number, endpoint, attempt] {
    this->ReachEndpoint(number, endpoint, attempt);
  });
  this->loop.At(start.ticket.deadline, [this, number, attempt] {
    const auto running = this->attempt_of.find(number);
    if (running != this->attempt_of.end() && running->second == attempt) {
      this->OnDeadline(number);
    }
  });
}

void Simulation::ReachEndpoint(std::uint64_t number, std::uint32_t index, std::uint64_t attempt) {
  EndpointFake& endpoint = this->endpoints[index];
  Request& request = this->requests.at(number);
  const TimePoint now = this->loop.Now();
  const bool is_bad = this->IsBad(endpoint);
  const auto reply = [this, number, index, attempt](Outcome result, Duration measured) {
    this->loop.After(this->Delay(this->requests.at(number).entry, index),
                     [this, number, index, attempt, result, measured] {
                       this->Reply(number, index, attempt, result, measured);
                     });
  };
  if (endpoint.running >= endpoint.spec.slots) {
    this->outcome.full += this->Seconds(now) >= this->scenario.warm_up ? 1 : 0;
    reply(Outcome::kFull, Duration::zero());
    return;
  }
  if (request.is_measured && !request.is_answered) {
    const double wait = ToSeconds(now - request.ticket.arrived);
    TeamOutcome& team = this->outcome.teams[request.team];
    if (request.ticket.work_class == admission::WorkClass::kUrgent) {
      team.urgent_waits.push_back(wait);
    } else {
      (request.is_long ? team.long_waits : team.waits).push_back(wait);
    }
  }
  ++endpoint.running;
  Task task;
  task.request = number;
  task.endpoint = index;
  task.started = now;
  task.slowness = is_bad ? endpoint.spec.slowness : 1.0;
  const EndpointMode mode = is_bad ? endpoint.spec.mode : EndpointMode::kNormal;
  Duration run = Duration(
      static_cast<Duration::rep>(static_cast<double>(request.run_time.count()) * task.slowness));
  if (mode == EndpointMode::kFailsFast) {
    run = kFastFailure;
  }
  this->tasks.emplace(attempt, task);
  if (mode == EndpointMode::kSilent) {
    return;
  }
  const Outcome result = mode == EndpointMode::kFailsFast ? Outcome::kFailed : Outcome::kCompleted;
  this->loop.After(run, [this, attempt, result] { this->EndTask(attempt, result); });
}

void Simulation::EndTask(std::uint64_t attempt, Outcome result) {
  const auto found = this->tasks.find(attempt);
  if (found == this->tasks.end()) {
    return;
  }
  const Task task = found->second;
  this->tasks.erase(found);
  --this->endpoints[task.endpoint].running;
  const TimePoint now = this->loop.Now();
  this->CountUse(task, now);
  const Duration measured = now - task.started;
  this->loop.After(this->Delay(this->requests.at(task.request).entry, task.endpoint),
                   [this, task, attempt, result, measured] {
                     this->Reply(task.request, task.endpoint, attempt, result, measured);
                   });
}

void Simulation::Reply(std::uint64_t number, std::uint32_t endpoint, std::uint64_t attempt,
                       Outcome result, Duration measured) {
  const auto running = this->attempt_of.find(number);
  if (running == this->attempt_of.end() || running->second != attempt) {
    // The entry gave up on this attempt at its deadline; the work was for nothing.
    this->outcome.wasted_seconds += ToSeconds(measured);
    return;
  }
  this->attempt_of.erase(running);
  Request& request = this->requests.at(number);
  --this->gate.running[request.ticket.team];
  const auto after = this->entries[request.entry].shard->OnFinished(
      request.ticket.id, this->endpoints[endpoint].id, result, measured, this->loop.Now(),
      this->decisions);
  if (after.after == dispatch::AfterTry::kAnswer) {
    if (after.refusal) {
      this->Refused(number, *after.refusal);
    } else {
      this->Answered(number, result, measured);
    }
  }
  this->Pump(request.entry);
}

void Simulation::OnDeadline(std::uint64_t number) {
  Request& request = this->requests.at(number);
  const std::uint64_t attempt = this->attempt_of.at(number);
  const auto task = this->tasks.find(attempt);
  if (task == this->tasks.end()) {
    // The request or its answer is on the way; look again when it has arrived.
    this->loop.After(this->scenario.cross_delay, [this, number, attempt] {
      const auto running = this->attempt_of.find(number);
      if (running != this->attempt_of.end() && running->second == attempt) {
        this->OnDeadline(number);
      }
    });
    return;
  }
  const std::uint32_t endpoint = task->second.endpoint;
  const Duration measured = this->loop.Now() - task->second.started;
  this->Reply(number, endpoint, attempt, Outcome::kLost, measured);
  this->loop.After(this->Delay(request.entry, endpoint),
                   [this, attempt] { this->EndTask(attempt, Outcome::kStopped); });
}

void Simulation::Preempt(std::uint32_t entry, const scheduling::Preempt& action) {
  const std::uint64_t number = action.ticket.number / kAsksPerRequest;
  const auto running = this->attempt_of.find(number);
  if (running == this->attempt_of.end()) {
    return;
  }
  const std::uint64_t attempt = running->second;
  const auto task = this->tasks.find(attempt);
  if (task == this->tasks.end()) {
    return;
  }
  const Duration delay = this->Delay(entry, task->second.endpoint);
  if (action.kind == scheduling::PreemptKind::kStop) {
    this->loop.After(delay + kStopTime,
                     [this, attempt] { this->EndTask(attempt, Outcome::kStopped); });
  }
}

void Simulation::CallerLeaves(std::uint64_t number) {
  Request& request = this->requests.at(number);
  if (request.is_answered) {
    return;
  }
  request.is_cancelled = true;
  if (!request.was_accepted) {
    return;
  }
  const auto result =
      this->entries[request.entry].shard->Cancel(request.ticket.id, this->loop.Now());
  TeamOutcome& team = this->outcome.teams[request.team];
  if (result == dispatch::CancelResult::kForgotten) {
    request.is_answered = true;
    team.cancelled += request.is_measured ? 1 : 0;
    return;
  }
  const auto running = this->attempt_of.find(number);
  if (running != this->attempt_of.end()) {
    const std::uint64_t attempt = running->second;
    this->loop.After(this->scenario.cross_delay,
                     [this, attempt] { this->EndTask(attempt, Outcome::kStopped); });
  }
}

void Simulation::Answered(std::uint64_t number, Outcome result, Duration measured) {
  Request& request = this->requests.at(number);
  CHERVILSPAR_ASSERT(!request.is_answered);
  request.is_answered = true;
  TeamOutcome& team = this->outcome.teams[request.team];
  const TimePoint now = this->loop.Now();
  const bool is_good = result == Outcome::kCompleted && now <= request.ticket.deadline;
  const TimePoint window =
      now -
      Duration(static_cast<Duration::rep>((this->Seconds(now) - this->scenario.warm_up) * 1e6));
  if (is_good && this->Seconds(now) <= this->scenario.seconds) {
    team.good_seconds += std::max(0.0, ToSeconds(now - std::max(window, now - measured)));
  }
  if (!is_good) {
    this->outcome.wasted_seconds += ToSeconds(measured);
  }
  if (!request.is_measured) {
    return;
  }
  if (is_good) {
    ++team.in_time;
    const TimePoint at_caller = now + this->scenario.caller_delay;
    if (!request.is_long) {
      team.answers.push_back(ToSeconds(at_caller - request.asked_at));
    }
  } else if (result == Outcome::kStopped && request.is_cancelled) {
    ++team.cancelled;
  } else if (result == Outcome::kLost) {
    ++team.lost;
  } else {
    ++team.failed;
  }
}

void Simulation::CountUse(const Task& task, TimePoint ended) {
  std::vector<double>& used =
      this->outcome.teams[this->requests.at(task.request).team].used_by_tick;
  const auto tick_of = [this](TimePoint when) {
    return (this->Seconds(when) - this->scenario.warm_up) * kTicksPerSecond;
  };
  double from = std::max(0.0, tick_of(task.started));
  const double to = std::min(tick_of(ended), static_cast<double>(used.size()));
  while (from < to) {
    const auto tick = static_cast<std::size_t>(from);
    const double end = std::min(to, static_cast<double>(tick + 1));
    used[tick] += (end - from) / kTicksPerSecond;
    from = end;
  }
}

}  // namespace chervilspar::bench
