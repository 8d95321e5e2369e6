#include "tests/prove/config_feed.h"

namespace chervilspar::prove {

membership::EntryList Config::List() const {
  return {this->version, this->entries, this->former, this->gone, kLongestRun};
}

quota::Limits Config::Limits() const {
  return {this->version, this->entries, this->upper_limits,
          kMaxTaskLease, kLoanLease,    kMaxClockSkew};
}

Config Fold(const Config& config, const Publish& publish) {
  Config next = config;
  ++next.next_offset;
  if (publish.base_version != config.version) {
    return next;
  }
  ++next.version;
  for (const auto& [team, limit] : publish.upper_limits) {
    next.upper_limits[team] = limit;
  }
  if (publish.entries) {
    next.entries = *publish.entries;
    next.former.insert(config.entries.begin(), config.entries.end());
  }
  next.gone.insert(publish.gone.begin(), publish.gone.end());
  for (const EntryId& entry : next.entries) {
    next.former.erase(entry);
    next.gone.erase(entry);
  }
  for (const EntryId& entry : next.gone) {
    next.former.erase(entry);
  }
  return next;
}

FakeLog::FakeLog() { this->states.push_back(std::make_shared<const Config>()); }

void FakeLog::Append(const Publish& publish) {
  this->records.push_back(publish);
  this->appended_at.push_back(this->now);
  this->states.push_back(std::make_shared<const Config>(Fold(*this->states.back(), publish)));
}

LogAnswer FakeLog::Read(config_log::Offset from) const {
  LogAnswer answer;
  answer.end = static_cast<config_log::Offset>(this->records.size());
  if (from < this->first) {
    answer.snapshot = this->states.at(static_cast<std::size_t>(this->first));
    from = this->first;
  }
  for (auto at = static_cast<std::size_t>(from); at < this->records.size(); ++at) {
    answer.records.push_back(this->records[at]);
  }
  return answer;
}

config_log::ConfigVersion FakeLog::PublishedBy(TimePoint time) const {
  std::size_t count = 0;
  while (count < this->appended_at.size() && this->appended_at[count] <= time) {
    ++count;
  }
  return this->states.at(count)->version;
}

}  // namespace chervilspar::prove
