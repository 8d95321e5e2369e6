#pragma once

#include <cstddef>
#include <memory>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

#include "chervilspar/admission/ticket.h"
#include "chervilspar/base/ids.h"
#include "chervilspar/base/random.h"
#include "chervilspar/base/time.h"
#include "chervilspar/load_balancing/balancer_options.h"
#include "chervilspar/load_balancing/endpoint.h"
#include "chervilspar/load_balancing/endpoint_health.h"
#include "chervilspar/scheduling/fleet_shares.h"
#include "chervilspar/scheduling/shard_report.h"
#include "chervilspar/scheduling/slot_finder.h"

/// Chooses the endpoint to which a request is sent.
///
/// Several entries share the endpoints of a service without a central dispatcher, and some
/// endpoints are slow, fail every task at once, or accept tasks and never respond. If each entry
/// chose by its own view alone, entries would collide at full endpoints while other slots idle, and
/// an endpoint that fails fast would attract all the work, since its slots are free again at once.
/// Placement divides the slots among the entries (`SplitSlots`) and lets entries borrow idle ones.
/// Outlier detection compares each endpoint with the service's others. It limits how many are
/// ejected at once, readmits an endpoint after successful probes, and backs off between probes to
/// prevent flapping.
namespace chervilspar::load_balancing {

class SlotTable;
class PlacementPolicy;
enum class PartUse : int;

/// Whether the fleet has more work than slots.
enum class FleetLoad {
  kHasFreeCapacity,
  kFull,
  /// Full, and another entry waits for slots that are being cleared for urgent work.
  kClearing,
};

/// The load balancer of one service at one entry. Choosing an endpoint takes constant time or, for
/// probes and pauses, O(log endpoints).
class Balancer {
 public:
  Balancer(ZoneId zone, BalancerOptions options);
  ~Balancer();
  Balancer(const Balancer&) = delete;
  Balancer& operator=(const Balancer&) = delete;

  void SetEndpoints(const std::vector<Endpoint>& endpoints, TimePoint now);
  /// Sets the parts of all entries and thereby the slots that belong to this one. Slots of other
  /// entries may be borrowed while the fleet has free capacity. When it is full, a slot that a
  /// report shows as free is usually about to be filled again by its owner, and borrowing it makes
  /// the owner take a slot of another entry.
  void SetParts(const std::vector<scheduling::EntryAllocation>& entries, const EntryId& self,
                FleetLoad fleet_load, TimePoint now);
  /// Updates the tasks in flight and the ejections that the other entries report.
  void SetPeers(const std::vector<const scheduling::ShardReport*>& reports, TimePoint now);

  scheduling::Slot Find(const admission::Ticket& ticket, TimePoint now, Random& random);
  /// Whether there may be a free slot or a probe to send. Cheaper than `Find`.
  bool HasFreeSlot(TimePoint now);
  /// Records that the ticket is being sent. From `overdue_at` on it counts against the endpoint.
  void OnSent(const VmId& endpoint, const admission::Ticket& ticket, TimePoint overdue_at,
              TimePoint now);
  void OnEnded(const VmId& endpoint, const admission::Ticket& ticket, Outcome outcome,
               Duration measured, Duration expected, TimePoint now, Random& random);
  /// Starts no normal work of this entry at the endpoint before `until`, so that a slot cleared for
  /// urgent work is not filled again before the urgent work arrives.
  void ReserveForUrgent(const VmId& endpoint, TimePoint until, TimePoint now);
  /// Ejects endpoints that are much slower than the others or don't respond. Call every 100 ms.
  void EjectOutliers(TimePoint now, Random& random);

  /// Number of slots at usable endpoints, which teams and entries divide among themselves.
  double UsableSlots() const { return this->usable_slots; }
  std::size_t UsableEndpoints() const;
  std::vector<scheduling::EndpointLoad> OwnLoads() const;
  std::vector<VmId> Ejected() const;
  std::size_t InFlight() const { return this->in_flight; }

 private:
  void CountUsable();
  bool IsUsable(std::uint32_t index) const;
  std::optional<std::uint32_t> DueProbe(const admission::Ticket& ticket, TimePoint now) const;
  std::size_t MaxEjected() const;
  bool IsMuchSlower(std::uint32_t index, double median) const;
  double MedianSlowness() const;
  void EjectIfAllowed(std::uint32_t index, TimePoint now, Random& random);
  void EndProbe(std::uint32_t index, Evidence evidence, TimePoint now, Random& random);
  Evidence ClassifyOutcome(const admission::Ticket& ticket, Outcome outcome, Duration measured,
                           Duration expected, TimePoint now);
  void EjectUnresponsive(TimePoint now, Random& random);
  /// Call `UnscheduleProbe` before each change of an endpoint's health, `ScheduleProbe` after it.
  void UnscheduleProbe(std::uint32_t index);
  void ScheduleProbe(std::uint32_t index);
  void OnFull(std::uint32_t index, TimePoint now);
  void UpdateCredit(TimePoint now);
  PartUse CurrentPartUse() const;

  ZoneId zone;
  BalancerOptions options;
  std::unique_ptr<SlotTable> table;
  std::unique_ptr<PlacementPolicy> policy;
  /// Indexes of the endpoints that are ejected or being probed.
  std::vector<std::uint32_t> ejected;
  /// The ejected endpoints by the time of their next probe, without those being probed.
  std::set<std::pair<TimePoint, std::uint32_t>> probes;
  /// For each endpoint, the number of other entries that report it as ejected.
  std::vector<std::uint32_t> ejecting_peers;
  std::size_t peer_count = 0;
  /// Cached by `CountUsable`, since every admission reads them.
  std::size_t listed = 0;
  double usable_slots = 0.0;
  std::unordered_map<TeamId, double> failure_rate_of;
  /// Slots that belong to this entry.
  double part = 0.0;
  FleetLoad fleet = FleetLoad::kHasFreeCapacity;
  /// Slot seconds by which this entry's use is behind its part, or ahead of it if negative.
  double credit = 0.0;
  TimePoint credit_at;
  std::size_t in_flight = 0;
};

}  // namespace chervilspar::load_balancing
