#pragma once

#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <vector>

#include "chervilspar/config_log/record.h"
#include "chervilspar/platform/vm_list_filter.h"
#include "chervilspar/platform/vm_list_service.h"

#include "entry/entry_context.h"

namespace chervilspar::entry {

/// What the VM list said when it was last read.
struct VmListView {
  platform::VmList list;
  /// When it was read; none before the first success.
  std::optional<TimePoint> read_at;
};

/// An unlisted VM counts as failed after this long: the list lags, and a VM that reboots may be
/// missing from it for a moment.
inline constexpr Duration kUnlistedIsFailed = std::chrono::seconds(3);
/// Each further live entry waits this much longer before it appends the same observation, so that
/// mostly one does.
inline constexpr Duration kObserverTurn = std::chrono::milliseconds(700);

/// Turns readings of the platform's VM list into records of what has changed. Thread-safe.
///
/// Only recorded observations decide in the fold. Each entry reads the list by itself, so that no
/// single one is needed; the fold drops what is older or says nothing new.
class VmObserver {
 public:
  explicit VmObserver(const EntryContext& context) : context(context) {}

  /// Takes in a reading.
  void OnList(const platform::VmList& list, const config_log::FleetState& state);
  /// Observations that differ from the folded state and have waited for this entry's turn.
  /// `turn` is this entry's place among the live ones.
  std::vector<config_log::VmsObserved> Due(const config_log::FleetState& state, std::size_t turn);

  VmListView View() const;
  /// Since when the VM has been missing from the list, if it is.
  std::optional<WallTime> FailingSince(const VmId& vm) const;
  /// VMs that the list calls leaving.
  std::set<VmId> ListedLeaving() const;

 private:
  struct Change {
    config_log::VmCondition condition = config_log::VmCondition::kUnseen;
    TimePoint since;
  };

  config_log::VmCondition ConditionOf(const VmId& vm, const std::map<VmId, platform::VmState>& seen,
                                      config_log::VmCondition known, TimePoint now);

  const EntryContext& context;
  mutable std::mutex mutex;
  platform::VmListFilter filter;
  VmListView view;
  std::map<VmId, TimePoint> unlisted_since;
  std::map<VmId, Change> changes;
};

}  // namespace chervilspar::entry
