#include "chervilspar/config_log/folder.h"

#include "chervilspar/config_log/record_codec.h"

#include "config_log/fold_visitor.h"

namespace chervilspar::config_log {

const char* ToString(FoldVerdict verdict) {
  switch (verdict) {
    case FoldVerdict::kAccepted:
      return "accepted";
    case FoldVerdict::kRejected:
      return "rejected";
    case FoldVerdict::kDuplicate:
      return "duplicate";
    case FoldVerdict::kPassedOver:
      return "passed-over";
    case FoldVerdict::kUnreadable:
      return "unreadable";
  }
  return "unreadable";
}

Folder::Folder() = default;

Folder::Folder(FleetState state) : state(std::move(state)) { this->RebuildIndexes(); }

void Folder::RebuildIndexes() {
  for (const auto& [id, vm] : this->state.inventory.vms) {
    this->CountVm(id, +1);
  }
  for (const auto& [id, step] : this->state.steps) {
    ++this->held_in_rack[this->state.inventory.vms.at(step.vm).rack];
  }
  for (const RecordId& id : this->state.recent_records) {
    this->recent.insert(id.text);
  }
}

void Folder::CountVm(const VmId& vm, int sign) {
  const VmStatus& status = this->state.vm_status.at(vm);
  if (status.step || status.retired) {
    return;
  }
  PoolCounts& pool = this->counts[this->state.inventory.vms.at(vm).pool];
  if (status.condition == VmCondition::kAvailable) {
    CHERVILSPAR_ASSERT(sign > 0 || pool.available > 0);
    pool.available = sign > 0 ? pool.available + 1 : pool.available - 1;
  } else if (status.condition == VmCondition::kUnseen) {
    CHERVILSPAR_ASSERT(sign > 0 || pool.unseen > 0);
    pool.unseen = sign > 0 ? pool.unseen + 1 : pool.unseen - 1;
  }
}

PoolCounts Folder::CountsOf(const PoolId& pool) const {
  const auto found = this->counts.find(pool);
  return found == this->counts.end() ? PoolCounts{} : found->second;
}

void Folder::Remember(const RecordId& id) {
  this->recent.insert(id.text);
  this->state.recent_records.push_back(id);
  if (this->state.recent_records.size() > kMaxRecentRecords) {
    this->recent.erase(this->state.recent_records.front().text);
    this->state.recent_records.pop_front();
  }
}

FoldOutcome Folder::Pass(FoldVerdict verdict, const RecordId& record,
                         std::optional<Reason> reason) {
  const Offset offset = this->state.next_offset++;
  this->snapshot.reset();
  return FoldOutcome{offset, verdict, record, std::move(reason), this->state.version};
}

FoldOutcome Folder::Fold(const Record& record) {
  if (std::holds_alternative<SnapshotChunk>(record.body)) {
    return this->Pass(FoldVerdict::kPassedOver, record.id, std::nullopt);
  }
  // An append whose answer was lost is repeated: without this, the author of an accepted publish
  // would be told of a conflict with its own first copy.
  if (this->recent.contains(record.id.text)) {
    return this->Pass(FoldVerdict::kDuplicate, record.id, std::nullopt);
  }
  this->Remember(record.id);
  FoldVisitor visitor(*this, record);
  FoldDecision decision = std::visit(visitor, record.body);
  return this->Pass(decision.verdict, decision.subject.value_or(record.id),
                    std::move(decision.reason));
}

FoldOutcome Folder::FoldText(std::string_view text) {
  const Result<Record> record = DecodeRecord(text);
  if (!record) {
    return this->Pass(FoldVerdict::kUnreadable, RecordId{}, record.LastReason());
  }
  return this->Fold(*record);
}

std::shared_ptr<const FleetState> Folder::Snapshot() const {
  if (!this->snapshot) {
    this->snapshot = std::make_shared<const FleetState>(this->state);
  }
  return this->snapshot;
}

FoldResult Fold(const FleetState& state, Offset offset, const Record& record) {
  CHERVILSPAR_ASSERT(offset == state.next_offset);
  Folder folder(state);
  FoldOutcome outcome = folder.Fold(record);
  return FoldResult{folder.State(), std::move(outcome)};
}

Publish MakePublish(const FleetState& state, const inventory::Inventory& wanted) {
  inventory::Inventory merged = wanted;
  for (auto& [id, vm] : merged.vms) {
    const auto status = state.vm_status.find(id);
    if (status != state.vm_status.end() && status->second.declared_pool == vm.pool) {
      vm.pool = state.inventory.vms.at(id).pool;
    }
  }
  return Publish{state.version, inventory::Diff(state.inventory, merged)};
}

}  // namespace chervilspar::config_log
