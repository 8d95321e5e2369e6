#include "tests/soak/store_server.h"

#include <array>
#include <charconv>

#include <openssl/evp.h>

#include "platform/record_frames.h"
#include "platform/wire_json.h"

namespace chervilspar::soak {

namespace asio = boost::asio;
namespace json = boost::json;
using job_entry::AppendOutcome;
using job_entry::Topic;

namespace {

/// A call that meets a store that is down waits this long before it gets its error.
constexpr Duration kDownWait = std::chrono::seconds(3);
constexpr std::size_t kReadHeader = 16;

constexpr std::array<std::pair<std::string_view, Topic>, 6> kTopics = {{
    {"keyed.op", Topic::kOperators},
    {"keyed.servers", Topic::kEndpoints},
    {"keyed.status", Topic::kStatus},
    {"keyed.chervilspar-owners", Topic::kOwners},
    {"keyed.chervilspar-jobs", Topic::kJobs},
    {"keyed.chervilspar-progress", Topic::kProgress},
}};

http::Response Answer(unsigned status, const json::object& body) {
  http::Response response;
  response.status = status;
  response.headers.Add("Content-Type", "application/json");
  response.body = json::serialize(body);
  return response;
}

std::uint64_t NumberIn(const http::Request& request, std::string_view name) {
  const std::string_view text = http::QueryParameter(request.target, name).value_or("0");
  std::uint64_t number = 0;
  std::from_chars(text.data(), text.data() + text.size(), number);
  return number;
}

std::optional<Topic> TopicIn(const http::Request& request) {
  const std::string_view name = http::QueryParameter(request.target, "topic").value_or("");
  for (const auto& [known, topic] : kTopics) {
    if (known == name) {
      return topic;
    }
  }
  return std::nullopt;
}

std::string Base64(const std::string& bytes) {
  std::string text(4 * ((bytes.size() + 2) / 3) + 1, '\0');
  const int length = EVP_EncodeBlock(reinterpret_cast<unsigned char*>(text.data()),
                                     reinterpret_cast<const unsigned char*>(bytes.data()),
                                     static_cast<int>(bytes.size()));
  text.resize(static_cast<std::size_t>(length));
  return text;
}

std::string BigEndian(std::uint64_t number) {
  std::string bytes;
  for (int shift = 56; shift >= 0; shift -= 8) {
    bytes.push_back(static_cast<char>((number >> shift) & 0xff));
  }
  return bytes;
}

}  // namespace

asio::awaitable<http::Response> StoreServer::Handle(http::Request request,
                                                    std::shared_ptr<http::CancelToken>) {
  const std::string_view path = http::PathOf(request.target);
  if (path == "/-/log-append" && TopicIn(request)) {
    co_return co_await this->Append(request);
  }
  if (path == "/-/log-read" && TopicIn(request)) {
    co_return co_await this->Read(request);
  }
  if (path == "/-/log-newest" && TopicIn(request)) {
    co_return co_await this->ReadNewest(request);
  }
  if (path == "/-/log-join") {
    co_return co_await this->Join(request);
  }
  if (path == "/-/log-owners") {
    co_return co_await this->Members();
  }
  if (path == "/-/log-leave") {
    const Result<json::object> body = adapter::ParseObject(request.body);
    std::string member = body ? adapter::JsonObjectReader(*body).Text("member") : "";
    const Status left = co_await this->link.Leave(std::move(member), kDownWait);
    co_return Answer(left ? 200 : 503, {});
  }
  co_return Answer(404, {});
}

asio::awaitable<http::Response> StoreServer::Append(const http::Request& request) {
  std::optional<adapter::ReadFrames> frames =
      adapter::ParseReadFrames(std::string(kReadHeader, '\0') + request.body);
  if (!frames) {
    co_return Answer(400, {});
  }
  std::optional<job_entry::Writer> writer;
  if (const auto name = http::QueryParameter(request.target, "producer")) {
    writer =
        job_entry::Writer{std::string(*name), NumberIn(request, "epoch"), NumberIn(request, "seq")};
  }
  const auto part = static_cast<std::uint32_t>(NumberIn(request, "part"));
  const std::size_t count = frames->records.size();
  AppendOutcome outcome;
  if (http::QueryParameter(request.target, "at")) {
    outcome = co_await this->link.AppendAt(*TopicIn(request), part, std::move(frames->records),
                                           NumberIn(request, "at"), kDownWait);
  } else {
    outcome = co_await this->link.Append(*TopicIn(request), part, std::move(frames->records),
                                         writer, kDownWait);
  }
  switch (outcome.kind) {
    case AppendOutcome::Kind::kStored:
      co_return Answer(200, {{"offset", outcome.offset}, {"end_offset", outcome.offset + count}});
    case AppendOutcome::Kind::kFenced:
      co_return Answer(409, {{"reason", "fenced"}});
    case AppendOutcome::Kind::kOutOfSequence:
      co_return Answer(409, {{"reason", "seq"}, {"seq", outcome.expected}});
    case AppendOutcome::Kind::kEndMismatch:
      co_return Answer(412, {});
    case AppendOutcome::Kind::kNotStored:
      co_return Answer(503, {});
    case AppendOutcome::Kind::kRejected:
      co_return Answer(413, {});
    case AppendOutcome::Kind::kUnknown:
      break;
  }
  co_return Answer(504, {});
}

asio::awaitable<http::Response> StoreServer::Read(const http::Request& request) {
  const std::uint64_t from = NumberIn(request, "from");
  const auto part = static_cast<std::uint32_t>(NumberIn(request, "part"));
  const Result<job_entry::ReadOutcome> read =
      co_await this->link.Read(*TopicIn(request), part, from,
                               std::chrono::milliseconds(NumberIn(request, "wait_ms")), kDownWait);
  if (!read) {
    co_return Answer(503, {});
  }
  http::Response response;
  response.body = BigEndian(read->next) + BigEndian(0) + adapter::FrameRecords(read->records);
  co_return response;
}

asio::awaitable<http::Response> StoreServer::ReadNewest(const http::Request& request) {
  const auto part = static_cast<std::uint32_t>(NumberIn(request, "part"));
  const Result<job_entry::NewestOutcome> newest =
      co_await this->link.ReadNewest(*TopicIn(request), part, kDownWait);
  if (!newest) {
    co_return Answer(503, {});
  }
  json::array items;
  for (const job_entry::KeyedRecord& record : newest->records) {
    items.push_back({{"key", record.key}, {"value", Base64(*record.value)}, {"offset", 0}});
  }
  co_return Answer(200, {{"items", items}, {"has_more", false}, {"end_offset", newest->next}});
}

asio::awaitable<http::Response> StoreServer::Join(const http::Request& request) {
  const Result<json::object> body = adapter::ParseObject(request.body);
  if (!body) {
    co_return Answer(400, {});
  }
  const adapter::JsonObjectReader fields(*body);
  const Result<job_entry::Membership> joined = co_await this->link.Join(
      fields.Text("member"), 0, std::chrono::milliseconds(fields.Integer("ttl_ms")), kDownWait);
  if (!joined) {
    co_return Answer(503, {});
  }
  json::array parts;
  if (joined->is_chosen) {
    parts.push_back(json::array{"chervilspar-seat-0", 0, 0});
  }
  co_return Answer(200, {{"generation", joined->generation}, {"parts", parts}});
}

asio::awaitable<http::Response> StoreServer::Members() {
  const Result<std::vector<std::string>> members = co_await this->link.Members(kDownWait);
  if (!members) {
    co_return Answer(503, {});
  }
  json::array rows;
  for (const std::string& member : *members) {
    rows.push_back(json::array{"chervilspar-seat-0", 0, member, 0});
  }
  co_return Answer(200, {{"owners", rows}});
}

}  // namespace chervilspar::soak
