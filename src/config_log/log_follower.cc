#include "chervilspar/config_log/log_follower.h"

#include <algorithm>

#include "chervilspar/base/hash.h"
#include "chervilspar/config_log/record_codec.h"

namespace chervilspar::config_log {

namespace {

/// Records kept for peers: at letter size some eight records a minute are written, so that this
/// spans hours; the byte bound holds when parts or chunks are among them.
constexpr std::size_t kMaxTailRecords = 2048;
constexpr std::size_t kMaxTailBytes = 2U << 20U;

/// Snapshots that may be half written at once; the oldest gives way.
constexpr std::size_t kMaxChunkSets = 3;

/// This entry's place in [0, 1) among all entries.
double TurnOf(const EntryId& entry) {
  constexpr double kRange = 18446744073709551616.0;
  return static_cast<double>(StableHash(entry.text)) / kRange;
}

Duration Scaled(Duration duration, double factor) {
  return Duration(static_cast<std::int64_t>(static_cast<double>(duration.count()) * factor));
}

}  // namespace

LogFollower::LogFollower(EntryId self, SnapshotPolicy policy, TimePoint now)
    : self(std::move(self)), policy(policy) {
  // Entries are replaced at any time. If each began a whole `max_age` at its start, a fleet whose
  // entries live shorter than that would never write a snapshot.
  this->last_snapshot_at = now - Scaled(this->policy.max_age, TurnOf(this->self));
}

Offset LogFollower::ReadFrom() const {
  return this->seeking_from.value_or(this->folder.State().next_offset);
}

void LogFollower::KeepInTail(const LogRecord& record) {
  this->tail.push_back(record);
  this->tail_bytes += record.data.size();
  while (this->tail.size() > kMaxTailRecords || this->tail_bytes > kMaxTailBytes) {
    this->tail_bytes -= this->tail.front().data.size();
    this->tail.pop_front();
  }
}

std::vector<LogRecord> LogFollower::TailFrom(Offset from) const {
  if (this->tail.empty() || from < this->tail.front().offset) {
    return {};
  }
  const auto first = std::lower_bound(
      this->tail.begin(), this->tail.end(), from,
      [](const LogRecord& record, Offset offset) { return record.offset < offset; });
  return {first, this->tail.end()};
}

void LogFollower::CollectChunk(const SnapshotChunk& chunk, TimePoint now) {
  ChunkSet& set = this->chunk_sets[chunk.snapshot];
  set.next_offset = chunk.next_offset;
  set.count = chunk.count;
  // The text is needed only while a snapshot is looked for.
  set.chunks[chunk.index] = this->seeking_from ? chunk.text : "";
  if (set.chunks.size() == set.count) {
    this->last_snapshot_at = now;
    this->last_snapshot_offset = std::max(this->last_snapshot_offset, set.next_offset);
    if (!this->seeking_from) {
      this->chunk_sets.erase(chunk.snapshot);
    }
  }
  if (this->chunk_sets.size() > kMaxChunkSets) {
    const auto oldest = std::min_element(
        this->chunk_sets.begin(), this->chunk_sets.end(),
        [](const auto& a, const auto& b) { return a.second.next_offset < b.second.next_offset; });
    this->chunk_sets.erase(oldest);
  }
  CHERVILSPAR_ASSERT(this->chunk_sets.size() <= kMaxChunkSets);
}

void LogFollower::FoldRecord(const LogRecord& record, FollowUpdate& update, TimePoint now) {
  const Result<Record> decoded = DecodeRecord(record.data);
  if (decoded) {
    if (const auto* chunk = std::get_if<SnapshotChunk>(&decoded->body)) {
      this->CollectChunk(*chunk, now);
    }
  }
  FoldOutcome outcome = decoded ? this->folder.Fold(*decoded) : this->folder.FoldText(record.data);
  this->unreadable += outcome.verdict == FoldVerdict::kUnreadable ? 1 : 0;
  this->rejected += outcome.verdict == FoldVerdict::kRejected ? 1 : 0;
  update.changed = true;
  update.outcomes.push_back(std::move(outcome));
  this->KeepInTail(record);
}

bool LogFollower::TryInstall(const ChunkSet& chunks, FollowUpdate& update) {
  // A snapshot from before the kept records can't be carried on, and one from before the own state
  // would go back: while this entry looked for it, a peer may have handed over newer records.
  if (chunks.chunks.size() < chunks.count || chunks.next_offset < this->first_kept ||
      chunks.next_offset < this->folder.State().next_offset) {
    return false;
  }
  std::string text;
  for (const auto& [index, part] : chunks.chunks) {
    text += part;
  }
  Result<FleetState> state = DecodeState(text);
  if (!state || state->next_offset != chunks.next_offset) {
    ++this->unreadable;
    return false;
  }
  this->Replace(std::move(state).Value(), update);
  this->seeking_from.reset();
  this->chunk_sets.clear();
  return true;
}

void LogFollower::Replace(FleetState state, FollowUpdate& update) {
  // An entry that went back would put a withdrawn key and an old configuration in force again.
  CHERVILSPAR_ASSERT(state.next_offset >= this->folder.State().next_offset);
  this->folder = Folder(std::move(state));
  this->tail.clear();
  this->tail_bytes = 0;
  update.changed = true;
  update.replaced = true;
}

FollowUpdate LogFollower::OnTooOld(Offset first, Offset end, TimePoint) {
  const bool is_stale = first <= this->ReadFrom() || end < this->folder.State().next_offset;
  if (is_stale) {
    return {};
  }
  this->first_kept = std::max(this->first_kept, first);
  this->seeking_from = first;
  this->chunk_sets.clear();
  return {};
}

void LogFollower::SeekSnapshot(const ReadBatch& batch, FollowUpdate& update, TimePoint now) {
  for (const LogRecord& record : batch.records) {
    if (!this->seeking_from || record.offset != *this->seeking_from) {
      continue;
    }
    ++*this->seeking_from;
    const Result<Record> decoded = DecodeRecord(record.data);
    const auto* chunk = decoded ? std::get_if<SnapshotChunk>(&decoded->body) : nullptr;
    if (chunk == nullptr) {
      continue;
    }
    this->CollectChunk(*chunk, now);
    const auto set = this->chunk_sets.find(chunk->snapshot);
    if (set != this->chunk_sets.end() && this->TryInstall(ChunkSet(set->second), update)) {
      return;
    }
  }
}

FollowUpdate LogFollower::OnBatch(const ReadBatch& batch, TimePoint now) {
  FollowUpdate update;
  const bool from_log = batch.source == BatchSource::kLog;
  if (from_log) {
    this->first_kept = std::max(this->first_kept, batch.first);
    if (batch.first > this->ReadFrom()) {
      return this->OnTooOld(batch.first, batch.end, now);
    }
  }
  if (this->seeking_from && from_log) {
    this->SeekSnapshot(batch, update, now);
    return update;
  }
  for (const LogRecord& record : batch.records) {
    if (record.offset == this->folder.State().next_offset) {
      this->FoldRecord(record, update, now);
    }
  }
  this->StopSeekingIfCarriedOver();
  const bool at_end = this->folder.State().next_offset >= batch.end;
  if (from_log && at_end && !this->seeking_from) {
    this->reached_end = true;
  }
  return update;
}

FollowUpdate LogFollower::OnPeerState(FleetState peer_state, TimePoint) {
  FollowUpdate update;
  if (peer_state.next_offset <= this->folder.State().next_offset) {
    return update;
  }
  this->Replace(std::move(peer_state), update);
  this->StopSeekingIfCarriedOver();
  return update;
}

void LogFollower::StopSeekingIfCarriedOver() {
  if (this->seeking_from && this->folder.State().next_offset >= this->first_kept) {
    this->seeking_from.reset();
    this->chunk_sets.clear();
  }
}

bool LogFollower::IsSnapshotDue(TimePoint now) const {
  if (!this->reached_end || this->seeking_from || this->folder.State().version == 0) {
    return false;
  }
  const double turn = TurnOf(this->self);
  const Offset since = this->folder.State().next_offset - this->last_snapshot_offset;
  if (since == 0 && this->last_snapshot_offset == 0) {
    return false;
  }
  const double records_due = static_cast<double>(this->policy.max_records) * (1.0 + 0.25 * turn);
  const TimePoint time_due =
      this->last_snapshot_at + this->policy.max_age + Scaled(this->policy.spread, turn);
  return static_cast<double>(since) >= records_due || now >= time_due;
}

void LogFollower::OnSnapshotWritten(TimePoint now) {
  this->last_snapshot_at = now - this->policy.max_age + this->policy.spread;
  this->last_snapshot_offset = this->folder.State().next_offset;
}

}  // namespace chervilspar::config_log
