#include "entry/operator_api.h"

#include <algorithm>
#include <optional>
#include <utility>

#include <boost/asio/this_coro.hpp>
#include <boost/json.hpp>

#include "chervilspar/config_log/key_digest.h"
#include "chervilspar/config_log/record_codec.h"
#include "chervilspar/http/wakeup.h"
#include "chervilspar/inventory/check.h"
#include "chervilspar/inventory/delta.h"
#include "chervilspar/inventory/document.h"
#include "chervilspar/telemetry/timeline.h"

#include "entry/json_answer.h"

namespace chervilspar::entry {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

/// How long a publish may wait for the log; the CLI waits a little longer.
constexpr Duration kAppendTimeout = std::chrono::seconds(20);
constexpr std::string_view kBearer = "Bearer ";

http::Response FaultsAnswer(const std::vector<Reason>& faults) {
  json::array rows;
  for (const Reason& fault : faults) {
    rows.push_back({{"field", fault.field}, {"message", fault.message}});
  }
  return JsonAnswer({{"code", "invalid-argument"},
                     {"field", faults.front().field},
                     {"message", faults.front().message},
                     {"faults", rows}},
                    400);
}

std::vector<Reason> ErrorsOf(const std::vector<inventory::Finding>& findings) {
  std::vector<Reason> errors;
  for (const inventory::Finding& finding : findings) {
    if (finding.severity == inventory::Severity::kError) {
      errors.push_back(finding.reason);
    }
  }
  return errors;
}

http::Response AppendAnswer(const config_log::AppendOutcome& outcome) {
  switch (outcome.result) {
    case config_log::AppendResult::kAccepted:
      return JsonAnswer({{"version", outcome.version}, {"offset", outcome.offset}});
    case config_log::AppendResult::kRejected:
      return ReasonAnswer(outcome.reason.value_or(Reason{ErrorCode::kConflict, "", "rejected"}),
                          409);
    case config_log::AppendResult::kNotAppended:
      return ReasonAnswer({ErrorCode::kUnavailable, "log", "nothing was appended; try again"}, 503);
    case config_log::AppendResult::kUnknown:
      break;
  }
  return ReasonAnswer({ErrorCode::kUnavailable, "log",
                       "the record may have been appended; look at the status before trying again"},
                      504);
}

http::Response WithdrawalAnswer(bool is_logged) {
  return JsonAnswer({{"applied", true}, {"logged", is_logged}});
}

/// A body as a JSON object; none when it is something else.
std::optional<json::object> ReadObject(const std::string& body) {
  boost::system::error_code error;
  json::value value = json::parse(body, error);
  if (error || !value.is_object()) {
    return std::nullopt;
  }
  return std::move(value.as_object());
}

http::Response NotAnObject() {
  return ReasonAnswer({ErrorCode::kMalformed, "body", "expected a JSON object"}, 400);
}

std::string TextOf(const json::object& object, std::string_view name) {
  const json::value* value = object.if_contains(name);
  return value != nullptr && value->is_string() ? std::string(value->as_string()) : std::string();
}

}  // namespace

OperatorApi::OperatorApi(const EntryContext& context, const Parts& parts)
    : context(context), parts(parts) {}

bool OperatorApi::IsOperator(const http::Request& request) const {
  const std::string_view given = request.headers.Find("Authorization").value_or(std::string_view());
  if (!given.starts_with(kBearer)) {
    return false;
  }
  const config_log::KeyDigest digest = config_log::DigestOf(given.substr(kBearer.size()));
  const auto& known = this->context.settings.operator_key_digests;
  return std::any_of(known.begin(), known.end(), [&](const config_log::KeyDigest& key) {
    return config_log::EqualInConstantTime(key, digest);
  });
}

asio::awaitable<http::Response> OperatorApi::Serve(http::Request request) {
  if (!this->IsOperator(request)) {
    co_return ReasonAnswer({ErrorCode::kUnauthenticated, "Authorization", "not an operator's key"},
                           401);
  }
  const std::string path(http::PathOf(request.target));
  if (request.method == "POST" && path == "/v1/operator/publish") {
    co_return co_await this->Publish(request);
  }
  if (request.method == "POST" && path == "/v1/operator/keys") {
    co_return co_await this->GiveKey(request);
  }
  const std::vector<std::string_view> parts = http::PathSegments(path);
  if (request.method == "DELETE" && parts.size() == 4 && parts[2] == "keys") {
    co_return co_await this->WithdrawKey(std::string(parts[3]));
  }
  if (request.method == "POST" && parts.size() == 5 && parts[2] == "entries" &&
      parts[4] == "gone") {
    co_return co_await this->DeclareGone(EntryId{std::string(parts[3])});
  }
  if (request.method != "GET") {
    co_return ReasonAnswer({ErrorCode::kNotFound, "path", "no such call"}, 404);
  }
  if (path == "/v1/operator/status") {
    co_return this->Status();
  }
  if (path == "/v1/operator/inventory") {
    co_return this->Inventory();
  }
  if (path == "/v1/operator/plan") {
    co_return JsonAnswer(this->parts.maintenance.PlanAsJson());
  }
  if (path == "/v1/operator/events") {
    co_return this->Events();
  }
  co_return ReasonAnswer({ErrorCode::kNotFound, "path", "no such call"}, 404);
}

