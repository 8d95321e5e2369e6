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

/// Another entry that answers as told, or writes into the same store.
class FakeRelay final : public RecordRelay {
 public:
  FakeRelay(WriteVerdict verdict, FakeStore& store) : verdict(verdict), store(store) {}

  asio::awaitable<WriteVerdict> Append(std::uint32_t partition,
                                       std::vector<KeyedRecord> records) override {
    ++this->asked;
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
  int asked = 0;
};

struct RelayCase {
  const char* name;
  std::function<void(FakeStoreLink&)> misbehave;
  WriteVerdict elsewhere;
  WriteVerdict verdict;
  int asked;
};

class RelayedWrites : public ::testing::TestWithParam<RelayCase> {};

/// The store turns one entry away, or its answers to this entry are lost, while the other entries
/// are served. A caller whose connection is here would be refused, or told that its job may have
/// run, although another entry can store it at once.
TEST_P(RelayedWrites, AreStoredByAnotherEntry) {
  asio::io_context io;
  FakeFleet fleet(io);
  FakeEntry& entry = fleet.AddEntry("a");
  FakeRelay relay(GetParam().elsewhere, fleet.store);
  const auto writer = std::make_shared<JobWriter>(entry.context, &relay);
  GetParam().misbehave(*entry.store);
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
  EXPECT_EQ(relay.asked, GetParam().asked);
}

INSTANTIATE_TEST_SUITE_P(
    Stores, RelayedWrites,
    ::testing::Values(
        RelayCase{"sound", [](FakeStoreLink&) {}, WriteVerdict::kStored, WriteVerdict::kStored, 0},
        RelayCase{"turned_away", [](FakeStoreLink& link) { link.refuse_appends = 9; },
                  WriteVerdict::kStored, WriteVerdict::kStored, 1},
        RelayCase{"cut_off", [](FakeStoreLink& link) { link.is_disconnected = true; },
                  WriteVerdict::kStored, WriteVerdict::kStored, 1},
        RelayCase{"nobody_can_write", [](FakeStoreLink& link) { link.refuse_appends = 9; },
                  WriteVerdict::kNotStored, WriteVerdict::kNotStored, 1},
        RelayCase{"the_other_is_unsure", [](FakeStoreLink& link) { link.refuse_appends = 99; },
                  WriteVerdict::kMayBeStored, WriteVerdict::kMayBeStored, 2}),
    [](const auto& info) { return info.param.name; });

struct HandlerCase {
  const char* name;
  const char* body;
  bool is_turned_away;
  unsigned status;
};

class RelayRequests : public ::testing::TestWithParam<HandlerCase> {};

/// What an entry answers that is asked to write for another.
TEST_P(RelayRequests, AreAnswered) {
  asio::io_context io;
  FakeFleet fleet(io);
  FakeEntry& entry = fleet.AddEntry("a");
  entry.store->refuse_appends = GetParam().is_turned_away ? 99 : 0;
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
        HandlerCase{"sound", R"({"partition":2,"records":[["0000000000000001","{}"]]})", false,
                    200},
        HandlerCase{"turned_away", R"({"partition":2,"records":[["0000000000000001","{}"]]})", true,
                    503},
        HandlerCase{"no_json", "records", false, 400},
        HandlerCase{"no_partition", R"({"records":[["a","b"]]})", false, 400},
        HandlerCase{"unknown_partition", R"({"partition":4,"records":[["a","b"]]})", false, 400},
        HandlerCase{"negative_partition", R"({"partition":-1,"records":[["a","b"]]})", false, 400},
        HandlerCase{"no_records", R"({"partition":2,"records":[]})", false, 400},
        HandlerCase{"half_a_row", R"({"partition":2,"records":[["a"]]})", false, 400},
        HandlerCase{"value_of_another_type", R"({"partition":2,"records":[["a",1]]})", false, 400}),
    [](const auto& info) { return info.param.name; });

}  // namespace
}  // namespace chervilspar::job_entry
