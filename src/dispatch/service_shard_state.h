#pragma once

#include <map>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

#include "chervilspar/dispatch/service_shard.h"
#include "chervilspar/load_balancing/balancer.h"
#include "chervilspar/retry/retry_budget.h"
#include "chervilspar/retry/retry_policy.h"
#include "chervilspar/scheduling/fair_queue.h"
#include "chervilspar/scheduling/fleet_shares.h"
#include "chervilspar/scheduling/run_time_estimator.h"

namespace chervilspar::dispatch {

/// How often speeds, overdue tasks and the ends of queues are looked at.
inline constexpr Duration kReviewPeriod = std::chrono::milliseconds(100);

/// What the shard keeps of a ticket until its final answer.
struct KnownTicket {
  admission::Ticket ticket;
  scheduling::RunTimeEstimate estimate;
  scheduling::Lane lane = scheduling::Lane::kShort;
  /// Starting later than this can't meet the deadline.
  TimePoint latest_start;
  std::uint32_t tries = 0;
  bool is_cancelled = false;
  /// Where and since when it runs, if it does.
  VmId endpoint;
  TimePoint started;
  bool is_running = false;
  /// When its slot was asked back for urgent work, and how it was last asked.
  TimePoint preempted_at;
  bool is_preempted = false;
  bool is_stopped = false;
};

struct ServiceShard::State {
  State(ServiceId service_id, EntryId self_id, ZoneId zone_id, ShardOptions shard_options)
      : service(std::move(service_id)),
        self(std::move(self_id)),
        options(shard_options),
        admission(shard_options.admission),
        queue(shard_options.scheduling),
        shares(self, zone_id),
        balancer(std::move(zone_id), shard_options.balancer),
        budget(shard_options.retry) {}

  admission::Prediction Predict(const admission::Ticket& ticket,
                                const scheduling::RunTimeEstimate& estimate, scheduling::Lane lane,
                                TimePoint now);
  scheduling::RunTimeEstimate Estimate(const admission::Ticket& ticket) const;
  scheduling::Lane LaneOf(const admission::Ticket& ticket,
                          const scheduling::RunTimeEstimate& estimate) const;
  TimePoint LatestStart(const admission::Ticket& ticket,
                        const scheduling::RunTimeEstimate& estimate) const;
  bool FitsNowhere(const admission::Requirement& requirement) const;
  /// Slots that a team can count on here if it asks for as many as it can get.
  double SlotsWithin(const TeamId& team) const;
  std::vector<scheduling::TeamLoad> OwnLoads() const;
  /// The loads to report, smoothed; kept for dividing.
  std::vector<scheduling::TeamLoad> ReportLoads(TimePoint now);
  /// Whether loads differ much from those reported.
  bool HasLoadChanged() const;
  /// Divides the slots anew when reports or the configuration have changed, or the last time is
  /// some time ago.
  void DivideIfDue(TimePoint now);
  void Divide(TimePoint now);
  void Forget(admission::TicketId id);
  /// Looks at speeds and overdue tasks. Also asked for by the end of each try, since at quiet times
  /// nothing waits and the driver has no reason to expire anything.
  void ReviewIfDue(TimePoint now, Random& random);
  /// Takes tickets that can no longer be answered in time out of the queue.
  void SetDoomedAside(TimePoint now);
  /// Refuses from the ends of queues what would wait past its deadline at today's pace.
  void RefuseTails(TimePoint now, Random& random, std::vector<GivenUp>& given_up);
  GivenUp GiveUp(const admission::Ticket& ticket, Random& random);
  retry::RetryDecision DecideRetry(const KnownTicket& known, load_balancing::Outcome outcome,
                                   TimePoint now);
  load_balancing::FleetLoad Load(double slots) const;
  /// Gives a team that has no work here the weight of its share.
  void SetIdleWeight(const scheduling::TeamShare& team);
  void SetUrgentAllowance();
  /// Slots held here that urgent requests, here or at other entries, have waited for long enough.
  std::size_t SlotsToClear(TimePoint now) const;
  /// Running normal tasks that may be run again.
  std::vector<admission::TicketId> PreemptibleYoungestFirst() const;

  ServiceId service;
  EntryId self;
  ShardOptions options;
  admission::AdmissionController admission;
  scheduling::FairQueue queue;
  scheduling::RunTimeEstimator estimator;
  scheduling::FleetShares shares;
  load_balancing::Balancer balancer;
  retry::RetryBudget budget;

  std::unordered_map<admission::TicketId, KnownTicket> known;
  std::set<std::pair<TimePoint, admission::TicketId>> by_latest_start;
  /// Out of the queue and not yet answered: their team is gone; their deadline can't be met.
  std::vector<admission::Ticket> orphans;
  std::vector<admission::Ticket> doomed;
  std::vector<admission::Requirement> shapes;
  scheduling::Division division;
  std::unordered_map<TeamId, scheduling::TeamAllocation> part_of;
  double active_shares = 0.0;
  /// Running tasks whose slot was asked back.
  std::size_t preempting = 0;
  std::vector<scheduling::TeamLoad> reported;
  std::unordered_map<TeamId, double> smooth_demand;
  TimePoint reported_at;
  TimePoint divided_at;
  TimePoint reviewed_at;
  TimePoint tails_seen_at;
  bool must_divide = true;
  /// Whether peers' reports have come since the balancer last took them, and how many it took.
  bool must_hear_peers = true;
  std::size_t peers_heard = 0;
};

}  // namespace chervilspar::dispatch
