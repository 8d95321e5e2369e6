#include "chervilspar/inventory/delta.h"

#include <string>

#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "bench/big_inventory.h"
#include "tests/inventory/sample_inventory.h"

namespace chervilspar::inventory {
namespace {

/// A random change of the sample.
Inventory Changed(Inventory inventory) {
  const int changes = *rc::gen::inRange(0, 6);
  for (int i = 0; i < changes; ++i) {
    const VmId vm{"vm-" + std::to_string(*rc::gen::inRange(0, 10))};
    switch (*rc::gen::inRange(0, 7)) {
      case 0:
        inventory.vms.erase(vm);
        break;
      case 1:
        if (inventory.vms.contains(vm)) {
          inventory.vms.at(vm).pool = PoolId{*rc::gen::element<std::string>("fleet", "spare")};
        }
        break;
      case 2:
        inventory.teams.erase(TeamId{"shop"});
        break;
      case 3:
        inventory.maintenance.max_per_rack = *rc::gen::inRange(1U, 9U);
        break;
      case 4:
        inventory.move = Move{SiteId{"old"},
                              WallTime(std::chrono::seconds(1'900'000'000)),
                              {MoveTarget{vm, PoolId{"spare"}}}};
        break;
      case 5:
        inventory.move.reset();
        break;
      default:
        inventory.service_rules.loan_lease = std::chrono::seconds(*rc::gen::inRange(2, 90));
        break;
    }
  }
  return inventory;
}

RC_GTEST_PROP(DeltaProperty, DiffThenApplyGivesTheTarget, ()) {
  const Inventory from = Changed(SampleInventory());
  const Inventory to = Changed(from);
  const InventoryDelta delta = Diff(from, to);
  RC_ASSERT(delta.IsEmpty() == (from == to));
  RC_ASSERT(*Apply(from, delta) == to);
  RC_ASSERT(*DeltaFromJson(ToJson(delta)) == delta);
}

// Two operators change the same VM. The change of the second was made from a pool that the VM has
// left, and must not take it back unseen.
TEST(DeltaTest, ChangeFromAStalePoolIsAConflict) {
  const Inventory base = SampleInventory();
  Inventory wanted = base;
  wanted.vms.at(VmId{"vm-0"}).cores = 32;
  const InventoryDelta delta = Diff(base, wanted);
  Inventory moved = base;
  moved.vms.at(VmId{"vm-0"}).pool = PoolId{"fleet"};
  EXPECT_EQ(Apply(moved, delta).LastReason().code, ErrorCode::kConflict);
  Inventory gone = base;
  gone.vms.erase(VmId{"vm-0"});
  EXPECT_EQ(Apply(gone, delta).LastReason().code, ErrorCode::kConflict);
}

// Operators change a few VMs thousands of times a day. If each record held all 8,800 VMs, the log
// would take gigabytes a day and every entry would read them.
TEST(DeltaTest, SmallChangeOfABigFleetIsASmallRecord) {
  const Inventory base = bench::MakeBigInventory(bench::FleetShape{});
  Inventory wanted = base;
  wanted.vms.at(VmId{"vm-77"}).cores = 32;
  EXPECT_LT(boost::json::serialize(ToJson(Diff(base, wanted))).size(), 400U);
}

TEST(DeltaTest, BrokenJsonIsAReason) {
  EXPECT_FALSE(DeltaFromJson(boost::json::value(7)));
  EXPECT_FALSE(DeltaFromJson({{"colour", "red"}}));
  EXPECT_FALSE(DeltaFromJson({{"vms", {{"put", {1}}}}}));
  EXPECT_FALSE(DeltaFromJson({{"vm_from_pools", 1}}));
}

}  // namespace
}  // namespace chervilspar::inventory
