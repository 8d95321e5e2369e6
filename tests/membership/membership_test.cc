#include "chervilspar/membership/membership.h"

#include <set>
#include <string>
#include <vector>

#include <gtest/gtest.h>

namespace chervilspar::membership {
namespace {

TimePoint At(double seconds) {
  return TimePoint(Duration(static_cast<std::int64_t>(seconds * 1e6)));
}

Incarnation IncarnationOf(std::uint64_t number) {
  return {WallTime(std::chrono::seconds(1000 + number)), number};
}

Self Me() { return {EntryId{"e1"}, IncarnationOf(1), ZoneId{"a"}}; }

std::set<EntryId> Entries(const std::vector<std::string>& names) {
  std::set<EntryId> entries;
  for (const std::string& name : names) {
    entries.insert(EntryId{name});
  }
  return entries;
}

EntryList List(config_log::ConfigVersion version, const std::vector<std::string>& names) {
  EntryList list;
  list.version = version;
  list.entries = Entries(names);
  return list;
}

Heartbeat HeartbeatOf(const std::string& from, config_log::ConfigVersion version,
                      double sent_at = 1, std::uint64_t incarnation = 1) {
  Heartbeat heartbeat;
  heartbeat.from = EntryId{from};
  heartbeat.incarnation = IncarnationOf(incarnation);
  heartbeat.applied_version = version;
  heartbeat.settled_version = version;
  heartbeat.sent_at.wall = WallTime(Duration(static_cast<std::int64_t>(sent_at * 1e6)));
  return heartbeat;
}

struct AgreementCase {
  std::string name;
  std::vector<EntryList> lists;
  std::vector<Heartbeat> heartbeats;
  std::vector<std::string> awaiting;
};

class AgreementTest : public testing::TestWithParam<AgreementCase> {};

TEST_P(AgreementTest, AwaitsEntriesThatMayStillApplyAnOlderConfiguration) {
  Membership membership(Me(), At(0));
  for (const EntryList& list : GetParam().lists) {
    membership.OnConfiguration(list);
  }
  for (const Heartbeat& heartbeat : GetParam().heartbeats) {
    membership.OnHeartbeat(heartbeat, At(1));
  }
  EXPECT_EQ(membership.Applied().awaiting, Entries(GetParam().awaiting));
}

EntryList WithFormer(EntryList list, const std::vector<std::string>& former) {
  list.former = Entries(former);
  return list;
}

EntryList WithGone(EntryList list, const std::vector<std::string>& gone) {
  list.gone = Entries(gone);
  return list;
}

Heartbeat ReportingAppliedByAll(Heartbeat heartbeat, config_log::ConfigVersion version) {
  heartbeat.applied_by_all = version;
  return heartbeat;
}

INSTANTIATE_TEST_SUITE_P(
    Cases, AgreementTest,
    testing::Values(AgreementCase{"NoHeartbeat", {List(1, {"e1", "e2", "e3"})}, {}, {"e2", "e3"}},
                    AgreementCase{"AllReported",
                                  {List(1, {"e1", "e2", "e3"})},
                                  {HeartbeatOf("e2", 1), HeartbeatOf("e3", 1)},
                                  {}},
                    AgreementCase{"OneBehind",
                                  {List(2, {"e1", "e2", "e3"})},
                                  {HeartbeatOf("e2", 2), HeartbeatOf("e3", 1)},
                                  {"e3"}},
                    AgreementCase{"OneAheadNeverConfirmedThis",
                                  {List(2, {"e1", "e2", "e3"})},
                                  {HeartbeatOf("e2", 2), HeartbeatOf("e3", 3)},
                                  {"e3"}},
                    AgreementCase{"RemovedIsStillAwaited",
                                  {List(1, {"e1", "e2", "e3"}), List(2, {"e1", "e2"})},
                                  {HeartbeatOf("e2", 2)},
                                  {"e3"}},
                    AgreementCase{"RemovedBeforeTheStart",
                                  {WithFormer(List(2, {"e1", "e2"}), {"e3"})},
                                  {HeartbeatOf("e2", 2)},
                                  {"e3"}},
                    AgreementCase{"RemovedAndConfirmed",
                                  {List(1, {"e1", "e2", "e3"}), List(2, {"e1", "e2"})},
                                  {HeartbeatOf("e2", 2), HeartbeatOf("e3", 2)},
                                  {}},
                    AgreementCase{
                        "DeclaredGone",
                        {List(1, {"e1", "e2", "e3"}), WithGone(List(2, {"e1", "e2"}), {"e3"})},
                        {HeartbeatOf("e2", 2)},
                        {}},
                    AgreementCase{"DeclaredGoneWithinTheVersion",
                                  {List(1, {"e1", "e2", "e3"}), List(2, {"e1", "e2"}),
                                   WithGone(List(2, {"e1", "e2"}), {"e3"})},
                                  {HeartbeatOf("e2", 2)},
                                  {}},
                    AgreementCase{"ReportedAppliedByAll",
                                  {List(2, {"e1", "e2", "e3"})},
                                  {ReportingAppliedByAll(HeartbeatOf("e2", 2), 2)},
                                  {}},
                    AgreementCase{"ReportedOlderAppliedByAll",
                                  {List(2, {"e1", "e2", "e3"})},
                                  {ReportingAppliedByAll(HeartbeatOf("e2", 2), 1)},
                                  {"e3"}}),
    [](const auto& info) { return info.param.name; });

TEST(MembershipTest, RemovedEntryThatHasConfirmedNeedNotConfirmLaterVersions) {
  Membership membership(Me(), At(0));
  membership.OnConfiguration(List(1, {"e1", "e2"}));
  membership.OnConfiguration(List(2, {"e1"}));
  membership.OnSettled(2);
  EXPECT_FALSE(membership.Applied().IsReachedByAll());
  membership.OnHeartbeat(HeartbeatOf("e2", 2), At(1));
  EXPECT_TRUE(membership.Applied().IsReachedByAll());
  membership.OnConfiguration(WithFormer(List(3, {"e1"}), {"e2"}));
  EXPECT_TRUE(membership.Applied().IsReachedByAll());
}

struct IncarnationCase {
  std::string name;
  std::vector<Heartbeat> earlier;
  Heartbeat heartbeat;
  double at;
  HeartbeatOutcome outcome;
};

class IncarnationTest : public testing::TestWithParam<IncarnationCase> {};

TEST_P(IncarnationTest, DistinguishesIncarnations) {
  Membership membership(Me(), At(0));
  membership.OnConfiguration(List(1, {"e1", "e2"}));
  for (const Heartbeat& heartbeat : GetParam().earlier) {
    membership.OnHeartbeat(heartbeat, At(1));
  }
  EXPECT_EQ(membership.OnHeartbeat(GetParam().heartbeat, At(GetParam().at)), GetParam().outcome);
}

INSTANTIATE_TEST_SUITE_P(
    Cases, IncarnationTest,
    testing::Values(
        IncarnationCase{"First", {}, HeartbeatOf("e2", 1), 1, HeartbeatOutcome::kNewPeer},
        IncarnationCase{"Next",
                        {HeartbeatOf("e2", 1, 1)},
                        HeartbeatOf("e2", 1, 2),
                        2,
                        HeartbeatOutcome::kKnownIncarnation},
        IncarnationCase{"Reordered",
                        {HeartbeatOf("e2", 1, 2)},
                        HeartbeatOf("e2", 1, 1),
                        2,
                        HeartbeatOutcome::kIgnored},
        IncarnationCase{"Replaced",
                        {HeartbeatOf("e2", 1, 1, 1)},
                        HeartbeatOf("e2", 1, 1, 2),
                        2,
                        HeartbeatOutcome::kNewIncarnation},
        IncarnationCase{"LateHeartbeatOfTheOldIncarnation",
                        {HeartbeatOf("e2", 1, 1, 2)},
                        HeartbeatOf("e2", 1, 9, 1),
                        2,
                        HeartbeatOutcome::kIgnored},
        IncarnationCase{"ReplacementWithASlowClock",
                        {HeartbeatOf("e2", 1, 9, 2)},
                        HeartbeatOf("e2", 1, 1, 1),
                        4,
                        HeartbeatOutcome::kNewIncarnation},
        IncarnationCase{"UnknownSender", {}, HeartbeatOf("e9", 1), 1, HeartbeatOutcome::kIgnored},
        IncarnationCase{
            "NewlyListedElsewhere", {}, HeartbeatOf("e9", 2), 1, HeartbeatOutcome::kNewPeer},
        IncarnationCase{"Itself", {}, HeartbeatOf("e1", 1), 1, HeartbeatOutcome::kIgnored}),
    [](const auto& info) { return info.param.name; });

struct ReachabilityCase {
  std::string name;
  double since_last_contact;
  Reachability reachability;
};

class ReachabilityTest : public testing::TestWithParam<ReachabilityCase> {};

TEST_P(ReachabilityTest, DependsOnTheOwnClock) {
  Membership membership(Me(), At(0));
  membership.OnConfiguration(List(1, {"e1", "e2"}));
  membership.OnHeartbeat(HeartbeatOf("e2", 1), At(10));
  EXPECT_EQ(membership.View(EntryId{"e2"}, At(10 + GetParam().since_last_contact)).reachability,
            GetParam().reachability);
}

INSTANTIATE_TEST_SUITE_P(
    Cases, ReachabilityTest,
    testing::Values(ReachabilityCase{"JustReceived", 0, Reachability::kReachable},
                    ReachabilityCase{"ThreeLost", 1.9, Reachability::kReachable},
                    ReachabilityCase{"FourLost", 2.0, Reachability::kUnresponsive}),
    [](const auto& info) { return info.param.name; });

// The process is paused and detects this only by its clock. By its state from before the pause, it
// would send work to endpoints that have left in the meantime.
TEST(MembershipTest, ReportsItsOwnPause) {
  Membership membership(Me(), At(0));
  EXPECT_FALSE(membership.Tick(At(0.5)));
  const std::optional<Pause> pause = membership.Tick(At(60));
  ASSERT_TRUE(pause);
  EXPECT_EQ(pause->from, At(0.5));
}

TEST(MembershipTest, OwnsNothingBeforeTheLogIsReadToItsEnd) {
  Membership membership(Me(), At(0));
  membership.OnConfiguration(List(1, {"e1", "e2"}));
  EXPECT_FALSE(membership.MayOwn());
  membership.OnReadToEnd();
  EXPECT_TRUE(membership.MayOwn());
}

TEST(MembershipDeathTest, DecreasingVersionStopsTheProcess) {
  Membership membership(Me(), At(0));
  membership.OnConfiguration(List(2, {"e1"}));
  EXPECT_DEATH(membership.OnConfiguration(List(1, {"e1"})), "assertion failed");
}

}  // namespace
}  // namespace chervilspar::membership
