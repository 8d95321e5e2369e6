#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "chervilspar/config_log/log_follower.h"
#include "chervilspar/config_log/record.h"

#include "tests/prove/observer.h"
#include "tests/prove/simulation.h"

namespace chervilspar::prove {

/// Leases of the runs: short, so that many of them fit into a run.
inline constexpr Duration kMaxTaskLease = std::chrono::seconds(10);
inline constexpr Duration kLoanLease = std::chrono::seconds(3);
inline constexpr Duration kMaxClockSkew = std::chrono::milliseconds(300);
/// Longest that a task may still run whose entry, or whose lender, has just died.
inline constexpr Duration kLongestRun =
    kMaxTaskLease + kLoanLease + kMaxClockSkew + std::chrono::milliseconds(100);

/// What operators published and what came of it, by the plain rule that a publish counts once and
/// only on the version it was made from. It judges for the observer, without the product's fold.
class PublishLedger {
 public:
  explicit PublishLedger(Observer& observer) : observer(observer) {}

  /// A publish that an entry is about to append.
  void Announce(const std::string& record, std::int64_t base_version,
                const std::map<std::string, std::uint32_t>& limits);
  void OnAppended(const std::string& record, TimePoint now);
  /// The newest version that was in the log by the time.
  std::int64_t VersionBy(TimePoint time) const;
  std::uint64_t Rejected() const { return this->rejected; }

 private:
  struct Publish {
    std::int64_t base_version = 0;
    std::map<std::string, std::uint32_t> limits;
  };

  Observer& observer;
  std::map<std::string, Publish> announced;
  std::set<std::string> seen;
  std::vector<TimePoint> accepted_at;
  std::uint64_t rejected = 0;
};

/// The platform's log: outages, and retention that passes by who is slow.
class FakeLog {
 public:
  explicit FakeLog(PublishLedger& ledger) : ledger(ledger) {}

  config_log::Offset Append(const config_log::Record& record, TimePoint now);
  /// The records from `from` on; `first` above `from` says that they are no longer kept.
  config_log::ReadBatch Read(config_log::Offset from) const;
  /// Drops records older than `age`, not counting outages: the platform must keep records for
  /// longer than its outages last, or a record that nobody has read is lost.
  void DropOlderThan(Duration age, TimePoint now);
  void BeginOutage(TimePoint now);
  void EndOutage(TimePoint now);
  bool IsDown() const { return this->outages > 0; }

 private:
  struct Kept {
    std::string text;
    /// Time without outages until it was appended.
    Duration at = Duration::zero();
  };

  Duration UpTime(TimePoint now) const;

  PublishLedger& ledger;
  std::vector<Kept> records;
  config_log::Offset first = 0;
  int outages = 0;
  TimePoint up_since;
  Duration up_before = Duration::zero();
};

}  // namespace chervilspar::prove
