#include <optional>
#include <rapidcheck.h>
#include <string>

#include <gtest/gtest.h>

#include "chervilspar/idempotency/ownership.h"
#include "chervilspar/idempotency/request_client.h"

namespace chervilspar::idempotency {
namespace {

TimePoint At(double seconds) {
  return TimePoint(Duration(static_cast<std::int64_t>(seconds * 1e6)));
}

RequestClient ClientOf(const std::string& name) {
  RequestClient client({EntryId{name}, {WallTime(), 1}, ZoneId{"a"}});
  membership::EntryList list;
  list.version = 1;
  list.entries = {EntryId{"e1"}, EntryId{"e2"}, EntryId{"e3"}};
  client.OnConfiguration(list);
  return client;
}

struct UuidCase {
  std::string name;
  std::string text;
  std::optional<std::string> canonical;
};

class UuidTest : public testing::TestWithParam<UuidCase> {};

TEST_P(UuidTest, TakesVersionSevenOnly) {
  const Result<UuidV7> uuid = ParseUuidV7(GetParam().text);
  ASSERT_EQ(uuid.HasValue(), GetParam().canonical.has_value());
  if (uuid) {
    EXPECT_EQ(uuid->id.text, *GetParam().canonical);
  }
}

INSTANTIATE_TEST_SUITE_P(
    Cases, UuidTest,
    testing::Values(UuidCase{"Lower", "017f22e2-79b0-7cc3-98c4-dc0c0c07398f",
                             "017f22e2-79b0-7cc3-98c4-dc0c0c07398f"},
                    UuidCase{"UpperIsTheSameRequest", "017F22E2-79B0-7CC3-98C4-DC0C0C07398F",
                             "017f22e2-79b0-7cc3-98c4-dc0c0c07398f"},
                    UuidCase{"VersionFour", "017f22e2-79b0-4cc3-98c4-dc0c0c07398f", std::nullopt},
                    UuidCase{"WrongVariant", "017f22e2-79b0-7cc3-18c4-dc0c0c07398f", std::nullopt},
                    UuidCase{"NoHex", "017f22e2-79b0-7cc3-98c4-dc0c0c07398g", std::nullopt},
                    UuidCase{"NoDash", "017f22e2779b0-7cc3-98c4-dc0c0c07398f", std::nullopt},
                    UuidCase{"Short", "017f22e2-79b0-7cc3-98c4", std::nullopt},
                    UuidCase{"Empty", "", std::nullopt}),
    [](const auto& info) { return info.param.name; });

TEST(UuidTest, MadeIdsReadBackWithTheirTime) {
  const bool holds = rc::check("round trip", [] {
    SeededRandom random(*rc::gen::arbitrary<std::uint64_t>());
    const auto ms = *rc::gen::inRange<std::int64_t>(0, std::int64_t{1} << 47);
    const WallTime at{std::chrono::milliseconds(ms)};
    const UuidV7 made = MakeUuidV7(at, random);
    const Result<UuidV7> read = ParseUuidV7(made.id.text);
    RC_ASSERT(read.HasValue());
    RC_ASSERT(*read == made);
    RC_ASSERT(read->minted == at);
  });
  EXPECT_TRUE(holds);
}

TEST(OwnershipTest, RemovingAnEntryMovesOnlyItsIds) {
  const bool holds = rc::check("minimal movement", [] {
    const RequestId id{std::to_string(*rc::gen::arbitrary<std::uint64_t>())};
    const std::set<EntryId> all = {EntryId{"e1"}, EntryId{"e2"}, EntryId{"e3"}, EntryId{"e4"}};
    std::set<EntryId> fewer = all;
    fewer.erase(EntryId{"e4"});
    const std::optional<EntryId> before = OwnerOf(id, all);
    RC_ASSERT(before == EntryId{"e4"} || OwnerOf(id, fewer) == before);
  });
  EXPECT_TRUE(holds);
}

enum class Step { kReplyYes, kReplyNo, kGiveUp, kOtherIncarnation };

struct ReplyCase {
  std::string name;
  std::vector<Step> steps;
  ReplyUse last;
};

class ReplyTest : public testing::TestWithParam<ReplyCase> {};

// Replies of the owner arrive late, twice, or after the attempt was abandoned. A second dispatch of
// an attempt would run a non-idempotent request twice.
TEST_P(ReplyTest, DispatchesOnceAtMost) {
  RequestClient client = ClientOf("e1");
  const auto begun = client.Begin(RequestId{"x"}, At(0));
  ASSERT_TRUE(begun);
  RegisterReply reply{RequestId{"x"}, begun->request.attempt, Registration::kMayRun};
  ReplyUse last = ReplyUse::kIgnore;
  for (const Step step : GetParam().steps) {
    switch (step) {
      case Step::kReplyYes:
        last = client.OnReply(reply);
        break;
      case Step::kReplyNo:
        last = client.OnReply({reply.id, reply.attempt, Registration::kRunning});
        break;
      case Step::kGiveUp:
        client.GiveUp(reply.attempt, At(1));
        break;
      case Step::kOtherIncarnation:
        reply.attempt.incarnation.nonce = 99;
        break;
    }
  }
  EXPECT_EQ(last, GetParam().last);
}

INSTANTIATE_TEST_SUITE_P(
    Cases, ReplyTest,
    testing::Values(
        ReplyCase{"Leave", {Step::kReplyYes}, ReplyUse::kDispatch},
        ReplyCase{"LeaveTwice", {Step::kReplyYes, Step::kReplyYes}, ReplyUse::kIgnore},
        ReplyCase{"Refused", {Step::kReplyNo}, ReplyUse::kRefuse},
        ReplyCase{"LeaveAfterRefusal", {Step::kReplyNo, Step::kReplyYes}, ReplyUse::kIgnore},
        ReplyCase{"TooLate", {Step::kGiveUp, Step::kReplyYes}, ReplyUse::kIgnore},
        ReplyCase{
            "ForAPredecessor", {Step::kOtherIncarnation, Step::kReplyYes}, ReplyUse::kIgnore}),
    [](const auto& info) { return info.param.name; });

TEST(RequestClientTest, RepeatsAnOutcomeUntilItIsAcknowledged) {
  RequestClient client = ClientOf("e1");
  const auto begun = client.Begin(RequestId{"x"}, At(0));
  client.OnReply({RequestId{"x"}, begun->request.attempt, Registration::kMayRun});
  const auto outcome = client.Finish(begun->request.attempt, Verdict::kCompleted, At(1));
  ASSERT_TRUE(outcome);
  EXPECT_TRUE(client.Tick(At(1.4)).empty());
  EXPECT_EQ(client.Tick(At(1.5)).size(), 1U);
  client.OnOutcomeSeen({RequestId{"x"}, begun->request.attempt});
  EXPECT_TRUE(client.Tick(At(9)).empty());
}

TEST(RequestClientTest, OwnIdsAreOwnedHere) {
  RequestClient client = ClientOf("e2");
  SeededRandom random(1);
  for (int made = 0; made < 20; ++made) {
    const UuidV7 uuid = client.MakeOwnId(WallTime(std::chrono::hours(1)), random);
    EXPECT_EQ(client.Begin(uuid.id, At(0))->to, EntryId{"e2"});
  }
}

struct VerdictCase {
  std::string name;
  Registration registration;
  KeyOrigin origin;
  Verdict verdict;
};

class RegistrationVerdictTest : public testing::TestWithParam<VerdictCase> {};

// The response to a payment request is lost, and the retry reaches an owner without knowledge of
// it. After "not run" the caller would pay again under a new id.
TEST_P(RegistrationVerdictTest, ReturnsNotRunOnlyWhenNoAttemptCanHaveRun) {
  EXPECT_EQ(VerdictOf(GetParam().registration, GetParam().origin), GetParam().verdict);
}

INSTANTIATE_TEST_SUITE_P(
    Cases, RegistrationVerdictTest,
    testing::Values(
        VerdictCase{"NotReadyForACallersKey", Registration::kNotReady, KeyOrigin::kCaller,
                    Verdict::kMayHaveRun},
        VerdictCase{"NotReadyForAnOwnId", Registration::kNotReady, KeyOrigin::kEntry,
                    Verdict::kNotRun},
        VerdictCase{"FromFuture", Registration::kFromFuture, KeyOrigin::kCaller, Verdict::kNotRun},
        VerdictCase{"Full", Registration::kFull, KeyOrigin::kCaller, Verdict::kNotRun},
        VerdictCase{"TooOld", Registration::kTooOld, KeyOrigin::kCaller, Verdict::kMayHaveRun},
        VerdictCase{"Completed", Registration::kCompletedEarlier, KeyOrigin::kCaller,
                    Verdict::kCompleted}),
    [](const auto& info) { return info.param.name; });

}  // namespace
}  // namespace chervilspar::idempotency
