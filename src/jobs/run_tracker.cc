#include "jobs/run_tracker.h"

#include <algorithm>
#include <utility>

namespace chervilspar::jobs {

namespace {

/// An endpoint lists at most this many ends at a time, so that a full list may be incomplete.
constexpr std::size_t kMaxListedEnds = 500;
/// The delay before a restart of a long-running task grows up to this multiple of the first delay.
constexpr int kMaxRestartFactor = 10;
/// An endpoint that refuses a start for lack of capacity is skipped for this long.
constexpr Duration kFullBackoff = std::chrono::milliseconds(250);
/// For the rounding of clocks. An incarnation that is only this much younger than the one before
/// grants no longer leases than that.
constexpr Duration kClockTolerance = std::chrono::milliseconds(50);

/// The runs that a report lists as active.
class ListedRuns {
 public:
  explicit ListedRuns(const RenewalReport& report) {
    this->runs.reserve(report.active.size());
    for (const ActiveRun& active : report.active) {
      this->runs.emplace_back(active.task, active.run);
    }
    std::sort(this->runs.begin(), this->runs.end());
  }

  bool Contains(const TaskKey& task, std::uint64_t run) const {
    return std::binary_search(this->runs.begin(), this->runs.end(), std::pair(task, run));
  }

 private:
  std::vector<std::pair<TaskKey, std::uint64_t>> runs;
};

}  // namespace

bool RunTracker::IsCurrentRun(const TaskRef& ref, const EndpointState& endpoint,
                              std::uint64_t run) const {
  return ref && ref.task->state != RunState::kNone && ref.task->endpoint == &endpoint &&
         ref.task->progress.run == run;
}

void RunTracker::OnHeld(EndpointState& endpoint, const RenewalOrder& order,
                        const RenewalReport& report, TimePoint sent, TimePoint now) {
  if (order.token < endpoint.order_token) {
    return;  // A former incarnation may have given it.
  }
  const bool has_restarted =
      report.born_ms != 0 && endpoint.born_ms != 0 && report.born_ms != endpoint.born_ms;
  if (has_restarted && endpoint.is_fenced) {
    // A former incarnation can't have answered what was sent after an answer of the current one,
    // whatever the wall clocks say.
    if (report.born_ms > endpoint.born_ms || sent >= endpoint.last_response) {
      this->OnRestart(endpoint, "its answer", now);
    }
    return;
  }
  if (has_restarted) {
    endpoint.has_former_lease_orders |= endpoint.has_lease_orders;
    ResetIncarnation(endpoint);
  }
  if (report.born_ms != 0) {
    endpoint.born_ms = report.born_ms;
  }
  if (!std::exchange(endpoint.is_fenced, true)) {
    this->former_leases.OnFenced(endpoint, report, now);
  }
  endpoint.clock_ms = report.clock_ms;
  endpoint.clock_at = now;
  endpoint.last_response = now;
  endpoint.last_answered_request = std::max(endpoint.last_answered_request, sent);
  endpoint.is_silent = false;
  if (sent > endpoint.evacuating_since) {
    endpoint.is_report_requested = false;
  }
  for (const EndedRun& ended : report.ended) {
    if (ended.number > endpoint.seen_end) {
      this->ProcessEnd(endpoint, ended, now);
      endpoint.unstored_ends.emplace(ended.number, ended.task.job);
      endpoint.seen_end = ended.number;
      this->state.has_new_ends = true;
    }
  }
  for (const ActiveRun& active : report.active) {
    this->ProcessActive(endpoint, active, now);
  }
  if (report.ended.size() < kMaxListedEnds) {
    this->ReleaseUnlisted(endpoint, report, sent, now);
  }
}

void RunTracker::ProcessEnd(EndpointState& endpoint, const EndedRun& ended, TimePoint now) {
  endpoint.orphaned_runs.erase({ended.task, ended.run});
  const TaskRef ref = this->state.Find(ended.task);
  if (!ref) {
    return;  // the job has ended and its tasks were removed
  }
  const bool is_current = this->IsCurrentRun(ref, endpoint, ended.run);
  this->state.MarkStarted(ref, endpoint, now);
  if (ended.end != RunEnd::kDone) {
    this->state.ReportEvent({"run_ended", ended.task, {}, endpoint.record.id, ToString(ended.end)});
  } else if (this->state.options.reports_routine_events) {
    this->state.ReportEvent({"run_ended",
                             ended.task,
                             {},
                             endpoint.record.id,
                             ToString(ended.end),
                             EventImportance::kRoutine});
  }
  if (!ended.checkpoint.empty() && ref.task->progress.phase != TaskPhase::kDone) {
    ref.task->progress.checkpoint = ended.checkpoint;
  }
  if (is_current) {
    this->state.Release(ref);
  }
  if (ended.end == RunEnd::kDone && !ref.spec->is_long_running) {
    endpoint.failures = 0;
    endpoint.failed_jobs.clear();
    this->state.MarkDone(ref, now);
    if (ref.spec->is_gang) {
      this->CompleteGang(ref, ended.run, now);
    }
    return;
  }
  if (ended.end == RunEnd::kFailed) {
    this->CountEndpointFailure(ref, endpoint, ended);
  }
  if (ended.run <= ref.task->progress.ended_run) {
    return;  // already counted
  }
  ref.task->progress.ended_run = ended.run;
  this->state.MarkDirty(*ref.job);
  if (ended.end == RunEnd::kFailed) {
    this->CountAttempt(ref, endpoint, ended);
  }
  if (is_current) {
    this->state.StopGang(ref, now);
  }
  ref.task->not_before = now;
  if (ref.spec->is_long_running && ended.end != RunEnd::kStopped) {
    const int factor = std::min(ref.task->restarts++, kMaxRestartFactor);
    ref.task->not_before = now + factor * this->state.options.restart_pause;
  }
}

void RunTracker::CountEndpointFailure(const TaskRef& ref, EndpointState& endpoint,
                                      const EndedRun& ended) {
  ref.task->avoided_endpoint = endpoint.record.id;
  if (ref.spec->is_gang) {
    const TaskKey first{ended.task.job, ended.task.occurrence, ended.task.step, 0};
    const std::pair<TaskKey, std::uint64_t> gang{first, ended.run};
    if (endpoint.last_failed_gang == gang) {
      return;
    }
    endpoint.last_failed_gang = gang;
  }
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
                             "consecutive runs of several jobs failed"});
  }
}

