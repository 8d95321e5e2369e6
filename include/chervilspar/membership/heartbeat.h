#pragma once

#include <cstdint>

#include "chervilspar/base/hybrid_time.h"
#include "chervilspar/base/ids.h"
#include "chervilspar/config_log/fleet_state.h"
#include "chervilspar/membership/incarnation.h"

namespace chervilspar::membership {

/// Whether an entry has read the log to its end since it started. A state copied from a peer
/// doesn't count, since it may be older than what this entry's predecessor confirmed.
enum class LogProgress { kCatchingUp, kReadToEnd };

/// The status that an entry sends to every other entry each `kHeartbeatInterval`. Encoded, it takes
/// about 100 bytes.
struct Heartbeat {
  EntryId from;
  Incarnation incarnation;
  ZoneId zone;
  /// Log offset of the next record to apply.
  config_log::Offset next_offset = 0;
  LogProgress log_progress = LogProgress::kCatchingUp;
  /// The configuration that the sender has applied. It never goes back to an older one.
  config_log::ConfigVersion applied_version = 0;
  /// The newest configuration whose split of limits covers the units that the sender uses.
  config_log::ConfigVersion settled_version = 0;
  /// The newest version that the sender knows every entry to have applied; zero for none.
  config_log::ConfigVersion applied_by_all = 0;
  /// The newest version in which the sender knows every entry to have settled; zero for none.
  config_log::ConfigVersion settled_by_all = 0;
  HybridTime sent_at;

  friend bool operator==(const Heartbeat&, const Heartbeat&) = default;
};

}  // namespace chervilspar::membership
