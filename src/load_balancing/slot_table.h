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

/// A task of this entry at an endpoint.
struct SentTask {
  admission::TicketId ticket;
  TimePoint sent_at;
  /// From then on the task speaks against its endpoint.
  TimePoint overdue_at;
};

/// All that the balancer knows of one endpoint.
struct EndpointState {
  Endpoint endpoint;
  bool is_local = false;
  /// In the list given by the configuration; false while old tasks end.
  bool is_listed = true;
  std::vector<SentTask> in_flight;
  /// Tasks of other entries, by their reports.
  std::uint32_t peer_tasks = 0;
  /// Slots that belong to this entry.
  double split = 0.0;
  EndpointHealth health;
  TimePoint paused_until;
  Duration pause = Duration::zero();
  /// Kept for urgent work until then.
  TimePoint reserved_until;

  std::uint32_t Own() const { return static_cast<std::uint32_t>(this->in_flight.size()); }
  /// Slots that nobody uses, by all that is known.
  std::uint32_t IdleSlots() const;
  /// Part of the slots in use, by all that is known.
  double Load() const;
};

/// The endpoints of one service, filed by what may be done with them, so that a choice takes
/// constant time however many there are.
class SlotTable {
 public:
  void SetEndpoints(const std::vector<Endpoint>& endpoints, const ZoneId& zone, TimePoint now);

  std::size_t Count() const { return this->states.size(); }
  const EndpointState& At(std::uint32_t index) const { return this->states[index]; }
  /// Call `Reindex` after changing a state.
  EndpointState& Change(std::uint32_t index) { return this->states[index]; }
  std::optional<std::uint32_t> Find(const VmId& endpoint) const;
  void Reindex(std::uint32_t index, TimePoint now);
  /// Files the endpoints whose pause has ended.
  void Resume(TimePoint now);
  void PauseUntil(std::uint32_t index, TimePoint until, TimePoint now);

  bool Fits(std::uint32_t index, const admission::Requirement& requirement) const;
  /// Whether every listed endpoint is large enough.
  bool AllFit(const admission::Requirement& requirement) const;

  /// A whole slot of this entry's part is free; own zone, other zones.
  IndexedSet own_local;
  IndexedSet own_remote;
  /// The fraction of a slot at the edge of this entry's part.
  IndexedSet own_fraction;
  /// By the reports, a slot is free that nobody uses; own zone, other zones.
  IndexedSet idle_local;
  IndexedSet idle_remote;
  /// Not known to be full; other entries may hold all slots.
  IndexedSet open;

 private:
  void EraseFromSets(std::uint32_t index);

  std::vector<EndpointState> states;
  std::unordered_map<VmId, std::uint32_t> index_of;
  std::set<std::pair<TimePoint, std::uint32_t>> paused;
  admission::Requirement smallest;
};

}  // namespace chervilspar::load_balancing
