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

/// Whose request starts next.
///
/// Load pattern: one team asks 5 to 20 times its part. Without this module slots go to whoever
/// asks most, and the small teams wait behind the large one. This is start-time fair queueing
/// (Goyal, Vin, Cheng 1996) over teams: each team has a virtual time that advances by slot time
/// used divided by its weight, and the team furthest behind goes first. The order never leaves a
/// slot idle while a permitted request waits. Starts are charged with the expected run time and
/// corrected by the measured one, so that a wrong expectation costs only its own team.
namespace chervilspar::scheduling {

struct TeamQueue;

/// A ticket taken from the queue, and where it goes.
struct Picked {
  admission::Ticket ticket;
  VmId endpoint;
  Duration expected = Duration::zero();

  friend bool operator==(const Picked&, const Picked&) = default;
};

/// Which queue of its team a request waits in.
enum class Lane { kUrgent, kShort, kLong };

/// What the queue knows of one team here.
struct TeamUsage {
  TeamId team;
  double share = 1.0;
  /// Slots that fleet-wide sharing gives it here.
  double weight = 1.0;
  std::uint32_t waiting = 0;
  std::uint32_t running = 0;
  /// Expected run time of all that waits.
  Duration waiting_cost = Duration::zero();
  /// Slot time used so far.
  Duration used = Duration::zero();
  /// Held back by the quota gate when last asked.
  GateAnswer gate = GateAnswer::kMayStart;

  friend bool operator==(const TeamUsage&, const TeamUsage&) = default;
};

/// Every operation on one ticket is O(log teams).
class FairQueue {
 public:
  explicit FairQueue(SchedulingOptions options);
  ~FairQueue();
  FairQueue(FairQueue&&) noexcept;
  FairQueue& operator=(FairQueue&&) noexcept;

  /// Returns the waiting tickets of teams that are gone.
  std::vector<admission::Ticket> SetTeams(const std::vector<TeamShare>& teams);
  /// The team, if it is configured.
  std::optional<TeamShare> FindTeam(const TeamId& team) const;
  /// Sets the weight of a team at this entry: the slots that fleet-wide sharing gives it here.
  void SetWeight(const TeamId& team, double weight);

  /// Urgent requests go first while fewer than this many run here.
  void SetUrgentAllowance(std::size_t slots) { this->urgent_allowance = slots; }

  void Push(const admission::Ticket& ticket, Duration expected, Lane lane);
  /// Puts back a started ticket to be tried again: it goes first, and its charge becomes `used`,
  /// which is zero when it was not run.
  void Requeue(admission::TicketId id, Duration used);
  /// Forgets a waiting ticket.
  std::optional<admission::Ticket> Remove(admission::TicketId id);
  /// Takes the next ticket for which gate and finder agree; it counts as running.
  std::optional<Picked> Next(TimePoint now, QuotaGate& gate, SlotFinder& finder);
  /// Ends a running ticket and corrects its charge by the slot time that it used.
  void Finish(admission::TicketId id, Duration measured);
  /// Charges running tasks that have outlasted their expectation, so that a team whose tasks all
  /// run too long is not taken for an idle one until the first of them ends.
  void ChargeOverdue(TimePoint now);
  /// Asks the gate again for this team.
  void OnLimitFreed(const TeamId& team);

  std::size_t WaitingCount() const;
  std::size_t RunningCount() const;
  std::size_t UrgentWaiting() const;
  std::size_t UrgentRunning() const { return this->urgent_running; }
  std::optional<TimePoint> OldestUrgent() const;
  TeamUsage Usage(const TeamId& team) const;
  /// Teams with anything waiting or running.
  std::vector<TeamUsage> ActiveTeams() const;
  /// The expected run time of all that waits before a new ticket of this team and lane.
  Duration CostAhead(const TeamId& team, Lane lane) const;
  /// The last ticket of a lane.
  std::optional<admission::Ticket> LastWaiting(const TeamId& team, Lane lane) const;

 private:
  struct Running;
  using Index = std::uint32_t;
  using Order = std::set<std::pair<double, Index>>;

  std::optional<Picked> NextOf(Order& order, Lane only, TimePoint now, QuotaGate& gate,
                               SlotFinder& finder);
  Lane LaneToServe(const TeamQueue& queue) const;
  double KeyOf(const TeamQueue& queue) const;
  void Charge(Index index, double seconds);
  void File(Index index);
  void Unfile(Index index);
  void Park(Index index, TimePoint now);
  void UnparkDue(TimePoint now);
  Picked Take(Index index, Lane lane, VmId endpoint, TimePoint now);
  TeamQueue& QueueOf(const TeamId& team);

  SchedulingOptions options;
  std::unordered_map<TeamId, Index> index_of;
  std::vector<std::unique_ptr<TeamQueue>> teams;
  Order ready;
  Order urgent_ready;
  std::set<std::pair<TimePoint, Index>> parked;
  std::unordered_map<admission::TicketId, Running> running;
  struct Place;
  std::unordered_map<admission::TicketId, Place> places;
  std::set<std::pair<TimePoint, admission::TicketId>> urgent_by_arrival;
  std::size_t urgent_allowance = 1;
  std::size_t urgent_running = 0;
  double virtual_time = 0.0;
  std::uint64_t next_sequence = 0;
};

}  // namespace chervilspar::scheduling
