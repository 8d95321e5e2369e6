#include "bench/fleet/callers.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdio>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include "chervilspar/base/scope_guard.h"
#include "chervilspar/http/blocking_client.h"

namespace chervilspar::scenario {

namespace asio = boost::asio;
namespace json = boost::json;
using std::chrono::milliseconds;

namespace {

/// How much longer than the request's deadline a caller listens.
constexpr std::int64_t kPatienceMs = 3'000;
/// Longest that a caller waits before it asks again.
constexpr std::int64_t kMaxBackOffMs = 1'000;
constexpr std::int64_t kDefaultBackOffMs = 100;
constexpr int kConnectTries = 3;
constexpr std::size_t kConnections = 1'500;
constexpr std::size_t kThreads = 2;
constexpr unsigned kConflict = 409;

http::ClientLimits Limits() {
  http::ClientLimits limits;
  limits.connections_per_address = kConnections;
  return limits;
}

asio::awaitable<void> Sleep(Duration span) {
  asio::steady_timer timer(co_await asio::this_coro::executor);
  timer.expires_after(span);
  co_await timer.async_wait(asio::use_awaitable);
}

std::int64_t BackOffMs(const http::Exchange& exchange) {
  std::int64_t back_off = kDefaultBackOffMs;
  const auto text = exchange.response
                        ? exchange.response->headers.Find("Chervilspar-Retry-After-Ms")
                        : std::nullopt;
  if (text) {
    std::from_chars(text->data(), text->data() + text->size(), back_off);
  }
  return std::min(back_off, kMaxBackOffMs);
}

Verdict VerdictOf(const http::Response& response) {
  const auto text = response.headers.Find("Chervilspar-Verdict");
  for (const Verdict verdict : {Verdict::kNotRun, Verdict::kCompleted}) {
    if (text == ToString(verdict)) {
      return verdict;
    }
  }
  return Verdict::kMayHaveRun;
}

}  // namespace

std::string MakeRequestId(Random& random) {
  const auto ms = static_cast<std::uint64_t>(UnixMicros() / 1000);
  const std::uint64_t high = (ms << 16U) | 0x7000U | (random.Next() & 0x0FFFU);
  const std::uint64_t low = (random.Next() >> 2U) | 0x8000000000000000ULL;
  std::array<char, 37> text{};
  std::snprintf(text.data(), text.size(), "%08x-%04x-%04x-%04x-%012llx",
                static_cast<unsigned>(high >> 32U), static_cast<unsigned>((high >> 16U) & 0xFFFFU),
                static_cast<unsigned>(high & 0xFFFFU), static_cast<unsigned>(low >> 48U),
                static_cast<unsigned long long>(low & 0xFFFFFFFFFFFFULL));
  return text.data();
}

Callers::Callers(Fleet& fleet)
    : fleet(fleet),
      balancer(fleet),
      client(std::make_unique<http::Client>(Limits(), http::Routes{})),
      random(static_cast<std::uint64_t>(UnixMicros())),
      threads(kThreads) {}

Callers::~Callers() {
  this->threads.Stop();
  this->client.reset();
}

void Callers::Start(const CallPlan& plan) {
  this->Began();
  asio::co_spawn(this->threads.Context(0), this->RunPlan(plan), asio::detached);
}

asio::awaitable<void> Callers::RunPlan(CallPlan plan) {
  const ScopeGuard leave([this] { this->Ended(); });
  co_await Sleep(plan.delay);
  for (std::uint32_t i = 0; i < plan.count; ++i) {
    this->Began();
    asio::co_spawn(this->threads.Context(i % this->threads.Count()),
                   this->RunCall(this->MakeCall(plan)), asio::detached);
    co_await Sleep(plan.every);
  }
}

Callers::Call Callers::MakeCall(const CallPlan& plan) {
  const std::lock_guard lock(this->mutex);
  Call call;
  call.plan = plan;
  call.request = RequestId{MakeRequestId(this->random)};
  const json::object body{{"work_ms", plan.work_ms}, {"nonce", this->random.Next()}};
  call.body = json::serialize(body);
  call.key = this->fleet.KeyOf(plan.team);
  return call;
}

asio::awaitable<void> Callers::RunCall(Call call) {
  const ScopeGuard leave([this] { this->Ended(); });
  std::optional<EntryId> before;
  for (std::uint32_t attempt = 0; attempt <= call.plan.retries; ++attempt) {
    EntryId entry = call.plan.via ? *call.plan.via : this->balancer.Next(before);
    CallRecord record;
    record.sent_us = UnixMicros();
    const http::Exchange exchange = co_await this->Send(call, entry);
    record.ended_us = UnixMicros();
    record.entry = entry;
    Judge(call, exchange, record);
    const bool is_settled = record.verdict == Verdict::kCompleted;
    record.is_last = is_settled || attempt == call.plan.retries;
    this->Keep(record);
    if (is_settled) {
      co_return;
    }
    before = entry;
    co_await Sleep(milliseconds(BackOffMs(exchange)));
  }
}

/// Sends to `entry`, or when that can't be reached to others in turn, as a balancer does.
asio::awaitable<http::Exchange> Callers::Send(const Call& call, EntryId& entry) {
  http::Exchange exchange;
  for (int i = 0; i < kConnectTries; ++i) {
    exchange =
        co_await this->client->Send(this->fleet.HttpAddress(entry), MakeRequest(call),
                                    milliseconds(call.plan.timeout_ms + kPatienceMs), nullptr);
    if (exchange.verdict != Verdict::kNotRun || exchange.response || call.plan.via) {
      break;
    }
    entry = this->balancer.Next(entry);
  }
  co_return exchange;
}

http::Request Callers::MakeRequest(const Call& call) {
  http::Request request{
      "POST", "/v1/services/" + call.plan.service.text + "/requests", {}, call.body};
  request.headers.Add("Authorization", "Bearer " + call.key);
  request.headers.Add("Idempotency-Key", call.request.text);
  request.headers.Add("Chervilspar-Timeout-Ms", std::to_string(call.plan.timeout_ms));
  const bool is_idempotent = call.plan.idempotency == Idempotency::kIdempotent;
  request.headers.Add("Chervilspar-Idempotent", is_idempotent ? "true" : "false");
  if (call.plan.is_urgent) {
    request.headers.Add("Chervilspar-Urgent", "true");
  }
  return request;
}

void Callers::Judge(const Call& call, const http::Exchange& exchange, CallRecord& record) {
  record.plan = call.plan.name;
  record.team = call.plan.team;
  record.request = call.request;
  record.idempotency = call.plan.idempotency;
  record.verdict = exchange.verdict;
  if (!exchange.response) {
    record.code = ToString(exchange.reason);
    const bool is_silence = exchange.reason.code == ErrorCode::kDeadlineExceeded;
    const bool is_unsent = exchange.verdict == Verdict::kNotRun;
    record.end =
        is_unsent ? CallEnd::kNotConnected : (is_silence ? CallEnd::kSilence : CallEnd::kCut);
    return;
  }
  record.end = CallEnd::kAnswered;
  record.status = exchange.response->status;
  record.verdict = VerdictOf(*exchange.response);
  boost::system::error_code error;
  const json::value body = json::parse(exchange.response->body, error);
  const json::value* code = body.is_object() ? body.get_object().if_contains("code") : nullptr;
  if (code != nullptr && code->is_string()) {
    record.code = code->get_string().c_str();
  }
  record.is_completed_earlier =
      record.verdict == Verdict::kCompleted && record.status == kConflict && !record.code.empty();
  if (record.verdict != Verdict::kCompleted || record.is_completed_earlier) {
    return;
  }
  const auto is_text = [&](std::string_view name, const std::string& expected) {
    const json::value* value = body.as_object().if_contains({name.data(), name.size()});
    return value != nullptr && value->is_string() && value->get_string() == expected;
  };
  record.is_wrong = error || !body.is_object() || !is_text("echo", call.body) ||
                    !is_text("request", call.request.text);
}

Status Callers::Probe(const TeamId& team, const ServiceId& service, const EntryId& entry,
                      unsigned status) {
  CallPlan plan;
  plan.team = team;
  plan.service = service;
  plan.work_ms = 1;
  plan.timeout_ms = 1'000;
  plan.idempotency = Idempotency::kIdempotent;
  const Call call = this->MakeCall(plan);
  http::BlockingClient own;
  const http::Exchange exchange = own.Call(this->fleet.HttpAddress(entry), MakeRequest(call),
                                           milliseconds(plan.timeout_ms + kPatienceMs));
  if (!exchange.response) {
    return exchange.reason;
  }
  if (exchange.response->status != status) {
    return Reason{ErrorCode::kUnavailable, std::to_string(exchange.response->status),
                  exchange.response->body};
  }
  return Done{};
}

void Callers::Keep(CallRecord record) {
  const std::lock_guard lock(this->mutex);
  this->records.push_back(std::move(record));
}

void Callers::Began() {
  const std::lock_guard lock(this->mutex);
  ++this->running;
}

void Callers::Ended() {
  const std::lock_guard lock(this->mutex);
  --this->running;
  this->changed.notify_all();
}

bool Callers::WaitUntilDone(Duration timeout) {
  std::unique_lock lock(this->mutex);
  return this->changed.wait_for(lock, timeout, [this] { return this->running == 0; });
}

std::vector<CallRecord> Callers::Records() const {
  const std::lock_guard lock(this->mutex);
  return this->records;
}

}  // namespace chervilspar::scenario
