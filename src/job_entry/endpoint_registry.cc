#include "job_entry/endpoint_registry.h"

#include <utility>

namespace chervilspar::job_entry {

namespace asio = boost::asio;

namespace {

/// For a page of 500 registrations on a link of 2 Mbit/s.
constexpr Duration kLoadTimeout = std::chrono::seconds(4);
/// An unresponsive read is detected this long, plus a margin, after its start. A draining endpoint
/// must get no new work from two seconds after its drain notice.
constexpr Duration kReadWait = std::chrono::milliseconds(700);
/// Endpoints of VMs that were moved together register within a second.
constexpr Duration kBatchingDelay = std::chrono::milliseconds(80);
/// Unreadable records that are reported, until some of them are gone.
constexpr std::size_t kMaxReported = 1000;
/// After an outage of the store, lapsed registrations are renewed within this time.
constexpr Duration kRecoveryPeriod = std::chrono::milliseconds(2500);

}  // namespace

EndpointRegistry::EndpointRegistry(const Context& context, std::function<void()> on_change)
    : context(context), on_change(std::move(on_change)) {}

asio::awaitable<bool> EndpointRegistry::Load() {
  const Result<NewestOutcome> newest =
      co_await this->context.links.store->ReadNewest(Topic::kEndpoints, 0, kLoadTimeout);
  if (!newest) {
    co_return false;
  }
  this->next = newest->next;
  this->endpoints.clear();
  for (const KeyedRecord& record : newest->records) {
    this->Apply(record);
  }
  this->changed.clear();
  co_return true;
}

void EndpointRegistry::Follow() {
  const RecordTail::Options options{
      .topic = Topic::kEndpoints, .wait = kReadWait, .gather = kBatchingDelay, .from = this->next};
  this->tail = std::make_shared<RecordTail>(this->context, options, *this);
  this->tail->Start();
}

void EndpointRegistry::Stop() {
  if (this->tail != nullptr) {
    this->tail->Stop();
  }
}

std::vector<jobs::EndpointRecord> EndpointRegistry::Endpoints() const {
  std::vector<jobs::EndpointRecord> all;
  all.reserve(this->endpoints.size());
  for (const auto& [id, endpoint] : this->endpoints) {
    all.push_back(endpoint.record);
  }
  return all;
}

jobs::EndpointChanges EndpointRegistry::TakeChanges() {
  jobs::EndpointChanges changes;
  for (const std::string& id : std::exchange(this->changed, {})) {
    const auto found = this->endpoints.find(id);
    if (found == this->endpoints.end()) {
      changes.removed.push_back(id);
    } else {
      changes.registered.push_back(found->second.record);
    }
  }
  return changes;
}

void EndpointRegistry::OnRecords(const std::vector<KeyedRecord>& records) {
  const auto span = this->context.Measure(telemetry::WorkPart::kReadEndpoints);
  bool is_changed = false;
  for (const KeyedRecord& record : records) {
    is_changed = this->Apply(record) || is_changed;
  }
  if (is_changed) {
    this->on_change();
  }
}

void EndpointRegistry::OnNewest(const std::vector<KeyedRecord>& records) {
  std::set<std::string> missing;
  for (const auto& [id, endpoint] : this->endpoints) {
    missing.insert(id);
  }
  for (const KeyedRecord& record : records) {
    this->Apply(record);
    missing.erase(record.key);
  }
  for (const std::string& id : missing) {
    this->Remove(id);
  }
  this->on_change();
}

void EndpointRegistry::OnStoreRecovered() { this->regained_at = this->context.Now(); }

std::optional<jobs::EndpointRecord> EndpointRegistry::Read(const KeyedRecord& record) {
  if (!record.value) {
    this->unreadable.erase(record.key);
    return std::nullopt;
  }
  Result<jobs::EndpointRecord> read =
      this->context.links.records->ReadEndpoint(record.key, *record.value);
  if (!read) {
    this->ReportUnreadable(record.key, read.LastReason());
    return std::nullopt;
  }
  this->unreadable.erase(record.key);
  return *std::move(read);
}

/// Another writer may renew such a record as often as endpoints renew theirs, and under any number
/// of keys.
void EndpointRegistry::ReportUnreadable(const std::string& key, const Reason& reason) {
  this->context.metrics.Count({"chervilspar_unreadable_registrations_total", {}});
  const bool is_new = this->unreadable.size() < kMaxReported && this->unreadable.insert(key).second;
  LogEvent(is_new ? telemetry::LogLevel::kWarning : telemetry::LogLevel::kDebug,
           "registration_unreadable", ToString(reason), {{"key", key}});
}

bool EndpointRegistry::Apply(const KeyedRecord& record) {
  const auto known = this->endpoints.find(record.key);
  if (known != this->endpoints.end() && record.value &&
      this->context.links.records->IsSameEndpoint(known->second.text, *record.value)) {
    this->lapsed.erase(record.key);
    return false;
  }
  std::optional<jobs::EndpointRecord> read = this->Read(record);
  if (!read) {
    return this->Remove(record.key);
  }
  this->lapsed.erase(record.key);
  Registration& registration = this->endpoints[record.key];
  registration.text = *record.value;
  if (registration.record == *read) {
    return false;
  }
  registration.record = *std::move(read);
  this->changed.insert(record.key);
  return true;
}

bool EndpointRegistry::IsInRecoveryPeriod() const {
  return this->regained_at && this->context.Now() - *this->regained_at <= kRecoveryPeriod;
}

/// After an outage of the store that exceeds the lifetime of registrations, all endpoints seem to
/// be gone, and nothing could be placed until they have registered again. So their registrations
/// are kept for the recovery period.
bool EndpointRegistry::Remove(const std::string& id) {
  const auto found = this->endpoints.find(id);
  if (found == this->endpoints.end()) {
    return false;
  }
  if (this->IsInRecoveryPeriod()) {
    this->lapsed.insert(id);
    return false;
  }
  this->Erase(id);
  return true;
}

void EndpointRegistry::Erase(const std::string& id) {
  this->endpoints.erase(id);
  this->changed.insert(id);
}

void EndpointRegistry::DropLapsed() {
  if (this->lapsed.empty() || this->IsInRecoveryPeriod()) {
    return;
  }
  for (const std::string& id : std::exchange(this->lapsed, {})) {
    this->Erase(id);
  }
  this->on_change();
}

}  // namespace chervilspar::job_entry
