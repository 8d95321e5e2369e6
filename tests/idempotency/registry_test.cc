#include <optional>
#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "chervilspar/idempotency/request_registry.h"
#include "chervilspar/idempotency/uuid_v7.h"

namespace chervilspar::idempotency {
namespace {

using membership::Guard;

WallTime Wall(double seconds) {
  return WallTime(std::chrono::hours(500000) + Duration(static_cast<std::int64_t>(seconds * 1e6)));
}

membership::Self SelfOf(const std::string& name, double started) {
  return {EntryId{name}, {Wall(started), 1}, ZoneId{"a"}};
}

membership::EntryList List(config_log::ConfigVersion version,
                           const std::vector<std::string>& names) {
  membership::EntryList list;
  list.version = version;
  for (const std::string& name : names) {
    list.entries.insert(EntryId{name});
  }
  return list;
}

membership::Agreement AppliedAt(config_log::ConfigVersion version,
                                const std::vector<std::string>& awaiting = {}) {
  membership::Agreement agreement;
  agreement.version = version;
  for (const std::string& name : awaiting) {
    agreement.awaiting.insert(EntryId{name});
  }
  return agreement;
}

Attempt By(const std::string& entry, std::uint64_t number) {
  return {EntryId{entry}, {Wall(0), 1}, number};
}

RequestId MintedAt(double seconds, std::uint64_t seed = 1) {
  SeededRandom random(seed);
  return MakeUuidV7(Wall(seconds), random).id;
}

/// The only entry of a fleet, started before the first configuration.
RequestRegistry FirstOwner(RegistryBounds bounds = {}, RegistryGuards guards = {}) {
  RequestRegistry registry(SelfOf("e1", 0), std::chrono::milliseconds(500), bounds, guards);
  registry.OnMayOwn();
  registry.OnConfiguration(List(1, {"e1"}), std::chrono::milliseconds(500));
  registry.OnApplied(AppliedAt(1), Wall(0));
  return registry;
}

enum class Event { kFirst, kRepeat, kCopy, kNotRun, kMayHaveRun, kCompleted };

struct StateCase {
  std::string name;
  std::vector<Event> events;
  Registration last;
};

class StateTest : public testing::TestWithParam<StateCase> {};

TEST_P(StateTest, AnswersByWhatIsKnownOfEarlierAttempts) {
  RequestRegistry registry = FirstOwner();
  const RequestId id = MintedAt(10);
  std::uint64_t attempt = 0;
  std::optional<Registration> last;
  for (const Event event : GetParam().events) {
    if (event == Event::kFirst || event == Event::kRepeat) {
      ++attempt;
    }
    switch (event) {
      case Event::kFirst:
      case Event::kRepeat:
      case Event::kCopy:
        last = registry.OnRegister({id, By("e2", attempt)}, Wall(11)).registration;
        break;
      case Event::kNotRun:
        registry.OnOutcome({id, By("e2", attempt), Verdict::kNotRun});
        break;
      case Event::kMayHaveRun:
        registry.OnOutcome({id, By("e2", attempt), Verdict::kMayHaveRun});
        break;
      case Event::kCompleted:
        registry.OnOutcome({id, By("e2", attempt), Verdict::kCompleted});
        break;
    }
  }
  EXPECT_EQ(last, GetParam().last);
}

INSTANTIATE_TEST_SUITE_P(
    Cases, StateTest,
    testing::Values(
        StateCase{"New", {Event::kFirst}, Registration::kMayRun},
        StateCase{"CopyOfTheMessage", {Event::kFirst, Event::kCopy}, Registration::kMayRun},
        StateCase{"RepeatWhileRunning", {Event::kFirst, Event::kRepeat}, Registration::kRunning},
        StateCase{"RepeatAfterCompletion",
                  {Event::kFirst, Event::kCompleted, Event::kRepeat},
                  Registration::kCompletedEarlier},
        StateCase{"RepeatAfterMayHaveRun",
                  {Event::kFirst, Event::kMayHaveRun, Event::kRepeat},
                  Registration::kMayHaveRun},
        StateCase{"RepeatAfterNotRun",
                  {Event::kFirst, Event::kNotRun, Event::kRepeat},
                  Registration::kMayRun},
        StateCase{"LateCopyAfterNotRun",
                  {Event::kFirst, Event::kNotRun, Event::kCopy},
                  Registration::kNotReady},
        StateCase{"NotRunAfterCompletionChangesNothing",
                  {Event::kFirst, Event::kCompleted, Event::kNotRun, Event::kRepeat},
                  Registration::kCompletedEarlier}),
    [](const auto& info) { return info.param.name; });

struct AgeCase {
  std::string name;
  double minted;
  Registration registration;
};

class AgeTest : public testing::TestWithParam<AgeCase> {};

TEST_P(AgeTest, IdsOutsideTheRememberedTimeDoNotRun) {
  RequestRegistry registry = FirstOwner();
  const RegisterReply reply =
      registry.OnRegister({MintedAt(GetParam().minted), By("e2", 1)}, Wall(7200));
  EXPECT_EQ(reply.registration, GetParam().registration);
}

INSTANTIATE_TEST_SUITE_P(Cases, AgeTest,
                         testing::Values(AgeCase{"Now", 7200, Registration::kMayRun},
                                         AgeCase{"HalfAnHour", 5400, Registration::kMayRun},
                                         AgeCase{"AnHour", 3600, Registration::kTooOld},
                                         AgeCase{"SlightlyAhead", 7200.9, Registration::kMayRun},
                                         AgeCase{"FarAhead", 7202, Registration::kFromFuture}),
                         [](const auto& info) { return info.param.name; });

// The owner permits a request to run and is replaced, and the caller, who got no response, retries.
// The successor has no record of the request and would let it run a second time.
TEST(RegistryTest, SuccessorDoesNotRunIdsMintedBeforeItsOwnership) {
  for (const Guard guard : {Guard::kOn, Guard::kOff}) {
    RegistryGuards guards;
    guards.ownership_start = guard;
    RequestRegistry successor(SelfOf("e1", 100), std::chrono::milliseconds(500), {}, guards);
    successor.OnConfiguration(List(3, {"e1", "e2"}), std::chrono::milliseconds(500));
    successor.OnMayOwn();
    successor.OnApplied(AppliedAt(3), Wall(101));
    const std::set<EntryId> entries = List(3, {"e1", "e2"}).entries;
    std::uint64_t seed = 1;
    while (OwnerOf(MintedAt(99, seed), entries) != EntryId{"e1"}) {
      ++seed;
    }
    const RegisterReply reply = successor.OnRegister({MintedAt(99, seed), By("e2", 1)}, Wall(102));
    EXPECT_EQ(reply.registration,
              guard == Guard::kOn ? Registration::kMayHaveRun : Registration::kMayRun);
  }
}

// The list of entries changes while a zone is partitioned. The old owner in that zone still permits
// requests to run; the new owner must not until the old one has applied the new list.
TEST(RegistryTest, NewOwnerWaitsUntilTheOldOneHasTheNewList) {
  RequestRegistry registry(SelfOf("e2", 0), std::chrono::milliseconds(500));
  registry.OnMayOwn();
  registry.OnConfiguration(List(1, {"e1"}), std::chrono::milliseconds(500));
  registry.OnApplied(AppliedAt(1), Wall(1));
  const RequestId id = MintedAt(10);
  EXPECT_EQ(registry.OnRegister({id, By("e3", 1)}, Wall(10)).registration, Registration::kNotOwner);
  registry.OnConfiguration(List(2, {"e2"}), std::chrono::milliseconds(500));
  registry.OnApplied(AppliedAt(2, {"e1"}), Wall(11));
  EXPECT_EQ(registry.OnRegister({id, By("e3", 2)}, Wall(11)).registration, Registration::kNotReady);
  registry.OnApplied(AppliedAt(2), Wall(20));
  EXPECT_EQ(registry.OnRegister({id, By("e3", 3)}, Wall(20)).registration,
            Registration::kMayHaveRun);
  const RequestId later = MintedAt(30, 2);
  EXPECT_EQ(registry.OnRegister({later, By("e3", 4)}, Wall(30)).registration,
            Registration::kMayRun);
}

// The table is full, and the oldest id is evicted. When its caller retries, the owner has no record
// of it, so the request could run a second time.
TEST(RegistryTest, ForgottenIdsMayHaveRun) {
  for (const Guard guard : {Guard::kOn, Guard::kOff}) {
    RegistryGuards guards;
    guards.forgotten = guard;
    RequestRegistry registry = FirstOwner({.capacity = 2}, guards);
    for (int at = 0; at < 3; ++at) {
      registry.OnRegister({MintedAt(at, 7 + at), By("e2", at)}, Wall(300));
    }
    EXPECT_EQ(registry.Size(), 2U);
    const Registration again =
        registry.OnRegister({MintedAt(0, 7), By("e2", 9)}, Wall(300)).registration;
    EXPECT_EQ(again, guard == Guard::kOn ? Registration::kMayHaveRun : Registration::kMayRun);
  }
}

TEST(RegistryTest, YoungIdsAreNeverForgottenForNewOnes) {
  RequestRegistry registry = FirstOwner({.capacity = 2});
  for (int at = 0; at < 2; ++at) {
    registry.OnRegister({MintedAt(at, 7 + at), By("e2", at)}, Wall(3));
  }
  EXPECT_EQ(registry.OnRegister({MintedAt(2, 9), By("e2", 3)}, Wall(3)).registration,
            Registration::kFull);
}

// The wall clock is set back by a second after ids were evicted by age. Ids of that second then
// appear to be within the maximum age again.
TEST(RegistryTest, ClockSetBackDoesNotReviveForgottenIds) {
  RequestRegistry registry = FirstOwner();
  const RequestId id = MintedAt(10);
  registry.OnRegister({id, By("e2", 1)}, Wall(10));
  registry.Tick(Wall(3610));
  EXPECT_EQ(registry.Size(), 0U);
  EXPECT_EQ(registry.OnRegister({id, By("e2", 2)}, Wall(3609)).registration,
            Registration::kMayHaveRun);
}

// An attempt ends with "not run", and the request runs in a later attempt. A late copy of the first
// report arrives; applying it to the second attempt would let the request run twice.
TEST(RegistryTest, OutcomeCountsForItsOwnAttemptOnly) {
  for (const Guard guard : {Guard::kOn, Guard::kOff}) {
    RegistryGuards guards;
    guards.attempt_match = guard;
    RequestRegistry registry = FirstOwner({}, guards);
    const RequestId id = MintedAt(10);
    registry.OnRegister({id, By("e2", 1)}, Wall(10));
    registry.OnOutcome({id, By("e2", 1), Verdict::kNotRun});
    registry.OnRegister({id, By("e3", 1)}, Wall(11));
    registry.OnOutcome({id, By("e2", 1), Verdict::kNotRun});
    EXPECT_EQ(registry.OnRegister({id, By("e4", 1)}, Wall(12)).registration,
              guard == Guard::kOn ? Registration::kRunning : Registration::kMayRun);
  }
}

}  // namespace
}  // namespace chervilspar::idempotency
