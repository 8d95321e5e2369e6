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

  SchedulerOptions options;
  InterimLeases leases{this->options, kToken};
  TimePoint now = TimePoint{} + std::chrono::hours(1);
};

/// Without renewals, the active runs would lapse before the jobs are read. An end must not be
/// confirmed before its job is known, as it would be lost, and a request must not wait for an end.
TEST_F(InterimLeasesTest, PollsAllEndpointsAndRenewsThoseWithRuns) {
  const std::vector<RenewalOrder> requests = this->leases.Plan(this->now);
  ASSERT_EQ(requests.size(), 2U);
  EXPECT_EQ(requests[0].lease_end_ms, std::nullopt) << "its clock is unknown";
  EXPECT_FALSE(this->leases.IsPollDone());
  this->leases.OnAnswered("a", Report(true), this->now);
  this->leases.OnAnswered("b", Report(false), this->now);
  EXPECT_TRUE(this->leases.IsPollDone());
  this->now += milliseconds(100);
  const std::vector<RenewalOrder> renewals = this->leases.Plan(this->now);
  ASSERT_EQ(renewals.size(), 1U);
  EXPECT_EQ(renewals[0].endpoint, "a");
  EXPECT_EQ(renewals[0].token, kToken);
  EXPECT_EQ(renewals[0].lease_end_ms, kClockMs + 98 + 4000) << "its clock may be 2% slower";
  EXPECT_EQ(renewals[0].confirmed_end, 0U);
  EXPECT_EQ(renewals[0].wait, Duration::zero());
  const std::map<std::string, TimePoint> ends{{"a", this->now + this->options.LongestLease()}};
  EXPECT_EQ(this->leases.LeaseEnds(), ends);
}

/// Further renewals while one is pending or was just answered would only load the link.
TEST_F(InterimLeasesTest, RenewsAFewTimesInALease) {
  this->leases.Plan(this->now);
  this->leases.OnAnswered("a", Report(true), this->now);
  this->leases.OnAnswered("b", Report(false), this->now);
  EXPECT_EQ(this->leases.Plan(this->now).size(), 1U);
  EXPECT_TRUE(this->leases.Plan(this->now).empty());
  this->leases.OnAnswered("a", Report(true), this->now);
  EXPECT_TRUE(this->leases.Plan(this->now + milliseconds(900)).empty());
  EXPECT_EQ(this->leases.Plan(this->now + milliseconds(1000)).size(), 1U);
}

/// A status request got no answer.
TEST_F(InterimLeasesTest, RepeatsAnUnansweredRequest) {
  this->leases.Plan(this->now);
  this->leases.OnAnswered("a", std::nullopt, this->now);
  EXPECT_TRUE(this->leases.Plan(this->now + milliseconds(100)).empty());
  const std::vector<RenewalOrder> requests = this->leases.Plan(this->now + milliseconds(300));
  ASSERT_EQ(requests.size(), 1U);
  EXPECT_EQ(requests[0].endpoint, "a");
}

/// Guards against a task that runs twice, as an endpoint that restarted took a lease that was
/// computed with its former clock.
TEST_F(InterimLeasesTest, ARestartedEndpointMayHaveTakenItsLongestLease) {
  this->leases.Plan(this->now);
  this->leases.OnAnswered("a", Report(true), this->now);
  ASSERT_EQ(this->leases.Plan(this->now).size(), 1U);
  RenewalReport restarted = Report(true);
  restarted.born_ms = 2;
  restarted.clock_ms = 5;
  this->leases.OnAnswered("a", restarted, this->now);
  EXPECT_EQ(this->leases.LeaseEnds().at("a"),
            this->now + this->options.TimeToLapse(this->options.lease_limit));
}

/// The entry is partitioned from the store while it reads. Its successor relies on no renewal being
/// later than the last proof plus `predecessor_grace`.
TEST_F(InterimLeasesTest, RenewsNothingWithoutProof) {
  this->leases.Plan(this->now);
  this->leases.OnAnswered("a", Report(true), this->now);
  this->now += this->options.predecessor_grace;
  const std::vector<RenewalOrder> orders = this->leases.Plan(this->now);
  ASSERT_EQ(orders.size(), 1U);
  EXPECT_EQ(orders[0].lease_end_ms, std::nullopt);
  EXPECT_TRUE(this->leases.LeaseEnds().empty());
}

}  // namespace
}  // namespace chervilspar::jobs
