#include "job_entry/job_writer.h"

#include <functional>
#include <optional>
#include <set>
#include <string>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <gtest/gtest.h>

#include "tests/job_entry/fake_fleet.h"

namespace chervilspar::job_entry {
namespace {

namespace asio = boost::asio;

/// A fault of the store, the resulting verdict and the number of stored records.
struct VerdictCase {
  const char* name;
  std::function<void(FakeStoreLink&)> inject_fault;
  WriteVerdict verdict;
  std::size_t stored;
};

class Verdicts : public ::testing::TestWithParam<VerdictCase> {};

TEST_P(Verdicts, MatchWhatIsStored) {
  asio::io_context io;
  FakeFleet fleet(io);
  FakeEntry entry(io, fleet.store, fleet.endpoints, fleet.vms, "a");
  GetParam().inject_fault(*entry.store);
  std::optional<WriteVerdict> verdict;
  asio::co_spawn(
      io,
      [&]() -> asio::awaitable<void> {
        KeyedRecord record{"k", "v"};
        verdict = co_await entry.writer->Write(std::move(record));
      },
      asio::detached);
  RunUntil(io, std::chrono::seconds(5), [&] { return verdict.has_value(); });
  ASSERT_TRUE(verdict);
  EXPECT_EQ(*verdict, GetParam().verdict);
  std::set<std::string> keys;
  for (std::uint32_t partition = 0; partition < kDefaultJobPartitions; ++partition) {
    for (const KeyedRecord& record : fleet.store.At(Topic::kJobs, partition).records) {
      keys.insert(record.key);
    }
  }
  EXPECT_EQ(keys.size(), GetParam().stored);
}

INSTANTIATE_TEST_SUITE_P(
    Store, Verdicts,
    ::testing::Values(
        VerdictCase{"answers", [](FakeStoreLink&) {}, WriteVerdict::kStored, 1},
        VerdictCase{"refuses", [](FakeStoreLink& link) { link.refuse_appends = 9; },
                    WriteVerdict::kNotStored, 0},
        VerdictCase{"loses_one_answer", [](FakeStoreLink& link) { link.lose_answers = 1; },
                    WriteVerdict::kStored, 1},
        VerdictCase{"loses_all_answers", [](FakeStoreLink& link) { link.lose_answers = 1000; },
                    WriteVerdict::kMayBeStored, 1},
        // The first append may still take effect, so that the refusal of the second proves nothing.
        VerdictCase{"loses_one_answer_and_refuses",
                    [](FakeStoreLink& link) {
                      link.lose_answers = 1;
                      link.refuses_after_loss = true;
                    },
                    WriteVerdict::kMayBeStored, 1},
        VerdictCase{"rejects_the_record", [](FakeStoreLink& link) { link.rejects_appends = true; },
                    WriteVerdict::kRejected, 0},
        VerdictCase{"does_not_answer", [](FakeStoreLink& link) { link.is_disconnected = true; },
                    WriteVerdict::kMayBeStored, 0}),
    [](const auto& info) { return info.param.name; });

/// Guards against callers that are refused since another caller's record, which the store rejects,
/// shares their append.
TEST(WriterBesideARejectedRecord, StoresTheOthers) {
  asio::io_context io;
  FakeFleet fleet(io);
  FakeEntry entry(io, fleet.store, fleet.endpoints, fleet.vms, "a");
  std::map<std::string, WriteVerdict> verdicts;
  const std::string too_large(fleet.store.max_record_bytes, 'x');
  for (const char* key : {"first", "too_large", "third", "fourth"}) {
    asio::co_spawn(
        io,
        [&, key]() -> asio::awaitable<void> {
          KeyedRecord record{key, key == std::string("too_large") ? too_large : "v"};
          verdicts[key] = co_await entry.writer->Write(std::move(record));
        },
        asio::detached);
  }
  RunUntil(io, std::chrono::seconds(5), [&] { return verdicts.size() == 4; });
  const std::map<std::string, WriteVerdict> expected = {{"first", WriteVerdict::kStored},
                                                        {"too_large", WriteVerdict::kRejected},
                                                        {"third", WriteVerdict::kStored},
                                                        {"fourth", WriteVerdict::kStored}};
  EXPECT_EQ(verdicts, expected);
}

/// Guards against appends that the store rejects as many large submissions wait for the same one.
TEST(WriterOfLargeRecords, KeepsEachAppendWithinTheLimit) {
  constexpr std::size_t kRecords = 30;
  asio::io_context io;
  FakeFleet fleet(io);
  FakeEntry entry(io, fleet.store, fleet.endpoints, fleet.vms, "a");
  const std::string large(fleet.store.max_record_bytes - 100, 'x');
  std::size_t stored = 0;
  for (std::size_t i = 0; i < kRecords; ++i) {
    asio::co_spawn(
        io,
        [&, i]() -> asio::awaitable<void> {
          KeyedRecord record{std::to_string(i), large};
          stored +=
              co_await entry.writer->Write(std::move(record)) == WriteVerdict::kStored ? 1 : 0;
        },
        asio::detached);
  }
  RunUntil(io, std::chrono::seconds(5), [&] { return stored == kRecords; });
  EXPECT_EQ(stored, kRecords);
  EXPECT_EQ(fleet.store.rejected_appends, 0);
}

}  // namespace
}  // namespace chervilspar::job_entry
