#include "chervilspar/jobs/lapse_notice.h"

#include <memory>

#include <gtest/gtest.h>

#include "tests/jobs/scheduler_harness.h"

namespace chervilspar::jobs {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using World = SchedulerHarness;

/// Successive owners with one store and increasing tokens. An endpoint with a task has become
/// unresponsive.
class Owners {
 public:
  Owners() : world(std::make_unique<World>()) {
    this->world->Register({World::Endpoint("a"), World::Endpoint("b")});
    this->world->scheduler.AddJob(this->job, WallTime{});
    this->start = this->world->StartAll().at(0);
    this->other = this->start.endpoint == "a" ? "b" : "a";
    this->unresponsive_since = this->world->now;
  }

  /// Replaces the owner by a successor that reads the store; `skipped` owners came in between.
  void Succeed(std::uint64_t skipped = 0) {
    this->token += 1 + skipped;
    const TimePoint passed = TimePoint{} + (this->world->now - TimePoint{});
    auto next = std::make_unique<World>(SchedulerOptions{}, this->token);
    // Each scheduler starts at zero of its own clock.
    this->offset += passed - TimePoint{};
    next->now = TimePoint{} + milliseconds(1);
    next->stored = this->world->stored;
    next->lapses = this->world->lapses;
    next->scheduler.SetEndpoints({World::Endpoint("a"), World::Endpoint("b")}, next->now);
    next->scheduler.AddJob(this->job, WallTime{});
    next->scheduler.RestoreProgress(JobId{1}, *DecodeProgress(next->stored.at(JobId{1})));
    std::vector<LapseNotice> notices;
    for (const auto& [endpoint, text] : next->lapses) {
      notices.push_back(*DecodeLapseNotice(text));
    }
    next->scheduler.RestoreLapseNotices(notices);
    this->world = std::move(next);
  }

  /// Runs the owner for `duration`, while one endpoint is unresponsive and the other one answers
  /// everything. Returns after the round with the first starts.
  std::vector<StartOrder> RunFor(Duration duration) {
    std::vector<StartOrder> starts;
    const TimePoint end = this->world->now + duration;
    while (this->world->now < end && starts.empty()) {
      this->world->scheduler.SetProof(this->world->now);
      this->world->AnswerRenewal(this->other, {}, {});
      const RenewalPlan plan =
          this->world->scheduler.PlanRenewal(this->start.endpoint, this->world->now);
      if (plan.order.lease_end_ms) {
        this->renewed = this->Now();
      }
      this->world->scheduler.OnRenewalFailed(this->start.endpoint, OrderOutcome::kNoAnswer,
                                             this->world->now);
      for (const StartOrder& order : this->world->Round().starts) {
        starts.push_back(order);
      }
      this->world->AdvanceTime(milliseconds(100));
    }
    return starts;
  }

  /// The unresponsive endpoint answers again.
  void Recover(std::vector<ActiveRun> active) {
    this->world->scheduler.SetProof(this->world->now);
    this->world->AnswerRenewal(this->start.endpoint, std::move(active), {});
  }

  /// The time on a clock that all owners share.
  TimePoint Now() const { return this->world->now + this->offset; }

