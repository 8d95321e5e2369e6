#include "job_entry/work_queue.h"

#include <algorithm>

#include <gtest/gtest.h>

#include "tests/job_entry/fake_fleet.h"

namespace chervilspar::job_entry {
namespace {

namespace asio = boost::asio;

struct LaneCase {
  const char* name;
  std::size_t most;
  int pieces;
  int at_once;
};

class Lanes : public ::testing::TestWithParam<LaneCase> {};

/// Four hundred VMs are to move at once, and the client has fewer connections to one address: what
/// is above that fails without having been sent, and leaves with the next round.
TEST_P(Lanes, RunAllWorkAFewPiecesAtATime) {
  asio::io_context io;
  FakeFleet fleet(io);
  FakeEntry entry(io, fleet.store, fleet.endpoints, fleet.vms, "a");
  const auto lane = std::make_shared<WorkQueue>(entry.context, GetParam().most);
  int running = 0;
  int at_once = 0;
  std::vector<int> done;
  for (int i = 0; i < GetParam().pieces; ++i) {
    lane->Add([&, i]() -> asio::awaitable<void> {
      at_once = std::max(at_once, ++running);
      co_await Pause(entry.context, std::chrono::milliseconds(1));
      --running;
      done.push_back(i);
    });
  }
  io.run_for(std::chrono::seconds(2));
  EXPECT_EQ(at_once, GetParam().at_once);
  EXPECT_EQ(done.size(), static_cast<std::size_t>(GetParam().pieces));
}

INSTANTIATE_TEST_SUITE_P(Sizes, Lanes,
                         ::testing::Values(LaneCase{"one_after_the_other", 1, 30, 1},
                                           LaneCase{"a_few", 20, 400, 20},
                                           LaneCase{"less_than_may_run", 20, 3, 3}),
                         [](const auto& info) { return info.param.name; });

}  // namespace
}  // namespace chervilspar::job_entry
