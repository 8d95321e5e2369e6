#include "entry/vm_observer.h"

#include <utility>

#include "chervilspar/telemetry/logger.h"

namespace chervilspar::entry {

using config_log::VmCondition;

void VmObserver::OnList(const platform::VmList& list, const config_log::FleetState& state) {
  std::set<VmId> known;
  for (const auto& [id, vm] : state.inventory.vms) {
    known.insert(id);
  }
  const std::lock_guard lock(this->mutex);
  const platform::FilteredVmList filtered = this->filter.Apply(list, known);
  for (const platform::VmListFinding& finding : filtered.findings) {
    this->context.metrics.Count(
        {"chervilspar_vm_list_findings_total", {{"fault", ToString(finding.fault)}}});
  }
  this->view = {filtered.list, this->context.Now()};
}

VmListView VmObserver::View() const {
  const std::lock_guard lock(this->mutex);
  return this->view;
}

std::set<VmId> VmObserver::ListedLeaving() const {
  const std::lock_guard lock(this->mutex);
  std::set<VmId> leaving;
  for (const platform::ListedVm& vm : this->view.list.vms) {
    if (vm.state == platform::VmState::kLeaving) {
      leaving.insert(vm.vm);
    }
  }
  return leaving;
}

std::optional<WallTime> VmObserver::FailingSince(const VmId& vm) const {
  const std::lock_guard lock(this->mutex);
  const auto found = this->unlisted_since.find(vm);
  if (found == this->unlisted_since.end()) {
    return std::nullopt;
  }
  return this->context.WallNow() - (this->context.Now() - found->second);
}

VmCondition VmObserver::ConditionOf(const VmId& vm, const std::map<VmId, platform::VmState>& seen,
                                    VmCondition known, TimePoint now) {
  const auto found = seen.find(vm);
  if (found != seen.end()) {
    this->unlisted_since.erase(vm);
    return found->second == platform::VmState::kLive ? VmCondition::kAvailable
                                                     : VmCondition::kLeaving;
  }
  const TimePoint since = this->unlisted_since.emplace(vm, now).first->second;
  return now - since >= kUnlistedIsFailed ? VmCondition::kFailed : known;
}

std::vector<config_log::VmsObserved> VmObserver::Due(const config_log::FleetState& state,
                                                     std::size_t turn) {
  const std::lock_guard lock(this->mutex);
  if (!this->view.read_at) {
    return {};
  }
  std::map<VmId, platform::VmState> seen;
  for (const platform::ListedVm& vm : this->view.list.vms) {
    seen.emplace(vm.vm, vm.state);
  }
  const TimePoint now = this->context.Now();
  std::map<VmCondition, std::vector<VmId>> due;
  for (const auto& [vm, status] : state.vm_status) {
    const VmCondition condition = this->ConditionOf(vm, seen, status.condition, now);
    if (condition == status.condition) {
      this->changes.erase(vm);
      continue;
    }
    Change& change = this->changes[vm];
    if (change.condition != condition) {
      change = {condition, now};
    }
    if (now - change.since >= kObserverTurn * static_cast<int>(turn)) {
      due[condition].push_back(vm);
      // Not again before a full round of turns; by then it is folded or lost.
      change.since = now + kUnlistedIsFailed;
    }
  }
  std::vector<config_log::VmsObserved> records;
  records.reserve(due.size());
  for (auto& [condition, vms] : due) {
    records.push_back({condition, std::move(vms), this->view.list.as_of});
  }
  return records;
}

}  // namespace chervilspar::entry
