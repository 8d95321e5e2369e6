#pragma once

#include <vector>

#include "jobs/scheduler_state.h"

namespace chervilspar::jobs {

/// Accounts for orders for a former incarnation of an endpoint that a later one executes.
///
/// The end of a lease is a time on the endpoint's clock, which starts anew with each incarnation.
/// An incarnation that executes an order for a former one takes the end for a time far ahead and
/// grants its longest lease, to runs that were started for it as well. An order without an answer
/// may be executed seconds later, so no timeout shows that it is over. What ends it is a token: the
/// owner issues a new one with each incarnation that it learns of, and once that incarnation has
/// answered an order with it, it refuses every earlier order. Its leases then last no longer than
/// the limit from that answer on.
class FormerLeases {
 public:
  explicit FormerLeases(SchedulerState& state) : state(state) {}

  static void OnRenewalPlanned(EndpointState& endpoint) { endpoint.has_lease_orders = true; }
  static void OnStartOrdered(EndpointState& endpoint);
  /// A start was answered, or is taken as failed.
  static void OnStartSettled(EndpointState& endpoint, TimePoint now);
  /// Leases were renewed before the jobs were loaded.
  static void OnInterimLease(EndpointState& endpoint, const InterimLease& lease);
  /// An incarnation was learned of that may have executed orders for a former one.
  void OnRestart(EndpointState& endpoint, TimePoint now);
  /// The same of an endpoint that has not answered this owner yet.
  void OnRestartBeforeFirstAnswer(EndpointState& endpoint);
  /// An incarnation answers an order with the current token for the first time.
  void OnFenced(EndpointState& endpoint, const RenewalReport& report, TimePoint now);
  /// Whether a start of the task may be executed by an incarnation that it was not meant for.
  static bool MayStartLate(const Task& task);
  /// Whether a report that doesn't list the task's run proves nothing, as an incarnation that isn't
  /// heard of yet may execute its start; see `SchedulerOptions::unheard_order_delay_limit`.
  bool MayStartUnheard(const Task& task, TimePoint now) const;
  /// When the run of a claim has certainly ended, unless its endpoint answers.
  TimePoint LastRunEnd(const EndpointState& endpoint, const Task& task) const;
  /// The same for all claims on the endpoint.
  TimePoint LastRunEnd(const EndpointState& endpoint) const;
  /// Deletes the notices of long leases that have lapsed.
  void Review(TimePoint now);
  /// Restores stored notices of any owner.
  void Restore(const std::vector<LapseNotice>& notices);

 private:
  /// Whether an order for a former incarnation may have reached the one that answers a first time.
  bool HasFormerOrders(const EndpointState& endpoint, const RenewalReport& report) const;
  /// The same for one that no record tells of.
  bool MayHaveRestartedUnnoticed(const EndpointState& endpoint, const RenewalReport& report,
                                 TimePoint now) const;
  /// Has a notice stored that leases on the endpoint last until `end` at most.
  void StoreNotice(EndpointState& endpoint, TimePoint end, TimePoint now);

  SchedulerState& state;
};

}  // namespace chervilspar::jobs
