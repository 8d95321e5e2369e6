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

Incarnation Life(std::uint64_t number) {
  return {WallTime(std::chrono::seconds(1000 + number)), number};
}

Self Me() { return {EntryId{"e1"}, Life(1), ZoneId{"a"}}; }

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

Heartbeat Beat(const std::string& from, config_log::ConfigVersion version, double sent_at = 1,
               std::uint64_t life = 1) {
  Heartbeat beat;
  beat.from = EntryId{from};
  beat.incarnation = Life(life);
  beat.applied_version = version;
  beat.settled_version = version;
  beat.sent_at.wall = WallTime(Duration(static_cast<std::int64_t>(sent_at * 1e6)));
  return beat;
}

struct AgreementCase {
  std::string name;
  std::vector<EntryList> lists;
  std::vector<Heartbeat> heartbeats;
  std::vector<std::string> awaiting;
};

class AgreementTest : public testing::TestWithParam<AgreementCase> {};

TEST_P(AgreementTest, AwaitsWhoMayStillActByAnOlderConfiguration) {
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

Heartbeat Vouching(Heartbeat beat, config_log::ConfigVersion version) {
  beat.applied_by_all = version;
  return beat;
}

INSTANTIATE_TEST_SUITE_P(
    Cases, AgreementTest,
    testing::Values(
        AgreementCase{"NobodyHeard", {List(1, {"e1", "e2", "e3"})}, {}, {"e2", "e3"}},
        AgreementCase{
            "AllHeard", {List(1, {"e1", "e2", "e3"})}, {Beat("e2", 1), Beat("e3", 1)}, {}},
        AgreementCase{
            "OneBehind", {List(2, {"e1", "e2", "e3"})}, {Beat("e2", 2), Beat("e3", 1)}, {"e3"}},
        AgreementCase{"OneAheadNeverPromisedThis",
                      {List(2, {"e1", "e2", "e3"})},
                      {Beat("e2", 2), Beat("e3", 3)},
                      {"e3"}},
        AgreementCase{"RemovedIsStillAwaited",
                      {List(1, {"e1", "e2", "e3"}), List(2, {"e1", "e2"})},
                      {Beat("e2", 2)},
                      {"e3"}},
        AgreementCase{"RemovedBeforeThisLife",
                      {WithFormer(List(2, {"e1", "e2"}), {"e3"})},
                      {Beat("e2", 2)},
                      {"e3"}},
        AgreementCase{"RemovedAndConfirmed",
                      {List(1, {"e1", "e2", "e3"}), List(2, {"e1", "e2"})},
                      {Beat("e2", 2), Beat("e3", 2)},
                      {}},
        AgreementCase{"DeclaredGone",
                      {List(1, {"e1", "e2", "e3"}), WithGone(List(2, {"e1", "e2"}), {"e3"})},
                      {Beat("e2", 2)},
                      {}},
        AgreementCase{"DeclaredGoneWithinTheVersion",
                      {List(1, {"e1", "e2", "e3"}), List(2, {"e1", "e2"}),
                       WithGone(List(2, {"e1", "e2"}), {"e3"})},
                      {Beat("e2", 2)},
                      {}},
        AgreementCase{
            "VouchedFor", {List(2, {"e1", "e2", "e3"})}, {Vouching(Beat("e2", 2), 2)}, {}},
        AgreementCase{"VouchedForAnOlderOne",
                      {List(2, {"e1", "e2", "e3"})},
                      {Vouching(Beat("e2", 2), 1)},
                      {"e3"}}),
    [](const auto& info) { return info.param.name; });

TEST(MembershipTest, RemovedEntryThatHasConfirmedNeedNotConfirmLaterVersions) {
  Membership membership(Me(), At(0));
  membership.OnConfiguration(List(1, {"e1", "e2"}));
  membership.OnConfiguration(List(2, {"e1"}));
  membership.OnSettled(2);
  EXPECT_FALSE(membership.Applied().IsReachedByAll());
  membership.OnHeartbeat(Beat("e2", 2), At(1));
  EXPECT_TRUE(membership.Applied().IsReachedByAll());
  membership.OnConfiguration(WithFormer(List(3, {"e1"}), {"e2"}));
  EXPECT_TRUE(membership.Applied().IsReachedByAll());
}

struct LifeCase {
  std::string name;
  std::vector<Heartbeat> earlier;
  Heartbeat heartbeat;
  double at;
  HeartbeatNews news;
};

class LifeTest : public testing::TestWithParam<LifeCase> {};

TEST_P(LifeTest, TellsLivesApart) {
  Membership membership(Me(), At(0));
  membership.OnConfiguration(List(1, {"e1", "e2"}));
  for (const Heartbeat& heartbeat : GetParam().earlier) {
    membership.OnHeartbeat(heartbeat, At(1));
  }
  EXPECT_EQ(membership.OnHeartbeat(GetParam().heartbeat, At(GetParam().at)), GetParam().news);
}

INSTANTIATE_TEST_SUITE_P(
    Cases, LifeTest,
    testing::Values(
        LifeCase{"First", {}, Beat("e2", 1), 1, HeartbeatNews::kNewPeer},
        LifeCase{"Next", {Beat("e2", 1, 1)}, Beat("e2", 1, 2), 2, HeartbeatNews::kNothing},
        LifeCase{"Reordered", {Beat("e2", 1, 2)}, Beat("e2", 1, 1), 2, HeartbeatNews::kIgnored},
        LifeCase{"Replaced",
                 {Beat("e2", 1, 1, 1)},
                 Beat("e2", 1, 1, 2),
                 2,
                 HeartbeatNews::kNewIncarnation},
        LifeCase{"LateWordOfTheOldLife",
                 {Beat("e2", 1, 1, 2)},
                 Beat("e2", 1, 9, 1),
                 2,
                 HeartbeatNews::kIgnored},
        LifeCase{"ReplacementWithASlowClock",
                 {Beat("e2", 1, 9, 2)},
                 Beat("e2", 1, 1, 1),
                 4,
                 HeartbeatNews::kNewIncarnation},
        LifeCase{"Stranger", {}, Beat("e9", 1), 1, HeartbeatNews::kIgnored},
        LifeCase{"NewlyListedElsewhere", {}, Beat("e9", 2), 1, HeartbeatNews::kNewPeer},
        LifeCase{"Itself", {}, Beat("e1", 1), 1, HeartbeatNews::kIgnored}),
    [](const auto& info) { return info.param.name; });

struct FreshnessCase {
  std::string name;
  double heard_ago;
  Freshness freshness;
};

class FreshnessTest : public testing::TestWithParam<FreshnessCase> {};

TEST_P(FreshnessTest, ComesFromTheOwnClock) {
  Membership membership(Me(), At(0));
  membership.OnConfiguration(List(1, {"e1", "e2"}));
  membership.OnHeartbeat(Beat("e2", 1), At(10));
  EXPECT_EQ(membership.View(EntryId{"e2"}, At(10 + GetParam().heard_ago)).freshness,
            GetParam().freshness);
}

INSTANTIATE_TEST_SUITE_P(Cases, FreshnessTest,
                         testing::Values(FreshnessCase{"JustHeard", 0, Freshness::kFresh},
                                         FreshnessCase{"ThreeLost", 1.9, Freshness::kFresh},
                                         FreshnessCase{"FourLost", 2.0, Freshness::kSilent}),
                         [](const auto& info) { return info.param.name; });

// The process is stopped for a while and knows nothing of it but by its clock. On what it knew
// before it would send work to endpoints that have left meanwhile.
TEST(MembershipTest, TellsOfItsOwnPause) {
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

TEST(MembershipDeathTest, VersionThatGoesBackStopsTheProcess) {
  Membership membership(Me(), At(0));
  membership.OnConfiguration(List(2, {"e1"}));
  EXPECT_DEATH(membership.OnConfiguration(List(1, {"e1"})), "assertion failed");
}

}  // namespace
}  // namespace chervilspar::membership
