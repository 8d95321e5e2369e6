#include "entry/endpoint_view.h"

#include <string>

#include <gtest/gtest.h>

namespace chervilspar::entry {
namespace {

/// One VM in zone b, seen from zone a.
config_log::FleetState StateWithVm(config_log::VmCondition condition) {
  config_log::FleetState state;
  state.inventory.pools[PoolId{"p"}] = {PoolId{"p"}, ServiceId{"s"}};
  inventory::Vm vm;
  vm.id = VmId{"v"};
  vm.pool = PoolId{"p"};
  vm.zone = ZoneId{"b"};
  vm.slots = 8;
  state.inventory.vms[vm.id] = vm;
  state.vm_status[vm.id].condition = condition;
  return state;
}

enum class Log { kFresh, kStale };
enum class Peer { kAgrees, kSilent };
enum class Listing { kLive, kLeaving };

struct ViewCase {
  std::string name;
  config_log::VmCondition condition;
  Log log;
  Peer peer;
  Listing listing;
  std::string own_zone;
  bool may_get_work;
};

class EndpointViewTest : public testing::TestWithParam<ViewCase> {};

// A VM is drained and leaves while an entry is cut off from all news. If that entry went on sending
// to it from an old view, its callers' requests would be cut when the VM goes. Without news, work
// stays in the entry's own zone, whose endpoints refuse by themselves once they are drained.
TEST_P(EndpointViewTest, WorkGoesOnlyWhereTheViewIsFresh) {
  const ViewCase& given = GetParam();
  const config_log::FleetState state = StateWithVm(given.condition);
  ViewFreshness freshness;
  freshness.is_log_fresh = given.log == Log::kFresh;
  freshness.own_zone = ZoneId{given.own_zone};
  if (given.peer == Peer::kAgrees) {
    freshness.zones_in_agreement.insert(ZoneId{"b"});
  }
  if (given.listing == Listing::kLeaving) {
    freshness.listed_leaving.insert(VmId{"v"});
  }
  const inventory::Vm& vm = state.inventory.vms.at(VmId{"v"});
  EXPECT_EQ(MayGetWork(state, vm, freshness), given.may_get_work);
  const ServiceConfig config = ConfigureServices(state, freshness).at(ServiceId{"s"});
  EXPECT_EQ(config.endpoints.size(), given.may_get_work ? 1U : 0U);
  EXPECT_EQ(config.shapes.size(), 1U);
}

using config_log::VmCondition;

INSTANTIATE_TEST_SUITE_P(
    Cases, EndpointViewTest,
    testing::Values(ViewCase{"LogFresh", VmCondition::kAvailable, Log::kFresh, Peer::kSilent,
                             Listing::kLive, "a", true},
                    ViewCase{"PeerOfItsZoneAgrees", VmCondition::kAvailable, Log::kStale,
                             Peer::kAgrees, Listing::kLive, "a", true},
                    ViewCase{"NoNews", VmCondition::kAvailable, Log::kStale, Peer::kSilent,
                             Listing::kLive, "a", false},
                    ViewCase{"NoNewsInOwnZone", VmCondition::kAvailable, Log::kStale, Peer::kSilent,
                             Listing::kLive, "b", true},
                    ViewCase{"FoldedAsLeaving", VmCondition::kLeaving, Log::kFresh, Peer::kAgrees,
                             Listing::kLive, "a", false},
                    ViewCase{"ListedAsLeavingAheadOfTheLog", VmCondition::kAvailable, Log::kFresh,
                             Peer::kAgrees, Listing::kLeaving, "b", false},
                    ViewCase{"NeverSeen", VmCondition::kUnseen, Log::kFresh, Peer::kAgrees,
                             Listing::kLive, "b", false}),
    [](const auto& info) { return info.param.name; });

}  // namespace
}  // namespace chervilspar::entry
