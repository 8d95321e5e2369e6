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

/// Stands for every VM.
inline constexpr std::uint32_t kAllVms = static_cast<std::uint32_t>(-1);

/// Five serving pools of ten VMs (0..9, 10..19, ...) over three zones, two of each pool may be
/// missing, and four spare VMs (50..53). All are seen live and due. Each VM has a rack of its own.
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
  /// A reboot step holds the VM since a minute ago.
  void HoldVm(std::uint32_t vm, config_log::StepPhase phase = config_log::StepPhase::kDraining);
  /// Failed and gone from the list ten seconds ago.
  void FailNow(std::uint32_t vm);
  /// Did not come back from its last step.
  void FailAfterStep(std::uint32_t vm);
  /// A spare VM that a move has brought into `pool`.
  void Lend(std::uint32_t vm, const PoolId& pool);

  config_log::FleetState state;
  Observations observations;
};

}  // namespace chervilspar::maintenance
