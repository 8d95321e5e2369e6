#include "chervilspar/jobs/overload_plan.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace chervilspar::jobs {

namespace {

/// The remaining jobs of one team.
struct TeamBacklog {
  double work = 0;
  double weight = 1;
  std::set<std::pair<double, JobId>> jobs_by_work;
};

}  // namespace

std::set<JobId> OverloadPlan::SelectJobsToAbandon(const std::vector<UrgentJob>& jobs, double cpu,
                                                  const std::map<TeamId, double>& weights,
                                                  const std::map<TeamId, double>& open_work) {
  std::set<JobId> abandoned;
  std::map<TeamId, TeamBacklog> teams;
  double total_work = 0;
  for (const UrgentJob& job : jobs) {
    const auto [entry, is_new] = teams.try_emplace(job.team);
    TeamBacklog& team = entry->second;
    const auto known = open_work.find(job.team);
    if (is_new && known != open_work.end()) {
      team.work = known->second;
    }
    const auto weight = weights.find(job.team);
    team.weight = weight == weights.end() ? 1 : std::max(weight->second, 1e-6);
    team.work += known == open_work.end() ? job.work : 0;
    team.jobs_by_work.insert({job.work, job.job});
    total_work += job.work;
    while (total_work > cpu * std::max(job.slack_ms, 0.0) && total_work > 0) {
      TeamBacklog* heaviest = nullptr;
      for (auto& [id, backlog] : teams) {
        const bool has_jobs = !backlog.jobs_by_work.empty();
        if (has_jobs && (heaviest == nullptr ||
                         backlog.work / backlog.weight > heaviest->work / heaviest->weight)) {
          heaviest = &backlog;
        }
      }
      if (heaviest == nullptr) {
        break;
      }
      const auto largest = std::prev(heaviest->jobs_by_work.end());
      abandoned.insert(largest->second);
      heaviest->work -= largest->first;
      total_work -= largest->first;
      heaviest->jobs_by_work.erase(largest);
    }
  }
  return abandoned;
}

}  // namespace chervilspar::jobs
