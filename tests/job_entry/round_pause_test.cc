#include "job_entry/round_pause.h"

#include <string>

#include <gtest/gtest.h>

namespace chervilspar::job_entry {
namespace {

struct PauseCase {
  const char* name;
  Duration taken;
  Duration pause;
};

class PauseBetweenRounds : public ::testing::TestWithParam<PauseCase> {};

/// Guards against rounds that take the thread from the orders that carry their decisions out.
TEST_P(PauseBetweenRounds, LeavesTimeForOtherWork) {
  EXPECT_EQ(PauseAfterRound(GetParam().taken), GetParam().pause);
}

INSTANTIATE_TEST_SUITE_P(
    Rounds, PauseBetweenRounds,
    ::testing::Values(PauseCase{"ShortRoundsOnlyGatherFacts", std::chrono::microseconds(300),
                                std::chrono::milliseconds(4)},
                      PauseCase{"LongRoundsLeaveFourFifths", std::chrono::milliseconds(12),
                                std::chrono::milliseconds(48)},
                      PauseCase{"ThePauseIsBounded", std::chrono::seconds(3),
                                std::chrono::milliseconds(200)}),
    [](const auto& info) { return std::string(info.param.name); });

class PauseBetweenPasses : public ::testing::TestWithParam<PauseCase> {};

/// Guards against passes over all jobs or VMs that take the more of the thread the more jobs wait.
TEST_P(PauseBetweenPasses, LeavesTimeForOtherWork) {
  EXPECT_EQ(PauseAfterPass(GetParam().taken), GetParam().pause);
}

INSTANTIATE_TEST_SUITE_P(
    Passes, PauseBetweenPasses,
    ::testing::Values(PauseCase{"ShortPassesAreRepeatedSoon", std::chrono::microseconds(500),
                                std::chrono::milliseconds(20)},
                      PauseCase{"LongPassesTakeAFortieth", std::chrono::milliseconds(9),
                                std::chrono::milliseconds(360)},
                      PauseCase{"ThePauseIsBounded", std::chrono::seconds(1),
                                std::chrono::milliseconds(500)}),
    [](const auto& info) { return std::string(info.param.name); });

}  // namespace
}  // namespace chervilspar::job_entry
