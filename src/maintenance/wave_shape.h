#pragma once

#include <cstdint>
#include <vector>

#include "chervilspar/maintenance/date_forecast.h"

#include "fleet_view.h"

namespace chervilspar::maintenance {

/// Spare VMs that a pool is to get.
struct SpareFill {
  Index pool = 0;
  std::uint32_t count = 0;

  friend bool operator==(const SpareFill&, const SpareFill&) = default;
};

/// What one pool has still to do in a wave.
struct PoolWork {
  std::uint32_t reboots = 0;
  /// Target pools of moves that have not begun; `kGone` for a retired VM.
  std::vector<Index> leaving;
  /// Rounds that the due VMs of its fullest rack take, whatever their pools.
  std::uint32_t rack_rounds = 0;
  /// VMs that moves will bring.
  std::uint32_t arriving = 0;
  /// VMs that the pool may have held at once, planned spare VMs included.
  std::int64_t capacity = 0;
};

inline constexpr Index kGone = static_cast<Index>(-1);

/// What a wave is held to.
struct WaveTarget {
  /// VMs that it may hold at once.
  std::uint32_t width = 0;
  /// Rounds in which it is to end.
  double rounds = 0;
};

/// The size of a wave, in rounds: a round is as long as one step, and in it each pool holds as many
/// VMs as its budget allows.
class WaveShape {
 public:
  explicit WaveShape(const FleetView& view);

  /// Steps still to be ended, running ones included.
  std::uint32_t Remaining() const { return this->remaining; }
  /// No schedule takes fewer rounds.
  std::uint32_t LowerBound() const { return this->lower_bound; }
  /// Rounds that a wave at full width is expected to take.
  std::uint32_t Rounds() const { return this->rounds; }
  /// Rounds after which the last asked-for move has ended.
  std::uint32_t MoveRounds() const { return this->move_rounds; }
  bool HasMoves() const { return this->has_moves; }
  /// Whether all moves can be ended at all.
  bool MovesCanEnd() const { return this->moves_can_end; }
  const std::vector<BlockedPool>& BlockedPools() const { return this->blocked; }
  /// Spare VMs to move in, pools below their budget first.
  const std::vector<SpareFill>& Fills() const { return this->fills; }
  /// Rounds that a pool needs at its capacity, or its fullest rack; the longest comes first in a
  /// wave.
  double RoundsAtCapacity(Index pool) const;
  /// Rounds that a pool needs while it keeps to one zone at a time.
  double RoundsInOneZone(Index pool) const;
  /// Whether the pool has steps to be ended.
  bool HasWork(Index pool) const;

 private:
  void CountWork(const FleetView& view);
  void CountMove(const FleetView& view, const VmView& vm);
  std::uint32_t UsableSpares(const FleetView& view) const;
  /// Lent VMs that their pools could give up for a pool that has lost some.
  std::uint32_t UsableLentVms(const FleetView& view) const;
  void FillLosses(const FleetView& view, std::uint32_t& spares);
  void FillBlocked(const FleetView& view, std::uint32_t& spares);
  void FillForSpeed(const FleetView& view, std::uint32_t spares);
  void AddFill(Index pool, std::uint32_t count);
  void ComputeLowerBound(const FleetView& view);
  void Simulate(const FleetView& view);
  bool SimulateRound(std::vector<PoolWork>& pools, std::uint32_t round);
  void ReportBlocked(const FleetView& view, const std::vector<PoolWork>& stuck);

  std::vector<PoolWork> work;
  std::vector<SpareFill> fills;
  std::vector<BlockedPool> blocked;
  std::uint32_t remaining = 0;
  std::uint32_t lower_bound = 0;
  std::uint32_t rack_rounds = 0;
  std::uint32_t rounds = 0;
  std::uint32_t move_rounds = 0;
  bool has_moves = false;
  bool moves_can_end = true;
};

/// How far a wave is stretched beyond its lower bound.
///
/// The weighted cost of a wave stretched by s is w_time * s + (w_buffer + w_share) / s: the VMs
/// held at once fall as 1/s, and so does the sum over time of the squared shortage, to which
/// distance from share is proportional. It is least at sqrt((w_buffer + w_share) / w_time).
double ChooseStretch(const inventory::Weights& weights, double max_stretch);

/// The forecast that a shape stands for.
DateForecast MakeForecast(const FleetView& view, const WaveShape& shape, const StepTimes& times,
                          double stretch);

/// Length of a step that is neither withdrawn nor waits.
Duration StepLength(const StepTimes& times);

}  // namespace chervilspar::maintenance
