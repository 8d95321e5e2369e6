#include "log_standin.h"

#include <algorithm>
#include <charconv>

#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>

namespace chervilspar::standins {

namespace asio = boost::asio;
namespace json = boost::json;
using std::chrono::milliseconds;

namespace {

constexpr std::size_t kMaxRecord = std::size_t{1024} * 1024;
constexpr milliseconds kPollInterval(5);

std::int64_t NumberOr(const std::string& target, std::string_view name, std::int64_t fallback) {
  const auto text = http::QueryParameter(target, name);
  std::int64_t number = fallback;
  if (text) {
    std::from_chars(text->data(), text->data() + text->size(), number);
  }
  return number;
}

}  // namespace

asio::awaitable<Reply> LogStandin::Handle(http::Request request) {
  if (this->outage) {
    co_return JsonReply(R"({"code":"outage"})", 503);
  }
  co_await Sleep(milliseconds(this->slow_ms));
  if (http::PathOf(request.target) != "/v1/log/records") {
    co_return JsonReply("{}", 404);
  }
  if (request.method == "POST") {
    co_return this->Append(std::move(request.body));
  }
  Reply reply = co_await this->Read(request.target);
  co_return reply;
}

Reply LogStandin::Append(std::string data) {
  if (data.size() > kMaxRecord) {
    return JsonReply(R"({"code":"too-large"})", 413);
  }
  this->records.push_back(std::move(data));
  Reply reply = JsonReply(R"({"offset":)" + std::to_string(this->Next() - 1) + "}");
  reply.fault = this->lose_answers ? WireFault::kSilent : WireFault::kNone;
  this->Trim();
  return reply;
}

asio::awaitable<Reply> LogStandin::Read(std::string target) {
  const std::int64_t from = NumberOr(target, "from", 0);
  const std::int64_t max = NumberOr(target, "max", 100);
  std::int64_t wait_ms = NumberOr(target, "wait_ms", 0);
  while (from >= this->Next() && wait_ms > 0 && !this->outage) {
    co_await Sleep(kPollInterval);
    wait_ms -= kPollInterval.count();
  }
  if (this->outage) {
    co_return JsonReply(R"({"code":"outage"})", 503);
  }
  if (from < this->first) {
    co_return JsonReply("{" + this->Bounds() + "}", 410);
  }
  json::array batch;
  for (std::int64_t at = from; at < std::min(this->Next(), from + max); ++at) {
    batch.push_back({{"offset", at}, {"data", this->records[at - this->first]}});
  }
  co_return JsonReply("{" + this->Bounds() + R"(,"records":)" + json::serialize(batch) + "}");
}

std::int64_t LogStandin::Next() const {
  return this->first + static_cast<std::int64_t>(this->records.size());
}

std::string LogStandin::Bounds() const {
  return R"("first":)" + std::to_string(this->first) + R"(,"next":)" + std::to_string(this->Next());
}

void LogStandin::Trim() {
  while (static_cast<std::int64_t>(this->records.size()) > this->retain) {
    this->records.pop_front();
    ++this->first;
  }
}

bool LogStandin::Apply(const json::object& switches) {
  this->outage = FlagOr(switches, "outage", this->outage);
  this->lose_answers = FlagOr(switches, "lose_answers", this->lose_answers);
  this->slow_ms = IntegerOr(switches, "slow_ms", this->slow_ms);
  this->retain = IntegerOr(switches, "retain", this->retain);
  this->Trim();
  return true;
}

std::optional<std::string> LogStandin::Report(const std::string& name) {
  if (name != "records") {
    return std::nullopt;
  }
  std::string lines;
  for (const std::string& record : this->records) {
    lines += record + "\n";
  }
  return lines;
}

}  // namespace chervilspar::standins
