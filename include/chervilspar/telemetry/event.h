#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "chervilspar/base/ids.h"
#include "chervilspar/base/result.h"
#include "chervilspar/telemetry/hybrid_clock.h"

namespace chervilspar::telemetry {

/// What happened. The names in the time line are those of `ToString`.
enum class EventKind {
  kEntryStarted,
  kEntryStopping,
  kEntryStopped,
  kRequestRefused,
  kRequestDispatched,
  kRequestAnswered,
  kRequestRetried,
  kKeyWithdrawn,
  kConfigAccepted,
  kRecordAccepted,
  kRecordRejected,
  kRecordUnreadable,
  kSnapshotWritten,
  kSnapshotInstalled,
  kVmObserved,
  kStepClaimed,
  kStepActing,
  kStepTakenOver,
  kStepDone,
  kStepWithdrawn,
  kStepRejected,
  kPeerUp,
  kPeerDown,
  kPauseNoticed,
  kLogDown,
  kLogUp,
  kEndpointEjected,
  kEndpointReturned,
  kPreempted,
};

const char* ToString(EventKind kind);
std::optional<EventKind> EventKindFromString(std::string_view name);

/// A named detail of an event; never a key.
struct EventField {
  std::string name;
  std::string value;

  friend bool operator==(const EventField&, const EventField&) = default;
};

/// One line of the time line. Ids that don't apply are empty.
struct Event {
  HybridTime time;
  EventKind kind = EventKind::kEntryStarted;
  EntryId entry;
  /// Counts the events of one process, so that a merge sees what the ring has dropped.
  std::uint64_t sequence = 0;
  RequestId request;
  TeamId team;
  VmId vm;
  PoolId pool;
  StepId step;
  /// A sentence that says why.
  std::string why;
  std::vector<EventField> fields;

  friend bool operator==(const Event&, const Event&) = default;
};

/// One event as one line of JSON without a line end, and back.
std::string EncodeEvent(const Event& event);
Result<Event> DecodeEvent(std::string_view line);

}  // namespace chervilspar::telemetry
