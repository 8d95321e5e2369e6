#include "chervilspar/jobs/pool_sizer.h"

#include <algorithm>

#include <gtest/gtest.h>

namespace chervilspar::jobs {
namespace {

using std::chrono::milliseconds;

const ServiceId kDesk{"desk"};
const ServiceId kFleet{"fleet"};
const ServiceId kOff{"off"};
/// After this time without demand, no pool keeps VMs for a demand that it had.
const Duration kAfterShrinking = SizerOptions{}.ShrinkDelay() + milliseconds(2000);

/// Ten VMs of 10 cores: four in each of two pools, two switched off.
class SizerWorld {
 public:
  explicit SizerWorld(SizerOptions options = {}) : sizer(options) {
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

  /// Plans every 250 ms while jobs that need this many cores arrive for `duration`. Returns the
  /// last plan.
  SizerPlan PlanAfter(Duration duration, double desk_cores, double fleet_cores) {
    SizerPlan plan;
    const Duration tick = milliseconds(250);
    for (Duration passed{}; passed < duration; passed += tick) {
      this->now += tick;
      const double ms = std::chrono::duration<double, std::milli>(tick).count();
      this->Arrive(kDesk, desk_cores * 1000 * ms);
      this->Arrive(kFleet, fleet_cores * 1000 * ms);
      plan = this->sizer.Plan(this->now, this->loads, this->vms, kOff);
    }
    return plan;
  }

  /// Adds many small jobs with this total work.
  void Arrive(const ServiceId& pool, double work) {
    constexpr double kWorkPerJob = 1000 * 1000;
    this->loads[pool].cpu.arrived += work;
    this->loads[pool].arrived_jobs += work / kWorkPerJob;
  }

  std::size_t MovesTo(const SizerPlan& plan, const ServiceId& pool) const {
    return static_cast<std::size_t>(
        std::count_if(plan.moves.begin(), plan.moves.end(),
                      [&](const SizerPlan::Move& move) { return move.to == pool; }));
  }

  PoolSizer sizer;
  TimePoint now = TimePoint{} + std::chrono::seconds(1);
  std::map<ServiceId, PoolLoad> loads;
  std::vector<SizerVm> vms;
};

/// The moves among ten VMs after several seconds of constant demand.
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
  const SizerPlan plan =
      world.PlanAfter(kAfterShrinking, GetParam().desk_cores, GetParam().fleet_cores);
  EXPECT_EQ(world.MovesTo(plan, kDesk), GetParam().to_desk);
  EXPECT_EQ(world.MovesTo(plan, kOff), GetParam().to_standby);
}

INSTANTIATE_TEST_SUITE_P(Cases, Demand,
                         ::testing::Values(DemandCase{"all_idle", 0, 0, 0, 2},
                                           DemandCase{"both_need_all", 28, 28, 0, 0},
                                           DemandCase{"one_at_its_peak", 50, 2, 3, 0},
                                           DemandCase{"far_over_all", 200, 2, 3, 0}),
                         [](const auto& info) { return info.param.name; });

/// One pool's peak ends when another's starts. VMs that the first pool retains for a lull must be
/// lent to the second, whose callers would otherwise wait while the VMs are idle.
TEST(PoolSizer, LendsIdleVmsAtOnceToAPoolThatLacksThem) {
  SizerWorld world;
  world.PlanAfter(kAfterShrinking, 29, 0);
  const SizerPlan plan = world.PlanAfter(std::chrono::seconds(1), 0, 60);
  EXPECT_EQ(world.sizer.TargetSize(kDesk), 4);
  EXPECT_EQ(world.MovesTo(plan, kFleet), 3U);
  EXPECT_EQ(world.MovesTo(plan, kOff), 0U);
}

/// Guards against a new owner that doesn't know the demand yet and removes, in the middle of a
/// peak, the VMs that the previous owner ordered.
TEST(PoolSizer, KeepsTheSizesThatItFinds) {
  SizerWorld world;
  const SizerPlan plan = world.PlanAfter(milliseconds(750), 0, 0);
  EXPECT_TRUE(plan.moves.empty());
  EXPECT_TRUE(plan.release.empty());
  EXPECT_EQ(world.sizer.TargetSize(kDesk), 4);
}

/// A fleet starts, and its endpoints register after the first plan. Guards against an owner that
/// takes the pools for empty then, and switches off the VMs as they register.
TEST(PoolSizer, KeepsVmsThatRegisterAfterTheFirstPlan) {
  SizerWorld world;
  for (SizerVm& vm : world.vms) {
    vm.is_serving = false;
  }
  world.PlanAfter(milliseconds(500), 0, 0);
  for (SizerVm& vm : world.vms) {
    vm.is_serving = vm.pool != kOff;
  }
  const SizerPlan plan = world.PlanAfter(SizerOptions{}.ShrinkDelay() - milliseconds(1000), 0, 0);
  EXPECT_TRUE(plan.moves.empty());
  EXPECT_EQ(world.sizer.TargetSize(kDesk), 4);
  const SizerPlan later = world.PlanAfter(milliseconds(2000), 0, 0);
  EXPECT_FALSE(later.moves.empty());
}

/// The demand of an idle queue suddenly rises to thirty times its usual. The VMs must be ordered
/// within half a second because they take two seconds to arrive and a short job has a slack of one
/// second.
TEST(PoolSizer, OrdersVmsWithinHalfASecondOfAPeaksBeginning) {
  SizerWorld world;
  world.PlanAfter(kAfterShrinking, 1, 1);
  const SizerPlan plan = world.PlanAfter(milliseconds(500), 50, 1);
  EXPECT_GE(world.MovesTo(plan, kDesk), 2U);
  EXPECT_GE(world.sizer.TargetSize(kDesk), 6);
}

/// Jobs arrive steadily, but those of more than a second become known at once, as when the store's
/// reads hang. That is no peak: the pool needs no more than it would without the pause.
TEST(PoolSizer, JobsThatBecomeKnownTogetherAreNoPeak) {
  constexpr double kCores = 28;
  const Duration pause = milliseconds(1250);
  SizerWorld world;
  world.AddSwitchedOff(50);
  world.PlanAfter(kAfterShrinking, kCores, 0);
  const int needed = world.sizer.NeededSize(kDesk);
  world.PlanAfter(pause, 0, 0);
  world.Arrive(kDesk, kCores * 1000 * std::chrono::duration<double, std::milli>(pause).count());
  world.PlanAfter(milliseconds(250), kCores, 0);
  EXPECT_LE(world.sizer.NeededSize(kDesk), needed + 1);
}

/// One large job arrives at an idle queue. It can use ten cores at once. VMs for as many such jobs
/// as would arrive at the start of a peak would cost more than the job is worth.
TEST(PoolSizer, OneLargeJobIsNoPeak) {
  SizerWorld world;
  world.AddSwitchedOff(50);
  world.PlanAfter(kAfterShrinking, 0, 0);
  PoolLoad& load = world.loads[kDesk];
  load.cpu.arrived += 40 * 1000 * 1000;
  load.arrived_jobs += 1;
  load.cpu.waiting = {{2500, 40 * 1000 * 1000}};
  load.cpu.concurrent_demand = 10 * 1000;
  world.PlanAfter(milliseconds(250), 0, 0);
  EXPECT_LE(world.sizer.TargetSize(kDesk), 13) << "a peak of this rate would need 49";
}

/// Waiting work of a pool of four VMs with 7.5 usable cores each.
struct BacklogCase {
  const char* name;
  double slack_ms;
  /// In core seconds.
  double work;
  double at_once_cores;
  int target;
};

class Backlog : public ::testing::TestWithParam<BacklogCase> {};

/// Jobs have accumulated during a fault or a change of the owner, and no more arrive. VMs are worth
/// their price only for jobs that a VM ordered now can still finish on time, and only as many as
/// can work at the same time. Idle ones would be paid for and moved away again.
TEST_P(Backlog, OrdersVmsOnlyForWorkThatTheyFinishOnTime) {
  SizerWorld world;
  world.PlanAfter(kAfterShrinking, 0, 0);
  PoolLoad& load = world.loads[kDesk];
  load.cpu.waiting = {{GetParam().slack_ms, GetParam().work * 1000 * 1000}};
  load.cpu.concurrent_demand = GetParam().at_once_cores * 1000;
  world.PlanAfter(milliseconds(250), 0, 0);
  EXPECT_EQ(world.sizer.TargetSize(kDesk), GetParam().target);
}

INSTANTIATE_TEST_SUITE_P(
    Work, Backlog,
    ::testing::Values(BacklogCase{"nothing", 5000, 0, 0, 3},
                      BacklogCase{"current_vms_suffice", 20000, 60, 200, 3},
                      BacklogCase{"a_vm_arrives_in_time", 10000, 340, 200, 9},
                      BacklogCase{"uses_at_most_six_vms_at_once", 10000, 400, 45, 6},
                      BacklogCase{"a_vm_would_arrive_too_late", 1000, 400, 200, 4},
                      BacklogCase{"already_late", -1, 90, 200, 3}),
    [](const auto& info) { return info.param.name; });

/// A zone is cut off when a peak starts. Its VMs take no work, and callers would wait four seconds
/// for a VM ordered there before another is ordered instead. The same holds for a cordoned zone.
struct ZoneCase {
  const char* name;
  bool is_unreachable;
  bool is_cordoned;
};

class UnusableZone : public ::testing::TestWithParam<ZoneCase> {};

TEST_P(UnusableZone, GetsNoVms) {
  const bool is_unusable = GetParam().is_unreachable || GetParam().is_cordoned;
  SizerWorld world;
  for (SizerVm& vm : world.vms) {
    const bool is_east = vm.id == VmId{"m0"} || vm.id == VmId{"m8"};
    vm.zone = ZoneId{is_east ? "east" : "west"};
    vm.is_silent = GetParam().is_unreachable && vm.id == VmId{"m0"};
    vm.is_cordoned = GetParam().is_cordoned && is_east;
    vm.is_empty = vm.pool != kDesk;
  }
  const SizerPlan plan = world.PlanAfter(kAfterShrinking, 60, 2);
  const auto is_in_east = [](const SizerPlan::Move& move) { return move.vm == VmId{"m8"}; };
  EXPECT_EQ(std::none_of(plan.moves.begin(), plan.moves.end(), is_in_east), is_unusable);
  EXPECT_GE(world.MovesTo(plan, kDesk), 1U);
}

INSTANTIATE_TEST_SUITE_P(Zones, UnusableZone,
                         ::testing::Values(ZoneCase{"open", false, false},
                                           ZoneCase{"unreachable", true, false},
                                           ZoneCase{"cordoned", false, true}),
                         [](const auto& info) { return info.param.name; });

/// A VM that runs long-running tasks or is part of a wave must not be emptied for a move.
TEST(PoolSizer, KeepsVmsThatMustNotMove) {
  SizerWorld world;
  for (SizerVm& vm : world.vms) {
    vm.has_long_running = vm.pool == kDesk;
    vm.is_pinned = vm.pool == kFleet;
  }
  const SizerPlan plan = world.PlanAfter(kAfterShrinking, 0, 0);
  EXPECT_TRUE(plan.release.empty());
  EXPECT_TRUE(plan.moves.empty());
}

/// A busy VM is released and becomes empty before it moves; moving it would abort its tasks.
TEST(PoolSizer, MovesOnlyEmptyVms) {
  SizerWorld world;
  for (SizerVm& vm : world.vms) {
    vm.is_empty = false;
  }
  const SizerPlan plan = world.PlanAfter(kAfterShrinking, 0, 0);
  EXPECT_EQ(plan.release.size(), 2U);
  EXPECT_TRUE(plan.moves.empty());
}

/// Tasks with a limit per endpoint need a minimum number of endpoints, however little cpu they use.
/// A task that waits although cpu is free lacks something else, such as memory.
TEST(PoolSizer, GrowsForLongRunningTasksThatFindNoEndpoint) {
  struct Case {
    int min_endpoints;
    int waiting;
    int target;
  };
  for (const Case& one : {Case{0, 0, 3}, Case{6, 0, 6}, Case{0, 1, 5}}) {
    SizerWorld world;
    world.loads[kDesk].min_endpoints = one.min_endpoints;
    world.loads[kDesk].waiting_long_running = one.waiting;
    // Long enough that the initial size no longer counts.
    world.PlanAfter(kAfterShrinking, 0, 0);
    EXPECT_EQ(world.sizer.TargetSize(kDesk), one.target) << one.min_endpoints;
  }
}

/// Long-running tasks use most of a VM's memory and little of its cpu. If sized by cpu alone, the
/// pool would stay at its minimum while tasks wait for memory.
TEST(PoolSizer, SizesByTheResourceThatBinds) {
  SizerWorld world;
  for (SizerVm& vm : world.vms) {
    vm.memory = 100;
  }
  world.loads[kDesk].cpu.long_running = 10 * 1000;
  world.loads[kDesk].memory.long_running = 500;
  world.PlanAfter(kAfterShrinking, 0, 0);
  EXPECT_EQ(world.sizer.TargetSize(kDesk), 7);
}

/// One pool lacks hundreds of VMs in a peak, and another lacks one VM for a task that serves users.
/// If the largest shortage came first, the second pool would wait until the first has all VMs.
TEST(PoolSizer, APoolThatLacksOneVmIsNotStarved) {
  SizerWorld world;
  world.loads[kFleet].min_endpoints = 5;
  const SizerPlan plan = world.PlanAfter(std::chrono::seconds(3), 200, 0);
  EXPECT_EQ(world.MovesTo(plan, kFleet), 1U);
  EXPECT_GE(world.MovesTo(plan, kDesk), 1U);
}

/// One pool is full of work that is already late when another's peak starts and no VM is free. If
/// late work kept its VMs, the work of the other pool would become late, too.
TEST(PoolSizer, LateWorkYieldsToAnotherPoolsPeak) {
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
    const SizerPlan plan = world.PlanAfter(std::chrono::seconds(3), 60, 0);
    EXPECT_EQ(!plan.release.empty(), is_late);
  }
}

/// VMs must not leave in a short lull of a peak when they are needed again soon: each move costs as
/// much as two seconds of the VM.
TEST(PoolSizer, KeepsVmsThroughALull) {
  SizerWorld world;
  world.PlanAfter(kAfterShrinking, 28, 0);
  const SizerPlan plan = world.PlanAfter(milliseconds(750), 0, 0);
  for (const SizerPlan::Move& move : plan.moves) {
    EXPECT_NE(move.vm.text.substr(0, 2), "m0");
  }
  EXPECT_EQ(world.sizer.TargetSize(kDesk), 4);
}

struct IdleCase {
  const char* name;
  Duration move_cost;
  Duration idle;
  int target;
};

class IdlePool : public ::testing::TestWithParam<IdleCase> {};

/// Guards against switching idle VMs off and on again for more than it costs to keep them, and
/// against keeping them for longer than that pays.
TEST_P(IdlePool, KeepsItsSizeUntilThatCostsAsMuchAsMovingItsVms) {
  SizerWorld world(SizerOptions{.move_cost = GetParam().move_cost});
  world.PlanAfter(std::chrono::seconds(30), 28, 0);
  world.PlanAfter(GetParam().idle, 0, 0);
  EXPECT_EQ(world.sizer.TargetSize(kDesk), GetParam().target);
}

INSTANTIATE_TEST_SUITE_P(
    Cases, IdlePool,
    ::testing::Values(IdleCase{"cheap_moves_early", milliseconds(500), milliseconds(4000), 4},
                      IdleCase{"cheap_moves_late", milliseconds(500), milliseconds(8000), 3},
                      IdleCase{"usual_moves_early", milliseconds(1000), milliseconds(5000), 4},
                      IdleCase{"usual_moves_late", milliseconds(1000), milliseconds(9000), 3},
                      IdleCase{"dear_moves_early", milliseconds(11000), milliseconds(25000), 4},
                      IdleCase{"dear_moves_late", milliseconds(11000), milliseconds(30000), 3}),
    [](const auto& info) { return info.param.name; });

/// The first job of a queue is thirty times as large as those after it. If it counted for more than
/// one of them, the pool would be sized by it until hundreds of jobs have arrived.
TEST(PoolSizer, OneLargeFirstJobDoesNotSizeThePool) {
  constexpr int kJobs = 60;
  constexpr double kWork = 1000 * 1000;
  constexpr double kLargeWork = 30 * kWork;
  const Duration tick = milliseconds(50);
  SizerWorld world;
  world.AddSwitchedOff(50);
  PoolLoad& load = world.loads[kDesk];
  for (int job = 0; job < kJobs; ++job) {
    world.now += tick;
    load.cpu.arrived += job == 0 ? kLargeWork : kWork;
    load.arrived_jobs += 1;
    world.sizer.Plan(world.now, world.loads, world.vms, kOff);
  }
  const double cores = (kLargeWork + (kJobs - 1) * kWork) / kJobs /
                       std::chrono::duration<double, std::milli>(tick).count() / 1000;
  const double usable_cores_per_vm = 10 * SizerOptions{}.usable_fraction;
  EXPECT_LE(world.sizer.NeededSize(kDesk), cores / usable_cores_per_vm + 1);
}

}  // namespace
}  // namespace chervilspar::jobs
