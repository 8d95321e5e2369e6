#include <algorithm>
#include <set>

#include <gtest/gtest.h>

#include "tests/jobs/scheduler_harness.h"

namespace chervilspar::jobs {
namespace {

using Harness = SchedulerHarness;

constexpr std::uint32_t kMembers = 4;
/// As in the harness.
constexpr std::size_t kAttempts = 2;

/// A gang of four, of which an endpoint takes two.
Job MakeGang() {
  Step step = Harness::MakeStep(kMembers, 2000);
  step.is_gang = true;
  return Harness::MakeJob(1, {step});
}

std::vector<EndpointRecord> MakeEndpoints(const std::vector<std::string>& ids) {
  std::vector<EndpointRecord> records;
  records.reserve(ids.size());
  for (const std::string& id : ids) {
    records.push_back(Harness::Endpoint(id, 4));
  }
  return records;
}

/// One gang on endpoints that end its runs, under successive owners.
class GangWorld {
 public:
  explicit GangWorld(const std::vector<std::string>& endpoints) {
    this->owner->Register(MakeEndpoints(endpoints));
    this->owner->scheduler.AddJob(MakeGang(), WallTime{});
    this->StartAll();
  }

  void StartAll() {
    this->starts = this->owner->StartAll();
    std::sort(this->starts.begin(), this->starts.end(),
              [](const StartOrder& one, const StartOrder& other) { return one.task < other.task; });
  }

  std::set<std::string> Endpoints() const {
    std::set<std::string> used;
    for (const StartOrder& start : this->starts) {
      used.insert(start.endpoint);
    }
    return used;
  }

  /// Reports the ends of the members on the endpoint: `failed` for those, `broken` for the others.
  void EndOn(const std::string& endpoint, const std::set<std::uint32_t>& failed) {
    std::vector<EndedRun> ended;
    for (const StartOrder& start : this->starts) {
      if (start.endpoint == endpoint) {
        const bool has_failed = failed.contains(start.task.index);
        ended.push_back(Harness::Ended(++this->last_end, start,
                                       has_failed ? RunEnd::kFailed : RunEnd::kGangBroken));
      }
    }
    this->owner->AnswerRenewal(endpoint, {}, ended);
  }

  /// A successor reads what is stored.
  void TakeOver() {
    this->owner->Store();
    auto next = std::make_unique<Harness>(SchedulerOptions{}, ++this->token);
    next->now = this->owner->now;
    next->stored = this->owner->stored;
    next->Register(this->owner->endpoints);
    next->scheduler.AddJob(MakeGang(), WallTime{});
    next->scheduler.RestoreProgress(JobId{1}, *DecodeProgress(next->stored.at(JobId{1})));
    this->owner = std::move(next);
  }

  std::uint64_t token = 1;
  std::uint64_t last_end = 0;
  std::unique_ptr<Harness> owner = std::make_unique<Harness>();
  std::vector<StartOrder> starts;
};

struct FailedRunCase {
  const char* name;
  std::set<std::uint32_t> failed;
  bool changes_owner;
};

/// Guards against a gang that is given up after one run, as each member that failed in the run was
/// counted as an attempt.
class FailedGangRun : public ::testing::TestWithParam<FailedRunCase> {};

TEST_P(FailedGangRun, IsOneAttempt) {
  GangWorld world({"a", "b"});
  for (std::size_t attempt = 1; attempt <= kAttempts; ++attempt) {
    ASSERT_EQ(world.starts.size(), kMembers) << "attempt " << attempt;
    EXPECT_EQ(world.starts[0].run, attempt);
    world.EndOn("a", GetParam().failed);
    if (GetParam().changes_owner) {
      world.TakeOver();
    }
    world.EndOn("b", GetParam().failed);
    world.owner->Store();
    EXPECT_EQ(world.owner->PhaseOf(1) == JobPhase::kFailed, attempt == kAttempts);
    world.StartAll();
  }
  EXPECT_TRUE(world.starts.empty());
}

INSTANTIATE_TEST_SUITE_P(
    Members, FailedGangRun,
    ::testing::Values(FailedRunCase{"one_member", {1}, false},
                      FailedRunCase{"all_of_one_endpoint", {0, 1}, false},
                      FailedRunCase{"one_of_each_endpoint", {0, 2}, false},
                      FailedRunCase{"all", {0, 1, 2, 3}, false},
                      FailedRunCase{"one_member_before_a_change_of_owner", {0}, true},
                      FailedRunCase{"one_member_after_a_change_of_owner", {3}, true},
                      FailedRunCase{"members_before_and_after_a_change_of_owner", {0, 2}, true}),
    [](const auto& info) { return info.param.name; });

/// Guards against an attempt that is counted twice, as an end of the run is reported only after the
/// next run was started.
TEST(GangAttempts, ALateEndOfACountedRunIsNoFurtherAttempt) {
  GangWorld world({"a", "b"});
  const std::vector<StartOrder> first = world.starts;
  world.EndOn("a", {0, 1});
  // The members at "b" are stopped, and it shows neither them nor their ends at first.
  for (const StopOrder& stop : world.owner->Round().stops) {
    world.owner->scheduler.OnStopAnswered(stop, OrderOutcome::kDone, world.owner->now);
  }
  world.owner->AdvanceTime(std::chrono::milliseconds(1));
  world.owner->AnswerRenewal("b", {}, {});
  world.StartAll();
  ASSERT_EQ(world.starts.size(), kMembers);
  std::vector<EndedRun> late;
  std::vector<ActiveRun> active;
  for (std::size_t i = 0; i < kMembers; ++i) {
    if (first[i].endpoint == "b") {
      late.push_back(Harness::Ended(late.size() + 1, first[i], RunEnd::kFailed));
    }
    if (world.starts[i].endpoint == "b") {
      active.push_back(Harness::Active(world.starts[i]));
    }
  }
  world.owner->AnswerRenewal("b", active, late);
  world.owner->Store();
  EXPECT_NE(world.owner->PhaseOf(1), JobPhase::kFailed);
}

/// Guards against all attempts on one endpoint that fails everything, while others have room.
TEST(GangAttempts, NoMemberReturnsToAnEndpointWhereAnotherOneFailed) {
  GangWorld world({"a", "b", "c"});
  ASSERT_EQ(world.Endpoints(), (std::set<std::string>{"a", "b"}));
  world.EndOn("a", {0});
  world.EndOn("b", {});
  world.StartAll();
  EXPECT_EQ(world.Endpoints(), (std::set<std::string>{"b", "c"}));
}

/// Guards against the ejection of an endpoint for two failures, as one of them was that of several
/// members of a gang.
TEST(GangAttempts, MembersThatFailTogetherAreOneFailureOfTheirEndpoint) {
  Harness harness;
  harness.Register({Harness::Endpoint("a")});
  Step step = Harness::MakeStep(2);
  step.is_gang = true;
  harness.scheduler.AddJob(Harness::MakeJob(1, {step}), WallTime{});
  harness.scheduler.AddJob(Harness::MakeJob(2, {Harness::MakeStep(1)}), WallTime{});
  const std::vector<StartOrder> starts = harness.StartAll();
  ASSERT_EQ(starts.size(), 3U);
  std::vector<EndedRun> ended;
  ended.reserve(starts.size());
  for (const StartOrder& start : starts) {
    ended.push_back(Harness::Ended(ended.size() + 1, start, RunEnd::kFailed));
  }
  harness.AnswerRenewal("a", {}, ended);
  EXPECT_EQ(harness.StartAll().size(), 3U) << "it is not ejected";
}

}  // namespace
}  // namespace chervilspar::jobs
