#include "job_entry/candidacy.h"

#include <gtest/gtest.h>

namespace chervilspar::job_entry {
namespace {

struct StandCase {
  const char* name;
  double cores;
  std::vector<std::string> members;
  bool stands;
};

class CandidacyTable : public ::testing::TestWithParam<StandCase> {};

TEST_P(CandidacyTable, StandsUnlessAMemberHasClearlyMore) {
  EXPECT_EQ(Candidacy(GetParam().cores).ShouldStand(GetParam().members), GetParam().stands);
}

INSTANTIATE_TEST_SUITE_P(
    Members, CandidacyTable,
    ::testing::Values(
        StandCase{"an_empty_group", 0.12, {}, true},
        StandCase{"equals", 0.25, {"a@0.250/1", "b@0.250/2"}, true},
        StandCase{"a_little_more", 0.25, {"a@0.400/1"}, true},
        StandCase{"clearly_more", 0.12, {"a@0.120/1", "b@0.500/2"}, false},
        StandCase{"clearly_less", 0.5, {"a@0.120/1"}, true},
        // Names that say nothing of cores: another version's, or another program's.
        StandCase{"names_without_cores", 0.12, {"a/1", "", "@/", "@x/1", "/@1", "a@9"}, true},
        StandCase{"an_entry_named_like_one", 0.12, {"a@9@0.120/1"}, true}),
    [](const auto& info) { return info.param.name; });

TEST(Candidacy, TheNameSaysTheCores) {
  EXPECT_EQ(Candidacy(0.5).MemberName("front-1", 77), "front-1@0.500/77");
  EXPECT_FALSE(Candidacy(0.12).ShouldStand({Candidacy(0.5).MemberName("a@0.1/x", 1)}));
}

struct DelayCase {
  const char* name;
  double cores;
  int milliseconds;
};

class DelayTable : public ::testing::TestWithParam<DelayCase> {};

TEST_P(DelayTable, SmallVmsLetLargerOnesComeFirst) {
  EXPECT_EQ(std::chrono::duration_cast<std::chrono::milliseconds>(
                Candidacy(GetParam().cores).FirstDelay())
                .count(),
            GetParam().milliseconds);
}

INSTANTIATE_TEST_SUITE_P(Cores, DelayTable,
                         ::testing::Values(DelayCase{"ample", 0.25, 0}, DelayCase{"more", 1.0, 0},
                                           DelayCase{"half", 0.125, 600},
                                           DelayCase{"next_to_nothing", 0.01, 1200}),
                         [](const auto& info) { return info.param.name; });

}  // namespace
}  // namespace chervilspar::job_entry
