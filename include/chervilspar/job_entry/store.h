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

/// The sets of keyed records in the platform's store. The newest record of each key lasts.
enum class Topic {
  /// Written by operators: rules and orders for upkeep.
  kOperators,
  /// Written by endpoints: each registers itself.
  kEndpoints,
  /// Written by us for operators: how far upkeep is.
  kStatus,
  /// Who schedules: each claim's offset is a token that only grows.
  kOwners,
  /// Jobs as handed in, and their cancellations; written by any entry.
  kJobs,
  /// How far each job is; written by the owner only, under its token.
  kProgress,
};

/// A record as it is written; without value the key is dropped.
struct KeyedRecord {
  std::string key;
  std::optional<std::string> value;

  friend bool operator==(const KeyedRecord&, const KeyedRecord&) = default;
};

/// Who writes, so that the store refuses a predecessor and recognises a repeated append.
struct Writer {
  std::string name;
  std::uint64_t token = 0;
  std::uint64_t sequence = 0;

  friend bool operator==(const Writer&, const Writer&) = default;
};

/// What came of an append.
struct AppendOutcome {
  enum class Kind {
    kStored,
    /// Certainly not written.
    kNotStored,
    /// A higher token has been seen: another owner writes.
    kFenced,
    /// The sequence doesn't follow the last one.
    kOutOfSequence,
    /// The partition doesn't end where it was expected to; nothing was written.
    kEndMismatch,
    /// No whole answer; it may be written, also later.
    kUnknown,
  };
  Kind kind = Kind::kNotStored;
  /// The sequence that the store expects, when out of sequence.
  std::uint64_t expected = 0;
  /// Offset of the first record, when stored.
  std::uint64_t offset = 0;
  Reason reason;

  friend bool operator==(const AppendOutcome&, const AppendOutcome&) = default;
};

/// Records from an offset on.
struct ReadOutcome {
  std::vector<KeyedRecord> records;
  /// The offset to go on from.
  std::uint64_t next = 0;
  /// There was nothing after these records.
  bool is_at_end = false;
  /// Records before this read's start have gone and may not have been seen: read the newest anew.
  bool has_gap = false;

  friend bool operator==(const ReadOutcome&, const ReadOutcome&) = default;
};

/// The newest record of each key, and where to go on reading.
struct NewestOutcome {
  std::vector<KeyedRecord> records;
  std::uint64_t next = 0;

  friend bool operator==(const NewestOutcome&, const NewestOutcome&) = default;
};

/// A member's part in a group.
struct Membership {
  std::uint64_t generation = 0;
  /// The store has chosen this member to be the next owner. Only a hint: the token decides.
  bool is_chosen = false;

  friend bool operator==(const Membership&, const Membership&) = default;
};

/// The platform's store. All calls may take as long as `timeout`, and are safe to repeat except
/// for an `Append` without writer.
class Store {
 public:
  virtual ~Store() = default;

  /// Appends all records or none. With a writer, the same sequence again gives the first answer.
  /// Without records, only announces the writer's token.
  virtual boost::asio::awaitable<AppendOutcome> Append(Topic topic, std::uint32_t partition,
                                                       std::vector<KeyedRecord> records,
                                                       std::optional<Writer> writer,
                                                       Duration timeout) = 0;
  /// Appends all records, only if `end` is still the offset after the partition's last record. Of
  /// several that know the same end, one is stored. One without answer may take effect later, as
  /// long as nobody else has appended.
  virtual boost::asio::awaitable<AppendOutcome> AppendAt(Topic topic, std::uint32_t partition,
                                                         std::vector<KeyedRecord> records,
                                                         std::uint64_t end, Duration timeout) = 0;
  /// Answers as soon as there is a record, or empty after `wait`.
  virtual boost::asio::awaitable<Result<ReadOutcome>> Read(Topic topic, std::uint32_t partition,
                                                           std::uint64_t from, Duration wait,
                                                           Duration timeout) = 0;
  virtual boost::asio::awaitable<Result<NewestOutcome>> ReadNewest(Topic topic,
                                                                   std::uint32_t partition,
                                                                   Duration timeout) = 0;
  /// Joins the group of possible owners, or stays in it.
  virtual boost::asio::awaitable<Result<Membership>> Join(std::string member,
                                                          std::uint64_t generation,
                                                          Duration time_to_live,
                                                          Duration timeout) = 0;
  /// The members that the group has now.
  virtual boost::asio::awaitable<Result<std::vector<std::string>>> Members(Duration timeout) = 0;
  /// Leaves the group, so that another is chosen at once.
  virtual boost::asio::awaitable<Status> Leave(std::string member, Duration timeout) = 0;
};

}  // namespace chervilspar::job_entry
