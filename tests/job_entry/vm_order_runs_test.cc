#include <functional>

#include <gtest/gtest.h>

#include "tests/job_entry/driver_world.h"

namespace chervilspar::job_entry {
namespace {

namespace asio = boost::asio;
using std::chrono::milliseconds;

jobs::Step LongRunningStep(std::uint32_t count) {
  jobs::Step step = jobs::SchedulerHarness::MakeStep(count);
  step.is_long_running = true;
  step.max_per_endpoint = 1;
  return step;
}

/// Guards against orders of a former owner that has not noticed its successor. The VM service
/// refuses its token only for VMs that the successor has ordered.
TEST(VmOrders, AFormerOwnerOrdersNothingWhereTokensAreCompared) {
  DriverWorld world(2);
  world.io.run_for(milliseconds(400));  // The proof that its term began with is old.
  world.fleet.store.At(Topic::kOwners, 0)
      .records.push_back({kOwnerKey, EncodeClaim({"b", "b", {"127.0.0.1", 2}})});
  world.Start();
  world.io.run_for(milliseconds(1500));
  EXPECT_TRUE(world.fleet.vms.tokens.empty());
}

/// What an owner knows of the endpoint of a VM that a wave names.
struct KnowledgeCase {
  const char* name;
  std::function<void(DriverWorld&)> prepare;
  /// After the reboot is planned and before it is stored.
  std::function<void(DriverWorld&)> change;
};

/// Guards against an order that ends runs of which the owner doesn't know: no knowledge of a run
/// isn't knowledge that there is none.
class VmOfUnknownUse : public ::testing::TestWithParam<KnowledgeCase> {};

TEST_P(VmOfUnknownUse, IsNotRebooted) {
  DriverWorld world(1);
  world.stores_records = false;
  GetParam().prepare(world);
  world.Start();
  world.io.run_for(milliseconds(800));
  GetParam().change(world);
  world.stores_records = true;
  world.io.run_for(milliseconds(1000));
  EXPECT_TRUE(world.fleet.vms.tokens.empty());
}

INSTANTIATE_TEST_SUITE_P(
    Knowledge, VmOfUnknownUse,
    ::testing::Values(KnowledgeCase{"never_answered",
                                    [](DriverWorld& world) {
                                      world.silent.insert("i0");
                                      world.world.scheduler.SetEndpoints({}, world.world.now);
                                      world.world.scheduler.SetEndpoints(
                                          {jobs::SchedulerHarness::Endpoint("i0")},
                                          world.world.now);
                                    },
                                    [](DriverWorld&) {}},
                      KnowledgeCase{"lists_a_run_without_claim", [](DriverWorld&) {},
                                    [](DriverWorld& world) {
                                      const jobs::TaskKey task{jobs::JobId{7}, 0, 0, 0};
                                      world.runs["i0"] = {{task, 1, "", 100, 0}};
                                      world.world.AnswerRenewal("i0", world.runs["i0"], {});
                                    }},
                      KnowledgeCase{"unknown_after_a_restart", [](DriverWorld&) {},
                                    [](DriverWorld& world) {
                                      world.fleet.vms.vms[0].endpoint = "j0";
                                      world.io.run_for(milliseconds(400));
                                    }}),
    [](const auto& info) { return info.param.name; });

/// Five VMs of "desk" are idle, and a job needs more VMs than the three of "shop".
class LendingWorld : public DriverWorld {
 public:
  LendingWorld() : DriverWorld(8, true) {
    this->fleet.store.At(Topic::kOperators, 0).records = {{"rules", "1"}};
    this->fleet.vms.accepts_moves = true;
    for (std::size_t i = 5; i < 8; ++i) {
      this->fleet.vms.vms[i].pool = ServiceId{"shop"};
    }
    this->Register();
    this->AddPool("shop");
    jobs::Job busy =
        jobs::SchedulerHarness::MakeJob(1, {jobs::SchedulerHarness::MakeStep(6, 8000)});
    busy.queue = "shop";
    busy.service = ServiceId{"shop"};
    busy.steps[0].estimate_ms = 60000;
    this->world.scheduler.AddJob(busy, WallTime{});
  }
};

/// Guards against work for a VM whose move is under way: the service may execute it late.
TEST(VmOrders, AVmThatIsLentGetsNoWorkWhileItsMoveIsUnderWay) {
  LendingWorld world;
  FakeVms& vms = world.fleet.vms;
  vms.move_delay = milliseconds(700);
  std::size_t ended = 0;
  vms.on_executed = [&](const jobs::VmRecord& vm) {
    ended += world.world.scheduler.UsageOf(vm.endpoint)->claims;
  };
  world.Start();
  world.RunUntil(std::chrono::seconds(4), [&] { return !vms.moves.empty(); });
  ASSERT_FALSE(vms.moves.empty());
  world.world.scheduler.AddJob(jobs::SchedulerHarness::MakeJob(2, {LongRunningStep(5)}),
                               WallTime{});
  EXPECT_FALSE(world.world.Round().starts.empty());
  world.io.run_for(milliseconds(1000));
  EXPECT_EQ(ended, 0U);
}

/// Guards against a move of which a successor doesn't know, as it was ordered before it was stored,
/// and against records that stay once the outcome is known.
TEST(VmOrders, AMoveIsStoredUntilItsOutcomeIsKnown) {
  LendingWorld world;
  FakeVms& vms = world.fleet.vms;
  vms.move_delay = milliseconds(200);
  world.stores_records = false;
  world.Start();
  world.io.run_for(milliseconds(800));
  EXPECT_TRUE(vms.moves.empty());
  world.stores_records = true;
  world.RunUntil(std::chrono::seconds(4), [&] { return !vms.moves.empty(); });
  ASSERT_FALSE(vms.moves.empty());
  const jobs::MoveOrder& order = vms.moves.front();
  const std::optional<std::string> record = world.stored_moves[VmDriver::MoveKey(order.vm)];
  ASSERT_TRUE(record.has_value());
  const Result<jobs::MoveRecord> stored = jobs::DecodeMoveRecord(*record);
  ASSERT_TRUE(stored.HasValue());
  EXPECT_EQ(stored->pool, order.pool);
  EXPECT_EQ(stored->endpoint, vms.At(order.vm).endpoint);
  const auto is_dropped = [&] {
    return !world.stored_moves[VmDriver::MoveKey(vms.moves.front().vm)].has_value();
  };
  world.RunUntil(std::chrono::seconds(2), is_dropped);
  EXPECT_TRUE(is_dropped());
}

/// Guards against a late order that takes effect after a later one for the same VM: the service
/// refuses it only if its token is lower.
TEST(VmOrders, EachOrderHasAHigherToken) {
  LendingWorld world;
  FakeVms& vms = world.fleet.vms;
  for (const jobs::VmRecord& vm : vms.vms) {
    vms.unanswered[vm.id] = 2;
  }
  vms.late_delay = std::chrono::seconds(5);
  world.Start();
  world.RunUntil(std::chrono::seconds(6), [&] { return vms.moves.size() >= 5; });
  ASSERT_GE(vms.moves.size(), 5U);
  for (std::size_t i = 1; i < vms.moves.size(); ++i) {
    EXPECT_GT(vms.moves[i].token, vms.moves[i - 1].token);
  }
}

/// Guards against a VM that stays closed, or is moved again, because of a predecessor's move.
TEST(VmOrders, ARestoredMoveIsRepeatedOnce) {
  DriverWorld world(4);
  world.fleet.store.At(Topic::kOperators, 0).records = {{"rules", "1"}};
  FakeVms& vms = world.fleet.vms;
  vms.accepts_moves = true;
  world.driver->Restore(jobs::MoveRecord{VmId{"m0"}, ServiceId{"shop"}, "i0"});
  world.world.scheduler.AddJob(jobs::SchedulerHarness::MakeJob(1, {LongRunningStep(4)}),
                               WallTime{});
  EXPECT_EQ(world.world.Round().starts.size(), 3U);
  world.Start();
  world.RunUntil(std::chrono::seconds(3), [&] { return !vms.moves.empty(); });
  world.io.run_for(milliseconds(1500));
  EXPECT_EQ(vms.moves.size(), 1U);
  EXPECT_EQ(vms.At(VmId{"m0"}).pool, ServiceId{"shop"});
}

/// Guards against work for a VM whose reboot a predecessor has ordered, before the list of VMs has
/// been read.
TEST(VmOrders, AVmWithARestoredRebootIsClosedAtOnce) {
  DriverWorld world(2);
  jobs::WaveProgress progress;
  progress.number = 1;
  progress.ordered = {VmId{"m0"}};
  progress.closed = {{VmId{"m0"}, "i0"}};
  world.driver->Restore(*jobs::DecodeWaveProgress(jobs::EncodeWaveProgress(progress)));
  world.world.scheduler.AddJob(jobs::SchedulerHarness::MakeJob(1, {LongRunningStep(2)}),
                               WallTime{});
  const std::vector<jobs::StartOrder> starts = world.world.Round().starts;
  ASSERT_EQ(starts.size(), 1U);
  EXPECT_EQ(starts.front().endpoint, "i1");
}

/// A stored move that can't be read.
class UnreadableMove : public ::testing::TestWithParam<const char*> {};

TEST_P(UnreadableMove, IsAnError) { EXPECT_FALSE(jobs::DecodeMoveRecord(GetParam()).HasValue()); }

INSTANTIATE_TEST_SUITE_P(Records, UnreadableMove,
                         ::testing::Values("", "[]", "{}", R"({"vm":"m"})", R"({"pool":"p"})",
                                           R"({"vm":1,"pool":"p"})",
                                           R"({"vm":"m","pool":"p","endpoint":7})"));

/// Guards against work that a successor gives to a VM whose move its predecessor has ordered and
/// that is executed late.
TEST(VmOrders, ASuccessorGivesNoWorkToAVmWithAMoveUnderWay) {
  asio::io_context io;
  FakeFleet fleet(io, 4);
  fleet.store.At(Topic::kOperators, 0).records = {{"rules", "1:standby"}};
  fleet.endpoints.task_time = std::chrono::seconds(30);
  FakeVms& vms = fleet.vms;
  vms.accepts_moves = true;
  vms.late_delay = std::chrono::seconds(5);
  for (int i = 0; i < 4; ++i) {
    jobs::VmRecord vm;
    vm.id = VmId{"m" + std::to_string(i)};
    vm.pool = ServiceId{"desk"};
    vm.phase = jobs::VmPhase::kUp;
    vm.endpoint = "i" + std::to_string(i);
    vm.capacity = {8000, 8000, 0};
    vms.vms.push_back(vm);
    vms.unanswered[vm.id] = 1;
  }
  std::size_t ended = 0;
  vms.on_executed = [&](const jobs::VmRecord& vm) {
    ended += fleet.endpoints.endpoints[vm.endpoint].active.size();
    fleet.endpoints.endpoints[vm.endpoint].is_unreachable = true;
  };
  FakeEntry& first = fleet.AddEntry("a");
  first.settings.decisions.sizer.move_cost = milliseconds(1);
  first.settings.decisions.sizer.move_time = milliseconds(1);
  RunUntil(io, std::chrono::seconds(5), [&] { return !vms.moves.empty(); });
  ASSERT_EQ(vms.moves.size(), 1U);
  first.Disconnect();
  vms.unanswered.clear();
  FakeEntry& second = fleet.AddEntry("b");
  RunUntil(io, std::chrono::seconds(6), [&] { return IsServing(second); });
  ASSERT_TRUE(IsServing(second));
  jobs::Job job = FakeFleet::MakeJob(1, 4);
  job.steps[0].max_per_endpoint = 1;
  job.steps[0].is_long_running = true;
  asio::co_spawn(io, second.writer->Write({SubmissionKey(job.id), jobs::EncodeJob(job)}),
                 asio::detached);
  io.run_for(std::chrono::seconds(6));
  EXPECT_GE(fleet.endpoints.starts.size(), 3U);
  EXPECT_EQ(ended, 0U);
}

}  // namespace
}  // namespace chervilspar::job_entry
