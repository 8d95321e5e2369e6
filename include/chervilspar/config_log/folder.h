#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_set>

#include "chervilspar/base/result.h"
#include "chervilspar/config_log/fleet_state.h"
#include "chervilspar/config_log/record.h"

namespace chervilspar::config_log {

/// How many record ids are remembered to drop repeated appends. Entries append at most 20 records a
/// second each (`AppendPolicy`), so that nine of them need 22 s to write as many, longer than the
/// 20 s for which an append is repeated; on an ordinary day it is hours. A duplicate that comes
/// later still meets what its body compares: a publish the version, a key its tombstone, an
/// observation its time, a step its phase, a claim the VM's last step.
constexpr std::size_t kMaxRecentRecords = 4096;

/// Most publishes in parts that may be unfinished at once, and most parts of one. Older ones give
/// way, so that an author that died half way leaves nothing behind for good.
constexpr std::size_t kMaxPendingPublishes = 4;
constexpr std::uint32_t kMaxPublishParts = 24;

/// What the fold did with a record.
enum class FoldVerdict {
  /// The record is in force.
  kAccepted,
  /// The record would break a promise or was made from a state that is gone.
  kRejected,
  /// The record was folded before.
  kDuplicate,
  /// The record changes nothing: snapshot chunk, or a part of a publish that is not yet whole.
  kPassedOver,
  /// The text is not a record that this version reads.
  kUnreadable,
};

const char* ToString(FoldVerdict verdict);

/// The outcome of one offset.
struct FoldOutcome {
  Offset offset = 0;
  FoldVerdict verdict = FoldVerdict::kPassedOver;
  /// The record decided; for the last part of a publish in parts, the publish's id.
  RecordId record;
  /// Why it was rejected or not readable.
  std::optional<Reason> reason;
  /// The configuration's version after this record.
  ConfigVersion version = 0;

  friend bool operator==(const FoldOutcome&, const FoldOutcome&) = default;
};

/// Availability of one pool, kept up to date so that a record costs O(log n) and not O(VMs).
struct PoolCounts {
  /// Observed available, held by no step, not retired.
  std::uint32_t available = 0;
  /// Published and never observed; may turn out available.
  std::uint32_t unseen = 0;

  friend bool operator==(const PoolCounts&, const PoolCounts&) = default;
};

/// Folds records into a state that it owns. Every entry folds the same records in the same order
/// and so comes to the same state; a record that would break a promise is rejected at its offset,
/// by all alike. Offsets must come in order without gaps.
class Folder {
 public:
  Folder();
  explicit Folder(FleetState state);

  /// Folds the record at the state's `next_offset`.
  FoldOutcome Fold(const Record& record);

  /// Decodes and folds the text at the state's `next_offset`; unreadable text is passed over.
  FoldOutcome FoldText(std::string_view text);

  const FleetState& State() const { return this->state; }

  /// An immutable copy of the state, shared by all who ask at the same offset.
  std::shared_ptr<const FleetState> Snapshot() const;

  PoolCounts CountsOf(const PoolId& pool) const;

 private:
  friend class FoldVisitor;
  friend class PublishFold;

  void RebuildIndexes();
  /// Adds (+1) or takes away (-1) what a VM contributes to its pool's counts. Each change of a VM
  /// stands between the two.
  void CountVm(const VmId& vm, int sign);
  void Remember(const RecordId& id);
  FoldOutcome Pass(FoldVerdict verdict, const RecordId& record, std::optional<Reason> reason);

  FleetState state;
  std::map<PoolId, PoolCounts> counts;
  /// Steps that hold a VM, by rack.
  std::map<RackId, std::uint32_t> held_in_rack;
  std::unordered_set<std::string> recent;
  mutable std::shared_ptr<const FleetState> snapshot;
};

/// A folded state and what became of the record.
struct FoldResult {
  FleetState state;
  FoldOutcome outcome;

  friend bool operator==(const FoldResult&, const FoldResult&) = default;
};

/// The fold as a pure function; costs a copy of the state.
FoldResult Fold(const FleetState& state, Offset offset, const Record& record);

/// The publish that turns the folded configuration into `wanted`. A VM whose pool a move step
/// changed since the last publish stays where it is when `wanted` still names the pool of that
/// publish: otherwise an operator's copy made before the move would undo it.
Publish MakePublish(const FleetState& state, const inventory::Inventory& wanted);

}  // namespace chervilspar::config_log
