#pragma once

#include <vector>

#include "jobs/scheduler_state.h"

namespace chervilspar::jobs {

/// Accounts for leases that an incarnation of an endpoint may have taken from orders for a former
/// one.
///
/// The end of a lease is a time on the endpoint's clock, which starts anew with each incarnation.
/// An incarnation that receives an order for a former one takes the end for a time far ahead and
/// grants its longest lease. If the owner expected the lease that it asked for, it would start the
/// runs elsewhere while they are active. No field of an order names the incarnation, so the owner
/// can't prevent this.
class FormerLeases {
 public:
  explicit FormerLeases(SchedulerState& state) : state(state) {}

  /// An order that asks for leases until `end_ms` on the endpoint's clock is given. At most one
  /// renewal is pending at a time.
  static void OnRenewalPlanned(EndpointState& endpoint, std::int64_t end_ms);
  static void OnStartOrdered(EndpointState& endpoint, std::int64_t end_ms);
  /// An order was answered or has failed, so that it arrives no more.
  static void OnRenewalSettled(EndpointState& endpoint, TimePoint now);
  static void OnStartSettled(EndpointState& endpoint, TimePoint now);
  /// Orders were given before the jobs were loaded; the leases have lapsed at `lease_end`.
  static void OnGrantedBefore(EndpointState& endpoint, TimePoint lease_end,
                              const SchedulerOptions& options);
  /// All orders so far were for a former incarnation.
  static void OnNewIncarnation(EndpointState& endpoint);
  /// The endpoint is known to have restarted, and its new incarnation hasn't answered. Assumes that
  /// one of the claimed runs was started by it.
  void OnUnansweredRestart(EndpointState& endpoint, TimePoint now) const;
  /// Sets the lease end of an incarnation that answers for the first time a request that was sent
  /// at `sent`.
  void OnFirstAnswer(EndpointState& endpoint, const RenewalReport& report, TimePoint sent,
                     TimePoint now);
  /// Deletes the notices of long leases that have lapsed.
  void Review(TimePoint now);
  /// Restores stored notices of any owner.
  void Restore(const std::vector<LapseNotice>& notices);

 private:
  /// When leases granted by orders for former incarnations have lapsed.
  TimePoint LongestLeaseEnd(const EndpointState& endpoint, const RenewalReport& report,
                            TimePoint sent, TimePoint now) const;

  SchedulerState& state;
};

}  // namespace chervilspar::jobs
