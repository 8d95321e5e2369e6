#pragma once

namespace chervilspar::membership {

/// Whether a safety mechanism is enabled. It is always `kOn` in production: no flag, environment
/// variable or record sets it. Tests disable one mechanism to show that they fail without it.
enum class Guard { kOn, kOff };

}  // namespace chervilspar::membership