asio::awaitable<http::Response> OperatorApi::Publish(const http::Request& request) {
  const std::optional<json::object> body = ReadObject(request.body);
  const json::value* document = body ? body->if_contains("inventory") : nullptr;
  const json::value* base = body ? body->if_contains("base_version") : nullptr;
  if (document == nullptr || base == nullptr || !base->is_int64()) {
    co_return ReasonAnswer(
        {ErrorCode::kMalformed, "body", "expected {\"base_version\":N,\"inventory\":{...}}"}, 400);
  }
  const inventory::ParseOutcome parsed = inventory::ParseAll(json::serialize(*document));
  if (!parsed.inventory) {
    co_return FaultsAnswer(parsed.faults);
  }
  const std::vector<Reason> errors =
      ErrorsOf(inventory::Check(*parsed.inventory, this->context.WallNow()));
  if (!errors.empty()) {
    co_return FaultsAnswer(errors);
  }
  const auto state = this->parts.config.State();
  if (base->as_int64() != state->version) {
    co_return ReasonAnswer({ErrorCode::kConflict, "base_version",
                            "made from version " + std::to_string(base->as_int64()) +
                                ", but version " + std::to_string(state->version) + " is in force"},
                           409);
  }
  const RecordId id = this->parts.config.MakeRecordId("publish");
  Result<std::vector<config_log::Record>> records =
      config_log::MakePublishRecords(id, this->context.self.id, this->context.WallNow(),
                                     config_log::MakePublish(*state, *parsed.inventory));
  if (!records) {
    co_return ReasonAnswer(records.LastReason(), 413);
  }
  co_return AppendAnswer(co_await this->Append(id, std::move(records).Value()));
}

asio::awaitable<http::Response> OperatorApi::GiveKey(const http::Request& request) {
  const std::optional<json::object> body = ReadObject(request.body);
  if (!body) {
    co_return NotAnObject();
  }
  const TeamId team{TextOf(*body, "team")};
  const Result<config_log::KeyDigest> digest = config_log::ParseKeyDigest(TextOf(*body, "digest"));
  if (!digest) {
    co_return ReasonAnswer(digest.LastReason(), 400);
  }
  if (!this->parts.config.State()->inventory.teams.contains(team)) {
    co_return ReasonAnswer({ErrorCode::kNotFound, "team", "no team '" + team.text + "'"}, 404);
  }
  const RecordId id = this->parts.config.MakeRecordId("key");
  config_log::Record record{id, this->context.self.id, this->context.WallNow(),
                            config_log::KeyGiven{*digest, team}};
  std::vector<config_log::Record> records;
  records.push_back(std::move(record));
  co_return AppendAnswer(co_await this->Append(id, std::move(records)));
}

asio::awaitable<http::Response> OperatorApi::WithdrawKey(std::string digest) {
  const Result<config_log::KeyDigest> parsed = config_log::ParseKeyDigest(digest);
  if (!parsed) {
    co_return ReasonAnswer(parsed.LastReason(), 400);
  }
  this->parts.config.Withdraw(*parsed);
  // In force here and on its way to the peers; the log follows when it answers.
  const bool is_logged = this->parts.config.State()->withdrawn.contains(*parsed);
  co_return WithdrawalAnswer(is_logged);
}

asio::awaitable<http::Response> OperatorApi::DeclareGone(EntryId entry) {
  const RecordId id = this->parts.config.MakeRecordId("entry-gone");
  config_log::Record record{id, this->context.self.id, this->context.WallNow(),
                            config_log::EntryGone{entry}};
  std::vector<config_log::Record> records;
  records.push_back(std::move(record));
  co_return AppendAnswer(co_await this->Append(id, std::move(records)));
}

