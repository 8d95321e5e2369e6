#include "job_entry/candidacy.h"

#include <gtest/gtest.h>

namespace chervilspar::job_entry {
namespace {

struct CandidateCase {
  const char* name;
  double cores;
  std::vector<std::string> members;
  bool is_candidate;
};

class CandidacyTable : public ::testing::TestWithParam<CandidateCase> {};

TEST_P(CandidacyTable, RunsUnlessAMemberHasClearlyMoreCores) {
  EXPECT_EQ(Candidacy(GetParam().cores).ShouldRun(GetParam().members), GetParam().is_candidate);
}

INSTANTIATE_TEST_SUITE_P(
    Members, CandidacyTable,
    ::testing::Values(
        CandidateCase{"an_empty_group", 0.12, {}, true},
        CandidateCase{"equals", 0.25, {"a@0.250/1", "b@0.250/2"}, true},
        CandidateCase{"a_little_more", 0.25, {"a@0.400/1"}, true},
        CandidateCase{"clearly_more", 0.12, {"a@0.120/1", "b@0.500/2"}, false},
        CandidateCase{"clearly_less", 0.5, {"a@0.120/1"}, true},
        // Names without cores, such as those of another version or another program.
        CandidateCase{"names_without_cores", 0.12, {"a/1", "", "@/", "@x/1", "/@1", "a@9"}, true},
        CandidateCase{"an_entry_named_like_one", 0.12, {"a@9@0.120/1"}, true}),
    [](const auto& info) { return info.param.name; });

TEST(Candidacy, TheMemberNameContainsTheCores) {
  EXPECT_EQ(Candidacy(0.5).MemberName("front-1", 77), "front-1@0.500/77");
  EXPECT_FALSE(Candidacy(0.12).ShouldRun({Candidacy(0.5).MemberName("a@0.1/x", 1)}));
}

struct DelayCase {
  const char* name;
  double cores;
  int milliseconds;
};

class DelayTable : public ::testing::TestWithParam<DelayCase> {};

TEST_P(DelayTable, SmallVmsDelayTheirCandidacy) {
  EXPECT_EQ(std::chrono::duration_cast<std::chrono::milliseconds>(
                Candidacy(GetParam().cores).InitialDelay())
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
