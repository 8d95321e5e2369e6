#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <vector>

#include "chervilspar/base/ids.h"
#include "chervilspar/jobs/job.h"

namespace chervilspar::jobs {

/// A job that can still be on time.
struct UrgentJob {
  JobId job;
  TeamId team;
  /// Milliseconds from now until its work must have begun.
  double slack_ms = 0;
  /// Thousandths of a core times milliseconds that are still to be placed.
  double work = 0;

  friend bool operator==(const UrgentJob&, const UrgentJob&) = default;
};

/// Chooses which jobs of a pool are served on time when not all can be.
///
/// The load that it answers: a queue, or one team, asks for twice what all VMs together can do, for
/// some seconds. Served in the order of their latest start, each job is begun at the last moment
/// and the next one a little too late: nearly all miss their time. So those that don't fit are
/// given up on early, as few as possible, and the rest is on time.
///
/// Given up first is the largest job of the team that has most of the pool for its weight: one
/// large job makes room for several, and a team that sends many times its usual doesn't crowd out
/// the others (Moore's rule for the number of late jobs, taken team by team).
class OverloadPlan {
 public:
  /// `jobs` in the order of their slack. `cpu`: thousandths of a core that the pool can give them.
  /// `weights`: a team without one counts as 1.
  static std::set<JobId> SelectJobsToAbandon(const std::vector<UrgentJob>& jobs, double cpu,
                                             const std::map<TeamId, double>& weights);
};

}  // namespace chervilspar::jobs
