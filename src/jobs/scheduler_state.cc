#include "jobs/scheduler_state.h"

#include <algorithm>

namespace chervilspar::jobs {

namespace {

/// Limit of pending notes; a round adds a few hundred at most.
constexpr std::size_t kMaxNotes = 4096;
/// A task with at least this estimate usually runs for longer than a take-over lasts.
constexpr std::int64_t kLongTaskMs = 5000;
/// The start of a job without long tasks is stored after this delay, unless another change of the
/// job was stored before: most jobs have ended by then, and each record costs money.
constexpr Duration kStartRecordDelay = std::chrono::seconds(3);

}  // namespace

const char* ToString(WaitReason reason) {
  switch (reason) {
    case WaitReason::kNone:
      return "nothing";
    case WaitReason::kNoCapacity:
      return "no endpoint of its pool has free capacity";
    case WaitReason::kNoEligibleEndpoint:
      return "no endpoint of its pool is eligible to run it";
    case WaitReason::kCordoned:
      return "every eligible endpoint is in a cordoned zone";
    case WaitReason::kTeamLimit:
      return "its team has reached its limit";
    case WaitReason::kAdvice:
      return "the adviser has not answered on which endpoints it may run";
    case WaitReason::kBeyondShare:
      return "waits behind";
    case WaitReason::kOwnerLink:
      return "the owner's link is full";
    case WaitReason::kHeldForOthers:
      return "the endpoints that may run it are held for other jobs";
    case WaitReason::kLongRunningTasks:
      return "long-running tasks leave too little on each endpoint that is eligible to run it";
  }
  return "unknown";
}

Resources RequiredCapacity(const Step& step) {
  Resources need = step.need;
  if (step.is_filler) {
    need.cpu = 0;
  }
  return need;
}

std::int64_t ToMilliseconds(Duration duration) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

std::int64_t ToUnixMs(WallTime wall) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(wall.time_since_epoch()).count();
}

bool Occurrence::IsDone() const {
  return std::all_of(this->steps.begin(), this->steps.end(),
                     [](const StepState& step) { return step.IsDone(); });
}

bool Occurrence::HasClaims() const {
  return std::any_of(this->steps.begin(), this->steps.end(),
                     [](const StepState& step) { return step.claims > 0; });
}

JobPhase JobState::Phase() const {
  if (this->is_cancelled) {
    return JobPhase::kCancelled;
  }
  if (this->IsComplete()) {
    return JobPhase::kComplete;
  }
  if (this->is_failed) {
    return JobPhase::kFailed;
  }
  return this->has_started ? JobPhase::kRunning : JobPhase::kQueued;
}

std::int64_t EndpointState::EarliestClockAt(TimePoint now, double slowness) const {
  const auto passed =
      std::chrono::duration_cast<Duration>((now - this->clock_at) * (1.0 - slowness));
  return *this->clock_ms + ToMilliseconds(passed);
}

SchedulerState::SchedulerState(const SchedulerOptions& options, std::uint64_t token,
                               TimePoint term_start)
    : options(options),
      token(token),
      term_start(term_start),
      order_tokens(token, OrderTokens::Part::kScheduler),
      link(options.link_rate),
      proof(term_start) {}

JobState* SchedulerState::FindJob(const JobId& id) {
  ++this->job_lookups;
  const auto found = this->jobs.find(id);
  return found == this->jobs.end() ? nullptr : found->second.get();
}

TaskRef SchedulerState::Find(const TaskKey& key) {
  JobState* job = this->FindJob(key.job);
  if (job == nullptr) {
    return {};
  }
  const auto occurrence = job->occurrences.find(key.occurrence);
  if (occurrence == job->occurrences.end() || key.step >= occurrence->second.steps.size()) {
    return {};
  }
  StepState& step = occurrence->second.steps[key.step];
  if (key.index >= step.tasks.size()) {
    return {};
  }
  return {job, &occurrence->second, &step, &job->job.steps[key.step], &step.tasks[key.index], key};
}

