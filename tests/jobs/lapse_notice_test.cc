#include "chervilspar/jobs/lapse_notice.h"

#include <memory>

#include <gtest/gtest.h>

#include "tests/jobs/scheduler_harness.h"

namespace chervilspar::jobs {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using World = SchedulerHarness;

/// Owners that follow one another in one store, each with the next token. An endpoint has fallen
/// silent with a task on it.
class Owners {
 public:
  Owners() : world(std::make_unique<World>()) {
    this->world->Register({World::Endpoint("a"), World::Endpoint("b")});
    this->world->scheduler.AddJob(this->job, WallTime{});
    this->start = this->world->StartAll().at(0);
    this->other = this->start.endpoint == "a" ? "b" : "a";
    this->began = this->world->now;
  }

  /// A successor that knows what is stored, `skipped` claims after its predecessor's.
  void Succeed(std::uint64_t skipped = 0) {
    this->token += 1 + skipped;
    const TimePoint passed = TimePoint{} + (this->world->now - TimePoint{});
    auto next = std::make_unique<World>(SchedulerOptions{}, this->token);
    // Each scheduler begins at the zero of its own time.
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

  /// The silent endpoint answers nothing for so long, the other one answers all. Ends with the
  /// first start.
  std::vector<StartOrder> Live(Duration span) {
    std::vector<StartOrder> starts;
    const TimePoint end = this->world->now + span;
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

  /// The endpoint answers again.
  void Return(std::vector<ActiveRun> active) {
    this->world->scheduler.SetProof(this->world->now);
    this->world->AnswerRenewal(this->start.endpoint, std::move(active), {});
  }

  /// Over all owners.
  TimePoint Now() const { return this->world->now + this->offset; }

  Job job = World::MakeJob(1, {World::MakeStep(1)});
  std::uint64_t token = 1;
  std::unique_ptr<World> world;
  Duration offset{};
  StartOrder start;
  std::string other;
  TimePoint began{};
  /// When a renewal was last allowed at the silent endpoint.
  TimePoint renewed{};
};

struct OwnersCase {
  const char* name;
  /// How long each owner but the last lives.
  Duration term;
  int owners;
};

class SilentEndpoint : public ::testing::TestWithParam<OwnersCase> {};

/// Guards against work that is not given up on a dark endpoint, as each new owner waits anew for
/// leases that nobody renews.
TEST_P(SilentEndpoint, IsGivenUpInOneWaitHoweverOftenTheOwnerChanges) {
  Owners owners;
  const SchedulerOptions options;
  std::vector<StartOrder> starts;
  for (int i = 0; i < GetParam().owners && starts.empty(); ++i) {
    starts = owners.Live(GetParam().term);
    if (starts.empty()) {
      owners.Succeed();
    }
  }
  if (starts.empty()) {
    starts = owners.Live(options.predecessor_grace + options.LongestLease());
  }
  ASSERT_EQ(starts.size(), 1U);
  EXPECT_EQ(starts[0].endpoint, owners.other);
  // One wait for a predecessor, and for each change the pause until a silence is noticed.
  const Duration wait = options.predecessor_grace + options.LongestLease();
  const Duration notice = options.unresponsive_after + seconds(1);
  EXPECT_LT(owners.Now() - owners.began, wait + GetParam().owners * notice);
  EXPECT_GT(owners.Now() - owners.renewed, options.lease) << "while its lease may last";
}

INSTANTIATE_TEST_SUITE_P(Changes, SilentEndpoint,
                         ::testing::Values(OwnersCase{"one", seconds(3), 1},
                                           OwnersCase{"three", seconds(3), 3},
                                           OwnersCase{"three_long", seconds(5), 3},
                                           OwnersCase{"six", seconds(3), 6}),
                         [](const auto& info) { return info.param.name; });

/// Guards against a task that is started beside itself: an owner that left no notice of its own
/// came between, and may have renewed.
TEST(LapseNotice, CountsOnlyFromTheOwnerBefore) {
  Owners owners;
  const SchedulerOptions options;
  EXPECT_TRUE(owners.Live(seconds(3)).empty());
  owners.Succeed(1);
  EXPECT_TRUE(owners.Live(options.predecessor_grace + options.lease).empty());
  EXPECT_EQ(owners.Live(seconds(1)).size(), 1U);
}

/// Guards against the same: the endpoint answers again, and the notice is still stored.
TEST(LapseNotice, IsDroppedBeforeAnythingIsRenewed) {
  Owners owners;
  owners.Live(seconds(2));
  ASSERT_EQ(owners.world->lapses.size(), 1U);
  const std::string silent = owners.start.endpoint;
  owners.Return({World::Active(owners.start)});
  EXPECT_FALSE(owners.world->scheduler.PlanRenewal(silent, owners.world->now).order.lease_end_ms);
  owners.world->scheduler.AddJob(World::MakeJob(2, {World::MakeStep(12)}), WallTime{});
  for (const StartOrder& order : owners.world->Round().starts) {
    EXPECT_NE(order.endpoint, silent);
  }
  owners.world->AdvanceTime(milliseconds(30));
  owners.world->Round();
  EXPECT_TRUE(owners.world->lapses.empty());
  owners.world->scheduler.SetProof(owners.world->now);
  EXPECT_TRUE(owners.world->scheduler.PlanRenewal(silent, owners.world->now).order.lease_end_ms);
}

/// Guards against a notice that stays when its endpoint is gone, and is taken for one about the
/// next that has its id.
TEST(LapseNotice, GoesWithItsEndpoint) {
  Owners owners;
  owners.Live(seconds(2));
  ASSERT_EQ(owners.world->lapses.size(), 1U);
  owners.world->scheduler.SetEndpoints({World::Endpoint(owners.other)}, owners.world->now);
  owners.Live(SchedulerOptions{}.LongestLease());
  owners.world->scheduler.SetEndpoints({World::Endpoint(owners.other)}, owners.world->now);
  owners.Live(milliseconds(200));
  EXPECT_TRUE(owners.world->lapses.empty());
}

struct BadNotice {
  const char* name;
  const char* text;
  const char* field;
};

class UnreadableNotice : public ::testing::TestWithParam<BadNotice> {};

/// Guards against a record that stops a take-over, or whose fault can't be found.
TEST_P(UnreadableNotice, IsRefusedByItsField) {
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
