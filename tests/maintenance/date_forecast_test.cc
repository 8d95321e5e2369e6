#include "chervilspar/maintenance/date_forecast.h"

#include <functional>
#include <string>

#include <gtest/gtest.h>

#include "bench/wave_fleet.h"
#include "fleet_fixture.h"

namespace chervilspar::maintenance {
namespace {

using bench::ServingPool;
using inventory::MoveTarget;

constexpr StepTimes kTimes;
constexpr Duration kStep = kTimes.drain + kTimes.reboot + kTimes.overhead;

/// A fleet with a move, and the expected forecast.
struct DateCase {
  std::string name;
  std::function<void(FleetFixture&)> arrange;
  DateVerdict expected = DateVerdict::kMet;
  std::size_t blocked_pools = 0;
};

void SetDate(FleetFixture& fleet, Duration from_now) {
  fleet.state.inventory.move->date = kNow + from_now;
}

class DateForecastTest : public testing::TestWithParam<DateCase> {};

// A date that can't be met must be reported when the inventory is published. If it is noticed only
// on that date, the last VMs are shut down with the building.
TEST_P(DateForecastTest, AssessesTheDate) {
  FleetFixture fleet;
  fleet.state.inventory.maintenance.every = Duration::zero();
  GetParam().arrange(fleet);
  const DateForecast forecast = ForecastDate(fleet.state, kTimes, kNow);
  EXPECT_EQ(forecast.verdict, GetParam().expected) << ToString(forecast.verdict);
  EXPECT_EQ(forecast.blocked_pools.size(), GetParam().blocked_pools);
  const bool can_end =
      GetParam().expected != DateVerdict::kNever && GetParam().expected != DateVerdict::kNoMove;
  EXPECT_EQ(forecast.earliest_date.has_value(), can_end);
}

INSTANTIATE_TEST_SUITE_P(
    Cases, DateForecastTest,
    testing::Values(DateCase{"NoMove", [](FleetFixture&) {}, DateVerdict::kNoMove, 0},
                    DateCase{"OneVmInADay",
                             [](FleetFixture& fleet) {
                               fleet.MoveOut({MoveTarget{fleet.VmAt(0), ServingPool(1)}});
                             },
                             DateVerdict::kMet, 0},
                    DateCase{"OneVmInAMinute",
                             [](FleetFixture& fleet) {
                               fleet.MoveOut({MoveTarget{fleet.VmAt(0), ServingPool(1)}});
                               SetDate(fleet, std::chrono::minutes(1));
                             },
                             DateVerdict::kTooEarly, 0},
                    DateCase{"MoreThanThePoolCanRelease",
                             [](FleetFixture& fleet) {
                               fleet.MoveOut({MoveTarget{fleet.VmAt(0), std::nullopt},
                                              MoveTarget{fleet.VmAt(1), std::nullopt},
                                              MoveTarget{fleet.VmAt(2), std::nullopt}});
                             },
                             DateVerdict::kNever, 1},
                    DateCase{"SparesComeInForTheLeaving",
                             [](FleetFixture& fleet) {
                               fleet.MoveOut({MoveTarget{fleet.VmAt(0), std::nullopt},
                                              MoveTarget{fleet.VmAt(1), std::nullopt},
                                              MoveTarget{fleet.VmAt(50), ServingPool(0)}});
                             },
                             DateVerdict::kMet, 0},
                    DateCase{"TwoFullPoolsSwapVms",
                             [](FleetFixture& fleet) {
                               fleet.SetSlack(1);
                               fleet.MoveOut({MoveTarget{fleet.VmAt(0), ServingPool(1)},
                                              MoveTarget{fleet.VmAt(10), ServingPool(0)}});
                             },
                             DateVerdict::kNever, 2},
                    DateCase{"OnlyTheMoveHasFreeCapacity",
                             [](FleetFixture& fleet) {
                               fleet.SetSlack(0);
                               fleet.state.inventory.maintenance.every = std::chrono::hours(24);
                               fleet.MoveOut({MoveTarget{fleet.VmAt(50), ServingPool(0)}});
                             },
                             DateVerdict::kMet, 5}),
    [](const auto& info) { return info.param.name; });

TEST(DateForecastTest, LowerBoundFollowsTheTightestPool) {
  FleetFixture fleet;
  fleet.SetSlack(3);
  fleet.state.inventory.pools.at(ServingPool(2)).min_available = 8;
  fleet.state.inventory.maintenance.weights.roll_out_time = 0;
  const DateForecast forecast = ForecastDate(fleet.state, kTimes, kNow);
  EXPECT_EQ(forecast.lower_bound, 10 * kStep);
  ASSERT_TRUE(forecast.expected_end.has_value());
  EXPECT_GE(*forecast.expected_end, kNow + forecast.lower_bound);
}

TEST(DateForecastTest, LowerBoundFollowsTheFullestRack) {
  FleetFixture fleet;
  fleet.SetSlack(9);
  fleet.PutInRack(kAllVms, "shared");
  EXPECT_EQ(ForecastDate(fleet.state, kTimes, kNow).lower_bound, 54 * kStep);
}

}  // namespace
}  // namespace chervilspar::maintenance
