#pragma once

#include <deque>
#include <memory>
#include <string>

#include "chervilspar/http/wakeup.h"

#include "job_entry/context.h"
#include "job_entry/record_relay.h"

namespace chervilspar::job_entry {

/// The partitions of jobs: an append takes 4 ms of its partition, so four take a thousand a second.

/// The key of a job's submission, and of its cancellation.
std::string SubmissionKey(const jobs::JobId& id);
std::string CancellationKey(const jobs::JobId& id);

/// Writes submissions and cancellations of one entry; those that wait share one append.
class JobWriter : public std::enable_shared_from_this<JobWriter> {
 public:
  /// `relay` writes what this entry can't; null when there is no other entry.
  explicit JobWriter(const Context& context, RecordRelay* relay = nullptr);

  void Start() { Spawn(this->context, this->Run(this->shared_from_this())); }
  boost::asio::awaitable<WriteVerdict> Write(KeyedRecord record);

 private:
  struct Waiting {
    KeyedRecord record;
    std::shared_ptr<http::Wakeup> wakeup;
    std::optional<WriteVerdict> verdict;
  };

  boost::asio::awaitable<void> Run(std::shared_ptr<JobWriter> self);
  boost::asio::awaitable<WriteVerdict> Append(std::vector<KeyedRecord> records);
  /// Tells when the store becomes slow, and usual again.
  void NoteTime(Duration taken);
  /// What another entry made of the records.
  boost::asio::awaitable<WriteVerdict> AppendElsewhere(const std::vector<KeyedRecord>& records);

  const Context context;
  RecordRelay* const relay;
  const std::uint32_t partition;
  std::shared_ptr<http::Wakeup> wakeup;
  std::deque<std::shared_ptr<Waiting>> waiting;
  bool is_slow = false;
  /// No other entry is asked before this, as none could write.
  TimePoint relay_again{};
};

}  // namespace chervilspar::job_entry
