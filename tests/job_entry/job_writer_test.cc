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
        VerdictCase{"does_not_answer", [](FakeStoreLink& link) { link.is_disconnected = true; },
                    WriteVerdict::kMayBeStored, 0}),
    [](const auto& info) { return info.param.name; });

}  // namespace
}  // namespace chervilspar::job_entry
