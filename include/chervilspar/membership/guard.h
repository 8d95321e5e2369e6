#pragma once

namespace chervilspar::membership {

/// Whether a safety mechanism is in place. It is always `kOn` in the product: no flag, environment
/// variable or record reaches these fields. Tests take one mechanism out to show that the proof
/// fails without it.
enum class Guard { kOn, kOff };

}  // namespace chervilspar::membership
