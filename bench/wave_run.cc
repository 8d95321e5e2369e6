#include "bench/wave_run.h"

#include <vector>

#include "chervilspar/base/hash.h"

#include "bench/wave_meter.h"

namespace chervilspar::bench {

namespace {

constexpr Duration kLimit = std::chrono::hours(12);
constexpr Duration kRackFailsAt = std::chrono::minutes(6);
constexpr Duration kRackFailsFor = std::chrono::minutes(10);

double Minutes(Duration duration) {
  return std::chrono::duration<double, std::ratio<60>>(duration).count();
}

std::vector<VmId> VmsOfFirstRack(const inventory::Inventory& inventory) {
  const RackId rack = inventory.vms.begin()->second.rack;
  std::vector<VmId> vms;
  for (const auto& [id, vm] : inventory.vms) {
    if (vm.rack == rack) {
      vms.push_back(id);
    }
  }
  return vms;
}

void Trouble(WaveWorld& world, const std::vector<VmId>& rack) {
  const Duration at = world.Now().time_since_epoch();
  for (const VmId& vm : rack) {
    if (at == kRackFailsAt) {
      world.FailVm(vm);
    } else if (at == kRackFailsAt + kRackFailsFor) {
      world.RecoverVm(vm);
    }
  }
}

bool IsMaintained(const WaveWorld& world) {
  for (const auto& [id, status] : world.State().vm_status) {
    if (status.last_maintained == WallTime()) {
      return false;
    }
  }
  return true;
}

}  // namespace

double WeightedCost(const inventory::Weights& weights, const WaveRunOutcome& outcome,
                    std::size_t vms) {
  const double buffer = outcome.buffer_vms / (0.1 * static_cast<double>(vms));
  const double moves = outcome.moves / static_cast<double>(vms);
  return weights.buffer_cost * buffer + weights.roll_out_time * outcome.over_lower_bound +
         weights.moves * moves + weights.share_distance * outcome.worst_share_loss / 10.0;
}

WaveRunOutcome RunWave(const inventory::Inventory& inventory, WaveTrouble trouble,
                       const std::shared_ptr<WaveStrategy>& strategy, std::uint64_t seed) {
  SeededRandom random(MixBits(seed));
  const std::vector<EntryId> entries{EntryId{"entry-a"}, EntryId{"entry-b"}, EntryId{"entry-c"}};
  WaveWorld world(inventory, entries, strategy, random);
  const Duration lower_bound = RollOutLowerBound(inventory, world);
  const std::vector<VmId> rack = VmsOfFirstRack(inventory);
  WaveMeter meter(world);
  while (!IsMaintained(world) && world.Now().time_since_epoch() < kLimit) {
    if (trouble == WaveTrouble::kRackFailure) {
      Trouble(world, rack);
    }
    world.Step();
    meter.Watch();
  }
  WaveRunOutcome outcome;
  const Duration took = world.Now().time_since_epoch();
  outcome.roll_out_minutes = Minutes(took);
  outcome.over_lower_bound = Minutes(took) / Minutes(lower_bound);
  outcome.buffer_vms = world.Tally().peak_held;
  outcome.worst_share_loss = meter.WorstShareLoss();
  outcome.mean_share_loss = meter.MeanShareLoss();
  outcome.below_budget_seconds = world.Tally().seconds_below_budget;
  // Lent VMs go home after the wave, which is a move, too.
  world.RunUntilDone(std::chrono::hours(1));
  outcome.moves = world.Tally().moves;
  outcome.weighted_cost =
      WeightedCost(inventory.maintenance.weights, outcome, inventory.vms.size());
  return outcome;
}

WaveRunOutcome RunWave(Deployment deployment, WaveTrouble trouble,
                       const std::shared_ptr<WaveStrategy>& strategy, std::uint64_t seed) {
  SeededRandom random(seed);
  return RunWave(MakeDeploymentFleet(deployment, random), trouble, strategy, seed);
}

}  // namespace chervilspar::bench
