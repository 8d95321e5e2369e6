#pragma once

#include <vector>

#include "chervilspar/base/ids.h"
#include "chervilspar/load_balancing/endpoint.h"
#include "chervilspar/scheduling/fleet_shares.h"

/// Divides the slots of a service's endpoints among the entries.
///
/// 6 to 9 entries send to the same endpoints of 8 slots, and no central dispatcher knows which
/// slots are free. If every entry competed for the same free slot, most attempts would reach a full
/// endpoint, and at full load slots would idle while attempts are retried. Instead, all entries
/// compute the same division, so that each slot has one owner, which fills it without coordination.
/// Entries whose reports differ for a moment overlap slightly; the endpoint then rejects the excess
/// as "full".
namespace chervilspar::load_balancing {

/// Returns the number of slots of each endpoint, in the order of `endpoints`, that belong to
/// `self`. Each entry's part is placed in its own zone as far as that has free capacity, and the
/// rest in the slots that other zones leave over. The balancer's credit honours fractions of a slot
/// on average. Takes O((endpoints + entries) log zones) time.
std::vector<double> SplitSlots(const std::vector<Endpoint>& endpoints,
                               const std::vector<scheduling::EntryAllocation>& entries,
                               const EntryId& self);

}  // namespace chervilspar::load_balancing
