#include <functional>

#include <gtest/gtest.h>

#include "tests/job_entry/fake_fleet.h"

namespace chervilspar::job_entry {
namespace {

namespace asio = boost::asio;
using std::chrono::milliseconds;

constexpr std::uint32_t kTasks = 4;
constexpr double kSlowLink = 2;
/// Exceeds the duration of a lease.
constexpr Duration kJobsReadTime = milliseconds(4500);

/// An owner with tasks at two endpoints, and an entry that takes longer to read the jobs than the
/// leases last.
class SlowTakeover : public ::testing::Test {
 protected:
  SlowTakeover() : fleet(this->io, 2), owner(this->fleet.AddEntry("a")) {
    this->fleet.endpoints.task_time = std::chrono::seconds(60);
    this->RunUntil(std::chrono::seconds(5), [this] { return IsServing(this->owner); });
    this->successor = &this->fleet.AddEntry("b");
    this->successor->settings.link_rate = kSlowLink;
    this->successor->store->jobs_read_time =
        kJobsReadTime / this->successor->settings.job_partitions;
    asio::co_spawn(
        this->io,
        [this]() -> asio::awaitable<void> {
          const jobs::Job job = FakeFleet::MakeJob(1, kTasks);
          KeyedRecord record{SubmissionKey(job.id), jobs::EncodeJob(job)};
          co_await this->owner.writer->Write(std::move(record));
        },
        asio::detached);
    this->RunUntil(std::chrono::seconds(5),
                   [this] { return this->fleet.endpoints.starts.size() == kTasks; });
    this->io.run_for(milliseconds(200));
  }

  void RunUntil(Duration timeout, const std::function<bool()>& is_done) {
    job_entry::RunUntil(this->io, timeout, is_done);
  }

  asio::io_context io;
  FakeFleet fleet;
  FakeEntry& owner;
  FakeEntry* successor = nullptr;
};

/// Guards against leases that lapse while the jobs are read, so that all running tasks are started
/// again at once.
TEST_F(SlowTakeover, RunningTasksSurviveTheReadingOfTheJobs) {
  this->owner.Disconnect();
  this->RunUntil(std::chrono::seconds(12), [this] { return IsServing(*this->successor); });
  ASSERT_TRUE(IsServing(*this->successor));
  this->io.run_for(milliseconds(1500));
  EXPECT_EQ(this->fleet.endpoints.starts.size(), kTasks);
  EXPECT_TRUE(this->fleet.endpoints.violations.empty());
}

/// Guards against a second start of tasks whose leases are still valid: an endpoint becomes
/// unresponsive during the read, after its leases were renewed, and its tasks must not start
/// elsewhere before these lapse.
TEST_F(SlowTakeover, TasksOfAnUnresponsiveEndpointWaitForTheRenewedLeases) {
  this->owner.Disconnect();
  this->io.run_for(milliseconds(4000));
  ASSERT_FALSE(IsServing(*this->successor));
  for (auto& [id, endpoint] : this->fleet.endpoints.endpoints) {
    endpoint.is_unreachable = true;
    break;
  }
  this->RunUntil(std::chrono::seconds(16),
                 [this] { return this->fleet.endpoints.starts.size() > kTasks; });
  EXPECT_GT(this->fleet.endpoints.starts.size(), kTasks);
  EXPECT_TRUE(this->fleet.endpoints.violations.empty());
}

}  // namespace
}  // namespace chervilspar::job_entry
