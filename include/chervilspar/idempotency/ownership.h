#pragma once

#include <optional>
#include <set>
#include <vector>

#include "chervilspar/base/ids.h"
#include "chervilspar/base/time.h"
#include "chervilspar/config_log/fleet_state.h"

namespace chervilspar::idempotency {

/// Returns the entry that owns a request id under a list of entries, by rendezvous hashing: the one
/// with the highest hash of (entry, id). A change of the list moves only ids of the entries that
/// were added or removed. Returns `std::nullopt` for an empty list.
std::optional<EntryId> OwnerOf(const RequestId& id, const std::set<EntryId>& entries);

}  // namespace chervilspar::idempotency
