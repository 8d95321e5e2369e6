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

/// A VM that fails this soon after its step is counted as harmed by it. Grounds: a bad image or a
/// full disk shows within minutes of the boot; later failures are of the ordinary kind.
constexpr Duration kSettleTime = std::chrono::minutes(10);

/// When the oldest step under way was claimed; none if no step is.
std::optional<WallTime> WaveBegin(const FleetView& view) {
  std::optional<WallTime> begin;
  for (const auto& [id, step] : view.state->steps) {
    begin = begin ? std::min(*begin, step.claimed_at) : step.claimed_at;
  }
  return begin;
}

/// Whether the VM's own step is the likely cause of its failure.
bool IsHarmedByStep(const VmView& vm) {
  if (vm.status->condition != VmCondition::kFailed) {
    return false;
  }
  if (vm.step) {
    return vm.step->phase == StepPhase::kActing;
  }
  // Its last step ended, and still it is due: the reboot failed.
  if (vm.need == Need::kReboot && vm.status->last_step) {
    return true;
  }
  return vm.failing_since && *vm.failing_since - vm.last_maintained < kSettleTime;
}

/// Whether the VM failed while the wave held VMs of its pool.
bool IsLostInWave(const FleetView& view, const VmView& vm, std::optional<WallTime> begin) {
  const bool is_touched = view.pools[vm.pool].held > 0;
  return begin && is_touched && vm.is_lost && !vm.status->retired && vm.failing_since &&
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
  this->JudgeWave(view);
  for (const PoolView& pool : view.pools) {
    if (pool.held > 0) {
      this->WithdrawFrom(view, pool);
    }
  }
  this->FindTakeOvers(view, observations);
  this->FindUndrains(view, observations);
}

void StepReview::JudgeWave(const FleetView& view) {
  const std::uint32_t limit = view.state->inventory.maintenance.stop_after_failures;
  if (limit == 0) {
    return;
  }
  const auto begin = WaveBegin(view);
  std::uint32_t harmed = 0;
  std::uint32_t lost = 0;
  for (const VmView& vm : view.vms) {
    if (!vm.is_lost) {
      continue;
    }
    const bool is_harmed = IsHarmedByStep(vm);
    harmed += is_harmed ? 1 : 0;
    lost += !is_harmed && IsLostInWave(view, vm, begin) ? 1 : 0;
  }
  this->is_wave_harmful = harmed >= limit;
  this->is_wave_stopped = harmed + lost >= limit;
}

void StepReview::WithdrawFrom(const FleetView& view, const PoolView& pool) {
  std::vector<const VmView*> draining;
  // What is known to be lost counts here, what is merely unseen does not: undoing a step because
  // a view is late would make every hiccup of the VM list a new round of drains.
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
      static_cast<std::int64_t>(pool.pool->min_available) + FleetView::FailureRoom(*pool.pool);
  for (const VmView* vm : draining) {
    if (vm->is_lost) {
      const VmWait cause = MakeCause(*vm, WaitReason::kVmUnavailable);
      this->withdrawals.push_back(StepWithdrawal{vm->step->id, cause});
    } else if (available < floor) {
      ++available;
      const VmWait cause = MakeCause(*vm, WaitReason::kPoolBudget);
      this->withdrawals.push_back(StepWithdrawal{vm->step->id, cause});
    } else if (this->is_wave_harmful && vm->step->action == StepAction::kReboot) {
      const VmWait cause = MakeCause(*vm, WaitReason::kWaveStopped);
      this->withdrawals.push_back(StepWithdrawal{vm->step->id, cause});
    }
  }
}

void StepReview::FindTakeOvers(const FleetView& view, const Observations& observations) {
  const auto& rules = view.state->inventory.maintenance;
  const Duration patience = rules.drain_timeout + rules.reboot_timeout;
  for (const auto& [id, step] : view.state->steps) {
    const auto& live = observations.live_entries;
    if (live.empty() || live.contains(step.executor)) {
      continue;
    }
    const EntryId& heir = *std::max_element(live.begin(), live.end(),
                                            [&id = id](const EntryId& left, const EntryId& right) {
                                              return Rank(left, id) < Rank(right, id);
                                            });
    // Two entries that are cut off from each other would take a step from one another in turns.
    // Only the one that ranks higher may do so early.
    const bool ranks_higher = Rank(heir, id) > Rank(step.executor, id);
    if (ranks_higher || view.now - step.claimed_at > patience) {
      this->take_overs.push_back(StepTakeOver{id, step.executor, heir});
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
