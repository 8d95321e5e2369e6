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

Prediction WithWaitDeviation(Prediction prediction, Duration deviation) {
  prediction.wait_deviation = deviation;
  return prediction;
}

Prediction NoEndpoints() { return {}; }

Prediction FullQueue() {
  Prediction prediction = Predicted(seconds(0), milliseconds(10));
  prediction.waiting = AdmissionOptions{}.max_waiting;
  return prediction;
}

class DecideTest : public testing::TestWithParam<DecideCase> {};

// A burst exceeds the capacity of the pool. If a request is accepted although its response will
// miss the deadline, the caller waits in vain and the endpoint does useless work.
TEST_P(DecideTest, RefusesRequestsThatWouldMissTheDeadline) {
  // With this seed the first random number accepts no request as a probe.
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
        DecideCase{"WaitWithHighVariance", seconds(3),
                   WithWaitDeviation(Predicted(seconds(1), milliseconds(100)), seconds(1)),
                   RefusalCode::kOverloaded},
        DecideCase{"MaxWait", seconds(60), Predicted(seconds(6), milliseconds(100)),
                   RefusalCode::kOverloaded},
        DecideCase{"RunsPastDeadline", seconds(1), Predicted(seconds(0), seconds(2)),
                   RefusalCode::kDeadlineUnreachable},
        DecideCase{"FewRunTimeSamples", seconds(1), Predicted(seconds(0), seconds(2), 2), {}},
        DecideCase{"NoEndpoint", seconds(1), NoEndpoints(), RefusalCode::kNoEndpoint},
        DecideCase{"MemoryBound", seconds(1), FullQueue(), RefusalCode::kOverloaded}),
    [](const auto& info) { return std::string(info.param.name); });

// Run times were long for a while, so all requests with an ordinary deadline are refused. Refused
// requests are not measured, so without probes the refusals would never end.
TEST(AdmissionControllerTest, AcceptsSomeRequestsAsProbes) {
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

// If callers that are refused in the same second get the same retry time, they all retry together
// and overload a later second.
RC_GTEST_PROP(AdmissionControllerProperty, RetryAfterCoversTheWaitAndIsSpread, ()) {
  const auto wait = milliseconds(*rc::gen::inRange(0, 100'000));
  SeededRandom random(*rc::gen::arbitrary<std::uint64_t>());
  const AdmissionOptions options;
  const AdmissionController controller(options);
  std::set<Duration> seen;
  const Duration min_delay =
      std::clamp<Duration>(wait, options.min_retry_after, options.max_retry_after);
  for (int count = 0; count < 100; ++count) {
    const Duration after = controller.RetryAfter(wait, random);
    RC_ASSERT(after >= min_delay);
    RC_ASSERT(after <= min_delay * 3 / 2);
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
