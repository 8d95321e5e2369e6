#include "step_review.h"

#include <algorithm>
#include <optional>
#include <tuple>

#include "chervilspar/base/hash.h"

namespace chervilspar::maintenance {

namespace {

using config_log::StepAction;
using config_log::StepPhase;
using config_log::VmCondition;

/// A failure within this time after a VM's step is attributed to the step. A bad image or a full
/// disk shows within minutes of the boot; later failures have other causes.
constexpr Duration kStepFailureWindow = std::chrono::minutes(10);

/// When the oldest step in progress was claimed; none without a step in progress.
std::optional<WallTime> WaveBegin(const FleetView& view) {
  std::optional<WallTime> begin;
  for (const auto& [id, step] : view.state->steps) {
    begin = begin ? std::min(*begin, step.claimed_at) : step.claimed_at;
  }
  return begin;
}

/// Whether the VM's own step is the likely cause of its failure.
bool IsFailedByStep(const VmView& vm) {
  if (vm.status->condition != VmCondition::kFailed) {
    return false;
  }
  if (vm.step) {
    return vm.step->phase == StepPhase::kActing;
  }
  // The VM's last step has ended but the VM is still due, so the reboot failed.
  if (vm.need == Need::kReboot && vm.status->last_step) {
    return true;
  }
  return vm.failing_since && *vm.failing_since - vm.last_maintained < kStepFailureWindow;
}

/// Whether the VM failed while the wave held VMs of its pool.
bool IsLostDuringWave(const FleetView& view, const VmView& vm, std::optional<WallTime> begin) {
  const bool is_pool_held = view.pools[vm.pool].held > 0;
  return begin && is_pool_held && vm.is_lost && !vm.status->retired && vm.failing_since &&
         *vm.failing_since >= *begin;
}

VmWait MakeCause(const VmView& vm, WaitReason reason) {
  return VmWait{vm.vm->id, reason, vm.vm->pool, vm.vm->rack};
}

std::uint64_t Rank(const EntryId& entry, const StepId& step) {
  return StableHash(entry.text, StableHash(step.text));
}

}  // namespace

StepReview::StepReview(const FleetView& view, const Observations& observations)
    : is_view_stale(observations.vm_list_age > kMaxViewAge) {
  this->AssessWave(view);
  for (const PoolView& pool : view.pools) {
    if (pool.held > 0) {
      this->WithdrawFrom(view, pool);
    }
  }
  this->FindTakeOvers(view, observations);
  this->FindUndrains(view, observations);
}

void StepReview::AssessWave(const FleetView& view) {
  const std::uint32_t limit = view.state->inventory.maintenance.stop_after_failures;
  if (limit == 0) {
    return;
  }
  const auto begin = WaveBegin(view);
  std::uint32_t failed_by_step = 0;
  std::uint32_t lost_during_wave = 0;
  for (const VmView& vm : view.vms) {
    if (!vm.is_lost) {
      continue;
    }
    const bool is_failed_by_step = IsFailedByStep(vm);
    failed_by_step += is_failed_by_step ? 1 : 0;
    lost_during_wave += !is_failed_by_step && IsLostDuringWave(view, vm, begin) ? 1 : 0;
  }
  this->has_failing_reboots = failed_by_step >= limit;
  this->is_wave_stopped = failed_by_step + lost_during_wave >= limit;
}

void StepReview::WithdrawFrom(const FleetView& view, const PoolView& pool) {
  std::vector<const VmView*> draining;
  // Only VMs that are known to be lost count, not those without a recent observation: otherwise
  // each delay of the VM list would withdraw steps and cause another round of drains.
  std::int64_t available = 0;
  for (const Index index : pool.vms) {
    const VmView& vm = view.vms[index];
    available += !vm.is_lost && !vm.step ? 1 : 0;
    if (vm.step && vm.step->phase == StepPhase::kDraining) {
      draining.push_back(&vm);
    }
  }
  std::sort(draining.begin(), draining.end(), [](const VmView* left, const VmView* right) {
    return std::tuple(left->step->claimed_at, left->step->id) >
           std::tuple(right->step->claimed_at, right->step->id);
  });
  const std::int64_t floor =
      static_cast<std::int64_t>(pool.pool->min_available) + FleetView::FailureReserve(*pool.pool);
  for (const VmView* vm : draining) {
    if (vm->is_lost) {
      const VmWait cause = MakeCause(*vm, WaitReason::kVmUnavailable);
      this->withdrawals.push_back(StepWithdrawal{vm->step->id, cause});
    } else if (available < floor) {
      ++available;
      const VmWait cause = MakeCause(*vm, WaitReason::kPoolBudget);
      this->withdrawals.push_back(StepWithdrawal{vm->step->id, cause});
    } else if (this->has_failing_reboots && vm->step->action == StepAction::kReboot) {
      const VmWait cause = MakeCause(*vm, WaitReason::kWaveStopped);
      this->withdrawals.push_back(StepWithdrawal{vm->step->id, cause});
    }
  }
}

void StepReview::FindTakeOvers(const FleetView& view, const Observations& observations) {
  const auto& rules = view.state->inventory.maintenance;
  const Duration take_over_delay = rules.drain_timeout + rules.reboot_timeout;
  for (const auto& [id, step] : view.state->steps) {
    const auto& live = observations.live_entries;
    if (live.empty() || live.contains(step.executor)) {
      continue;
    }
    const EntryId& successor = *std::max_element(
        live.begin(), live.end(), [&id = id](const EntryId& left, const EntryId& right) {
          return Rank(left, id) < Rank(right, id);
        });
    // Two entries that can't reach each other would take over a step from one another in turns.
    // Only the one that ranks higher may take over early.
    const bool ranks_higher = Rank(successor, id) > Rank(step.executor, id);
    if (ranks_higher || view.now - step.claimed_at > take_over_delay) {
      this->take_overs.push_back(StepTakeOver{id, step.executor, successor});
    }
  }
}

void StepReview::FindUndrains(const FleetView& view, const Observations& observations) {
  for (const VmView& vm : view.vms) {
    if (vm.step || vm.status->retired) {
      continue;
    }
    const auto seen = observations.vms.find(vm.vm->id);
    if (seen != observations.vms.end() && seen->second.drain_state == DrainState::kDraining) {
      this->undrains.push_back(vm.vm->id);
    }
  }
}

}  // namespace chervilspar::maintenance
