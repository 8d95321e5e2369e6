#include "entry/request_pipeline.h"

#include <algorithm>
#include <utility>

#include <boost/asio/this_coro.hpp>

#include "chervilspar/base/hash.h"
#include "chervilspar/base/scope_guard.h"

namespace chervilspar::entry {

namespace asio = boost::asio;

namespace {

/// How long a request waits for the owner of its id. The owner is one round trip away; when it
/// does not answer by then it is cut off or gone, and a safe refusal beats a guess.
constexpr Duration kOwnerTimeout = std::chrono::seconds(1);
/// When to come back after the owner of the id could not be asked: a heartbeat or two after it is
/// back. Spread over the same span again, so that the callers of a silent owner don't return
/// together.
constexpr Duration kOwnerRetryAfter = std::chrono::milliseconds(1500);
/// The shard gives up late requests within 10 ms; this is for a shard that fails to.
constexpr Duration kGiveUpGrace = std::chrono::seconds(5);

unsigned StatusOf(idempotency::Registration registration) {
  switch (registration) {
    case idempotency::Registration::kRunning:
    case idempotency::Registration::kCompletedEarlier:
    case idempotency::Registration::kMayHaveRun:
    case idempotency::Registration::kTooOld:
      return 409;
    case idempotency::Registration::kFromFuture:
      return 400;
    default:
      return 503;
  }
}

Duration OwnerRetryAfter(const RequestId& id, TimePoint now) {
  const auto seed = static_cast<std::uint64_t>(now.time_since_epoch().count());
  const std::uint64_t spread = StableHash(id.text, seed) % kOwnerRetryAfter.count();
  return kOwnerRetryAfter + Duration(spread);
}

Rejection FromRefusal(const admission::Refusal& refusal, Verdict verdict) {
  return {static_cast<unsigned>(admission::HttpStatus(refusal.code)),
          admission::ToString(refusal.code), refusal.message, verdict, refusal.retry_after};
}

/// What a refusal before the owner of the id was asked may say. A repeat that is refused for a
/// reason of the moment must not be told "not run": its first try may have run, and the caller
/// would make a new request of it.
Verdict VerdictBeforeOwner(const CallerRequest& request, unsigned status) {
  const bool is_repeatable = status == 503 && !request.id.IsEmpty() &&
                             request.idempotency == admission::Idempotency::kNotIdempotent;
  return is_repeatable ? idempotency::VerdictWithoutOwner(idempotency::KeyOrigin::kCaller)
                       : Verdict::kNotRun;
}

Verdict LessCertain(Verdict left, Verdict right) {
  const bool is_unknown = left == Verdict::kMayHaveRun || right == Verdict::kMayHaveRun;
  return is_unknown ? Verdict::kMayHaveRun : std::max(left, right);
}

}  // namespace

RequestPipeline::RequestPipeline(const EntryContext& context, const Parts& parts)
    : context(context), parts(parts) {}

asio::awaitable<http::Response> RequestPipeline::Serve(http::Request request,
                                                       std::shared_ptr<http::CancelToken> caller) {
  ++this->in_flight;
  const ScopeGuard leave([this] { --this->in_flight; });
  Job job;
  job.arrived = this->context.Now();
  auto read = ReadCallerRequest(std::move(request));
  if (auto* rejection = std::get_if<Rejection>(&read)) {
    co_return this->ToHttp(job, std::move(*rejection));
  }
  job.request = std::get<CallerRequest>(std::move(read));
  job.deadline = job.arrived + job.request.timeout;
  std::optional<Rejection> fault = this->Identify(job);
  if (fault) {
    fault->verdict = VerdictBeforeOwner(job.request, fault->status);
    co_return this->ToHttp(job, *std::move(fault));
  }
  job.pending = std::make_shared<PendingRequest>(co_await asio::this_coro::executor);
  const auto hang_up = caller->OnCancel([pending = job.pending] { pending->OnCallerGone(); });
  Answer answer = co_await this->Run(job);
  this->Finish(job, answer);
  co_return this->ToHttp(job, std::move(answer));
}

std::optional<Rejection> RequestPipeline::Identify(Job& job) const {
  std::optional<Rejection> fault = this->Authenticate(job);
  if (!fault) {
    fault = this->FindService(job);
  }
  if (!fault) {
    const bool has_id = !job.request.id.IsEmpty();
    job.id = has_id ? job.request.id : this->parts.ledger.MakeOwnId();
  }
  return fault;
}

std::optional<Rejection> RequestPipeline::Authenticate(Job& job) const {
  const auto state = this->parts.config.State();
  if (state->version == 0) {
    return Rejection{503, "no-configuration", "this entry has no configuration yet",
                     Verdict::kNotRun, std::chrono::seconds(1)};
  }
  if (std::optional<Rejection> stale = this->CheckKeyFreshness(*state)) {
    return stale;
  }
  const std::optional<TeamId> team = this->parts.config.Authenticate(job.request.key);
  if (!team) {
    return Rejection{401, "unauthenticated", "the key is not known or was withdrawn",
                     Verdict::kNotRun, Duration::zero()};
  }
  job.team = *team;
  return std::nullopt;
}

// A zone that hears of nothing would go on honouring a key that was withdrawn outside. The two
// promises clash; the rule in the configuration says for how long serving goes first.
std::optional<Rejection> RequestPipeline::CheckKeyFreshness(
    const config_log::FleetState& state) const {
  const Duration limit = state.inventory.service_rules.key_staleness_limit;
  const bool has_news =
      this->parts.config.WasLogReadWithin(limit) || this->parts.peers.WasPeerHeardWithin(limit);
  if (has_news) {
    return std::nullopt;
  }
  return Rejection{503, "no-news-of-keys", "cut off for too long to know which keys still hold",
                   Verdict::kNotRun, std::chrono::seconds(5)};
}

std::optional<Rejection> RequestPipeline::FindService(Job& job) const {
  job.host = this->parts.services.Find(job.request.service);
  if (job.host == nullptr) {
    return Rejection{404, "unknown-service", "no pool serves '" + job.request.service.text + "'",
                     Verdict::kNotRun, Duration::zero()};
  }
  return std::nullopt;
}

std::optional<Rejection> RequestPipeline::Admit(Job& job) {
  const auto state = this->parts.config.State();
  admission::Ticket ticket;
  ticket.team = job.team;
  ticket.work_class = job.request.work_class;
  ticket.idempotency = job.request.idempotency;
  ticket.arrived = job.arrived;
  ticket.deadline = job.deadline;
  const auto service = state->inventory.services.find(job.request.service);
  if (service != state->inventory.services.end()) {
    ticket.requirement = {service->second.job_cores, service->second.job_memory_mb,
                          service->second.job_accelerators};
  }
  ServiceHost::Admitted admitted = job.host->Admit(ticket, job.pending);
  job.ticket = admitted.ticket;
  if (!admitted.refusal) {
    return std::nullopt;
  }
  return FromRefusal(*admitted.refusal, Verdict::kNotRun);
}

asio::awaitable<RequestPipeline::Answer> RequestPipeline::Run(Job& job) {
  std::optional<Rejection> refused;
  if (job.request.idempotency == admission::Idempotency::kNotIdempotent) {
    refused = co_await this->Register(job);
  }
  if (!refused) {
    refused = this->Admit(job);
  }
  if (refused) {
    co_return *std::move(refused);
  }
  while (true) {
    std::variant<StartOrder, Rejection> start = co_await this->AwaitStart(job);
    if (auto* rejection = std::get_if<Rejection>(&start)) {
      co_return std::move(*rejection);
    }
    std::optional<Answer> answer =
        co_await this->TryOnce(job, std::get<StartOrder>(std::move(start)));
    if (answer) {
      co_return *std::move(answer);
    }
  }
}

// The owner is asked before admission: a refusal says "not run", and that is only true when no
// earlier try with the same id has run, which none but the owner can tell.
asio::awaitable<std::optional<Rejection>> RequestPipeline::Register(Job& job) {
  const auto origin =
      job.request.id.IsEmpty() ? idempotency::KeyOrigin::kEntry : idempotency::KeyOrigin::kCaller;
  job.attempt = this->parts.ledger.Begin(job.id, job.pending);
  const TimePoint until = std::min(job.deadline, this->context.Now() + kOwnerTimeout);
  while (job.attempt) {
    const PendingNews news = job.pending->News();
    if (news.registration == idempotency::Registration::kMayRun) {
      co_return std::nullopt;
    }
    if (news.registration) {
      job.attempt.reset();
      co_return this->RegistrationRefused(job, *news.registration, origin);
    }
    const TimePoint now = this->context.Now();
    if (now >= until || news.is_caller_gone) {
      break;
    }
    co_await job.pending->Wait(until - now);
  }
  if (job.attempt) {
    this->parts.ledger.GiveUp(*job.attempt);
    job.attempt.reset();
  }
  co_return Rejection{
      503, "owner-unreachable", "the entry that owns the request's id did not answer",
      idempotency::VerdictWithoutOwner(origin), OwnerRetryAfter(job.id, this->context.Now())};
}

Rejection RequestPipeline::RegistrationRefused(const Job& job,
                                               idempotency::Registration registration,
                                               idempotency::KeyOrigin origin) const {
  const unsigned status = StatusOf(registration);
  const Duration retry_after =
      status == 503 ? OwnerRetryAfter(job.id, this->context.Now()) : Duration::zero();
  return {status, idempotency::ToString(registration),
          "the owner of the request's id gave no leave to run it",
          idempotency::VerdictOf(registration, origin), retry_after};
}

asio::awaitable<std::variant<StartOrder, Rejection>> RequestPipeline::AwaitStart(Job& job) {
  while (true) {
    if (std::optional<StartOrder> start = job.pending->TakeStart()) {
      co_return *std::move(start);
    }
    const PendingNews news = job.pending->News();
    if (news.given_up) {
      co_return FromRefusal(*news.given_up, job.verdict);
    }
    const TimePoint now = this->context.Now();
    const bool is_too_late = now >= job.deadline + kGiveUpGrace;
    if (news.is_caller_gone || is_too_late) {
      const bool was_waiting = job.host->Cancel(job.ticket) == dispatch::CancelResult::kForgotten;
      if (was_waiting) {
        co_return Rejection{503, "cancelled", "the caller hung up", job.verdict, Duration::zero()};
      }
      // Started or given up between the two looks; the news is there or on its way.
    }
    co_await job.pending->Wait(job.deadline + kGiveUpGrace - now);
  }
}

asio::awaitable<std::optional<RequestPipeline::Answer>> RequestPipeline::TryOnce(Job& job,
                                                                                 StartOrder order) {
  TaskOrder task;
  task.address = job.host->AddressOf(order.start.endpoint);
  task.service = job.request.service;
  task.request = job.id;
  task.left = job.deadline - this->context.Now();
  task.start = order;
  this->context.Note({.kind = telemetry::EventKind::kRequestDispatched,
                      .request = job.id,
                      .team = job.team,
                      .vm = order.start.endpoint});
  TryEnd end = co_await this->parts.dispatcher.Send(std::move(task), job.request, job.pending);
  job.verdict = LessCertain(job.verdict, end.verdict);
  const dispatch::TryResult result = job.host->OnFinished(order, end.outcome, end.measured);
  this->parts.services.OnLimitFreed(job.team);
  if (result.after == dispatch::AfterTry::kWaitsAgain) {
    this->context.Note({.kind = telemetry::EventKind::kRequestRetried,
                        .request = job.id,
                        .team = job.team,
                        .vm = order.start.endpoint,
                        .why = end.reason.message});
    co_return std::nullopt;
  }
  co_return this->AnswerFrom(job, std::move(end), result);
}

RequestPipeline::Answer RequestPipeline::AnswerFrom(Job& job, TryEnd end,
                                                    const dispatch::TryResult& result) const {
  if (end.response) {
    job.verdict = Verdict::kCompleted;
    return *std::move(end.response);
  }
  if (result.refusal) {
    return FromRefusal(*result.refusal, job.verdict);
  }
  if (job.verdict == Verdict::kNotRun) {
    return Rejection{503, "not-run", end.reason.message, Verdict::kNotRun, std::chrono::seconds(1)};
  }
  const bool is_timeout = this->context.Now() >= job.deadline;
  return Rejection{is_timeout ? 504U : 502U, is_timeout ? "deadline-exceeded" : "answer-lost",
                   end.reason.message, Verdict::kMayHaveRun, Duration::zero()};
}

void RequestPipeline::Finish(Job& job, const Answer& answer) {
  const auto* rejection = std::get_if<Rejection>(&answer);
  const Verdict verdict = rejection == nullptr ? Verdict::kCompleted : rejection->verdict;
  if (job.attempt) {
    this->parts.ledger.Finish(*job.attempt, verdict);
  }
  this->context.Note({.kind = rejection == nullptr ? telemetry::EventKind::kRequestAnswered
                                                   : telemetry::EventKind::kRequestRefused,
                      .request = job.id,
                      .team = job.team,
                      .why = rejection == nullptr ? std::string(ToString(verdict))
                                                  : rejection->code + ": " + rejection->message});
}

http::Response RequestPipeline::ToHttp(const Job& job, Answer answer) const {
  const auto* rejection = std::get_if<Rejection>(&answer);
  const Verdict verdict = rejection == nullptr ? Verdict::kCompleted : rejection->verdict;
  const std::string code = rejection == nullptr ? "answered" : rejection->code;
  this->context.metrics.Count(
      {"chervilspar_requests_total",
       {{"code", code}, {"team", job.team.text}, {"verdict", ToString(verdict)}}});
  const Duration span = this->context.Now() - job.arrived;
  this->context.metrics.Sample({"chervilspar_request_seconds", {{"verdict", ToString(verdict)}}},
                               std::chrono::duration<double>(span).count());
  if (rejection != nullptr) {
    return ToResponse(*rejection, job.id);
  }
  http::Response out;
  const http::Response& from_endpoint = std::get<http::Response>(answer);
  out.status = from_endpoint.status;
  out.body = from_endpoint.body;
  if (const auto type = from_endpoint.headers.Find("Content-Type")) {
    out.headers.Add("Content-Type", std::string(*type));
  }
  AddVerdict(out, verdict, job.id);
  return out;
}

}  // namespace chervilspar::entry
