#include <map>
#include <set>
#include <string>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "chervilspar/config_log/folder.h"

#include "tests/config_log/fold_fixture.h"

namespace chervilspar::config_log {
namespace {

VmId AnyVm() { return VmId{"vm-" + std::to_string(*rc::gen::inRange(0, 11))}; }

PoolId AnyPool() {
  return PoolId{*rc::gen::element<std::string>("booking", "fleet", "spare", "nowhere")};
}

StepId AnyStep(const FleetState& state) {
  if (state.steps.empty()) {
    return StepId{"none"};
  }
  const auto at = *rc::gen::inRange<std::size_t>(0, state.steps.size());
  return std::next(state.steps.begin(), static_cast<std::ptrdiff_t>(at))->first;
}

RecordBody AnyPublish(const FleetState& state) {
  inventory::Inventory wanted = state.inventory;
  switch (*rc::gen::inRange(0, 5)) {
    case 0:
      wanted.pools[PoolId{"booking"}].min_available = *rc::gen::inRange(0U, 5U);
      break;
    case 1:
      wanted.vms.erase(AnyVm());
      break;
    case 2: {
      const auto vm = wanted.vms.find(AnyVm());
      if (vm != wanted.vms.end()) {
        vm->second.pool = AnyPool();
      }
      break;
    }
    case 3: {
      inventory::Vm vm = inventory::SampleInventory().vms.at(VmId{"vm-0"});
      vm.id = AnyVm();
      vm.rack = RackId{"r-" + vm.id.text};
      vm.address = "127.0.0.2:9" + vm.id.text.substr(3);
      vm.pool = AnyPool();
      wanted.vms[vm.id] = vm;
      break;
    }
    default:
      wanted.teams[TeamId{"desk"}].upper_limit = *rc::gen::inRange(1U, 9U);
      break;
  }
  const ConfigVersion base = state.version - *rc::gen::element(0, 0, 0, 1);
  return Publish{base, inventory::Diff(state.inventory, wanted)};
}

RecordBody AnyStepBody(const FleetState& state) {
  const EntryId executor{*rc::gen::element<std::string>("e1", "e2")};
  switch (*rc::gen::inRange(0, 8)) {
    case 0:
      return StepActing{AnyStep(state), executor};
    case 1:
      return StepDone{AnyStep(state),
                      *rc::gen::element(StepResult::kSucceeded, StepResult::kVmFailed)};
    case 2:
      return StepWithdrawn{AnyStep(state), "why"};
    case 3:
      return StepTakenOver{AnyStep(state), executor, EntryId{"e2"}};
    default: {
      StepClaimed claim;
      claim.vm = AnyVm();
      claim.action = *rc::gen::element(StepAction::kReboot, StepAction::kMove, StepAction::kRetire);
      const auto vm = state.inventory.vms.find(claim.vm);
      claim.from_pool = vm == state.inventory.vms.end() ? AnyPool() : vm->second.pool;
      if (claim.action == StepAction::kMove) {
        claim.to_pool = AnyPool();
      }
      claim.executor = executor;
      return claim;
    }
  }
}

RecordBody AnyBody(const FleetState& state, int at) {
  const KeyDigest digest = TestDigest(std::to_string(*rc::gen::inRange(0, 4)));
  switch (*rc::gen::inRange(0, 10)) {
    case 0:
    case 1:
      return AnyPublish(state);
    case 2:
      return KeyGiven{digest, TeamId{*rc::gen::element<std::string>("desk", "shop")}};
    case 3:
      return KeyWithdrawn{digest};
    case 4:
    case 5: {
      const VmCondition condition =
          *rc::gen::element(VmCondition::kAvailable, VmCondition::kAvailable, VmCondition::kFailed,
                            VmCondition::kLeaving);
      const int age = *rc::gen::element(0, 0, 20);
      return VmsObserved{
          condition, {AnyVm(), AnyVm()}, WallTime(std::chrono::seconds(1'900'000'000 + at - age))};
    }
    default:
      return AnyStepBody(state);
  }
}

/// A random history, made from the state that each record meets, with repeats among the records.
std::vector<Record> AnyHistory(
    FoldBench& bench,
    const std::function<void(const Record&, const FleetState&, const FoldOutcome&)>& observe) {
  bench.Start();
  const int length = *rc::gen::inRange(5, 60);
  for (int i = 0; i < length; ++i) {
    const FleetState before = bench.State();
    Record record{RecordId{"h" + std::to_string(i)}, EntryId{"e1"},
                  WallTime(std::chrono::seconds(1'900'000'000 + i)), AnyBody(before, i)};
    if (*rc::gen::inRange(0, 8) == 0) {
      const auto earlier = *rc::gen::inRange<std::size_t>(0, bench.records.size());
      record = bench.records[earlier];
    }
    const FoldOutcome outcome = bench.ApplyRecord(record);
    observe(record, before, outcome);
  }
  return bench.records;
}

/// Availability counted anew from the state, sharing nothing with the folder's counts.
std::map<PoolId, std::uint32_t> CountAnew(const FleetState& state) {
  std::map<PoolId, std::uint32_t> counts;
  for (const auto& [id, vm] : state.inventory.vms) {
    const VmStatus& status = state.vm_status.at(id);
    const bool available =
        status.condition == VmCondition::kAvailable && !status.step && !status.retired;
    counts[vm.pool] += available ? 1 : 0;
  }
  return counts;
}

// A claim admitted by one entry and refused by another would split the fleet: one drains the VM
// that the other counts on. So the same records must give the same state, wherever reading began.
RC_GTEST_PROP(FoldProperty, SnapshotAndTailGiveTheSameState, ()) {
  FoldBench bench;
  const std::vector<Record> records =
      AnyHistory(bench, [](const auto&, const auto&, const auto&) {});
  const auto split = *rc::gen::inRange<std::size_t>(0, records.size() + 1);
  Folder first;
  for (std::size_t i = 0; i < split; ++i) {
    first.FoldText(EncodeRecord(records[i]));
  }
  Folder second(DecodeState(EncodeState(first.State())).Value());
  for (std::size_t i = split; i < records.size(); ++i) {
    second.FoldText(EncodeRecord(records[i]));
  }
  RC_ASSERT(second.State() == bench.State());
}

// Whatever operators and planners write into the log at once, steps and publishes may never be what
// takes a pool below its budget; only failures may.
RC_GTEST_PROP(FoldProperty, NoRecordButAFailureWorsensAShortage, ()) {
  FoldBench bench;
  AnyHistory(bench, [&bench](const Record& record, const FleetState& before,
                             const FoldOutcome& outcome) {
    const auto shortage = [](const FleetState& state, const PoolId& pool, std::uint32_t available) {
      const auto found = state.inventory.pools.find(pool);
      const std::uint32_t budget =
          found == state.inventory.pools.end() ? 0 : found->second.min_available;
      return budget > available ? budget - available : 0;
    };
    const bool is_observation = std::holds_alternative<VmsObserved>(record.body);
    const bool is_publish = std::holds_alternative<Publish>(record.body);
    const auto* done = std::get_if<StepDone>(&record.body);
    const bool is_failure = done != nullptr && done->result == StepResult::kVmFailed;
    auto before_counts = CountAnew(before);
    auto after_counts = CountAnew(bench.State());
    for (const auto& [pool, object] : bench.State().inventory.pools) {
      RC_ASSERT(bench.folder.CountsOf(pool).available == after_counts[pool]);
      if (is_observation || is_failure || outcome.verdict != FoldVerdict::kAccepted) {
        continue;
      }
      // A publish may count on VMs that are new and not yet seen.
      const std::uint32_t unseen = is_publish ? bench.folder.CountsOf(pool).unseen : 0;
      const auto after = shortage(bench.State(), pool, after_counts[pool] + unseen);
      RC_ASSERT(after <= shortage(before, pool, before_counts[pool]));
    }
  });
}

RC_GTEST_PROP(FoldProperty, PromisesHoldAfterEveryRecord, ()) {
  FoldBench bench;
  AnyHistory(bench,
             [&bench](const Record& record, const FleetState& before, const FoldOutcome& outcome) {
               const FleetState& after = bench.State();
               RC_ASSERT(after.version >= before.version);
               RC_ASSERT(after.next_offset == before.next_offset + 1);
               for (const KeyDigest& digest : before.withdrawn) {
                 RC_ASSERT(after.withdrawn.contains(digest));
               }
               for (const auto& [digest, team] : after.keys) {
                 RC_ASSERT(!after.withdrawn.contains(digest));
                 RC_ASSERT(after.inventory.teams.contains(team));
               }
               std::set<VmId> held;
               for (const auto& [id, step] : after.steps) {
                 RC_ASSERT(held.insert(step.vm).second);
                 RC_ASSERT(after.inventory.vms.at(step.vm).pool == step.from_pool);
               }
               RC_ASSERT(inventory::FindDanglingReferences(after.inventory).empty());
               RC_ASSERT(after.vm_status.size() == after.inventory.vms.size());
               const auto* publish = std::get_if<Publish>(&record.body);
               if (publish != nullptr && outcome.verdict == FoldVerdict::kAccepted) {
                 RC_ASSERT(publish->base_version == before.version);
                 RC_ASSERT(after.version == before.version + 1);
               }
             });
}

// Appends are answered late, twice or not at all, so records stand in the log more than once. The
// repeats must change nothing.
RC_GTEST_PROP(FoldProperty, RepeatsChangeNothing, ()) {
  FoldBench bench;
  const std::vector<Record> records =
      AnyHistory(bench, [](const auto&, const auto&, const auto&) {});
  Folder once;
  Folder repeated;
  for (std::size_t i = 0; i < records.size(); ++i) {
    once.Fold(records[i]);
    repeated.Fold(records[i]);
    const auto again = *rc::gen::inRange<std::size_t>(0, i + 1);
    RC_ASSERT(repeated.Fold(records[again]).verdict == FoldVerdict::kDuplicate);
  }
  FleetState expected = once.State();
  FleetState actual = repeated.State();
  actual.next_offset = expected.next_offset;
  RC_ASSERT(actual == expected);
}

// Two operators publish from the same version at the same moment. Exactly one must win, or the
// change of one is lost without anyone being told.
RC_GTEST_PROP(FoldProperty, OneOfTwoRacingOperatorsWins, ()) {
  FoldBench bench;
  bench.Start();
  const FleetState seen = bench.State();
  int accepted = 0;
  const int racers = *rc::gen::inRange(2, 6);
  for (int i = 0; i < racers; ++i) {
    inventory::Inventory wanted = seen.inventory;
    wanted.teams.at(TeamId{"desk"}).share = 1.0 + i;
    const FoldOutcome outcome = bench.Apply(MakePublish(seen, wanted));
    accepted += outcome.verdict == FoldVerdict::kAccepted ? 1 : 0;
  }
  RC_ASSERT(accepted == 1);
}

}  // namespace
}  // namespace chervilspar::config_log