EndpointState* SchedulerState::FindEndpoint(const std::string& id) {
  const auto found = this->endpoint_index.find(id);
  return found == this->endpoint_index.end() ? nullptr : found->second;
}

EndpointState& SchedulerState::GetOrCreateEndpoint(const std::string& id) {
  std::unique_ptr<EndpointState>& slot = this->endpoints[id];
  if (slot == nullptr) {
    slot = std::make_unique<EndpointState>();
    slot->record.id = id;
    slot->order_token = this->order_tokens.Next();
    if (const auto forgotten = this->forgotten_endpoints.find(id);
        forgotten != this->forgotten_endpoints.end()) {
      slot->born_ms = forgotten->second.born_ms;
      slot->lease_end = forgotten->second.lease_end;
      slot->long_lease_end = forgotten->second.lease_end;
      slot->has_lease_orders = true;
    }
    this->endpoint_index.emplace(id, slot.get());
  }
  return *slot;
}

std::vector<std::string> SchedulerState::ForgetUnregisteredEndpoints(TimePoint now) {
  std::vector<std::string> forgotten;
  std::erase_if(this->forgotten_endpoints, [now](const auto& entry) {
    return entry.second.lease_end < now && entry.second.last_arrival < now;
  });
  std::erase_if(this->endpoints, [&](const auto& entry) {
    const EndpointState& endpoint = *entry.second;
    const bool is_gone = !endpoint.is_registered && endpoint.claims.empty() &&
                         !endpoint.has_lapse_notice && !endpoint.has_long_lease_notice;
    if (is_gone) {
      if (endpoint.lease_end >= now || endpoint.has_lease_orders) {
        this->forgotten_endpoints[entry.first] = {
            endpoint.lease_end, now + this->options.order_delay_limit, endpoint.born_ms};
      }
      this->endpoint_index.erase(entry.first);
      this->leaving.erase(entry.first);
      std::erase_if(this->reservations,
                    [&entry](const auto& kept) { return kept.second.endpoint == entry.first; });
      forgotten.push_back(entry.first);
    }
    return is_gone;
  });
  return forgotten;
}

void SchedulerState::RefreshLeaving(EndpointState& endpoint) {
  if (endpoint.IsLeaving()) {
    this->leaving.emplace(endpoint.record.id, &endpoint);
  } else {
    this->leaving.erase(endpoint.record.id);
  }
}

Occurrence& SchedulerState::GetOrCreateOccurrence(JobState& job, std::uint32_t number) {
  const auto [entry, is_new] = job.occurrences.try_emplace(number);
  if (is_new) {
    for (const Step& step : job.job.steps) {
      entry->second.steps.emplace_back().tasks.resize(step.count);
    }
    this->Advance(job, number);
  }
  return entry->second;
}

void SchedulerState::Advance(JobState& job, std::uint32_t number) {
  Occurrence& occurrence = job.occurrences.at(number);
  for (std::size_t i = 0; i < occurrence.steps.size(); ++i) {
    const std::vector<std::uint32_t>& after = job.job.steps[i].after;
    occurrence.steps[i].is_open =
        std::all_of(after.begin(), after.end(),
                    [&](std::uint32_t earlier) { return occurrence.steps[earlier].IsDone(); });
  }
  if (occurrence.IsDone()) {
    job.complete_occurrences.Insert(number);
    this->complete_occurrences.emplace(job.job.id, number);
  }
}

void SchedulerState::DropCompleteOccurrences() {
  std::erase_if(this->complete_occurrences, [this](const auto& complete) {
    JobState* job = this->FindJob(complete.first);
    if (job == nullptr) {
      return true;
    }
    const auto occurrence = job->occurrences.find(complete.second);
    if (occurrence == job->occurrences.end()) {
      return true;
    }
    if (occurrence->second.HasClaims()) {
      return false;
    }
    job->occurrences.erase(occurrence);
    return true;
  });
}

