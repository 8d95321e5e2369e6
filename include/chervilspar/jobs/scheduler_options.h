#pragma once

#include "chervilspar/base/time.h"
#include "chervilspar/jobs/progress.h"

namespace chervilspar::jobs {

/// Times and weights of the scheduler. The defaults were chosen for endpoints a few milliseconds
/// away and tasks of about a second.
struct SchedulerOptions {
  /// Length of a lease. Long enough that a successor (about 1.5 s after its predecessor's end)
  /// still finds the work running, short enough that the work of a dead endpoint is soon free
  /// again.
  Duration lease = std::chrono::milliseconds(4000);
  /// An endpoint's clock may be this much slower than ours, from its contract.
  double endpoint_clock_slowness = 0.02;
  /// On top of the time at which a lease lapses by our reckoning.
  Duration lease_margin = std::chrono::milliseconds(300);
  /// How long an owner goes on renewing leases without proof that there is no successor. A
  /// successor takes a run on an endpoint that it can't reach as dead only this long, and one
  /// lease, after its own announcement. With the lease of 4 s, work outlives an outage of the store
  /// of 7 s.
  Duration predecessor_grace = std::chrono::milliseconds(3500);
  /// A run whose start got no answer is asked for again after this.
  Duration start_retry = std::chrono::milliseconds(150);
  /// So many starts without answer, then the run is stopped to settle what became of it.
  int start_tries = 2;
  /// Between two stops of the same run.
  Duration stop_retry = std::chrono::milliseconds(400);
  /// How long one renewal may wait at the endpoint for an end. Bounds how old the figures of
  /// long-running tasks are; a fifth of the lease, so that several may fail before it lapses.
  Duration renewal_wait = std::chrono::milliseconds(800);
  /// The same while a long-running task starts there: the next of its step may only move when it is
  /// known to be at work.
  Duration startup_wait = std::chrono::milliseconds(200);
  /// Renewals while ends can't be confirmed, since then each is answered at once.
  Duration renewal_pause = std::chrono::milliseconds(300);
  /// An endpoint that has not answered for this long gets looks only, no renewals, so that its
  /// leases lapse and its work can go elsewhere.
  Duration unresponsive_after = std::chrono::milliseconds(1500);
  /// An endpoint is passed over for this long after runs of several jobs failed in a row.
  Duration ejection = std::chrono::seconds(4);
  int failures_to_eject = 3;
  /// A run whose progress stands still this long is moved.
  Duration stall_timeout = std::chrono::milliseconds(2500);
  /// A job is worth something until this many times its objective.
  double late_factor = 3.0;
  /// Wait before a failed long-running task starts again; doubles up to ten times this.
  Duration restart_pause = std::chrono::milliseconds(100);
  /// How long an ended job is told of before its records are dropped.
  Duration ended_job_retention = std::chrono::seconds(150);
  /// Jobs that don't fit looked at in one round before the rest waits for the next; bounds the cost
  /// of a round when thousands wait.
  int max_unplaced_per_round = 24;

  /// Whether jobs that don't fit are given up early when not all can be on time; see
  /// `OverloadPlan`.
  bool plans_overload = true;

  ProgressForm progress_form = ProgressForm::kRows;

  /// By our clock, a lease that is given now has certainly lapsed after this.
  Duration LongestLease() const {
    const auto slowed =
        std::chrono::duration_cast<Duration>(this->lease * (1.0 + this->endpoint_clock_slowness));
    return slowed + this->lease_margin;
  }

  friend bool operator==(const SchedulerOptions&, const SchedulerOptions&) = default;
};

}  // namespace chervilspar::jobs
