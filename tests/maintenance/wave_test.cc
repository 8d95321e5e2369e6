#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "bench/wave_fleet.h"
#include "bench/wave_world.h"
#include "fleet_fixture.h"

namespace chervilspar::maintenance {
namespace {

using bench::Deployment;
using bench::ServingPool;
using bench::WaveFleetShape;
using bench::WaveTally;
using bench::WaveWorld;

constexpr Duration kLongEnough = std::chrono::hours(6);

/// A simulation of three entries and the fleet of a `WaveFleetShape`.
struct Fleet {
  explicit Fleet(std::uint64_t seed, const WaveFleetShape& shape = {})
      : random(seed),
        inventory(bench::MakeWaveFleet(shape, bench::WeightsOf(Deployment::kCostaAzul))),
        world(this->inventory, {kEntryA, kEntryB, kEntryC},
              std::make_shared<bench::ProductStrategy>(), this->random) {}

  void Run(int seconds) {
    for (int i = 0; i < seconds; ++i) {
      this->world.Step();
    }
  }

  SeededRandom random;
  inventory::Inventory inventory;
  WaveWorld world;
};

void ExpectEachRebootedOnce(const Fleet& fleet) {
  EXPECT_EQ(fleet.world.Tally().reboots, fleet.inventory.vms.size());
  for (const auto& [vm, reboots] : fleet.world.Tally().reboots_of) {
    EXPECT_EQ(reboots, 1U) << vm;
  }
}

class WaveSeedTest : public testing::TestWithParam<std::uint64_t> {};

TEST_P(WaveSeedTest, ReachesEachVmOnceAndCutsNothing) {
  Fleet fleet(GetParam());
  EXPECT_TRUE(fleet.world.RunUntilDone(kLongEnough));
  ExpectEachRebootedOnce(fleet);
  EXPECT_EQ(fleet.world.Tally().cut_tasks, 0U);
  EXPECT_EQ(fleet.world.Tally().seconds_below_budget, 0U);
}

// Entries that execute steps are killed repeatedly. Other entries finish the steps, and no VM is
// rebooted a second time, which users would notice as a second outage.
TEST_P(WaveSeedTest, ExecutorsDieAndStepsAreDoneOnce) {
  Fleet fleet(GetParam());
  const std::vector<EntryId> entries{kEntryA, kEntryB, kEntryC};
  for (int round = 0; round < 200; ++round) {
    const EntryId& victim = entries[fleet.random.Below(entries.size())];
    fleet.world.KillEntry(victim);
    fleet.Run(static_cast<int>(1 + fleet.random.Below(20)));
    fleet.world.StartEntry(victim);
    fleet.Run(static_cast<int>(1 + fleet.random.Below(10)));
  }
  EXPECT_TRUE(fleet.world.RunUntilDone(kLongEnough));
  ExpectEachRebootedOnce(fleet);
  EXPECT_EQ(fleet.world.Tally().cut_tasks, 0U);
  EXPECT_EQ(fleet.world.Tally().seconds_below_budget, 0U);
}

// Answers to appends are lost after the records took effect, so records are appended twice.
TEST_P(WaveSeedTest, LostAnswersRepeatRecordsAndNothingElse) {
  Fleet fleet(GetParam());
  fleet.world.SetLostAnswers(0.5);
  EXPECT_TRUE(fleet.world.RunUntilDone(kLongEnough));
  ExpectEachRebootedOnce(fleet);
  EXPECT_EQ(fleet.world.Tally().seconds_below_budget, 0U);
}

// The VM list lags by twenty seconds and one VM of each pool fails during the wave. The wave's
// reserve covers the failure, so each pool keeps its budget.
TEST_P(WaveSeedTest, OneFailureInEachPoolBehindALateList) {
  Fleet fleet(GetParam());
  fleet.world.SetListLag(std::chrono::seconds(20));
  fleet.Run(120);
  for (std::uint32_t pool = 0; pool < 5; ++pool) {
    fleet.world.FailVm(std::next(fleet.inventory.vms.begin(), pool * 10 + 4)->first);
    fleet.Run(60);
  }
  fleet.Run(3600);
  EXPECT_EQ(fleet.world.Tally().seconds_below_budget, 0U);
  EXPECT_EQ(fleet.world.Tally().cut_tasks, 0U);
}

INSTANTIATE_TEST_SUITE_P(Seeds, WaveSeedTest, testing::Values(1, 2, 3, 4, 5));

// Four VMs of a pool fail during the wave. The pool's draining steps are withdrawn within seconds;
// otherwise they would continue to the reboot and keep the pool short for minutes.
TEST(WaveTest, RackFailureUndoesDrainsOfItsPools) {
  WaveFleetShape shape;
  shape.slack = 4;
  Fleet fleet(7, shape);
  for (const auto& [vm, value] : fleet.inventory.vms) {
    fleet.world.Truth(vm).drain_length = std::chrono::seconds(50);
  }
  fleet.Run(20);
  ASSERT_GT(fleet.world.Held(), 0U);
  std::size_t failed = 0;
  for (const auto& [vm, value] : fleet.inventory.vms) {
    const bool is_held = fleet.world.State().vm_status.at(vm).step.has_value();
    if (value.pool == ServingPool(0) && !is_held && failed < 4) {
      fleet.world.FailVm(vm);
      ++failed;
    }
  }
  fleet.Run(10);
  for (const auto& [id, step] : fleet.world.State().steps) {
    EXPECT_NE(step.from_pool, ServingPool(0)) << id;
  }
  EXPECT_EQ(fleet.world.Tally().cut_tasks, 0U);
}

// Two VMs stay lost, so a spare VM replaces one of them. Once they are back, the spare VM returns.
TEST(WaveTest, SparesComeAndGo) {
  Fleet fleet(8);
  ASSERT_TRUE(fleet.world.RunUntilDone(kLongEnough));
  const std::uint32_t moves = fleet.world.Tally().moves;
  const VmId first = fleet.inventory.vms.begin()->first;
  const VmId second = std::next(fleet.inventory.vms.begin(), 3)->first;
  fleet.world.FailVm(first);
  fleet.world.FailVm(second);
  fleet.Run(600);
  EXPECT_EQ(fleet.world.Tally().moves, moves + 1);
  EXPECT_EQ(fleet.world.Serving(ServingPool(0)), 9U);
  fleet.world.RecoverVm(first);
  fleet.world.RecoverVm(second);
  fleet.Run(600);
  EXPECT_EQ(fleet.world.Tally().moves, moves + 2);
  EXPECT_EQ(fleet.world.Serving(ServingPool(0)), 10U);
}

// Every VM fails after its reboot. The wave stops at the number of failures that the rules allow,
// plus the steps that can no longer be withdrawn, and the other VMs keep serving.
TEST(WaveTest, BadImageStopsTheWave) {
  Fleet fleet(9);
  for (const auto& [vm, value] : fleet.inventory.vms) {
    fleet.world.Truth(vm).is_broken_by_reboot = true;
  }
  fleet.Run(4 * 3600);
  EXPECT_EQ(fleet.world.LastPlan().wave, WaveState::kStopped);
  EXPECT_LE(fleet.world.Tally().reboots, 8U);
  EXPECT_EQ(fleet.world.Tally().seconds_below_budget, 0U);
}

// All entries are cut off from the log. They can't read claims back, so no records are appended.
// Once two of them are connected again, the wave completes, including the third entry's steps.
TEST(WaveTest, CutOffEntryClaimsNothing) {
  Fleet fleet(10);
  fleet.Run(60);
  fleet.world.SetCut(kEntryA, true);
  fleet.world.SetCut(kEntryB, true);
  fleet.world.SetCut(kEntryC, true);
  const std::uint32_t records = fleet.world.Tally().records;
  fleet.Run(600);
  EXPECT_EQ(fleet.world.Tally().records, records);
  fleet.world.SetCut(kEntryB, false);
  fleet.world.SetCut(kEntryC, false);
  EXPECT_TRUE(fleet.world.RunUntilDone(kLongEnough));
  ExpectEachRebootedOnce(fleet);
}

/// The parameters of a run with random faults, generated by RapidCheck.
struct FaultyRun {
  std::uint64_t seed = 0;
  std::uint32_t slack = 2;
  std::uint32_t zones = 3;
  std::uint32_t lag_seconds = 0;
  double lost_answers = 0;
  std::vector<std::uint8_t> faults;
};

void InjectFault(Fleet& fleet, std::uint8_t fault, std::optional<VmId>& failed_vm) {
  const std::vector<EntryId> entries{kEntryA, kEntryB, kEntryC};
  const EntryId& entry = entries[fault % 3];
  const auto vm = std::next(fleet.inventory.vms.begin(), fault % 54);
  switch (fault % 5) {
    case 0:
      fleet.world.KillEntry(entry);
      break;
    case 1:
    case 2:
      fleet.world.StartEntry(entry);
      break;
    case 3:
      fleet.world.SetCut(entry, fault % 2 == 0);
      break;
    default:
      // The wave keeps a reserve for only one failure at a time.
      if (!failed_vm) {
        fleet.world.FailVm(vm->first);
        failed_vm = vm->first;
      }
      break;
  }
}

// Entries crash, restart and are cut off, answers are lost, the VM list lags, and a VM fails, in
// any order. The pools keep their budgets, no task is interrupted and no step reboots its VM twice;
// once the faults are over, the wave completes.
RC_GTEST_PROP(WavePropertyTest, KeepsGuaranteesUnderFaults, ()) {
  FaultyRun run;
  run.seed = *rc::gen::arbitrary<std::uint64_t>();
  run.slack = *rc::gen::inRange<std::uint32_t>(2, 6);
  run.zones = *rc::gen::inRange<std::uint32_t>(1, 4);
  run.lag_seconds = *rc::gen::inRange<std::uint32_t>(0, 25);
  run.lost_answers = *rc::gen::inRange(0, 10) / 10.0;
  run.faults =
      *rc::gen::container<std::vector<std::uint8_t>>(40, rc::gen::inRange<std::uint8_t>(0, 255));
  WaveFleetShape shape;
  shape.slack = run.slack;
  shape.zones = run.zones;
  Fleet fleet(run.seed, shape);
  fleet.world.SetListLag(std::chrono::seconds(run.lag_seconds));
  fleet.world.SetLostAnswers(run.lost_answers);
  std::optional<VmId> failed_vm;
  for (const std::uint8_t fault : run.faults) {
    fleet.Run(static_cast<int>(1 + fleet.random.Below(60)));
    InjectFault(fleet, fault, failed_vm);
  }
  for (const EntryId& entry : {kEntryA, kEntryB, kEntryC}) {
    fleet.world.StartEntry(entry);
    fleet.world.SetCut(entry, false);
  }
  if (failed_vm) {
    fleet.world.RecoverVm(*failed_vm);
  }
  const bool is_done = fleet.world.RunUntilDone(kLongEnough);
  const WaveTally& tally = fleet.world.Tally();
  RC_ASSERT(is_done);
  RC_ASSERT(tally.cut_tasks == 0U);
  RC_ASSERT(tally.seconds_below_budget == 0U);
  for (const auto& [vm, reboots] : tally.reboots_of) {
    // A VM that failed during its reboot is still due when it is back.
    RC_ASSERT(reboots == 1U || (vm == failed_vm && reboots == 2U));
  }
}

/// Generates a fleet in a random condition.
FleetFixture AnyFleet() {
  WaveFleetShape shape;
  shape.zones = *rc::gen::inRange<std::uint32_t>(1, 4);
  FleetFixture fleet(shape);
  fleet.SetSlack(*rc::gen::inRange<std::uint32_t>(0, 8));
  fleet.state.inventory.maintenance.max_per_rack = *rc::gen::inRange<std::uint32_t>(1, 3);
  const auto racks = *rc::gen::inRange<std::uint32_t>(1, 54);
  const auto conditions = *rc::gen::container<std::vector<int>>(54, rc::gen::inRange<int>(0, 16));
  for (std::uint32_t vm = 0; vm < 54; ++vm) {
    fleet.PutInRack(vm, "rack-" + std::to_string(vm % racks));
    switch (conditions[vm]) {
      case 0:
        fleet.FailNow(vm);
        break;
      case 1:
        fleet.HoldVm(vm);
        break;
      case 2:
        fleet.HoldVm(vm, config_log::StepPhase::kActing);
        break;
      case 3:
        fleet.observations.vms.erase(fleet.VmAt(vm));
        break;
      case 4:
        fleet.state.vm_status.at(fleet.VmAt(vm)).last_maintained = kNow;
        break;
      default:
        break;
    }
  }
  return fleet;
}

std::uint32_t SeenAvailable(const FleetFixture& fleet, const PoolId& pool) {
  std::uint32_t available = 0;
  for (const auto& [id, vm] : fleet.state.inventory.vms) {
    available += vm.pool == pool && config_log::IsAvailable(fleet.state, id) &&
                         IsSeenLive(fleet.observations, id)
                     ? 1
                     : 0;
  }
  return available;
}

// In any state of the fleet, the claims of a plan together leave each serving pool with at least
// one VM above its budget, keep each rack within its limit, and include only VMs that are available
// and observed as live.
RC_GTEST_PROP(WavePropertyTest, OnePlanKeepsBudgetsAndRacks, ()) {
  const FleetFixture fleet = AnyFleet();
  const Plan plan = Planner(kEntryA).MakePlan(fleet.state, fleet.observations, kNow);
  std::map<PoolId, std::uint32_t> claims;
  std::map<RackId, std::uint32_t> in_rack;
  for (const auto& [id, step] : fleet.state.steps) {
    ++in_rack[fleet.state.inventory.vms.at(step.vm).rack];
  }
  for (const config_log::Step& step : plan.claims) {
    RC_ASSERT(config_log::IsAvailable(fleet.state, step.vm));
    RC_ASSERT(IsSeenLive(fleet.observations, step.vm));
    ++claims[step.from_pool];
    const std::uint32_t in_this_rack = ++in_rack[fleet.state.inventory.vms.at(step.vm).rack];
    RC_ASSERT(in_this_rack <= fleet.state.inventory.maintenance.max_per_rack);
  }
  for (const auto& [pool, count] : claims) {
    const auto& rules = fleet.state.inventory.pools.at(pool);
    const std::uint32_t reserve = rules.kind == inventory::PoolKind::kSpare ? 0 : kFailureReserve;
    RC_ASSERT(SeenAvailable(fleet, pool) - count >= rules.min_available + reserve);
  }
}

// Plans that depended on the order of hash tables or on a clock would differ between entries, whose
// claims would then conflict.
RC_GTEST_PROP(WavePropertyTest, EntriesThatSeeTheSamePlanTheSame, ()) {
  const FleetFixture fleet = AnyFleet();
  const Plan first = Planner(kEntryA).MakePlan(fleet.state, fleet.observations, kNow);
  const Plan second = Planner(kEntryA).MakePlan(fleet.state, fleet.observations, kNow);
  RC_ASSERT(first == second);
}

}  // namespace
}  // namespace chervilspar::maintenance