template <typename Change>
void SchedulerState::ChangeFreeCapacity(EndpointState& endpoint, const Change& change) {
  const std::int64_t former = endpoint.FreeCapacity().cpu;
  change();
  if (endpoint.pool != nullptr) {
    endpoint.pool->by_free_cpu.Move(endpoint.position, former, endpoint.FreeCapacity().cpu);
  }
}

void SchedulerState::AccountUsage(const TaskRef& ref, EndpointState& endpoint, bool is_added) {
  const Resources capacity = RequiredCapacity(*ref.spec);
  Resources& team = this->team_usage[ref.job->job.team];
  ChangeFreeCapacity(endpoint, [&] {
    endpoint.used = is_added ? endpoint.used + capacity : endpoint.used - capacity;
  });
  endpoint.batch_ends.reset();
  if (is_added) {
    team = team + ref.spec->need;
    endpoint.claims.insert(ref.key);
    ++ref.step->claims;
    ++ref.job->claims;
    this->claiming_jobs.insert(ref.key.job);
  } else {
    team = team - ref.spec->need;
    endpoint.claims.erase(ref.key);
    --ref.step->claims;
    if (--ref.job->claims == 0) {
      this->claiming_jobs.erase(ref.key.job);
    }
  }
  if (ref.spec->is_long_running) {
    const Resources change = is_added ? capacity : Resources{} - capacity;
    endpoint.used_by_long_running = endpoint.used_by_long_running + change;
    endpoint.long_running_claims += is_added ? 1 : -1;
  }
  if (this->options.divides_shares && !ref.spec->is_long_running) {
    this->AccountBatchUse(ref, is_added);
  }
}

void SchedulerState::AccountBatchUse(const TaskRef& ref, bool is_added) {
  const Resources capacity = RequiredCapacity(*ref.spec);
  const Resources change = is_added ? capacity : Resources{} - capacity;
  AccountUse& use = this->division.accounts[ref.job->job.team];
  use.in_use = use.in_use + change;
  use.claimed_work += static_cast<double>(change.cpu) *
                      static_cast<double>(std::max(ref.spec->estimate_ms, kMinEstimateMs));
}

void SchedulerState::ReserveCapacity(const TaskRef& ref, EndpointState& endpoint, TimePoint until) {
  this->ReleaseReservation(ref.key);
  const Resources capacity = RequiredCapacity(*ref.spec);
  ChangeFreeCapacity(endpoint,
                     [&] { endpoint.reserved_capacity = endpoint.reserved_capacity + capacity; });
  this->reservations[ref.key] = {endpoint.record.id, capacity, until};
}

void SchedulerState::ReleaseReservation(const TaskKey& key) {
  const auto reservation = this->reservations.find(key);
  if (reservation == this->reservations.end()) {
    return;
  }
  if (EndpointState* endpoint = this->FindEndpoint(reservation->second.endpoint)) {
    ChangeFreeCapacity(*endpoint, [&] {
      endpoint->reserved_capacity = endpoint->reserved_capacity - reservation->second.capacity;
    });
  }
  this->reservations.erase(reservation);
}

void SchedulerState::ReleaseExpiredReservations(TimePoint now) {
  std::vector<TaskKey> expired;
  for (const auto& [key, reservation] : this->reservations) {
    if (reservation.until < now) {
      expired.push_back(key);
    }
  }
  for (const TaskKey& key : expired) {
    this->ReleaseReservation(key);
  }
}

void SchedulerState::Claim(const TaskRef& ref, EndpointState& endpoint, std::uint64_t run,
                           TimePoint now) {
  Task& task = *ref.task;
  CHERVILSPAR_ASSERT(task.IsWaiting());
  task.progress.phase = TaskPhase::kPlaced;
  task.progress.run = run;
  task.progress.endpoint = endpoint.record.id;
  task.progress.endpoint_born_ms = endpoint.born_ms;
  task.state = RunState::kRecording;
  task.lacks_target = false;
  task.endpoint = &endpoint;
  task.since = now;
  task.percent = 0;
  task.percent_since = now;
  task.speed_percent = 100;
  task.last_order_sent = now;
  task.is_adopted = false;
  task.is_reported = false;
  task.start_tries = 0;
  task.is_given_up = false;
  task.stop_answered.reset();
  this->AccountUsage(ref, endpoint, true);
  this->MarkDirty(*ref.job);
}

