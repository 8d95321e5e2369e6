#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

#include "chervilspar/admission/ticket.h"
#include "chervilspar/base/ids.h"
#include "chervilspar/base/time.h"
#include "chervilspar/scheduling/quota_gate.h"
#include "chervilspar/scheduling/scheduling_options.h"
#include "chervilspar/scheduling/slot_finder.h"
#include "chervilspar/scheduling/team_share.h"

/// Decides which team's request starts next.
///
/// When one team requests 5 to 20 times its share, first-come order would give it most slots, and
/// the small teams would wait behind it. The queue applies start-time fair queueing (Goyal, Vin,
/// Cheng 1996) to teams: each team has a virtual time that advances by the slot time used divided
/// by its weight, and the team with the lowest virtual time goes first. The queue is
/// work-conserving: no slot stays idle while a permitted request waits. A start is charged with the
/// expected run time and corrected by the measured one, so that a wrong estimate affects only its
/// own team.
namespace chervilspar::scheduling {

struct TeamQueue;

/// A ticket taken from the queue, and the endpoint that runs it.
struct Assignment {
  admission::Ticket ticket;
  VmId endpoint;
  /// Expected run time.
  Duration expected = Duration::zero();

  friend bool operator==(const Assignment&, const Assignment&) = default;
};

/// The queue of its team in which a request waits.
enum class Lane { kUrgent, kShort, kLong };

/// The usage of one team at this entry.
struct TeamUsage {
  TeamId team;
  double share = 1.0;
  /// Slots that the fleet-wide division allocates to the team at this entry.
  double weight = 1.0;
  std::uint32_t waiting = 0;
  std::uint32_t running = 0;
  /// Total expected run time of the waiting requests.
  Duration waiting_cost = Duration::zero();
  /// Slot time charged so far.
  Duration used = Duration::zero();
  /// `kAtLimit` if the quota gate refused the team when last checked.
  GateAnswer gate = GateAnswer::kMayStart;

  friend bool operator==(const TeamUsage&, const TeamUsage&) = default;
};

/// Queues the waiting requests of all teams in one shard. Each operation on one ticket takes
/// O(log teams).
class FairQueue {
 public:
  explicit FairQueue(SchedulingOptions options);
  ~FairQueue();
  FairQueue(FairQueue&&) noexcept;
  FairQueue& operator=(FairQueue&&) noexcept;

  /// Replaces the configured teams. Removes and returns the waiting tickets of removed teams.
  std::vector<admission::Ticket> SetTeams(const std::vector<TeamShare>& teams);
  /// Returns the team if it is configured.
  std::optional<TeamShare> FindTeam(const TeamId& team) const;
  /// Sets the weight of a team: the slots that the fleet-wide division allocates to it at this
  /// entry.
  void SetWeight(const TeamId& team, double weight);

  /// Urgent requests start before normal ones while fewer than `slots` of them run here.
  void SetUrgentAllowance(std::size_t slots) { this->urgent_allowance = slots; }

  /// Adds a ticket with its expected run time. Its team must be configured.
  void Push(const admission::Ticket& ticket, Duration expected, Lane lane);
  /// Returns a started ticket to the front of its lane for a retry. Its charge becomes `used`,
  /// which is zero if it was not run.
  void Requeue(admission::TicketId id, Duration used);
  /// Removes a waiting ticket and returns it, or nothing if it does not wait.
  std::optional<admission::Ticket> Remove(admission::TicketId id);
  /// Takes the next ticket that the gate permits and for which the finder has a slot. It counts as
  /// running from then on.
  std::optional<Assignment> Next(TimePoint now, QuotaGate& gate, SlotFinder& finder);
  /// Ends a running ticket and corrects its charge to the measured slot time.
  void Finish(admission::TicketId id, Duration measured);
  /// Charges the additional slot time of running tasks that exceed their charge. Otherwise a team
  /// whose tasks all run too long would be treated as idle until the first of them ends.
  void ChargeOverdue(TimePoint now);
  /// Makes a team that waits at its limit eligible again.
  void OnLimitFreed(const TeamId& team);

  std::size_t WaitingCount() const;
  std::size_t RunningCount() const;
  std::size_t UrgentWaiting() const;
  std::size_t UrgentRunning() const { return this->urgent_running; }
  /// Returns the arrival time of the oldest waiting urgent request.
  std::optional<TimePoint> OldestUrgent() const;
  /// Returns the usage of a team; a default value if the team is unknown.
  TeamUsage Usage(const TeamId& team) const;
  /// Returns the teams that have waiting or running requests.
  std::vector<TeamUsage> ActiveTeams() const;
  /// Returns the total expected run time of the team's requests that start before a new ticket in
  /// this lane.
  Duration CostAhead(const TeamId& team, Lane lane) const;
  /// Returns the last ticket of a lane.
  std::optional<admission::Ticket> LastWaiting(const TeamId& team, Lane lane) const;

 private:
  struct Running;
  using Index = std::uint32_t;
  using Order = std::set<std::pair<double, Index>>;

  std::optional<Assignment> NextFrom(Order& order, Lane requested, TimePoint now, QuotaGate& gate,
                                     SlotFinder& finder);
  Lane LaneToServe(const TeamQueue& queue) const;
  double OrderKey(const TeamQueue& queue) const;
  void Charge(Index index, double seconds);
  /// Adds an idle team to the ready teams if it has a waiting request.
  void MakeReady(Index index);
  /// Removes a team from the ready or parked teams.
  void MakeIdle(Index index);
  /// Keeps a team at its limit out of the ready teams until its limit is checked again.
  void Park(Index index, TimePoint now);
  void UnparkDue(TimePoint now);
  Assignment Start(Index index, Lane lane, VmId endpoint, TimePoint now);
  TeamQueue& QueueOf(const TeamId& team);

  SchedulingOptions options;
  std::unordered_map<TeamId, Index> index_of;
  std::vector<std::unique_ptr<TeamQueue>> teams;
  Order ready;
  Order urgent_ready;
  std::set<std::pair<TimePoint, Index>> parked;
  std::unordered_map<admission::TicketId, Running> running;
  struct Location;
  std::unordered_map<admission::TicketId, Location> locations;
  std::set<std::pair<TimePoint, admission::TicketId>> urgent_by_arrival;
  std::size_t urgent_allowance = 1;
  std::size_t urgent_running = 0;
  /// The highest virtual start time of all started requests.
  double virtual_time = 0.0;
  std::uint64_t next_sequence = 0;
};

}  // namespace chervilspar::scheduling
