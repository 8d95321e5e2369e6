#pragma once

#include <vector>

#include "chervilspar/base/ids.h"
#include "chervilspar/load_balancing/endpoint.h"
#include "chervilspar/scheduling/fleet_shares.h"

/// Says which slots of which endpoints are whose.
///
/// Load pattern: 6 to 9 entries send to the same endpoints of 8 slots, and no dispatcher knows what
/// is free. Without this module every entry goes after the same free slot, most tries meet a full
/// endpoint, and at full load the slots idle while the tries go round. Here all entries lay the
/// same parts over the same slots, so that each slot has one owner that fills it without asking.
/// Entries whose reports differ for a moment overlap a little; the endpoint's "full" settles it.
namespace chervilspar::load_balancing {

/// The part of each endpoint's slots, in the order of `endpoints`, that belongs to `self`.
/// Each entry's part is laid in its own zone as far as that has room, the rest over what other
/// zones leave. Fractions are met on average by the balancer's credit.
/// Takes time linear in endpoints and entries.
std::vector<double> SplitSlots(const std::vector<Endpoint>& endpoints,
                               const std::vector<scheduling::EntryAllocation>& entries,
                               const EntryId& self);

}  // namespace chervilspar::load_balancing
