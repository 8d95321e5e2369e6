#include "entry/vm_observer.h"

#include <string>
#include <vector>

#include <gtest/gtest.h>

namespace chervilspar::entry {
namespace {

using config_log::VmCondition;

/// A clock that stands where it is set.
class FakeClock final : public Clock {
 public:
  TimePoint Now() const override { return TimePoint(this->span); }
  WallTime WallNow() const override { return WallTime(this->span); }
  void Advance(Duration by) { this->span += by; }

 private:
  Duration span = std::chrono::hours(1);
};

class VmObserverTest : public testing::Test {
 protected:
  VmObserverTest()
      : events(EntryId{"e1"}, 16, std::chrono::seconds(1)),
        context{this->settings,
                this->clock,
                {EntryId{"e1"}, {}, ZoneId{"a"}},
                this->events,
                this->metrics},
        observer(this->context) {
    for (const char* name : {"v1", "v2"}) {
      this->state.inventory.vms[VmId{name}].id = VmId{name};
      this->state.vm_status[VmId{name}].condition = VmCondition::kAvailable;
    }
  }

  void Read(const std::vector<platform::ListedVm>& vms) {
    this->list.sequence += 1;
    this->list.as_of = this->clock.WallNow();
    this->list.vms = vms;
    this->observer.OnList(this->list, this->state);
  }

  std::vector<config_log::VmsObserved> Due(std::size_t turn = 0) {
    return this->observer.Due(this->state, turn);
  }

  EntrySettings settings;
  FakeClock clock;
  telemetry::EventRing events;
  telemetry::MetricsRegistry metrics;
  EntryContext context;
  VmObserver observer;
  config_log::FleetState state;
  platform::VmList list;
};

const platform::ListedVm kLiveV1{VmId{"v1"}, platform::VmState::kLive, ""};
const platform::ListedVm kLiveV2{VmId{"v2"}, platform::VmState::kLive, ""};

TEST_F(VmObserverTest, NothingIsDueWhileTheListAgrees) {
  this->Read({kLiveV1, kLiveV2});
  EXPECT_TRUE(this->Due().empty());
}

TEST_F(VmObserverTest, ALeavingVmIsRecordedAtOnce) {
  this->Read({kLiveV1, {VmId{"v2"}, platform::VmState::kLeaving, ""}});
  const auto due = this->Due();
  ASSERT_EQ(due.size(), 1U);
  EXPECT_EQ(due[0].condition, VmCondition::kLeaving);
  EXPECT_EQ(due[0].vms, std::vector<VmId>{VmId{"v2"}});
  EXPECT_TRUE(this->observer.ListedLeaving().contains(VmId{"v2"}));
}

// The list lags and drops a VM for a moment while it reboots. Recorded as failed at once, every
// reboot would stop the wave as a failure; recorded never, work would go on to a dead VM.
TEST_F(VmObserverTest, AMissingVmIsFailedOnlyAfterAWhile) {
  this->Read({kLiveV1});
  EXPECT_TRUE(this->Due().empty());
  this->clock.Advance(kUnlistedIsFailed);
  this->Read({kLiveV1});
  const auto due = this->Due();
  ASSERT_EQ(due.size(), 1U);
  EXPECT_EQ(due[0].condition, VmCondition::kFailed);
  EXPECT_TRUE(this->observer.FailingSince(VmId{"v2"}).has_value());
}

// All entries see the same change at once. If each appended it, the log would take nine records
// for one; so the second in line waits for the first, and appends when that one does not.
TEST_F(VmObserverTest, TheSecondEntryWaitsForItsTurn) {
  this->Read({kLiveV1, {VmId{"v2"}, platform::VmState::kLeaving, ""}});
  EXPECT_TRUE(this->Due(1).empty());
  this->clock.Advance(kObserverTurn);
  EXPECT_EQ(this->Due(1).size(), 1U);
}

// An answer that was overtaken on its way shows the leaving VM as live. Taken as news it would
// bring work back to a VM that is about to go.
TEST_F(VmObserverTest, AnOlderListChangesNothing) {
  this->Read({kLiveV1, {VmId{"v2"}, platform::VmState::kLeaving, ""}});
  platform::VmList older = this->list;
  older.sequence -= 1;
  older.as_of -= std::chrono::seconds(5);
  older.vms = {kLiveV1, kLiveV2};
  this->observer.OnList(older, this->state);
  EXPECT_TRUE(this->observer.ListedLeaving().contains(VmId{"v2"}));
}

}  // namespace
}  // namespace chervilspar::entry
