#include "config_log/fold_visitor.h"

#include <algorithm>

#include "config_log/publish_fold.h"
#include "config_log/text_parts.h"

namespace chervilspar::config_log {

namespace {

std::string Named(const char* kind, const std::string& id) {
  return std::string(kind) + " \"" + id + '"';
}

Reason Conflict(std::string message) {
  return Reason{ErrorCode::kConflict, "", std::move(message)};
}

}  // namespace

FoldDecision Accept() { return FoldDecision{}; }

FoldDecision Reject(ErrorCode code, std::string message) {
  return FoldDecision{FoldVerdict::kRejected, Reason{code, "", std::move(message)}, std::nullopt};
}

FoldDecision FoldVisitor::operator()(const Publish& body) {
  return PublishFold(this->folder, body).Run();
}

FoldDecision FoldVisitor::operator()(const PublishPart& body) {
  auto& all = this->folder.state.pending_publishes;
  const auto [found, is_new] = all.try_emplace(body.publish);
  PendingPublish& pending = found->second;
  if (is_new) {
    pending.first_offset = this->folder.state.next_offset;
    pending.count = body.count;
  }
  if (pending.count != body.count) {
    return Reject(ErrorCode::kInvalidArgument, "the part belongs to another count of parts");
  }
  pending.parts[body.index] = body.text;
  if (pending.parts.size() < pending.count) {
    this->EvictOldestPending();
    return FoldDecision{FoldVerdict::kPassedOver, std::nullopt, std::nullopt};
  }
  std::string text;
  for (const auto& [index, part] : pending.parts) {
    text += part;
  }
  all.erase(found);
  const Result<Publish> publish = DecodePublish(text);
  FoldDecision decision = publish ? PublishFold(this->folder, *publish).Run()
                                  : Reject(ErrorCode::kMalformed, publish.LastReason().message);
  decision.subject = body.publish;
  return decision;
}

void FoldVisitor::EvictOldestPending() {
  auto& all = this->folder.state.pending_publishes;
  if (all.size() <= kMaxPendingPublishes) {
    return;
  }
  const auto oldest = std::min_element(all.begin(), all.end(), [](const auto& a, const auto& b) {
    return a.second.first_offset < b.second.first_offset;
  });
  all.erase(oldest);
}

FoldDecision FoldVisitor::operator()(const KeyGiven& body) {
  FleetState& state = this->folder.state;
  // An operator's "give" that crossed another's "withdraw" would bring a lost key back to life, and
  // whoever found it could submit work again; so a withdrawn key is dead for good.
  if (state.withdrawn.contains(body.digest)) {
    return Reject(ErrorCode::kConflict, "the key was withdrawn; give a new one");
  }
  if (!state.inventory.teams.contains(body.team)) {
    return Reject(ErrorCode::kNotFound, Named("team", body.team.text) + " is not in the inventory");
  }
  const auto [key, is_new] = state.keys.emplace(body.digest, body.team);
  if (!is_new && key->second != body.team) {
    return Reject(ErrorCode::kConflict, "the key is " + Named("team", key->second.text) + "'s");
  }
  return Accept();
}

FoldDecision FoldVisitor::operator()(const KeyWithdrawn& body) {
  this->folder.state.keys.erase(body.digest);
  this->folder.state.withdrawn.insert(body.digest);
  return Accept();
}

FoldDecision FoldVisitor::operator()(const VmsObserved& body) {
  std::size_t applied = 0;
  for (const VmId& vm : body.vms) {
    const auto found = this->folder.state.vm_status.find(vm);
    // A late or repeated observation from before a failure would count a dead VM as available, and
    // the next wave would take its pool below the budget.
    if (found == this->folder.state.vm_status.end() ||
        found->second.observed_at >= body.observed_at) {
      continue;
    }
    this->folder.CountVm(vm, -1);
    found->second.condition = body.condition;
    found->second.observed_at = body.observed_at;
    this->folder.CountVm(vm, +1);
    ++applied;
  }
  return applied > 0 ? Accept() : Reject(ErrorCode::kConflict, "newer observations are known");
}

std::optional<Reason> FoldVisitor::FindTargetFault(const StepClaimed& body) const {
  const bool is_move = body.action == StepAction::kMove;
  if (is_move != body.to_pool.has_value()) {
    return Conflict("a move needs a pool to go to, other steps must not have one");
  }
  if (!is_move) {
    return std::nullopt;
  }
  if (!this->folder.state.inventory.pools.contains(*body.to_pool)) {
    return Conflict(Named("pool", body.to_pool->text) + " is not in the inventory");
  }
  if (*body.to_pool == body.from_pool) {
    return Conflict("the VM is already in " + Named("pool", body.to_pool->text));
  }
  return std::nullopt;
}

std::optional<Reason> FoldVisitor::FindBudgetFault(const StepClaimed& body) const {
  const FleetState& state = this->folder.state;
  const std::uint32_t available = this->folder.CountsOf(body.from_pool).available;
  const std::uint32_t budget = state.inventory.pools.at(body.from_pool).min_available;
  // A VM that isn't available takes nothing from the pool; it may be repaired below the budget.
  if (IsAvailable(state, body.vm) && available <= budget) {
    return Conflict(Named("pool", body.from_pool.text) + " has " + std::to_string(available) +
                    " VMs available and must keep " + std::to_string(budget));
  }
  const RackId& rack = state.inventory.vms.at(body.vm).rack;
  const auto held = this->folder.held_in_rack.find(rack);
  if (held != this->folder.held_in_rack.end() &&
      held->second >= state.inventory.maintenance.max_per_rack) {
    return Conflict(Named("rack", rack.text) + " has " + std::to_string(held->second) +
                    " VMs held by steps, the most allowed");
  }
  return std::nullopt;
}

std::optional<Reason> FoldVisitor::FindClaimFault(const StepClaimed& body) const {
  const FleetState& state = this->folder.state;
  const auto vm = state.inventory.vms.find(body.vm);
  if (vm == state.inventory.vms.end()) {
    return Conflict(Named("VM", body.vm.text) + " is not in the inventory");
  }
  const VmStatus& status = state.vm_status.at(body.vm);
  const StepId id{this->record.id.text};
  if (status.step || state.steps.contains(id)) {
    return Conflict(Named("VM", body.vm.text) + " is held by step \"" +
                    (status.step ? status.step->text : id.text) + '"');
  }
  if (status.retired || status.last_step == id) {
    return Conflict("the step on " + Named("VM", body.vm.text) + " is over");
  }
  if (vm->second.pool != body.from_pool) {
    return Conflict(Named("VM", body.vm.text) + " is in " + Named("pool", vm->second.pool.text) +
                    ", not in \"" + body.from_pool.text + '"');
  }
  if (std::optional<Reason> fault = this->FindTargetFault(body)) {
    return fault;
  }
  return this->FindBudgetFault(body);
}

FoldDecision FoldVisitor::operator()(const StepClaimed& body) {
  if (std::optional<Reason> fault = this->FindClaimFault(body)) {
    return FoldDecision{FoldVerdict::kRejected, std::move(fault), std::nullopt};
  }
  FleetState& state = this->folder.state;
  Step step;
  step.id.text = this->record.id.text;
  step.vm = body.vm;
  step.action = body.action;
  step.from_pool = body.from_pool;
  step.to_pool = body.to_pool;
  step.executor = body.executor;
  step.claimed_at = this->record.at;
  this->folder.CountVm(body.vm, -1);
  state.vm_status.at(body.vm).step = step.id;
  this->folder.CountVm(body.vm, +1);
  ++this->folder.held_in_rack[state.inventory.vms.at(body.vm).rack];
  state.steps.emplace(step.id, step);
  return Accept();
}

FoldDecision FoldVisitor::operator()(const StepActing& body) {
  FleetState& state = this->folder.state;
  const auto found = state.steps.find(body.step);
  if (found == state.steps.end() || found->second.phase != StepPhase::kDraining) {
    return Reject(ErrorCode::kConflict, Named("step", body.step.text) + " is not draining");
  }
  Step& step = found->second;
  if (step.executor != body.executor) {
    return Reject(ErrorCode::kConflict, "the step is " + Named("entry", step.executor.text) + "'s");
  }
  // A rack that failed after the claim has used up the room that the claim was admitted on; the
  // drained VM is worth more back in its pool than rebooted.
  const std::uint32_t available = this->folder.CountsOf(step.from_pool).available;
  const std::uint32_t budget = state.inventory.pools.at(step.from_pool).min_available;
  const bool would_help = state.vm_status.at(step.vm).condition == VmCondition::kAvailable;
  if (would_help && available < budget) {
    return Reject(ErrorCode::kConflict, Named("pool", step.from_pool.text) + " has only " +
                                            std::to_string(available) + " VMs available of " +
                                            std::to_string(budget) + "; undrain the VM");
  }
  step.phase = StepPhase::kActing;
  return Accept();
}

FoldDecision FoldVisitor::operator()(const StepTakenOver& body) {
  FleetState& state = this->folder.state;
  const auto found = state.steps.find(body.step);
  if (found == state.steps.end()) {
    return Reject(ErrorCode::kConflict, Named("step", body.step.text) + " is over");
  }
  if (found->second.executor != body.from_executor) {
    return Reject(ErrorCode::kConflict,
                  "the step is " + Named("entry", found->second.executor.text) + "'s by now");
  }
  found->second.executor = body.to_executor;
  return Accept();
}

void FoldVisitor::EndStep(const Step& step) {
  FleetState& state = this->folder.state;
  VmStatus& status = state.vm_status.at(step.vm);
  status.step.reset();
  status.last_step = step.id;
  const auto held = this->folder.held_in_rack.find(state.inventory.vms.at(step.vm).rack);
  CHERVILSPAR_ASSERT(held != this->folder.held_in_rack.end() && held->second > 0);
  if (--held->second == 0) {
    this->folder.held_in_rack.erase(held);
  }
  state.steps.erase(StepId(step.id));
}

FoldDecision FoldVisitor::operator()(const StepDone& body) {
  FleetState& state = this->folder.state;
  const auto found = state.steps.find(body.step);
  if (found == state.steps.end() || found->second.phase != StepPhase::kActing) {
    return Reject(ErrorCode::kConflict, Named("step", body.step.text) + " is not acting");
  }
  const Step step = found->second;
  this->folder.CountVm(step.vm, -1);
  this->EndStep(step);
  VmStatus& status = state.vm_status.at(step.vm);
  inventory::Vm& vm = state.inventory.vms.at(step.vm);
  if (body.result == StepResult::kVmFailed) {
    status.condition = VmCondition::kFailed;
  } else if (step.action == StepAction::kReboot) {
    status.condition = VmCondition::kAvailable;
    status.last_maintained = this->record.at;
  } else if (step.action == StepAction::kRetire) {
    status.retired = true;
  } else {
    const PoolId declared = status.declared_pool.value_or(vm.pool);
    vm.pool = *step.to_pool;
    status.declared_pool = declared == vm.pool ? std::nullopt : std::optional<PoolId>(declared);
  }
  this->folder.CountVm(step.vm, +1);
  return Accept();
}

FoldDecision FoldVisitor::operator()(const StepWithdrawn& body) {
  FleetState& state = this->folder.state;
  const auto found = state.steps.find(body.step);
  if (found == state.steps.end() || found->second.phase != StepPhase::kDraining) {
    return Reject(ErrorCode::kConflict,
                  Named("step", body.step.text) + " is not draining and can't be withdrawn");
  }
  const Step step = found->second;
  this->folder.CountVm(step.vm, -1);
  this->EndStep(step);
  this->folder.CountVm(step.vm, +1);
  return Accept();
}

FoldDecision FoldVisitor::operator()(const EntryGone& body) {
  FleetState& state = this->folder.state;
  if (!state.former_entries.contains(body.entry)) {
    return Reject(ErrorCode::kConflict,
                  Named("entry", body.entry.text) + " is not one that was taken off the list");
  }
  state.former_entries.erase(body.entry);
  state.gone_entries.insert(body.entry);
  return Accept();
}

FoldDecision FoldVisitor::operator()(const SnapshotChunk&) {
  return FoldDecision{FoldVerdict::kPassedOver, std::nullopt, std::nullopt};
}

}  // namespace chervilspar::config_log
