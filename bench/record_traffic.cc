#include "bench/record_traffic.h"

#include "chervilspar/config_log/folder.h"
#include "chervilspar/config_log/key_digest.h"
#include "chervilspar/config_log/record_codec.h"

namespace chervilspar::bench {

namespace {

using config_log::Record;
using config_log::RecordBody;

constexpr double kDaysOfSevenWeeks = 49.0;
constexpr double kDaysOfMonth = 30.0;
/// A key is replaced by giving a new one and withdrawing the old.
constexpr double kRecordsTime = 1'800'000'000;

Record MakeRecord(RecordBody body) {
  // Ids as entries make them: a name, the start of the process and a number.
  return Record{RecordId{"entry-a1-1800000000000000-123456"}, EntryId{"entry-a1"},
                WallTime(std::chrono::seconds(static_cast<std::int64_t>(kRecordsTime))),
                std::move(body)};
}

Record ObservationOf(config_log::VmCondition condition, std::vector<VmId> vms) {
  return MakeRecord(config_log::VmsObserved{
      condition, std::move(vms),
      WallTime(std::chrono::seconds(static_cast<std::int64_t>(kRecordsTime)))});
}

std::vector<Record> StepRecords(const inventory::Vm& vm) {
  const StepId step{"entry-a1-1800000000000000-123455"};
  const EntryId executor{"entry-a1"};
  return {MakeRecord(config_log::StepClaimed{vm.id, config_log::StepAction::kReboot, vm.pool,
                                             std::nullopt, executor}),
          MakeRecord(config_log::StepActing{step, executor}),
          MakeRecord(config_log::StepDone{step, config_log::StepResult::kSucceeded})};
}

std::vector<Record> ChangeRecords(const config_log::FleetState& state) {
  inventory::Inventory wanted = state.inventory;
  wanted.vms.begin()->second.cores = 32;
  return {MakeRecord(config_log::MakePublish(state, wanted))};
}

std::vector<VmId> RackOf(const inventory::Inventory& inventory) {
  std::vector<VmId> vms;
  for (const auto& [id, vm] : inventory.vms) {
    if (vm.rack == inventory.vms.begin()->second.rack) {
      vms.push_back(id);
    }
  }
  return vms;
}

}  // namespace

FleetRates PlannedRates() {
  FleetRates rates;
  rates.name = "planned";
  rates.changes_a_day = 4300;
  rates.failures_a_day = 130;
  rates.restarts_a_day = 2400;
  rates.keys_a_day = rates.shape.teams / kDaysOfMonth;
  return rates;
}

FleetRates TodaysRates() {
  constexpr std::uint32_t kVms = 51;
  const FleetRates planned = PlannedRates();
  const double part = static_cast<double>(kVms) / planned.shape.vms;
  FleetRates rates;
  rates.name = "today";
  rates.shape.vms = kVms;
  rates.shape.accelerators = 0;
  rates.shape.pools = 6;
  rates.shape.teams = 6;
  rates.shape.regions = 1;
  rates.shape.zones = 3;
  rates.shape.entries = 6;
  rates.changes_a_day = 20;
  rates.failures_a_day = planned.failures_a_day * part;
  rates.restarts_a_day = planned.restarts_a_day * part;
  rates.rack_losses_a_day = planned.rack_losses_a_day * part;
  rates.keys_a_day = rates.shape.teams / kDaysOfMonth;
  return rates;
}

std::vector<RecordCause> CausesOf(const FleetRates& rates) {
  using config_log::VmCondition;
  const config_log::FleetState state = MakeBigState(rates.shape);
  const inventory::Vm& vm = state.inventory.vms.begin()->second;
  const TeamId team = state.inventory.teams.begin()->first;
  const config_log::KeyDigest digest = config_log::DigestOf("key");
  const std::vector<VmId> rack = RackOf(state.inventory);
  std::vector<RecordCause> causes;
  causes.push_back({"change of configuration", rates.changes_a_day, ChangeRecords(state)});
  causes.push_back({"maintenance of a VM", rates.shape.vms / kDaysOfSevenWeeks, StepRecords(vm)});
  causes.push_back({"failure of a VM",
                    rates.failures_a_day,
                    {ObservationOf(VmCondition::kFailed, {vm.id}),
                     ObservationOf(VmCondition::kAvailable, {vm.id})}});
  causes.push_back({"restart or replacement",
                    rates.restarts_a_day,
                    {ObservationOf(VmCondition::kLeaving, {vm.id}),
                     ObservationOf(VmCondition::kAvailable, {vm.id})}});
  causes.push_back(
      {"loss of a rack",
       rates.rack_losses_a_day,
       {ObservationOf(VmCondition::kFailed, rack), ObservationOf(VmCondition::kAvailable, rack)}});
  causes.push_back({"replacement of a key",
                    rates.keys_a_day,
                    {MakeRecord(config_log::KeyGiven{digest, team}),
                     MakeRecord(config_log::KeyWithdrawn{digest})}});
  causes.push_back({"snapshot", rates.snapshots_a_day,
                    config_log::MakeSnapshotRecords(RecordId{"snapshot-1800000000"},
                                                    EntryId{"entry-a1"}, WallTime{}, state)});
  return causes;
}

}  // namespace chervilspar::bench
