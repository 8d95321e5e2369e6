#include <algorithm>
#include <functional>

#include <gtest/gtest.h>

#include "tests/job_entry/fake_fleet.h"

namespace chervilspar::job_entry {
namespace {

namespace asio = boost::asio;
using std::chrono::milliseconds;

constexpr std::uint64_t kJobs = 12;
constexpr std::uint32_t kTasks = 4;
/// More orders than a process sends in its first minutes.
constexpr std::uint64_t kPreviousOrders = 100000;

/// Three entries that forward orders for each other, and endpoints that run 24 tasks concurrently.
class CarryingFleet : public ::testing::Test {
 protected:
  CarryingFleet() : fleet(this->io, 4) {
    this->fleet.endpoints.task_time = milliseconds(300);
    for (int i = 0; i < 3; ++i) {
      this->fleet.AddCarrier(std::string(1, static_cast<char>('a' + i)), FreePort(this->io));
    }
  }

  void RunUntil(Duration timeout, const std::function<bool()>& is_over) {
    job_entry::RunUntil(this->io, timeout, is_over);
  }

  FakeEntry* Owner() {
    for (const auto& entry : this->fleet.entries) {
      if (IsServing(*entry)) {
        return entry.get();
      }
    }
    return nullptr;
  }

  /// Waits until there is an owner that knows the other entries, and returns it.
  FakeEntry* WaitForOwner() {
    this->RunUntil(std::chrono::seconds(5), [this] {
      return this->Owner() != nullptr && this->fleet.store.members.size() == 3;
    });
    this->io.run_for(milliseconds(900));
    return this->Owner();
  }

  void SubmitAll(FakeEntry& entry) {
    for (std::uint64_t number = 1; number <= kJobs; ++number) {
      const jobs::Job job = FakeFleet::MakeJob(number, kTasks);
      asio::co_spawn(
          this->io,
          [&entry, job]() -> asio::awaitable<void> {
            KeyedRecord record{SubmissionKey(job.id), jobs::EncodeJob(job)};
            co_await entry.writer->Write(std::move(record));
          },
          asio::detached);
    }
  }

  bool AreAllDone() const { return this->fleet.endpoints.confirmed.size() == kJobs * kTasks; }

