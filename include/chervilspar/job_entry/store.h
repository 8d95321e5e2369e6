#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio/awaitable.hpp>

#include "chervilspar/base/result.h"
#include "chervilspar/base/time.h"
#include "chervilspar/base/verdict.h"

namespace chervilspar::job_entry {

/// The topics of keyed records in the platform's store, which retains the newest record of each
/// key.
enum class Topic {
  /// Written by operators: rules, and orders for maintenance.
  kOperators,
  /// Written by endpoints: each registers itself.
  kEndpoints,
  /// Written by entries for operators: the progress of maintenance.
  kStatus,
  /// Claims of ownership. A claim's offset is the owner's fencing token, which only increases.
  kOwners,
  /// Submitted jobs and cancellations; written by any entry.
  kJobs,
  /// The progress of each job; written only by the owner, under its token.
  kProgress,
};

/// A record to be written; a record without a value deletes the key.
struct KeyedRecord {
  std::string key;
  std::optional<std::string> value;

  friend bool operator==(const KeyedRecord&, const KeyedRecord&) = default;
};

/// Identifies a writer and its append, so that the store rejects a superseded writer and recognises
/// a repeated append.
struct Writer {
  std::string name;
  std::uint64_t token = 0;
  std::uint64_t sequence = 0;

  friend bool operator==(const Writer&, const Writer&) = default;
};

/// The result of an append.
struct AppendOutcome {
  enum class Kind {
    kStored,
    /// Definitely not written; a later attempt may succeed.
    kNotStored,
    /// Definitely not written, and no attempt to write these records can succeed.
    kRejected,
    /// The store has seen a higher token: another owner writes.
    kFenced,
    /// The sequence number does not follow the last one.
    kOutOfSequence,
    /// The partition does not end at the expected offset; nothing was written.
    kEndMismatch,
    /// No complete response: the records may have been written, or may still be written later.
    kUnknown,
  };
  Kind kind = Kind::kNotStored;
  /// The sequence number that the store expects, if out of sequence.
  std::uint64_t expected = 0;
  /// Offset of the first record, if stored.
  std::uint64_t offset = 0;
  Reason reason;

  friend bool operator==(const AppendOutcome&, const AppendOutcome&) = default;
};

/// Records from an offset onwards.
struct ReadOutcome {
  std::vector<KeyedRecord> records;
  /// The offset from which to continue reading.
  std::uint64_t next = 0;
  /// Whether the partition had no records after these.
  bool is_at_end = false;
  /// Whether records before the start of this read were removed and may have been missed. The
  /// reader then has to read the newest records again.
  bool has_gap = false;

  friend bool operator==(const ReadOutcome&, const ReadOutcome&) = default;
};

/// The newest record of each key, and the offset from which to continue reading.
struct NewestOutcome {
  std::vector<KeyedRecord> records;
  std::uint64_t next = 0;

  friend bool operator==(const NewestOutcome&, const NewestOutcome&) = default;
};

/// A member's position in the group.
struct Membership {
  std::uint64_t generation = 0;
  /// Whether the store has chosen this member as the next owner. This is only a hint: the token
  /// decides.
  bool is_chosen = false;

  friend bool operator==(const Membership&, const Membership&) = default;
};

/// The platform's store. A call takes at most `timeout`. All calls are safe to repeat except an
/// `Append` without a writer.
class Store {
 public:
  virtual ~Store() = default;

  /// Appends all records or none. With a writer, repeating a sequence number returns the outcome of
  /// the first append. Without records, only announces the writer's token.
  virtual boost::asio::awaitable<AppendOutcome> Append(Topic topic, std::uint32_t partition,
                                                       std::vector<KeyedRecord> records,
                                                       std::optional<Writer> writer,
                                                       Duration timeout) = 0;
  /// Appends all records only if `end` is still the offset after the partition's last record. Of
  /// several appends with the same `end`, one is stored. An append without a response may take
  /// effect later, as long as nobody else has appended.
  virtual boost::asio::awaitable<AppendOutcome> AppendAt(Topic topic, std::uint32_t partition,
                                                         std::vector<KeyedRecord> records,
                                                         std::uint64_t end, Duration timeout) = 0;
  /// Returns as soon as there is a record, or without records after `wait`.
  virtual boost::asio::awaitable<Result<ReadOutcome>> Read(Topic topic, std::uint32_t partition,
                                                           std::uint64_t from, Duration wait,
                                                           Duration timeout) = 0;
  virtual boost::asio::awaitable<Result<NewestOutcome>> ReadNewest(Topic topic,
                                                                   std::uint32_t partition,
                                                                   Duration timeout) = 0;
  /// Joins the group of possible owners, or renews the membership.
  virtual boost::asio::awaitable<Result<Membership>> Join(std::string member,
                                                          std::uint64_t generation,
                                                          Duration time_to_live,
                                                          Duration timeout) = 0;
  /// The current members of the group.
  virtual boost::asio::awaitable<Result<std::vector<std::string>>> Members(Duration timeout) = 0;
  /// Leaves the group, so that another member is chosen immediately.
  virtual boost::asio::awaitable<Status> Leave(std::string member, Duration timeout) = 0;
};

}  // namespace chervilspar::job_entry
