#include "job_entry/work_queue.h"

#include <algorithm>

#include <gtest/gtest.h>

#include "tests/job_entry/fake_fleet.h"

namespace chervilspar::job_entry {
namespace {

namespace asio = boost::asio;

struct QueueCase {
  const char* name;
  std::size_t limit;
  int pieces;
  int max_running;
};

class WorkQueues : public ::testing::TestWithParam<QueueCase> {};

/// Guards against exceeding the client's connections to one address, as when 400 VMs are to be
/// moved at once: the excess calls fail without being sent and are delayed to the next round.
TEST_P(WorkQueues, RunAllWorkAFewPiecesAtATime) {
  asio::io_context io;
  FakeFleet fleet(io);
  FakeEntry entry(io, fleet.store, fleet.endpoints, fleet.vms, "a");
  const auto queue = std::make_shared<WorkQueue>(entry.context, GetParam().limit);
  int running = 0;
  int max_running = 0;
  std::vector<int> done;
  for (int i = 0; i < GetParam().pieces; ++i) {
    queue->Add([&, i]() -> asio::awaitable<void> {
      max_running = std::max(max_running, ++running);
      co_await Pause(entry.context, std::chrono::milliseconds(1));
      --running;
      done.push_back(i);
    });
  }
  io.run_for(std::chrono::seconds(2));
  EXPECT_EQ(max_running, GetParam().max_running);
  EXPECT_EQ(done.size(), static_cast<std::size_t>(GetParam().pieces));
}

INSTANTIATE_TEST_SUITE_P(Sizes, WorkQueues,
                         ::testing::Values(QueueCase{"sequential", 1, 30, 1},
                                           QueueCase{"a_few", 20, 400, 20},
                                           QueueCase{"fewer_than_the_limit", 20, 3, 3}),
                         [](const auto& info) { return info.param.name; });

}  // namespace
}  // namespace chervilspar::job_entry
