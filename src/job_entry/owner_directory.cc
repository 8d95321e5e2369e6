#include "job_entry/owner_directory.h"

#include <boost/json.hpp>

namespace chervilspar::job_entry {

namespace json = boost::json;

namespace {

/// Claims are rare, and a pending read returns at once when there is one.
constexpr Duration kLongWait = std::chrono::seconds(5);
/// The owner renews leases for a few seconds after its last proof; the short wait keeps the proof
/// recent.
constexpr Duration kShortWait = std::chrono::milliseconds(800);

}  // namespace

std::string EncodeClaim(const OwnerClaim& claim) {
  return json::serialize(json::object{
      {"entry", claim.entry}, {"member", claim.member}, {"address", ToString(claim.address)}});
}

Result<OwnerClaim> DecodeClaim(const std::string& text) {
  const Reason unreadable{ErrorCode::kMalformed, "", "the record is not an owner's claim"};
  boost::system::error_code error;
  const json::value value = json::parse(text, error);
  if (error || !value.is_object()) {
    return unreadable;
  }
  const json::value* entry = value.as_object().if_contains("entry");
  const json::value* member = value.as_object().if_contains("member");
  const json::value* address = value.as_object().if_contains("address");
  for (const json::value* text : {entry, member, address}) {
    if (text == nullptr || !text->is_string()) {
      return unreadable;
    }
  }
  const Result<SocketAddress> parsed =
      ParseSocketAddress(static_cast<std::string_view>(address->as_string()));
  if (!parsed) {
    return parsed.LastReason();
  }
  return OwnerClaim{std::string(entry->as_string()), std::string(member->as_string()), *parsed};
}

OwnerDirectory::OwnerDirectory(const Context& context)
    : context(context),
      tail(std::make_shared<RecordTail>(
          context, RecordTail::Options{.topic = Topic::kOwners, .wait = kLongWait}, *this)) {}

void OwnerDirectory::UseShortWait(bool is_short) {
  this->tail->SetWait(is_short ? kShortWait : kLongWait);
}

boost::asio::awaitable<bool> OwnerDirectory::IsNewestClaim(std::string member,
                                                           Duration timeout) const {
  const Result<NewestOutcome> newest =
      co_await this->context.links.store->ReadNewest(Topic::kOwners, 0, timeout);
  if (!newest) {
    co_return false;
  }
  for (const KeyedRecord& record : newest->records) {
    if (record.key == kOwnerKey && record.value) {
      const Result<OwnerClaim> claim = DecodeClaim(*record.value);
      co_return claim && claim->member == member;
    }
  }
  co_return false;
}

/// The connection of the pending read may become unresponsive. Without this read, an entry that
/// missed a claim would take a former owner for the newest until the pending read times out.
boost::asio::awaitable<void> OwnerDirectory::Refresh(Duration timeout) {
  const Result<NewestOutcome> newest =
      co_await this->context.links.store->ReadNewest(Topic::kOwners, 0, timeout);
  if (newest && this->NextClaimOffset() < newest->next) {
    this->refreshed_offset = newest->next;
    this->OnRecords(newest->records);
  }
}

void OwnerDirectory::OnRecords(const std::vector<KeyedRecord>& records) {
  for (const KeyedRecord& record : records) {
    if (!record.value) {
      continue;
    }
    const Result<OwnerClaim> claim = DecodeClaim(*record.value);
    if (!claim) {
      LogEvent(telemetry::LogLevel::kError, "claim_unreadable", ToString(claim.LastReason()));
      continue;
    }
    this->owner = *claim;
    LogEvent(telemetry::LogLevel::kInfo, "owner_known", "jobs are scheduled by " + claim->entry,
             {{"address", ToString(claim->address)}});
  }
}

}  // namespace chervilspar::job_entry
