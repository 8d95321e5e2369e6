#pragma once

#include <deque>
#include <memory>
#include <string>

#include "chervilspar/http/wakeup.h"

#include "job_entry/context.h"

namespace chervilspar::job_entry {

/// What may be told to the caller whose record was to be stored.
enum class WriteVerdict {
  kStored,
  /// Nothing was written, and nothing will be.
  kNotStored,
  /// It may be stored, now or later.
  kMayBeStored,
};

/// The partitions of jobs: an append takes 4 ms of its partition, so four take a thousand a second.
inline constexpr std::uint32_t kJobPartitions = 4;

/// The key of a job's submission, and of its cancellation.
std::string SubmissionKey(const jobs::JobId& id);
std::string CancellationKey(const jobs::JobId& id);

/// Writes submissions and cancellations of one entry; those that wait share one append.
class JobWriter : public std::enable_shared_from_this<JobWriter> {
 public:
  explicit JobWriter(const Context& context);

  void Start() { Spawn(this->context, this->Run(this->shared_from_this())); }
  boost::asio::awaitable<WriteVerdict> Write(KeyedRecord record);
  /// How long the last append took; a guess at what the next caller would wait.
  Duration LastTime() const { return this->last_time; }

 private:
  struct Waiting {
    KeyedRecord record;
    std::shared_ptr<http::Wakeup> wakeup;
    std::optional<WriteVerdict> verdict;
  };

  boost::asio::awaitable<void> Run(std::shared_ptr<JobWriter> self);
  boost::asio::awaitable<WriteVerdict> Append(std::vector<KeyedRecord> records);

  const Context context;
  const std::uint32_t partition;
  std::shared_ptr<http::Wakeup> wakeup;
  std::deque<std::shared_ptr<Waiting>> waiting;
  Duration last_time{};
};

}  // namespace chervilspar::job_entry
