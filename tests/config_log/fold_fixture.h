#pragma once

#include <functional>
#include <string>
#include <utility>
#include <vector>

#include "chervilspar/config_log/folder.h"
#include "chervilspar/config_log/key_digest.h"
#include "chervilspar/config_log/record_codec.h"

#include "tests/inventory/sample_inventory.h"

namespace chervilspar::config_log {

/// Folds records by hand: numbers their ids, and keeps them, so that a test can fold them again.
class FoldBench {
 public:
  FoldOutcome Apply(RecordBody body) {
    return this->ApplyRecord(Record{RecordId{"r" + std::to_string(this->next_id++)}, EntryId{"e1"},
                                    this->Now(), std::move(body)});
  }

  FoldOutcome ApplyRecord(const Record& record) {
    this->records.push_back(record);
    return this->folder.Fold(record);
  }

  /// Publishes `wanted` and has all its VMs observed as available.
  void Start(const inventory::Inventory& wanted = inventory::SampleInventory()) {
    this->Apply(MakePublish(this->folder.State(), wanted));
    VmsObserved observed;
    observed.observed_at = this->Now();
    for (const auto& [id, vm] : wanted.vms) {
      observed.vms.push_back(id);
    }
    this->Apply(observed);
  }

  FoldOutcome Observe(VmCondition condition, std::vector<VmId> vms) {
    return this->Apply(VmsObserved{condition, std::move(vms), this->Now()});
  }

  FoldOutcome Claim(const char* vm, StepAction action = StepAction::kReboot,
                    std::optional<PoolId> to_pool = std::nullopt) {
    const PoolId from = this->folder.State().inventory.vms.at(VmId{vm}).pool;
    return this->Apply(StepClaimed{VmId{vm}, action, from, std::move(to_pool), EntryId{"e1"}});
  }

  FoldOutcome Act(const RecordId& step) {
    return this->Apply(StepActing{StepId{step.text}, EntryId{"e1"}});
  }

  FoldOutcome Finish(const RecordId& step, StepResult result = StepResult::kSucceeded) {
    return this->Apply(StepDone{StepId{step.text}, result});
  }

  const FleetState& State() const { return this->folder.State(); }
  std::uint32_t Available(const char* pool) const {
    return this->folder.CountsOf(PoolId{pool}).available;
  }

  Folder folder;
  std::vector<Record> records;

 private:
  WallTime Now() { return WallTime(std::chrono::seconds(1'800'000'000 + this->next_id)); }

  int next_id = 0;
};

/// Publishes the current inventory with a change.
inline FoldOutcome PublishOf(FoldBench& bench,
                             const std::function<void(inventory::Inventory&)>& change) {
  inventory::Inventory wanted = bench.State().inventory;
  change(wanted);
  return bench.Apply(
      Publish{bench.State().version, inventory::Diff(bench.State().inventory, wanted)});
}

inline KeyDigest TestDigest(const std::string& name) { return DigestOf(name); }

}  // namespace chervilspar::config_log
