#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <vector>

#include "chervilspar/base/ids.h"
#include "chervilspar/jobs/job.h"

namespace chervilspar::jobs {

/// A job that can still finish on time.
struct UrgentJob {
  JobId job;
  TeamId team;
  /// Milliseconds from now until its work must start.
  double slack_ms = 0;
  /// Work that is still to be placed, in thousandths of a core times milliseconds.
  double work = 0;

  friend bool operator==(const UrgentJob&, const UrgentJob&) = default;
};

/// Selects the jobs of an overloaded pool that are abandoned so that the others finish on time.
///
/// If a queue or a team requests twice the capacity of all VMs for some seconds and the jobs are
/// served in the order of their latest start, each job starts at the last moment and the next one
/// slightly too late, so nearly all are late. Therefore the jobs that don't fit are abandoned
/// early, as few as possible.
///
/// The job abandoned first is the largest one of the team whose work is largest relative to its
/// weight: one large job frees capacity for several small ones, and a team that submits far more
/// than usual doesn't crowd out the others. This is Moore's algorithm for the minimum number of
/// late jobs, applied per team.
class OverloadPlan {
 public:
  /// Returns the jobs to abandon. `jobs` are sorted by slack. `cpu` is the capacity of the pool for
  /// them in thousandths of a core. A team without an entry in `weights` has the weight 1.
  /// `open_work`: a team's running and waiting work over all pools, including that of `jobs`. A
  /// team with an entry is judged by this, and one without by its work in `jobs`.
  static std::set<JobId> SelectJobsToAbandon(const std::vector<UrgentJob>& jobs, double cpu,
                                             const std::map<TeamId, double>& weights,
                                             const std::map<TeamId, double>& open_work = {});
};

}  // namespace chervilspar::jobs
