#pragma once

#include <cstddef>

#include "chervilspar/base/time.h"

namespace chervilspar::job_entry {

/// Interval between two reads of the VM list. This entry knows its own orders and endpoints
/// register themselves, so the list only shows on which VM an endpoint runs.
///
/// The interval bounds the list's share of the link: on an owner's link of a few megabits per
/// second, which starts, renewals and progress saturate in each peak, the list alone would take a
/// fifth. `link_rate`: bandwidth of this entry's link in megabits per second.
Duration VmListInterval(std::size_t vms, double link_rate);

}  // namespace chervilspar::job_entry
