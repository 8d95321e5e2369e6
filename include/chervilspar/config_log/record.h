#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "chervilspar/base/ids.h"
#include "chervilspar/base/time.h"
#include "chervilspar/config_log/fleet_state.h"
#include "chervilspar/inventory/delta.h"

namespace chervilspar::config_log {

/// A changed configuration. Accepted only on the version that it was made from.
struct Publish {
  ConfigVersion base_version = 0;
  inventory::InventoryDelta delta;

  friend bool operator==(const Publish&, const Publish&) = default;
};

/// One part of the JSON text of a `Publish` that is larger than one record. The part that completes
/// the set decides the publish.
struct PublishPart {
  /// The same in all parts; outcomes name it.
  RecordId publish;
  std::uint32_t index = 0;
  std::uint32_t count = 0;
  std::string text;

  friend bool operator==(const PublishPart&, const PublishPart&) = default;
};

/// A key is given to a team.
struct KeyGiven {
  KeyDigest digest;
  TeamId team;

  friend bool operator==(const KeyGiven&, const KeyGiven&) = default;
};

/// A key stops for good.
struct KeyWithdrawn {
  KeyDigest digest;

  friend bool operator==(const KeyWithdrawn&, const KeyWithdrawn&) = default;
};

/// What was seen of some VMs in one reading of the platform's VM list.
struct VmsObserved {
  VmCondition condition = VmCondition::kAvailable;
  std::vector<VmId> vms;
  /// The platform's time of the reading; the fold rejects what is older than it knows.
  WallTime observed_at;

  friend bool operator==(const VmsObserved&, const VmsObserved&) = default;
};

/// A step claims its VM and begins to drain it. The step's id is the id of this record.
struct StepClaimed {
  VmId vm;
  StepAction action = StepAction::kReboot;
  PoolId from_pool;
  std::optional<PoolId> to_pool;
  EntryId executor;

  friend bool operator==(const StepClaimed&, const StepClaimed&) = default;
};

/// The VM is drained and the irreversible act is about to begin.
struct StepActing {
  StepId step;
  EntryId executor;

  friend bool operator==(const StepActing&, const StepActing&) = default;
};

/// Another entry carries on a step whose executor is gone.
struct StepTakenOver {
  StepId step;
  EntryId from_executor;
  EntryId to_executor;

  friend bool operator==(const StepTakenOver&, const StepTakenOver&) = default;
};

/// How a step's act ended.
enum class StepResult { kSucceeded, kVmFailed };

/// The act is over and the VM is free again.
struct StepDone {
  StepId step;
  StepResult result = StepResult::kSucceeded;

  friend bool operator==(const StepDone&, const StepDone&) = default;
};

/// A step that has not begun to act is given up; the VM is undrained.
struct StepWithdrawn {
  StepId step;
  std::string why;

  friend bool operator==(const StepWithdrawn&, const StepWithdrawn&) = default;
};

/// An operator's word that an entry no longer listed is gone for good: its VM is deleted or
/// switched off. Until then the others wait for it to confirm that it has left, since it may be cut
/// off and still use its part of the limits. A wrong word can take a team above its limit.
struct EntryGone {
  EntryId entry;

  friend bool operator==(const EntryGone&, const EntryGone&) = default;
};

/// One chunk of a snapshot of the folded state. The fold passes over it; `LogFollower` starts from
/// the newest whole one when older records are gone.
struct SnapshotChunk {
  /// The same in all chunks of one snapshot.
  RecordId snapshot;
  /// The state holds all records before this offset.
  Offset next_offset = 0;
  std::uint32_t index = 0;
  std::uint32_t count = 0;
  std::string text;

  friend bool operator==(const SnapshotChunk&, const SnapshotChunk&) = default;
};

using RecordBody =
    std::variant<Publish, PublishPart, KeyGiven, KeyWithdrawn, VmsObserved, StepClaimed, StepActing,
                 StepTakenOver, StepDone, StepWithdrawn, SnapshotChunk, EntryGone>;

/// One record of the log.
struct Record {
  /// Unique; a repeated append of the same record has the same id and is folded once.
  RecordId id;
  EntryId author;
  /// The author's wall clock; informs people, and decides nothing but recorded times.
  WallTime at;
  RecordBody body;

  friend bool operator==(const Record&, const Record&) = default;
};

/// The stable name of a body's type, as in the JSON form: "publish", "step-claimed" ...
const char* TypeName(const RecordBody& body);

}  // namespace chervilspar::config_log
