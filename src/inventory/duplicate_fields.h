#pragma once

#include <string_view>

#include "inventory/faults.h"

namespace chervilspar::inventory {

/// Reports each field that an object of the JSON text has twice.
///
/// What goes wrong without it: a JSON value keeps only the last of two fields with the same name,
/// so that an operator who edits the first sees the change accepted and nothing happen.
/// The text must be well-formed JSON.
void FindDuplicateFields(std::string_view text, Faults& faults);

}  // namespace chervilspar::inventory
