#include "tests/prove/fake_log.h"

#include <algorithm>

#include "chervilspar/config_log/record_codec.h"

namespace chervilspar::prove {

void PublishLedger::Announce(const std::string& record, std::int64_t base_version,
                             const std::map<std::string, std::uint32_t>& limits) {
  this->announced[record] = {base_version, limits};
}

void PublishLedger::OnAppended(const std::string& record, TimePoint now) {
  const auto found = this->announced.find(record);
  if (found == this->announced.end() || !this->seen.insert(record).second) {
    return;
  }
  const auto version = static_cast<std::int64_t>(this->accepted_at.size());
  if (found->second.base_version != version) {
    ++this->rejected;
    return;
  }
  this->accepted_at.push_back(now);
  for (const auto& [team, limit] : found->second.limits) {
    this->observer.OnLimitPublished(now.time_since_epoch().count(), team, limit);
  }
}

std::int64_t PublishLedger::VersionBy(TimePoint time) const {
  return std::upper_bound(this->accepted_at.begin(), this->accepted_at.end(), time) -
         this->accepted_at.begin();
}

config_log::Offset FakeLog::Append(const config_log::Record& record, TimePoint now) {
  this->records.push_back({config_log::EncodeRecord(record), this->UpTime(now)});
  this->ledger.OnAppended(record.id.text, now);
  return static_cast<config_log::Offset>(this->records.size()) - 1;
}

config_log::ReadBatch FakeLog::Read(config_log::Offset from) const {
  config_log::ReadBatch batch;
  batch.first = this->first;
  batch.end = static_cast<config_log::Offset>(this->records.size());
  for (config_log::Offset at = from; at >= this->first && at < batch.end; ++at) {
    batch.records.push_back({at, this->records[static_cast<std::size_t>(at)].text});
  }
  return batch;
}

Duration FakeLog::UpTime(TimePoint now) const {
  return this->IsDown() ? this->up_before : this->up_before + (now - this->up_since);
}

void FakeLog::BeginOutage(TimePoint now) {
  this->up_before = this->UpTime(now);
  ++this->outages;
}

void FakeLog::EndOutage(TimePoint now) {
  --this->outages;
  this->up_since = now;
}

void FakeLog::DropOlderThan(Duration age, TimePoint now) {
  const Duration oldest = this->UpTime(now) - age;
  while (this->first < static_cast<config_log::Offset>(this->records.size()) &&
         this->records[static_cast<std::size_t>(this->first)].at < oldest) {
    ++this->first;
  }
}

}  // namespace chervilspar::prove
