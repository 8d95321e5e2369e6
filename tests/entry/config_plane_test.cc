#include "entry/config_plane.h"

#include <atomic>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include <gtest/gtest.h>

#include "chervilspar/config_log/record_codec.h"

namespace chervilspar::entry {
namespace {

constexpr int kRecords = 3000;
constexpr int kStarts = 100;

/// Records that each change the state: keys of a team that doesn't exist are rejected, and still
/// move the offset on.
std::vector<std::string> MakeRecords() {
  std::vector<std::string> records;
  records.reserve(kRecords);
  for (int i = 0; i < kRecords; ++i) {
    config_log::Record record;
    record.id = RecordId{"r" + std::to_string(i)};
    record.author = EntryId{"e2"};
    const auto digit = static_cast<char>('a' + i % 6);
    record.body = config_log::KeyWithdrawn{config_log::KeyDigest{std::string(64, digit)}};
    records.push_back(config_log::EncodeRecord(record));
  }
  return records;
}

/// A log that hands out one record a read, as it would while operators publish.
class TricklingLog final : public platform::LogService {
 public:
  explicit TricklingLog(const std::vector<std::string>& records) : records(records) {}

  platform::AppendOutcome Append(std::string_view, Duration) override { return {}; }

  Result<platform::ReadBatch> Read(config_log::Offset from, std::size_t, Duration wait,
                                   Duration) override {
    this->first_wait = this->first_wait.value_or(wait);
    platform::ReadBatch batch;
    batch.next = static_cast<config_log::Offset>(this->records.size());
    if (from < batch.next) {
      batch.records.push_back({from, this->records[static_cast<std::size_t>(from)]});
    }
    return batch;
  }

  std::optional<Duration> FirstWait() const { return this->first_wait; }

 private:
  const std::vector<std::string>& records;
  std::optional<Duration> first_wait;
};

/// Notes whether it was ever told of an older state after a newer one.
class OrderListener final : public StateListener {
 public:
  void OnState(std::shared_ptr<const config_log::FleetState> state,
               const config_log::FollowUpdate&) override {
    const config_log::Offset offset = state->next_offset;
    std::this_thread::yield();
    const std::lock_guard lock(this->mutex);
    this->went_back = this->went_back || offset < this->last;
    this->last = offset;
  }
  void OnReadToEnd() override {
    const std::lock_guard lock(this->mutex);
    this->told_at_end = this->last;
  }
  void OnWithdrawals(const std::vector<config_log::KeyDigest>&) override {}

  /// The offset that had been told of when the end of the log was.
  std::optional<config_log::Offset> ToldAtEnd() {
    const std::lock_guard lock(this->mutex);
    return this->told_at_end;
  }

  bool WentBack() {
    const std::lock_guard lock(this->mutex);
    return this->went_back;
  }

 private:
  std::mutex mutex;
  config_log::Offset last = 0;
  bool went_back = false;
  std::optional<config_log::Offset> told_at_end;
};

// The log comes back after an outage while a peer still sends what the entry had missed: two
// threads fold, one after the other, and tell the rest of the entry. When the slower one tells of
// the older state last, limits and keys of an older configuration are back in force, and the entry
// stops at its own assertion that versions never go back: its callers lose it.
TEST(ConfigPlaneTest, LogAndPeerNeverTellOfAnOlderStateLast) {
  const std::vector<std::string> records = MakeRecords();
  const EntrySettings settings;
  const SystemClock clock;
  telemetry::EventRing events(EntryId{"e1"}, 16, std::chrono::seconds(1));
  telemetry::MetricsRegistry metrics;
  const EntryContext context{settings, clock, {EntryId{"e1"}, {}, ZoneId{"a"}}, events, metrics};
  OrderListener listener;
  ConfigPlane plane(context, std::make_unique<TricklingLog>(records), listener);
  plane.Start();
  while (plane.State()->next_offset < kRecords) {
    const config_log::Offset from = plane.State()->next_offset;
    if (from < kRecords) {
      plane.OnPeerRecords({{from, records[static_cast<std::size_t>(from)]}});
    }
  }
  plane.Stop();
  EXPECT_FALSE(listener.WentBack());
}

// An entry is replaced and starts while a peer sends it the state. If it heard of the log's end
// before it heard of the configuration, it would take the fleet for a new one, not wait out what
// its predecessor had lent, and let a team run above its limit.
TEST(ConfigPlaneTest, TheEndOfTheLogIsToldAfterTheStateThere) {
  const std::vector<std::string> records = {MakeRecords().front()};
  const EntrySettings settings;
  const SystemClock clock;
  telemetry::EventRing events(EntryId{"e1"}, 16, std::chrono::seconds(1));
  telemetry::MetricsRegistry metrics;
  const EntryContext context{settings, clock, {EntryId{"e1"}, {}, ZoneId{"a"}}, events, metrics};
  for (int start = 0; start < kStarts; ++start) {
    OrderListener listener;
    ConfigPlane plane(context, std::make_unique<TricklingLog>(records), listener);
    plane.Start();
    plane.OnPeerRecords({{0, records.front()}});
    while (!listener.ToldAtEnd()) {
      std::this_thread::yield();
    }
    plane.Stop();
    ASSERT_EQ(listener.ToldAtEnd(), 1) << start;
  }
}

// A fleet starts on an empty log, and the operator publishes at once. An entry whose first read
// waits for a record comes to the end only with the configuration in hand; it must then take itself
// for a replacement and wait out the leases of a predecessor, and for a minute nobody is served.
TEST(ConfigPlaneTest, TheFirstReadDoesNotWaitForARecord) {
  const std::vector<std::string> none;
  const EntrySettings settings;
  const SystemClock clock;
  telemetry::EventRing events(EntryId{"e1"}, 16, std::chrono::seconds(1));
  telemetry::MetricsRegistry metrics;
  const EntryContext context{settings, clock, {EntryId{"e1"}, {}, ZoneId{"a"}}, events, metrics};
  OrderListener listener;
  auto log = std::make_unique<TricklingLog>(none);
  const TricklingLog& seen = *log;
  ConfigPlane plane(context, std::move(log), listener);
  plane.Start();
  while (!listener.ToldAtEnd()) {
    std::this_thread::yield();
  }
  plane.Stop();
  EXPECT_EQ(seen.FirstWait(), Duration::zero());
}

}  // namespace
}  // namespace chervilspar::entry
