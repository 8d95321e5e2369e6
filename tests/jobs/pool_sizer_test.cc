#include "chervilspar/jobs/pool_sizer.h"

#include <algorithm>

#include <gtest/gtest.h>

namespace chervilspar::jobs {
namespace {

using std::chrono::milliseconds;

const ServiceId kDesk{"desk"};
const ServiceId kFleet{"fleet"};
const ServiceId kOff{"off"};

/// Ten VMs of 10 cores: four in each of two pools, two switched off.
class SizerWorld {
 public:
  SizerWorld() {
    for (int i = 0; i < 10; ++i) {
      SizerVm vm;
      vm.id = VmId{"m" + std::to_string(i)};
      vm.pool = i < 4 ? kDesk : (i < 8 ? kFleet : kOff);
      vm.cpu = 10000;
      vm.is_serving = i < 8;
      vm.is_empty = true;
      this->vms.push_back(vm);
    }
  }

  void AddSwitchedOff(int count) {
    for (int i = 0; i < count; ++i) {
      SizerVm vm = this->vms.back();
      vm.id = VmId{"off" + std::to_string(i)};
      this->vms.push_back(vm);
    }
  }

  /// Jobs of so many cores' work arrive for `span`; then one plan.
  SizerPlan After(Duration span, double desk_cores, double fleet_cores) {
    SizerPlan step;
    const Duration tick = milliseconds(250);
    for (Duration passed{}; passed < span; passed += tick) {
      this->now += tick;
      const double ms = std::chrono::duration<double, std::milli>(tick).count();
      this->Arrive(kDesk, desk_cores * 1000 * ms);
      this->Arrive(kFleet, fleet_cores * 1000 * ms);
      step = this->sizer.Plan(this->now, this->loads, this->vms, kOff);
    }
    return step;
  }

  /// Many small jobs of so much work together.
  void Arrive(const ServiceId& pool, double work) {
    constexpr double kWorkOfOne = 1000 * 1000;
    this->loads[pool].cpu.arrived += work;
    this->loads[pool].arrived_jobs += work / kWorkOfOne;
  }

  std::size_t MovesTo(const SizerPlan& step, const ServiceId& pool) const {
    return static_cast<std::size_t>(
        std::count_if(step.moves.begin(), step.moves.end(),
                      [&](const SizerPlan::Move& move) { return move.to == pool; }));
  }

