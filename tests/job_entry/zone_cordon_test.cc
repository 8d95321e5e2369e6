#include <functional>

#include <gtest/gtest.h>

#include "chervilspar/http/client.h"

#include "job_entry/caller_handler.h"
#include "tests/job_entry/fake_fleet.h"

namespace chervilspar::job_entry {
namespace {

namespace asio = boost::asio;
using std::chrono::milliseconds;
using std::chrono::seconds;

const ZoneId kEast{"east"};
const ZoneId kWest{"west"};
constexpr std::uint32_t kTasks = 6;

/// One entry, and an endpoint in each of two zones.
class CordonedFleet {
 public:
  CordonedFleet() : fleet(this->io, 0) {
    auto& endpoints = this->fleet.store.At(Topic::kEndpoints, 0).records;
    endpoints.push_back({"e", "zone:" + kEast.text});
    endpoints.push_back({"w", "zone:" + kWest.text});
  }

  void Start() {
    this->entry = &this->fleet.AddEntry("a");
    this->entry->settings.fleet_zones = {kEast, kWest};
    this->RunUntil(seconds(5), [this] { return IsServing(*this->entry); });
  }

  void Write(const std::string& key, std::optional<std::string> value) {
    this->fleet.store.At(Topic::kOperators, 0).records.push_back({key, std::move(value)});
  }

  void Submit(std::uint64_t number) {
    asio::co_spawn(
        this->io,
        [this, number]() -> asio::awaitable<void> {
          const jobs::Job job = FakeFleet::MakeJob(number, kTasks);
          KeyedRecord record{SubmissionKey(job.id), jobs::EncodeJob(job)};
          co_await this->entry->writer->Write(std::move(record));
        },
        asio::detached);
  }

  void RunUntil(Duration timeout, const std::function<bool()>& is_done) {
    job_entry::RunUntil(this->io, timeout, is_done);
  }

  std::size_t StartsAt(const std::string& endpoint) {
    return this->fleet.endpoints.endpoints[endpoint].last_run.size();
  }

