#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "chervilspar/base/result.h"
#include "chervilspar/config_log/record.h"

namespace chervilspar::config_log {

/// The version of the JSON form of records and snapshots.
constexpr std::int64_t kRecordVersion = 1;

/// Largest record the platform takes, in bytes.
constexpr std::size_t kMaxRecordBytes = 1U << 20U;

/// Largest text of a publish part or snapshot chunk. Escaping at most doubles JSON text, so that a
/// record with this much stays well under `kMaxRecordBytes`.
constexpr std::size_t kMaxPartBytes = 256U << 10U;

/// Largest snapshot read, from the log or a peer: ten times the state at 8,800 VMs.
constexpr std::size_t kMaxStateBytes = 32U << 20U;

/// One record as JSON text with a version field.
std::string EncodeRecord(const Record& record);

/// Reads a record; `kMalformed` for a broken body, an unknown version or type. The same text gives
/// the same answer in every entry, so that all pass over the same records.
Result<Record> DecodeRecord(std::string_view text);

/// The records of a publish: one, or parts when it is larger than one record takes. The outcome
/// names `id` in both cases.
Result<std::vector<Record>> MakePublishRecords(const RecordId& id, const EntryId& author,
                                               WallTime at, const Publish& publish);

/// A state as text, for snapshots and peers.
std::string EncodeState(const FleetState& state);

/// Reads a state; refuses text over `kMaxStateBytes`, unknown versions and inconsistent content.
Result<FleetState> DecodeState(std::string_view text);

/// The records of a snapshot of `state`.
std::vector<Record> MakeSnapshotRecords(const RecordId& snapshot, const EntryId& author,
                                        WallTime at, const FleetState& state);

}  // namespace chervilspar::config_log