  PoolSizer sizer;
  TimePoint now = TimePoint{} + std::chrono::seconds(1);
  std::map<ServiceId, PoolLoad> loads;
  std::vector<SizerVm> vms;
};

/// How many VMs of ten go where when one pool's demand changes, by turns of several seconds.
struct DemandCase {
  const char* name;
  double desk_cores;
  double fleet_cores;
  std::size_t to_desk;
  std::size_t to_standby;
};

class Demand : public ::testing::TestWithParam<DemandCase> {};

TEST_P(Demand, MovesVmsToWhereTheyAreNeeded) {
  SizerWorld world;
  const SizerPlan step =
      world.After(std::chrono::seconds(6), GetParam().desk_cores, GetParam().fleet_cores);
  EXPECT_EQ(world.MovesTo(step, kDesk), GetParam().to_desk);
  EXPECT_EQ(world.MovesTo(step, kOff), GetParam().to_standby);
}

INSTANTIATE_TEST_SUITE_P(Turns, Demand,
                         ::testing::Values(DemandCase{"all_idle", 0, 0, 0, 2},
                                           DemandCase{"both_need_all", 28, 28, 0, 0},
                                           DemandCase{"one_at_its_peak", 50, 2, 3, 0},
                                           DemandCase{"far_over_all", 200, 2, 3, 0}),
                         [](const auto& info) { return info.param.name; });

/// One pool's peak ends as another's begins. VMs that the first keeps for a lull must not be kept
/// from the second, whose callers would wait while they idle.
TEST(PoolSizer, LendsIdleVmsAtOnceToAPoolThatLacksThem) {
  SizerWorld world;
  world.After(std::chrono::seconds(4), 29, 0);
  const SizerPlan step = world.After(std::chrono::seconds(1), 0, 60);
  EXPECT_EQ(world.sizer.TargetSize(kDesk), 4);
  EXPECT_EQ(world.MovesTo(step, kFleet), 3U);
  EXPECT_EQ(world.MovesTo(step, kOff), 0U);
}

/// A new owner knows nothing of the demand. Without this it sends away, in the middle of a peak,
/// the VMs that its predecessor brought.
TEST(PoolSizer, KeepsTheSizesThatItFinds) {
  SizerWorld world;
  const SizerPlan step = world.After(milliseconds(750), 0, 0);
  EXPECT_TRUE(step.moves.empty());
  EXPECT_TRUE(step.release.empty());
  EXPECT_EQ(world.sizer.TargetSize(kDesk), 4);
}

/// A queue that was idle gets thirty times its usual within a moment. The VMs have to be ordered
/// within half a second: they take two seconds to come, and a short job's slack is one.
TEST(PoolSizer, OrdersVmsWithinHalfASecondOfAPeaksBeginning) {
  SizerWorld world;
  world.After(std::chrono::seconds(6), 1, 1);
  const SizerPlan step = world.After(milliseconds(500), 50, 1);
  EXPECT_GE(world.MovesTo(step, kDesk), 2U);
  EXPECT_GE(world.sizer.TargetSize(kDesk), 6);
}

/// One large job comes to an idle queue. It can use ten cores at once; VMs for as many such jobs as
/// would come if this were the beginning of a peak cost more than the job is worth.
TEST(PoolSizer, OneLargeJobIsNoPeak) {
  SizerWorld world;
  world.AddSwitchedOff(50);
  world.After(std::chrono::seconds(6), 0, 0);
  PoolLoad& load = world.loads[kDesk];
  load.cpu.arrived += 40 * 1000 * 1000;
  load.arrived_jobs += 1;
  load.cpu.waiting = {{2500, 40 * 1000 * 1000}};
  load.cpu.concurrent_demand = 10 * 1000;
  world.After(milliseconds(250), 0, 0);
  EXPECT_LE(world.sizer.TargetSize(kDesk), 13) << "a peak of this rate would need 49";
}

/// What waits in one pool of four VMs, each with 7.5 cores that are counted on.
struct BacklogCase {
  const char* name;
  double slack_ms;
  /// In seconds of one core.
  double work;
  double at_once_cores;
  int wanted;
};

class Backlog : public ::testing::TestWithParam<BacklogCase> {};

/// Jobs have piled up behind a fault or a take-over, and no more come. VMs are worth their price
/// only for those that a VM ordered now still brings to their end in time, and only as many as can
/// work at once; idle ones would be paid for and moved away again.
TEST_P(Backlog, BuysVmsForWhatTheyCanBringInTime) {
  SizerWorld world;
  world.After(std::chrono::seconds(6), 0, 0);
  PoolLoad& load = world.loads[kDesk];
  load.cpu.waiting = {{GetParam().slack_ms, GetParam().work * 1000 * 1000}};
  load.cpu.concurrent_demand = GetParam().at_once_cores * 1000;
  world.After(milliseconds(250), 0, 0);
  EXPECT_EQ(world.sizer.TargetSize(kDesk), GetParam().wanted);
}

INSTANTIATE_TEST_SUITE_P(
    Work, Backlog,
    ::testing::Values(BacklogCase{"nothing", 5000, 0, 0, 3},
                      BacklogCase{"what_is_there_does_it", 20000, 60, 200, 3},
                      BacklogCase{"a_vm_comes_in_time", 10000, 340, 200, 9},
                      BacklogCase{"it_can_use_six_vms_at_once", 10000, 400, 45, 6},
                      BacklogCase{"a_vm_would_come_too_late", 1000, 400, 200, 4},
                      BacklogCase{"late_already", -1, 90, 200, 3}),
    [](const auto& info) { return info.param.name; });

/// A zone is cut off as a peak begins. Its VMs take no work, and one that is ordered there brings
/// nothing; the callers would wait for it for four seconds before another is ordered in its place.
/// The same for a zone that is cordoned.
struct ZoneCase {
  const char* name;
  bool is_dark;
  bool is_cordoned;
};

class UnusableZone : public ::testing::TestWithParam<ZoneCase> {};

TEST_P(UnusableZone, GetsNoVms) {
  const bool is_unusable = GetParam().is_dark || GetParam().is_cordoned;
  SizerWorld world;
  for (SizerVm& vm : world.vms) {
    const bool is_east = vm.id == VmId{"m0"} || vm.id == VmId{"m8"};
    vm.zone = ZoneId{is_east ? "east" : "west"};
    vm.is_silent = GetParam().is_dark && vm.id == VmId{"m0"};
    vm.is_cordoned = GetParam().is_cordoned && is_east;
    vm.is_empty = vm.pool != kDesk;
  }
  const SizerPlan step = world.After(std::chrono::seconds(6), 60, 2);
  const auto is_in_east = [](const SizerPlan::Move& move) { return move.vm == VmId{"m8"}; };
  EXPECT_EQ(std::none_of(step.moves.begin(), step.moves.end(), is_in_east), is_unusable);
  EXPECT_GE(world.MovesTo(step, kDesk), 1U);
}

INSTANTIATE_TEST_SUITE_P(Zones, UnusableZone,
                         ::testing::Values(ZoneCase{"open", false, false},
                                           ZoneCase{"dark", true, false},
                                           ZoneCase{"cordoned", false, true}),
                         [](const auto& info) { return info.param.name; });

/// A VM that runs long-running work, or is taken by a wave, must not be emptied for a move.
TEST(PoolSizer, LeavesAloneWhatCantMove) {
  SizerWorld world;
  for (SizerVm& vm : world.vms) {
    vm.has_long_running = vm.pool == kDesk;
    vm.is_pinned = vm.pool == kFleet;
  }
  const SizerPlan step = world.After(std::chrono::seconds(6), 0, 0);
  EXPECT_TRUE(step.release.empty());
  EXPECT_TRUE(step.moves.empty());
}

/// A busy VM is emptied first; moving it would cut what it runs.
TEST(PoolSizer, MovesOnlyEmptyVms) {
  SizerWorld world;
  for (SizerVm& vm : world.vms) {
    vm.is_empty = false;
  }
  const SizerPlan step = world.After(std::chrono::seconds(6), 0, 0);
  EXPECT_EQ(step.release.size(), 2U);
  EXPECT_TRUE(step.moves.empty());
}

/// Tasks that must stand apart need as many endpoints as that takes, however little cpu they use;
/// and one that waits although there is cpu lacks something else, such as memory.
TEST(PoolSizer, GrowsForLongRunningTasksThatFindNoEndpoint) {
  struct Case {
    int min_endpoints;
    int waiting;
    int wanted;
  };
  for (const Case& one : {Case{0, 0, 3}, Case{6, 0, 6}, Case{0, 1, 5}}) {
    SizerWorld world;
    world.loads[kDesk].min_endpoints = one.min_endpoints;
    world.loads[kDesk].waiting_long_running = one.waiting;
    // Long enough that the size which the sizer found at first no longer counts.
    world.After(std::chrono::seconds(5), 0, 0);
    EXPECT_EQ(world.sizer.TargetSize(kDesk), one.wanted) << one.min_endpoints;
  }
}

/// Long-running tasks take most of a VM's memory and little of its cpu. Sized by cpu alone, the
/// pool stays at its least while tasks wait for memory.
TEST(PoolSizer, SizesByTheResourceThatBinds) {
  SizerWorld world;
  for (SizerVm& vm : world.vms) {
    vm.memory = 100;
  }
  world.loads[kDesk].cpu.long_running = 10 * 1000;
  world.loads[kDesk].memory.long_running = 500;
  world.After(std::chrono::seconds(5), 0, 0);
  EXPECT_EQ(world.sizer.TargetSize(kDesk), 7);
}

/// One pool lacks hundreds of VMs for its peak, another one for a task that serves users. Served by
/// what they lack, the second waits until the first has all that there are.
TEST(PoolSizer, APoolThatLacksOneVmIsNotStarved) {
  SizerWorld world;
  world.loads[kFleet].min_endpoints = 5;
  const SizerPlan step = world.After(std::chrono::seconds(3), 200, 0);
  EXPECT_EQ(world.MovesTo(step, kFleet), 1U);
  EXPECT_GE(world.MovesTo(step, kDesk), 1U);
}

/// One pool is full of work that is late already, another's peak begins and all VMs are taken. What
/// would be on time becomes late, too, while late work keeps its VMs.
TEST(PoolSizer, LateWorkGivesWayToAnotherPoolsPeak) {
  for (const bool is_late : {false, true}) {
    SizerWorld world;
    for (SizerVm& vm : world.vms) {
      vm.pool = vm.pool == kOff ? kFleet : vm.pool;
      vm.is_serving = true;
      vm.is_empty = vm.pool == kDesk;
    }
    ResourceLoad& fleet = world.loads[kFleet].cpu;
    fleet.running = 6 * 10 * 1000 * 1000;
    fleet.running_late = is_late ? fleet.running : 0;
    fleet.waiting = {{500, 1000}};
    fleet.concurrent_demand = 6 * 10 * 1000;
    const SizerPlan step = world.After(std::chrono::seconds(3), 60, 0);
    EXPECT_EQ(!step.release.empty(), is_late);
  }
}

/// A short lull in a peak must not send VMs away that are needed again at once: each way costs as
/// much as two seconds of the VM.
TEST(PoolSizer, KeepsVmsThroughALull) {
  SizerWorld world;
  world.After(std::chrono::seconds(4), 28, 0);
  const SizerPlan step = world.After(milliseconds(750), 0, 0);
  for (const SizerPlan::Move& move : step.moves) {
    EXPECT_NE(move.vm.text.substr(0, 2), "m0");
  }
  EXPECT_EQ(world.sizer.TargetSize(kDesk), 4);
}

}  // namespace
}  // namespace chervilspar::jobs
