#pragma once

#include <cstddef>

#include "chervilspar/base/time.h"
#include "chervilspar/jobs/progress.h"

namespace chervilspar::jobs {

/// Durations and limits of the scheduler. The defaults suit endpoints with a round trip of a few
/// milliseconds and tasks of about a second.
struct SchedulerOptions {
  /// Duration of a lease. Long enough that a successor, which takes over about 1.5 s after the end
  /// of its predecessor, still finds the runs active. Short enough that the tasks of a dead
  /// endpoint can soon be restarted.
  Duration lease = std::chrono::milliseconds(4000);
  /// The longest lease that an endpoint grants whatever end it is told, from the contract of the
  /// endpoint.
  Duration lease_limit = std::chrono::milliseconds(10000);
  /// How long after it was given an order without an answer may still be executed. Endpoints
  /// promise no bound; this one matters only for an incarnation of an endpoint that is known of and
  /// has not yet answered an order with a token of its own, after which it refuses all earlier
  /// orders. Until then, a task whose start is without an outcome waits for this and the lease
  /// limit.
  Duration order_delay_limit = std::chrono::seconds(15);
  /// The same for an incarnation that has neither answered nor registered: an endpoint may restart,
  /// also a second time, and be cut off at once. Zero assumes that such an incarnation executes no
  /// start for a former one. Otherwise a start is sent only once, and a task whose start has no
  /// outcome waits for this, and for the lease limit if its endpoint is silent, though nearly
  /// always the start was lost or the endpoint is gone.
  Duration unheard_order_delay_limit{};
  /// The fraction by which the clock of an endpoint may be slower than the local clock, from the
  /// contract of the endpoint.
  double endpoint_clock_slowness = 0.02;
  /// Safety margin after the computed end of a lease.
  Duration lease_margin = std::chrono::milliseconds(300);
  /// How long an owner goes on renewing leases without proof that there is no successor. A
  /// successor considers a run on an unreachable endpoint dead only after this duration plus one
  /// lease from its own announcement. With a lease of 4 s, runs survive a store outage of 7 s.
  Duration predecessor_grace = std::chrono::milliseconds(3500);
  /// Delay before an unanswered start is sent again.
  Duration start_retry = std::chrono::milliseconds(150);
  /// Number of unanswered starts after which the run is stopped, as the answer to the stop tells
  /// whether it ever ran.
  int start_tries = 2;
  /// Delay before the stop of a run is sent again.
  Duration stop_retry = std::chrono::milliseconds(400);
  /// How long a renewal may wait at the endpoint for the end of a run. Limits the age of the
  /// reported figures of long-running tasks. A fifth of the lease, so that several renewals may
  /// fail before it lapses.
  Duration renewal_wait = std::chrono::milliseconds(800);
  /// Replaces `renewal_wait` while a long-running task starts at the endpoint, since the next task
  /// of its step may move only once this one is known to be serving.
  Duration startup_wait = std::chrono::milliseconds(200);
  /// Pause between renewals while ends can't be confirmed, since the endpoint then answers each at
  /// once.
  Duration renewal_pause = std::chrono::milliseconds(300);
  /// An endpoint that has not answered for this long is left to lapse, so that its tasks can move
  /// to other endpoints.
  Duration unresponsive_after = std::chrono::milliseconds(1500);
  /// How long an endpoint gets no tasks after runs of several jobs failed on it in a row.
  Duration ejection = std::chrono::seconds(4);
  int failures_to_eject = 3;
  /// A run without progress for this long is moved to another endpoint.
  Duration stall_timeout = std::chrono::milliseconds(2500);
  /// A job is worthless once it takes this many times its objective.
  double late_factor = 3.0;
  /// Initial delay before a failed long-running task restarts. Doubles up to ten times this value.
  Duration restart_pause = std::chrono::milliseconds(100);
  /// How long callers can query an ended job before its records are removed.
  Duration ended_job_retention = std::chrono::seconds(150);
  /// Number of jobs per round that may fail to fit before the remaining jobs wait for the next
  /// round. Limits the cost of a round when thousands of jobs wait.
  int max_unplaced_per_round = 24;

  /// Whether jobs are abandoned early when not all of them can meet their deadlines; see
  /// `OverloadPlan`.
  bool plans_overload = true;

  /// Whether accounts are served by their weighted shares over all pools when not all work fits.
  bool divides_shares = false;

  /// Whether running tasks are stopped for on-time tasks that find no capacity.
  bool preempts = false;
  /// The longest time that an endpoint takes to stop a run, from the contract of the endpoint.
  Duration stop_limit = std::chrono::milliseconds(1000);
  /// The part of a pool's recent work that preemption may discard.
  double preemption_budget = 0.02;

  /// Whether starts are limited to what the link of the owner carries besides lease renewals.
  bool budgets_link = false;
  /// Bandwidth of the owner's link, in megabits per second.
  double link_rate = 1000;

  ProgressForm progress_form = ProgressForm::kRows;
  /// The maximum size of a progress record, in bytes. Longer progress is stored in several records.
  std::size_t max_record_bytes = std::size_t{200} * 1024;

  /// The time by the local clock after which a lease of this duration that is granted now has
  /// certainly lapsed.
  Duration TimeToLapse(Duration granted) const {
    const auto slowed =
        std::chrono::duration_cast<Duration>(granted * (1.0 + this->endpoint_clock_slowness));
    return slowed + this->lease_margin;
  }
  /// The same for the leases that the scheduler grants.
  Duration LongestLease() const { return this->TimeToLapse(this->lease); }
  /// The same for an order given now that another incarnation may execute as late as `delay`.
  Duration LongestLeaseOfLateOrder(Duration delay) const {
    return delay > Duration::zero() ? delay + this->TimeToLapse(this->lease_limit)
                                    : this->LongestLease();
  }

  /// Whether events of the kind `EventImportance::kRoutine` are reported.
  bool reports_routine_events = true;

  friend bool operator==(const SchedulerOptions&, const SchedulerOptions&) = default;
};

}  // namespace chervilspar::jobs
