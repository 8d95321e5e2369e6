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
/// Orders that a process gives in its first minutes.
constexpr std::uint64_t kFormerOrders = 100000;

/// Three entries that carry for each other, and endpoints that take 24 tasks at once.
class CarryingFleet : public ::testing::Test {
 protected:
  CarryingFleet() : fleet(this->io, 4) {
    this->fleet.endpoints.task_time = milliseconds(300);
    for (int i = 0; i < 3; ++i) {
      this->fleet.AddCarrier(std::string(1, static_cast<char>('a' + i)), FreePort(this->io));
    }
  }

  void RunUntil(Duration longest, const std::function<bool()>& is_over) {
    job_entry::RunUntil(this->io, longest, is_over);
  }

  FakeEntry* Owner() {
    for (const auto& entry : this->fleet.entries) {
      if (IsServing(*entry)) {
        return entry.get();
      }
    }
    return nullptr;
  }

  /// Waits for an owner that knows the others.
  FakeEntry* Settle() {
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

/// The owner's link and processor bound the fleet when it gives every order itself.
TEST_F(CarryingFleet, OthersCarryTheOwnersOrders) {
  FakeEntry* const owner = this->Settle();
  ASSERT_NE(owner, nullptr);
  this->SubmitAll(*owner);
  this->RunUntil(std::chrono::seconds(8), [this] { return this->AreAllDone(); });
  EXPECT_TRUE(this->AreAllDone());
  EXPECT_TRUE(this->fleet.endpoints.violations.empty());
  // Which carrier an endpoint gets depends on the ports; that the owner gives no order doesn't.
  EXPECT_EQ(owner->endpoints->starts, 0);
  int carried = 0;
  for (const auto& entry : this->fleet.entries) {
    carried += entry->endpoints->starts;
  }
  EXPECT_EQ(carried, static_cast<int>(kJobs * kTasks));
}

/// A carrier dies with orders of which nobody knows whether they were carried out. Given anew
/// without care, a deposit is taken twice; not given again, its job never ends.
TEST_F(CarryingFleet, ACarrierThatDiesCostsNoTask) {
  FakeEntry* const owner = this->Settle();
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

/// The owner dies while others carry its orders. Its successor's token has to stop what is still on
/// its way.
TEST_F(CarryingFleet, AnOwnerThatDiesCostsNoTask) {
  FakeEntry* const owner = this->Settle();
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

/// All answers come late for a while, as when the owner's own link is full. It must not give all
/// orders itself from then on, over that link.
TEST_F(CarryingFleet, CarriersWhoseAnswersCameLateCarryAgain) {
  FakeEntry* const owner = this->Settle();
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
  const int given = owner->endpoints->starts;
  this->SubmitAll(*owner);
  this->io.run_for(milliseconds(500));
  EXPECT_EQ(owner->endpoints->starts, given);
  this->RunUntil(std::chrono::seconds(10),
                 [this] { return this->fleet.endpoints.confirmed.size() == (kJobs + 4) * kTasks; });
  EXPECT_EQ(this->fleet.endpoints.confirmed.size(), (kJobs + 4) * kTasks);
  EXPECT_TRUE(this->fleet.endpoints.violations.empty()) << this->fleet.endpoints.violations.front();
}

/// A carrier is cut off from the endpoints, but not from the owner.
TEST_F(CarryingFleet, ACarrierThatDoesNotReachTheEndpointsIsPassedOver) {
  FakeEntry* const owner = this->Settle();
  ASSERT_NE(owner, nullptr);
  for (const auto& entry : this->fleet.entries) {
    entry->endpoints->is_disconnected = entry.get() != owner;
  }
  this->SubmitAll(*owner);
  this->RunUntil(std::chrono::seconds(15), [this] { return this->AreAllDone(); });
  EXPECT_TRUE(this->AreAllDone());
  EXPECT_TRUE(this->fleet.endpoints.violations.empty()) << this->fleet.endpoints.violations.front();
}

/// Guards against taking a start for done as a carrier answers an order of the same number, which
/// this entry's former process gave.
TEST_F(CarryingFleet, AnswersToAFormerProcessSettleNothing) {
  FakeEntry* const owner = this->Settle();
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
        outcome = co_await carried->Start(std::move(order), milliseconds(400));
      },
      asio::detached);
  this->io.run_for(milliseconds(2));
  rpc::CarriedAnswers answers;
  for (std::uint64_t number = 1; number <= kFormerOrders; ++number) {
    answers.push_back({number, jobs::OrderOutcome::kDone, std::nullopt});
  }
  carried->OnAnswers(std::move(answers));
  this->RunUntil(std::chrono::seconds(3), [&] { return outcome.has_value(); });
  ASSERT_TRUE(outcome);
  EXPECT_NE(*outcome, jobs::OrderOutcome::kDone);
}

}  // namespace
}  // namespace chervilspar::job_entry
