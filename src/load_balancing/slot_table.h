#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

#include "chervilspar/admission/ticket.h"
#include "chervilspar/base/random.h"
#include "chervilspar/base/time.h"
#include "chervilspar/load_balancing/balancer_options.h"
#include "chervilspar/load_balancing/endpoint.h"
#include "chervilspar/load_balancing/endpoint_health.h"

#include "load_balancing/indexed_set.h"

namespace chervilspar::load_balancing {

/// A task that this entry has in flight at an endpoint.
struct SentTask {
  admission::TicketId ticket;
  TimePoint sent_at;
  /// From then on the task counts against its endpoint.
  TimePoint overdue_at;
};

/// The balancer's state of one endpoint.
struct EndpointState {
  Endpoint endpoint;
  bool is_local = false;
  /// Whether the configuration lists the endpoint. An unlisted one is kept until its tasks end.
  bool is_listed = true;
  std::vector<SentTask> in_flight;
  /// Tasks in flight of other entries, by their reports.
  std::uint32_t peer_tasks = 0;
  /// Number of slots that belong to this entry, by `SplitSlots`.
  double split = 0.0;
  EndpointHealth health;
  TimePoint paused_until;
  Duration pause = Duration::zero();
  /// Receives only urgent work until then.
  TimePoint reserved_until;

  std::uint32_t Own() const { return static_cast<std::uint32_t>(this->in_flight.size()); }
  /// Slots that no entry is known to use.
  std::uint32_t IdleSlots() const;
  /// Fraction of the slots that entries are known to use. May exceed 1.
  double Load() const;
};

/// The endpoints of one service, indexed by the kind of free slot that they have, so that a choice
/// takes constant time regardless of their number.
class SlotTable {
 public:
  void SetEndpoints(const std::vector<Endpoint>& endpoints, const ZoneId& zone, TimePoint now);

  std::size_t Count() const { return this->states.size(); }
  const EndpointState& At(std::uint32_t index) const { return this->states[index]; }
  /// Returns the state for changing. Call `Reindex` afterwards.
  EndpointState& Change(std::uint32_t index) { return this->states[index]; }
  std::optional<std::uint32_t> Find(const VmId& endpoint) const;
  void Reindex(std::uint32_t index, TimePoint now);
  /// Reindexes the endpoints whose pause has ended.
  void Resume(TimePoint now);
  void PauseUntil(std::uint32_t index, TimePoint until, TimePoint now);

  bool Fits(std::uint32_t index, const admission::Requirement& requirement) const;
  /// Whether every listed endpoint is large enough.
  bool AllFit(const admission::Requirement& requirement) const;

  /// Endpoints with a whole free slot of this entry's part, in its own zone and in others.
  IndexedSet own_local;
  IndexedSet own_remote;
  /// Endpoints with a free fraction of a slot of this entry's part.
  IndexedSet own_fraction;
  /// Endpoints with a slot that no entry is known to use, in this entry's own zone and in others.
  IndexedSet idle_local;
  IndexedSet idle_remote;
  /// Endpoints not known to be full; other entries may use all their slots.
  IndexedSet open;

 private:
  void EraseFromSets(std::uint32_t index);

  std::vector<EndpointState> states;
  std::unordered_map<VmId, std::uint32_t> index_of;
  std::set<std::pair<TimePoint, std::uint32_t>> paused;
  admission::Requirement smallest;
};

}  // namespace chervilspar::load_balancing