  Job job = World::MakeJob(1, {World::MakeStep(1)});
  std::uint64_t token = 1;
  std::unique_ptr<World> world;
  Duration offset{};
  StartOrder start;
  std::string other;
  TimePoint unresponsive_since{};
  /// When a renewal was last allowed on the unresponsive endpoint.
  TimePoint renewed{};
};

struct OwnersCase {
  const char* name;
  /// The length of each owner's term except the last.
  Duration term;
  int owners;
};

class UnresponsiveEndpoint : public ::testing::TestWithParam<OwnersCase> {};

/// Guards against runs on an unreachable endpoint that are never abandoned, because each new owner
/// waits again for leases that nobody renews.
TEST_P(UnresponsiveEndpoint, IsAbandonedAfterOneWaitHoweverOftenTheOwnerChanges) {
  Owners owners;
  const SchedulerOptions options;
  std::vector<StartOrder> starts;
  for (int i = 0; i < GetParam().owners && starts.empty(); ++i) {
    starts = owners.RunFor(GetParam().term);
    if (starts.empty()) {
      owners.Succeed();
    }
  }
  if (starts.empty()) {
    starts = owners.RunFor(options.predecessor_grace + options.LongestLease());
  }
  ASSERT_EQ(starts.size(), 1U);
  EXPECT_EQ(starts[0].endpoint, owners.other);
  // One wait for a predecessor, and for each change of owner the time until a notice is made.
  const Duration wait = options.predecessor_grace + options.LongestLease();
  const Duration notice = options.unresponsive_after + seconds(1);
  EXPECT_LT(owners.Now() - owners.unresponsive_since, wait + GetParam().owners * notice);
  EXPECT_GT(owners.Now() - owners.renewed, options.lease) << "its lease may still be valid";
}

INSTANTIATE_TEST_SUITE_P(Changes, UnresponsiveEndpoint,
                         ::testing::Values(OwnersCase{"one", seconds(3), 1},
                                           OwnersCase{"three", seconds(3), 3},
                                           OwnersCase{"three_long", seconds(5), 3},
                                           OwnersCase{"six", seconds(3), 6}),
                         [](const auto& info) { return info.param.name; });

/// Guards against a task that runs twice: an owner in between made no notice and may have renewed
/// the leases.
TEST(LapseNotice, CountsOnlyFromTheDirectPredecessor) {
  Owners owners;
  const SchedulerOptions options;
  EXPECT_TRUE(owners.RunFor(seconds(3)).empty());
  owners.Succeed(1);
  EXPECT_TRUE(owners.RunFor(options.predecessor_grace + options.lease).empty());
  EXPECT_EQ(owners.RunFor(seconds(1)).size(), 1U);
}

/// Guards against a task that runs twice: the endpoint answers again while the notice is still
/// stored.
TEST(LapseNotice, IsDeletedBeforeLeasesAreRenewed) {
  Owners owners;
  owners.RunFor(seconds(2));
  ASSERT_EQ(owners.world->lapses.size(), 1U);
  const std::string unresponsive = owners.start.endpoint;
  owners.Recover({World::Active(owners.start)});
  EXPECT_FALSE(
      owners.world->scheduler.PlanRenewal(unresponsive, owners.world->now).order.lease_end_ms);
  owners.world->scheduler.AddJob(World::MakeJob(2, {World::MakeStep(12)}), WallTime{});
  for (const StartOrder& order : owners.world->Round().starts) {
    EXPECT_NE(order.endpoint, unresponsive);
  }
  owners.world->AdvanceTime(milliseconds(30));
  owners.world->Round();
  EXPECT_TRUE(owners.world->lapses.empty());
  owners.world->scheduler.SetProof(owners.world->now);
  EXPECT_TRUE(
      owners.world->scheduler.PlanRenewal(unresponsive, owners.world->now).order.lease_end_ms);
}

/// Guards against a notice that outlives its endpoint and is applied to the next endpoint with the
/// same id.
TEST(LapseNotice, IsDeletedWithItsEndpoint) {
  Owners owners;
  owners.RunFor(seconds(2));
  ASSERT_EQ(owners.world->lapses.size(), 1U);
  owners.world->scheduler.SetEndpoints({World::Endpoint(owners.other)}, owners.world->now);
  owners.RunFor(SchedulerOptions{}.LongestLease());
  owners.world->scheduler.SetEndpoints({World::Endpoint(owners.other)}, owners.world->now);
  owners.RunFor(milliseconds(200));
  EXPECT_TRUE(owners.world->lapses.empty());
}

struct BadNotice {
  const char* name;
  const char* text;
  const char* field;
};

class UnreadableNotice : public ::testing::TestWithParam<BadNotice> {};

/// Guards against an invalid record that blocks a take-over, or an error that doesn't name the
/// field.
TEST_P(UnreadableNotice, IsRejectedNamingTheField) {
  const Result<LapseNotice> read = DecodeLapseNotice(GetParam().text);
  ASSERT_FALSE(read);
  EXPECT_EQ(read.LastReason().field, GetParam().field);
}

INSTANTIATE_TEST_SUITE_P(
    Records, UnreadableNotice,
    ::testing::Values(
        BadNotice{"empty", "", ""}, BadNotice{"cut", R"({"endpoint":"a")", ""},
        BadNotice{"without_endpoint", R"({"token":1,"remaining_ms":5})", "endpoint"},
        BadNotice{"endpoint_not_text", R"({"endpoint":4,"token":1,"remaining_ms":5})", "endpoint"},
        BadNotice{"token_not_number", R"({"endpoint":"a","token":"1","remaining_ms":5})", "token"},
        BadNotice{"negative", R"({"endpoint":"a","token":1,"remaining_ms":-5})", "remaining_ms"}),
    [](const auto& info) { return info.param.name; });

TEST(LapseNotice, IsReadAsWritten) {
  const LapseNotice notice{"i-7", 12, milliseconds(4380)};
  const Result<LapseNotice> read = DecodeLapseNotice(EncodeLapseNotice(notice));
  ASSERT_TRUE(read);
  EXPECT_EQ(*read, notice);
}

}  // namespace
}  // namespace chervilspar::jobs
