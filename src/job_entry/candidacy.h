#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "chervilspar/base/time.h"

namespace chervilspar::job_entry {

/// Decides which entries run as candidates, so that the owner runs on a VM with enough CPU.
///
/// In a fleet whose entries run on VMs of very different size, the owner's work grows with the
/// number of endpoints, while that of the other entries hardly does. An owner on the smallest VM
/// takes seconds for a round at peak load, its renewals are late, and tasks that serve users lose
/// their leases. With 43 entries of 0.12 to 0.5 cores and 350 endpoints, a fleet earns 0.637 of the
/// credit with the owner on 0.12 cores and 0.880 with the owner on 0.5 cores (one run of the same
/// day each).
class Candidacy {
 public:
  /// `cores`: the CPU capacity of this entry's VM, in cores.
  explicit Candidacy(double cores) : cores(cores) {}

  /// The name of this incarnation of an entry as a member of the group. It contains the cores, so
  /// that the other entries need nothing but the list of members.
  std::string MemberName(const std::string& entry, std::int64_t incarnation) const;

  /// The delay before the first review of the group. Entries on small VMs let those on larger VMs
  /// join first when all start at once, which avoids a change of owner.
  Duration InitialDelay() const;

  /// True unless a member has clearly more cores than this entry.
  bool ShouldRun(const std::vector<std::string>& members) const;

 private:
  double cores;
};

}  // namespace chervilspar::job_entry
