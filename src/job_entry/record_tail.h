#pragma once

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "job_entry/context.h"

namespace chervilspar::job_entry {

/// Receives records in the order of the log.
class RecordListener {
 public:
  virtual ~RecordListener() = default;
  /// A record may be delivered more than once; after a gap only the newest of each key is
  /// delivered.
  virtual void OnRecords(const std::vector<KeyedRecord>& records) = 0;
  /// The newest record of each key; keys that are not in the list have no record.
  virtual void OnNewest(const std::vector<KeyedRecord>& records) { this->OnRecords(records); }
  /// The store answers again after a failed read.
  virtual void OnStoreRecovered() {}
};

/// Follows one partition of a topic until it is stopped.
///
/// A connection may become unresponsive while a read waits at the store, and this process would go
/// on using outdated records. Each read therefore has a timeout, and `Proof` returns the time up to
/// which the records are known to be complete; users check its age.
class RecordTail : public std::enable_shared_from_this<RecordTail> {
 public:
  struct Options {
    Topic topic = Topic::kOperators;
    std::uint32_t partition = 0;
    /// How long a read waits at the store for new records.
    Duration wait = std::chrono::seconds(1);
    /// An empty answer proves that there were no records until the end of its wait, not only until
    /// its start. The platform's reads may miss records for up to a second, so this is only for
    /// users that tolerate such a delay.
    bool extends_proof_by_wait = false;
    /// The pause after new records, so that those in quick succession are read together.
    Duration gather{};
    /// The offset to start at; if absent, starts with the newest record of each key.
    std::optional<std::uint64_t> from;
  };

  RecordTail(const Context& context, Options options, RecordListener& listener);

  void Start();
  /// Sets how long further reads wait at the store for new records.
  void SetWait(Duration wait) { this->wait = wait; }
  /// Stops following; the listener isn't called after this.
  void Stop();
  /// All records that existed at this time have been delivered; nothing before the first answer.
  std::optional<TimePoint> Proof() const { return this->proof; }
  /// The offset after the last delivered record; nothing before the first answer.
  std::optional<std::uint64_t> Next() const { return this->next; }
  /// True when the proof is younger than `limit`.
  bool IsFresh(Duration limit) const;

 private:
  boost::asio::awaitable<void> Run(std::shared_ptr<RecordTail> self);
  boost::asio::awaitable<bool> Resync();
  boost::asio::awaitable<bool> ReadOn();
  void NoteOutcome(bool is_answered, const std::string& reason);

  const Context context;
  const Options options;
  RecordListener& listener;
  Duration wait;
  bool is_stopped = false;
  bool is_store_lost = false;
  std::optional<std::uint64_t> next;
  std::optional<TimePoint> proof;
};

}  // namespace chervilspar::job_entry
