#include "job_entry/record_relay.h"

#include <algorithm>

#include <boost/json.hpp>

#include "job_entry/record_queue.h"

namespace chervilspar::job_entry {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

constexpr std::string_view kRecordsPath = "/v1/records";
/// The timeout for another entry's answer, which takes some 6 ms. If it takes longer than this, the
/// store is slow there as well, and the caller's time is better spent on attempts of this entry.
constexpr Duration kAskTimeout = std::chrono::milliseconds(450);
/// The same for the gathering entry: allows for an append in progress and the next one.
constexpr Duration kGatherTimeout = std::chrono::milliseconds(1200);
/// The timeout of an append for other entries, which may queue behind appends of entries that write
/// their own records.
constexpr Duration kAppendTimeout = std::chrono::milliseconds(900);
/// Peers asked per append. A caller gets an answer within a second when no entry can write.
constexpr std::size_t kMaxPeersAsked = 2;

struct RelayedRecords {
  std::uint32_t partition = 0;
  std::vector<KeyedRecord> records;
};

std::string EncodeRecords(std::uint32_t partition, const std::vector<KeyedRecord>& records) {
  json::array rows;
  for (const KeyedRecord& record : records) {
    rows.push_back(json::array{record.key, record.value.value_or("")});
  }
  return json::serialize(json::object{{"partition", partition}, {"records", std::move(rows)}});
}

/// Decodes a pair of key and value; nothing if the row is malformed.
std::optional<KeyedRecord> DecodeRow(const json::value& row) {
  const bool is_pair = row.is_array() && row.as_array().size() == 2 &&
                       row.as_array()[0].is_string() && row.as_array()[1].is_string();
  if (!is_pair) {
    return std::nullopt;
  }
  const json::array& pair = row.as_array();
  return KeyedRecord{std::string(pair[0].as_string()), std::string(pair[1].as_string())};
}

Result<RelayedRecords> DecodeRecords(const std::string& body, std::uint32_t partitions) {
  const auto invalid = [](const char* field, const char* message) {
    return Reason{ErrorCode::kInvalidArgument, field, message};
  };
  boost::system::error_code error;
  const json::value value = json::parse(body, error);
  if (error || !value.is_object()) {
    return invalid("", "the body should be a JSON object");
  }
  const json::value* partition = value.as_object().if_contains("partition");
  const json::value* rows = value.as_object().if_contains("records");
  const bool is_partition = partition != nullptr && partition->is_int64() &&
                            partition->as_int64() >= 0 && partition->as_int64() < partitions;
  if (!is_partition) {
    return invalid("partition", "should be the number of a partition of jobs");
  }
  if (rows == nullptr || !rows->is_array() || rows->as_array().empty()) {
    return invalid("records", "should be a list of pairs of key and value");
  }
  RelayedRecords decoded;
  decoded.partition = static_cast<std::uint32_t>(partition->as_int64());
  for (const json::value& row : rows->as_array()) {
    std::optional<KeyedRecord> record = DecodeRow(row);
    if (!record) {
      return invalid("records", "should be a list of pairs of key and value");
    }
    decoded.records.push_back(*std::move(record));
  }
  return decoded;
}

asio::awaitable<WriteVerdict> AppendForOthers(Context context, std::uint32_t partition,
                                              std::vector<KeyedRecord> records) {
  const std::size_t count = records.size();
  const AppendOutcome outcome = co_await context.links.store->Append(
      Topic::kJobs, partition, std::move(records), std::nullopt, kAppendTimeout);
  const bool is_stored = outcome.kind == AppendOutcome::Kind::kStored;
  LogEvent(telemetry::LogLevel::kInfo, "records_relayed",
           is_stored ? "stored for other entries" : "could not be stored for other entries",
           {{"records", std::to_string(count)}});
  if (is_stored) {
    co_return WriteVerdict::kStored;
  }
  if (outcome.kind == AppendOutcome::Kind::kRejected) {
    co_return WriteVerdict::kRejected;
  }
  co_return outcome.kind == AppendOutcome::Kind::kUnknown ? WriteVerdict::kMayBeStored
                                                          : WriteVerdict::kNotStored;
}

}  // namespace

PeerRelay::PeerRelay(const Context& context, const OwnerDirectory& directory, http::Client& client)
    : context(context), directory(directory), client(client) {}

std::vector<SocketAddress> PeerRelay::Peers() const {
  std::vector<SocketAddress> peers;
  const auto add = [&](const SocketAddress& address) {
    const bool is_known = std::find(peers.begin(), peers.end(), address) != peers.end();
    if (!is_known && !(address == this->context.settings.peers) && peers.size() < kMaxPeersAsked) {
      peers.push_back(address);
    }
  };
  if (const std::optional<OwnerClaim>& owner = this->directory.Owner()) {
    add(owner->address);
  }
  const std::vector<SocketAddress>& seeds = this->context.settings.seed_peers;
  for (std::size_t i = 0; i < seeds.size(); ++i) {
    add(seeds[(this->next_seed + i) % seeds.size()]);
  }
  return peers;
}

