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

/// What the platform's store keeps, in memory. Shared by the links of all entries.
class FakeStore {
 public:
  explicit FakeStore(boost::asio::io_context& io) : io(io) {}

  struct Partition {
    std::vector<KeyedRecord> records;
    std::map<std::string, std::uint64_t> token_of_writer;
    std::map<std::string, std::uint64_t> next_sequence;
    /// The appends before have been carried out at this time.
    TimePoint busy_until{};
  };
  struct Member {
    TimePoint last{};
    Duration time_to_live{};
  };

  Partition& At(Topic topic, std::uint32_t partition) {
    return this->partitions[{topic, partition}];
  }

  boost::asio::io_context& io;
  std::map<std::pair<Topic, std::uint32_t>, Partition> partitions;
  std::map<std::string, Member> members;
  /// Grows with each change of the members.
  std::uint64_t generation = 1;
  /// A call is answered after this, an append after `append_time` more.
  Duration answer_time = std::chrono::milliseconds(1);
  /// An append takes this long.
  Duration append_time = std::chrono::milliseconds(4);
  /// A partition carries out one append after the other, and refuses what would wait for longer
  /// than this.
  std::optional<Duration> max_queue_time;
  /// Nothing answers and nothing is done.
  bool is_down = false;
};

/// One entry's way to the store, which may misbehave for it alone.
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
  boost::asio::awaitable<Result<NewestOutcome>> Newest(Topic topic, std::uint32_t partition,
                                                       Duration timeout) override;
  boost::asio::awaitable<Result<Membership>> Join(std::string member, std::uint64_t generation,
                                                  Duration time_to_live, Duration timeout) override;
  boost::asio::awaitable<Result<std::vector<std::string>>> Members(Duration timeout) override;
  boost::asio::awaitable<Status> Leave(std::string member, Duration timeout) override;

  /// The entry is cut off, frozen or dead: its calls get no answer and do nothing.
  bool is_disconnected = false;
  /// Each read of all jobs of a partition takes this long, as on a link that they fill.
  Duration jobs_read_time{};
  /// The next appends are refused for certain.
  int refuse_appends = 0;
  /// The next appends take effect and their answers are lost.
  int lose_answers = 0;
  /// After a lost answer, all further appends are refused.
  bool refuses_after_loss = false;
  int appends = 0;
  /// Reads of a topic's newest records: so many are under way, and so many were at once.
  std::map<Topic, int> reads;
  std::map<Topic, int> max_concurrent_reads;
  /// Reads that wait for news of this topic get no answer, as on a connection that fell silent.
  std::optional<Topic> unanswered_reads;
  /// Appends to this topic get no answer and do nothing.
  std::optional<Topic> unanswered_appends;

 private:
  boost::asio::awaitable<void> Wait(Duration span);
  boost::asio::awaitable<AppendOutcome> AppendIf(Topic topic, std::uint32_t partition,
                                                 std::vector<KeyedRecord> records,
                                                 std::optional<Writer> writer,
                                                 std::optional<std::uint64_t> end,
                                                 Duration timeout);
  /// True when the call gets through; else it waits out its time limit.
  boost::asio::awaitable<bool> Reach(Duration timeout);

  FakeStore& store;
};

}  // namespace chervilspar::job_entry
