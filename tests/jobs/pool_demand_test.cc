#include "jobs/pool_demand.h"

#include <functional>
#include <iostream>

#include <gtest/gtest.h>

#include "tests/jobs/turns_fleet.h"

namespace chervilspar::jobs {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const ServiceId kDesk{"desk"};
const ServiceId kFleet{"fleet"};
const ServiceId kOff{"off"};
constexpr double kCore = 1000;
constexpr double kCoreSecond = 1000 * 1000;

/// Work in a pool with 100 usable cores, all of which run tasks that need another 0.4 s on average.
struct WorkCase {
  const char* name;
  std::vector<WaitingWork> waiting;
  /// In cores.
  double on_time;
  double beyond_share;
};

class DemandOfWaitingWork : public ::testing::TestWithParam<WorkCase> {};

/// Guards against a backlog that isn't there: divided by the slack of the first waiting task, 100
/// running tasks of 0.4 s look like work for 200 cores. Guards as well against VMs for work that is
/// late, or that is beyond its share and hides behind on-time work.
TEST_P(DemandOfWaitingWork, CountsOnlyWhatRunningTasksDontFree) {
  ResourceLoad load;
  load.in_use = 100 * kCore;
  load.running = 40 * kCoreSecond;
  load.waiting = GetParam().waiting;
  load.concurrent_demand = 1000 * kCore;
  const ResourceDemand needed =
      ComputeDemand(load, {.serving = 100 * kCore, .per_vm = 10 * kCore}, {});
  EXPECT_NEAR(needed.on_time, GetParam().on_time * kCore, kCore);
  EXPECT_NEAR(needed.beyond_share, GetParam().beyond_share * kCore, kCore);
  EXPECT_DOUBLE_EQ(needed.in_use, 100 * kCore);
}

INSTANTIATE_TEST_SUITE_P(
    Work, DemandOfWaitingWork,
    ::testing::Values(WorkCase{"none", {}, 0, 0}, WorkCase{"late", {{-1, 90 * kCoreSecond}}, 0, 0},
                      WorkCase{"little_with_little_slack", {{0, 0.1 * kCoreSecond}}, 66.8, 66.8},
                      WorkCase{"much_with_little_slack", {{1000, 400 * kCoreSecond}}, 100, 100},
                      WorkCase{"vms_arrive_in_time", {{10000, 700 * kCoreSecond}}, 117.4, 117.4},
                      WorkCase{"beyond_share", {{10000, 700 * kCoreSecond, true}}, 0, 117.4}),
    [](const auto& info) { return info.param.name; });

/// Ten VMs of 10 cores, five in each of two pools, and some that are switched off.
class DemandWorld {
 public:
  explicit DemandWorld(int switched_off) {
    for (int i = 0; i < 10 + switched_off; ++i) {
      SizerVm vm;
      vm.id = VmId{std::to_string(i)};
      vm.pool = i < 5 ? kDesk : (i < 10 ? kFleet : kOff);
      vm.cpu = 10 * kCore;
      vm.is_serving = i < 10;
      vm.is_empty = true;
      this->vms.push_back(vm);
    }
    this->loads[kDesk];
    this->loads[kFleet];
  }

  /// Lets jobs of one core second arrive in the first pool.
  SizerPlan PlanAfter(Duration duration, double jobs_per_s) {
    SizerPlan plan;
    for (Duration passed{}; passed < duration; passed += kTick) {
      this->now += kTick;
      const double jobs = jobs_per_s * std::chrono::duration<double>(kTick).count();
      this->loads[kDesk].arrived_jobs += jobs;
      this->loads[kDesk].cpu.arrived += jobs * kCoreSecond;
      plan = this->sizer.Plan(this->now, this->loads, this->vms, kOff);
    }
    return plan;
  }

  /// Adds work that only more VMs can do on time.
  void AddWaiting(const ServiceId& pool, bool is_beyond_share) {
    ResourceLoad& cpu = this->loads[pool].cpu;
    cpu.waiting = {{10000, 1000 * kCoreSecond, is_beyond_share}};
    cpu.concurrent_demand = 1000 * kCore;
  }

