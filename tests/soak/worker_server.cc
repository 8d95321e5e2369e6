#include "tests/soak/worker_server.h"

#include "platform/endpoint_link.h"
#include "platform/wire_json.h"

namespace chervilspar::soak {

namespace asio = boost::asio;
namespace json = boost::json;
using jobs::OrderOutcome;

namespace {

constexpr Duration kDarkWait = std::chrono::seconds(5);

std::int64_t ClockMs() {
  const auto now = SystemClock().Now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
}

http::Response Answer(unsigned status, json::object body) {
  body["clock_ms"] = ClockMs();
  http::Response response;
  response.status = status;
  response.headers.Add("Content-Type", "application/json");
  response.body = json::serialize(body);
  return response;
}

http::Response AnswerTo(OrderOutcome outcome) {
  switch (outcome) {
    case OrderOutcome::kDone:
      return Answer(200, {});
    case OrderOutcome::kTokenTooLow:
      return Answer(409, {{"reason", "fence"}});
    case OrderOutcome::kRunTooOld:
      return Answer(409, {{"reason", "old"}});
    case OrderOutcome::kTooLate:
      return Answer(409, {{"reason", "late"}});
    default:
      return Answer(503, {});
  }
}

const char* WordFor(jobs::RunEnd end) {
  switch (end) {
    case jobs::RunEnd::kDone:
      return "done";
    case jobs::RunEnd::kStopped:
      return "stopped";
    case jobs::RunEnd::kLeaseLapsed:
      return "lapsed";
    default:
      return "failed";
  }
}

}  // namespace

asio::awaitable<http::Response> WorkerServer::Handle(http::Request request,
                                                     std::shared_ptr<http::CancelToken>) {
  if (request.headers.Find("Chervilspar-Target-Worker").value_or("") != this->id) {
    co_return Answer(421, {});
  }
  const std::string_view path = http::PathOf(request.target);
  if (path == "/-/hold") {
    co_return co_await this->RenewLease(request);
  }
  if (path == "/-/run-start") {
    co_return co_await this->Start(request);
  }
  const Result<json::object> body = adapter::ParseObject(request.body);
  const std::optional<jobs::TaskKey> task =
      body ? adapter::ParseTaskName(adapter::JsonObjectReader(*body).Text("task")) : std::nullopt;
  if (path != "/-/run-stop" || !task) {
    co_return Answer(400, {});
  }
  jobs::StopOrder order;
  order.endpoint = this->id;
  order.task = *task;
  order.run = static_cast<std::uint64_t>(adapter::JsonObjectReader(*body).Integer("run"));
  order.token = static_cast<std::uint64_t>(adapter::JsonObjectReader(*body).Integer("fence"));
  const OrderOutcome outcome = co_await this->link.Stop(std::move(order), kDarkWait);
  co_return AnswerTo(outcome);
}

asio::awaitable<http::Response> WorkerServer::RenewLease(const http::Request& request) {
  const Result<json::object> body = adapter::ParseObject(request.body);
  if (!body) {
    co_return Answer(400, {});
  }
  const adapter::JsonObjectReader fields(*body);
  jobs::RenewalOrder order;
  order.endpoint = this->id;
  order.token = static_cast<std::uint64_t>(fields.Integer("fence"));
  order.confirmed_end = static_cast<std::uint64_t>(fields.Integer("ack_cursor"));
  order.wait = std::chrono::milliseconds(fields.Integer("wait_ms"));
  if (fields.Has("until_ms")) {
    order.lease_end_ms = fields.Integer("until_ms");
  }
  const job_entry::RenewalOutcome held =
      co_await this->link.RenewLease(std::move(order), kDarkWait);
  if (!held.report) {
    co_return AnswerTo(held.outcome);
  }
  json::array active;
  for (const jobs::ActiveRun& run : held.report->active) {
    active.push_back(json::array{adapter::TaskName(run.task), run.run, "", run.percent, 0});
  }
  json::array finished;
  for (const jobs::EndedRun& run : held.report->ended) {
    finished.push_back(
        json::array{run.number, adapter::TaskName(run.task), run.run, WordFor(run.end), ""});
  }
  co_return Answer(200,
                   {{"born", held.report->born_ms}, {"active", active}, {"finished", finished}});
}

asio::awaitable<http::Response> WorkerServer::Start(const http::Request& request) {
  const Result<json::object> body = adapter::ParseObject(request.body);
  const std::optional<jobs::TaskKey> task =
      body ? adapter::ParseTaskName(adapter::JsonObjectReader(*body).Text("task")) : std::nullopt;
  if (!task) {
    co_return Answer(400, {});
  }
  const adapter::JsonObjectReader fields(*body);
  jobs::StartOrder order;
  order.endpoint = this->id;
  order.task = *task;
  order.run = static_cast<std::uint64_t>(fields.Integer("run"));
  order.token = static_cast<std::uint64_t>(fields.Integer("fence"));
  order.lease_end_ms = fields.Integer("until_ms");
  const std::size_t before = this->all.starts.size();
  const jobs::StartAnswer answer = co_await this->link.Start(std::move(order), kDarkWait);
  const OrderOutcome outcome = answer.outcome;
  if (outcome == OrderOutcome::kDone && this->all.starts.size() > before) {
    this->CheckTurn(*task);
  }
  co_return AnswerTo(outcome);
}

void WorkerServer::CheckTurn(const jobs::TaskKey& task) {
  const auto counts = this->asked.find(task.job);
  if (counts == this->asked.end()) {
    this->all.violations.push_back(jobs::ToString(task) + " was started, and nobody asked for it");
    return;
  }
  if (task.step == 0) {
    return;
  }
  for (std::uint32_t i = 0; i < counts->second[task.step - 1]; ++i) {
    if (!this->all.done.contains({task.job, task.occurrence, task.step - 1, i})) {
      this->all.violations.push_back(jobs::ToString(task) + " was started before its turn");
      return;
    }
  }
}

}  // namespace chervilspar::soak
