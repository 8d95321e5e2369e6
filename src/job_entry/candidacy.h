#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "chervilspar/base/time.h"

namespace chervilspar::job_entry {

/// Says which entries stand for owner, so that the owner runs where it has processor enough.
///
/// The load that it answers: a fleet whose entries run on VMs of very different size, with hundreds
/// of endpoints. The owner's work grows with the endpoints, that of the others hardly does. Without
/// this, chance puts the owner on the smallest VM, its rounds take seconds in a peak, renewals come
/// late, and tasks that serve users lose their leases. On 43 entries of 0.12 to 0.5 cores with 350
/// endpoints, 0.637 of the credit was earned with the owner on 0.12 cores and 0.880 on 0.5 (one
/// play each of the same day).
class Candidacy {
 public:
  /// `cores`: the part of the processor that this entry's VM gives, in cores.
  explicit Candidacy(double cores) : cores(cores) {}

  /// The name under which this life of an entry is a member of the group. Says the cores as well,
  /// so that the list of members is all that the others need.
  std::string MemberName(const std::string& entry, std::int64_t life) const;

  /// Before the first look at the group. Entries on small VMs let those on larger ones come first
  /// when all start at once, which saves a change of owner.
  Duration FirstDelay() const;

  /// True unless a member has clearly more processor.
  bool ShouldStand(const std::vector<std::string>& members) const;

 private:
  double cores;
};

}  // namespace chervilspar::job_entry
