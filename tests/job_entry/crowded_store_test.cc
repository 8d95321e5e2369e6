#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/json.hpp>
#include <gtest/gtest.h>

#include "job_entry/record_relay.h"
#include "tests/job_entry/fake_fleet.h"

namespace chervilspar::job_entry {
namespace {

namespace asio = boost::asio;
namespace json = boost::json;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// A fleet of a hundred entries, four partitions, and a store that takes five appends a second per
/// partition and refuses appends that would queue for more than two seconds.
constexpr int kEntries = 100;
constexpr Duration kSlowAppend = milliseconds(200);
constexpr Duration kMaxQueueTime = seconds(2);
/// Callers wait for three seconds; a job stored within half of that can still finish on time.
constexpr Duration kStoreDeadline = milliseconds(1500);

/// Calls the relay handler of one entry without a network.
class DirectRelay final : public RecordRelay {
 public:
  explicit DirectRelay(const RelayHandler& handler) : handler(handler) {}

  asio::awaitable<WriteVerdict> Append(std::uint32_t partition,
                                       std::vector<KeyedRecord> records) override {
    json::array rows;
    for (const KeyedRecord& record : records) {
      rows.push_back(json::array{record.key, *record.value});
    }
    const json::object body{{"partition", partition}, {"records", std::move(rows)}};
    http::Request request{"POST", "/v1/records", {}, json::serialize(body)};
    const http::Response response = co_await this->handler.Handle(std::move(request));
    co_return response.status == 200 ? WriteVerdict::kStored
    : response.status == 503         ? WriteVerdict::kNotStored
                                     : WriteVerdict::kMayBeStored;
  }
  asio::awaitable<WriteVerdict> Gather(std::uint32_t partition,
                                       std::vector<KeyedRecord> records) override {
    co_return co_await this->Append(partition, std::move(records));
  }

 private:
  const RelayHandler& handler;
};

/// Entries that accept jobs; the first one writes for the others on request.
class CrowdedStore : public ::testing::Test {
 protected:
  CrowdedStore() : fleet(this->io, 0) {
    this->fleet.store.append_time = kSlowAppend;
    this->fleet.store.max_queue_time = kMaxQueueTime;
    for (int i = 0; i < kEntries; ++i) {
      this->entries.push_back(std::make_unique<FakeEntry>(this->io, this->fleet.store,
                                                          this->fleet.endpoints, this->fleet.vms,
                                                          "entry-" + std::to_string(i)));
    }
    this->handler = std::make_unique<RelayHandler>(this->entries[0]->context);
    this->relay = std::make_unique<DirectRelay>(*this->handler);
    for (const auto& entry : this->entries) {
      this->writers.push_back(std::make_shared<JobWriter>(entry->context, this->relay.get()));
    }
  }

  /// Submits a job at each entry and returns how many are stored in time.
  int SubmitEverywhere() {
    const auto stored = std::make_shared<int>(0);
    const TimePoint end = this->entries[0]->context.Now() + kStoreDeadline;
    for (const auto& writer : this->writers) {
      KeyedRecord record{jobs::ToString(jobs::JobId{++this->jobs}), "{}"};
      asio::co_spawn(
          this->io,
          [](std::shared_ptr<JobWriter> writer, KeyedRecord record, TimePoint end,
             std::shared_ptr<int> stored) -> asio::awaitable<void> {
            const WriteVerdict verdict = co_await writer->Write(std::move(record));
            const bool is_in_time = SystemClock().Now() <= end;
            *stored += verdict == WriteVerdict::kStored && is_in_time ? 1 : 0;
          }(writer, std::move(record), end, stored),
          asio::detached);
    }
    this->io.restart();
    this->io.run_for(seconds(3));
    return *stored;
  }

  asio::io_context io;
  FakeFleet fleet;
  std::vector<std::unique_ptr<FakeEntry>> entries;
  std::unique_ptr<RelayHandler> handler;
  std::unique_ptr<DirectRelay> relay;
  std::vector<std::shared_ptr<JobWriter>> writers;
  std::uint64_t jobs = 0;
};

/// Guards against callers being refused while the store is slow: each entry of a large fleet waits
/// for its own append, and each refused entry asks another one for one more.
TEST_F(CrowdedStore, TakesTheJobsOfAllEntriesInFewAppends) {
  this->SubmitEverywhere();
  EXPECT_EQ(this->SubmitEverywhere(), kEntries);
}

/// Guards against an entry that uses all its connections to the store for separate appends for
/// other entries, and drops out of the group.
TEST_F(CrowdedStore, RecordsOfOtherEntriesShareAnAppend) {
  int stored = 0;
  for (int i = 0; i < kEntries; ++i) {
    std::vector<KeyedRecord> records{{jobs::ToString(jobs::JobId{1000U + i}), "{}"}};
    asio::co_spawn(this->io, this->relay->Append(0, std::move(records)),
                   [&stored](const std::exception_ptr&, WriteVerdict verdict) {
                     stored += verdict == WriteVerdict::kStored ? 1 : 0;
                   });
  }
  this->io.run_for(seconds(3));
  EXPECT_EQ(stored, kEntries);
  EXPECT_LE(this->entries[0]->store->appends, 2);
}

}  // namespace
}  // namespace chervilspar::job_entry
