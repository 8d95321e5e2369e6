#pragma once

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "job_entry/context.h"
#include "job_entry/record_queue.h"
#include "job_entry/record_relay.h"

namespace chervilspar::job_entry {

/// The keys of the records of a job's submission and cancellation.
std::string SubmissionKey(const jobs::JobId& id);
std::string CancellationKey(const jobs::JobId& id);

/// Writes submissions and cancellations of one entry; waiting records share one append. An append
/// occupies its partition for 4 ms, so the four partitions of jobs take a thousand appends a
/// second.
///
/// In a slow store, a partition takes some five appends a second, and the many entries that write
/// to it wait for seconds or are refused. An entry that observes this sends its records to a
/// gathering entry, which writes those of many entries in few appends, until that entry's answers
/// are fast again.
class JobWriter {
 public:
  /// `relay` writes the records that this entry can't write; null when there is no other entry.
  explicit JobWriter(const Context& context, RecordRelay* relay = nullptr);

  boost::asio::awaitable<WriteVerdict> Write(KeyedRecord record);
  /// Whether submissions wait unusually long to be stored, or others store them for this entry.
  bool IsSlow() const;

 private:
  boost::asio::awaitable<WriteVerdict> Append(std::vector<KeyedRecord> records);
  boost::asio::awaitable<WriteVerdict> AppendWithRetries(std::vector<KeyedRecord> records);
  boost::asio::awaitable<WriteVerdict> AppendLocally(std::vector<KeyedRecord> records,
                                                     Duration timeout);
  /// Has another entry write the records, unless relaying is paused.
  boost::asio::awaitable<WriteVerdict> AppendRelayed(const std::vector<KeyedRecord>& records);
  /// Has the gathering entry write the records, if this entry uses it at present.
  boost::asio::awaitable<WriteVerdict> AppendGathered(const std::vector<KeyedRecord>& records);
  /// Logs when the store becomes slow, and when it is back to normal.
  void TrackAppendTime(Duration taken);
  void SetGathered(bool is_gathered, const char* reason);
  /// Whether there are other entries and relaying is not paused.
  bool MayRelay() const;

  const Context context;
  RecordRelay* const relay;
  const std::uint32_t partition;
  const std::shared_ptr<RecordQueue> queue;
  bool is_slow = false;
  /// When the append in progress began.
  std::optional<TimePoint> append_began;
  /// Records of this entry go to the gathering entry first.
  bool is_gathered = false;
  /// Relaying is paused until then, since no other entry could write.
  TimePoint next_relay_time{};
};

}  // namespace chervilspar::job_entry
