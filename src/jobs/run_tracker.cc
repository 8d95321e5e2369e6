#include "jobs/run_tracker.h"

#include <algorithm>

namespace chervilspar::jobs {

namespace {

/// An endpoint lists this many ends at a time; a full list may leave some out.
constexpr std::size_t kEndsListed = 500;
/// The pause before a long-running task starts again grows to this many times the first.
constexpr int kMaxRestartFactor = 10;
/// No room although there was by our count: it is passed over for this long.
constexpr Duration kFullPause = std::chrono::milliseconds(250);

}  // namespace

bool RunTracker::IsMine(const TaskRef& ref, const EndpointState& endpoint,
                        std::uint64_t run) const {
  return ref && ref.task->state != RunState::kNone && ref.task->endpoint == &endpoint &&
         ref.task->progress.run == run;
}

void RunTracker::OnHeld(EndpointState& endpoint, const RenewalReport& report, TimePoint sent,
                        TimePoint now) {
  if (report.born_ms != 0 && endpoint.born_ms != 0 && report.born_ms < endpoint.born_ms) {
    return;  // a former life's answer that was overtaken
  }
  if (report.born_ms != 0 && report.born_ms != endpoint.born_ms) {
    if (endpoint.born_ms != 0) {
      this->OnNewLife(endpoint, report, now);
    }
    endpoint.born_ms = report.born_ms;
  }
  const bool is_first = !endpoint.clock_ms.has_value();
  endpoint.clock_ms = report.clock_ms;
  endpoint.clock_at = now;
  endpoint.last_response = now;
  endpoint.last_answered_request = std::max(endpoint.last_answered_request, sent);
  endpoint.is_silent = false;
  if (is_first) {
    // From here on no predecessor's order is obeyed, so no lease is longer than one of ours.
    endpoint.lease_end = now + this->state.options.LongestLease();
  }
  for (const EndedRun& ended : report.ended) {
    if (ended.number > endpoint.seen_end) {
      this->TakeEnd(endpoint, ended, now);
      endpoint.seen_end = ended.number;
      this->state.has_new_ends = true;
    }
  }
  for (const ActiveRun& active : report.active) {
    this->TakeActive(endpoint, active, now);
  }
  if (report.ended.size() < kEndsListed) {
    this->DropMissing(endpoint, report, sent, now);
  }
}

void RunTracker::TakeEnd(EndpointState& endpoint, const EndedRun& ended, TimePoint now) {
  endpoint.orphaned_runs.erase({ended.task, ended.run});
  const TaskRef ref = this->state.Find(ended.task);
  if (!ref) {
    return;  // the job has ended and its tasks are forgotten
  }
  const bool is_mine = this->IsMine(ref, endpoint, ended.run);
  this->state.MarkStarted(ref, endpoint, now);
  this->state.ReportEvent(
      {"run_ended",
       ended.task,
       {},
       endpoint.record.id,
       ToString(ended.end),
       ended.end == RunEnd::kDone ? NoteWeight::kRoutine : NoteWeight::kNotable});
  if (!ended.checkpoint.empty() && ref.task->progress.phase != TaskPhase::kDone) {
    ref.task->progress.checkpoint = ended.checkpoint;
  }
  if (is_mine) {
    this->state.Release(ref);
  }
  if (ended.end == RunEnd::kDone && !ref.spec->is_long_running) {
    endpoint.failures = 0;
    endpoint.failed_jobs.clear();
    this->state.MarkDone(ref, now);
    if (ref.spec->is_gang) {
      this->ReleaseGangAfterDone(ref, ended.run, now);
    }
    return;
  }
  if (ended.run <= ref.task->progress.ended_run) {
    return;  // counted before
  }
  ref.task->progress.ended_run = ended.run;
  this->state.MarkDirty(*ref.job);
  if (ended.end == RunEnd::kFailed) {
    this->TakeFailure(ref, endpoint, ended);
  }
  if (is_mine) {
    this->state.StopGang(ref, now);
  }
  ref.task->not_before = now;
  if (ref.spec->is_long_running && ended.end != RunEnd::kStopped) {
    const int factor = std::min(ref.task->restarts++, kMaxRestartFactor);
    ref.task->not_before = now + factor * this->state.options.restart_pause;
  }
}

void RunTracker::TakeFailure(const TaskRef& ref, EndpointState& endpoint, const EndedRun& ended) {
  Task& task = *ref.task;
  task.avoided_endpoint = endpoint.record.id;
  ++endpoint.failures;
  endpoint.failed_jobs.insert(ended.task.job);
  const bool has_several = endpoint.failed_jobs.size() > 1;
  if (endpoint.failures >= this->state.options.failures_to_eject && has_several) {
    endpoint.ejected_until = endpoint.last_response + this->state.options.ejection;
    endpoint.failures = 0;
    endpoint.failed_jobs.clear();
    this->state.ReportEvent({"endpoint_ejected",
                             ended.task,
                             {},
                             endpoint.record.id,
                             "runs of several jobs failed in a row"});
  }
  if (ref.spec->is_long_running) {
    return;
  }
  ++task.progress.failures;
  std::uint32_t failures = task.progress.failures;
  if (ref.spec->is_gang) {
    failures = 0;
    for (const Task& member : ref.step->tasks) {
      failures += member.progress.failures;
    }
  }
  if (failures >= ref.job->attempts && task.progress.phase == TaskPhase::kWaiting) {
    task.progress.phase = TaskPhase::kFailed;
    ref.job->is_failed = !ref.job->is_cancelled;
    this->state.ReportEvent({"job_failed",
                             ended.task,
                             {},
                             endpoint.record.id,
                             "failed " + std::to_string(failures) + " times"});
    this->state.StopAll(*ref.job, endpoint.last_response);
  }
}

void RunTracker::ReleaseGangAfterDone(const TaskRef& ref, std::uint64_t run, TimePoint now) {
  for (std::uint32_t i = 0; i < ref.step->tasks.size(); ++i) {
    TaskKey key = ref.key;
    key.index = i;
    const TaskRef member = this->state.Find(key);
    if (member.task->progress.run == run) {
      this->state.Release(member);
    }
    this->state.MarkDone(member, now);
  }
}

void RunTracker::TakeActive(EndpointState& endpoint, const ActiveRun& active, TimePoint now) {
  const TaskRef ref = this->state.Find(active.task);
  if (ref) {
    this->state.MarkStarted(ref, endpoint, now);
  }
  if (!this->IsMine(ref, endpoint, active.run)) {
    endpoint.orphaned_runs.try_emplace({active.task, active.run}, TimePoint{});
    this->state.has_orphaned_runs = true;
    return;
  }
  Task& task = *ref.task;
  task.is_reported = true;
  if (task.state == RunState::kStarting || task.state == RunState::kUnconfirmed) {
    task.state = RunState::kActive;
    task.since = now;
  }
  if (active.percent != task.percent) {
    task.percent = active.percent;
    task.percent_since = now;
  }
  if (ref.spec->is_long_running && active.percent >= kReadyPercent) {
    task.restarts = 0;
  }
  task.gauge = active.gauge;
  if (!active.checkpoint.empty()) {
    task.progress.checkpoint = active.checkpoint;
  }
}

void RunTracker::DropMissing(EndpointState& endpoint, const RenewalReport& report, TimePoint sent,
                             TimePoint now) {
  std::set<std::pair<TaskKey, std::uint64_t>> listed;
  for (const ActiveRun& active : report.active) {
    listed.insert({active.task, active.run});
  }
  for (auto stray = endpoint.orphaned_runs.begin(); stray != endpoint.orphaned_runs.end();) {
    stray = listed.contains(stray->first) ? std::next(stray) : endpoint.orphaned_runs.erase(stray);
  }
  std::vector<TaskRef> given_up;
  const std::vector<TaskKey> claims(endpoint.claims.begin(), endpoint.claims.end());
  for (const TaskKey& key : claims) {
    const TaskRef ref = this->state.Find(key);
    const Task& task = *ref.task;
    if (listed.contains({key, task.progress.run})) {
      continue;
    }
    const bool was_confirmed = task.state == RunState::kActive && task.since < sent;
    const bool is_settled =
        task.state == RunState::kStopping && task.stop_answered && *task.stop_answered < sent;
    const bool is_past =
        (task.state == RunState::kUnconfirmed || task.state == RunState::kStopping) &&
        task.start_expires < sent;
    // This answer knows our token, so that a predecessor's order can't be carried out any more.
    const bool is_fenced_off = task.state == RunState::kUnconfirmed && task.is_adopted;
    if (was_confirmed || is_settled || is_past || is_fenced_off) {
      this->state.ReportEvent({"run_absent",
                               key,
                               {},
                               endpoint.record.id,
                               "not listed by an answer that is newer than its order"});
      this->state.Release(ref);
      given_up.push_back(ref);
    }
  }
  this->BreakGangsOf(given_up, now);
}

/// After all claims of an endpoint have been looked at: a member that is stopped looks like one
/// whose start can't arrive any more.
void RunTracker::BreakGangsOf(const std::vector<TaskRef>& given_up, TimePoint now) {
  for (const TaskRef& ref : given_up) {
    this->state.StopGang(ref, now);
  }
}

/// What can go wrong: the new life took a run before anybody here had heard of it. Released on the
/// registry's word, the task would be started beside itself. So the registry's word only asks for a
/// look, whose answer says what runs there.
void RunTracker::OnRestartRegistered(EndpointState& endpoint, std::int64_t born_ms) {
  if (endpoint.claims.empty()) {
    Forget(endpoint);
    endpoint.born_ms = born_ms;
    return;
  }
  endpoint.is_silent = true;
  endpoint.clock_ms.reset();
}

void RunTracker::OnNewLife(EndpointState& endpoint, const RenewalReport& report, TimePoint now) {
  std::set<std::pair<TaskKey, std::uint64_t>> kept;
  for (const ActiveRun& active : report.active) {
    kept.insert({active.task, active.run});
  }
  std::vector<TaskRef> given_up;
  const std::vector<TaskKey> claims(endpoint.claims.begin(), endpoint.claims.end());
  for (const TaskKey& key : claims) {
    const TaskRef ref = this->state.Find(key);
    Task& task = *ref.task;
    if (task.progress.endpoint_born_ms == report.born_ms) {
      continue;
    }
    if (kept.contains({key, task.progress.run})) {
      task.progress.endpoint_born_ms = report.born_ms;
      this->state.MarkDirty(*ref.job);
      continue;
    }
    given_up.push_back(ref);
    // Of several tries, one that was overtaken may come after the run has been shown.
    const bool is_settled = task.is_reported && task.start_tries <= 1;
    const bool may_arrive = !task.is_adopted && !is_settled && task.state != RunState::kRecording;
    if (may_arrive) {
      // The start has no answer yet. Its time limit is on the former life's clock and doesn't hold
      // it back in this one, nor does a stop there; only a stop here does.
      this->state.BeginStop(ref, now);
      task.last_order_sent = TimePoint{};
      task.stop_answered.reset();
      continue;
    }
    this->state.ReportEvent({"run_lost", key, {}, endpoint.record.id, "the endpoint started anew"});
    this->state.Release(ref);
  }
  this->BreakGangsOf(given_up, now);
  Forget(endpoint);
}

void RunTracker::Forget(EndpointState& endpoint) {
  endpoint.clock_ms.reset();
  endpoint.seen_end = 0;
  endpoint.stored_end = 0;
  endpoint.confirmed_end = 0;
  endpoint.orphaned_runs.clear();
  endpoint.failures = 0;
  endpoint.failed_jobs.clear();
}

void RunTracker::Lose(EndpointState& endpoint, const std::string& why, TimePoint now) {
  std::vector<TaskRef> given_up;
  const std::vector<TaskKey> claims(endpoint.claims.begin(), endpoint.claims.end());
  for (const TaskKey& key : claims) {
    this->state.ReportEvent({"run_lost", key, {}, endpoint.record.id, why});
    given_up.push_back(this->state.Find(key));
    this->state.Release(given_up.back());
  }
  this->BreakGangsOf(given_up, now);
}

void RunTracker::OnEndpointReplaced(EndpointState& endpoint, TimePoint now) {
  this->Lose(endpoint, "another endpoint answers at its address", now);
  endpoint.is_silent = true;
}

void RunTracker::ReleaseExpiredLeases(TimePoint now) {
  for (const auto& [id, endpoint] : this->state.endpoints) {
    if (!endpoint->claims.empty() && now > endpoint->lease_end) {
      this->Lose(*endpoint, "its lease must have lapsed", now);
    }
  }
}

void RunTracker::OnStartAnswered(const StartOrder& order, OrderOutcome outcome, TimePoint now) {
  EndpointState* endpoint = this->state.FindEndpoint(order.endpoint);
  const TaskRef ref = this->state.Find(order.task);
  if (endpoint == nullptr || !this->IsMine(ref, *endpoint, order.run)) {
    return;
  }
  Task& task = *ref.task;
  if (task.state != RunState::kStarting && task.state != RunState::kUnconfirmed) {
    return;
  }
  switch (outcome) {
    case OrderOutcome::kDone:
      this->state.MarkStarted(ref, *endpoint, now);
      task.state = RunState::kActive;
      task.is_reported = true;
      task.since = now;
      task.percent_since = now;
      return;
    case OrderOutcome::kTokenTooLow:
      this->state.is_superseded = true;
      return;
    case OrderOutcome::kRunTooOld:
    case OrderOutcome::kNoAnswer:
      task.state = RunState::kUnconfirmed;
      this->state.retry_candidates.insert(order.task);
      return;
    case OrderOutcome::kNotSent:
      endpoint->is_silent = true;
      if (task.start_tries > 1) {
        task.state = RunState::kUnconfirmed;
        this->state.retry_candidates.insert(order.task);
        return;
      }
      break;
    case OrderOutcome::kNoCapacity:
      endpoint->full_until = now + kFullPause;
      break;
    case OrderOutcome::kBadTicket:
      ref.step->advice = {};
      break;
    case OrderOutcome::kTooLate:
    case OrderOutcome::kRefused:
      endpoint->full_until = now + kFullPause;
      break;
    case OrderOutcome::kOtherIncarnation:
      this->OnEndpointReplaced(*endpoint, now);
      return;
  }
  // A try without answer may still be carried out; only the last answer speaks of this one.
  if (task.start_tries > 1) {
    this->state.BeginStop(ref, now);
    this->state.StopGang(ref, now);
    return;
  }
  this->state.ReportEvent({"start_refused", order.task, {}, order.endpoint, ToString(outcome)});
  this->state.Release(ref);
  this->state.StopGang(ref, now);
}

void RunTracker::OnStopAnswered(const StopOrder& order, OrderOutcome outcome, TimePoint now) {
  if (outcome == OrderOutcome::kTokenTooLow) {
    this->state.is_superseded = true;
    return;
  }
  EndpointState* endpoint = this->state.FindEndpoint(order.endpoint);
  const TaskRef ref = this->state.Find(order.task);
  if (endpoint == nullptr || !this->IsMine(ref, *endpoint, order.run)) {
    return;
  }
  const bool is_answered = outcome == OrderOutcome::kDone || outcome == OrderOutcome::kRunTooOld;
  if (is_answered && ref.task->state == RunState::kStopping) {
    ref.task->stop_answered = now;
  }
}

}  // namespace chervilspar::jobs
