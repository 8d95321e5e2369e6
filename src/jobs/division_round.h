#pragma once

#include <optional>
#include <vector>

#include "jobs/scheduler_state.h"

namespace chervilspar::jobs {

/// Estimated work of the job's waiting tasks, in thousandths of a core times milliseconds.
double WaitingWorkOf(const JobState& job);

/// Divides the capacity of all pools among the accounts and marks the jobs that are beyond their
/// account's share.
///
/// The running tasks of an account count before its waiting ones. Running jobs are ordered by rank
/// and deadline, waiting ones by rank and latest start. A job is beyond the share if those ahead of
/// it already use more than the account is due, so the one that crosses the limit still counts as
/// within: otherwise an account that is due less than one task would never be served.
class DivisionRound {
 public:
  DivisionRound(SchedulerState& state, TimePoint now, std::int64_t wall_ms)
      : state(state), now(now), wall_ms(wall_ms) {}

  /// Divides anew if the last division is old or the policy has changed. True if it did.
  bool Run();

 private:
  /// An on-time job with waiting tasks.
  struct WaitingJob {
    ReadyKey key;
    JobState* job = nullptr;
    /// What its waiting tasks of open steps need.
    Resources need;
  };
  /// A job with claims that is on time.
  struct RunningJob {
    /// With the deadline in place of the latest start.
    ReadyKey key;
    JobState* job = nullptr;
    Resources in_use;
  };

  /// Collects the on-time waiting jobs in their order, and clears the mark of the late ones.
  std::vector<WaitingJob> CollectWaiting();
  std::vector<AccountDemand> Demands(const std::vector<WaitingJob>& waiting);
  /// What the account's waiting tasks may use in addition, given its cap.
  Resources LimitByCap(const TeamId& team, const Resources& waiting) const;
  double WeightOf(const TeamId& team) const;
  /// The capacity for batch tasks of all usable endpoints.
  Resources UsableCapacity() const;
  void MarkWaiting(const std::vector<WaitingJob>& waiting);
  void MarkRunning();
  /// Collects these in their order, and clears the marks of the late ones.
  std::vector<RunningJob> CollectRunning();
  /// Without the rank; empty if all claims of the job are of long-running tasks.
  static std::optional<RunningJob> DescribeRunning(JobState& job);
  bool IsBeyond(const TeamId& team, const Resources& used) const;
  void ReportBehind(JobState& job);

  SchedulerState& state;
  const TimePoint now;
  const std::int64_t wall_ms;
};

}  // namespace chervilspar::jobs
