#include "chervilspar/scheduling/fleet_shares.h"

#include <algorithm>
#include <string>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "chervilspar/scheduling/run_time_estimator.h"

namespace chervilspar::scheduling {
namespace {

using std::chrono::milliseconds;

constexpr TimePoint kNow = TimePoint(std::chrono::seconds(100));

TeamId Team(std::size_t index) { return TeamId{"t" + std::to_string(index)}; }
EntryId Entry(std::size_t index) { return EntryId{"e" + std::to_string(index)}; }

FairQueue QueueOf(const std::vector<double>& shares) {
  FairQueue queue{SchedulingOptions{}};
  std::vector<TeamShare> teams;
  for (std::size_t index = 0; index < shares.size(); ++index) {
    teams.push_back({Team(index), shares[index], UrgentPermission::kDenied});
  }
  queue.SetTeams(teams);
  return queue;
}

double SlotsOf(const Division& division, const TeamId& team) {
  for (const TeamAllocation& part : division.teams) {
    if (part.team == team) {
      return part.slots;
    }
  }
  return 0.0;
}

struct DivideCase {
  const char* name;
  std::vector<double> shares;
  std::vector<std::uint32_t> demands;
  std::vector<double> expected;
};

class DivideTest : public testing::TestWithParam<DivideCase> {};

TEST_P(DivideTest, GivesWeightedMaxMinParts) {
  const FairQueue queue = QueueOf(GetParam().shares);
  std::vector<TeamLoad> loads;
  for (std::size_t team = 0; team < GetParam().demands.size(); ++team) {
    loads.push_back({Team(team), GetParam().demands[team], 0});
  }
  const FleetShares shares(Entry(0), ZoneId{"a"});
  const Division division = shares.Divide(loads, queue, 60.0, ShareScope::kFleet);
  for (std::size_t team = 0; team < loads.size(); ++team) {
    EXPECT_NEAR(SlotsOf(division, Team(team)), GetParam().expected[team], 1e-6);
  }
}

INSTANTIATE_TEST_SUITE_P(
    Demands, DivideTest,
    testing::Values(DivideCase{"AllWantMore", {1, 2, 3}, {99, 99, 99}, {10, 20, 30}},
                    DivideCase{"OneWantsLittle", {1, 2, 3}, {99, 99, 5}, {55.0 / 3, 110.0 / 3, 5}},
                    DivideCase{"EnoughForAll", {1, 1, 1}, {10, 20, 5}, {10, 20, 5}},
                    DivideCase{"OneAlone", {1, 1, 1}, {99, 0, 0}, {60, 0, 0}}),
    [](const auto& info) { return std::string(info.param.name); });

/// Returns the division that each entry computes when all have the same reports.
std::vector<Division> DivideAtEachEntry(const std::vector<std::vector<TeamLoad>>& loads,
                                        const FairQueue& queue, double slots) {
  std::vector<Division> divisions;
  for (std::size_t self = 0; self < loads.size(); ++self) {
    FleetShares shares(Entry(self), ZoneId{"a"});
    for (std::size_t peer = 0; peer < loads.size(); ++peer) {
      if (peer != self) {
        ShardReport report;
        report.teams = loads[peer];
        shares.OnReport(Entry(peer), {ZoneId{"a"}, report, kNow});
      }
    }
    divisions.push_back(shares.Divide(loads[self], queue, slots, ShareScope::kFleet));
  }
  return divisions;
}

// All entries send to the same slots without coordination. If their divisions differed, some slots
// would be claimed twice and others not at all.
RC_GTEST_PROP(FleetSharesProperty, EntriesAgreeAndUseEverySlot, ()) {
  const auto entries = *rc::gen::inRange<std::size_t>(1, 9);
  const auto teams = *rc::gen::inRange<std::size_t>(1, 7);
  std::vector<double> team_shares;
  for (std::size_t team = 0; team < teams; ++team) {
    team_shares.push_back(*rc::gen::inRange(1, 10));
  }
  std::vector<std::vector<TeamLoad>> loads(entries);
  for (auto& load : loads) {
    for (std::size_t team = 0; team < teams; ++team) {
      const auto demand = *rc::gen::inRange<std::uint32_t>(0, 200);
      load.push_back({Team(team), demand, 0});
    }
  }
  const FairQueue queue = QueueOf(team_shares);
  const auto divisions = DivideAtEachEntry(loads, queue, 80.0);
  double total = 0.0;
  for (const EntryAllocation& part : divisions[0].entries) {
    total += part.slots;
  }
  RC_ASSERT(std::abs(total - 80.0) < 1e-6);
  for (const Division& division : divisions) {
    RC_ASSERT(division.entries.size() == entries);
    for (std::size_t entry = 0; entry < entries; ++entry) {
      const double difference = division.entries[entry].slots - divisions[0].entries[entry].slots;
      RC_ASSERT(std::abs(difference) < 1e-6);
    }
  }
}

// All callers of the team with the larger share reach one entry, and those of the other team reach
// the other entries. If slots were divided per entry, the larger team would get a third of its
// share.
TEST(FleetSharesTest, TeamAtOneEntryKeepsItsShare) {
  const FairQueue queue = QueueOf({2.0, 1.0});
  std::vector<std::vector<TeamLoad>> loads{{{Team(0), 500, 0}}};
  for (int entry = 1; entry < 6; ++entry) {
    loads.push_back({{Team(1), 500, 0}});
  }
  const auto divisions = DivideAtEachEntry(loads, queue, 60.0);
  EXPECT_NEAR(divisions[0].entries[0].slots, 40.0, 1e-6);
  EXPECT_NEAR(divisions[3].teams[0].local_slots + divisions[3].teams[1].local_slots, 4.0, 1e-6);
}

// A peer crashes or is disconnected. If its last report stayed in effect, its slots would remain
// idle forever.
TEST(FleetSharesTest, StalePeerLosesItsSlots) {
  const FairQueue queue = QueueOf({1.0});
  FleetShares shares(Entry(0), ZoneId{"a"});
  ShardReport report;
  report.teams = {{Team(0), 100, 0}};
  shares.OnReport(Entry(1), {ZoneId{"b"}, report, kNow});
  const std::vector<TeamLoad> own{{Team(0), 100, 0}};
  EXPECT_NEAR(shares.Divide(own, queue, 60.0, ShareScope::kFleet).entries[0].slots, 30.0, 1e-6);
  shares.RemoveStalePeers(kNow + std::chrono::seconds(4), std::chrono::seconds(3));
  EXPECT_NEAR(shares.Divide(own, queue, 60.0, ShareScope::kFleet).entries[0].slots, 60.0, 1e-6);
}

struct DeclarationCase {
  const char* name;
  double factor;
};

class RunTimeEstimatorTest : public testing::TestWithParam<DeclarationCase> {};

// A team declares run times that are always wrong by the same factor. If estimates used the
// declared values, predicted waits would be wrong by that factor, too.
TEST_P(RunTimeEstimatorTest, EstimatesFromMeasuredRunTimes) {
  RunTimeEstimator estimator;
  const auto declared = [](Duration true_time) {
    return Duration(
        static_cast<Duration::rep>(static_cast<double>(true_time.count()) * GetParam().factor));
  };
  for (int count = 0; count < 300; ++count) {
    estimator.Observe(Team(0), declared(milliseconds(20)), milliseconds(20));
    estimator.Observe(Team(0), declared(milliseconds(2000)), milliseconds(2000));
  }
  const auto short_run = estimator.Expect(Team(0), declared(milliseconds(20)));
  const auto long_run = estimator.Expect(Team(0), declared(milliseconds(2000)));
  EXPECT_LT(short_run.mean, milliseconds(60));
  EXPECT_GT(long_run.mean, milliseconds(1500));
  EXPECT_LT(long_run.mean, milliseconds(2500));
}

INSTANTIATE_TEST_SUITE_P(Factors, RunTimeEstimatorTest,
                         testing::Values(DeclarationCase{"Hundredth", 0.01},
                                         DeclarationCase{"Tenth", 0.1},
                                         DeclarationCase{"Right", 1.0},
                                         DeclarationCase{"TenTimes", 10.0},
                                         DeclarationCase{"HundredTimes", 100.0}),
                         [](const auto& info) { return std::string(info.param.name); });

// A team sends requests of milliseconds to a service whose other teams run tasks of minutes. If its
// estimate included even a small part of their mean, its requests would be expected to run for
// seconds and be refused.
TEST(RunTimeEstimatorPriorTest, LongTasksOfOtherTeamsDontRaiseTheEstimate) {
  RunTimeEstimator estimator;
  for (int count = 0; count < 100; ++count) {
    estimator.Observe(Team(0), Duration::zero(), std::chrono::minutes(5));
  }
  for (int count = 0; count < 20; ++count) {
    estimator.Observe(Team(1), Duration::zero(), milliseconds(50));
  }
  EXPECT_LT(estimator.Expect(Team(1), Duration::zero()).p99, milliseconds(100));
}

}  // namespace
}  // namespace chervilspar::scheduling
