#pragma once

#include <optional>
#include <set>
#include <vector>

#include "chervilspar/base/ids.h"
#include "chervilspar/base/time.h"
#include "chervilspar/config_log/fleet_state.h"

namespace chervilspar::idempotency {

/// The entry that owns a request id under a list of entries: the highest rendezvous hash of (entry,
/// id). A change of the list moves only the ids of the entries that came or went. None for an empty
/// list.
std::optional<EntryId> OwnerOf(const RequestId& id, const std::set<EntryId>& entries);

}  // namespace chervilspar::idempotency
