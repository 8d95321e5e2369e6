#include "job_entry/caller_handler.h"

#include "job_entry/append_plan.h"

namespace chervilspar::job_entry {

namespace asio = boost::asio;

namespace {

/// Another entry, or the next owner, usually responds within a second.
constexpr int kRetryAfterSeconds = 1;
/// Operators lift a cordon once their work on the zone is done, which takes seconds at least.
constexpr int kCordonedRetryAfterSeconds = 2;

}  // namespace

http::Response RetryLaterResponse(unsigned status, std::string_view code, std::string_view message,
                                  int seconds) {
  http::Response response = http::ErrorResponse(status, code, message);
  response.headers.Add("Retry-After", std::to_string(seconds));
  return response;
}

CallerHandler::CallerHandler(const Context& context, OperatorView& operators, JobWriter& writer,
                             JobQueries& queries, AdmissionView* admission)
    : context(context),
      operators(operators),
      writer(writer),
      queries(queries),
      admission(admission) {}

const CallerFormat& CallerHandler::FormatFor(const http::Request& request) const {
  if (NativeCallerFormat::Matches(request)) {
    return this->native_format;
  }
  return *this->context.links.callers;
}

void CallerHandler::Count(const char* call, unsigned status) {
  this->context.metrics.Count(
      {"chervilspar_calls_total", {{"call", call}, {"status", std::to_string(status)}}});
}

std::optional<http::Response> CallerHandler::Reject(const CallerCall& call,
                                                    const jobs::Policy& policy) const {
  if (call.queue == nullptr) {
    return http::ErrorResponse(404, "not_found", "There is no such queue.");
  }
  if (!call.queue->is_public && !policy.team_of_key.contains(call.key)) {
    return http::ErrorResponse(401, "unauthenticated", "The key is missing or not accepted.");
  }
  if (call.action == CallerAction::kUnknown) {
    return http::ErrorResponse(405, "unsupported", "A queue takes GET, POST and DELETE.");
  }
  if (call.action != CallerAction::kCountPending && !call.id) {
    return http::ErrorResponse(400, "invalid_argument",
                               "id: \"" + call.id_text + "\" should be 16 hexadecimal digits");
  }
  return std::nullopt;
}

asio::awaitable<http::Response> CallerHandler::Handle(http::Request request,
                                                      std::shared_ptr<http::CancelToken>) {
  const std::shared_ptr<const jobs::Policy> policy = this->operators.Policy();
  // Keys are accepted only while the rules are known to be up to date. Otherwise, an entry that is
  // cut off from the store would run work for callers whose keys have been withdrawn.
  if (policy == nullptr || !this->operators.IsFresh(this->context.settings.key_proof_limit)) {
    this->Count("any", 503);
    co_return RetryLaterResponse(503, "not_ready",
                                 "The operators' rules are not known for certain here.",
                                 kRetryAfterSeconds);
  }
  const CallerFormat& format = this->FormatFor(request);
  CallerCall call = format.Read(request, *policy);
  if (std::optional<http::Response> rejection = this->Reject(call, *policy)) {
    this->Count("refused", rejection->status);
    co_return *std::move(rejection);
  }
  const auto team = policy->team_of_key.find(call.key);
  const TeamId team_id = team == policy->team_of_key.end() ? TeamId{} : team->second;
  const std::string queue = call.queue->name;
  const ServiceId service = call.queue->service;
  switch (call.action) {
    case CallerAction::kSubmit:
      co_return co_await this->Submit(request, std::move(call), format, team_id, queue, service);
    case CallerAction::kFind:
      co_return co_await this->Find(std::move(call), format);
    case CallerAction::kCancel:
      co_return co_await this->Cancel(std::move(call), format);
    case CallerAction::kCountPending:
      co_return co_await this->CountPending(queue, format);
    case CallerAction::kUnknown:
      break;
  }
  co_return http::ErrorResponse(405, "unsupported", "A queue takes GET, POST and DELETE.");
}

asio::awaitable<http::Response> CallerHandler::Submit(const http::Request& request, CallerCall call,
                                                      const CallerFormat& format, TeamId team,
                                                      std::string queue, ServiceId service) {
  Result<jobs::Job> parsed = format.ReadJob(request);
  if (!parsed) {
    this->Count("submit", 400);
    co_return http::ErrorResponse(400, "invalid_argument", ToString(parsed.LastReason()));
  }
  jobs::Job job = *std::move(parsed);
  job.id = *call.id;
  job.queue = std::move(queue);
  job.service = std::move(service);
  job.team = std::move(team);
  if (const std::shared_ptr<const jobs::Policy> policy = this->operators.Policy()) {
    job.terms = policy->TermsFor(job.queue, job.team);
  }
  job.accepted_ms = std::chrono::duration_cast<std::chrono::milliseconds>(
                        this->context.clock.WallNow().time_since_epoch())
                        .count();
  if (const Status status = jobs::CheckSubmission(job); !status) {
    this->Count("submit", 400);
    co_return http::ErrorResponse(400, "invalid_argument", ToString(status.LastReason()));
  }
  if (const bool is_blocked = co_await this->IsBlockedByCordons(job.id); is_blocked) {
    this->Count("submit", 503);
    LogEvent(telemetry::LogLevel::kInfo, "job_refused", "all zones are cordoned; not run",
             {{"queue", job.queue}}, jobs::ToString(job.id));
    co_return RetryLaterResponse(503, "unavailable",
                                 "All zones are cordoned; the job does not run.",
                                 kCordonedRetryAfterSeconds);
  }
  std::optional<JobRefusal> refusal;
  if (this->admission != nullptr) {
    refusal = co_await this->admission->Review(job);
  }
  if (refusal) {
    this->Count("submit", 429);
    co_return RetryLaterResponse(429, refusal->code, refusal->message, refusal->return_after_s);
  }
  KeyedRecord record{SubmissionKey(job.id), jobs::EncodeJob(job)};
  if (SizeInAppend(record) > this->context.settings.record_limit) {
    this->Count("submit", 413);
    co_return http::ErrorResponse(413, "too_large",
                                  "steps: the job takes " + std::to_string(SizeInAppend(record)) +
                                      " bytes to store, more than the " +
                                      std::to_string(this->context.settings.record_limit) +
                                      " that the store accepts");
  }
  const WriteVerdict verdict = co_await this->writer.Write(std::move(record));
  const std::string id = jobs::ToString(job.id);
  switch (verdict) {
    case WriteVerdict::kStored:
      this->Count("submit", 200);
      LogEvent(telemetry::LogLevel::kInfo, "job_accepted", "stored",
               {{"queue", job.queue}, {"team", job.team.text}, {"shape", jobs::DescribeShape(job)}},
               id);
      co_return format.Accepted();
    case WriteVerdict::kNotStored:
      this->Count("submit", 503);
      LogEvent(telemetry::LogLevel::kWarning, "job_refused",
               "the store did not accept the job; not run", {{"queue", job.queue}}, id);
      co_return RetryLaterResponse(503, "unavailable", "The job was not stored and does not run.",
                                   kRetryAfterSeconds);
    case WriteVerdict::kRejected:
      this->Count("submit", 413);
      LogEvent(telemetry::LogLevel::kError, "job_refused",
               "the store will not accept the job's record; not run", {{"queue", job.queue}}, id);
      co_return http::ErrorResponse(413, "too_large", "The store will not accept the job.");
    case WriteVerdict::kMayBeStored:
      break;
  }
  this->Count("submit", 504);
  LogEvent(telemetry::LogLevel::kWarning, "job_unsure",
           "the store has not responded; the job may run", {{"queue", job.queue}}, id);
  co_return http::ErrorResponse(504, "may_have_run", "The store has not answered; it may run.");
}

/// A job that was accepted earlier is not rejected when its caller submits it again.
asio::awaitable<bool> CallerHandler::IsBlockedByCordons(jobs::JobId id) {
  if (!this->operators.AreAllZonesCordoned()) {
    co_return false;
  }
  const OwnerTerm::Answer answer = co_await this->queries.Find(id);
  co_return answer.knowledge == OwnerTerm::Knowledge::kNoSuchJob;
}

asio::awaitable<http::Response> CallerHandler::Find(CallerCall call, const CallerFormat& format) {
  const OwnerTerm::Answer answer = co_await this->queries.Find(*call.id);
  switch (answer.knowledge) {
    case OwnerTerm::Knowledge::kKnown:
      this->Count("find", 200);
      co_return format.Phase(answer.phase);
    case OwnerTerm::Knowledge::kNoSuchJob:
      this->Count("find", 410);
      co_return format.NoSuchJob();
    case OwnerTerm::Knowledge::kUnsure:
      break;
  }
  this->Count("find", 503);
  co_return RetryLaterResponse(503, "unavailable", "The entry that schedules can't be asked now.",
                               kRetryAfterSeconds);
}

asio::awaitable<http::Response> CallerHandler::Cancel(CallerCall call, const CallerFormat& format) {
  // Written whether or not this entry knows the job: its submission may still be in flight through
  // another entry, and the job must not run after this response.
  KeyedRecord record{CancellationKey(*call.id), "1"};
  const WriteVerdict verdict = co_await this->writer.Write(std::move(record));
  const std::string id = jobs::ToString(*call.id);
  if (verdict == WriteVerdict::kStored) {
    this->Count("cancel", 200);
    LogEvent(telemetry::LogLevel::kInfo, "cancel_accepted", "stored", {}, id);
    co_return format.Accepted();
  }
  const bool is_uncertain = verdict == WriteVerdict::kMayBeStored;
  this->Count("cancel", is_uncertain ? 504 : 503);
  LogEvent(telemetry::LogLevel::kWarning, "cancel_failed",
           "the store did not confirm the cancellation", {}, id);
  if (is_uncertain) {
    co_return http::ErrorResponse(504, "may_have_run", "It may have been cancelled.");
  }
  co_return RetryLaterResponse(503, "unavailable", "It was not cancelled.", kRetryAfterSeconds);
}

asio::awaitable<http::Response> CallerHandler::CountPending(std::string queue,
                                                            const CallerFormat& format) {
  const std::optional<std::uint64_t> pending = co_await this->queries.PendingIn(std::move(queue));
  this->Count("pending", pending ? 200 : 503);
  if (!pending) {
    co_return RetryLaterResponse(503, "unavailable", "The entry that schedules can't be asked now.",
                                 kRetryAfterSeconds);
  }
  co_return format.Pending(*pending);
}

}  // namespace chervilspar::job_entry
