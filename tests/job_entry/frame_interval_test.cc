#include "job_entry/frame_interval.h"

#include <string>

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

}  // namespace
}  // namespace chervilspar::job_entry
