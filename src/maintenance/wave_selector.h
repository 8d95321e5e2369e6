#pragma once

#include <optional>
#include <utility>
#include <vector>

#include "chervilspar/maintenance/plan.h"

#include "fleet_view.h"
#include "wave_shape.h"

namespace chervilspar::maintenance {

/// A step that the wave begins.
struct Selection {
  Index vm = 0;
  config_log::StepAction action = config_log::StepAction::kReboot;
  std::optional<PoolId> to_pool;
};

/// Selects the steps that a wave begins now. Keeps its own counts of held VMs, so that the selected
/// steps together respect budgets, racks and zones as if each were claimed before the next.
class WaveSelector {
 public:
  WaveSelector(const FleetView& view, const WaveShape& shape, const WaveTarget& target);

  /// Selects moves of spare VMs into the pools that need them.
  void SelectSpareAssignments();
  /// Selects moves of lent VMs back to the spare pool once their pools have neither due steps nor
  /// losses.
  void SelectReturns();
  /// Selects due steps, starting with the pools that need the most rounds.
  void SelectDue();
  /// Records `reason` for each due VM that isn't selected, and selects no further steps.
  void AddWaits(WaitReason reason);

  std::vector<Selection> TakeSelections() { return std::move(this->selections); }
  std::vector<VmWait> TakeWaits();

 private:
  struct PoolCursor {
    std::int64_t free_capacity = 0;
    std::vector<Index> zones;
    /// Due VMs, the next one to claim last.
    std::vector<Index> due;
  };

  void CollectDue();
  void SortDue(PoolCursor& cursor) const;
  /// Selects the next VM of the pool that may be claimed now. Returns whether there was one.
  bool SelectOne(Index pool);
  /// Whether the pool's free capacity excludes steps in the VM's zone besides those in other zones.
  bool IsZoneClosed(const VmView& vm, const PoolCursor& cursor) const;
  std::optional<WaitReason> FindObstacle(const VmView& vm, const PoolCursor& cursor) const;
  std::optional<Index> FindSpare(Index for_pool) const;
  bool IsSpareUsable(const VmView& vm, std::uint32_t accelerators) const;
  std::uint32_t NeededAccelerators(Index pool) const;
  void Hold(Index vm, config_log::StepAction action, std::optional<PoolId> to_pool);
  void AddWait(Index vm, WaitReason reason);

  const FleetView& view;
  const WaveShape& shape;
  WaveTarget target;
  std::uint32_t held;
  std::uint32_t rack_limit;
  std::vector<PoolCursor> pools;
  std::vector<std::uint32_t> held_in_rack;
  std::vector<std::uint32_t> zone_rank;
  std::vector<bool> is_selected;
  std::vector<Selection> selections;
  std::vector<VmWait> waits;
};

}  // namespace chervilspar::maintenance
