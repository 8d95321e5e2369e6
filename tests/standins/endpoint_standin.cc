#include "endpoint_standin.h"

#include <charconv>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

namespace chervilspar::standins {

namespace asio = boost::asio;
namespace json = boost::json;
using std::chrono::milliseconds;

namespace {

/// Work is done in pieces of this length, between which orders are looked at.
constexpr std::int64_t kPieceUs = 5'000;

std::int64_t HeaderNumber(const http::Request& request, std::string_view name,
                          std::int64_t fallback) {
  const auto text = request.headers.Find(name);
  std::int64_t number = fallback;
  if (text) {
    std::from_chars(text->data(), text->data() + text->size(), number);
  }
  return number;
}

std::string HeaderText(const http::Request& request, std::string_view name) {
  return std::string(request.headers.Find(name).value_or(""));
}

std::int64_t WorkUs(const std::string& body) {
  if (body.empty() || body.front() != '{') {
    return 0;
  }
  boost::system::error_code error;
  const json::value value = json::parse(body, error);
  return error || !value.is_object() ? 0 : IntegerOr(value.get_object(), "work_ms", 0) * 1000;
}

Reply NotRun(const std::string& why) {
  const unsigned status = why == "duplicate" ? 409 : 503;
  Reply reply = JsonReply(R"({"code":")" + why + R"("})", status);
  reply.response.headers.Add("Chervilspar-Not-Run", why);
  return reply;
}

}  // namespace

EndpointStandin::EndpointStandin(asio::io_context& io, std::string vm, SocketAddress address,
                                 std::size_t slots, std::size_t connections)
    : io(io), vm(std::move(vm)), slots(slots), server(io, std::move(address), *this, connections) {}

asio::awaitable<Reply> EndpointStandin::Handle(http::Request request) {
  const auto segments = http::PathSegments(request.target);
  if (request.method == "POST" && request.target == "/v1/tasks") {
    Reply reply = co_await this->RunTask(std::move(request));
    co_return reply;
  }
  if (request.target == "/v1/usage") {
    co_return JsonReply(this->Usage());
  }
  if (request.target == "/v1/drain" || request.target == "/v1/undrain") {
    const bool wants_drain = request.target == "/v1/drain";
    if (this->draining != wants_drain) {
      this->draining = wants_drain;
      this->Note(!wants_drain, wants_drain ? "drain" : "undrain");
    }
    co_return JsonReply(R"({"running":)" + std::to_string(this->running.size()) + "}");
  }
  const bool is_task = segments.size() >= 3 && segments[1] == "tasks";
  co_return is_task ? this->Act(request) : JsonReply("{}", 404);
}

std::string EndpointStandin::RefusalOf(const http::Request& request) const {
  const std::int64_t start_by = HeaderNumber(request, "Chervilspar-Start-By-Unix-Ms", INT64_MAX);
  if (this->draining) {
    return "draining";
  }
  if (this->seen.contains(HeaderText(request, "Chervilspar-Task-Id"))) {
    return "duplicate";
  }
  if (UnixMicros() / 1000 > start_by) {
    return "late";
  }
  return this->running.size() >= this->slots ? "full" : "";
}

asio::awaitable<Reply> EndpointStandin::RunTask(http::Request request) {
  const std::string refusal = this->RefusalOf(request);
  if (!refusal.empty()) {
    co_return NotRun(refusal);
  }
  const std::string id = HeaderText(request, "Chervilspar-Task-Id");
  LedgerLine line{id,
                  HeaderText(request, "Chervilspar-Request-Id"),
                  HeaderText(request, "Chervilspar-Team"),
                  HeaderText(request, "Chervilspar-Service"),
                  this->vm,
                  UnixMicros(),
                  0,
                  "running"};
  const std::size_t index = this->ledger.size();
  this->ledger.push_back(std::move(line));
  this->seen.emplace(id, index);
  const auto task = std::make_shared<Task>();
  task->id = id;
  task->line = index;
  this->running[id] = task;
  const std::int64_t lease_ms = HeaderNumber(request, "Chervilspar-Task-Lease-Ms", 3'600'000);
  const std::int64_t work_us = this->fail_fast ? 0 : WorkUs(request.body);
  const std::string outcome = co_await this->Work(task, work_us, lease_ms * 1000);
  this->Finish(*task, this->fail_fast && outcome == "done" ? "failed" : outcome);
  co_await Sleep(milliseconds(this->late_ms));
  co_return this->Answer(request, this->ledger[index].outcome);
}

asio::awaitable<std::string> EndpointStandin::Work(std::shared_ptr<Task> task, std::int64_t work_us,
                                                   std::int64_t lease_us) {
  const std::int64_t start = UnixMicros();
  std::int64_t left = work_us * this->slow_factor / 100;
  std::int64_t before = start;
  while (task->order == Order::kNone && left > 0 && UnixMicros() - start < lease_us) {
    co_await Sleep(Duration(std::min(left * task->slow_percent / 100, kPieceUs)));
    const std::int64_t now = UnixMicros();
    left -= (now - before) * 100 / task->slow_percent;
    before = now;
  }
  co_return left > 0 ? "lease-expired" : "done";
}

void EndpointStandin::Finish(const Task& task, const std::string& outcome) {
  if (this->running.erase(task.id) > 0) {
    this->ledger[task.line].end_us = UnixMicros();
    this->ledger[task.line].outcome = outcome;
  }
}

/// Ends a task at once: whoever is told that it has stopped may give its slot and its share of a
/// limit to the next one.
void EndpointStandin::GiveOrder(Task& task, Order order) {
  task.order = order;
  switch (order) {
    case Order::kNone:
      break;
    case Order::kStop:
      this->Finish(task, "stopped");
      break;
    case Order::kCutByReboot:
      this->Finish(task, "cut-by-reboot");
      break;
    case Order::kCutByFailure:
      this->Finish(task, "cut-by-failure");
      break;
  }
}

Reply EndpointStandin::Answer(const http::Request& request, const std::string& outcome) {
  const std::string id = HeaderText(request, "Chervilspar-Task-Id");
  const json::object body{{"vm", this->vm},
                          {"task", id},
                          {"request", HeaderText(request, "Chervilspar-Request-Id")},
                          {"outcome", outcome},
                          {"echo", request.body}};
  Reply reply = JsonReply(json::serialize(body), outcome == "done" ? 200 : 500);
  reply.response.headers.Add("Chervilspar-Task-Id", id);
  if (this->silent) {
    reply.fault = WireFault::kSilent;
  } else if (this->truncate) {
    reply.fault = WireFault::kTruncated;
  }
  return reply;
}

Reply EndpointStandin::Act(const http::Request& request) {
  const auto segments = http::PathSegments(request.target);
  const std::string id(segments[2]);
  if (request.method == "DELETE") {
    return this->Cancel(id);
  }
  const auto found = this->running.find(id);
  if (found == this->running.end() || segments.size() < 4) {
    return JsonReply(R"({"state":"unknown"})", 404);
  }
  const std::shared_ptr<Task> task = found->second;
  if (segments[3] == "throttle") {
    task->slow_percent = 200;
  }
  if (segments[3] == "stop" || segments[3] == "checkpoint") {
    this->GiveOrder(*task, Order::kStop);
  }
  return JsonReply(R"({"state":"running"})");
}

Reply EndpointStandin::Cancel(const std::string& id) {
  const auto found = this->running.find(id);
  if (found != this->running.end()) {
    const std::shared_ptr<Task> task = found->second;
    this->GiveOrder(*task, Order::kStop);
    return JsonReply(R"({"state":"stopped"})");
  }
  const bool is_finished = this->seen.contains(id);
  // A task that comes after its cancellation must not start, or "not-started" was a lie.
  this->seen.emplace(id, 0);
  return JsonReply(is_finished ? R"({"state":"finished"})" : R"({"state":"not-started"})");
}

std::string EndpointStandin::Usage() {
  const std::int64_t now = UnixMicros();
  if (now - this->usage_at_us < this->usage_lag_ms * 1000) {
    return this->usage;
  }
  json::array tasks;
  for (const auto& [id, task] : this->running) {
    const LedgerLine& line = this->ledger[task->line];
    tasks.push_back({{"task", id}, {"team", line.team}, {"cpu_ms", (now - line.start_us) / 1000}});
  }
  const json::object usage{{"slots", this->slots},
                           {"running", this->running.size()},
                           {"queued", 0},
                           {"tasks", tasks},
                           {"as_of_unix_ms", now / 1000}};
  this->usage = json::serialize(usage);
  this->usage_at_us = now;
  return this->usage;
}

void EndpointStandin::Apply(const json::object& switches) {
  this->fail_fast = FlagOr(switches, "fail_fast", this->fail_fast);
  this->silent = FlagOr(switches, "silent", this->silent);
  this->truncate = FlagOr(switches, "truncate", this->truncate);
  this->slow_factor = IntegerOr(switches, "slow_factor", this->slow_factor);
  this->late_ms = IntegerOr(switches, "late_ms", this->late_ms);
  this->usage_lag_ms = IntegerOr(switches, "usage_lag_ms", this->usage_lag_ms);
  const bool wants_down = FlagOr(switches, "down", this->is_down);
  if (wants_down && !this->is_down) {
    this->TakeDown(Order::kCutByFailure);
  } else if (!wants_down && this->is_down) {
    this->BringBack();
  }
  const std::int64_t reboot_ms = IntegerOr(switches, "reboot_ms", 0);
  if (reboot_ms > 0 && !this->is_down) {
    asio::co_spawn(this->io, this->Reboot(reboot_ms), asio::detached);
  }
}

void EndpointStandin::TakeDown(Order order) {
  this->is_down = true;
  const auto cut = this->running;
  for (const auto& [id, task] : cut) {
    this->GiveOrder(*task, order);
  }
  this->server.Stop();
  this->Note(false, order == Order::kCutByReboot ? "reboot" : "failure");
}

void EndpointStandin::BringBack() {
  this->is_down = false;
  this->draining = false;
  this->server.Start();
  this->Note(true, "back");
}

void EndpointStandin::Start() {
  this->server.Start();
  this->Note(true, "start");
}

void EndpointStandin::Note(bool is_available, std::string cause) {
  this->availability.push_back({this->vm, UnixMicros(), is_available, std::move(cause)});
}

asio::awaitable<void> EndpointStandin::Reboot(std::int64_t span_ms) {
  this->TakeDown(Order::kCutByReboot);
  co_await Sleep(milliseconds(span_ms));
  if (this->is_down) {
    this->BringBack();
  }
}

}  // namespace chervilspar::standins
