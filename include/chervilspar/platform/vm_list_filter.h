#pragma once

#include <optional>
#include <set>
#include <vector>

#include "chervilspar/base/ids.h"
#include "chervilspar/platform/vm_list_service.h"

namespace chervilspar::platform {

/// An inconsistency of a VM list.
enum class VmListFault {
  /// The sequence is lower than that of an earlier list and the list isn't newer: an answer that
  /// arrived out of order. The list is ignored.
  kWentBackwards,
  /// The sequence is lower but the list is newer: the platform has restarted its sequence. The list
  /// is used; otherwise this entry would keep an old list until the sequence has caught up.
  kSequenceReset,
  /// The sequence is the same as before but the contents differ. The list is used if it is newer.
  kChangedWithoutSequence,
  /// A VM is listed more than once; the worst of its states is used.
  kRepeatedVm,
  /// A VM that is not in the inventory.
  kUnknownVm,
};

/// Returns the stable lower-case name used in logs and metrics.
const char* ToString(VmListFault fault);

/// An inconsistency that was found; `vm` is empty when it concerns the list as a whole.
struct VmListFinding {
  VmListFault fault = VmListFault::kUnknownVm;
  VmId vm;

  friend bool operator==(const VmListFinding&, const VmListFinding&) = default;
};

/// The VM list to use, and the inconsistencies found in it and in the list that was received.
struct FilteredVmList {
  /// The newest list so far, with known VMs only and each of them once. An older list doesn't
  /// replace it.
  VmList list;
  std::vector<VmListFinding> findings;

  friend bool operator==(const FilteredVmList&, const FilteredVmList&) = default;
};

/// Makes a consistent sequence of the VM lists that the platform sends.
///
/// A delayed answer can show a leaving VM as live again, and a repeated line can give a VM two
/// states; work would then be sent to a VM that is going away. The filter therefore keeps the
/// newest list, uses the worst state of a VM and reports every inconsistency.
class VmListFilter {
 public:
  /// Takes a received list and returns the list to use. `known` holds the VMs of the inventory.
  FilteredVmList Apply(const VmList& list, const std::set<VmId>& known);

 private:
  std::optional<VmList> newest;
};

}  // namespace chervilspar::platform
