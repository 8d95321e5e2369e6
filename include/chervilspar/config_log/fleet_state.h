#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "chervilspar/base/ids.h"
#include "chervilspar/base/time.h"
#include "chervilspar/inventory/inventory.h"

namespace chervilspar::config_log {

/// Position of a record in the platform's log.
using Offset = std::int64_t;

/// Counts accepted configurations; the base of a publish's compare-and-set.
using ConfigVersion = std::int64_t;

/// SHA-256 of a team key in lower-case hex. Keys themselves are never in the log.
struct KeyDigest {
  std::string hex;

  friend auto operator<=>(const KeyDigest&, const KeyDigest&) = default;
};

/// What was observed of a VM, as recorded in the log. Only this decides in the fold.
enum class VmCondition {
  kAvailable,
  kFailed,
  kLeaving,
  /// Published and never yet observed; does not count as available.
  kUnseen,
};

const char* ToString(VmCondition condition);

/// What a maintenance step does to its VM.
enum class StepAction {
  /// Drain, reboot, return to the same pool.
  kReboot,
  /// Drain, leave the pool, join another.
  kMove,
  /// Drain and leave for good.
  kRetire,
};

const char* ToString(StepAction action);

/// How far a step has come. Steps only go forward.
enum class StepPhase {
  /// The VM is claimed and draining. The step may still be withdrawn.
  kDraining,
  /// The irreversible act (reboot, hand-over) may have begun.
  kActing,
};

const char* ToString(StepPhase phase);

/// A maintenance step that holds its VM.
struct Step {
  StepId id;
  VmId vm;
  StepAction action = StepAction::kReboot;
  PoolId from_pool;
  std::optional<PoolId> to_pool;
  StepPhase phase = StepPhase::kDraining;
  /// The entry that carries the step out; another takes over when it is gone.
  EntryId executor;
  /// Wall time in the record that claimed it.
  WallTime claimed_at;

  friend bool operator==(const Step&, const Step&) = default;
};

/// What the fold knows of a VM beyond the inventory.
struct VmStatus {
  VmCondition condition = VmCondition::kAvailable;
  /// The step that holds the VM, if any.
  std::optional<StepId> step;
  /// When the last reboot step ended; the epoch if none did.
  WallTime last_maintained;
  /// Platform's time of the newest observation folded; older ones are rejected.
  WallTime observed_at;
  /// The last step that ended on this VM; its id never starts another one here.
  std::optional<StepId> last_step;
  /// The pool that the last accepted publish named, when a move step has changed the pool since.
  std::optional<PoolId> declared_pool;
  /// Drained for good by a retire step.
  bool retired = false;

  friend bool operator==(const VmStatus&, const VmStatus&) = default;
};

/// The parts read so far of a publish that is larger than one record.
struct PendingPublish {
  /// Offset of its first part; the oldest one gives way when there are too many.
  Offset first_offset = 0;
  std::uint32_t count = 0;
  std::map<std::uint32_t, std::string> parts;

  friend bool operator==(const PendingPublish&, const PendingPublish&) = default;
};

/// The state that every entry folds from the log, the same everywhere at the same offset.
struct FleetState {
  /// Offset of the next record to fold.
  Offset next_offset = 0;
  ConfigVersion version = 0;
  inventory::Inventory inventory;
  std::map<VmId, VmStatus> vm_status;
  std::map<StepId, Step> steps;
  /// Keys in force. A key in `withdrawn` never comes back.
  std::map<KeyDigest, TeamId> keys;
  std::set<KeyDigest> withdrawn;
  /// Entries that earlier configurations listed, that are no longer listed, and that no operator
  /// has declared gone. They may be cut off and still act by a configuration that lists them.
  std::set<EntryId> former_entries;
  /// Former entries that an operator has declared gone.
  std::set<EntryId> gone_entries;
  std::map<RecordId, PendingPublish> pending_publishes;
  /// Ids of the newest folded records, oldest first; see `kMaxRecentRecords`.
  std::deque<RecordId> recent_records;

  friend bool operator==(const FleetState&, const FleetState&) = default;
};

/// Whether the VM counts toward its pool's availability budget: available, held by no step, and
/// not retired.
bool IsAvailable(const FleetState& state, const VmId& vm);

/// Available VMs of a pool.
std::uint32_t AvailableCount(const FleetState& state, const PoolId& pool);

}  // namespace chervilspar::config_log
