#include "chervilspar/jobs/overload_plan.h"

#include <algorithm>
#include <functional>

#include <gtest/gtest.h>

namespace chervilspar::jobs {
namespace {

/// A pool of ten cores and the jobs that wait for it.
class Overload {
 public:
  void Add(const std::string& team, int count, double slack_ms, double core_seconds) {
    for (int i = 0; i < count; ++i) {
      this->jobs.push_back(
          {JobId{this->jobs.size() + 1}, TeamId{team}, slack_ms, core_seconds * 1e6});
    }
    std::stable_sort(this->jobs.begin(), this->jobs.end(), [](const auto& one, const auto& other) {
      return one.slack_ms < other.slack_ms;
    });
  }

  std::set<JobId> SelectJobsToAbandon() const {
    return OverloadPlan::SelectJobsToAbandon(this->jobs, 10000, this->weights);
  }

  int KeptJobsOf(const std::string& team) const {
    const std::set<JobId> abandoned = this->SelectJobsToAbandon();
    return static_cast<int>(std::count_if(
        this->jobs.begin(), this->jobs.end(),
        [&](const auto& job) { return job.team.text == team && !abandoned.contains(job.job); }));
  }

  /// Counts the jobs that are done within their slack if all except `abandoned` are served in the
  /// order of their slack.
  int CountInTime(const std::set<JobId>& abandoned) const {
    double work = 0;
    int in_time_count = 0;
    for (const UrgentJob& job : this->jobs) {
      if (abandoned.contains(job.job)) {
        continue;
      }
      work += job.work;
      in_time_count += work / 10000 <= job.slack_ms ? 1 : 0;
    }
    return in_time_count;
  }

  std::vector<UrgentJob> jobs;
  std::map<TeamId, double> weights;
};

/// The pool can finish all jobs on time, so none is abandoned.
TEST(OverloadPlan, AbandonsNoJobIfAllFit) {
  Overload world;
  world.Add("counter", 10, 2000, 2);
  EXPECT_TRUE(world.SelectJobsToAbandon().empty());
}

/// A burst of twice the pool's capacity. In the order of the latest start, the first half would fit
/// only by chance; the plan keeps as many jobs as fit.
TEST(OverloadPlan, KeepsAsManyAsFit) {
  Overload world;
  world.Add("counter", 20, 2000, 2);
  EXPECT_EQ(world.KeptJobsOf("counter"), 10);
  EXPECT_EQ(world.CountInTime(world.SelectJobsToAbandon()), 10);
}

/// A large job at the front makes the small ones behind it late.
TEST(OverloadPlan, AbandonsOneLargeJobForManySmallOnes) {
  Overload world;
  world.Add("counter", 1, 1000, 9);
  world.Add("counter", 9, 1200, 1);
  EXPECT_LT(world.CountInTime({}), 5);
  EXPECT_EQ(world.KeptJobsOf("counter"), 9);
}

/// One team submits ten times as much as another, whose few jobs must still be on time.
TEST(OverloadPlan, ABusyTeamDoesNotCrowdOutTheOthers) {
  Overload world;
  world.Add("hot", 40, 2000, 1);
  world.Add("counter", 4, 2000, 1);
  EXPECT_EQ(world.KeptJobsOf("counter"), 4);
  EXPECT_EQ(world.KeptJobsOf("hot"), 16);
}

/// Both teams submit more than fits, and each keeps its share by weight.
TEST(OverloadPlan, TeamsKeepSharesByWeight) {
  Overload world;
  world.weights = {{TeamId{"large"}, 3}, {TeamId{"small"}, 1}};
  world.Add("large", 40, 2000, 1);
  world.Add("small", 40, 2000, 1);
  EXPECT_NEAR(world.KeptJobsOf("large"), 15, 1);
  EXPECT_NEAR(world.KeptJobsOf("small"), 5, 1);
}

/// The account with less work in this pool has taken another pool; judged by this pool alone, the
/// other account would lose all jobs that don't fit.
TEST(OverloadPlan, CountsOpenWorkOfOtherPools) {
  Overload world;
  world.Add("hot", 10, 2000, 1);
  world.Add("counter", 15, 2000, 1);
  const std::set<JobId> abandoned = OverloadPlan::SelectJobsToAbandon(
      world.jobs, 10000, {}, {{TeamId{"hot"}, 90e6}, {TeamId{"counter"}, 15e6}});
  const auto is_hot = [&](const UrgentJob& job) { return job.team.text == "hot"; };
  EXPECT_EQ(abandoned.size(), 5U);
  EXPECT_TRUE(std::all_of(world.jobs.begin(), world.jobs.end(), [&](const UrgentJob& job) {
    return is_hot(job) || !abandoned.contains(job.job);
  }));
}

/// A pool without VMs can't serve any job on time; the plan must still terminate.
TEST(OverloadPlan, AbandonsAllWithoutCpu) {
  Overload world;
  world.Add("counter", 3, 2000, 1);
  EXPECT_EQ(OverloadPlan::SelectJobsToAbandon(world.jobs, 0, {}).size(), 3U);
}

}  // namespace
}  // namespace chervilspar::jobs
