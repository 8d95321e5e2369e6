#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <unordered_map>

#include "chervilspar/base/ids.h"
#include "chervilspar/base/time.h"

namespace chervilspar::maintenance {

/// The status of a VM in the platform's VM list.
enum class VmListing { kLive, kLeaving, kUnlisted };

/// Whether an endpoint refuses new tasks, according to its last answer.
enum class DrainState { kUnknown, kOpen, kDraining };

/// The last observation that this entry made of a VM.
struct VmObservation {
  VmListing listing = VmListing::kUnlisted;
  DrainState drain_state = DrainState::kUnknown;
  /// Running tasks in the endpoint's last usage report; none without a report.
  std::optional<std::uint32_t> running;
  /// Time since the last contact: the VM list that contained it, or the endpoint's own answer.
  Duration age = Duration::max();
  /// When this entry first observed the failure that still lasts.
  std::optional<WallTime> failing_since;

  friend bool operator==(const VmObservation&, const VmObservation&) = default;
};

/// Durations of the parts of a step, averaged over recent steps.
struct StepTimes {
  /// The default task lease is a minute and most tasks are far shorter; a VM boots in a minute or
  /// two. The entry replaces the defaults by its own moving averages.
  Duration drain = std::chrono::seconds(30);
  Duration reboot = std::chrono::seconds(90);
  /// Time of one step for reading records back from the log and waiting for answers to calls.
  Duration overhead = std::chrono::seconds(2);

  friend bool operator==(const StepTimes&, const StepTimes&) = default;
};

/// Everything that a planner takes into account besides the folded state. Observations are
/// advisory: the fold never accepts or rejects a record on the observations of a single entry.
struct Observations {
  /// VMs that were never observed are absent and count as unavailable.
  std::unordered_map<VmId, VmObservation> vms;
  /// Age of the last VM list.
  Duration vm_list_age = Duration::max();
  /// Entries with a recent contact, this one included.
  std::set<EntryId> live_entries;
  StepTimes step_times;

  friend bool operator==(const Observations&, const Observations&) = default;
};

/// Maximum age of a VM's observation or of the VM list for a step to begin or act. Entries poll the
/// list every few seconds and the platform's lag is of the same order, so an older list means that
/// polling has stopped.
inline constexpr Duration kMaxViewAge = std::chrono::seconds(30);

/// Whether the VM is listed as live in a recent observation, so that steps may rely on it.
bool IsSeenLive(const Observations& observations, const VmId& vm);

}  // namespace chervilspar::maintenance
