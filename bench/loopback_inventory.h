#pragma once

#include <cstdint>
#include <string>

#include "chervilspar/base/result.h"

namespace chervilspar::bench {

/// Writes the document of a made-up fleet of `vms` VMs with `entries` entries on loopback: entry i
/// is "entry-i" in zone "zone-(i mod 6)", peers at 127.0.0.1:(21000 + i), callers at :(22000 + i).
/// Maintenance is off, so that nothing but the exchange and the log is at work.
Status WriteLoopbackInventory(const std::string& path, std::uint32_t vms, std::uint32_t entries);

}  // namespace chervilspar::bench
