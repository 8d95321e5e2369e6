#include <algorithm>
#include <string>

#include <gtest/gtest.h>

#include "tests/job_entry/fake_fleet.h"

namespace chervilspar::job_entry {
namespace {

namespace asio = boost::asio;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// Times of a slow store; an append normally takes 4 ms, and a response 1 ms.
constexpr Duration kSlowAppend = milliseconds(400);
constexpr Duration kSlowAnswer = milliseconds(240);
/// The group drops a dead owner after 1 s; a pending read waits for new records for 5 s.
constexpr Duration kLongTakeover = milliseconds(2500);

std::size_t ClaimsIn(FakeFleet& fleet) { return fleet.store.At(Topic::kOwners, 0).records.size(); }

/// Guards against successive owners with a slow store: an entry that looks for the owner while the
/// claim of another entry is in progress claims as well, and the work waits for a second takeover.
TEST(Election, ASecondClaimForTheSameDeadOwnerIsRefused) {
  asio::io_context io;
  FakeFleet fleet(io, 2);
  FakeEntry& owner = fleet.AddEntry("m");
  RunUntil(io, seconds(5), [&] { return IsServing(owner); });
  FakeEntry& first = fleet.AddEntry("n");
  io.run_for(milliseconds(500));
  fleet.store.append_time = kSlowAppend;
  owner.Disconnect();
  RunUntil(io, seconds(5), [&] { return first.store->appends > 0; });
  ASSERT_GT(first.store->appends, 0);
  // The group chooses by name.
  FakeEntry& second = fleet.AddEntry("a");
  RunUntil(io, seconds(5), [&] { return IsServing(first) || IsServing(second); });
  io.run_for(seconds(2));
  EXPECT_TRUE(IsServing(first));
  EXPECT_FALSE(IsServing(second));
  EXPECT_EQ(ClaimsIn(fleet), 2U);
}

/// Guards against a fleet without an owner until a pending read times out: the connection of the
/// chosen entry is unresponsive, and its claims are refused as it doesn't know the last claim.
TEST(Election, AnEntryThatMissedAClaimRereadsTheClaims) {
  asio::io_context io;
  FakeFleet fleet(io, 2);
  FakeEntry& owner = fleet.AddEntry("m");
  RunUntil(io, seconds(5), [&] { return IsServing(owner); });
  // The group chooses by name.
  FakeEntry& chosen = fleet.AddEntry("a");
  io.run_for(milliseconds(500));
  chosen.store->unanswered_reads = Topic::kOwners;
  io.run_for(seconds(1));
  const OwnerClaim missed{"x", "x", owner.settings.peers};
  fleet.store.At(Topic::kOwners, 0).records.push_back({kOwnerKey, EncodeClaim(missed)});
  owner.Disconnect();
  RunUntil(io, kLongTakeover, [&] { return IsServing(chosen); });
  EXPECT_TRUE(IsServing(chosen));
}

bool IsMember(const FakeFleet& fleet, const std::string& entry) {
  return std::any_of(
      fleet.store.members.begin(), fleet.store.members.end(), [&](const auto& member) {
        return member.first.starts_with(entry) &&
               SystemClock().Now() - member.second.last <= member.second.time_to_live;
      });
}

/// Guards against a group that drops the owner because its next join waits for the list of members,
/// which it reads to choose the entries that forward its orders.
TEST(Election, AnOwnerStaysInTheGroupWhileItReadsTheMembers) {
  asio::io_context io;
  FakeFleet fleet(io, 2);
  FakeEntry& owner = fleet.AddCarrier("m", FreePort(io));
  RunUntil(io, seconds(5), [&] { return IsServing(owner); });
  ASSERT_TRUE(IsServing(owner));
  // Two consecutive responses take longer than the group keeps an unresponsive member.
  fleet.store.answer_time = milliseconds(600);
  bool is_dropped = false;
  RunUntil(io, seconds(6), [&] {
    is_dropped = is_dropped || !IsMember(fleet, "m");
    return is_dropped;
  });
  EXPECT_FALSE(is_dropped);
}

/// An owner that dies while the store responds slowly, and an entry that takes over.
class TakeoverWithASlowStore : public ::testing::Test {
 protected:
  TakeoverWithASlowStore() : fleet(this->io, 2), owner(this->fleet.AddEntry("m")) {
    RunUntil(this->io, seconds(5), [this] { return IsServing(this->owner); });
    this->successor = &this->fleet.AddEntry("n");
    this->io.run_for(milliseconds(500));
    this->fleet.store.answer_time = kSlowAnswer;
  }

  asio::io_context io;
  FakeFleet fleet;
  FakeEntry& owner;
  FakeEntry* successor = nullptr;
};

/// Guards against a group that drops the owner before its first decision because it doesn't join
/// while its claim is in progress.
TEST_F(TakeoverWithASlowStore, TheClaimantStaysInTheGroup) {
  this->fleet.store.append_time = kSlowAppend;
  this->owner.Disconnect();
  bool is_dropped = false;
  RunUntil(this->io, seconds(8), [&] {
    is_dropped = is_dropped || !IsMember(this->fleet, "n");
    return IsServing(*this->successor);
  });
  EXPECT_TRUE(IsServing(*this->successor));
  EXPECT_FALSE(is_dropped);
}

/// Guards against a takeover that waits for consecutive responses of the store although the reads
/// can run concurrently.
TEST_F(TakeoverWithASlowStore, TheStateIsReadConcurrently) {
  this->owner.Disconnect();
  RunUntil(this->io, seconds(8), [&] { return ClaimsIn(this->fleet) == 2; });
  ASSERT_EQ(ClaimsIn(this->fleet), 2U);
  const TimePoint claimed = this->successor->context.Now();
  RunUntil(this->io, seconds(8), [&] { return IsServing(*this->successor); });
  EXPECT_LT(this->successor->context.Now() - claimed, 2 * kSlowAnswer);
}

}  // namespace
}  // namespace chervilspar::job_entry
