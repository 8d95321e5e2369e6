#include "job_entry/record_relay.h"

#include <functional>
#include <optional>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <gtest/gtest.h>

#include "tests/job_entry/fake_fleet.h"

namespace chervilspar::job_entry {
namespace {

namespace asio = boost::asio;
using std::chrono::milliseconds;

const KeyedRecord kRecord{"0000000000000001", "{}"};

/// Another entry that returns a fixed verdict, and writes to the same store if that is `kStored`.
class FakeRelay final : public RecordRelay {
 public:
  FakeRelay(WriteVerdict verdict, FakeStore& store) : verdict(verdict), store(store) {}

  asio::awaitable<WriteVerdict> Append(std::uint32_t partition,
                                       std::vector<KeyedRecord> records) override {
    ++this->relay_calls;
    if (this->verdict == WriteVerdict::kStored) {
      for (const KeyedRecord& record : records) {
        this->store.At(Topic::kJobs, partition).records.push_back(record);
      }
    }
    co_return this->verdict;
  }
  asio::awaitable<WriteVerdict> Gather(std::uint32_t, std::vector<KeyedRecord>) override {
    co_return WriteVerdict::kNotStored;
  }

  const WriteVerdict verdict;
  FakeStore& store;
  int relay_calls = 0;
};

struct RelayCase {
  const char* name;
  std::function<void(FakeStoreLink&)> inject_fault;
  WriteVerdict relay_verdict;
  WriteVerdict verdict;
  int relay_calls;
};

class RelayedWrites : public ::testing::TestWithParam<RelayCase> {};

/// The store refuses one entry, or its answers to this entry are lost, while it serves the other
/// entries. A caller connected to this entry would be refused, or informed that its job may have
/// run, although another entry could store it at once.
TEST_P(RelayedWrites, AreStoredByAnotherEntry) {
  asio::io_context io;
  FakeFleet fleet(io);
  FakeEntry& entry = fleet.AddEntry("a");
  FakeRelay relay(GetParam().relay_verdict, fleet.store);
  const auto writer = std::make_shared<JobWriter>(entry.context, &relay);
  GetParam().inject_fault(*entry.store);
  std::optional<WriteVerdict> verdict;
  asio::co_spawn(
      io,
      [&]() -> asio::awaitable<void> {
        const WriteVerdict written = co_await writer->Write(kRecord);
        verdict = written;
      },
      asio::detached);
  for (int i = 0; i < 400 && !verdict; ++i) {
    io.run_for(milliseconds(10));
  }
  ASSERT_TRUE(verdict);
  EXPECT_EQ(*verdict, GetParam().verdict);
  EXPECT_EQ(relay.relay_calls, GetParam().relay_calls);
}

INSTANTIATE_TEST_SUITE_P(
    Stores, RelayedWrites,
    ::testing::Values(
        RelayCase{"no_fault", [](FakeStoreLink&) {}, WriteVerdict::kStored, WriteVerdict::kStored,
                  0},
        RelayCase{"store_refuses", [](FakeStoreLink& link) { link.refuse_appends = 9; },
                  WriteVerdict::kStored, WriteVerdict::kStored, 1},
        RelayCase{"disconnected", [](FakeStoreLink& link) { link.is_disconnected = true; },
                  WriteVerdict::kStored, WriteVerdict::kStored, 1},
        RelayCase{"no_entry_can_write", [](FakeStoreLink& link) { link.refuse_appends = 9; },
                  WriteVerdict::kNotStored, WriteVerdict::kNotStored, 1},
        RelayCase{"relay_outcome_unknown", [](FakeStoreLink& link) { link.refuse_appends = 99; },
                  WriteVerdict::kMayBeStored, WriteVerdict::kMayBeStored, 2}),
    [](const auto& info) { return info.param.name; });

struct HandlerCase {
  const char* name;
  const char* body;
  bool is_refused;
  unsigned status;
};

class RelayRequests : public ::testing::TestWithParam<HandlerCase> {};

/// The answers of an entry that is asked to write for another one.
TEST_P(RelayRequests, AreAnswered) {
  asio::io_context io;
  FakeFleet fleet(io);
  FakeEntry& entry = fleet.AddEntry("a");
  entry.store->refuse_appends = GetParam().is_refused ? 99 : 0;
  const RelayHandler handler(entry.context);
  std::optional<unsigned> status;
  asio::co_spawn(
      io,
      [&]() -> asio::awaitable<void> {
        http::Request request{"POST", "/v1/records", {}, GetParam().body};
        EXPECT_TRUE(RelayHandler::IsRelayRequest(request));
        const http::Response response = co_await handler.Handle(std::move(request));
        status = response.status;
      },
      asio::detached);
  io.run_for(milliseconds(100));
  ASSERT_TRUE(status);
  EXPECT_EQ(*status, GetParam().status);
  const std::vector<KeyedRecord> stored = fleet.store.At(Topic::kJobs, 2).records;
  EXPECT_EQ(stored, GetParam().status == 200 ? std::vector<KeyedRecord>{kRecord}
                                             : std::vector<KeyedRecord>{});
}

INSTANTIATE_TEST_SUITE_P(
    Bodies, RelayRequests,
    ::testing::Values(
        HandlerCase{"valid", R"({"partition":2,"records":[["0000000000000001","{}"]]})", false,
                    200},
        HandlerCase{"store_refuses", R"({"partition":2,"records":[["0000000000000001","{}"]]})",
                    true, 503},
        HandlerCase{"no_json", "records", false, 400},
        HandlerCase{"no_partition", R"({"records":[["a","b"]]})", false, 400},
        HandlerCase{"unknown_partition", R"({"partition":4,"records":[["a","b"]]})", false, 400},
        HandlerCase{"negative_partition", R"({"partition":-1,"records":[["a","b"]]})", false, 400},
        HandlerCase{"no_records", R"({"partition":2,"records":[]})", false, 400},
        HandlerCase{"row_without_value", R"({"partition":2,"records":[["a"]]})", false, 400},
        HandlerCase{"value_of_another_type", R"({"partition":2,"records":[["a",1]]})", false, 400}),
    [](const auto& info) { return info.param.name; });

}  // namespace
}  // namespace chervilspar::job_entry
