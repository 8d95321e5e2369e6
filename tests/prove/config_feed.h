#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <vector>

#include "chervilspar/membership/agreement.h"
#include "chervilspar/quota/split.h"

namespace chervilspar::prove {

/// Leases of the runs: short, so that many of them fit into a run.
inline constexpr Duration kMaxTaskLease = std::chrono::seconds(10);
inline constexpr Duration kLoanLease = std::chrono::seconds(3);
inline constexpr Duration kMaxClockSkew = std::chrono::milliseconds(300);
/// Longest that a task may still run whose entry, or whose lender, has just died.
inline constexpr Duration kLongestRun =
    kMaxTaskLease + kLoanLease + kMaxClockSkew + std::chrono::milliseconds(100);

/// The folded state as far as the modules of this proof need it.
struct Config {
  config_log::ConfigVersion version = 0;
  config_log::Offset next_offset = 0;
  std::set<EntryId> entries;
  std::set<EntryId> former;
  std::set<EntryId> gone;
  std::map<TeamId, std::uint32_t> upper_limits;

  membership::EntryList List() const;
  quota::Limits Limits() const;
};

using ConfigPtr = std::shared_ptr<const Config>;

/// What an operator publishes; what is absent stays.
struct Publish {
  config_log::ConfigVersion base_version = 0;
  std::optional<std::set<EntryId>> entries;
  std::map<TeamId, std::uint32_t> upper_limits;
  std::set<EntryId> gone;
};

/// Folds one record; rejects one that was made from another version.
Config Fold(const Config& config, const Publish& publish);

/// What the log answers to a read.
struct LogAnswer {
  std::vector<Publish> records;
  /// Set when the offset asked for is no longer kept: the state to start from.
  ConfigPtr snapshot;
  config_log::Offset end = 0;
};

/// The platform's log: outages, and retention that passes by who is slow.
class FakeLog {
 public:
  FakeLog();
  void Append(const Publish& publish);
  LogAnswer Read(config_log::Offset from) const;
  const Config& Newest() const { return *this->states.back(); }
  /// The newest version that an operator had published by the time.
  config_log::ConfigVersion PublishedBy(TimePoint time) const;
  void DropOldRecords() { this->first = static_cast<config_log::Offset>(this->records.size()); }
  void BeginOutage() { ++this->outages; }
  void EndOutage() { --this->outages; }
  bool IsDown() const { return this->outages > 0; }
  void NoteTime(TimePoint time) { this->now = time; }

 private:
  std::vector<Publish> records;
  /// The state before each record, and the newest one.
  std::vector<ConfigPtr> states;
  std::vector<TimePoint> appended_at;
  TimePoint now;
  config_log::Offset first = 0;
  int outages = 0;
};

}  // namespace chervilspar::prove
