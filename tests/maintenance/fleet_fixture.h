#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "chervilspar/config_log/fleet_state.h"
#include "chervilspar/maintenance/observations.h"

#include "bench/wave_fleet.h"

namespace chervilspar::maintenance {

inline const EntryId kEntryA{"entry-a"};
inline const EntryId kEntryB{"entry-b"};
inline const EntryId kEntryC{"entry-c"};

inline constexpr WallTime kNow{std::chrono::seconds(1'800'000'000)};

/// Selects all VMs.
inline constexpr std::uint32_t kAllVms = static_cast<std::uint32_t>(-1);

/// Five serving pools of ten VMs (0..9, 10..19, ...) in three zones, and four spare VMs (50..53).
/// Each serving pool's budget allows two unavailable VMs. All VMs are observed as live and are due.
/// Each VM has its own rack.
class FleetFixture {
 public:
  explicit FleetFixture(const bench::WaveFleetShape& shape = {});

  VmId VmAt(std::uint32_t number) const;
  StepId StepOf(std::uint32_t vm) const;
  EntryId& ExecutorOf(std::uint32_t vm);

  void SetSlack(std::uint32_t slack);
  void SetPoolSlack(std::uint32_t pool, std::uint32_t slack);
  void SetMaintained(WallTime at);
  void SetCondition(std::uint32_t vm, config_log::VmCondition condition);
  void PutInRack(std::uint32_t vm, const std::string& rack);
  void PutInZone(std::uint32_t vm, const std::string& zone);
  void MoveOut(std::vector<inventory::MoveTarget> targets);
  /// Adds a reboot step for the VM that was claimed a minute ago.
  void HoldVm(std::uint32_t vm, config_log::StepPhase phase = config_log::StepPhase::kDraining);
  /// Lets the VM fail and leave the VM list ten seconds ago.
  void FailNow(std::uint32_t vm);
  /// Marks the VM as failed after its last step.
  void FailAfterStep(std::uint32_t vm);
  /// Lends a spare VM to `pool`.
  void Lend(std::uint32_t vm, const PoolId& pool);

  config_log::FleetState state;
  Observations observations;
};

}  // namespace chervilspar::maintenance
