#pragma once

#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

#include "chervilspar/config_log/fleet_state.h"
#include "chervilspar/maintenance/observations.h"

namespace chervilspar::maintenance {

/// Position of a VM, pool, rack or zone in the tables of a `FleetView`.
using Index = std::uint32_t;

/// What the rules ask of a VM now.
enum class Need { kNone, kReboot, kMove, kRetire };

/// A VM as the planner sees it. Points into the state that the view was built from.
struct VmView {
  const inventory::Vm* vm = nullptr;
  const config_log::VmStatus* status = nullptr;
  /// The step that holds it, if any.
  const config_log::Step* step = nullptr;
  Index pool = 0;
  Index rack = 0;
  Index zone = 0;
  /// Available by the folded state and seen live by fresh observations.
  bool is_available = false;
  /// Failed, leaving or retired, by the state or by fresh observations.
  bool is_lost = false;
  Need need = Need::kNone;
  /// Target of a move.
  std::optional<PoolId> to_pool;
  /// Moved into its pool from a spare pool, and by no operator's move.
  bool is_lent = false;
  /// When the loss was first seen, where an observation tells.
  std::optional<WallTime> failing_since;
  WallTime last_maintained;
};

/// A pool with the counts that a wave depends on.
struct PoolView {
  const inventory::Pool* pool = nullptr;
  std::uint32_t members = 0;
  std::uint32_t retired = 0;
  std::uint32_t available = 0;
  /// Held by a step after which they come back to this pool.
  std::uint32_t returning = 0;
  /// Held by a move step from elsewhere into this pool.
  std::uint32_t incoming = 0;
  /// Held by any step.
  std::uint32_t held = 0;
  /// Lost long enough to be worth a spare VM.
  std::uint32_t lost_for_long = 0;
  /// Zones in which steps hold VMs of this pool.
  std::vector<Index> held_zones;
  std::vector<Index> vms;
};

/// Whether views must be fresh for a VM to count as available.
enum class ViewMode {
  /// As a planner: unseen and stale VMs are unavailable.
  kObserved,
  /// As a forecast before anything is observed: all VMs not known to be lost are available.
  kDeclared,
};

/// Tables over a folded state, built in one pass so that a plan over thousands of VMs stays near
/// linear.
class FleetView {
 public:
  FleetView(const config_log::FleetState& state, const Observations& observations, WallTime now,
            ViewMode mode);

  /// VMs that must stay above the budget in a wave; none in a spare pool, which is itself the room.
  static std::uint32_t FailureRoom(const inventory::Pool& pool);

  /// VMs of the pool that may still be taken out at this moment; negative when it is short.
  static std::int64_t RoomNow(const PoolView& pool);
  /// VMs of the pool that a wave may hold at once, the ones it holds now included.
  static std::int64_t Capacity(const PoolView& pool);

  std::optional<Index> FindPool(const PoolId& pool) const;

  const config_log::FleetState* state = nullptr;
  std::vector<VmView> vms;
  std::vector<PoolView> pools;
  /// Steps held, by rack.
  std::vector<std::uint32_t> held_in_rack;
  /// Steps held, by zone.
  std::vector<std::uint32_t> held_in_zone;
  /// Steps that count toward the width of the wave: all but moves out of the spare pool, which
  /// take no capacity away.
  std::uint32_t held = 0;
  WallTime now;

 private:
  void AddPools();
  void AddVms(const Observations& observations, ViewMode mode);
  void Judge(VmView& view, const Observations& observations, ViewMode mode) const;
  void Count(Index index);
  void CountHeld(const VmView& view);
  void SetMoveNeeds();
  bool IsLent(const VmView& view) const;
  void SetRoutineNeeds();

  std::unordered_map<PoolId, Index> pool_index;
  std::unordered_map<VmId, Index> vm_index;
};

/// Time before the end of the maintenance interval at which a VM falls due, as a part of the
/// interval. Grounds: a tenth of seven weeks is almost five days, room for a wave, its stops and an
/// outage; VMs are then maintained 1.1 times as often as asked at most.
inline constexpr int kRoutineLeadParts = 10;

/// How long a VM must have been lost before a spare VM is moved in for it while the budget itself
/// is still kept. Grounds: a VM that merely rebooted is back in this time, and a move costs two
/// drains.
inline constexpr Duration kFillInPatience = std::chrono::minutes(2);

}  // namespace chervilspar::maintenance
