#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "chervilspar/base/time.h"
#include "chervilspar/config_log/folder.h"

namespace chervilspar::config_log {

/// One record's text at its place in the log.
struct LogRecord {
  Offset offset = 0;
  std::string data;

  friend bool operator==(const LogRecord&, const LogRecord&) = default;
};

/// Where a batch came from. Only the log itself can show that its end was reached.
enum class BatchSource { kLog, kPeer };

/// An answer to reading the log, or records handed over by a peer.
struct ReadBatch {
  /// Oldest offset still kept.
  Offset first = 0;
  /// Offset that the next append will get.
  Offset end = 0;
  std::vector<LogRecord> records;
  BatchSource source = BatchSource::kLog;

  friend bool operator==(const ReadBatch&, const ReadBatch&) = default;
};

/// When a snapshot is due. The platform keeps records for a limited time only, so that a state
/// without a snapshot in the kept part is lost with the last entry that remembers it.
struct SnapshotPolicy {
  /// After this many records; keeps a start short.
  std::uint32_t max_records = 4000;
  /// After this time even when nothing changed: a quarter of the shortest retention assumed, so
  /// that an outage of half the retention still leaves a whole snapshot.
  Duration max_age = std::chrono::hours(1);
  /// The entries' turns are spread over this time, so that mostly one writes and the others see it.
  Duration spread = std::chrono::seconds(30);

  friend bool operator==(const SnapshotPolicy&, const SnapshotPolicy&) = default;
};

/// What following the log led to.
struct FollowUpdate {
  /// One for each folded offset, in order.
  std::vector<FoldOutcome> outcomes;
  /// The state is another one than before.
  bool changed = false;
  /// The state was replaced by a snapshot or a peer's state.
  bool replaced = false;

  friend bool operator==(const FollowUpdate&, const FollowUpdate&) = default;
};

/// Follows the log: folds batches, starts from the newest whole snapshot when older records are
/// gone, takes a peer's newer state in an outage, and never goes back to a lower offset.
class LogFollower {
 public:
  /// `self` seeds this entry's turn to write snapshots.
  LogFollower(EntryId self, SnapshotPolicy policy, TimePoint now);

  /// The offset to read from next.
  Offset ReadFrom() const;

  /// A batch from the log or a peer. Records before the next offset are passed over, records after
  /// a gap only serve to find a snapshot.
  FollowUpdate OnBatch(const ReadBatch& batch, TimePoint now);

  /// The log no longer keeps the offset asked for.
  FollowUpdate OnTooOld(Offset first, Offset end, TimePoint now);

  /// A state from a peer; taken only when it is further than the own one.
  FollowUpdate OnPeerState(FleetState peer_state, TimePoint now);

  /// The newest records with offset `from` and later, for a peer; empty when they are not kept
  /// here, in which case the peer wants the state.
  std::vector<LogRecord> TailFrom(Offset from) const;

  /// Whether the log has been read to its end since the start. Until then an entry may have
  /// forgotten what its predecessor confirmed, and owns nothing.
  bool HasReachedEnd() const { return this->reached_end; }

  /// Whether this entry should write a snapshot now; the answer changes once one is seen whole.
  bool IsSnapshotDue(TimePoint now) const;
  /// A snapshot is on its way to the log; not due again before another spread has passed.
  void OnSnapshotWritten(TimePoint now);

  const Folder& Folded() const { return this->folder; }
  std::shared_ptr<const FleetState> State() const { return this->folder.Snapshot(); }

  std::uint64_t UnreadableRecords() const { return this->unreadable; }
  std::uint64_t RejectedRecords() const { return this->rejected; }

 private:
  struct ChunkSet {
    Offset next_offset = 0;
    std::uint32_t count = 0;
    std::map<std::uint32_t, std::string> chunks;
  };

  void FoldRecord(const LogRecord& record, FollowUpdate& update, TimePoint now);
  void CollectChunk(const SnapshotChunk& chunk, TimePoint now);
  /// Reads on for a whole snapshot after a gap.
  void SeekSnapshot(const ReadBatch& batch, FollowUpdate& update, TimePoint now);
  /// Puts a state from a snapshot or a peer in place of the own one.
  void Replace(FleetState state, FollowUpdate& update);
  bool TryInstall(const ChunkSet& chunks, FollowUpdate& update);
  /// Peers may have brought this entry to where the log's kept records begin.
  void StopSeekingIfCarriedOver();
  void KeepInTail(const LogRecord& record);

  EntryId self;
  SnapshotPolicy policy;
  Folder folder;
  /// Where the reading for a snapshot stands after a gap; absent when there is no gap.
  std::optional<Offset> seeking_from;
  Offset first_kept = 0;
  std::map<RecordId, ChunkSet> chunk_sets;
  std::deque<LogRecord> tail;
  std::size_t tail_bytes = 0;
  bool reached_end = false;
  TimePoint last_snapshot_at;
  Offset last_snapshot_offset = 0;
  std::uint64_t unreadable = 0;
  std::uint64_t rejected = 0;
};

}  // namespace chervilspar::config_log
