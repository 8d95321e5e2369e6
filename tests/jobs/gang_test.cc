#include <algorithm>
#include <functional>

#include <gtest/gtest.h>

#include "tests/jobs/scheduler_harness.h"

namespace chervilspar::jobs {
namespace {

using std::chrono::milliseconds;
using Harness = SchedulerHarness;

/// Endpoints end a member that has waited this long for the others.
constexpr Duration kMemberTimeout = std::chrono::seconds(3);
/// Interval of the renewals of the active member.
constexpr Duration kRenewalInterval = milliseconds(100);

/// A gang of two, each of which fills an endpoint.
Job MakeGang() {
  Step step = Harness::MakeStep(2, 8000);
  step.is_gang = true;
  return Harness::MakeJob(1, {step});
}

const StartOrder& At(const std::vector<StartOrder>& starts, const std::string& endpoint) {
  return *std::find_if(starts.begin(), starts.end(),
                       [&](const StartOrder& start) { return start.endpoint == endpoint; });
}

/// What happens to the member at "b" while the one at "a" is active.
struct MemberCase {
  const char* name;
  /// Called with each renewal, with the start of the member at "b".
  std::function<void(Harness&, const StartOrder&)> happen;
  /// The duration after which the claim of the member has been released.
  Duration released_after;
};

void Answer(Harness& harness, const StartOrder& start, OrderOutcome outcome) {
  harness.scheduler.OnStartAnswered(start, outcome, harness.now);
}

void Confirm(Harness& harness, const StartOrder& start) {
  Answer(harness, start, OrderOutcome::kDone);
}

/// Guards against members that wait for one that was ordered but never started, until their
/// endpoints end them for lack of the others.
class GangWithoutAMember : public ::testing::TestWithParam<MemberCase> {};

TEST_P(GangWithoutAMember, IsStopped) {
  Harness harness;
  harness.Register({Harness::Endpoint("a"), Harness::Endpoint("b")});
  harness.scheduler.AddJob(MakeGang(), WallTime{});
  const std::vector<StartOrder> starts = harness.Round().starts;
  ASSERT_EQ(starts.size(), 2U);
  Confirm(harness, At(starts, "a"));
  bool is_stopped = false;
  const TimePoint end = harness.now + GetParam().released_after;
  while (harness.now < end && !is_stopped) {
    harness.scheduler.SetProof(harness.now);
    GetParam().happen(harness, At(starts, "b"));
    harness.AdvanceTime(kRenewalInterval);
    harness.AnswerRenewal("a", {Harness::Active(At(starts, "a"))}, {});
    const Orders orders = harness.Round();
    is_stopped = std::any_of(orders.stops.begin(), orders.stops.end(),
                             [](const StopOrder& stop) { return stop.endpoint == "a"; });
  }
  EXPECT_TRUE(is_stopped);
}

INSTANTIATE_TEST_SUITE_P(
    Members, GangWithoutAMember,
    ::testing::Values(MemberCase{"refused",
                                 [](Harness& harness, const StartOrder& start) {
                                   Answer(harness, start, OrderOutcome::kNoCapacity);
                                 },
                                 kMemberTimeout},
                      MemberCase{"never_answered",
                                 [](Harness& harness, const StartOrder& start) {
                                   Answer(harness, start, OrderOutcome::kNoAnswer);
                                 },
                                 kMemberTimeout},
                      MemberCase{"refused_after_a_lost_answer",
                                 [](Harness& harness, const StartOrder& start) {
                                   Answer(harness, start, OrderOutcome::kNoAnswer);
                                   harness.AdvanceTime(SchedulerOptions{}.start_retry);
                                   harness.Round();
                                   Answer(harness, start, OrderOutcome::kNoCapacity);
                                 },
                                 kMemberTimeout},
                      MemberCase{"confirmed_and_not_listed",
                                 [](Harness& harness, const StartOrder& start) {
                                   Confirm(harness, start);
                                   harness.AdvanceTime(kRenewalInterval);
                                   harness.AnswerRenewal("b", {}, {});
                                 },
                                 kMemberTimeout},
                      MemberCase{"its_endpoint_restarted",
                                 [](Harness& harness, const StartOrder& start) {
                                   Confirm(harness, start);
                                   harness.AnswerRenewal("b", {}, {}, 2);
                                 },
                                 kMemberTimeout},
                      MemberCase{"another_endpoint_at_its_address",
                                 [](Harness& harness, const StartOrder& start) {
                                   Answer(harness, start, OrderOutcome::kOtherIncarnation);
                                 },
                                 kMemberTimeout},
                      MemberCase{"lease_lapsed",
                                 [](Harness& harness, const StartOrder& start) {
                                   Confirm(harness, start);
                                   harness.scheduler.OnRenewalFailed("b", OrderOutcome::kNoAnswer,
                                                                     harness.now);
                                 },
                                 SchedulerOptions{}.LongestLease() + std::chrono::seconds(1)}),
    [](const auto& info) { return info.param.name; });

struct RackCase {
  const char* name;
  /// Endpoints on each of three racks.
  int endpoints;
  /// Runs beside the gang: one task on each endpoint, or none if its count is 0.
  Step running;
  /// How many of the gang's three members, of which each takes most of an endpoint, start at once.
  std::size_t starts;
};

Step OnEach(std::uint32_t count, std::int64_t cpu, bool is_long_running) {
  Step step = Harness::MakeStep(count, cpu);
  step.max_per_endpoint = 1;
  step.is_long_running = is_long_running;
  return step;
}

class GangForOneRack : public ::testing::TestWithParam<RackCase> {};

/// Guards against a gang that waits until it is nearly late for one rack to hold it, although none
/// ever will.
TEST_P(GangForOneRack, SpreadsIfNoRackWillHoldIt) {
  Harness harness;
  std::vector<EndpointRecord> records;
  for (int i = 0; i < GetParam().endpoints; ++i) {
    for (const char* rack : {"a", "b", "c"}) {
      records.push_back(Harness::Endpoint(std::to_string(i) + rack));
      records.back().rack = rack;
    }
  }
  harness.Register(records);
  const WallTime now(harness.now.time_since_epoch());
  if (GetParam().running.count > 0) {
    harness.scheduler.AddJob(Harness::MakeJob(1, {GetParam().running}), now);
    harness.StartAll();
  }
  Step gang = Harness::MakeStep(3, 6000);
  gang.is_gang = true;
  gang.prefers_one_rack = true;
  gang.estimate_ms = 60000;
  harness.scheduler.AddJob(Harness::MakeJob(2, {gang}), now);
  EXPECT_EQ(harness.StartAll().size(), GetParam().starts);
}

INSTANTIATE_TEST_SUITE_P(
    Racks, GangForOneRack,
    ::testing::Values(RackCase{"one_endpoint_each", 1, OnEach(0, 0, false), 3},
                      RackCase{"one_endpoint_each_beside_batch", 1, OnEach(3, 1000, false), 3},
                      // One endpoint of each rack is left for the gang.
                      RackCase{"full_of_serving_tasks", 3, OnEach(6, 3000, true), 3},
                      RackCase{"one_is_free", 3, OnEach(0, 0, false), 3},
                      RackCase{"one_will_be_free", 3, OnEach(6, 3000, false), 0}),
    [](const auto& info) { return info.param.name; });

/// Guards against a successor that keeps members of a gang that its predecessor never started
/// completely.
TEST(Gang, ASuccessorStopsMembersOfAnIncompleteGang) {
  Harness before;
  before.Register({Harness::Endpoint("a"), Harness::Endpoint("b")});
  before.scheduler.AddJob(MakeGang(), WallTime{});
  const std::vector<StartOrder> starts = before.Round().starts;
  ASSERT_EQ(starts.size(), 2U);
  Harness after{{}, 2};
  after.scheduler.SetEndpoints(before.endpoints, after.now);
  after.scheduler.AddJob(MakeGang(), WallTime{});
  after.scheduler.RestoreProgress(JobId{1}, *DecodeProgress(before.stored.at(JobId{1})));
  after.AnswerRenewal("a", {Harness::Active(At(starts, "a"))}, {});
  after.AnswerRenewal("b", {}, {});
  const Orders orders = after.Round();
  ASSERT_EQ(orders.stops.size(), 1U);
  EXPECT_EQ(orders.stops[0].endpoint, "a");
}

/// What happens to one endpoint while the placement of a gang is being stored.
struct WithdrawalCase {
  const char* name;
  std::function<void(Harness&, const std::string&)> happen;
};

/// Guards against starting the rest of a gang after the start of one member is withdrawn.
class GangBeingStored : public ::testing::TestWithParam<WithdrawalCase> {};

TEST_P(GangBeingStored, StartsTogetherOrNotAtAll) {
  for (const char* endpoint : {"a", "b"}) {
    Harness harness;
    harness.Register({Harness::Endpoint("a"), Harness::Endpoint("b")});
    harness.scheduler.AddJob(MakeGang(), WallTime{});
    harness.Decide();
    ASSERT_FALSE(harness.scheduler.TakeBatch().IsEmpty());
    GetParam().happen(harness, endpoint);
    EXPECT_TRUE(harness.scheduler.ConfirmBatch(harness.now).starts.empty()) << endpoint;
  }
}

INSTANTIATE_TEST_SUITE_P(
    Changes, GangBeingStored,
    ::testing::Values(WithdrawalCase{"evacuating",
                                     [](Harness& harness, const std::string& id) {
                                       harness.scheduler.BeginEvacuation(id, harness.now);
                                     }},
                      WithdrawalCase{"draining",
                                     [](Harness& harness, const std::string& id) {
                                       for (EndpointRecord& record : harness.endpoints) {
                                         record.is_draining = record.id == id;
                                       }
                                       harness.scheduler.SetEndpoints(harness.endpoints,
                                                                      harness.now);
                                     }},
                      WithdrawalCase{
                          "unregistered",
                          [](Harness& harness, const std::string& id) {
                            std::erase_if(harness.endpoints, [&](const EndpointRecord& record) {
                              return record.id == id;
                            });
                            harness.scheduler.SetEndpoints(harness.endpoints, harness.now);
                          }},
                      WithdrawalCase{"another_endpoint_at_its_address",
                                     [](Harness& harness, const std::string& id) {
                                       harness.scheduler.OnRenewalFailed(
                                           id, OrderOutcome::kOtherIncarnation, harness.now);
                                     }},
                      WithdrawalCase{"restarted",
                                     [](Harness& harness, const std::string& id) {
                                       harness.AnswerRenewal(id, {}, {}, 2);
                                     }}),
    [](const auto& info) { return info.param.name; });

}  // namespace
}  // namespace chervilspar::jobs
