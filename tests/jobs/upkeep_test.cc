#include "chervilspar/jobs/upkeep.h"

#include <functional>

#include <gtest/gtest.h>

namespace chervilspar::jobs {
namespace {

/// Eight VMs of one pool, all in a wave that lets two go down at once.
class UpkeepWorld {
 public:
  UpkeepWorld() {
    this->wave.number = 1;
    this->wave.max_down = 2;
    for (int i = 0; i < 8; ++i) {
      VmRecord vm;
      vm.id = VmId{"m" + std::to_string(i)};
      vm.pool = ServiceId{"desk"};
      vm.phase = VmPhase::kUp;
      vm.endpoint = "i" + std::to_string(i);
      this->vms.push_back(vm);
      this->wave.vms.push_back(vm.id);
      this->loads[vm.endpoint] = {};
    }
  }

  UpkeepPlan Plan() const {
    return UpkeepPlanner::Plan(this->wave, this->progress, this->vms, this->unavailable,
                               this->evacuating, this->loads);
  }

  Wave wave;
  WaveProgress progress;
  std::vector<VmRecord> vms;
  UpkeepPlanner::UnavailableVms unavailable;
  std::set<VmId> evacuating;
  std::map<std::string, EndpointLoad> loads;
};

struct UpkeepCase {
  const char* name;
  std::function<void(UpkeepWorld&)> modify;
  std::size_t evacuated;
  std::size_t rebooted;
  bool is_complete;
};

class UpkeepTable : public ::testing::TestWithParam<UpkeepCase> {};

TEST_P(UpkeepTable, PlansWithinItsLimits) {
  UpkeepWorld world;
  GetParam().modify(world);
  const UpkeepPlan plan = world.Plan();
  EXPECT_EQ(plan.evacuate.size(), GetParam().evacuated);
  EXPECT_EQ(plan.reboot.size(), GetParam().rebooted);
  EXPECT_EQ(plan.is_complete, GetParam().is_complete);
}

INSTANTIATE_TEST_SUITE_P(
    Waves, UpkeepTable,
    ::testing::Values(
        UpkeepCase{"start", [](UpkeepWorld&) {}, 2, 0, false},
        UpkeepCase{"as_many_down_as_allowed",
                   [](UpkeepWorld& world) {
                     world.unavailable.down = {VmId{"m0"}, VmId{"m1"}};
                   },
                   0, 0, false},
        UpkeepCase{"one_is_down", [](UpkeepWorld& world) { world.unavailable.down = {VmId{"m0"}}; },
                   1, 0, false},
        // A previous owner ordered the reboot; this process only sees it in the VM list.
        UpkeepCase{"one_is_rebooting_in_the_vm_list",
                   [](UpkeepWorld& world) { world.vms[0].phase = VmPhase::kRebooting; }, 1, 0,
                   false},
        UpkeepCase{"rebooted_before_and_rebooting_in_the_vm_list",
                   [](UpkeepWorld& world) {
                     world.vms[0].phase = VmPhase::kRebooting;
                     world.progress.rebooted = {VmId{"m0"}};
                   },
                   1, 0, false},
        UpkeepCase{"not_yet_empty",
                   [](UpkeepWorld& world) {
                     world.evacuating = {VmId{"m0"}, VmId{"m1"}};
                   },
                   2, 0, false},
        UpkeepCase{"empty",
                   [](UpkeepWorld& world) {
                     world.evacuating = {VmId{"m0"}};
                     world.loads["i0"].is_empty = true;
                   },
                   1, 1, false},
        UpkeepCase{"empty_but_not_evacuating",
                   [](UpkeepWorld& world) { world.loads["i0"].is_empty = true; }, 2, 0, false},
        UpkeepCase{"a_wave_wider_than_a_quarter_of_the_pool",
                   [](UpkeepWorld& world) { world.wave.max_down = 8; }, 2, 0, false},
        UpkeepCase{"switched_off",
                   [](UpkeepWorld& world) {
                     world.wave.max_down = 8;
                     for (VmRecord& vm : world.vms) {
                       vm.endpoint.clear();
                     }
                   },
                   0, 8, false},
        UpkeepCase{"moving",
                   [](UpkeepWorld& world) {
                     for (const VmRecord& vm : world.vms) {
                       world.unavailable.moving.insert(vm.id);
                     }
                   },
                   0, 0, false},
        UpkeepCase{"refused",
                   [](UpkeepWorld& world) {
                     for (const VmRecord& vm : world.vms) {
                       world.unavailable.refused.insert(vm.id);
                     }
                   },
                   0, 0, false},
        UpkeepCase{"all_rebooted",
                   [](UpkeepWorld& world) {
                     for (const VmRecord& vm : world.vms) {
                       world.progress.rebooted.insert(vm.id);
                     }
                   },
                   0, 0, true},
        UpkeepCase{"no_list_yet", [](UpkeepWorld& world) { world.vms.clear(); }, 0, 0, false}),
    [](const auto& info) { return info.param.name; });

/// Guards against a wave that evacuates busy VMs while those of a cordoned zone are idle.
TEST(UpkeepPlanner, SelectsEmptyVmsOfACordonedZoneFirst) {
  UpkeepWorld world;
  world.loads["i2"].has_long_running = true;
  for (const char* endpoint : {"i5", "i6"}) {
    world.loads[endpoint].is_empty = true;
    world.loads[endpoint].is_cordoned = true;
    world.loads[endpoint].pool_load = 0.9;
  }
  EXPECT_EQ(world.Plan().evacuate, (std::vector<std::string>{"i5", "i6"}));
}

/// The next owner reads all that the previous one stored about a wave.
TEST(WaveProgressRecord, KeepsAllFields) {
  WaveProgress progress;
  progress.number = 7;
  progress.rebooted = {VmId{"m0"}, VmId{"m1"}};
  for (const bool is_reported : {false, true}) {
    progress.is_reported = is_reported;
    progress.is_complete = !is_reported;
    const Result<WaveProgress> read = DecodeWaveProgress(EncodeWaveProgress(progress));
    ASSERT_TRUE(read);
    EXPECT_EQ(*read, progress);
  }
}

}  // namespace
}  // namespace chervilspar::jobs
