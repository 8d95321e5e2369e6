#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "chervilspar/base/ids.h"
#include "chervilspar/jobs/carrier_choice.h"

namespace chervilspar::job_entry {

/// Appends the zone and address at which the entry forwards orders to its member name. An owner
/// then finds the entries that can forward its orders in the group's list of members alone.
std::string WithCarrier(const std::string& member, const jobs::Carrier& carrier);

/// The carrier that the member name contains; nothing if the member forwards no orders or runs a
/// version with another format.
std::optional<jobs::Carrier> CarrierOf(std::string_view member);

}  // namespace chervilspar::job_entry
