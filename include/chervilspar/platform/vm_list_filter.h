#pragma once

#include <optional>
#include <set>
#include <vector>

#include "chervilspar/base/ids.h"
#include "chervilspar/platform/vm_list_service.h"

namespace chervilspar::platform {

/// What is odd about a VM list.
enum class VmListFault {
  /// The sequence is lower than one seen before and the list no younger: an answer overtaken on its
  /// way. It is not used.
  kWentBackwards,
  /// The sequence is lower but the list is younger: the platform started anew. It is used, or this
  /// entry would hold on to an old list until the platform's count has caught up.
  kSequenceReset,
  /// The same sequence as before with other contents; used if it is younger.
  kChangedWithoutSequence,
  /// A VM stands in the list twice; the worse state counts.
  kRepeatedVm,
  /// A VM that the inventory doesn't know.
  kUnknownVm,
};

/// The stable lower-case name used in logs and metrics.
const char* ToString(VmListFault fault);

/// One finding; `vm` is empty when it is about the list as a whole.
struct VmListFinding {
  VmListFault fault = VmListFault::kUnknownVm;
  VmId vm;

  friend bool operator==(const VmListFinding&, const VmListFinding&) = default;
};

/// A list as it may be used, with what was odd about the one that came.
struct FilteredVmList {
  /// The newest list so far: each VM once, known VMs only. When the list that came was older, this
  /// is still the one before it.
  VmList list;
  std::vector<VmListFinding> findings;

  friend bool operator==(const FilteredVmList&, const FilteredVmList&) = default;
};

/// Turns the lists that come into a sequence that never goes backwards.
///
/// What can go wrong: a delayed answer shows a leaving VM as live again, or a repeated line gives
/// two states, and new work is sent to a VM that is going away. The filter keeps the newest list,
/// takes the worse of two states and reports each oddity instead of dropping it silently.
class VmListFilter {
 public:
  FilteredVmList Apply(const VmList& list, const std::set<VmId>& known);

 private:
  std::optional<VmList> newest;
};

}  // namespace chervilspar::platform
