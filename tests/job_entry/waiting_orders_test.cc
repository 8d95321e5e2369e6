#include <algorithm>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <gtest/gtest.h>

#include "tests/job_entry/fake_fleet.h"

namespace chervilspar::job_entry {
namespace {

namespace asio = boost::asio;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// So many fit on the one endpoint.
constexpr std::uint32_t kTasks = 16;
/// How long one order takes, so that most of the job's starts wait.
constexpr Duration kOrderTime = milliseconds(150);

struct CarriedCase {
  const char* name;
  /// Another entry sends the owner's orders.
  bool is_carried;
};

/// One endpoint that takes long for each order, and a job whose starts wait for it.
class WaitingOrders : public ::testing::TestWithParam<CarriedCase> {
 protected:
  WaitingOrders() : fleet(this->io, 1) {
    this->fleet.endpoints.task_time = seconds(30);
    if (GetParam().is_carried) {
      this->fleet.AddCarrier("a", FreePort(this->io));
      this->fleet.AddCarrier("b", FreePort(this->io));
    } else {
      this->fleet.AddEntry("a");
    }
    RunUntil(this->io, seconds(5), [this] { return IsServing(*this->fleet.entries[0]); });
    this->io.run_for(milliseconds(900));
    for (const auto& entry : this->fleet.entries) {
      entry->endpoints->delay = kOrderTime;
    }
  }

  void Write(KeyedRecord record) {
    asio::co_spawn(
        this->io,
        [this, record = std::move(record)]() -> asio::awaitable<void> {
          co_await this->fleet.entries[0]->writer->Write(record);
        },
        asio::detached);
  }

  /// Submits a job and waits until one of its tasks has started.
  void SubmitAndAwaitStart() {
    const jobs::Job job = FakeFleet::MakeJob(1, kTasks);
    this->Write({SubmissionKey(job.id), jobs::EncodeJob(job)});
    RunUntil(this->io, seconds(3), [this] { return !this->fleet.endpoints.starts.empty(); });
    ASSERT_FALSE(this->fleet.endpoints.starts.empty());
  }

  void Cancel() { this->Write({CancellationKey(jobs::JobId{1}), "1"}); }

  void SetHanging(bool is_hanging) {
    this->fleet.endpoints.endpoints["i0"].is_unreachable = is_hanging;
  }

  /// Starts later than `after` from now on are counted once `duration` has passed.
  std::size_t CountStarts(Duration after, Duration duration) {
    const TimePoint from = SystemClock().Now() + after;
    this->io.run_for(duration);
    const std::vector<TimePoint>& starts = this->fleet.endpoints.starts;
    return static_cast<std::size_t>(std::count_if(
        starts.begin(), starts.end(), [from](TimePoint start) { return start > from; }));
  }

  asio::io_context io;
  FakeFleet fleet;
};

/// Guards against tasks of a cancelled job that start seconds later, when an endpoint that did not
/// answer meanwhile does so again.
TEST_P(WaitingOrders, OfACancelledJobAreNotSent) {
  this->SubmitAndAwaitStart();
  this->SetHanging(true);
  this->io.run_for(milliseconds(100));
  this->Cancel();
  this->io.run_for(milliseconds(700));
  this->SetHanging(false);
  EXPECT_EQ(this->CountStarts(milliseconds(400), seconds(4)), 0U);
}

/// Guards against tasks of a cancelled job that start while the endpoint answers all the time, but
/// slowly.
TEST_P(WaitingOrders, OfACancelledJobAreNotSentToASlowEndpoint) {
  this->SubmitAndAwaitStart();
  this->Cancel();
  EXPECT_EQ(this->CountStarts(milliseconds(400), seconds(3)), 0U);
}

/// Guards against a run of a cancelled job that goes on for seconds, as its stop waits behind
/// starts of other jobs.
TEST_P(WaitingOrders, LetStopsGoFirst) {
  this->SubmitAndAwaitStart();
  RunUntil(this->io, seconds(3), [this] { return this->fleet.endpoints.starts.size() >= 6; });
  this->Cancel();
  for (std::uint64_t number = 2; number < 5; ++number) {
    const jobs::Job job = FakeFleet::MakeJob(number, kTasks);
    this->Write({SubmissionKey(job.id), jobs::EncodeJob(job)});
  }
  const auto is_stopped = [this] {
    const auto& active = this->fleet.endpoints.endpoints["i0"].active;
    return std::none_of(active.begin(), active.end(),
                        [](const auto& run) { return run.first.job == jobs::JobId{1}; });
  };
  const TimePoint begin = SystemClock().Now();
  RunUntil(this->io, seconds(4), is_stopped);
  EXPECT_TRUE(is_stopped());
  EXPECT_LT(SystemClock().Now() - begin, milliseconds(1600));
}

INSTANTIATE_TEST_SUITE_P(Ways, WaitingOrders,
                         ::testing::Values(CarriedCase{"direct", false},
                                           CarriedCase{"carried", true}),
                         [](const auto& info) { return info.param.name; });

}  // namespace
}  // namespace chervilspar::job_entry
