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

/// Where a request is sent.
///
/// Load pattern: several entries share endpoints of 8 slots without a dispatcher, and some
/// endpoints are slow, fail everything at once, or take tasks and never answer. Without this module
/// entries meet at full endpoints while other slots idle, and a failing endpoint, being free again
/// at once, draws all the work. Placement goes by parts of the slots (`SlotSplit`) with lending;
/// health by comparison with the service's other endpoints, with a bound on how many are out at
/// once, a probe to come back, and a growing wait between them against flapping.
namespace chervilspar::load_balancing {

class SlotTable;
class PlacementPolicy;
enum class PartUse : int;

/// Whether there is more to do than slots.
enum class FleetLoad {
  kHasFreeCapacity,
  kFull,
  /// As full, and another entry waits for slots that are being cleared for urgent work.
  kClearing,
};

/// Every choice takes constant time or, for probes and pauses, O(log endpoints).
class Balancer {
 public:
  Balancer(ZoneId zone, BalancerOptions options);
  ~Balancer();
  Balancer(const Balancer&) = delete;
  Balancer& operator=(const Balancer&) = delete;

  void SetEndpoints(const std::vector<Endpoint>& endpoints, TimePoint now);
  /// Takes this entry's part among all entries. Slots of others may be borrowed while the fleet has
  /// room. When it is full, a slot that looks free in a report is one whose owner is about to fill
  /// it again, and taking it sends the owner on to take another's.
  void SetParts(const std::vector<scheduling::EntryPart>& entries, const EntryId& self,
                FleetLoad fleet_load, TimePoint now);
  /// Takes what the other entries report of their tasks and ejections.
  void SetPeers(const std::vector<const scheduling::ShardReport*>& reports, TimePoint now);

  scheduling::Slot Find(const admission::Ticket& ticket, TimePoint now, Random& random);
  /// Whether there may be a slot, or a probe to send; cheap.
  bool HasFreeSlot(TimePoint now);
  /// The ticket is being sent. From `overdue_at` on it speaks against the endpoint.
  void OnSent(const VmId& endpoint, const admission::Ticket& ticket, TimePoint overdue_at,
              TimePoint now);
  void OnEnded(const VmId& endpoint, const admission::Ticket& ticket, Outcome outcome,
               Duration measured, Duration expected, TimePoint now, Random& random);
  /// Starts no normal work of this entry at the endpoint until then, so that a slot cleared for
  /// urgent work is not filled again before that arrives.
  void ReserveForUrgent(const VmId& endpoint, TimePoint until, TimePoint now);
  /// Looks for endpoints that are much slower than the others or don't answer; call every 100 ms.
  void EjectOutliers(TimePoint now, Random& random);

  /// Slots at endpoints in use, for dividing among teams and entries.
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
  /// Call around each change of an endpoint's health.
  void UnscheduleProbe(std::uint32_t index);
  void ScheduleProbe(std::uint32_t index);
  void OnFull(std::uint32_t index, TimePoint now);
  void UpdateCredit(TimePoint now);
  PartUse CurrentPartUse() const;

  ZoneId zone;
  BalancerOptions options;
  std::unique_ptr<SlotTable> table;
  std::unique_ptr<PlacementPolicy> policy;
  /// Indexes of endpoints that are ejected or being probed.
  std::vector<std::uint32_t> ejected;
  /// The ejected ones by the time of their next probe, without those being probed.
  std::set<std::pair<TimePoint, std::uint32_t>> probes;
  std::vector<std::uint32_t> ejecting_peers;
  std::size_t peer_count = 0;
  /// Kept up to date by `CountUsable`, since every admission asks.
  std::size_t listed = 0;
  double usable_slots = 0.0;
  std::unordered_map<TeamId, double> failure_rate_of;
  /// This entry's part of all slots, and how much slot time it is behind (or ahead, if negative).
  double part = 0.0;
  FleetLoad fleet = FleetLoad::kHasFreeCapacity;
  double credit = 0.0;
  TimePoint credit_at;
  std::size_t in_flight = 0;
};

}  // namespace chervilspar::load_balancing
