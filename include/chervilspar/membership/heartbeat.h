#pragma once

#include <cstdint>

#include "chervilspar/base/hybrid_time.h"
#include "chervilspar/base/ids.h"
#include "chervilspar/config_log/fleet_state.h"
#include "chervilspar/membership/incarnation.h"

namespace chervilspar::membership {

/// Whether an entry has read the log to its end since it started. A state taken over from a peer
/// does not count: the peer may be behind what this entry's predecessor had confirmed.
enum class LogProgress { kCatchingUp, kReadToEnd };

/// What an entry tells every other entry, about twice a second. About 100 bytes encoded.
struct Heartbeat {
  EntryId from;
  Incarnation incarnation;
  ZoneId zone;
  /// Offset of the next record to fold.
  config_log::Offset next_offset = 0;
  LogProgress log_progress = LogProgress::kCatchingUp;
  /// The configuration that the sender acts by. It acts by no older one from here on.
  config_log::ConfigVersion applied_version = 0;
  /// The newest configuration within whose split of limits the sender's use has come.
  config_log::ConfigVersion settled_version = 0;
  /// The newest version that the sender knows every entry to have applied; zero for none.
  config_log::ConfigVersion applied_by_all = 0;
  /// The newest version within which the sender knows every entry to have settled; zero for none.
  config_log::ConfigVersion settled_by_all = 0;
  HybridTime sent_at;

  friend bool operator==(const Heartbeat&, const Heartbeat&) = default;
};

}  // namespace chervilspar::membership
