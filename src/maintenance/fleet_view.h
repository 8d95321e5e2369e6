#pragma once

#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

#include "chervilspar/config_log/fleet_state.h"
#include "chervilspar/maintenance/observations.h"

namespace chervilspar::maintenance {

/// Index of a VM, pool, rack or zone in the tables of a `FleetView`.
using Index = std::uint32_t;

/// The step that a VM needs now.
enum class Need { kNone, kReboot, kMove, kRetire };

/// The planner's view of a VM. Points into the state that the view was built from.
struct VmView {
  const inventory::Vm* vm = nullptr;
  const config_log::VmStatus* status = nullptr;
  /// The step that holds it, if any.
  const config_log::Step* step = nullptr;
  Index pool = 0;
  Index rack = 0;
  Index zone = 0;
  /// Available in the folded state and listed as live in a recent observation.
  bool is_available = false;
  /// Failed, leaving or retired, according to the state or recent observations.
  bool is_lost = false;
  Need need = Need::kNone;
  /// Target of a move.
  std::optional<PoolId> to_pool;
  /// Lent to its pool by a spare pool, rather than moved by an operator's move.
  bool is_lent = false;
  /// When the failure was first observed, if known.
  std::optional<WallTime> failing_since;
  WallTime last_maintained;
};

/// A pool and the counts that a wave depends on.
struct PoolView {
  const inventory::Pool* pool = nullptr;
  std::uint32_t members = 0;
  std::uint32_t retired = 0;
  std::uint32_t available = 0;
  /// VMs held by a reboot step, which return to this pool.
  std::uint32_t returning = 0;
  /// VMs of other pools held by a move step into this pool.
  std::uint32_t incoming = 0;
  /// VMs held by any step.
  std::uint32_t held = 0;
  /// VMs lost for long enough to be replaced by spare VMs.
  std::uint32_t replaceable_losses = 0;
  /// Zones in which steps hold VMs of this pool.
  std::vector<Index> held_zones;
  std::vector<Index> vms;
};

/// Whether a VM needs a recent observation to count as available.
enum class ViewMode {
  /// For plans: VMs without a recent observation are unavailable.
  kObserved,
  /// For forecasts without observations: all VMs that aren't known to be lost are available.
  kDeclared,
};

/// Indexed tables of a folded state, built in one pass so that planning takes almost linear time
/// for thousands of VMs.
class FleetView {
 public:
  FleetView(const config_log::FleetState& state, const Observations& observations, WallTime now,
            ViewMode mode);

  /// VMs that a wave keeps available above the pool's budget; none in a spare pool, which is itself
  /// the reserve.
  static std::uint32_t FailureReserve(const inventory::Pool& pool);

  /// VMs of the pool that steps may still hold now; negative if the pool is short of VMs.
  static std::int64_t FreeCapacity(const PoolView& pool);
  /// VMs of the pool that a wave may hold at once, including those held now.
  static std::int64_t Capacity(const PoolView& pool);

  std::optional<Index> FindPool(const PoolId& pool) const;

  const config_log::FleetState* state = nullptr;
  std::vector<VmView> vms;
  std::vector<PoolView> pools;
  /// VMs held by steps, by rack.
  std::vector<std::uint32_t> held_in_rack;
  /// VMs held by steps, by zone.
  std::vector<std::uint32_t> held_in_zone;
  /// VMs that count toward the width of the wave: all held ones except for moves out of a spare
  /// pool, which take no serving capacity away.
  std::uint32_t held = 0;
  WallTime now;

 private:
  void AddPools();
  void AddVms(const Observations& observations, ViewMode mode);
  void SetAvailability(VmView& view, const Observations& observations, ViewMode mode) const;
  void CountVm(Index index);
  void CountHeld(const VmView& view);
  void SetMoveNeeds();
  bool IsLent(const VmView& view) const;
  void SetRoutineNeeds();

  std::unordered_map<PoolId, Index> pool_index;
  std::unordered_map<VmId, Index> vm_index;
};

/// A VM falls due this fraction (1/n) of the maintenance interval before the interval's end. A
/// tenth of seven weeks is almost five days, enough for a wave, its stops and an outage; VMs are
/// maintained at most 1.1 times as often as requested.
inline constexpr int kRoutineLeadDivisor = 10;

/// How long a VM must have been lost before a spare VM replaces it while its pool still keeps the
/// budget. A VM that only rebooted is back by then, and a replacement costs two drains.
inline constexpr Duration kReplacementDelay = std::chrono::minutes(2);

}  // namespace chervilspar::maintenance