  asio::io_context io;
  FakeFleet fleet;
  FakeEntry* entry = nullptr;
};

struct RecordCase {
  const char* name;
  /// In this order; a record without a value removes the cordon.
  std::vector<KeyedRecord> records;
  std::set<ZoneId> cordoned;
};

class CordonRecords : public ::testing::TestWithParam<RecordCase> {};

/// Guards against a zone that stays cordoned, or not cordoned, after records in quick succession or
/// unreadable records.
TEST_P(CordonRecords, LeaveTheLastGoodState) {
  CordonedFleet world;
  world.Start();
  world.entry->operators.OnRecords(GetParam().records);
  EXPECT_EQ(world.entry->operators.CordonedZones(), GetParam().cordoned);
  world.entry->operators.OnNewest(GetParam().records);
  EXPECT_EQ(world.entry->operators.CordonedZones(), GetParam().cordoned) << "read again";
  world.entry->operators.OnNewest({{"rules", "1"}});
  EXPECT_TRUE(world.entry->operators.CordonedZones().empty()) << "the records are gone";
}

INSTANTIATE_TEST_SUITE_P(
    Records, CordonRecords,
    ::testing::Values(
        RecordCase{"set", {{"cordon/east", "x"}}, {kEast}},
        RecordCase{"set_twice", {{"cordon/east", "x"}, {"cordon/east", "x"}}, {kEast}},
        RecordCase{"set_and_lifted", {{"cordon/east", "x"}, {"cordon/east", std::nullopt}}, {}},
        RecordCase{"lifted_and_set_again",
                   {{"cordon/east", "x"}, {"cordon/east", std::nullopt}, {"cordon/east", "x"}},
                   {kEast}},
        RecordCase{"two_zones", {{"cordon/east", "x"}, {"cordon/west", "x"}}, {kEast, kWest}},
        RecordCase{"unreadable", {{"cordon/east", "?"}}, {}},
        RecordCase{"unreadable_after_one_that_holds",
                   {{"cordon/east", "x"}, {"cordon/east", "?"}},
                   {kEast}},
        RecordCase{"unknown_zone", {{"cordon/north", "x"}}, {ZoneId{"north"}}},
        RecordCase{"lifted_and_never_set", {{"cordon/east", std::nullopt}}, {}}),
    [](const auto& info) { return info.param.name; });

/// Guards against a new owner whose first orders go to a zone that was cordoned before its term.
TEST(CordonedFleet, IsKnownBeforeTheFirstOrder) {
  CordonedFleet world;
  world.Write("cordon/east", "x");
  world.Start();
  world.Submit(1);
  world.RunUntil(seconds(5), [&] { return world.StartsAt("w") == kTasks; });
  EXPECT_EQ(world.StartsAt("w"), kTasks);
  EXPECT_EQ(world.StartsAt("e"), 0U);
}

/// Guards against starts by an entry that has lost the store: a cordon may have been in force for
/// long.
TEST(CordonedFleet, NothingMayStartWithoutRecentProof) {
  CordonedFleet world;
  world.entry = &world.fleet.AddEntry("a");
  world.entry->settings.cordon_bound = seconds(3);
  OperatorView bounded(world.entry->context);
  EXPECT_FALSE(bounded.MayStartIn(kEast)) << "no cordons are known yet";
  bounded.Start();
  world.RunUntil(seconds(2), [&] { return bounded.MayStartIn(kEast); });
  EXPECT_TRUE(bounded.MayStartIn(kEast));
  world.fleet.store.is_down = true;
  world.io.run_for(seconds(3));
  EXPECT_FALSE(bounded.MayStartIn(kEast))
      << "the store has been unreachable for as long as the bound";
}

struct SubmissionCase {
  const char* name;
  std::vector<KeyedRecord> cordons;
  unsigned status;
  std::string retry_after;
};

class Submissions : public ::testing::TestWithParam<SubmissionCase> {};

/// Guards against callers that wait for a job that can't be started anywhere.
TEST_P(Submissions, AreRefusedAtOnceWhereNothingCanStart) {
  CordonedFleet world;
  for (const KeyedRecord& record : GetParam().cordons) {
    world.Write(record.key, record.value);
  }
  world.Start();
  world.RunUntil(seconds(3), [&] {
    return world.entry->Find(jobs::JobId{1}).knowledge == OwnerTerm::Knowledge::kNoSuchJob;
  });
  http::Client client({}, {}, nullptr);
  JobQueries questions(world.entry->context, *world.entry->election, world.entry->directory,
                       client);
  CallerHandler handler(world.entry->context, world.entry->operators, *world.entry->writer,
                        questions);
  http::Request request;
  request.method = "POST";
  request.target = "/v1/queues/bookings/jobs/5c0e7a21d94b36f8";
  request.body = R"({"payload":"x","steps":[{"count":1,"cpu":500,"memory":1,"estimate":100}]})";
  std::optional<http::Response> response;
  asio::co_spawn(
      world.io,
      [&]() -> asio::awaitable<void> { response = co_await handler.Handle(request, nullptr); },
      asio::detached);
  world.RunUntil(seconds(3), [&] { return response.has_value(); });
  ASSERT_TRUE(response);
  EXPECT_EQ(response->status, GetParam().status) << response->body;
  EXPECT_EQ(response->headers.Find("Retry-After").value_or(""), GetParam().retry_after);
}

INSTANTIATE_TEST_SUITE_P(
    Cordons, Submissions,
    ::testing::Values(SubmissionCase{"no_zone", {}, 200, ""},
                      SubmissionCase{"one_zone", {{"cordon/east", "x"}}, 200, ""},
                      SubmissionCase{
                          "all_zones", {{"cordon/east", "x"}, {"cordon/west", "x"}}, 503, "2"}),
    [](const auto& info) { return info.param.name; });

}  // namespace
}  // namespace chervilspar::job_entry
