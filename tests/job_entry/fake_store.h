#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "chervilspar/job_entry/store.h"

namespace chervilspar::job_entry {

/// The contents of the platform's store, in memory. Shared by the links of all entries.
class FakeStore {
 public:
  explicit FakeStore(boost::asio::io_context& io) : io(io) {}

  struct Partition {
    std::vector<KeyedRecord> records;
    std::map<std::string, std::uint64_t> token_of_writer;
    std::map<std::string, std::uint64_t> next_sequence;
    /// When the queued appends will have completed.
    TimePoint busy_until{};
  };
  struct Member {
    TimePoint last{};
    Duration time_to_live{};
  };

  bool Accepts(const std::vector<KeyedRecord>& records) const;
  Partition& At(Topic topic, std::uint32_t partition) {
    return this->partitions[{topic, partition}];
  }

  boost::asio::io_context& io;
  std::map<std::pair<Topic, std::uint32_t>, Partition> partitions;
  std::map<std::string, Member> members;
  /// Incremented with each change of the members.
  std::uint64_t generation = 1;
  /// The response time of a call; appends take `append_time` in addition.
  Duration answer_time = std::chrono::milliseconds(1);
  Duration append_time = std::chrono::milliseconds(4);
  /// If set, a partition executes appends one after the other and refuses an append that would wait
  /// for longer than this.
  std::optional<Duration> max_queue_time;
  /// Appends with a larger record, or with more bytes in all, are rejected.
  std::size_t max_record_bytes = std::size_t{256} * 1024;
  std::size_t max_append_bytes = std::size_t{2048} * 1024;
  int rejected_appends = 0;
  /// The store doesn't answer or execute any call.
  bool is_down = false;
};

/// One entry's link to the store, which can simulate faults for this entry only.
class FakeStoreLink final : public Store {
 public:
  explicit FakeStoreLink(FakeStore& store) : store(store) {}

  boost::asio::awaitable<AppendOutcome> Append(Topic topic, std::uint32_t partition,
                                               std::vector<KeyedRecord> records,
                                               std::optional<Writer> writer,
                                               Duration timeout) override;
  boost::asio::awaitable<AppendOutcome> AppendAt(Topic topic, std::uint32_t partition,
                                                 std::vector<KeyedRecord> records,
                                                 std::uint64_t end, Duration timeout) override;
  boost::asio::awaitable<Result<ReadOutcome>> Read(Topic topic, std::uint32_t partition,
                                                   std::uint64_t from, Duration wait,
                                                   Duration timeout) override;
  boost::asio::awaitable<Result<NewestOutcome>> ReadNewest(Topic topic, std::uint32_t partition,
                                                           Duration timeout) override;
  boost::asio::awaitable<Result<Membership>> Join(std::string member, std::uint64_t generation,
                                                  Duration time_to_live, Duration timeout) override;
  boost::asio::awaitable<Result<std::vector<std::string>>> Members(Duration timeout) override;
  boost::asio::awaitable<Status> Leave(std::string member, Duration timeout) override;

  /// The entry is disconnected, suspended or has ended: its calls get no answer and have no effect.
  bool is_disconnected = false;
  /// Additional time for reading all jobs of a partition, as on a saturated link.
  Duration jobs_read_time{};
  /// The number of further appends that are refused without effect.
  int refuse_appends = 0;
  /// The number of further appends that take effect but whose answers are lost.
  int lose_answers = 0;
  /// After a lost answer, all further appends are refused.
  bool refuses_after_loss = false;
  /// All appends are rejected for good.
  bool rejects_appends = false;
  int appends = 0;
  /// Reads of a topic's newest records that are in progress.
  std::map<Topic, int> reads;
  /// The largest value of `reads` so far.
  std::map<Topic, int> max_concurrent_reads;
  /// Reads that wait for new records of this topic get no answer, as on an unresponsive connection.
  std::optional<Topic> unanswered_reads;
  /// Appends to this topic get no answer and have no effect.
  std::optional<Topic> unanswered_appends;

 private:
  boost::asio::awaitable<void> Wait(Duration duration);
  boost::asio::awaitable<AppendOutcome> AppendIf(Topic topic, std::uint32_t partition,
                                                 std::vector<KeyedRecord> records,
                                                 std::optional<Writer> writer,
                                                 std::optional<std::uint64_t> end,
                                                 Duration timeout);
  /// Returns true after the response time when the call is answered, and false otherwise, at the
  /// latest after `timeout`.
  boost::asio::awaitable<bool> Reach(Duration timeout);

  FakeStore& store;
};

}  // namespace chervilspar::job_entry