void SchedulerState::Adopt(const TaskRef& ref) {
  Task& task = *ref.task;
  EndpointState& endpoint = this->GetOrCreateEndpoint(task.progress.endpoint);
  // If the registry already lists a newer incarnation, that one may have started the run before the
  // predecessor learned of it. The next status response tells which it is.
  const bool has_restarted = endpoint.born_ms > task.progress.endpoint_born_ms;
  endpoint.born_ms = std::max(endpoint.born_ms, task.progress.endpoint_born_ms);
  endpoint.has_lease_orders = true;
  task.state = RunState::kUnconfirmed;
  task.is_adopted = true;
  this->retry_candidates.insert(ref.key);
  task.endpoint = &endpoint;
  task.since = this->term_start;
  task.percent_since = this->term_start;
  task.speed_percent.reset();
  task.start_expires = this->term_start + this->options.predecessor_grace;
  // A predecessor's start is never repeated; a run that isn't reported is stopped.
  task.start_tries = this->options.start_tries;
  const Duration longest_lease =
      has_restarted
          ? this->options.LongestLeaseOfLateOrder(this->options.order_delay_limit)
          : this->options.LongestLeaseOfLateOrder(this->options.unheard_order_delay_limit);
  endpoint.lease_end = std::max(endpoint.lease_end,
                                this->term_start + this->options.predecessor_grace + longest_lease);
  this->AccountUsage(ref, endpoint, true);
}

void SchedulerState::Release(const TaskRef& ref) {
  Task& task = *ref.task;
  if (task.state == RunState::kNone) {
    return;
  }
  this->AccountUsage(ref, *task.endpoint, false);
  this->link.budget.Release(task.reserved_bytes);
  task.reserved_bytes = 0;
  task.state = RunState::kNone;
  task.endpoint = nullptr;
  task.ticket.clear();
  task.progress.endpoint.clear();
  task.progress.endpoint_born_ms = 0;
  if (task.progress.phase == TaskPhase::kPlaced) {
    task.progress.phase = TaskPhase::kWaiting;
  }
  this->MarkDirty(*ref.job);
  this->RefreshReady(*ref.job);
}

/// A token that this owner has issued since voids the order as well. Only a token that it has not
/// issued shows a later owner.
void SchedulerState::OnTokenTooLow(const std::string& id, std::uint64_t token) {
  const EndpointState* const endpoint = this->FindEndpoint(id);
  this->is_superseded =
      this->is_superseded || (endpoint != nullptr && token >= endpoint->order_token);
}

/// If a member of a gang never starts or is lost, the others would occupy their capacity and wait
/// for it until their endpoints end them.
void SchedulerState::StopGang(const TaskRef& ref, TimePoint now) {
  if (!ref.spec->is_gang) {
    return;
  }
  for (std::uint32_t i = 0; i < ref.step->tasks.size(); ++i) {
    TaskKey key = ref.key;
    key.index = i;
    this->BeginStop(this->Find(key), now);
  }
}

void SchedulerState::BeginStop(const TaskRef& ref, TimePoint now) {
  Task& task = *ref.task;
  if (task.state == RunState::kRecording) {
    this->Release(ref);
    return;
  }
  if (task.state == RunState::kNone || task.state == RunState::kStopping) {
    return;
  }
  task.state = RunState::kStopping;
  this->retry_candidates.insert(ref.key);
  task.since = now;
  task.last_order_sent = TimePoint{};
  task.stop_answered.reset();
}