  static constexpr Duration kTick = milliseconds(150);
  PoolSizer sizer{SizerOptions{.sizes_by_demand = true}};
  TimePoint now = TimePoint{} + seconds(1);
  std::map<ServiceId, PoolLoad> loads;
  std::vector<SizerVm> vms;
};

/// What the second pool holds its VMs for while the first has on-time work within shares that ten
/// VMs can't do.
struct LendingCase {
  const char* name;
  std::function<void(PoolLoad&, DemandWorld&)> hold;
  bool lends;
};

class Lending : public ::testing::TestWithParam<LendingCase> {};

/// Guards against pools that keep VMs for late work, work beyond shares or a forecast while on-time
/// work within shares lacks VMs elsewhere, and against taking VMs that on-time work needs.
TEST_P(Lending, GivesVmsToWorkOfEarlierGroups) {
  DemandWorld world(0);
  for (SizerVm& vm : world.vms) {
    vm.is_empty = vm.pool == kDesk;
  }
  ResourceLoad& fleet = world.loads[kFleet].cpu;
  fleet.in_use = 37.5 * kCore;
  fleet.running = 40 * kCoreSecond;
  GetParam().hold(world.loads[kFleet], world);
  world.AddWaiting(kDesk, false);
  const SizerPlan plan = world.PlanAfter(DemandWorld::kTick, 0);
  EXPECT_EQ(!plan.release.empty(), GetParam().lends);
}

INSTANTIATE_TEST_SUITE_P(
    Work, Lending,
    ::testing::Values(
        LendingCase{"late",
                    [](PoolLoad& load, DemandWorld&) {
                      load.cpu.running_late = load.cpu.running;
                      load.cpu.waiting = {{-1, 90 * kCoreSecond}};
                    },
                    true},
        LendingCase{"beyond_share",
                    [](PoolLoad&, DemandWorld& world) { world.AddWaiting(kFleet, true); }, true},
        LendingCase{"on_time",
                    [](PoolLoad&, DemandWorld& world) { world.AddWaiting(kFleet, false); }, false},
        LendingCase{"long_running", [](PoolLoad& load, DemandWorld&) { load.min_endpoints = 5; },
                    false}),
    [](const auto& info) { return info.param.name; });

/// Long-running tasks serve users. Guards against a pool whose backlog takes the last VM.
TEST(PoolDemand, LongRunningTasksComeFirst) {
  DemandWorld world(1);
  world.AddWaiting(kDesk, false);
  world.loads[kFleet].min_endpoints = 6;
  const SizerPlan plan = world.PlanAfter(DemandWorld::kTick, 0);
  ASSERT_FALSE(plan.moves.empty());
  EXPECT_EQ(plan.moves.front().to, kFleet);
}

/// Arrivals fall to a part of their rate, with VMs switched off in reserve.
struct FallCase {
  const char* name;
  double jobs_per_s;
  double jobs_per_s_after;
  bool is_short;
  bool shrinks;
};

class FallOfArrivals : public ::testing::TestWithParam<FallCase> {};

/// Guards against VMs that are paid for after a turn has ended, and against switching them off in a
/// lull, by chance, or while the next turn will lack them.
TEST_P(FallOfArrivals, EndsATurnIfItIsDeepAndNotByChance) {
  DemandWorld world(90);
  world.PlanAfter(seconds(12), GetParam().jobs_per_s);
  const int peak = world.sizer.TargetSize(kDesk);
  if (GetParam().is_short) {
    world.loads[kFleet].min_endpoints = 1000;
    world.PlanAfter(DemandWorld::kTick, GetParam().jobs_per_s);
    world.loads[kFleet].min_endpoints = 0;
  }
  world.PlanAfter(seconds(2), GetParam().jobs_per_s_after);
  EXPECT_EQ(world.sizer.TargetSize(kDesk) < peak, GetParam().shrinks) << peak;
}

INSTANTIATE_TEST_SUITE_P(Falls, FallOfArrivals,
                         ::testing::Values(FallCase{"end_of_turn", 90, 5, false, true},
                                           FallCase{"lull", 90, 60, false, false},
                                           FallCase{"few_jobs", 6, 0, false, false},
                                           FallCase{"vms_are_short", 90, 5, true, false}),
                         [](const auto& info) { return info.param.name; });

/// Late jobs are few and come in groups: their share in ten days varies by half.
constexpr std::uint64_t kDays = 60;

DayOutcome PlayTurns(bool by_demand) {
  const QueueShape quick{90, 13, 3.1 * kCore, milliseconds(800), milliseconds(1200), 70};
  const QueueShape batch{18, 16, 6.7 * kCore, milliseconds(1700), milliseconds(1900), 70};
  const FleetShape fleet{.vm_cpu = 32 * kCore,
                         .idle_share = 0.05,
                         .long_running_vms = 24,
                         .long_running_cpu = 2 * kCore};
  DayOutcome sum;
  for (std::uint64_t seed = 1; seed <= kDays; ++seed) {
    TurnsFleet turns({quick, batch, quick, batch}, 70, {.sizes_by_demand = by_demand}, seed, fleet);
    const DayOutcome day = turns.Play(seconds(18), seconds(8));
    sum.moves += day.moves;
    sum.vm_seconds += day.vm_seconds;
    sum.jobs += day.jobs;
    sum.late_jobs += day.late_jobs;
    for (const auto& [reason, idle] : day.idle_vm_seconds) {
      sum.idle_vm_seconds[reason] += idle;
    }
  }
  std::cout << (by_demand ? "demand: " : "peak: ") << sum.vm_seconds << " VM seconds, " << sum.moves
            << " moves, " << sum.late_jobs << " of " << sum.jobs << " jobs late; idle VM seconds:";
  for (const auto& [reason, idle] : sum.idle_vm_seconds) {
    std::cout << " " << reason << " " << idle;
  }
  std::cout << "\n";
  return sum;
}

/// Guards against pools that are paid for what they had or might have, on a day on which four
/// queues take turns: fewer VM seconds, at no cost for callers and with no more moves.
TEST(PoolDemand, TurnsTakeFewerVmSeconds) {
  const DayOutcome peak = PlayTurns(false);
  const DayOutcome demand = PlayTurns(true);
  EXPECT_LT(demand.vm_seconds, 0.85 * peak.vm_seconds);
  EXPECT_LE(demand.LateShare(), peak.LateShare());
  EXPECT_LE(demand.moves, peak.moves);
}

}  // namespace
}  // namespace chervilspar::jobs
