#include "chervilspar/jobs/overload_plan.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace chervilspar::jobs {

namespace {

/// What is kept of one team.
struct TeamPart {
  double work = 0;
  double weight = 1;
  std::set<std::pair<double, JobId>> by_work;
};

}  // namespace

std::set<JobId> OverloadPlan::SelectJobsToAbandon(const std::vector<UrgentJob>& jobs, double cpu,
                                                  const std::map<TeamId, double>& weights) {
  std::set<JobId> given_up;
  std::map<TeamId, TeamPart> teams;
  double kept = 0;
  for (const UrgentJob& job : jobs) {
    TeamPart& team = teams[job.team];
    const auto weight = weights.find(job.team);
    team.weight = weight == weights.end() ? 1 : std::max(weight->second, 1e-6);
    team.work += job.work;
    team.by_work.insert({job.work, job.job});
    kept += job.work;
    while (kept > cpu * std::max(job.slack_ms, 0.0) && kept > 0) {
      TeamPart* most = nullptr;
      for (auto& [id, part] : teams) {
        const bool has_jobs = !part.by_work.empty();
        if (has_jobs && (most == nullptr || part.work / part.weight > most->work / most->weight)) {
          most = &part;
        }
      }
      if (most == nullptr) {
        break;
      }
      const auto largest = std::prev(most->by_work.end());
      given_up.insert(largest->second);
      most->work -= largest->first;
      kept -= largest->first;
      most->by_work.erase(largest);
    }
  }
  return given_up;
}

}  // namespace chervilspar::jobs
