#include "chervilspar/admission/admission_controller.h"

#include <set>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace chervilspar::admission {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kNow = TimePoint(seconds(100));

Ticket TicketDue(Duration timeout) {
  Ticket ticket;
  ticket.arrived = kNow;
  ticket.deadline = kNow + timeout;
  return ticket;
}

struct DecideCase {
  const char* name;
  Duration timeout;
  Prediction prediction;
  std::optional<RefusalCode> expected;
};

Prediction Predicted(Duration wait, Duration run, std::uint32_t samples = 100) {
  Prediction prediction;
  prediction.wait = wait;
  prediction.run_time = run;
  prediction.p99_run_time = run * 3;
  prediction.run_time_samples = samples;
  prediction.endpoints = 10;
  return prediction;
}

Prediction Spread(Prediction prediction, Duration deviation) {
  prediction.wait_deviation = deviation;
  return prediction;
}

Prediction NoEndpoints() { return {}; }

Prediction Full() {
  Prediction prediction = Predicted(seconds(0), milliseconds(10));
  prediction.waiting = AdmissionOptions{}.most_waiting;
  return prediction;
}

class DecideTest : public testing::TestWithParam<DecideCase> {};

// A burst asks more than the pool can run. If the request is taken although its answer will come
// too late, the caller waits for nothing and the endpoint works for nobody.
TEST_P(DecideTest, RefusesAtOnceWhatWouldComeTooLate) {
  // The seed is one whose first number lets no hopeless request through for measurement.
  SeededRandom random(3);
  const AdmissionController controller{AdmissionOptions{}};
  const auto refusal =
      controller.Decide(TicketDue(GetParam().timeout), GetParam().prediction, kNow, random);
  ASSERT_EQ(refusal.has_value(), GetParam().expected.has_value());
  if (refusal) {
    EXPECT_EQ(refusal->code, *GetParam().expected);
  }
}

INSTANTIATE_TEST_SUITE_P(
    Predictions, DecideTest,
    testing::Values(
        DecideCase{"FreeSlot", seconds(1), Predicted(seconds(0), milliseconds(100)), {}},
        DecideCase{"ShortWait", seconds(3), Predicted(seconds(1), milliseconds(100)), {}},
        DecideCase{"WaitPastDeadline", seconds(3), Predicted(seconds(4), milliseconds(100)),
                   RefusalCode::kOverloaded},
        DecideCase{"WaitThatLeavesNoTimeToRun", seconds(3),
                   Predicted(milliseconds(2500), milliseconds(200)), RefusalCode::kOverloaded},
        DecideCase{"WaitThatIsVeryUncertain", seconds(3),
                   Spread(Predicted(seconds(1), milliseconds(100)), seconds(1)),
                   RefusalCode::kOverloaded},
        DecideCase{"LongestWait", seconds(60), Predicted(seconds(6), milliseconds(100)),
                   RefusalCode::kOverloaded},
        DecideCase{"RunsPastDeadline", seconds(1), Predicted(seconds(0), seconds(2)),
                   RefusalCode::kDeadlineUnreachable},
        DecideCase{"RunTimeHardlyMeasured", seconds(1), Predicted(seconds(0), seconds(2), 2), {}},
        DecideCase{"NoEndpoint", seconds(1), NoEndpoints(), RefusalCode::kNoEndpoint},
        DecideCase{"MemoryBound", seconds(1), Full(), RefusalCode::kOverloaded}),
    [](const auto& info) { return std::string(info.param.name); });

// Run times were long for a while, and every request with an ordinary deadline was refused for it.
// What is refused is not measured, so without an exception the refusals would never end.
TEST(AdmissionControllerTest, LetsSomeRequestsThroughToMeasureAgain) {
  SeededRandom random(1);
  const AdmissionController controller{AdmissionOptions{}};
  int accepted = 0;
  for (int count = 0; count < 1000; ++count) {
    const auto refusal =
        controller.Decide(TicketDue(seconds(1)), Predicted(seconds(0), seconds(2)), kNow, random);
    accepted += refusal ? 0 : 1;
  }
  EXPECT_GT(accepted, 0);
  EXPECT_LT(accepted, 100);
}

// Callers that were refused in one second are told the same time to come back, and come back
// together: the next second is overloaded again.
RC_GTEST_PROP(AdmissionControllerProperty, RetryAfterIsHonestAndSpread, ()) {
  const auto wait = milliseconds(*rc::gen::inRange(0, 100'000));
  SeededRandom random(*rc::gen::arbitrary<std::uint64_t>());
  const AdmissionOptions options;
  const AdmissionController controller(options);
  std::set<Duration> seen;
  const Duration least =
      std::clamp<Duration>(wait, options.shortest_retry_after, options.longest_retry_after);
  for (int count = 0; count < 100; ++count) {
    const Duration after = controller.RetryAfter(wait, random);
    RC_ASSERT(after >= least);
    RC_ASSERT(after <= least * 3 / 2);
    seen.insert(after / 10'000);
  }
  RC_ASSERT(seen.size() > 20u);
}

TEST(RefusalTest, EveryCodeHasANameAndAStatus) {
  for (const RefusalCode code :
       {RefusalCode::kOverloaded, RefusalCode::kDeadlineUnreachable, RefusalCode::kUnfit,
        RefusalCode::kNoEndpoint, RefusalCode::kUnknownTeam, RefusalCode::kUrgentNotAllowed,
        RefusalCode::kRetriesExhausted}) {
    EXPECT_NE(std::string(ToString(code)), "");
    EXPECT_GE(HttpStatus(code), 400);
  }
}

}  // namespace
}  // namespace chervilspar::admission
