#include <gtest/gtest.h>

#include "tests/job_entry/fake_fleet.h"

namespace chervilspar::job_entry {
namespace {

namespace asio = boost::asio;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// A store that is slow; the usual append takes 4 ms.
constexpr Duration kSlowAppend = milliseconds(400);

std::size_t ClaimsIn(FakeFleet& fleet) { return fleet.store.At(Topic::kOwners, 0).records.size(); }

/// Guards against owners that follow one another in a slow store: an entry that looks for the owner
/// while another's claim is on its way claims as well, and the work waits for a second take-over.
TEST(Election, ASecondClaimForTheSameDeadOwnerIsRefused) {
  asio::io_context io;
  FakeFleet fleet(io, 2);
  FakeEntry& owner = fleet.AddEntry("m");
  RunUntil(io, seconds(5), [&] { return IsServing(owner); });
  FakeEntry& first = fleet.AddEntry("n");
  io.run_for(milliseconds(500));
  fleet.store.append_time = kSlowAppend;
  owner.Cut();
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

}  // namespace
}  // namespace chervilspar::job_entry