void RunTracker::CountAttempt(const TaskRef& ref, const EndpointState& endpoint,
                              const EndedRun& ended) {
  if (ref.spec->is_long_running) {
    return;
  }
  Task& task = *ref.task;
  ++task.progress.failures;
  std::uint32_t failures = task.progress.failures;
  if (ref.spec->is_gang) {
    failures = 0;
    for (Task& member : ref.step->tasks) {
      // A run of the gang is one attempt, however many of its members fail.
      member.progress.ended_run = std::max(member.progress.ended_run, ended.run);
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

void RunTracker::CompleteGang(const TaskRef& ref, std::uint64_t run, TimePoint now) {
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

void RunTracker::ProcessActive(EndpointState& endpoint, const ActiveRun& active, TimePoint now) {
  const TaskRef ref = this->state.Find(active.task);
  if (ref) {
    this->state.MarkStarted(ref, endpoint, now);
  }
  if (!this->IsCurrentRun(ref, endpoint, active.run)) {
    endpoint.orphaned_runs.try_emplace({active.task, active.run}, TimePoint{});
    this->state.has_orphaned_runs = true;
    return;
  }
  Task& task = *ref.task;
  task.is_reported = true;
  if (task.progress.endpoint_born_ms != endpoint.born_ms) {
    // It executed a start for its former incarnation.
    task.progress.endpoint_born_ms = endpoint.born_ms;
    this->state.MarkDirty(*ref.job);
  }
  // The start was executed after all. Ending a run that serves its users would be worse than the
  // wait for it was.
  const bool is_kept = task.state == RunState::kStopping && task.is_given_up &&
                       !task.stop_answered && ref.spec->is_long_running && !ref.job->IsOver();
  if (task.state == RunState::kStarting || task.state == RunState::kUnconfirmed || is_kept) {
    task.state = RunState::kActive;
    task.is_given_up = false;
    task.since = now;
  }
  if (active.percent != task.percent) {
    task.percent = active.percent;
    task.percent_since = now;
  } else if (now - task.percent_since > this->state.options.stall_timeout) {
    endpoint.may_have_stalled_runs = true;
  }
  if (ref.spec->is_long_running && active.percent >= kReadyPercent) {
    task.restarts = 0;
  }
  task.gauge = active.gauge;
  if (!active.checkpoint.empty()) {
    task.progress.checkpoint = active.checkpoint;
  }
}

void RunTracker::ReleaseUnlisted(EndpointState& endpoint, const RenewalReport& report,
                                 TimePoint sent, TimePoint now) {
  const ListedRuns listed(report);
  std::erase_if(endpoint.orphaned_runs, [&listed](const auto& run) {
    return !listed.Contains(run.first.first, run.first.second);
  });
  std::vector<TaskRef> lost;
  std::vector<TaskRef> restarted;
  for (const TaskKey& key : endpoint.claims) {
    const TaskRef ref = this->state.Find(key);
    const Task& task = *ref.task;
    if (listed.Contains(key, task.progress.run) || this->former_leases.MayStartUnheard(task, now)) {
      continue;
    }
    // It refuses the starts for its former incarnation from now on, and so has none to execute.
    if (task.progress.endpoint_born_ms != endpoint.born_ms) {
      restarted.push_back(ref);
      continue;
    }
    const bool was_confirmed = task.state == RunState::kActive && task.since < sent;
    const bool is_settled =
        task.state == RunState::kStopping && task.stop_answered && *task.stop_answered < sent;
    const bool is_expired =
        (task.state == RunState::kUnconfirmed || task.state == RunState::kStopping) &&
        task.start_expires < sent;
    // The endpoint knows this owner's token, so that it refuses a predecessor's order from now on.
    const bool is_fenced = task.state == RunState::kUnconfirmed && task.is_adopted;
    if (was_confirmed || is_settled || is_expired || is_fenced) {
      lost.push_back(ref);
    }
  }
  for (const TaskRef& ref : lost) {
    this->state.ReportEvent(
        {"run_absent",
         ref.key,
         {},
         endpoint.record.id,
         "not listed in a response to a request that was sent after its order"});
    this->state.Release(ref);
  }
  for (const TaskRef& ref : restarted) {
    this->state.ReportEvent(
        {"run_lost", ref.key, {}, endpoint.record.id, "the endpoint restarted"});
    this->state.Release(ref);
  }
  this->StopGangsOf(lost, now);
  this->StopGangsOf(restarted, now);
}

/// Called after all claims of an endpoint have been checked, because a member that is being stopped
/// can't be told from one whose start can't arrive any more.
void RunTracker::StopGangsOf(const std::vector<TaskRef>& lost, TimePoint now) {
  for (const TaskRef& ref : lost) {
    this->state.StopGang(ref, now);
  }
}

/// The new incarnation may have started a run before this process learned of the restart. If the
/// claim were released on the registration, the task would run twice. Therefore a registration only
/// causes a status request, whose answer lists the active runs.
void RunTracker::OnRestartRegistered(EndpointState& endpoint, std::int64_t born_ms, TimePoint now) {
  if (endpoint.last_response == TimePoint{}) {
    if (endpoint.claims.empty()) {
      endpoint.has_former_lease_orders |= endpoint.born_ms != 0 && endpoint.has_lease_orders;
      endpoint.born_ms = born_ms;
    } else {
      this->former_leases.OnRestartBeforeFirstAnswer(endpoint);
    }
    return;
  }
  const bool is_noted = born_ms == endpoint.fenced_registration_ms;
  if (endpoint.is_fenced && !is_noted) {
    endpoint.fenced_registration_ms = born_ms;
    this->OnRestart(endpoint, "its registration", now);
  }
}

void RunTracker::OnRestart(EndpointState& endpoint, const std::string& source, TimePoint now) {
  this->ReportRestart(endpoint, source, now);
  this->former_leases.OnRestart(endpoint, now);
}

void RunTracker::ReportRestart(const EndpointState& endpoint, const std::string& source,
                               TimePoint now) {
  const auto late_starts =
      std::count_if(endpoint.claims.begin(), endpoint.claims.end(), [this](const TaskKey& key) {
        return FormerLeases::MayStartLate(*this->state.Find(key).task);
      });
  this->state.ReportEvent({"endpoint_restarted",
                           {},
                           {},
                           endpoint.record.id,
                           source + " shows another incarnation; its last answer was " +
                               std::to_string(ToMilliseconds(now - endpoint.last_response)) +
                               " ms ago, " + std::to_string(late_starts) + " of " +
                               std::to_string(endpoint.claims.size()) +
                               " starts may still arrive"});
}

void RunTracker::ResetIncarnation(EndpointState& endpoint) {
  endpoint.unstored_ends.clear();
  endpoint.seen_end = 0;
  endpoint.stored_end = 0;
  endpoint.confirmed_end = 0;
  endpoint.orphaned_runs.clear();
  endpoint.failures = 0;
  endpoint.failed_jobs.clear();
  endpoint.last_failed_gang.reset();
}

void RunTracker::ReleaseAll(EndpointState& endpoint, const std::string& why, TimePoint now) {
  this->ReleaseClaims(endpoint, why, now, [](const Task&) { return true; });
}

void RunTracker::ReleaseClaims(EndpointState& endpoint, const std::string& why, TimePoint now,
                               const std::function<bool(const Task&)>& is_over) {
  std::vector<TaskRef> lost;
  const std::vector<TaskKey> claims(endpoint.claims.begin(), endpoint.claims.end());
  for (const TaskKey& key : claims) {
    const TaskRef ref = this->state.Find(key);
    if (!is_over(*ref.task)) {
      continue;
    }
    this->state.ReportEvent({"run_lost", key, {}, endpoint.record.id, why});
    lost.push_back(ref);
    this->state.Release(ref);
  }
  this->StopGangsOf(lost, now);
}

void RunTracker::OnEndpointReplaced(EndpointState& endpoint, TimePoint now) {
  this->ReleaseAll(endpoint, "another endpoint answers at its address", now);
  endpoint.is_silent = true;
}

void RunTracker::ReleaseExpiredLeases(TimePoint now) {
  for (const auto& [id, endpoint] : this->state.endpoints) {
    if (endpoint->claims.empty() || now <= endpoint->lease_end) {
      continue;
    }
    const auto is_over = [&, &at = *endpoint](const Task& task) {
      return now > this->former_leases.LastRunEnd(at, task);
    };
    const bool is_any_over =
        std::any_of(endpoint->claims.begin(), endpoint->claims.end(),
                    [&](const TaskKey& key) { return is_over(*this->state.Find(key).task); });
    if (is_any_over) {
      const std::int64_t silence = ToMilliseconds(now - endpoint->last_response);
      this->ReleaseClaims(
          *endpoint,
          "its lease has lapsed; its last answer was " + std::to_string(silence) + " ms ago", now,
          is_over);
    }
  }
}

void RunTracker::OnStartAnswered(const StartOrder& order, const StartAnswer& answer,
                                 TimePoint now) {
  const OrderOutcome outcome = answer.outcome;
  EndpointState* endpoint = this->state.FindEndpoint(order.endpoint);
  const TaskRef ref = this->state.Find(order.task);
  const std::optional<bool> is_own = this->IsOfKnownIncarnation(order, answer);
  if (is_own == false) {
    this->OnRestart(*endpoint, "the clock in an answer to a start", now);
  }
  if (endpoint == nullptr || !this->IsCurrentRun(ref, *endpoint, order.run)) {
    return;
  }
  Task& task = *ref.task;
  if (outcome == OrderOutcome::kWithdrawn) {
    this->OnStartWithdrawn(ref, now);
    return;
  }
  if (task.state != RunState::kStarting && task.state != RunState::kUnconfirmed) {
    return;
  }
  if (outcome == OrderOutcome::kTokenTooLow) {
    this->state.OnTokenTooLow(order.endpoint, order.token);
    if (this->state.is_superseded) {
      return;
    }
  }
  switch (outcome) {
    case OrderOutcome::kDone:
      this->state.MarkStarted(ref, *endpoint, now);
      task.state = RunState::kActive;
      task.is_reported = is_own.value_or(false);
      task.since = now;
      task.percent_since = now;
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
      endpoint->full_until = now + kFullBackoff;
      break;
    case OrderOutcome::kBadTicket:
      ref.step->advice.answers.erase(order.endpoint);
      break;
    case OrderOutcome::kPayloadMissing:
    case OrderOutcome::kTokenTooLow:
    case OrderOutcome::kWithdrawn:
      break;
    case OrderOutcome::kTooLate:
    case OrderOutcome::kRefused:
      endpoint->full_until = now + kFullBackoff;
      break;
    case OrderOutcome::kOtherIncarnation:
      this->OnEndpointReplaced(*endpoint, now);
      return;
  }
  // An unanswered earlier try may still be executed; this answer is only about the last one.
  if (task.start_tries > 1) {
    this->state.BeginStop(ref, now);
    this->state.StopGang(ref, now);
    return;
  }
  this->state.ReportEvent({"start_refused", order.task, {}, order.endpoint, ToString(outcome)});
  this->state.Release(ref);
  this->state.StopGang(ref, now);
}

/// The answer doesn't name the incarnation, but its clock tells: that of a later one is behind.
std::optional<bool> RunTracker::IsOfKnownIncarnation(const StartOrder& order,
                                                     const StartAnswer& answer) const {
  const EndpointState* const endpoint = this->state.FindEndpoint(order.endpoint);
  const TaskRef ref = this->state.Find(order.task);
  if (endpoint == nullptr || !this->IsCurrentRun(ref, *endpoint, order.run) || !answer.clock_ms ||
      !endpoint->is_fenced || order.token != endpoint->order_token) {
    return std::nullopt;
  }
  const std::int64_t earliest = endpoint->EarliestClockAt(
      ref.task->last_start_sent, this->state.options.endpoint_clock_slowness);
  return *answer.clock_ms >= earliest - ToMilliseconds(kClockTolerance);
}

void RunTracker::OnStartWithdrawn(const TaskRef& ref, TimePoint now) {
  Task& task = *ref.task;
  if (task.state == RunState::kActive || task.is_adopted) {
    return;
  }
  if (task.start_tries > 1) {
    // An earlier try may be executed; a poll of the endpoint or a stop settles it.
    if (task.state == RunState::kStarting) {
      task.state = RunState::kUnconfirmed;
      this->state.retry_candidates.insert(ref.key);
    }
    return;
  }
  this->state.Release(ref);
  this->state.StopGang(ref, now);
}

void RunTracker::OnStopAnswered(const StopOrder& order, OrderOutcome outcome, TimePoint now) {
  if (outcome == OrderOutcome::kTokenTooLow) {
    this->state.OnTokenTooLow(order.endpoint, order.token);
    return;
  }
  EndpointState* endpoint = this->state.FindEndpoint(order.endpoint);
  const TaskRef ref = this->state.Find(order.task);
  if (endpoint == nullptr || !this->IsCurrentRun(ref, *endpoint, order.run)) {
    return;
  }
  const bool is_answered = outcome == OrderOutcome::kDone || outcome == OrderOutcome::kRunTooOld;
  if (is_answered && ref.task->state == RunState::kStopping) {
    ref.task->stop_answered = now;
  }
}

}  // namespace chervilspar::jobs
