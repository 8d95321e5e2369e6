#pragma once

#include <string>

#include "bench/fleet/fleet.h"

namespace chervilspar::scenario {

/// About half a minute in the life of the fleet of an example inventory: callers of all client
/// accounts, a maintenance wave that moves a part of a pool, a key withdrawn, an entry killed and
/// replaced, another shut down gracefully. Prints a table and as its last line the counters as one
/// JSON object; gives 1 when one of those that must be zero is not, 2 when it could not run.
int RunDemo(const RunSettings& settings, const std::string& inventory_file);

}  // namespace chervilspar::scenario
