#pragma once

#include <cstdint>
#include <vector>

#include "chervilspar/maintenance/date_forecast.h"

#include "fleet_view.h"

namespace chervilspar::maintenance {

/// Spare VMs that are assigned to a pool.
struct SpareAssignment {
  Index pool = 0;
  std::uint32_t count = 0;

  friend bool operator==(const SpareAssignment&, const SpareAssignment&) = default;
};

/// The remaining steps of a pool in a wave.
struct PoolWork {
  std::uint32_t reboots = 0;
  /// Target pools of moves that have not begun; `kNoTargetPool` for a retired VM.
  std::vector<Index> leaving;
  /// Maximum number of rounds over the pool's racks, counting due VMs of all pools in each rack.
  std::uint32_t rack_rounds = 0;
  /// VMs that moves will add to the pool.
  std::uint32_t arriving = 0;
  /// Maximum number of the pool's VMs held at once, with planned spare VMs included.
  std::int64_t capacity = 0;
};

/// Marks a VM that leaves its pool without joining another one.
inline constexpr Index kNoTargetPool = static_cast<Index>(-1);

/// The limits of a wave.
struct WaveTarget {
  /// Maximum number of VMs that the wave holds at once.
  std::uint32_t width = 0;
  /// Number of rounds within which the wave must end.
  double rounds = 0;
};

/// Estimates the duration of a wave in rounds. A round lasts as long as a step, and in each round a
/// pool holds as many VMs as its budget allows.
class WaveShape {
 public:
  explicit WaveShape(const FleetView& view);

  /// Steps that have not ended, including those in progress.
  std::uint32_t Remaining() const { return this->remaining; }
  /// The minimum number of rounds of any schedule.
  std::uint32_t LowerBound() const { return this->lower_bound; }
  /// Rounds that a wave at full width is expected to take.
  std::uint32_t Rounds() const { return this->rounds; }
  /// Rounds until the last requested move has ended.
  std::uint32_t MoveRounds() const { return this->move_rounds; }
  bool HasMoves() const { return this->has_moves; }
  /// Whether all moves can be completed.
  bool MovesCanEnd() const { return this->moves_can_end; }
  const std::vector<BlockedPool>& BlockedPools() const { return this->blocked; }
  /// Spare VMs to move into pools, pools below their budget first.
  const std::vector<SpareAssignment>& SpareAssignments() const { return this->spare_assignments; }
  /// Rounds that a pool needs at its capacity, or its rack with the most due VMs needs if that is
  /// more. The wave starts with the pools that need the most.
  double RoundsAtCapacity(Index pool) const;
  /// Rounds that a pool needs if it has steps in only one zone at a time.
  double RoundsInOneZone(Index pool) const;
  /// Whether the pool has steps that have not ended.
  bool HasWork(Index pool) const;

 private:
  void CountWork(const FleetView& view);
  void CountMove(const FleetView& view, const VmView& vm);
  std::uint32_t UsableSpares(const FleetView& view) const;
  /// Lent VMs that their pools can release for a pool that has lost VMs.
  std::uint32_t UsableLentVms(const FleetView& view) const;
  void AssignForLosses(const FleetView& view, std::uint32_t& spares);
  void AssignForBlockedPools(const FleetView& view, std::uint32_t& spares);
  void AssignForSpeed(const FleetView& view, std::uint32_t spares);
  void AddAssignment(Index pool, std::uint32_t count);
  void ComputeLowerBound(const FleetView& view);
  void Simulate(const FleetView& view);
  bool SimulateRound(std::vector<PoolWork>& pools, std::uint32_t round);
  void ReportBlocked(const FleetView& view, const std::vector<PoolWork>& unfinished);

  std::vector<PoolWork> work;
  std::vector<SpareAssignment> spare_assignments;
  std::vector<BlockedPool> blocked;
  std::uint32_t remaining = 0;
  std::uint32_t lower_bound = 0;
  std::uint32_t rack_rounds = 0;
  std::uint32_t rounds = 0;
  std::uint32_t move_rounds = 0;
  bool has_moves = false;
  bool moves_can_end = true;
};

/// Returns the ratio of a wave's planned duration to its lower bound, from 1 to `max_stretch`.
///
/// The weighted cost of a wave stretched by s is w_time * s + (w_buffer + w_share) / s: the VMs
/// held at once fall as 1/s, and so does the sum over time of the squared shortage, to which
/// distance from share is proportional. The minimum is at sqrt((w_buffer + w_share) / w_time).
double ChooseStretch(const inventory::Weights& weights, double max_stretch);

/// Makes the forecast for a wave.
DateForecast MakeForecast(const FleetView& view, const WaveShape& shape, const StepTimes& times,
                          double stretch);

/// Duration of a step that is neither withdrawn nor has to wait.
Duration StepDuration(const StepTimes& times);

}  // namespace chervilspar::maintenance
