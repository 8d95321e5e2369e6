#include "job_entry/owner_term.h"

#include <algorithm>

#include "job_entry/round_pause.h"

namespace chervilspar::job_entry {

namespace asio = boost::asio;

namespace {

/// Between two rounds without new facts: leases lapse, occurrences become due, pauses end.
constexpr Duration kRoundInterval = std::chrono::milliseconds(100);
/// Between the starts of two appends. Each is billed and takes 4 ms at the store; a task waits for
/// half of this on average.
constexpr Duration kAppendInterval = std::chrono::milliseconds(35);
constexpr Duration kLoadRetryDelay = std::chrono::milliseconds(100);
constexpr Duration kAdviceTimeout = std::chrono::milliseconds(1500);
/// Between two checks for jobs that have ended, and for registrations that weren't renewed after an
/// outage of the store.
constexpr Duration kReviewInterval = std::chrono::milliseconds(250);
/// "No such job" needs a job list that is more recent than this: callers are promised that a job is
/// visible 3 s after its acceptance.
constexpr Duration kMaxJobListAge = std::chrono::milliseconds(2500);
/// Between two removals of the submissions of ended jobs.
constexpr Duration kDropInterval = std::chrono::milliseconds(2000);
/// A job id, a separator and the number of a part.
constexpr std::size_t kMaxProgressKeyBytes = 32;
/// Maximum number of expired jobs that are dropped at once.
constexpr std::size_t kMaxDropped = 200;

jobs::SchedulerOptions OptionsFor(const Context& context) {
  jobs::SchedulerOptions options = context.settings.decisions.scheduler;
  options.lease = std::min(options.lease, context.settings.lease_limit);
  options.lease_limit = context.settings.lease_limit;
  options.progress_form = context.settings.progress_form;
  options.reports_routine_events = context.settings.log_level <= telemetry::LogLevel::kDebug;
  options.max_record_bytes = context.settings.record_limit - kMaxProgressKeyBytes;
  return options;
}

void AddRecords(jobs::Batch batch, std::vector<KeyedRecord>& records) {
  for (jobs::ProgressRecord& record : batch.records) {
    records.push_back(
        {ProgressKey(jobs::ToString(record.job), record.part), std::move(record.text)});
  }
  for (jobs::LapseRecord& record : batch.lapses) {
    const bool is_lapse = record.kind == jobs::LapseRecord::Kind::kLapse;
    records.push_back(
        {(is_lapse ? kLapsePrefix : kLongLeasePrefix) + record.endpoint, std::move(record.text)});
  }
}

}  // namespace

OwnerTerm::OwnerTerm(const Context& context, OperatorView& operators, OwnerDirectory& directory,
                     std::string member, const ProgressWriter& writer, std::uint64_t token)
    : context(context),
      operators(operators),
      directory(directory),
      member(std::move(member)),
      token(token),
      began(context.Now()),
      scheduler(OptionsFor(context), token, this->began, writer.LastProof()),
      link_meter(context, this->scheduler),
      writer(writer),
      job_log(context, this->scheduler, [this] { this->RequestRound(); }),
      registry(context, [this] { this->OnEndpointsChanged(); }),
      sender(
          context, this->scheduler, [this] { this->RequestRound(); },
          [this](const std::string& endpoint) {
            return this->operators.MayStartIn(this->scheduler.ZoneOf(endpoint));
          }),
      keeper(std::make_shared<LeaseKeeper>(
          context, OptionsFor(context), token, [this] { return this->LastProof(); },
          [this] { this->Stop("an endpoint has seen a higher token"); })),
      vms(context, operators, directory, this->scheduler, *this, this->member, token),
      share_metrics(context.metrics),
      admission(context, this->scheduler),
      decide(std::make_shared<http::Wakeup>(context.io.get_executor())),
      store(std::make_shared<http::Wakeup>(context.io.get_executor())),
      advise(std::make_shared<http::Wakeup>(context.io.get_executor())) {}

void OwnerTerm::Start() { Spawn(this->context, this->Run(this->shared_from_this())); }

void OwnerTerm::Stop(const std::string& reason) {
  if (this->is_stopped) {
    return;
  }
  this->is_stopped = true;
  LogEvent(telemetry::LogLevel::kInfo, "term_ended", reason,
           {{"token", std::to_string(this->token)}});
  this->job_log.Stop();
  this->registry.Stop();
  this->sender.Stop();
  this->keeper->Stop();
  this->vms.Stop();
  this->share_metrics.Clear();
  this->decide->Notify();
  this->store->Notify();
  this->advise->Notify();
}

void OwnerTerm::RequestRound() { this->decide->Notify(); }

void OwnerTerm::WakeEndpoint(const std::string& endpoint) { this->sender.WakeEndpoint(endpoint); }

void OwnerTerm::OnVmRecords() { this->store->Notify(); }

asio::awaitable<void> OwnerTerm::Run(std::shared_ptr<OwnerTerm> self) {
  while (!this->is_stopped && !this->is_loaded) {
    this->is_loaded = co_await this->Load();
    if (!this->is_loaded) {
      co_await Pause(this->context, kLoadRetryDelay);
    }
  }
  if (this->is_stopped) {
    co_return;
  }
  LogEvent(telemetry::LogLevel::kInfo, "term_began", "this entry schedules jobs from now on",
           {{"token", std::to_string(this->token)},
            {"jobs", std::to_string(this->scheduler.JobCount())},
            {"endpoints", std::to_string(this->registry.Count())},
            {"kept", std::to_string(this->keeper->Leases().RenewedCount())},
            {"took_ms", MillisecondsText(this->context.Now() - this->began)}});
  this->job_log.Follow();
  Spawn(this->context, this->DecideLoop(self));
  Spawn(this->context, this->StoreLoop(self));
  Spawn(this->context, this->AdviceLoop(self));
  for (const std::string& endpoint : this->scheduler.EndpointIds()) {
    this->sender.AddEndpoint(endpoint);
  }
  this->registry.Follow();
  Spawn(this->context, [](std::shared_ptr<OwnerTerm> term) -> asio::awaitable<void> {
    co_await term->vms.Run(term->began, term);
  }(self));
  while (!this->is_stopped) {
    co_await Pause(this->context, kReviewInterval);
    if (!this->is_stopped) {
      this->registry.DropLapsed();
      this->UpdateShareMetrics();
      this->link_meter.UpdateMetrics();
      co_await this->DropEnded();
    }
  }
}

void OwnerTerm::OnEndpointsChanged() {
  if (!this->is_loaded || this->is_stopped) {
    return;
  }
  const auto span = this->context.Measure(telemetry::WorkPart::kReadEndpoints);
  const jobs::EndpointChanges changes = this->registry.TakeChanges();
  const std::vector<std::string> forgotten =
      this->scheduler.UpdateEndpoints(changes, this->context.Now());
  if (this->context.links.fleet_observer != nullptr) {
    this->context.links.fleet_observer->UpdateEndpoints(changes);
  }
  for (const jobs::EndpointRecord& record : changes.registered) {
    this->sender.AddEndpoint(record.id);
  }
  this->sender.DropEndpoints(forgotten);
  this->RequestRound();
}

void OwnerTerm::SetEndpoints() {
  const auto span = this->context.Measure(telemetry::WorkPart::kReadEndpoints);
  const std::vector<jobs::EndpointRecord> endpoints = this->registry.Endpoints();
  this->scheduler.SetEndpoints(endpoints, this->context.Now());
  if (this->context.links.fleet_observer != nullptr) {
    this->context.links.fleet_observer->SetEndpoints(endpoints);
  }
}

void OwnerTerm::ApplyOperatorSettings() {
  this->scheduler.SetCordonedZones(this->operators.CordonedZones());
  const std::shared_ptr<const jobs::Policy> policy = this->operators.Policy();
  if (policy && policy->version > this->policy_version) {
    this->policy_version = policy->version;
    this->scheduler.SetPolicy(*policy);
  }
}

TimePoint OwnerTerm::LastProof() const {
  return std::max(this->writer.LastProof(), this->directory.Proof().value_or(TimePoint{}));
}

/// An entry that is cut off from the store but not from the endpoints would continue to renew
/// leases, and its successor couldn't know for how long. So renewals pause a fixed time after the
/// last proof that there is no successor. The successor waits this time out where it can't reach an
/// endpoint itself.
void OwnerTerm::CheckProof() {
  const TimePoint last = this->LastProof();
  this->scheduler.SetProof(last);
  const bool may_renew = this->scheduler.MayRenew(this->context.Now());
  if (may_renew == this->may_renew) {
    return;
  }
  this->may_renew = may_renew;
  LogEvent(may_renew ? telemetry::LogLevel::kInfo : telemetry::LogLevel::kWarning,
           may_renew ? "renewals_resumed" : "renewals_paused",
           may_renew ? "the store confirms that there is no other owner"
                     : "the store has not confirmed in time that there is no other owner",
           {{"age_ms", MillisecondsText(this->context.Now() - last)}});
}

/// While there is nothing to write or to order, neither the store nor an endpoint reports a higher
/// token, and callers of this entry would get the state before its successor took over. So the
/// claims are checked as well.
void OwnerTerm::CheckClaims() {
  const std::optional<OwnerClaim> owner = this->directory.Owner();
  if (!owner) {
    return;
  }
  if (owner->member == this->member) {
    this->is_own_claim_seen = true;
  } else if (this->is_own_claim_seen) {
    this->Stop(owner->entry + " has claimed after this entry");
  }
}

asio::awaitable<void> OwnerTerm::DecideLoop([[maybe_unused]] std::shared_ptr<OwnerTerm> self) {
  while (!this->is_stopped) {
    this->ApplyOperatorSettings();
    this->CheckProof();
    this->CheckClaims();
    if (this->is_stopped) {
      break;
    }
    this->link_meter.Report();
    const TimePoint begin = this->context.Now();
    this->Decide();
    const Duration taken = this->context.Now() - begin;
    if (this->scheduler.HasBatch()) {
      this->store->Notify();
    }
    this->vms.OnReports();
    this->advise->Notify();
    this->LogNotes();
    this->CountPreemptions();
    if (this->scheduler.IsSuperseded()) {
      this->Stop("an endpoint has seen a higher token");
      break;
    }
    co_await this->decide->WaitFor(kRoundInterval);
    co_await Pause(this->context, PauseAfterRound(taken));
  }
}

void OwnerTerm::Decide() {
  const auto span = this->context.Measure(telemetry::WorkPart::kDecide);
  this->sender.Send(this->scheduler.Decide(this->context.Now(), this->context.clock.WallNow()));
}

asio::awaitable<void> OwnerTerm::StoreLoop([[maybe_unused]] std::shared_ptr<OwnerTerm> self) {
  while (!this->is_stopped) {
    const bool has_batch = this->scheduler.HasBatch();
    if (!has_batch && !this->vms.HasRecords()) {
      co_await this->store->WaitFor(kRoundInterval);
      continue;
    }
    const TimePoint begin = this->context.Now();
    std::vector<KeyedRecord> records = this->vms.TakeRecords();
    if (has_batch) {
      const auto span = this->context.Measure(telemetry::WorkPart::kRecord);
      AddRecords(this->scheduler.TakeBatch(), records);
    }
    const std::optional<std::set<std::string>> rejected =
        co_await this->StoreRecords(std::move(records));
    if (!rejected) {
      co_return;
    }
    this->OnRecordsStored(*rejected, has_batch);
    co_await this->DropExpired();
    const Duration passed = this->context.Now() - begin;
    if (passed < kAppendInterval) {
      co_await Pause(this->context, kAppendInterval - passed);
    }
  }
}

void OwnerTerm::OnRecordsStored(const std::set<std::string>& rejected, bool has_batch) {
  std::set<jobs::JobId> jobs;
  for (const std::string& key : rejected) {
    if (const std::optional<jobs::JobId> id = jobs::ParseJobId(key)) {
      jobs.insert(*id);
    }
  }
  // A VM order whose record is rejected isn't sent.
  const auto is_of_vms = [](const std::string& key) {
    return VmDriver::IsWaveKey(key) || VmDriver::IsMoveKey(key);
  };
  if (std::none_of(rejected.begin(), rejected.end(), is_of_vms)) {
    this->vms.OnRecordsStored();
  }
  if (has_batch) {
    this->ApplyOperatorSettings();
    const auto span = this->context.Measure(telemetry::WorkPart::kRecord);
    this->sender.Send(this->scheduler.ConfirmBatch(this->context.Now(), jobs));
    this->sender.OnStored();
    this->RequestRound();
  }
}

asio::awaitable<std::optional<std::set<std::string>>> OwnerTerm::StoreRecords(
    std::vector<KeyedRecord> records) {
  this->link_meter.OnRecords(records);
  std::set<std::string> rejected;
  std::vector<std::vector<KeyedRecord>> remaining =
      DivideByLimit(std::move(records), this->context.settings.append_limit);
  while (!remaining.empty()) {
    std::vector<KeyedRecord> next = std::move(remaining.back());
    remaining.pop_back();
    const FencedWrite written = co_await this->StoreAppend(next);
    if (written == FencedWrite::kStored) {
      continue;
    }
    if (written != FencedWrite::kRejected) {
      co_return std::nullopt;
    }
    std::vector<std::vector<KeyedRecord>> halves = Halve(std::move(next));
    if (halves.size() == 1) {
      rejected.insert(this->ReportRejected(halves.front()));
    } else {
      std::move(halves.begin(), halves.end(), std::back_inserter(remaining));
    }
  }
  if (this->is_stopped) {
    co_return std::nullopt;
  }
  co_return rejected;
}

asio::awaitable<FencedWrite> OwnerTerm::StoreAppend(const std::vector<KeyedRecord>& records) {
  if (records.empty()) {
    co_return FencedWrite::kStored;
  }
  const TimePoint begin = this->context.Now();
  const FencedWrite written = co_await this->writer.Write(records, this->is_stopped);
  if (written == FencedWrite::kSuperseded) {
    this->Stop("another owner has a higher token");
  }
  this->context.metrics.Sample({"chervilspar_progress_append_seconds", {}},
                               std::chrono::duration<double>(this->context.Now() - begin).count());
  co_return written;
}

std::string OwnerTerm::ReportRejected(const std::vector<KeyedRecord>& group) {
  std::string key = GroupKeyOf(group.front().key);
  this->context.metrics.Count({"chervilspar_records_rejected_total", {}});
  LogEvent(telemetry::LogLevel::kError, "records_rejected", "the store will not accept them",
           {{"record", key},
            {"records", std::to_string(group.size())},
            {"bytes", std::to_string(SizeInAppend(group))}});
  return key;
}

/// Not with each batch: each append is billed, and only a successor reads what is left.
asio::awaitable<void> OwnerTerm::DropEnded() {
  const std::vector<jobs::JobId> ended = this->scheduler.TakeEndedJobs();
  this->ended.insert(this->ended.end(), ended.begin(), ended.end());
  if (this->ended.empty() || this->context.Now() - this->ended_dropped_at < kDropInterval) {
    co_return;
  }
  this->ended_dropped_at = this->context.Now();
  const bool is_dropped = co_await this->job_log.DropEnded(this->ended);
  if (is_dropped) {
    this->ended.clear();
  }
}

asio::awaitable<void> OwnerTerm::DropExpired() {
  const std::vector<jobs::JobId> expired =
      this->scheduler.ExpiredJobs(this->context.clock.WallNow(), kMaxDropped);
  if (expired.empty()) {
    co_return;
  }
  // The submission first: progress without a submission is harmless, while a submission without
  // progress is a job that has yet to run.
  const bool is_dropped = co_await this->job_log.Drop(expired);
  if (is_dropped && !this->is_stopped) {
    this->scheduler.Forget(expired);
  }
}

asio::awaitable<void> OwnerTerm::AdviceLoop([[maybe_unused]] std::shared_ptr<OwnerTerm> self) {
  while (!this->is_stopped && this->context.links.advice != nullptr) {
    const std::vector<jobs::AdviceRequest> questions =
        this->scheduler.TakeAdviceRequests(this->context.Now());
    for (const jobs::AdviceRequest& question : questions) {
      const Result<std::vector<jobs::AdviceTicket>> tickets =
          co_await this->context.links.advice->Ask(question, kAdviceTimeout);
      if (this->is_stopped) {
        co_return;
      }
      if (tickets) {
        this->scheduler.OnAdvice(question, *tickets, this->context.Now());
        this->RequestRound();
      } else {
        LogEvent(telemetry::LogLevel::kWarning, "advice_failed", ToString(tickets.LastReason()), {},
                 jobs::ToString(question.step.job));
      }
    }
    if (questions.empty()) {
      co_await this->advise->WaitFor(kRoundInterval);
    }
  }
}

void OwnerTerm::LogNotes() {
  const auto span = this->context.Measure(telemetry::WorkPart::kLog);
  for (const jobs::DecisionEvent& note : this->scheduler.TakeEvents()) {
    std::vector<telemetry::LogField> fields;
    if (note.task) {
      fields.push_back({"task", jobs::ToString(*note.task)});
    }
    if (!note.endpoint.empty()) {
      fields.push_back({"endpoint", note.endpoint});
    }
    const jobs::JobId job = note.task ? note.task->job : note.job.value_or(jobs::JobId{});
    const bool is_routine = note.weight == jobs::EventImportance::kRoutine;
    LogEvent(is_routine ? telemetry::LogLevel::kDebug : telemetry::LogLevel::kInfo, note.event,
             note.why, std::move(fields), jobs::ToString(job));
  }
}

void OwnerTerm::UpdateShareMetrics() {
  if (this->context.settings.decisions.scheduler.divides_shares) {
    this->share_metrics.Update(this->scheduler.Shares(), this->scheduler.JobsBehindShare(),
                               this->operators.Policy().get());
  }
}

void OwnerTerm::CountPreemptions() {
  const jobs::PreemptionCounts counts = this->scheduler.TakePreemptionCounts();
  if (counts == jobs::PreemptionCounts{}) {
    return;
  }
  telemetry::MetricsRegistry& metrics = this->context.metrics;
  metrics.Count({"chervilspar_runs_preempted_total", {{"saved", "true"}}},
                static_cast<double>(counts.saved));
  metrics.Count({"chervilspar_runs_preempted_total", {{"saved", "false"}}},
                static_cast<double>(counts.unsaved));
  metrics.Count({"chervilspar_preempted_work_core_seconds_total", {}},
                counts.discarded_core_seconds);
}

OwnerTerm::Answer OwnerTerm::Find(const jobs::JobId& id) const {
  if (!this->IsServing()) {
    return {};
  }
  if (const std::optional<jobs::JobView> view = this->scheduler.Find(id)) {
    return {Knowledge::kKnown, view->phase};
  }
  // A job that another entry has just accepted may not have been read yet.
  const bool is_certain = this->job_log.IsFresh(kMaxJobListAge);
  return {is_certain ? Knowledge::kNoSuchJob : Knowledge::kUnsure, jobs::JobPhase::kQueued};
}

std::optional<std::uint64_t> OwnerTerm::PendingIn(const std::string& queue) const {
  if (!this->IsServing() || !this->job_log.IsFresh(kMaxJobListAge)) {
    return std::nullopt;
  }
  return this->scheduler.PendingIn(queue);
}

std::optional<jobs::AdmissionOutlook> OwnerTerm::Outlook(const jobs::AdmissionQuestion& question) {
  const std::optional<jobs::Resources> listed = this->vms.ListedCapacity();
  if (!this->IsServing() || !this->job_log.IsFresh(kMaxJobListAge) || !listed) {
    return std::nullopt;
  }
  return this->admission.Answer(question, *listed);
}

}  // namespace chervilspar::job_entry
