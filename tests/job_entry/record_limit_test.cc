#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <gtest/gtest.h>

#include "job_entry/append_plan.h"
#include "tests/job_entry/fake_fleet.h"

namespace chervilspar::job_entry {
namespace {

namespace asio = boost::asio;
using std::chrono::seconds;

constexpr std::uint32_t kTasksOfLargeJob = 48;

/// The store's limits on a record and on an append.
struct LimitCase {
  const char* name;
  std::size_t record_bytes;
  std::size_t append_bytes;
  /// The entries know the limits.
  bool are_known;
};

/// A job whose progress is larger than one record may be, beside jobs of others.
class LimitedStore : public ::testing::TestWithParam<LimitCase> {
 protected:
  LimitedStore() : fleet(this->io, 8) {
    this->fleet.store.max_record_bytes = GetParam().record_bytes;
    this->fleet.store.max_append_bytes = GetParam().append_bytes;
    this->fleet.endpoints.task_time = std::chrono::milliseconds(600);
    this->AddEntry("a");
    RunUntil(this->io, seconds(5), [this] { return IsServing(*this->fleet.entries[0]); });
  }

  void AddEntry(const std::string& name) {
    this->fleet.entries.push_back(std::make_unique<FakeEntry>(
        this->io, this->fleet.store, this->fleet.endpoints, this->fleet.vms, name));
    FakeEntry& entry = *this->fleet.entries.back();
    if (GetParam().are_known) {
      entry.settings.record_limit = static_cast<std::uint32_t>(GetParam().record_bytes);
      entry.settings.append_limit = static_cast<std::uint32_t>(GetParam().append_bytes);
    }
    entry.Start();
  }

  void Submit(std::uint64_t number, std::uint32_t tasks) {
    std::optional<WriteVerdict> verdict;
    asio::co_spawn(
        this->io,
        [&]() -> asio::awaitable<void> {
          const jobs::Job job = FakeFleet::MakeJob(number, tasks);
          KeyedRecord record{SubmissionKey(job.id), jobs::EncodeJob(job)};
          verdict = co_await this->fleet.entries[0]->writer->Write(std::move(record));
        },
        asio::detached);
    RunUntil(this->io, seconds(3), [&] { return verdict.has_value(); });
    ASSERT_EQ(verdict, WriteVerdict::kStored);
  }

  bool IsComplete(std::uint64_t number) const {
    return std::any_of(this->fleet.entries.begin(), this->fleet.entries.end(),
                       [number](const auto& entry) {
                         const OwnerTerm::Answer answer = entry->Find(jobs::JobId{number});
                         return answer.knowledge == OwnerTerm::Knowledge::kKnown &&
                                answer.phase == jobs::JobPhase::kComplete;
                       });
  }

  bool AwaitEnd(std::uint64_t number, Duration timeout) {
    RunUntil(this->io, timeout, [&] { return this->IsComplete(number); });
    return this->IsComplete(number);
  }

  asio::io_context io;
  FakeFleet fleet;
};

/// Guards against a job that outgrows the store's limits, and nothing is started any more for
/// anybody.
TEST_P(LimitedStore, ServesTheJobAndThoseOfOthers) {
  this->Submit(1, kTasksOfLargeJob);
  RunUntil(this->io, std::chrono::milliseconds(200), [] { return false; });
  this->Submit(2, 2);
  EXPECT_TRUE(this->AwaitEnd(2, seconds(4)));
  EXPECT_TRUE(this->AwaitEnd(1, seconds(8)));
  EXPECT_EQ(this->fleet.endpoints.violations, std::vector<std::string>{});
  EXPECT_EQ(this->fleet.endpoints.starts.size(), kTasksOfLargeJob + 2U);
}

/// Guards against a successor that reads a part of the job's progress, and starts its other tasks a
/// second time.
TEST_P(LimitedStore, HandsTheJobOver) {
  this->Submit(1, kTasksOfLargeJob);
  RunUntil(this->io, seconds(4),
           [this] { return this->fleet.endpoints.starts.size() == kTasksOfLargeJob; });
  this->AddEntry("b");
  RunUntil(this->io, std::chrono::milliseconds(100), [] { return false; });
  this->fleet.entries[0]->Disconnect();
  EXPECT_TRUE(this->AwaitEnd(1, seconds(10)));
  EXPECT_EQ(this->fleet.endpoints.violations, std::vector<std::string>{});
  EXPECT_EQ(this->fleet.endpoints.starts.size(), kTasksOfLargeJob);
}

INSTANTIATE_TEST_SUITE_P(Limits, LimitedStore,
                         ::testing::Values(LimitCase{"unlimited", 262144, 2097152, true},
                                           LimitCase{"small_records", 1100, 2097152, true},
                                           LimitCase{"unknown_small_records", 1100, 2097152, false},
                                           LimitCase{"small_appends", 1100, 4500, true}),
                         [](const auto& info) { return info.param.name; });

KeyedRecord RecordOf(const std::string& key, std::size_t bytes) {
  return {key, std::string(bytes, 'x')};
}

struct PlanCase {
  const char* name;
  std::vector<KeyedRecord> records;
  /// The keys of the records of each append.
  std::vector<std::vector<std::string>> appends;
};

const std::string kJob = "5c0e7a21d94b36f8";
const std::string kOtherJob = "7d41c09be2a65f13";

class PlannedAppends : public ::testing::TestWithParam<PlanCase> {};

/// Guards against appends that are too large, and against parts of a job that are stored without
/// the others.
TEST_P(PlannedAppends, KeepTheLimitAndTheParts) {
  std::vector<std::vector<std::string>> keys;
  for (const std::vector<KeyedRecord>& append : DivideByLimit(GetParam().records, 100)) {
    keys.emplace_back();
    for (const KeyedRecord& record : append) {
      keys.back().push_back(record.key);
    }
  }
  EXPECT_EQ(keys, GetParam().appends);
}

INSTANTIATE_TEST_SUITE_P(
    Records, PlannedAppends,
    ::testing::Values(PlanCase{"none", {}, {{}}},
                      PlanCase{"one_append", {RecordOf("a", 30), RecordOf("b", 30)}, {{"a", "b"}}},
                      PlanCase{"two_appends",
                               {RecordOf("a", 60), RecordOf("b", 60), RecordOf("c", 10)},
                               {{"a"}, {"b", "c"}}},
                      PlanCase{
                          "parts_stay_together",
                          {RecordOf(kOtherJob, 40), RecordOf(kJob, 20), RecordOf(kJob + "/1", 10)},
                          {{kOtherJob}, {kJob, kJob + "/1"}}},
                      PlanCase{"one_larger_than_the_limit",
                               {RecordOf("a", 10), RecordOf(kJob, 200), RecordOf(kJob + "/1", 10),
                                RecordOf("b", 10)},
                               {{"a"}, {kJob, kJob + "/1"}, {"b"}}},
                      PlanCase{"notices_are_no_parts",
                               {RecordOf("lapse/a", 60), RecordOf("lapse/b", 60)},
                               {{"lapse/a"}, {"lapse/b"}}}),
    [](const auto& info) { return info.param.name; });

}  // namespace
}  // namespace chervilspar::job_entry