asio::awaitable<WriteVerdict> PeerRelay::Append(std::uint32_t partition,
                                                std::vector<KeyedRecord> records) {
  const std::string body = EncodeRecords(partition, records);
  bool may_be_stored = false;
  for (const SocketAddress& peer : this->Peers()) {
    const WriteVerdict verdict = co_await this->Ask(peer, body, kAskTimeout);
    if (verdict == WriteVerdict::kStored || verdict == WriteVerdict::kRejected) {
      co_return verdict;
    }
    may_be_stored = may_be_stored || verdict == WriteVerdict::kMayBeStored;
  }
  ++this->next_seed;
  co_return may_be_stored ? WriteVerdict::kMayBeStored : WriteVerdict::kNotStored;
}

std::optional<SocketAddress> PeerRelay::GathererOf(std::uint32_t partition) const {
  const std::optional<OwnerClaim>& owner = this->directory.Owner();
  std::vector<SocketAddress> gatherers;
  for (const SocketAddress& seed : this->context.settings.seed_peers) {
    if (!owner || !(owner->address == seed)) {
      gatherers.push_back(seed);
    }
  }
  if (gatherers.empty()) {
    return std::nullopt;
  }
  const SocketAddress& gatherer = gatherers[(partition + this->next_gatherer) % gatherers.size()];
  return gatherer == this->context.settings.peers ? std::nullopt : std::optional(gatherer);
}

asio::awaitable<WriteVerdict> PeerRelay::Gather(std::uint32_t partition,
                                                std::vector<KeyedRecord> records) {
  const std::optional<SocketAddress> gatherer = this->GathererOf(partition);
  if (!gatherer) {
    co_return WriteVerdict::kNotStored;
  }
  const WriteVerdict verdict =
      co_await this->Ask(*gatherer, EncodeRecords(partition, records), kGatherTimeout);
  this->next_gatherer += verdict == WriteVerdict::kStored ? 0 : 1;
  co_return verdict;
}

asio::awaitable<WriteVerdict> PeerRelay::Ask(SocketAddress peer, std::string body,
                                             Duration timeout) {
  http::Request request;
  request.method = "POST";
  request.target = std::string(kRecordsPath);
  request.headers.Add("Content-Type", "application/json");
  request.body = std::move(body);
  const http::Exchange exchange =
      co_await this->client.Send(peer, std::move(request), timeout, nullptr);
  if (!exchange.response) {
    this->client.CloseIdle(peer);
    co_return exchange.verdict == Verdict::kNotRun ? WriteVerdict::kNotStored
                                                   : WriteVerdict::kMayBeStored;
  }
  switch (exchange.response->status) {
    case 200:
      co_return WriteVerdict::kStored;
    case 413:
      co_return WriteVerdict::kRejected;
    case 400:
    case 404:
    case 503:
      co_return WriteVerdict::kNotStored;
    default:
      co_return WriteVerdict::kMayBeStored;
  }
}

RelayHandler::RelayHandler(const Context& context) : context(context) {
  for (std::uint32_t i = 0; i < context.settings.job_partitions; ++i) {
    this->queues.push_back(
        std::make_shared<RecordQueue>(context, [context, i](std::vector<KeyedRecord> records) {
          return AppendForOthers(context, i, std::move(records));
        }));
  }
}

bool RelayHandler::IsRelayRequest(const http::Request& request) {
  return request.method == "POST" && http::PathOf(request.target) == kRecordsPath;
}

asio::awaitable<http::Response> RelayHandler::Handle(http::Request request) const {
  Result<RelayedRecords> decoded =
      DecodeRecords(request.body, this->context.settings.job_partitions);
  if (!decoded) {
    co_return http::ErrorResponse(400, "invalid_argument", ToString(decoded.LastReason()));
  }
  RelayedRecords relayed = *std::move(decoded);
  const std::shared_ptr<RecordQueue> queue = this->queues[relayed.partition];
  const WriteVerdict verdict = co_await queue->Write(std::move(relayed.records));
  switch (verdict) {
    case WriteVerdict::kStored:
      co_return http::Response{};
    case WriteVerdict::kNotStored:
      co_return http::ErrorResponse(503, "not_stored", "The store took nothing.");
    case WriteVerdict::kRejected:
      co_return http::ErrorResponse(413, "too_large", "The store will not accept the records.");
    case WriteVerdict::kMayBeStored:
      break;
  }
  co_return http::ErrorResponse(504, "may_be_stored", "The store has not answered.");
}

}  // namespace chervilspar::job_entry
