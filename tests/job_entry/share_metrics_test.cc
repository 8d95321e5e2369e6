#include "job_entry/share_metrics.h"

#include <gtest/gtest.h>

#include "tests/job_entry/fake_fleet.h"

namespace chervilspar::job_entry {
namespace {

constexpr jobs::Resources kCapacity{10'000, 10'000, 0};

double RatioOf(const telemetry::MetricsRegistry& metrics, const std::string& team) {
  return metrics.ValueOf({"chervilspar_account_share_ratio", {{"team", team}}});
}

/// Guards against a series for each account, however many there are, and against ratios that an
/// entry goes on exporting when it no longer schedules.
TEST(ShareMetrics, NamesTwentyAccountsAndClearsThem) {
  telemetry::MetricsRegistry metrics;
  ShareMetrics shares(metrics);
  jobs::Policy policy;
  std::vector<jobs::AccountDemand> demands;
  for (int i = 10; i < 40; ++i) {
    const TeamId team{"t" + std::to_string(i)};
    policy.teams[team] = {team, 1.0, {}};
    demands.push_back({team, 1.0, {500, 0, 0}, {1'000, 0, 0}});
  }
  shares.Update(jobs::AccountShares(demands, kCapacity), 3, &policy);
  shares.Update(jobs::AccountShares(demands, kCapacity), 5, &policy);
  EXPECT_NEAR(RatioOf(metrics, "t10"), 1.5, 1e-6);
  EXPECT_EQ(RatioOf(metrics, "t30"), 0);
  EXPECT_NEAR(RatioOf(metrics, "other"), 1.5, 1e-6);
  EXPECT_EQ(metrics.ValueOf({"chervilspar_jobs_behind_share_total", {}}), 5);
  shares.Clear();
  EXPECT_EQ(RatioOf(metrics, "t10"), 0);
  EXPECT_EQ(RatioOf(metrics, "other"), 0);
}

/// Guards against an owner that divides and doesn't export it, or exports it without the switch.
TEST(ShareMetrics, AreExportedByAnOwnerThatDivides) {
  for (const bool divides_shares : {true, false}) {
    boost::asio::io_context io;
    FakeFleet fleet(io, 2);
    fleet.endpoints.task_time = std::chrono::seconds(2);
    FakeEntry& owner = fleet.AddEntry("a");
    owner.settings.decisions.scheduler.divides_shares = divides_shares;
    RunUntil(io, std::chrono::seconds(5), [&] { return IsServing(owner); });
    const jobs::Job job = FakeFleet::MakeJob(1, 2);
    boost::asio::co_spawn(io, owner.writer->Write({SubmissionKey(job.id), jobs::EncodeJob(job)}),
                          boost::asio::detached);
    RunUntil(io, std::chrono::seconds(2), [&] { return RatioOf(owner.metrics, "other") > 0; });
    EXPECT_EQ(RatioOf(owner.metrics, "other") > 0, divides_shares);
  }
}

}  // namespace
}  // namespace chervilspar::job_entry