  asio::io_context io;
  FakeFleet fleet;
};

/// Guards against an owner that sends all orders itself: its network link and CPU would limit the
/// fleet.
TEST_F(CarryingFleet, OthersCarryTheOwnersOrders) {
  FakeEntry* const owner = this->WaitForOwner();
  ASSERT_NE(owner, nullptr);
  this->SubmitAll(*owner);
  this->RunUntil(std::chrono::seconds(8), [this] { return this->AreAllDone(); });
  EXPECT_TRUE(this->AreAllDone());
  EXPECT_TRUE(this->fleet.endpoints.violations.empty());
  // The choice of the carrier depends on the ports, but the owner never sends an order itself.
  EXPECT_EQ(owner->endpoints->starts, 0);
  int carried = 0;
  for (const auto& entry : this->fleet.entries) {
    carried += entry->endpoints->starts;
  }
  EXPECT_EQ(carried, static_cast<int>(kJobs * kTasks));
}

/// A carrier fails with orders whose outcome is unknown. Resending them without a check may run a
/// task twice, such as a deposit; not resending them leaves their job unfinished.
TEST_F(CarryingFleet, ACarrierThatDiesCostsNoTask) {
  FakeEntry* const owner = this->WaitForOwner();
  ASSERT_NE(owner, nullptr);
  this->SubmitAll(*owner);
  this->RunUntil(std::chrono::seconds(3),
                 [this] { return this->fleet.endpoints.starts.size() > 6; });
  FakeEntry& carrier =
      owner == this->fleet.entries[0].get() ? *this->fleet.entries[1] : *this->fleet.entries[0];
  carrier.Disconnect();
  this->RunUntil(std::chrono::seconds(15), [this] { return this->AreAllDone(); });
  EXPECT_TRUE(this->AreAllDone());
  EXPECT_TRUE(this->fleet.endpoints.violations.empty()) << this->fleet.endpoints.violations.front();
}

/// The owner fails while others forward its orders. Its successor's token has to fence off orders
/// that are still in flight.
TEST_F(CarryingFleet, AnOwnerThatDiesCostsNoTask) {
  FakeEntry* const owner = this->WaitForOwner();
  ASSERT_NE(owner, nullptr);
  FakeEntry& other =
      owner == this->fleet.entries[0].get() ? *this->fleet.entries[1] : *this->fleet.entries[0];
  this->SubmitAll(other);
  this->RunUntil(std::chrono::seconds(3),
                 [this] { return this->fleet.endpoints.starts.size() > 6; });
  owner->Disconnect();
  this->RunUntil(std::chrono::seconds(20), [this] { return this->AreAllDone(); });
  EXPECT_TRUE(this->AreAllDone());
  EXPECT_TRUE(this->fleet.endpoints.violations.empty()) << this->fleet.endpoints.violations.front();
}

/// All answers are late for a while, as when the owner's own link is saturated. The owner must not
/// send all further orders itself over that link.
TEST_F(CarryingFleet, CarriersWhoseAnswersCameLateCarryAgain) {
  FakeEntry* const owner = this->WaitForOwner();
  ASSERT_NE(owner, nullptr);
  for (const auto& entry : this->fleet.entries) {
    entry->endpoints->delay = entry.get() == owner ? milliseconds(0) : milliseconds(1700);
  }
  asio::co_spawn(
      this->io,
      [owner]() -> asio::awaitable<void> {
        const jobs::Job job = FakeFleet::MakeJob(kJobs + 1, 4 * kTasks);
        KeyedRecord record{SubmissionKey(job.id), jobs::EncodeJob(job)};
        co_await owner->writer->Write(std::move(record));
      },
      asio::detached);
  this->io.run_for(milliseconds(2000));
  for (const auto& entry : this->fleet.entries) {
    entry->endpoints->delay = {};
  }
  const int starts_before = owner->endpoints->starts;
  this->SubmitAll(*owner);
  this->io.run_for(milliseconds(500));
  EXPECT_EQ(owner->endpoints->starts, starts_before);
  this->RunUntil(std::chrono::seconds(10),
                 [this] { return this->fleet.endpoints.confirmed.size() == (kJobs + 4) * kTasks; });
  EXPECT_EQ(this->fleet.endpoints.confirmed.size(), (kJobs + 4) * kTasks);
  EXPECT_TRUE(this->fleet.endpoints.violations.empty()) << this->fleet.endpoints.violations.front();
}

/// Carriers are disconnected from the endpoints, but not from the owner.
TEST_F(CarryingFleet, ACarrierThatDoesNotReachTheEndpointsIsPassedOver) {
  FakeEntry* const owner = this->WaitForOwner();
  ASSERT_NE(owner, nullptr);
  for (const auto& entry : this->fleet.entries) {
    entry->endpoints->is_disconnected = entry.get() != owner;
  }
  this->SubmitAll(*owner);
  this->RunUntil(std::chrono::seconds(15), [this] { return this->AreAllDone(); });
  EXPECT_TRUE(this->AreAllDone());
  EXPECT_TRUE(this->fleet.endpoints.violations.empty()) << this->fleet.endpoints.violations.front();
}

/// Guards against counting a start as done because a carrier answers an order with the same number
/// from this entry's previous process.
TEST_F(CarryingFleet, AnswersToAFormerProcessSettleNothing) {
  FakeEntry* const owner = this->WaitForOwner();
  ASSERT_NE(owner, nullptr);
  for (const auto& entry : this->fleet.entries) {
    entry->endpoints->is_disconnected = true;
  }
  auto* const carried = dynamic_cast<CarriedEndpoints*>(owner->links.endpoints.get());
  ASSERT_NE(carried, nullptr);
  std::optional<jobs::OrderOutcome> outcome;
  asio::co_spawn(
      this->io,
      [&]() -> asio::awaitable<void> {
        jobs::StartOrder order;
        order.endpoint = "i0";
        const jobs::StartAnswer answer =
            co_await carried->Start(std::move(order), milliseconds(400));
        outcome = answer.outcome;
      },
      asio::detached);
  this->io.run_for(milliseconds(2));
  rpc::CarriedAnswers answers;
  for (std::uint64_t number = 1; number <= kPreviousOrders; ++number) {
    answers.push_back({number, jobs::OrderOutcome::kDone, std::nullopt});
  }
  carried->OnAnswers(std::move(answers));
  this->RunUntil(std::chrono::seconds(3), [&] { return outcome.has_value(); });
  ASSERT_TRUE(outcome);
  EXPECT_NE(*outcome, jobs::OrderOutcome::kDone);
}

}  // namespace
}  // namespace chervilspar::job_entry
