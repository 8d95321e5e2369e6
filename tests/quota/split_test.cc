#include "chervilspar/quota/split.h"

#include <numeric>
#include <rapidcheck.h>
#include <string>

#include <gtest/gtest.h>

namespace chervilspar::quota {
namespace {

std::set<EntryId> EntriesUpTo(std::uint32_t count) {
  std::set<EntryId> entries;
  for (std::uint32_t at = 0; at < count; ++at) {
    entries.insert(EntryId{"e" + std::to_string(at)});
  }
  return entries;
}

TEST(SplitLimitTest, PartsAddUpAndDifferByAtMostOne) {
  const bool holds = rc::check("parts add up to the limit and differ by at most one", [] {
    const auto count = *rc::gen::inRange<std::uint32_t>(1, 12);
    const auto limit = *rc::gen::inRange<std::uint32_t>(0, 500);
    const TeamId team{"team" + std::to_string(*rc::gen::inRange(0, 600))};
    const auto split = SplitLimit(EntriesUpTo(count), team, limit);
    std::uint32_t sum = 0;
    for (const auto& [entry, part] : split) {
      sum += part;
      RC_ASSERT(part == limit / count || part == limit / count + 1);
    }
    RC_ASSERT(sum == limit);
  });
  EXPECT_TRUE(holds);
}

struct SmallLimitCase {
  std::string name;
  std::uint32_t entries;
  std::uint32_t limit;
  std::uint32_t owners;
};

class SmallLimitTest : public testing::TestWithParam<SmallLimitCase> {};

TEST_P(SmallLimitTest, RemainderIsSpreadOverAsManyEntries) {
  const SmallLimitCase& param = GetParam();
  std::uint32_t owners = 0;
  for (const auto& [entry, part] :
       SplitLimit(EntriesUpTo(param.entries), TeamId{"workshop"}, param.limit)) {
    owners += part > 0 ? 1 : 0;
  }
  EXPECT_EQ(owners, param.owners);
}

INSTANTIATE_TEST_SUITE_P(Cases, SmallLimitTest,
                         testing::Values(SmallLimitCase{"NoUnit", 6, 0, 0},
                                         SmallLimitCase{"OneUnit", 6, 1, 1},
                                         SmallLimitCase{"FewerThanEntries", 6, 4, 4},
                                         SmallLimitCase{"OneEntry", 1, 3, 1},
                                         SmallLimitCase{"NoEntry", 0, 3, 0}),
                         [](const auto& info) { return info.param.name; });

// The single unit of a team with a limit of one is owned by one entry. If that were the same entry
// for all such teams, it would have to handle all of their loans.
TEST(SplitLimitTest, UnitsOfSmallTeamsAreSpreadOverEntries) {
  std::map<EntryId, std::uint32_t> owned;
  for (int team = 0; team < 560; ++team) {
    for (const auto& [entry, part] :
         SplitLimit(EntriesUpTo(9), TeamId{"team" + std::to_string(team)}, 1)) {
      owned[entry] += part;
    }
  }
  for (const auto& [entry, units] : owned) {
    EXPECT_GT(units, 560U / 9 / 2) << entry;
    EXPECT_LT(units, 560U / 9 * 2) << entry;
  }
}

}  // namespace
}  // namespace chervilspar::quota
