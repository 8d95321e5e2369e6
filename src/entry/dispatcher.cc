#include "entry/dispatcher.h"

#include <algorithm>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/this_coro.hpp>

#include "entry/settings_view.h"

namespace chervilspar::entry {

namespace asio = boost::asio;
using load_balancing::Outcome;

namespace {

/// Connections to one endpoint: it takes 64 from all entries, and up to nine entries share it.
constexpr std::size_t kConnectionsPerEndpoint = 12;
constexpr Duration kActTimeout = std::chrono::seconds(2);

http::ClientLimits LimitsOf(const EntrySettings& settings) {
  http::ClientLimits limits;
  limits.connections_per_address = kConnectionsPerEndpoint;
  limits.connect_timeout = std::min<Duration>(settings.peer_timeout, std::chrono::seconds(1));
  return limits;
}

std::int64_t ToMillis(Duration span) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(span).count();
}

Outcome OutcomeOfNotRun(std::string_view said) {
  if (said == "full") {
    return Outcome::kFull;
  }
  if (said == "draining") {
    return Outcome::kDraining;
  }
  if (said == "late") {
    return Outcome::kLate;
  }
  return said == "unfit" ? Outcome::kUnfit : Outcome::kUnreachable;
}

TryEnd Lost(std::string message) {
  return {Outcome::kLost,
          Verdict::kMayHaveRun,
          std::nullopt,
          {ErrorCode::kDataLoss, "endpoint", std::move(message)},
          Duration::zero()};
}

}  // namespace

Dispatcher::Dispatcher(const EntryContext& context, LimitKeeper& limits, DrainWatch& drains)
    : context(context),
      limits(limits),
      drains(drains),
      client(LimitsOf(context.settings), RoutesOf(context.settings)) {}

http::Request Dispatcher::MakeRequest(const TaskOrder& order, const CallerRequest& request) const {
  http::Request out;
  out.method = "POST";
  out.target = "/v1/tasks";
  const std::int64_t start_by = ToMillis(order.start.permit.start_by.time_since_epoch());
  // The endpoint need not run a task past its caller's deadline, nor past what the limits count.
  const Duration lease = std::min(order.start.permit.task_lease, order.left);
  out.headers.Add("Chervilspar-Task-Id", order.start.task.text);
  out.headers.Add("Chervilspar-Service", order.service.text);
  out.headers.Add("Chervilspar-Team", order.start.start.ticket.team.text);
  out.headers.Add("Chervilspar-Request-Id", order.request.text);
  out.headers.Add("Chervilspar-Start-By-Unix-Ms", std::to_string(start_by));
  out.headers.Add("Chervilspar-Task-Lease-Ms",
                  std::to_string(std::max<std::int64_t>(1, ToMillis(lease))));
  if (!request.content_type.empty()) {
    out.headers.Add("Content-Type", request.content_type);
  }
  out.body = request.body;
  return out;
}

TryEnd Dispatcher::Judge(http::Exchange exchange, const TaskOrder& order) const {
  if (!exchange.response) {
    const bool is_not_run = exchange.verdict == Verdict::kNotRun;
    const bool has_no_connection = exchange.reason.code == ErrorCode::kResourceExhausted;
    const Outcome unsent = has_no_connection ? Outcome::kFull : Outcome::kUnreachable;
    return {is_not_run ? unsent : Outcome::kLost, exchange.verdict, std::nullopt,
            std::move(exchange.reason), Duration::zero()};
  }
  http::Response& response = *exchange.response;
  if (const auto said = response.headers.Find("Chervilspar-Not-Run")) {
    // A duplicate was seen before under the same task id, which is never sent twice: something
    // on the way repeated it, and the first copy may have run.
    if (*said == "duplicate") {
      return Lost("the endpoint had seen the task before");
    }
    if (*said == "draining") {
      this->drains.OnDraining(order.start.start.endpoint);
    }
    return {OutcomeOfNotRun(*said),
            Verdict::kNotRun,
            std::nullopt,
            {ErrorCode::kUnavailable, "endpoint", "not run: " + std::string(*said)},
            Duration::zero()};
  }
  // What goes wrong otherwise: an answer meant for another task reaches this caller, who reads
  // somebody else's booking as its own.
  const std::string_view expected = order.start.task.text;
  if (response.headers.Find("Chervilspar-Task-Id") != expected) {
    return Lost("the answer names another task");
  }
  const Outcome outcome = response.status >= 500 ? Outcome::kFailed : Outcome::kCompleted;
  return {outcome, Verdict::kCompleted, std::move(response), Reason{}, Duration::zero()};
}

asio::awaitable<TryEnd> Dispatcher::Send(TaskOrder order, const CallerRequest& request,
                                         std::shared_ptr<PendingRequest> pending) {
  const Result<SocketAddress> address = ParseSocketAddress(order.address);
  if (!address) {
    this->limits.OnEnded(order.start.task);
    co_return TryEnd{.reason = {ErrorCode::kUnavailable, "endpoint", "no longer takes new work"}};
  }
  const TimePoint sent_at = this->context.Now();
  http::Exchange exchange = co_await this->client.Send(*address, this->MakeRequest(order, request),
                                                       order.left, pending->ExchangeToken());
  TryEnd end = this->Judge(std::move(exchange), order);
  end.measured = this->context.Now() - sent_at;
  if (end.verdict == Verdict::kMayHaveRun) {
    asio::co_spawn(co_await asio::this_coro::executor, this->CancelTask(*address, order.start.task),
                   asio::detached);
  } else {
    this->limits.OnEnded(order.start.task);
  }
  if (pending->TakeStopping() && end.outcome == Outcome::kFailed) {
    end.outcome = Outcome::kStopped;
  }
  if (pending->IsCallerGone() && !end.response) {
    end.outcome = Outcome::kStopped;
  }
  co_return end;
}

asio::awaitable<void> Dispatcher::CancelTask(SocketAddress address, TaskId task) {
  http::Request request;
  request.method = "DELETE";
  request.target = "/v1/tasks/" + task.text;
  const http::Exchange exchange =
      co_await this->client.Send(address, std::move(request), kActTimeout, nullptr);
  if (!exchange.response || exchange.response->status != 200) {
    co_return;
  }
  const std::string& body = exchange.response->body;
  const bool has_ended = body.find("\"stopped\"") != std::string::npos ||
                         body.find("\"finished\"") != std::string::npos ||
                         body.find("\"not-started\"") != std::string::npos;
  if (has_ended) {
    this->limits.OnEnded(task);
  }
}

asio::awaitable<void> Dispatcher::SendTaskAct(std::string address, TaskId task, std::string act) {
  const Result<SocketAddress> parsed = ParseSocketAddress(address);
  if (!parsed) {
    co_return;
  }
  http::Request request;
  request.method = "POST";
  request.target = "/v1/tasks/" + task.text + "/" + act;
  co_await this->client.Send(*parsed, std::move(request), kActTimeout, nullptr);
}

}  // namespace chervilspar::entry
