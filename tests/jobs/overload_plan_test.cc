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

  int KeptOf(const std::string& team) const {
    const std::set<JobId> given_up = this->SelectJobsToAbandon();
    return static_cast<int>(std::count_if(
        this->jobs.begin(), this->jobs.end(),
        [&](const auto& job) { return job.team.text == team && !given_up.contains(job.job); }));
  }

  /// Jobs that begin in time when all that are kept are served in the order of their slack, and
  /// when all are.
  int InTime(const std::set<JobId>& given_up) const {
    double work = 0;
    int in_time = 0;
    for (const UrgentJob& job : this->jobs) {
      if (given_up.contains(job.job)) {
        continue;
      }
      work += job.work;
      in_time += work / 10000 <= job.slack_ms ? 1 : 0;
    }
    return in_time;
  }

  std::vector<UrgentJob> jobs;
  std::map<TeamId, double> weights;
};

/// The pool can do all in time: nobody is given up.
TEST(OverloadPlan, GivesUpNobodyWhenAllFit) {
  Overload world;
  world.Add("counter", 10, 2000, 2);
  EXPECT_TRUE(world.SelectJobsToAbandon().empty());
}

/// A burst of twice what the pool can do. Served in the order of their latest start, the first half
/// fits only by luck of their order; the plan keeps as many as fit.
TEST(OverloadPlan, KeepsAsManyAsFit) {
  Overload world;
  world.Add("counter", 20, 2000, 2);
  EXPECT_EQ(world.KeptOf("counter"), 10);
  EXPECT_EQ(world.InTime(world.SelectJobsToAbandon()), 10);
}

/// Large jobs at the front make every small one behind them late.
TEST(OverloadPlan, GivesUpOneLargeJobForManySmallOnes) {
  Overload world;
  world.Add("counter", 1, 1000, 9);
  world.Add("counter", 9, 1200, 1);
  EXPECT_LT(world.InTime({}), 5);
  EXPECT_EQ(world.KeptOf("counter"), 9);
}

/// One team sends ten times what the other does. The other's few jobs must not be late for that.
TEST(OverloadPlan, AHotTeamDoesNotCrowdOutTheOthers) {
  Overload world;
  world.Add("hot", 40, 2000, 1);
  world.Add("counter", 4, 2000, 1);
  EXPECT_EQ(world.KeptOf("counter"), 4);
  EXPECT_EQ(world.KeptOf("hot"), 16);
}

/// Both teams send more than fits: each keeps its part by weight.
TEST(OverloadPlan, TeamsKeepTheirPartsByWeight) {
  Overload world;
  world.weights = {{TeamId{"large"}, 3}, {TeamId{"small"}, 1}};
  world.Add("large", 40, 2000, 1);
  world.Add("small", 40, 2000, 1);
  EXPECT_NEAR(world.KeptOf("large"), 15, 1);
  EXPECT_NEAR(world.KeptOf("small"), 5, 1);
}

/// A pool whose VMs are all gone can serve nobody in time, and the plan ends all the same.
TEST(OverloadPlan, GivesUpAllWithoutCpu) {
  Overload world;
  world.Add("counter", 3, 2000, 1);
  EXPECT_EQ(OverloadPlan::SelectJobsToAbandon(world.jobs, 0, {}).size(), 3U);
}

}  // namespace
}  // namespace chervilspar::jobs
