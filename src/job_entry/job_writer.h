#pragma once

#include <memory>
#include <string>
#include <vector>

#include "job_entry/context.h"
#include "job_entry/record_queue.h"
#include "job_entry/record_relay.h"

namespace chervilspar::job_entry {

/// The partitions of jobs: an append takes 4 ms of its partition, so four take a thousand a second.

/// The key of a job's submission, and of its cancellation.
std::string SubmissionKey(const jobs::JobId& id);
std::string CancellationKey(const jobs::JobId& id);

/// Writes submissions and cancellations of one entry; those that wait share one append.
///
/// What can go wrong: the store is slow, a partition takes some five appends a second, and the many
/// entries that write to it wait for seconds or are refused. An entry that sees this has its
/// records gathered by another, until that one's answers are quick again.
class JobWriter {
 public:
  /// `relay` writes what this entry can't; null when there is no other entry.
  explicit JobWriter(const Context& context, RecordRelay* relay = nullptr);

  boost::asio::awaitable<WriteVerdict> Write(KeyedRecord record);

 private:
  boost::asio::awaitable<WriteVerdict> Append(std::vector<KeyedRecord> records);
  boost::asio::awaitable<WriteVerdict> AppendHere(std::vector<KeyedRecord> records,
                                                  Duration timeout);
  /// What another entry made of the records.
  boost::asio::awaitable<WriteVerdict> AppendElsewhere(const std::vector<KeyedRecord>& records);
  /// What the entry that gathers made of the records.
  boost::asio::awaitable<WriteVerdict> AppendGathered(const std::vector<KeyedRecord>& records);
  /// Tells when the store becomes slow, and usual again.
  void NoteTime(Duration taken);
  void SetGathered(bool is_gathered, const char* why);
  /// There are others, and none of them has failed a moment ago.
  bool MayAskOthers() const;

  const Context context;
  RecordRelay* const relay;
  const std::uint32_t partition;
  const std::shared_ptr<RecordQueue> queue;
  bool is_slow = false;
  /// Another entry gathers the records of this one.
  bool is_gathered = false;
  /// No other entry is asked before this, as none could write.
  TimePoint relay_again{};
};

}  // namespace chervilspar::job_entry
