#include "job_entry/admission_view.h"

#include <algorithm>

#include "job_entry/admission_message.h"
#include "job_entry/ask_owner.h"

namespace chervilspar::job_entry {

namespace asio = boost::asio;

namespace {

/// The shortest time between two questions.
constexpr Duration kMinAskInterval = std::chrono::milliseconds(250);
constexpr Duration kMaxAskInterval = std::chrono::milliseconds(1000);
/// An answer that takes longer would be too old soon after its arrival.
constexpr Duration kAskTimeout = std::chrono::milliseconds(500);
/// How long the owner is asked after the last submission. An entry gets one every one or two
/// seconds on average, and needs the outlook when it comes.
constexpr Duration kActiveTime = std::chrono::seconds(4);
/// Refusals are sent within 50 ms, including the question whether the job is known.
constexpr Duration kFindTimeout = std::chrono::milliseconds(40);

jobs::AdmissionOptions OptionsFor(const Context& context) {
  jobs::AdmissionOptions options;
  options.late_factor = context.settings.decisions.scheduler.late_factor;
  return options;
}

std::string WholeMilliseconds(double ms) {
  constexpr double kMaxShownMs = 1e9;
  return std::to_string(static_cast<std::int64_t>(std::min(ms, kMaxShownMs)));
}

JobRefusal RefusalFor(const jobs::AdmissionDecision& decision) {
  if (decision.reason == jobs::RefusalReason::kExceedsCap) {
    return {"exceeds_cap", "No task of the job fits the limit of its account. It does not run.",
            decision.return_after_s};
  }
  return {"overloaded", "There is no room for the job now. It was not stored and does not run.",
          decision.return_after_s};
}

}  // namespace

AdmissionView::AdmissionView(const Context& context, const OperatorView& operators,
                             const Election& election, const OwnerDirectory& directory,
                             http::Client& client, const JobWriter& writer, JobQueries& queries)
    : context(context),
      operators(operators),
      election(election),
      directory(directory),
      client(client),
      writer(writer),
      queries(queries),
      policy(OptionsFor(context)) {}

asio::awaitable<std::optional<JobRefusal>> AdmissionView::Review(const jobs::Job& job) {
  const std::shared_ptr<const jobs::Policy> rules = this->operators.Policy();
  if (!this->context.settings.decisions.admits_by_outlook || rules == nullptr) {
    co_return std::nullopt;
  }
  this->OnSubmission();
  const jobs::AdmissionRequest request = jobs::MakeAdmissionRequest(job, *rules);
  if (this->writer.IsSlow()) {
    // An earlier submission of the job may be on its way to the store.
    this->policy.Admit(request, this->context.Now());
    co_return std::nullopt;
  }
  const jobs::AdmissionDecision decision = this->policy.Decide(request, this->context.Now());
  if (decision.is_returned) {
    this->context.metrics.Count({"chervilspar_jobs_returned_total",
                                 {{"outcome", decision.IsRefused() ? "refused" : "admitted"}}});
  }
  if (!decision.IsRefused()) {
    co_return std::nullopt;
  }
  const OwnerTerm::Answer answer = co_await this->queries.Find(job.id, kFindTimeout);
  if (answer.knowledge != OwnerTerm::Knowledge::kNoSuchJob) {
    this->policy.Admit(request, this->context.Now());
    co_return std::nullopt;
  }
  this->LogRefusal(job, request, decision);
  co_return RefusalFor(decision);
}

void AdmissionView::LogRefusal(const jobs::Job& job, const jobs::AdmissionRequest& request,
                               const jobs::AdmissionDecision& decision) {
  const std::string reason = jobs::ToString(decision.reason);
  this->context.metrics.Count({"chervilspar_jobs_refused_total", {{"reason", reason}}});
  LogEvent(telemetry::LogLevel::kInfo, "job_refused", "no room for the job; not run",
           {{"queue", job.queue},
            {"team", job.team.text},
            {"reason", reason},
            {"expected_end_ms", WholeMilliseconds(decision.expected_end_ms)},
            {"deadline_ms", WholeMilliseconds(request.objective_ms)},
            {"return_after_s", std::to_string(decision.return_after_s)}},
           jobs::ToString(job.id));
}

void AdmissionView::OnSubmission() {
  this->last_submission = this->context.Now();
  if (!this->is_asking) {
    this->is_asking = true;
    Spawn(this->context, this->AskRepeatedly(this->shared_from_this()));
  }
}

asio::awaitable<void> AdmissionView::AskRepeatedly(
    [[maybe_unused]] std::shared_ptr<AdmissionView> self) {
  while (this->context.Now() - this->last_submission < kActiveTime ||
         this->policy.HasUnreportedRefusals()) {
    const TimePoint sent = this->context.Now();
    const Duration interval = co_await this->Ask();
    const Duration remaining = sent + interval - this->context.Now();
    co_await Pause(this->context, std::max(remaining, Duration::zero()));
  }
  this->is_asking = false;
}

asio::awaitable<Duration> AdmissionView::Ask() {
  const TimePoint sent = this->context.Now();
  const jobs::AdmissionQuestion question{this->context.settings.id.text,
                                         this->policy.UnreportedRefusals(sent)};
  std::optional<jobs::AdmissionOutlook> outlook;
  if (const std::shared_ptr<OwnerTerm> term = this->election.Term()) {
    outlook = term->Outlook(question);
  } else {
    const std::optional<OwnerClaim> owner = this->directory.Owner();
    if (!owner || owner->address == this->context.settings.peers) {
      co_return kMinAskInterval;
    }
    http::Request request;
    request.method = "POST";
    request.target = std::string(kAdmissionPath);
    request.kind = "admission";
    request.body = EncodeAdmissionQuestion(question);
    const std::optional<http::Response> response =
        co_await AskOwner(this->context, this->client, *owner, std::move(request), kAskTimeout);
    if (!response) {
      co_return kMinAskInterval;
    }
    if (response->status == 200) {
      outlook = DecodeAdmissionOutlook(response->body);
    }
  }
  if (!outlook) {
    this->policy.DropOutlook();
    co_return kMinAskInterval;
  }
  const auto interval = std::chrono::duration_cast<Duration>(
      std::chrono::duration<double, std::milli>(std::min(outlook->ask_again_ms, 1e6)));
  this->policy.OnReported(question.refused);
  this->policy.SetOutlook(*std::move(outlook), sent);
  co_return std::clamp(interval, kMinAskInterval, kMaxAskInterval);
}

}  // namespace chervilspar::job_entry
