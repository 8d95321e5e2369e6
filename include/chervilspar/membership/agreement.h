#pragma once

#include <set>

#include "chervilspar/base/ids.h"
#include "chervilspar/base/time.h"
#include "chervilspar/config_log/fleet_state.h"

namespace chervilspar::membership {

/// The entries of an accepted configuration, and those of earlier ones that may still be acting.
struct EntryList {
  config_log::ConfigVersion version = 0;
  std::set<EntryId> entries;
  /// Entries of earlier configurations that are no longer listed and that no operator has declared
  /// gone. They may be cut off and still act by an old configuration.
  std::set<EntryId> former;
  /// Entries declared gone by an operator's record. They do nothing new; what they began may still
  /// run for `max_run_duration`.
  std::set<EntryId> gone;
  /// Longest that a task may still run whose entry, or whose lender, is gone.
  Duration max_run_duration = Duration::zero();

  friend bool operator==(const EntryList&, const EntryList&) = default;
};

/// How far the entries have come with one configuration. Both are stable facts: what an entry has
/// once reached, it and its successors keep to.
struct Agreement {
  config_log::ConfigVersion version = 0;
  /// Entries, listed or former, not yet known to have reached exactly this version. An entry that
  /// has skipped it by a snapshot stays in here: it never promised to keep to this version.
  std::set<EntryId> awaiting;

  bool IsReachedByAll() const { return this->version > 0 && this->awaiting.empty(); }

  friend bool operator==(const Agreement&, const Agreement&) = default;
};

}  // namespace chervilspar::membership
