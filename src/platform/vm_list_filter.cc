#include "chervilspar/platform/vm_list_filter.h"

#include <algorithm>
#include <map>

namespace chervilspar::platform {

namespace {

/// Returns each known VM once, in the worst of its states, with the other VMs as findings.
FilteredVmList KeepKnownVms(const VmList& list, const std::set<VmId>& known) {
  FilteredVmList filtered;
  std::map<VmId, ListedVm> by_id;
  for (const ListedVm& listed : list.vms) {
    if (!known.contains(listed.vm)) {
      filtered.findings.push_back({VmListFault::kUnknownVm, listed.vm});
      continue;
    }
    const auto [entry, is_new] = by_id.emplace(listed.vm, listed);
    if (!is_new) {
      filtered.findings.push_back({VmListFault::kRepeatedVm, listed.vm});
      entry->second.state = std::max(entry->second.state, listed.state);
    }
  }
  filtered.list.sequence = list.sequence;
  filtered.list.as_of = list.as_of;
  for (const auto& [id, listed] : by_id) {
    filtered.list.vms.push_back(listed);
  }
  return filtered;
}

std::optional<VmListFault> FindSequenceFault(const VmList& list, const VmList& before) {
  if (list.sequence < before.sequence) {
    return list.as_of > before.as_of ? VmListFault::kSequenceReset : VmListFault::kWentBackwards;
  }
  if (list.sequence == before.sequence && list.vms != before.vms) {
    return VmListFault::kChangedWithoutSequence;
  }
  return std::nullopt;
}

}  // namespace

const char* ToString(VmListFault fault) {
  switch (fault) {
    case VmListFault::kWentBackwards:
      return "went-backwards";
    case VmListFault::kSequenceReset:
      return "sequence-reset";
    case VmListFault::kChangedWithoutSequence:
      return "changed-without-sequence";
    case VmListFault::kRepeatedVm:
      return "repeated-vm";
    case VmListFault::kUnknownVm:
      return "unknown-vm";
  }
  return "unknown-vm";
}

FilteredVmList VmListFilter::Apply(const VmList& list, const std::set<VmId>& known) {
  const std::optional<VmListFault> sequence_fault =
      this->newest ? FindSequenceFault(list, *this->newest) : std::nullopt;
  const bool is_newer =
      !this->newest || list.sequence > this->newest->sequence || list.as_of > this->newest->as_of;
  if (is_newer) {
    this->newest = list;
  }
  FilteredVmList filtered = KeepKnownVms(*this->newest, known);
  if (sequence_fault) {
    filtered.findings.insert(filtered.findings.begin(), VmListFinding{*sequence_fault, {}});
  }
  return filtered;
}

}  // namespace chervilspar::platform
