#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "chervilspar/base/ids.h"
#include "chervilspar/jobs/carrier_choice.h"

namespace chervilspar::job_entry {

/// Adds to a member's name where the entry carries orders, so that the group's list of members is
/// all that an owner needs to find those that can carry for it.
std::string WithCarrier(const std::string& member, const jobs::Carrier& carrier);

/// Nothing for a member that carries nothing, or of another version.
std::optional<jobs::Carrier> CarrierOf(std::string_view member);

}  // namespace chervilspar::job_entry
