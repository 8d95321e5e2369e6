#pragma once

#include <vector>

#include "chervilspar/maintenance/plan.h"

#include "fleet_view.h"

namespace chervilspar::maintenance {

/// Looks over the steps under way: which to withdraw, which to take over, whether the wave has to
/// stop.
class StepReview {
 public:
  StepReview(const FleetView& view, const Observations& observations);

  bool IsViewStale() const { return this->is_view_stale; }
  bool IsWaveStopped() const { return this->is_wave_stopped; }
  const std::vector<StepWithdrawal>& Withdrawals() const { return this->withdrawals; }
  const std::vector<StepTakeOver>& TakeOvers() const { return this->take_overs; }
  const std::vector<VmId>& Undrains() const { return this->undrains; }

 private:
  /// Counts failures that the wave may have caused, and those that came while it ran.
  void JudgeWave(const FleetView& view);
  void WithdrawFrom(const FleetView& view, const PoolView& pool);
  void FindTakeOvers(const FleetView& view, const Observations& observations);
  void FindUndrains(const FleetView& view, const Observations& observations);

  bool is_view_stale = false;
  bool is_wave_stopped = false;
  /// Enough VMs did not survive their own step to undo the ones that drain.
  bool is_wave_harmful = false;
  std::vector<StepWithdrawal> withdrawals;
  std::vector<StepTakeOver> take_overs;
  std::vector<VmId> undrains;
};

}  // namespace chervilspar::maintenance
