#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <unordered_map>

#include "chervilspar/base/ids.h"
#include "chervilspar/base/time.h"

namespace chervilspar::maintenance {

/// What the platform's VM list says of a VM.
enum class VmListing { kLive, kLeaving, kUnlisted };

/// Whether an endpoint refuses new tasks, by its own last answer.
enum class DrainState { kUnknown, kOpen, kDraining };

/// What this entry last saw of one VM.
struct VmObservation {
  VmListing listing = VmListing::kUnlisted;
  DrainState drain_state = DrainState::kUnknown;
  /// Tasks running by the endpoint's last usage report; none without a report.
  std::optional<std::uint32_t> running;
  /// Age of the newest sign of life: the VM list that named it, or the endpoint's own answer.
  Duration age = Duration::max();
  /// When this entry first saw the failure that still lasts.
  std::optional<WallTime> failing_since;

  friend bool operator==(const VmObservation&, const VmObservation&) = default;
};

/// How long the parts of a step take, as measured over recent steps.
struct StepTimes {
  /// Grounds for the defaults: the rules' default task lease is a minute and most tasks are far
  /// shorter; a VM boots in a minute or two. The entry replaces them by its own moving averages.
  Duration drain = std::chrono::seconds(30);
  Duration reboot = std::chrono::seconds(90);
  /// Records read back and calls answered, for one step.
  Duration overhead = std::chrono::seconds(2);

  friend bool operator==(const StepTimes&, const StepTimes&) = default;
};

/// Everything a planner may take into account besides the folded state. It is advice: what only one
/// entry sees never decides what the fold admits.
struct Observations {
  /// VMs never seen are absent and count as unavailable.
  std::unordered_map<VmId, VmObservation> vms;
  /// Age of the VM list view.
  Duration vm_list_age = Duration::max();
  /// Entries heard from lately, this one included.
  std::set<EntryId> live_entries;
  StepTimes step_times;

  friend bool operator==(const Observations&, const Observations&) = default;
};

/// Oldest view of a VM or of the list on which a step may begin or act. Grounds: entries poll the
/// list every few seconds and the platform's lag is of that order, so a view beyond half a minute
/// means that polling has stopped.
inline constexpr Duration kMaxViewAge = std::chrono::seconds(30);

/// Whether a step may count on the VM: listed as live, in a view that is fresh.
bool IsSeenLive(const Observations& observations, const VmId& vm);

}  // namespace chervilspar::maintenance
