#include "chervilspar/rpc/peer_message.h"

#include <string>
#include <vector>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace chervilspar::rpc {
namespace {

const membership::Incarnation kLife{WallTime(Duration(1'700'000'000'000'000)), 0xFEDCBA9876543210U};
const idempotency::Attempt kAttempt{EntryId{"e2"}, kLife, 77};
const quota::LoanKey kLoan{EntryId{"e1"}, kLife, 5};

struct BodyCase {
  std::string name;
  PeerBody body;
};

membership::Heartbeat SampleHeartbeat() {
  membership::Heartbeat heartbeat;
  heartbeat.from = EntryId{"e1"};
  heartbeat.incarnation = kLife;
  heartbeat.zone = ZoneId{"a"};
  heartbeat.next_offset = 123;
  heartbeat.log_progress = membership::LogProgress::kReadToEnd;
  heartbeat.applied_version = 9;
  heartbeat.settled_version = 8;
  heartbeat.applied_by_all = 7;
  heartbeat.settled_by_all = 6;
  heartbeat.sent_at = {WallTime(Duration(55)), 3};
  return heartbeat;
}

quota::LendingMessage SampleLending() {
  quota::LendingMessage lending;
  lending.from = EntryId{"e1"};
  lending.from_incarnation = kLife;
  lending.to = EntryId{"e2"};
  lending.requests = {{1, TeamId{"t"}, 3}};
  lending.grants = {{2, kLife, kLoan, TeamId{"t"}, 4, Duration(5'000'000), Duration(60'000'000)}};
  lending.returns = {{kLoan, 2}};
  lending.returns_seen = {{kLoan, 1}};
  return lending;
}

ShardReports SampleReports() {
  scheduling::ShardReport report;
  report.service = ServiceId{"booking"};
  report.teams = {{TeamId{"t"}, 4, 2}};
  report.endpoints = {{VmId{"v"}, 3}};
  report.ejected = {VmId{"w"}};
  report.urgent_running = 1;
  report.urgent_waiting = 2;
  report.urgent_age = Duration(1500);
  return {ZoneId{"a"}, {report}};
}

class PeerMessageTest : public testing::TestWithParam<BodyCase> {};

TEST_P(PeerMessageTest, ComesBackAsItWas) {
  const PeerMessage message{EntryId{"e1"}, GetParam().body};
  const auto decoded = Decode(Encode(message));
  ASSERT_TRUE(decoded.HasValue()) << ToString(decoded.LastReason());
  EXPECT_EQ(*decoded, message);
}

// A connection breaks, or a stranger talks to the port, and a message arrives short. If the entry
// crashed on it, one bad sender would take down every entry and with them all callers.
TEST_P(PeerMessageTest, EveryTruncationIsAnErrorAndNotACrash) {
  const std::string whole = Encode({EntryId{"e1"}, GetParam().body});
  for (std::size_t length = 0; length < whole.size(); ++length) {
    EXPECT_FALSE(Decode(std::string_view(whole).substr(0, length)).HasValue()) << length;
  }
}

INSTANTIATE_TEST_SUITE_P(
    Bodies, PeerMessageTest,
    testing::Values(BodyCase{"Heartbeat", SampleHeartbeat()}, BodyCase{"Lending", SampleLending()},
                    BodyCase{"Register", idempotency::RegisterRequest{RequestId{"r"}, kAttempt}},
                    BodyCase{"RegisterReply",
                             idempotency::RegisterReply{RequestId{"r"}, kAttempt,
                                                        idempotency::Registration::kTooOld}},
                    BodyCase{"Outcome", idempotency::OutcomeReport{RequestId{"r"}, kAttempt,
                                                                   Verdict::kCompleted}},
                    BodyCase{"OutcomeSeen", idempotency::OutcomeSeen{RequestId{"r"}, kAttempt}},
                    BodyCase{"ShardReports", SampleReports()},
                    BodyCase{"Withdrawals", Withdrawals{{{"aa"}, {"bb"}}}},
                    BodyCase{"CatchUpRequest", CatchUpRequest{17, "127.0.0.1:1"}},
                    BodyCase{"CatchUpRecords", CatchUpRecords{{{17, "{}"}, {18, "x"}}}},
                    BodyCase{"CatchUpState", CatchUpState{"{}"}}),
    [](const auto& info) { return info.param.name; });

// Bytes of any kind reach the port. A garbage length inside a message must not make the entry
// reserve gigabytes; the caller of a healthy entry would notice it as a lost connection.
RC_GTEST_PROP(PeerMessageGarbage, NeverCrashes, (const std::string& bytes)) {
  static_cast<void>(Decode(bytes));
}

RC_GTEST_PROP(PeerMessageGarbage, FlippedBytesNeverCrash, ()) {
  std::string bytes = Encode({EntryId{"e1"}, SampleLending()});
  const auto flips = *rc::gen::inRange(1, 8);
  for (int i = 0; i < flips; ++i) {
    const auto place = *rc::gen::inRange<std::size_t>(0, bytes.size());
    bytes[place] = *rc::gen::arbitrary<char>();
  }
  static_cast<void>(Decode(bytes));
}

}  // namespace
}  // namespace chervilspar::rpc