asio::awaitable<config_log::AppendOutcome> OperatorApi::Append(
    RecordId subject, std::vector<config_log::Record> records) {
  struct Shared {
    std::mutex mutex;
    std::optional<config_log::AppendOutcome> outcome;
  };
  const auto shared = std::make_shared<Shared>();
  const auto wakeup = std::make_shared<http::Wakeup>(co_await asio::this_coro::executor);
  this->parts.config.Submit(subject, std::move(records), kAppendTimeout,
                            [shared, wakeup](const config_log::AppendOutcome& outcome) {
                              {
                                const std::lock_guard lock(shared->mutex);
                                shared->outcome = outcome;
                              }
                              wakeup->Notify();
                            });
  while (true) {
    {
      const std::lock_guard lock(shared->mutex);
      if (shared->outcome) {
        co_return *shared->outcome;
      }
    }
    co_await wakeup->WaitFor(kAppendTimeout);
  }
}

http::Response OperatorApi::Status() const {
  const auto state = this->parts.config.State();
  const auto pending = this->parts.config.PendingWithdrawals();
  json::array steps;
  for (const auto& [id, step] : state->steps) {
    steps.push_back({{"step", id.text},
                     {"vm", step.vm.text},
                     {"action", config_log::ToString(step.action)},
                     {"phase", config_log::ToString(step.phase)},
                     {"executor", step.executor.text}});
  }
  return JsonAnswer({{"entry", this->context.self.id.text},
                     {"zone", this->context.self.zone.text},
                     {"offset", state->next_offset},
                     {"version", state->version},
                     {"log_fresh", this->parts.config.WasLogReadWithin(kViewBound)},
                     {"may_own", this->parts.peers.MayOwn()},
                     {"withdrawals_not_logged", pending.size()},
                     {"peers", this->PeerRows()},
                     {"pools", this->PoolRows()},
                     {"teams", this->TeamRows()},
                     {"services", this->ServiceRows()},
                     {"steps", steps}});
}

json::array OperatorApi::PeerRows() const {
  json::array rows;
  const TimePoint now = this->context.Now();
  for (const auto& [id, entry] : this->parts.config.State()->inventory.entries) {
    if (id == this->context.self.id) {
      continue;
    }
    const membership::PeerView view = this->parts.peers.View(id);
    const bool is_known = view.reachability != membership::Reachability::kUnknown;
    const auto age =
        std::chrono::duration_cast<std::chrono::milliseconds>(now - view.last_contact).count();
    rows.push_back({{"entry", id.text},
                    {"zone", entry.zone.text},
                    {"http_address", entry.http_address},
                    {"fresh", view.reachability == membership::Reachability::kReachable},
                    {"age_ms", is_known ? json::value(age) : json::value(nullptr)},
                    {"offset", view.last.next_offset},
                    {"version", view.last.applied_version}});
  }
  return rows;
}

json::array OperatorApi::PoolRows() const {
  json::array rows;
  const auto state = this->parts.config.State();
  std::map<PoolId, std::uint32_t> vms;
  std::map<PoolId, std::uint32_t> available;
  for (const auto& [id, vm] : state->inventory.vms) {
    ++vms[vm.pool];
    available[vm.pool] += config_log::IsAvailable(*state, id) ? 1 : 0;
  }
  for (const auto& [id, pool] : state->inventory.pools) {
    rows.push_back({{"pool", id.text},
                    {"service", pool.service.text},
                    {"vms", vms[id]},
                    {"available", available[id]},
                    {"min_available", pool.min_available}});
  }
  return rows;
}

json::array OperatorApi::TeamRows() const {
  json::array rows;
  for (const auto& [id, team] : this->parts.config.State()->inventory.teams) {
    const quota::TeamUnits units = this->parts.limits.Units(id);
    rows.push_back({{"team", id.text},
                    {"share", team.share},
                    {"upper_limit", team.upper_limit},
                    {"owned", units.owned},
                    {"borrowed", units.borrowed},
                    {"lent", units.lent},
                    {"running", units.running},
                    {"waiting", units.waiting}});
  }
  return rows;
}

json::array OperatorApi::ServiceRows() const {
  json::array rows;
  for (const auto& host : this->parts.services.All()) {
    json::array ejected;
    for (const VmId& vm : host->EjectedEndpoints()) {
      ejected.push_back(json::value(vm.text));
    }
    rows.push_back({{"service", host->Service().text},
                    {"waiting", host->WaitingCount()},
                    {"running", host->RunningCount()},
                    {"ejected", ejected}});
  }
  return rows;
}

http::Response OperatorApi::Inventory() const {
  const auto state = this->parts.config.State();
  return JsonAnswer(
      {{"version", state->version}, {"inventory", inventory::ToJson(state->inventory)}});
}

http::Response OperatorApi::Events() const {
  http::Response response;
  response.headers.Add("Content-Type", "application/x-ndjson");
  response.body = telemetry::EncodeLines(this->context.events.Events());
  return response;
}

}  // namespace chervilspar::entry
