#include "chervilspar/inventory/check.h"

#include <algorithm>
#include <fstream>
#include <functional>
#include <iterator>
#include <string>

#include <gtest/gtest.h>

#include "chervilspar/inventory/document.h"

#include "bench/big_inventory.h"
#include "tests/inventory/sample_inventory.h"

namespace chervilspar::inventory {
namespace {

constexpr WallTime kNow{std::chrono::seconds(1'800'000'000)};

Move MoveOf(std::vector<MoveTarget> targets, WallTime date = kNow + std::chrono::hours(24)) {
  return Move{SiteId{"old"}, date, std::move(targets)};
}

struct CheckCase {
  std::string name;
  std::function<void(Inventory&)> change;
  Severity severity;
  std::string pointer;
  std::string message_part;
};

class CheckTest : public testing::TestWithParam<CheckCase> {};

// The document is well formed and asks for what no plan can give. Published, it would leave the
// operators waiting for a wave that never begins, until the date has come.
TEST_P(CheckTest, FindsWhatCannotBeMet) {
  Inventory inventory = SampleInventory();
  GetParam().change(inventory);
  const std::vector<Finding> findings = Check(inventory, kNow);
  const bool found = std::any_of(findings.begin(), findings.end(), [](const Finding& finding) {
    return finding.severity == GetParam().severity && finding.reason.field == GetParam().pointer &&
           finding.reason.message.find(GetParam().message_part) != std::string::npos;
  });
  std::string all;
  for (const Finding& finding : findings) {
    all += ToString(finding.reason) + "\n";
  }
  EXPECT_TRUE(found) << all;
  EXPECT_EQ(HasErrors(findings), GetParam().severity == Severity::kError);
}

INSTANTIATE_TEST_SUITE_P(
    Cases, CheckTest,
    testing::Values(
        CheckCase{"BudgetOfAllVms",
                  [](auto& inventory) { inventory.pools.at(PoolId{"booking"}).min_available = 4; },
                  Severity::kError, "/pools/booking/min_available", "set it to 3 or less"},
        CheckCase{"BudgetAboveVms",
                  [](auto& inventory) { inventory.pools.at(PoolId{"booking"}).min_available = 5; },
                  Severity::kError, "/pools/booking/min_available", "has 4 VMs"},
        CheckCase{"EmptyPool",
                  [](auto& inventory) {
                    inventory.pools[PoolId{"new"}] =
                        Pool{PoolId{"new"}, ServiceId{"fleet"}, PoolKind::kServing, 0};
                  },
                  Severity::kWarning, "/pools/new/min_available", "no VM"},
        CheckCase{"LimitZero",
                  [](auto& inventory) { inventory.teams.at(TeamId{"shop"}).upper_limit = 0; },
                  Severity::kError, "/teams/shop/upper_limit", "1 or more"},
        CheckCase{"JobTooLargeInCores",
                  [](auto& inventory) { inventory.services.at(ServiceId{"fleet"}).job_cores = 65; },
                  Severity::kError, "/services/fleet", "65 cores"},
        CheckCase{"JobTooLargeInMemory",
                  [](auto& inventory) {
                    inventory.services.at(ServiceId{"fleet"}).job_memory_mb = 200 * 1024;
                  },
                  Severity::kError, "/services/fleet", "204800 MB"},
        CheckCase{
            "JobNeedsAccelerator",
            [](auto& inventory) { inventory.services.at(ServiceId{"fleet"}).job_accelerators = 1; },
            Severity::kError, "/services/fleet", "1 accelerators"},
        CheckCase{
            "DatePassed",
            [](auto& inventory) { inventory.move = MoveOf({}, kNow - std::chrono::hours(1)); },
            Severity::kError, "/move/date", "has passed"},
        CheckCase{"MoveEmptiesPool",
                  [](auto& inventory) {
                    inventory.move = MoveOf({{VmId{"vm-0"}, PoolId{"fleet"}},
                                             {VmId{"vm-1"}, PoolId{"fleet"}},
                                             {VmId{"vm-2"}, PoolId{"fleet"}}});
                  },
                  Severity::kError, "/move/targets", "with 1 VMs, below its budget of 2"},
        CheckCase{"VmsWithoutTarget",
                  [](auto& inventory) {
                    inventory.move = MoveOf({{VmId{"vm-0"}, PoolId{"fleet"}}});
                  },
                  Severity::kWarning, "/move/targets", "9 VMs of site"},
        CheckCase{
            "LoanShorterThanSkew",
            [](auto& inventory) { inventory.service_rules.loan_lease = std::chrono::seconds(1); },
            Severity::kError, "/service_rules/loan_lease", "longer than twice"},
        CheckCase{"NoEntry", [](auto& inventory) { inventory.entries.clear(); }, Severity::kWarning,
                  "/entries", "no entry"}),
    [](const testing::TestParamInfo<CheckCase>& info) { return info.param.name; });

TEST(CheckTest, SampleIsInOrder) { EXPECT_TRUE(Check(SampleInventory(), kNow).empty()); }

TEST(BigInventoryTest, IsInOrderAtTheSizePlannedFor) {
  const bench::FleetShape shape;
  const Inventory fleet = bench::MakeBigInventory(shape);
  EXPECT_EQ(fleet.vms.size(), 8800U);
  EXPECT_EQ(fleet.pools.size(), 296U);
  EXPECT_EQ(fleet.teams.size(), 560U);
  std::uint64_t accelerators = 0;
  for (const auto& [id, vm] : fleet.vms) {
    accelerators += vm.accelerators;
  }
  EXPECT_EQ(accelerators, 9100U);
  EXPECT_FALSE(HasErrors(Check(fleet, kNow)));
  const ParseOutcome outcome = ParseAll(Serialize(fleet));
  ASSERT_TRUE(outcome.inventory) << ToString(outcome.faults.front());
  EXPECT_EQ(*outcome.inventory, fleet);
}

class ExampleTest : public testing::TestWithParam<std::string> {};

TEST_P(ExampleTest, IsInOrderAtTheSizesOfToday) {
  std::ifstream file(std::string(CHERVILSPAR_SOURCE_DIR) + "/examples/" + GetParam() + ".json");
  const std::string text((std::istreambuf_iterator<char>(file)), {});
  const ParseOutcome outcome = ParseAll(text);
  ASSERT_TRUE(outcome.inventory) << ToString(outcome.faults.front());
  const Inventory& inventory = *outcome.inventory;
  EXPECT_TRUE(Check(inventory, kNow).empty());
  EXPECT_EQ(Serialize(inventory, Layout::kIndented), text);
  EXPECT_EQ(inventory.services.size(), 5U);
  EXPECT_EQ(inventory.teams.size(), 6U);
  EXPECT_EQ(inventory.entries.size(), 6U);
  std::map<RackId, int> racks;
  std::map<PoolId, int> pools;
  for (const auto& [id, vm] : inventory.vms) {
    EXPECT_EQ(vm.slots, 8U);
    EXPECT_EQ(vm.connections, 64U);
    EXPECT_LE(++racks[vm.rack], 4);
    ++pools[vm.pool];
  }
  for (const auto& [id, pool] : inventory.pools) {
    if (pool.kind == PoolKind::kServing) {
      EXPECT_GE(pools[id], 8);
      EXPECT_LE(pools[id], 12);
      EXPECT_GT(pools[id], pools[PoolId{"spare"}]);
    }
  }
}

INSTANTIATE_TEST_SUITE_P(Deployments, ExampleTest,
                         testing::Values("rental-firm", "certification-firm"),
                         [](const auto& info) {
                           return info.param == "rental-firm" ? "RentalFirm" : "CertificationFirm";
                         });

}  // namespace
}  // namespace chervilspar::inventory
