#include "chervilspar/base/byte_budget.h"

#include <optional>

#include <gtest/gtest.h>

namespace chervilspar {
namespace {

TEST(ByteBudgetTest, RefusesWhatIsOverTheLimitAndChangesNothing) {
  ByteBudget budget(100);
  ByteBudget::Share one(budget);
  ByteBudget::Share other(budget);
  EXPECT_TRUE(one.Resize(60));
  EXPECT_FALSE(other.Resize(41));
  EXPECT_EQ(other.Bytes(), 0U);
  EXPECT_TRUE(other.Resize(40));
  EXPECT_FALSE(one.Resize(61));
  EXPECT_EQ(one.Bytes(), 60U);
  EXPECT_EQ(budget.Used(), 100U);
}

TEST(ByteBudgetTest, GetsBackWhatAPartNoLongerHolds) {
  ByteBudget budget(100);
  std::optional<ByteBudget::Share> one(std::in_place, budget);
  ByteBudget::Share other(budget);
  EXPECT_TRUE(one->Resize(100));
  EXPECT_TRUE(one->Resize(70));
  EXPECT_TRUE(other.Resize(30));
  one.reset();
  EXPECT_EQ(budget.Used(), 30U);
  EXPECT_TRUE(other.Resize(100));
}

}  // namespace
}  // namespace chervilspar
