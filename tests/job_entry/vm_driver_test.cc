#include <functional>

#include <gtest/gtest.h>

#include "tests/job_entry/driver_world.h"

namespace chervilspar::job_entry {
namespace {

using std::chrono::milliseconds;

/// Guards against a wave that operators read as complete although the reboot of a VM was refused.
TEST(VmDriver, ARefusedRebootDoesNotCount) {
  DriverWorld world(2);
  world.fleet.vms.refused = {VmId{"m1"}};
  world.Start();
  const auto is_tried = [&] { return world.fleet.vms.tokens.size() >= 2; };
  world.RunUntil(std::chrono::seconds(3), is_tried);
  ASSERT_TRUE(is_tried());
  world.io.run_for(milliseconds(500));
  EXPECT_EQ(world.WaveStatus(), "running");
  EXPECT_EQ(world.fleet.vms.reboots[VmId{"m0"}], 1);
  world.fleet.vms.refused.clear();
  world.RunUntil(std::chrono::seconds(5), [&] { return world.WaveStatus() == "complete"; });
  EXPECT_EQ(world.WaveStatus(), "complete");
  EXPECT_EQ(world.fleet.vms.reboots[VmId{"m1"}], 1);
}

/// Guards against a driver that stands still while it reads a long list of VMs: a wave or a peak
/// that begins meanwhile would wait for the list.
TEST(VmDriver, OrdersAreSentWhileTheListIsBeingRead) {
  DriverWorld world(2);
  auto& operators = world.fleet.store.At(Topic::kOperators, 0).records;
  operators.clear();
  operators.push_back({"rules", "1"});
  world.fleet.vms.list_delay = milliseconds(2000);
  world.Start();
  // Two lists have arrived, and the third is being read.
  world.io.run_for(milliseconds(4300));
  operators.push_back({"wave", "m0"});
  world.RunUntil(milliseconds(1200), [&] { return !world.fleet.vms.tokens.empty(); });
  EXPECT_FALSE(world.fleet.vms.tokens.empty());
}

/// Guards against tasks that move twice: while two waves are in progress, tasks of an evacuated VM
/// must not be placed on a VM that the other wave has yet to reboot.
TEST(VmDriver, VmsOfAllWavesAreDue) {
  DriverWorld world(8);
  auto& operators = world.fleet.store.At(Topic::kOperators, 0).records;
  operators.clear();
  operators.push_back({"rules", "1"});
  operators.push_back({"wave", "m0,m1,m2,m3,m4"});
  operators.push_back({"wave2", "2:m5"});
  world.fleet.vms.is_busy = true;
  world.Start();
  world.RunUntil(std::chrono::seconds(2), [&] { return !world.fleet.vms.tokens.empty(); });
  jobs::Step step = jobs::SchedulerHarness::MakeStep(2);
  step.is_long_running = true;
  step.max_per_endpoint = 1;
  world.world.scheduler.AddJob(jobs::SchedulerHarness::MakeJob(1, {step}), WallTime{});
  std::set<std::string> endpoints;
  for (const jobs::StartOrder& start : world.world.Round().starts) {
    endpoints.insert(start.endpoint);
  }
  EXPECT_EQ(endpoints, (std::set<std::string>{"i6", "i7"}));
}

/// Guards against a successor that never publishes the completion of a wave because its predecessor
/// has stored it before publishing it.
TEST(VmDriver, AnUnpublishedCompletionIsNotStored) {
  DriverWorld world(1);
  world.entry.store->unanswered_appends = Topic::kStatus;
  world.Start();
  world.RunUntil(std::chrono::seconds(3), [&] { return !world.fleet.vms.reboots.empty(); });
  ASSERT_FALSE(world.fleet.vms.reboots.empty());
  world.io.run_for(milliseconds(400));
  EXPECT_EQ(world.stored.rebooted.size(), 1U);
  EXPECT_FALSE(world.stored.is_complete);
}

/// Guards against a wave that is never published because the successor takes the stored progress of
/// its predecessor for a sign that it was.
TEST(VmDriver, ASuccessorPublishesAWaveThatWasNotPublished) {
  for (const bool is_published : {false, true}) {
    DriverWorld world(1);
    world.fleet.vms.is_busy = true;
    jobs::WaveProgress progress;
    progress.number = 1;
    progress.is_reported = is_published;
    world.driver->Restore(progress);
    world.Start();
    world.RunUntil(std::chrono::seconds(3), [&] { return !world.fleet.vms.tokens.empty(); });
    EXPECT_EQ(world.WaveStatus(), is_published ? "" : "running");
  }
}

/// Guards against an owner that the group drops because its VM orders use all connections to a slow
/// store with one query each.
TEST(VmDriver, WaitingOrdersShareOneQueryForASuccessor) {
  DriverWorld world(16);
  world.fleet.vms.is_busy = true;
  world.fleet.store.answer_time = milliseconds(240);
  world.Start();
  world.RunUntil(std::chrono::seconds(4), [&] { return world.fleet.vms.tokens.size() >= 3; });
  EXPECT_GE(world.fleet.vms.tokens.size(), 3U);
  EXPECT_EQ(world.entry.store->max_concurrent_reads[Topic::kOwners], 1);
}

/// A change of the endpoint of a VM under evacuation.
struct RegistrationCase {
  const char* name;
  std::function<void(DriverWorld&)> change;
};

/// Guards against work for a VM under evacuation whose endpoint has registered again or has a new
/// id.
class VmUnderEvacuation : public ::testing::TestWithParam<RegistrationCase> {};

TEST_P(VmUnderEvacuation, GetsNoWork) {
  DriverWorld world(1);
  world.fleet.vms.is_busy = true;
  world.Start();
  world.RunUntil(std::chrono::seconds(3), [&] { return !world.fleet.vms.tokens.empty(); });
  ASSERT_FALSE(world.fleet.vms.tokens.empty());
  GetParam().change(world);
  world.io.run_for(milliseconds(500));
  world.world.scheduler.AddJob(
      jobs::SchedulerHarness::MakeJob(1, {jobs::SchedulerHarness::MakeStep(1)}), WallTime{});
  EXPECT_TRUE(world.world.Round().starts.empty());
}

INSTANTIATE_TEST_SUITE_P(Registrations, VmUnderEvacuation,
                         ::testing::Values(RegistrationCase{"unchanged", [](DriverWorld&) {}},
                                           RegistrationCase{"lapsed_and_back",
                                                            [](DriverWorld& world) {
                                                              world.world.Register({});
                                                              world.Register();
                                                            }},
                                           RegistrationCase{"another",
                                                            [](DriverWorld& world) {
                                                              world.fleet.vms.vms[0].endpoint =
                                                                  "j0";
                                                              world.Register();
                                                            }}),
                         [](const auto& info) { return info.param.name; });

/// A reboot without an answer that is executed 7 s later.
struct LateRebootCase {
  const char* name;
  /// How many of the orders get no answer.
  int unanswered;
  /// The order was given by a predecessor.
  bool is_predecessors;
};

/// Guards against more VMs of a wave down at once than it allows, as a reboot that was taken for
/// lost begins beside those ordered in its place.
class LateReboot : public ::testing::TestWithParam<LateRebootCase> {};

TEST_P(LateReboot, KeepsItsPlaceInTheWave) {
  DriverWorld world(6);
  FakeVms& vms = world.fleet.vms;
  for (std::size_t i = 1; i < 5; ++i) {
    vms.vms[i].pool = ServiceId{"pool" + std::to_string(i)};
  }
  world.Register();
  world.fleet.store.At(Topic::kOperators, 0).records.push_back({"wave", "m0,m1,m2,m3,m4"});
  vms.unanswered[VmId{"m0"}] = GetParam().unanswered;
  vms.late_delay = std::chrono::seconds(7);
  vms.reboot_time = milliseconds(2500);
  if (GetParam().is_predecessors) {
    jobs::WaveProgress progress;
    progress.number = 1;
    progress.ordered = {VmId{"m0"}};
    progress.closed = {{VmId{"m0"}, "i0"}};
    world.driver->Restore(progress);
  }
  world.Start();
  world.RunUntil(std::chrono::seconds(3), [&] { return !vms.tokens.empty(); });
  ASSERT_FALSE(vms.tokens.empty());
  EXPECT_TRUE(world.stored.ordered.contains(VmId{"m0"}) || GetParam().is_predecessors);
  // Its pool is busy from now on, so that the other VMs would be chosen before it.
  world.world.scheduler.AddJob(
      jobs::SchedulerHarness::MakeJob(1, {jobs::SchedulerHarness::MakeStep(4)}), WallTime{});
  EXPECT_EQ(world.world.Round().starts.size(), 4U);
  world.RunUntil(std::chrono::seconds(25), [&] { return world.WaveStatus() == "complete"; });
  EXPECT_EQ(world.WaveStatus(), "complete");
  EXPECT_LE(vms.max_rebooting, 2U);
  EXPECT_TRUE(world.stored.ordered.empty());
  EXPECT_TRUE(world.stored.closed.empty());
}

INSTANTIATE_TEST_SUITE_P(Orders, LateReboot,
                         ::testing::Values(LateRebootCase{"first_unanswered", 1, false},
                                           LateRebootCase{"all_until_it_begins", 8, false},
                                           LateRebootCase{"of_a_predecessor", 8, true}),
                         [](const auto& info) { return info.param.name; });

/// Guards against a reboot of which a successor doesn't know, as it was ordered before it was
/// stored.
TEST(VmDriver, NoRebootIsOrderedBeforeItIsStored) {
  DriverWorld world(2);
  world.stores_records = false;
  world.Start();
  world.io.run_for(milliseconds(1500));
  EXPECT_TRUE(world.fleet.vms.tokens.empty());
  world.stores_records = true;
  world.RunUntil(std::chrono::seconds(3), [&] { return !world.fleet.vms.tokens.empty(); });
  EXPECT_FALSE(world.fleet.vms.tokens.empty());
}

/// Guards against VMs that stay empty after they are removed from a wave.
TEST(VmDriver, AVmThatIsRemovedFromAWaveGetsWorkAgain) {
  DriverWorld world(8);
  world.fleet.vms.is_busy = true;
  world.Start();
  world.RunUntil(std::chrono::seconds(3), [&] { return world.fleet.vms.tokens.size() >= 4; });
  ASSERT_GE(world.fleet.vms.tokens.size(), 4U);
  world.fleet.store.At(Topic::kOperators, 0).records.push_back({"wave", "m7"});
  world.io.run_for(milliseconds(3000));
  world.fleet.vms.vms[1].endpoint = "j1";
  world.Register();
  world.io.run_for(milliseconds(1500));
  world.world.scheduler.AddJob(
      jobs::SchedulerHarness::MakeJob(1, {jobs::SchedulerHarness::MakeStep(8, 8000)}), WallTime{});
  // The pool is sized for the job first; until then, idle VMs may be moved.
  std::set<std::string> started;
  for (int round = 0; round < 2; ++round) {
    for (const jobs::StartOrder& start : world.world.Round().starts) {
      started.insert(start.endpoint);
    }
    world.io.run_for(milliseconds(1500));
  }
  EXPECT_TRUE(started.contains("i0"));
  EXPECT_TRUE(started.contains("j1"));
  EXPECT_TRUE(started.contains("i5"));
}

}  // namespace
}  // namespace chervilspar::job_entry
