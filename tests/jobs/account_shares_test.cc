#include "chervilspar/jobs/account_shares.h"

#include <cmath>
#include <limits>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace chervilspar::jobs {
namespace {

constexpr double kTolerance = 1e-6;
constexpr Resources kCapacity{100'000, 100'000, 0};

Resources Both(double fraction) {
  const auto amount = static_cast<std::int64_t>(fraction * 100'000);
  return {amount, amount, 0};
}

/// The parts of the capacity that accounts a and b request, and what they are due.
struct DivisionCase {
  const char* name;
  Resources requested_a;
  double weight_a;
  Resources requested_b;
  double weight_b;
  double due_a;
  double due_b;
};

class Division : public ::testing::TestWithParam<DivisionCase> {};

TEST_P(Division, GivesEachAccountItsDue) {
  const DivisionCase& given = GetParam();
  const AccountShares shares({{TeamId{"a"}, given.weight_a, {}, given.requested_a},
                              {TeamId{"b"}, given.weight_b, {}, given.requested_b}},
                             kCapacity);
  EXPECT_NEAR(shares.Find(TeamId{"a"})->due, given.due_a, kTolerance);
  EXPECT_NEAR(shares.Find(TeamId{"b"})->due, given.due_b, kTolerance);
}

INSTANTIATE_TEST_SUITE_P(
    Loads, Division,
    ::testing::Values(
        DivisionCase{"all_fits", Both(0.7), 1, Both(0.3), 1, 0.7, 0.3},
        DivisionCase{"alone", Both(5), 1, Both(0), 1, 1, 0},
        DivisionCase{"one_needs_little", Both(10), 1, Both(0.2), 1, 0.8, 0.2},
        DivisionCase{"equal_weights", Both(10), 1, Both(1), 1, 0.5, 0.5},
        DivisionCase{"unequal_weights", Both(10), 3, Both(10), 1, 0.75, 0.25},
        // cpu is short, so the account that needs no cpu has all that it requests.
        DivisionCase{"different_resources", {300'000, 1'000, 0}, 1, {0, 90'000, 0}, 1, 1, 0.9},
        // Bad weights must neither stop the division nor starve the account.
        DivisionCase{"zero_weight", Both(10), 0, Both(10), 4, 0.5, 0.5},
        DivisionCase{"negative_weight", Both(10), -2, Both(10), 4, 0.5, 0.5},
        DivisionCase{"weight_not_a_number", Both(10), std::nan(""), Both(10), 4, 0.5, 0.5},
        DivisionCase{"infinite_weight", Both(10), std::numeric_limits<double>::infinity(), Both(10),
                     4, 0.5, 0.5},
        DivisionCase{"no_valid_weight", Both(10), 0, Both(10), 0, 0.5, 0.5}),
    [](const auto& info) { return info.param.name; });

/// Guards against a division by zero when all VMs are away.
TEST(AccountShares, EndsWithoutCapacity) {
  const AccountShares shares({{TeamId{"a"}, 1, {}, Both(1)}}, {});
  EXPECT_TRUE(shares.IsFull());
  EXPECT_TRUE(std::isfinite(shares.Find(TeamId{"a"})->Ratio()));
}

std::vector<AccountDemand> AnyDemands() {
  std::vector<AccountDemand> demands;
  const int count = *rc::gen::inRange(1, 12);
  const auto amount = [] { return std::int64_t{*rc::gen::inRange(0, 60'000)}; };
  for (int i = 0; i < count; ++i) {
    AccountDemand demand;
    demand.team = TeamId{std::to_string(i)};
    demand.weight = *rc::gen::inRange(1, 1000) / 100.0;
    demand.requested = {amount(), amount(), 0};
    demand.in_use = {*rc::gen::inRange<std::int64_t>(0, demand.requested.cpu + 1), 0, 0};
    demands.push_back(demand);
  }
  return demands;
}

RC_GTEST_PROP(AccountSharesProperty, DuesFitTheCapacityAndTheRequests, ()) {
  const std::vector<AccountDemand> demands = AnyDemands();
  const AccountShares shares(demands, kCapacity);
  double cpu = 0;
  double memory = 0;
  for (const AccountDemand& demand : demands) {
    const AccountShare& share = *shares.Find(demand.team);
    RC_ASSERT(share.due <= share.requested);
    RC_ASSERT(shares.IsFull() || !share.IsBeyond());
    const double part = share.requested > 0 ? share.due / share.requested : 0;
    cpu += part * static_cast<double>(demand.requested.cpu);
    memory += part * static_cast<double>(demand.requested.memory_mb);
  }
  RC_ASSERT(cpu <= static_cast<double>(kCapacity.cpu) * (1 + kTolerance));
  RC_ASSERT(memory <= static_cast<double>(kCapacity.memory_mb) * (1 + kTolerance));
}

RC_GTEST_PROP(AccountSharesProperty, AnAccountAloneMayUseEverything, ()) {
  const Resources requested = Both(*rc::gen::inRange(1, 500) / 100.0);
  const AccountShares shares({{TeamId{"a"}, 0.01, Both(1), requested + Both(1)}}, kCapacity);
  RC_ASSERT(std::abs(shares.Find(TeamId{"a"})->due - 1) < kTolerance);
  RC_ASSERT(!shares.Find(TeamId{"a"})->IsBeyond());
}

RC_GTEST_PROP(AccountSharesProperty, ALargerWeightIsNeverDueLess, ()) {
  std::vector<AccountDemand> demands = AnyDemands();
  AccountDemand heavier = demands.front();
  heavier.team = TeamId{"heavier"};
  heavier.weight += *rc::gen::inRange(0, 1000) / 100.0;
  demands.push_back(heavier);
  const AccountShares shares(demands, kCapacity);
  RC_ASSERT(shares.Find(heavier.team)->due >= shares.Find(demands.front().team)->due);
}

}  // namespace
}  // namespace chervilspar::jobs
