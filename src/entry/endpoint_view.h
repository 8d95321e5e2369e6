#pragma once

#include <map>
#include <set>

#include "chervilspar/base/ids.h"
#include "chervilspar/config_log/fleet_state.h"

#include "entry/service_host.h"

/// Which endpoints may get new work, from the folded state and from how fresh this entry's view is.
namespace chervilspar::entry {

/// How current this entry's knowledge is.
struct ViewFreshness {
  /// The log was read without error within `kViewBound`.
  bool is_log_fresh = false;
  /// The entry's own zone.
  ZoneId own_zone;
  /// Zones of entries that were heard within `kViewBound` and have folded no more than this one.
  std::set<ZoneId> zones_in_agreement;
  /// VMs that the platform's list called leaving when it was last read; ahead of the log.
  std::set<VmId> listed_leaving;

  friend bool operator==(const ViewFreshness&, const ViewFreshness&) = default;
};

/// Age above which a view no longer carries new work to another zone. "After a few seconds" is the
/// promise for a leaving endpoint; a lost read or two must not stop a healthy entry.
inline constexpr Duration kViewBound = std::chrono::seconds(3);

/// Whether new work may go to the VM.
///
/// An entry that is cut off doesn't learn that a VM of another zone is leaving, and requests that
/// it sends there would be cut. So work leaves the own zone only while the log, or an entry of the
/// VM's zone that knows no more than this one, has been heard lately. In the own zone a step's
/// executor must reach the endpoint to drain it, and a drained endpoint refuses work.
bool MayGetWork(const config_log::FleetState& state, const inventory::Vm& vm,
                const ViewFreshness& freshness);

/// The configuration of every service's shard.
std::map<ServiceId, ServiceConfig> ConfigureServices(const config_log::FleetState& state,
                                                     const ViewFreshness& freshness);

}  // namespace chervilspar::entry