void SchedulerState::MarkStarted(const TaskRef& ref, const EndpointState& endpoint, TimePoint now) {
  JobState& job = *ref.job;
  if (!job.has_started) {
    job.has_started = true;
    job.start_observed = now;
    this->ReportStart(ref, endpoint, now);
  }
  // Without a record of the start, a successor would treat the job as waiting.
  const bool is_long = job.job.IsLongRunning() || ref.spec->estimate_ms >= kLongTaskMs;
  if (job.stored_phase == JobPhase::kQueued &&
      (is_long || now - job.start_observed >= kStartRecordDelay)) {
    this->MarkDirty(job);
  }
}

void SchedulerState::ReportStart(const TaskRef& ref, const EndpointState& endpoint, TimePoint now) {
  const JobState& job = *ref.job;
  if (!job.first_start_sent) {
    this->ReportEvent(
        {"job_found_running", ref.key, {}, endpoint.record.id, "started by an earlier owner"});
    return;
  }
  this->ReportEvent({"job_started",
                     ref.key,
                     {},
                     endpoint.record.id,
                     std::to_string(this->wall_ms - job.job.accepted_ms) +
                         " ms after it was accepted, " +
                         std::to_string(job.deadline_ms - this->wall_ms) +
                         " ms before its deadline; its first start was sent " +
                         std::to_string(ToMilliseconds(now - *job.first_start_sent)) + " ms ago"});
}

void SchedulerState::MarkDone(const TaskRef& ref, TimePoint now) {
  Task& task = *ref.task;
  if (task.progress.phase == TaskPhase::kDone) {
    return;
  }
  task.progress.phase = TaskPhase::kDone;
  task.progress.checkpoint.clear();
  ++ref.step->done;
  if (task.state != RunState::kNone) {
    this->BeginStop(ref, now);
  }
  if (ref.step->IsDone()) {
    this->Advance(*ref.job, ref.key.occurrence);
  }
  this->MarkDirty(*ref.job);
  this->RefreshReady(*ref.job);
}

void SchedulerState::StopAll(JobState& job, TimePoint now) {
  for (auto& [number, occurrence] : job.occurrences) {
    for (std::uint32_t step = 0; step < occurrence.steps.size(); ++step) {
      for (std::uint32_t index = 0; index < occurrence.steps[step].tasks.size(); ++index) {
        this->BeginStop(this->Find({job.job.id, number, step, index}), now);
      }
    }
  }
  this->RefreshReady(job);
}

void SchedulerState::VisitClaims(const std::function<void(const TaskRef&)>& visit) {
  for (const JobId& id : this->claiming_jobs) {
    JobState* job = this->FindJob(id);
    if (job == nullptr) {
      continue;
    }
    for (auto& [number, occurrence] : job->occurrences) {
      for (std::uint32_t i = 0; i < occurrence.steps.size(); ++i) {
        StepState& step = occurrence.steps[i];
        std::uint32_t left = step.claims;
        for (std::uint32_t index = 0; left > 0 && index < step.tasks.size(); ++index) {
          if (step.tasks[index].endpoint != nullptr) {
            visit({job,
                   &occurrence,
                   &step,
                   &job->job.steps[i],
                   &step.tasks[index],
                   {id, number, i, index}});
            --left;
          }
        }
      }
    }
  }
}

bool SchedulerState::HasStartingTask(const EndpointState& endpoint) {
  if (endpoint.long_running_claims == 0) {
    return false;
  }
  return std::any_of(endpoint.claims.begin(), endpoint.claims.end(), [this](const TaskKey& key) {
    const TaskRef ref = this->Find(key);
    const Task& task = *ref.task;
    const bool is_starting = task.state == RunState::kActive && task.percent < kReadyPercent;
    return ref.spec->is_long_running && (is_starting || task.state == RunState::kUnconfirmed);
  });
}

void SchedulerState::MarkDirty(JobState& job) {
  if (!job.is_dirty && !job.is_rejected) {
    job.is_dirty = true;
    this->dirty.push_back(job.job.id);
  }
}

void SchedulerState::ReportEvent(DecisionEvent note) {
  if (this->notes.size() >= kMaxNotes) {
    ++this->notes_dropped;
    return;
  }
  this->notes.push_back(std::move(note));
}

}  // namespace chervilspar::jobs
