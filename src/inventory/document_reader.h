#pragma once

#include <boost/json/value.hpp>

#include "chervilspar/inventory/inventory.h"

#include "inventory/faults.h"

namespace chervilspar::inventory {

/// Reads a whole document; what comes back is meaningful only when no fault was added.
Inventory ReadDocument(const boost::json::value& json, Faults& faults);

}  // namespace chervilspar::inventory
