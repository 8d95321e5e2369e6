#include "chervilspar/base/verdict.h"

#include <string>
#include <vector>

#include <gtest/gtest.h>

namespace chervilspar {
namespace {

enum class WireEvent { kBeforeWrite, kRefused, kWholeAnswer };

struct VerdictCase {
  std::string name;
  std::vector<WireEvent> events;
  Verdict expected;
};

class VerdictTrackerTest : public testing::TestWithParam<VerdictCase> {};

TEST_P(VerdictTrackerTest, FollowsTheWire) {
  VerdictTracker tracker;
  for (const WireEvent event : GetParam().events) {
    switch (event) {
      case WireEvent::kBeforeWrite:
        tracker.OnBeforeWrite();
        break;
      case WireEvent::kRefused:
        tracker.OnRefusedByEndpoint();
        break;
      case WireEvent::kWholeAnswer:
        tracker.OnWholeAnswer();
        break;
    }
  }
  EXPECT_EQ(tracker.Current(), GetParam().expected);
}

INSTANTIATE_TEST_SUITE_P(
    Cases, VerdictTrackerTest,
    testing::Values(
        VerdictCase{"NothingSent", {}, Verdict::kNotRun},
        VerdictCase{"SentWithoutAnswer", {WireEvent::kBeforeWrite}, Verdict::kMayHaveRun},
        VerdictCase{
            "RefusedByEndpoint", {WireEvent::kBeforeWrite, WireEvent::kRefused}, Verdict::kNotRun},
        VerdictCase{
            "Answered", {WireEvent::kBeforeWrite, WireEvent::kWholeAnswer}, Verdict::kCompleted}),
    [](const testing::TestParamInfo<VerdictCase>& info) { return info.param.name; });

// A tracker told of an answer although nothing was sent would call a request completed that no
// endpoint ever saw, so the tracker stops the process instead.
TEST(VerdictTrackerDeathTest, AnswerWithoutRequestStopsTheProcess) {
  VerdictTracker tracker;
  EXPECT_DEATH(tracker.OnWholeAnswer(), "assertion failed");
}

}  // namespace
}  // namespace chervilspar
