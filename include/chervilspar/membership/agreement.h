#pragma once

#include <set>

#include "chervilspar/base/ids.h"
#include "chervilspar/base/time.h"
#include "chervilspar/config_log/fleet_state.h"

namespace chervilspar::membership {

/// The entries of an accepted configuration, and those of earlier ones that may still be active.
struct EntryList {
  config_log::ConfigVersion version = 0;
  std::set<EntryId> entries;
  /// Entries of earlier configurations that are no longer listed and that no operator has declared
  /// gone. They may be cut off and still apply an old configuration.
  std::set<EntryId> former;
  /// Entries that an operator's record declares gone. They start nothing new, but the tasks that
  /// they started may still run for `max_run_duration`.
  std::set<EntryId> gone;
  /// Maximum time for which a task may still run after its entry, or its lender, is gone.
  Duration max_run_duration = Duration::zero();

  friend bool operator==(const EntryList&, const EntryList&) = default;
};

/// Which entries have reached one configuration, that is, applied it or settled in it. Both are
/// stable: an entry that has reached a version and its successors never go back to an older one.
struct Agreement {
  config_log::ConfigVersion version = 0;
  /// Entries, listed or former, not yet known to have reached exactly this version. An entry that
  /// skipped the version by loading a snapshot remains in this set, as it never confirmed it.
  std::set<EntryId> awaiting;

  bool IsReachedByAll() const { return this->version > 0 && this->awaiting.empty(); }

  friend bool operator==(const Agreement&, const Agreement&) = default;
};

}  // namespace chervilspar::membership
