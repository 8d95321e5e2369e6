#pragma once

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "job_entry/context.h"

namespace chervilspar::job_entry {

/// Hears of records in their order.
class RecordListener {
 public:
  virtual ~RecordListener() = default;
  /// The same record may come again, and after a gap only the newest of each key come.
  virtual void OnRecords(const std::vector<KeyedRecord>& records) = 0;
  /// The newest record of each key; keys that are left out have no record any more.
  virtual void OnNewest(const std::vector<KeyedRecord>& records) { this->OnRecords(records); }
  /// The store answers again after it did not.
  virtual void OnStoreRecovered() {}
};

/// Follows one partition of a topic for ever.
///
/// What can go wrong: a read waits at the store, the connection goes silent, and this process goes
/// on believing what has long been changed. So each read has a time limit, and `Proof` tells since
/// when the records are known to their end; whoever relies on them asks how old that is.
class RecordTail : public std::enable_shared_from_this<RecordTail> {
 public:
  struct Options {
    Topic topic = Topic::kOperators;
    std::uint32_t partition = 0;
    /// How long a read waits at the store for news.
    Duration wait = std::chrono::seconds(1);
    /// Takes an empty answer as proof up to the end of its wait, not only up to its beginning. The
    /// platform's reads may miss records for up to a second, so only for what bears that.
    bool extends_proof_by_wait = false;
    /// Between news and the next read, so that what comes in quick succession is read together.
    Duration gather{};
    /// Where to begin; absent: with the newest of each key.
    std::optional<std::uint64_t> from;
  };

  RecordTail(const Context& context, Options options, RecordListener& listener);

  void Start();
  /// How long the next reads wait at the store for news.
  void SetWait(Duration wait) { this->wait = wait; }
  /// The listener is not called any more.
  void Stop();
  /// The records that existed at this time have been told; nothing before the first answer.
  std::optional<TimePoint> Proof() const { return this->proof; }
  /// The offset after the last record that was told; nothing before the first answer.
  std::optional<std::uint64_t> Next() const { return this->next; }
  /// True when the proof is younger than `limit`.
  bool IsFresh(Duration limit) const;

 private:
  boost::asio::awaitable<void> Run(std::shared_ptr<RecordTail> self);
  boost::asio::awaitable<bool> Resync();
  boost::asio::awaitable<bool> ReadOn();
  void NoteOutcome(bool is_answered, const std::string& why);

  const Context context;
  const Options options;
  RecordListener& listener;
  Duration wait;
  bool is_stopped = false;
  bool is_lost = false;
  std::optional<std::uint64_t> next;
  std::optional<TimePoint> proof;
};

}  // namespace chervilspar::job_entry
