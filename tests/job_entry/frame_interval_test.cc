#include "job_entry/frame_interval.h"

#include <string>
#include <vector>

#include <gtest/gtest.h>

namespace chervilspar::job_entry {
namespace {

using std::chrono::milliseconds;

struct IntervalCase {
  const char* name;
  std::size_t carriers;
  double cores;
  Duration interval;
};

class IntervalOfFrames : public ::testing::TestWithParam<IntervalCase> {};

/// Guards against an owner that gets more frames the more carriers there are.
TEST_P(IntervalOfFrames, GrowsWithTheCarriersOfACore) {
  EXPECT_EQ(FrameInterval(GetParam().carriers, GetParam().cores), GetParam().interval);
}

INSTANTIATE_TEST_SUITE_P(Fleets, IntervalOfFrames,
                         ::testing::Values(IntervalCase{"FewCarriers", 2, 1.0, milliseconds(8)},
                                           IntervalCase{"HalfACore", 14, 0.5, milliseconds(28)},
                                           IntervalCase{"AWholeCore", 14, 1.0, milliseconds(14)},
                                           IntervalCase{"ItIsBounded", 200, 0.5, milliseconds(40)}),
                         [](const auto& info) { return std::string(info.param.name); });

struct PaceCase {
  const char* name;
  std::vector<int> arrives_ms;
  std::vector<int> leaves_ms;
};

class PaceOfFrames : public ::testing::TestWithParam<PaceCase> {};

/// Guards against single questions that wait for others which don't come, and against an owner that
/// gets a frame for each of many.
TEST_P(PaceOfFrames, HoldsUpOnlyWhatFollowsClosely) {
  FramePace pace(milliseconds(3), milliseconds(40));
  const TimePoint begin = TimePoint() + std::chrono::hours(1);
  std::vector<int> leaves_ms;
  for (const int arrival : GetParam().arrives_ms) {
    const Duration due = pace.DueAt(begin + milliseconds(arrival)) - begin;
    leaves_ms.push_back(static_cast<int>(std::chrono::duration_cast<milliseconds>(due).count()));
  }
  EXPECT_EQ(leaves_ms, GetParam().leaves_ms);
}

INSTANTIATE_TEST_SUITE_P(
    Messages, PaceOfFrames,
    ::testing::Values(PaceCase{"SingleOnesLeaveSoon", {0, 100, 200}, {3, 103, 203}},
                      PaceCase{"CloseOnesShareAFrame", {0, 1, 2, 5, 20, 42}, {3, 3, 3, 43, 43, 43}},
                      PaceCase{"FramesKeepTheirInterval", {0, 30, 50, 90}, {3, 43, 83, 123}},
                      PaceCase{"APauseEndsThat", {0, 30, 90}, {3, 43, 93}}),
    [](const auto& info) { return std::string(info.param.name); });

}  // namespace
}  // namespace chervilspar::job_entry
