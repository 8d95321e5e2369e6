#pragma once

#include <vector>

#include "chervilspar/maintenance/plan.h"

#include "fleet_view.h"

namespace chervilspar::maintenance {

/// Reviews the steps in progress: which to withdraw, which to take over, and whether the wave must
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
  /// Counts the failures that steps caused, and those that occurred while the wave ran.
  void AssessWave(const FleetView& view);
  void WithdrawFrom(const FleetView& view, const PoolView& pool);
  void FindTakeOvers(const FleetView& view, const Observations& observations);
  void FindUndrains(const FleetView& view, const Observations& observations);

  bool is_view_stale = false;
  bool is_wave_stopped = false;
  /// Whether enough VMs failed after their reboot that draining reboot steps are withdrawn.
  bool has_failing_reboots = false;
  std::vector<StepWithdrawal> withdrawals;
  std::vector<StepTakeOver> take_overs;
  std::vector<VmId> undrains;
};

}  // namespace chervilspar::maintenance
