#pragma once

#include <cstddef>

#include "chervilspar/base/time.h"

namespace chervilspar::job_entry {

/// Between two readings of the list of VMs. What this entry has ordered it knows itself, and
/// endpoints register; the list only says which VM an endpoint is on.
///
/// The load that it answers: an owner on a link of a few megabits a second, which starts, renewals
/// and progress fill in each peak, while the list alone would take a fifth of it.
/// `link_rate`: megabits a second of this entry's link.
Duration VmListInterval(std::size_t vms, double link_rate);

}  // namespace chervilspar::job_entry
