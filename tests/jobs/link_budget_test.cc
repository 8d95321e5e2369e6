#include "chervilspar/jobs/link_budget.h"

#include <gtest/gtest.h>

namespace chervilspar::jobs {
namespace {

using std::chrono::milliseconds;

constexpr auto kNormal = LinkBudget::Precedence::kNormal;
constexpr auto kHigh = LinkBudget::Precedence::kHigh;
/// A link of 250,000 bytes per second, 50,000 in a window.
constexpr double kNarrow = 2;
constexpr std::int64_t kBound = 25000;
constexpr TimePoint kBegin = TimePoint{} + std::chrono::seconds(9);

struct TrafficCase {
  const char* name;
  std::int64_t reserved;
  /// Sent `age` before the question.
  std::int64_t starts;
  std::int64_t urgent;
  milliseconds age;
  std::int64_t allowance;
};

class Allowances : public ::testing::TestWithParam<TrafficCase> {};

TEST_P(Allowances, FollowTheTraffic) {
  LinkBudget budget(kNarrow);
  budget.Reserve(GetParam().reserved);
  budget.OnStartSent(GetParam().starts, kBegin);
  LinkTraffic traffic;
  traffic.urgent = GetParam().urgent;
  budget.OnTraffic(traffic, kBegin);
  EXPECT_EQ(budget.Allowance(kHigh, kBegin + GetParam().age), GetParam().allowance);
  EXPECT_LE(budget.Allowance(kNormal, kBegin + GetParam().age), GetParam().allowance);
}

INSTANTIATE_TEST_SUITE_P(
    Cases, Allowances,
    ::testing::Values(TrafficCase{"idle", 0, 0, 0, {}, kBound},
                      TrafficCase{"starts", 0, 20000, 0, milliseconds(199), 5000},
                      TrafficCase{"earlier_starts", 0, 20000, 0, milliseconds(200), kBound},
                      TrafficCase{"reserved", 20000, 0, 0, std::chrono::seconds(5), 5000},
                      TrafficCase{"both", 20000, 20000, 0, {}, 0},
                      TrafficCase{"renewals", 0, 0, 12500, {}, kBound},
                      TrafficCase{"many_stops", 0, 0, 30000, {}, 7500},
                      TrafficCase{"only_stops", 0, 0, 60000, {}, 6250}),
    [](const auto& info) { return info.param.name; });

/// A payload of 4,000 bytes takes more than half of 0.1 Mbit/s in 200 ms; its job would never run.
TEST(LinkBudget, AdmitsAStartLargerThanTheAllowanceAlone) {
  LinkBudget budget(0.1);
  const std::int64_t bytes = LinkBudget::StartBytes(4000, 0);
  EXPECT_TRUE(budget.Admits(bytes, kNormal, kBegin));
  budget.OnStartSent(bytes, kBegin);
  EXPECT_FALSE(budget.Admits(bytes, kNormal, kBegin + milliseconds(199)));
  EXPECT_TRUE(budget.Admits(bytes, kNormal, kBegin + milliseconds(200)));
}

/// Starts share payloads. What they didn't take may be used, but not twice: subtracted from later
/// starts, it would still count after the starts that it belongs to have left the window.
TEST(LinkBudget, SavedBytesAreNotGivenTwice) {
  LinkBudget budget(kNarrow);
  budget.OnTraffic({}, kBegin);
  budget.OnStartSent(10000, kBegin);
  budget.OnStartSent(10000, kBegin + milliseconds(90));
  LinkTraffic traffic;
  traffic.starts = 4000;
  traffic.start_difference = -6000;
  budget.OnTraffic(traffic, kBegin + milliseconds(95));
  EXPECT_EQ(budget.Allowance(kHigh, kBegin + milliseconds(95)), kBound - 14000);
  EXPECT_EQ(budget.Allowance(kHigh, kBegin + milliseconds(200)), kBound - 10000);
  // After a suspension of the process, the starts of the difference may have left the window.
  budget.OnStartSent(10000, kBegin + milliseconds(400));
  budget.OnTraffic(traffic, kBegin + milliseconds(401));
  EXPECT_EQ(budget.Allowance(kHigh, kBegin + milliseconds(401)), kBound - 10000);
}

/// Guards pool sizes that request VMs for starts that can't be sent.
TEST(LinkBudget, TellsTheCoresThatStartsCanFill) {
  const LinkBudget budget(kNarrow);
  EXPECT_DOUBLE_EQ(budget.CoresPerSecond(1250, 3.0), 300);
  EXPECT_DOUBLE_EQ(LinkBudget(20).CoresPerSecond(1250, 3.0), 3000);
  // No start has been measured yet.
  EXPECT_DOUBLE_EQ(budget.CoresPerSecond(0, 1.0), 125000.0 / 256);
}

struct RenewalCase {
  const char* name;
  bool is_on;
  double link_rate;
  std::size_t endpoints;
  Duration lease;
  Duration interval;
};

class RenewalIntervals : public ::testing::TestWithParam<RenewalCase> {};

TEST_P(RenewalIntervals, KeepToTheLinkAndTheLease) {
  const RenewalCase& param = GetParam();
  SchedulerOptions options;
  options.budgets_link = param.is_on;
  options.link_rate = param.link_rate;
  options.lease = param.lease;
  const Duration lost = milliseconds(1600);
  const Duration interval = RenewalInterval(options, param.endpoints, 160, lost);
  EXPECT_EQ(interval, param.interval);
  if (interval > Duration::zero()) {
    EXPECT_LE(interval + 2 * lost, param.lease);
  }
}

INSTANTIATE_TEST_SUITE_P(
    Cases, RenewalIntervals,
    ::testing::Values(
        RenewalCase{"off", false, kNarrow, 140, milliseconds(4000), {}},
        RenewalCase{"narrow", true, kNarrow, 125, milliseconds(4000), milliseconds(320)},
        RenewalCase{"many", true, kNarrow, 2000, milliseconds(4000), milliseconds(800)},
        RenewalCase{"short_lease", true, kNarrow, 2000, milliseconds(3500), milliseconds(300)},
        RenewalCase{"no_time", true, kNarrow, 125, milliseconds(2000), {}},
        RenewalCase{"wide", true, 200, 125, milliseconds(4000), std::chrono::microseconds(3200)}),
    [](const auto& info) { return info.param.name; });

}  // namespace
}  // namespace chervilspar::jobs
