#include "chervilspar/jobs/interim_leases.h"

#include <gtest/gtest.h>

#include "tests/jobs/scheduler_harness.h"

namespace chervilspar::jobs {
namespace {

using std::chrono::milliseconds;
using World = SchedulerHarness;

constexpr std::uint64_t kToken = 5;
constexpr std::int64_t kClockMs = 70000;

/// A successor that knows the endpoints "a" and "b" but no jobs.
class InterimLeasesTest : public ::testing::Test {
 protected:
  InterimLeasesTest() {
    this->leases.SetEndpoints({World::Endpoint("a"), World::Endpoint("b")});
    this->leases.SetProof(this->now);
  }

  static RenewalReport Report(bool has_runs) {
    RenewalReport report;
    report.clock_ms = kClockMs;
    report.born_ms = 1;
    if (has_runs) {
      report.active.push_back({{JobId{1}, 0, 0, 0}, 1, "", 50, 0});
    }
    return report;
  }

  /// Answers the last order to the endpoint.
  void Answer(const std::string& endpoint, const std::optional<RenewalReport>& report) {
    this->leases.OnAnswered(this->sent.at(endpoint), report, this->now);
  }

  std::vector<RenewalOrder> PlanAt(TimePoint at) {
    std::vector<RenewalOrder> orders = this->leases.Plan(at);
    for (const RenewalOrder& order : orders) {
      this->sent[order.endpoint] = order;
    }
    return orders;
  }

  SchedulerOptions options;
  std::map<std::string, RenewalOrder> sent;
  InterimLeases leases{this->options, kToken};
  TimePoint now = TimePoint{} + std::chrono::hours(1);
};

/// Without renewals, the active runs would lapse before the jobs are read. An end must not be
/// confirmed before its job is known, as it would be lost, and a request must not wait for an end.
TEST_F(InterimLeasesTest, PollsAllEndpointsAndRenewsThoseWithRuns) {
  const std::vector<RenewalOrder> requests = this->PlanAt(this->now);
  ASSERT_EQ(requests.size(), 2U);
  EXPECT_EQ(requests[0].lease_end_ms, std::nullopt) << "its clock is unknown";
  EXPECT_FALSE(this->leases.IsPollDone());
  this->Answer("a", Report(true));
  this->Answer("b", Report(false));
  EXPECT_TRUE(this->leases.IsPollDone());
  this->now += milliseconds(100);
  const std::vector<RenewalOrder> renewals = this->PlanAt(this->now);
  ASSERT_EQ(renewals.size(), 1U);
  EXPECT_EQ(renewals[0].endpoint, "a");
  EXPECT_EQ(renewals[0].token >> 30U, kToken) << "a later term's tokens are higher";
  EXPECT_EQ(renewals[0].lease_end_ms, kClockMs + 98 + 4000) << "its clock may be 2% slower";
  EXPECT_EQ(renewals[0].confirmed_end, 0U);
  EXPECT_EQ(renewals[0].wait, Duration::zero());
  const std::map<std::string, InterimLease> leases{
      {"a", {this->now + this->options.LongestLease(), 1}}};
  EXPECT_EQ(this->leases.Leases(), leases);
}

/// Further renewals while one is pending or was just answered would only load the link.
TEST_F(InterimLeasesTest, RenewsAFewTimesInALease) {
  this->PlanAt(this->now);
  this->Answer("a", Report(true));
  this->Answer("b", Report(false));
  EXPECT_EQ(this->PlanAt(this->now).size(), 1U);
  EXPECT_TRUE(this->PlanAt(this->now).empty());
  this->Answer("a", Report(true));
  EXPECT_TRUE(this->PlanAt(this->now + milliseconds(900)).empty());
  EXPECT_EQ(this->PlanAt(this->now + milliseconds(1000)).size(), 1U);
}

/// A status request got no answer.
TEST_F(InterimLeasesTest, RepeatsAnUnansweredRequest) {
  this->PlanAt(this->now);
  this->Answer("a", std::nullopt);
  EXPECT_TRUE(this->PlanAt(this->now + milliseconds(100)).empty());
  const std::vector<RenewalOrder> requests = this->PlanAt(this->now + milliseconds(300));
  ASSERT_EQ(requests.size(), 1U);
  EXPECT_EQ(requests[0].endpoint, "a");
}

/// Guards against a task that runs twice, as an endpoint that restarted took a lease that was
/// computed with its former clock.
TEST_F(InterimLeasesTest, ARestartedEndpointMayHaveTakenItsLongestLease) {
  this->PlanAt(this->now);
  this->Answer("a", Report(true));
  ASSERT_EQ(this->PlanAt(this->now).size(), 1U);
  const std::uint64_t former_token = this->sent.at("a").token;
  RenewalReport restarted = Report(true);
  restarted.born_ms = 2;
  restarted.clock_ms = 5;
  this->Answer("a", restarted);
  const Duration limit = this->options.TimeToLapse(this->options.lease_limit);
  EXPECT_EQ(this->leases.Leases().at("a").end, this->now + this->options.order_delay_limit + limit)
      << "it may execute a former order yet";
  const std::vector<RenewalOrder> requests = this->PlanAt(this->now);
  ASSERT_EQ(requests.size(), 1U) << "at once";
  EXPECT_EQ(requests[0].lease_end_ms, std::nullopt);
  EXPECT_GT(requests[0].token, former_token);
  this->now += milliseconds(2);
  this->Answer("a", restarted);
  EXPECT_EQ(this->leases.Leases().at("a").end, this->now + limit) << "it refuses former orders";
  EXPECT_TRUE(this->PlanAt(this->now).at(0).lease_end_ms);
}

/// The entry is partitioned from the store while it reads. Its successor relies on no renewal being
/// later than the last proof plus `predecessor_grace`.
TEST_F(InterimLeasesTest, RenewsNothingWithoutProof) {
  this->PlanAt(this->now);
  this->Answer("a", Report(true));
  this->now += this->options.predecessor_grace;
  const std::vector<RenewalOrder> orders = this->PlanAt(this->now);
  ASSERT_EQ(orders.size(), 1U);
  EXPECT_EQ(orders[0].lease_end_ms, std::nullopt);
  EXPECT_TRUE(this->leases.Leases().empty());
}

}  // namespace
}  // namespace chervilspar::jobs
