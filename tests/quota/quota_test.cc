#include "chervilspar/quota/quota.h"

#include <string>

#include <gtest/gtest.h>

#include "tests/quota/lending_pair.h"

namespace chervilspar::quota {
namespace {

using membership::Guard;

struct BorrowCase {
  std::string name;
  std::uint32_t limit;
  /// Requests that wait at e1.
  std::uint32_t waiting;
  /// Number of ticks of e1, 200 ms apart.
  int ticks;
  /// Bounds on the number of tasks that e1 starts.
  std::uint32_t min_started;
  std::uint32_t max_started;
};

class BorrowTest : public testing::TestWithParam<BorrowCase> {};

TEST_P(BorrowTest, BusyEntryBorrowsIdleUnitsOfTheOther) {
  const BorrowCase& param = GetParam();
  LendingPair pair(param.limit);
  std::uint32_t started = 0;
  for (int tick = 0; tick < param.ticks; ++tick) {
    const double at = 0.1 + 0.2 * tick;
    pair.Borrow(param.waiting, at);
    started += pair.StartAll(pair.e1, at);
  }
  EXPECT_GE(started, param.min_started);
  EXPECT_LE(started, param.max_started);
}

INSTANTIATE_TEST_SUITE_P(Cases, BorrowTest,
                         testing::Values(BorrowCase{"OwnUnitsOnly", 10, 0, 1, 5, 5},
                                         BorrowCase{"HalfOfIdleAtOnce", 10, 10, 1, 8, 8},
                                         BorrowCase{"AllAfterSeveralTicks", 10, 10, 8, 10, 10},
                                         BorrowCase{"LimitOfOne", 1, 1, 2, 1, 1},
                                         BorrowCase{"LimitOfZero", 0, 3, 3, 0, 0}),
                         [](const auto& info) { return info.param.name; });

/// Number of loan requests that e1 sends from `from` until `until`, in seconds, while e2 is at its
/// limit.
std::size_t CountSentRequests(LendingPair& pair, double from, double until) {
  std::size_t sent = 0;
  for (double at = from; at < until; at += 0.05) {
    std::vector<LendingMessage> messages = pair.e1.Tick(At(at));
    for (const LendingMessage& message : messages) {
      sent += message.requests.size();
    }
    Exchange(pair.e1, pair.e2, messages, At(at));
  }
  return sent;
}

// A team is at its limit everywhere and requests wait at every entry. If each entry kept asking the
// others at a fixed rate, a few such teams would use up the bandwidth of control messages.
TEST(QuotaTest, BacksOffWhileAllUnitsAreInUse) {
  LendingPair pair(2);
  ASSERT_EQ(pair.StartAll(pair.e1, 0), 1U);
  ASSERT_EQ(pair.StartAll(pair.e2, 0), 1U);
  pair.e1.SetWaiting(pair.team, 1);
  EXPECT_LE(CountSentRequests(pair, 0, 10), 10U);
}

// After many declines the borrower asks only every few seconds. Without a notice from the lender, a
// unit that becomes free would stay idle for that long while a request waits for it.
TEST(QuotaTest, LenderNotifiesDeclinedBorrowersWhenItHasUnits) {
  LendingPair pair(2);
  ASSERT_EQ(pair.StartAll(pair.e1, 0), 1U);
  ASSERT_TRUE(pair.e2.TryStart(pair.team, TaskId{"busy"}, At(0), Wall(0)));
  pair.e1.SetWaiting(pair.team, 1);
  CountSentRequests(pair, 0, 10);
  pair.e2.OnEnded(TaskId{"busy"}, At(10));
  Exchange(pair.e1, pair.e2, pair.e2.Tick(At(10.05)), At(10.05));
  EXPECT_EQ(pair.StartAll(pair.e1, 10.05), 1U);
}

TEST(QuotaTest, IdleBorrowerReturnsUnits) {
  LendingPair pair(10);
  pair.Borrow(10, 0.1);
  EXPECT_GT(pair.e2.Units(pair.team, At(0.1)).lent, 0U);
  pair.e1.SetWaiting(pair.team, 0);
  Exchange(pair.e1, pair.e2, pair.e1.Tick(At(1)), At(1));
  EXPECT_EQ(pair.e2.Units(pair.team, At(1)).lent, 0U);
  EXPECT_TRUE(pair.e1.IsIdle());
}

// A zone is cut off just after an entry in it has borrowed units. The lender can't know whether
// tasks run on them; if it reused them early, the team would run more tasks than its limit.
TEST(QuotaTest, LenderCountsAnUnreturnedLoanUntilItsTasksMustHaveEnded) {
  LendingPair pair(2);
  pair.Borrow(2, 0);
  ASSERT_EQ(pair.StartAll(pair.e1, 4.9), 2U);
  EXPECT_EQ(pair.StartAll(pair.e2, 5.1), 0U);
  EXPECT_EQ(pair.StartAll(pair.e2, 65.4), 0U);
  EXPECT_EQ(pair.StartAll(pair.e2, 65.7), 1U);
}

TEST(QuotaTest, WithoutLenderExpiryAUnitIsUsedTwice) {
  QuotaGuards guards;
  guards.lender_expiry = Guard::kOff;
  LendingPair pair(2, guards);
  pair.Borrow(2, 0);
  ASSERT_EQ(pair.StartAll(pair.e1, 4.9), 2U);
  EXPECT_EQ(pair.StartAll(pair.e2, 5.1), 1U);
}

// A borrower is paused for longer than the lease of its loan. When it resumes, its lender may
// already use the unit again, and the team would run one task too many.
TEST(QuotaTest, PausedBorrowerStartsNothingOnAnExpiredLoan) {
  LendingPair pair(2);
  pair.Borrow(2, 0);
  EXPECT_EQ(pair.StartAll(pair.e1, 70), 1U);
  EXPECT_GT(pair.e1.RefusalCount(QuotaRefusal::kLoanExpired), 0U);
}

TEST(QuotaTest, WithoutTheLeaseCheckAPausedBorrowerUsesAnExpiredLoan) {
  QuotaGuards guards;
  guards.borrower_lease = Guard::kOff;
  LendingPair pair(2, guards);
  pair.Borrow(2, 0);
  EXPECT_EQ(pair.StartAll(pair.e1, 70), 2U);
}

// The process is paused between the check of the limit and the sending of the request. The task
// reaches the endpoint a minute late, when its unit serves another task; only the endpoint can
// refuse it.
TEST(QuotaTest, StartByNeverExceedsTheLeaseOfTheLoan) {
  LendingPair pair(2);
  pair.Borrow(2, 0);
  ASSERT_TRUE(pair.e1.TryStart(pair.team, TaskId{"own"}, At(4), Wall(4)));
  const Result<StartPermit> permit =
      pair.e1.TryStart(pair.team, TaskId{"borrowed"}, At(4), Wall(4));
  ASSERT_TRUE(permit);
  EXPECT_LE(permit->start_by, Wall(5));
  EXPECT_LE(permit->task_lease, std::chrono::seconds(60));
}

// The network delays a grant beyond the lease. The borrower counts the lease from its request, so
// that it never uses a unit that the lender may count as free again.
TEST(QuotaTest, LateGrantIsReturnedUnused) {
  LendingPair pair(2);
  pair.e1.SetWaiting(pair.team, 2);
  const auto requests = pair.e1.Tick(At(0));
  ASSERT_EQ(requests.size(), 1U);
  const auto grants = pair.e2.OnMessage(requests[0], At(0.1));
  ASSERT_EQ(grants.size(), 1U);
  pair.e1.SetWaiting(pair.team, 0);
  pair.e1.Tick(At(6));
  const auto returns = pair.e1.OnMessage(grants[0], At(6));
  EXPECT_EQ(pair.e1.RefusalCount(QuotaRefusal::kLateGrant), 1U);
  EXPECT_EQ(pair.StartAll(pair.e1, 6), 1U);
  Exchange(pair.e1, pair.e2, returns, At(6));
  EXPECT_EQ(pair.e2.Units(pair.team, At(6)).lent, 0U);
}

// The network delivers a grant twice, the second time after the units were returned. Accepting it
// again would use units that the lender counts as free.
TEST(QuotaTest, DuplicateGrantIsNotAcceptedAgain) {
  LendingPair pair(2);
  pair.e1.SetWaiting(pair.team, 2);
  const auto grants = pair.e2.OnMessage(pair.e1.Tick(At(0)).at(0), At(0));
  Exchange(pair.e1, pair.e2, pair.e1.OnMessage(grants.at(0), At(0)), At(0));
  pair.e1.SetWaiting(pair.team, 0);
  Exchange(pair.e1, pair.e2, pair.e1.Tick(At(1)), At(1));
  ASSERT_EQ(pair.StartAll(pair.e2, 1), 1U);
  Exchange(pair.e1, pair.e2, pair.e1.OnMessage(grants.at(0), At(1.1)), At(1.1));
  EXPECT_EQ(pair.StartAll(pair.e1, 1.2), 1U);
}

// The borrower is replaced while tasks run on its loans. Its successor doesn't know the loans; a
// return that it sends must not free the units.
TEST(QuotaTest, SuccessorOfABorrowerFreesNothing) {
  LendingPair pair(2);
  pair.Borrow(2, 0);
  ASSERT_EQ(pair.StartAll(pair.e1, 0), 2U);
  LendingMessage message;
  message.from = EntryId{"e1"};
  message.from_incarnation = SelfOf("e1", 2).incarnation;
  message.to = EntryId{"e2"};
  message.returns.push_back({{EntryId{"e2"}, SelfOf("e2").incarnation, 1}, 0});
  pair.e2.OnMessage(message, At(1));
  EXPECT_EQ(pair.e2.Units(pair.team, At(1)).lent, 1U);
}

// The lender is replaced while tasks run on its loan. Its successor doesn't know the loan and must
// not use the units before the tasks must have ended.
TEST(QuotaTest, SuccessorOfALenderWaitsUntilItsLoansExpire) {
  LendingPair pair(2);
  pair.Borrow(2, 9);
  ASSERT_EQ(pair.StartAll(pair.e1, 9), 2U);
  Quota successor(SelfOf("e2", 2), At(10));
  successor.OnConfiguration(LimitsAt(1, {"e1", "e2"}, 2), At(10));
  successor.OnMayOwn(At(10));
  successor.OnSettled(SettledAt(1), At(10));
  EXPECT_EQ(pair.StartAll(successor, 74), 0U);
  EXPECT_GT(successor.RefusalCount(QuotaRefusal::kWaitingOutPredecessor), 0U);
  EXPECT_EQ(successor.SettledVersion(At(74)), 0);
  EXPECT_EQ(pair.StartAll(successor, 76), 1U);
  EXPECT_EQ(successor.SettledVersion(At(76)), 1);
}

struct JointRuleCase {
  std::string name;
  Limits next;
  std::vector<std::string> awaiting;
  std::uint32_t owned;
};

class JointRuleTest : public testing::TestWithParam<JointRuleCase> {};

// An operator changes a limit or the list of entries while a zone is cut off. An entry that gains
// units must not use them while their previous owner, which may not have received the change, still
// does.
TEST_P(JointRuleTest, GainWaitsForEntriesThatLoseUnits) {
  const JointRuleCase& param = GetParam();
  LendingPair pair(10);
  pair.e1.OnConfiguration(param.next, At(1));
  pair.e1.OnSettled(SettledAt(param.next.version, param.awaiting), At(1));
  EXPECT_EQ(pair.e1.Units(pair.team, At(1)).owned, param.owned);
}

INSTANTIATE_TEST_SUITE_P(
    Cases, JointRuleTest,
    testing::Values(
        JointRuleCase{"LossTakesEffectImmediately", LimitsAt(2, {"e1", "e2"}, 4), {"e2"}, 2},
        JointRuleCase{"RaiseWithoutLosers", LimitsAt(2, {"e1", "e2"}, 20), {"e2"}, 10},
        JointRuleCase{"PeerRemovedAndUnresponsive", LimitsAt(2, {"e1"}, 10), {"e2"}, 5},
        JointRuleCase{"PeerRemovedAndSettled", LimitsAt(2, {"e1"}, 10), {}, 10},
        JointRuleCase{"PeerAdded", LimitsAt(2, {"e1", "e2", "e3"}, 9), {"e2", "e3"}, 3},
        JointRuleCase{"SkippedVersion", LimitsAt(3, {"e1", "e2"}, 20), {"e2"}, 5},
        JointRuleCase{"SkippedAndAllSettled", LimitsAt(3, {"e1", "e2"}, 20), {}, 10}),
    [](const auto& info) { return info.param.name; });

// The entry starts while the log is unavailable and takes its configuration from a peer, which may
// be older than the one that its predecessor confirmed. Until it has read the log to its end, it
// may only borrow.
TEST(QuotaTest, EntryThatHasNotReadTheLogOwnsNothingAndMayBorrow) {
  LendingPair pair(10);
  Quota fresh(SelfOf("e1", 2), At(100));
  fresh.OnConfiguration(LimitsAt(1, {"e1", "e2"}, 10), At(100));
  fresh.OnSettled(SettledAt(1), At(100));
  fresh.SetLenders({EntryId{"e2"}});
  EXPECT_EQ(pair.StartAll(fresh, 200), 0U);
  EXPECT_GT(fresh.RefusalCount(QuotaRefusal::kNotYetOwner), 0U);
  fresh.SetWaiting(pair.team, 2);
  Exchange(fresh, pair.e2, fresh.Tick(At(200)), At(200));
  EXPECT_GE(pair.StartAll(fresh, 200), 2U);
}

TEST(QuotaTest, SettlesOnlyWhenItsUseFitsTheNewPart) {
  LendingPair pair(10);
  ASSERT_EQ(pair.StartAll(pair.e1, 0), 5U);
  ASSERT_EQ(pair.e1.SettledVersion(At(0)), 1);
  pair.e1.OnConfiguration(LimitsAt(2, {"e1", "e2"}, 8), At(1));
  EXPECT_EQ(pair.e1.SettledVersion(At(1)), 1);
  pair.e1.OnEnded(TaskId{"t1"}, At(2));
  EXPECT_EQ(pair.e1.SettledVersion(At(2)), 2);
}

// The response to a task is lost, so that its end is never reported. If the task counted forever,
// the team would lose the unit until the next restart.
TEST(QuotaTest, TaskWithoutKnownEndStopsCountingWhenItMustHaveEnded) {
  LendingPair pair(10);
  ASSERT_EQ(pair.StartAll(pair.e1, 0), 5U);
  EXPECT_EQ(pair.e1.Units(pair.team, At(62)).running, 5U);
  EXPECT_EQ(pair.e1.Units(pair.team, At(63)).running, 0U);
}

TEST(QuotaTest, ShutdownLendsNothingAndReturnsIdleUnits) {
  LendingPair pair(10);
  pair.Borrow(10, 0.1);
  pair.e1.SetWaiting(pair.team, 0);
  pair.e1.BeginShutdown();
  pair.e2.BeginShutdown();
  Exchange(pair.e1, pair.e2, pair.e1.Tick(At(0.2)), At(0.2));
  EXPECT_TRUE(pair.e1.IsIdle());
  pair.Borrow(10, 0.3);
  EXPECT_EQ(pair.e2.Units(pair.team, At(0.3)).lent, 0U);
}

}  // namespace
}  // namespace chervilspar::quota
