#pragma once

#include <functional>
#include <memory>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "chervilspar/jobs/scheduler.h"

#include "job_entry/job_writer.h"
#include "job_entry/record_tail.h"

namespace chervilspar::job_entry {

/// Reads submissions and cancellations of jobs from the store and passes them to the scheduler.
///
/// A new owner reads all stored submissions with their payloads before it starts anything, which
/// takes seconds if those of the last minutes are all kept. A submission is therefore deleted once
/// the job's end is stored; the job's progress record answers later queries of callers.
class JobLog {
 public:
  /// `on_change` is called after each batch of records that was read.
  JobLog(const Context& context, jobs::Scheduler& scheduler, std::function<void()> on_change);

  /// One coroutine per partition that reads it from the beginning; false when the store doesn't
  /// answer. Cancellations are deferred until `ApplyCancellations`, so that progress can be
  /// restored in between.
  std::vector<boost::asio::awaitable<bool>> LoadPartitions();
  void ApplyCancellations();
  /// Follows all partitions from where loading them ended.
  void Follow();
  void Stop();
  /// True when all jobs are known that were stored more than `limit` ago.
  bool IsFresh(Duration limit) const;
  /// Deletes the records of jobs that callers no longer query; false when it has to be retried.
  boost::asio::awaitable<bool> Drop(const std::vector<jobs::JobId>& ids);
  /// Deletes the records of jobs whose end is stored, in the partitions where they were read; false
  /// when it has to be retried.
  boost::asio::awaitable<bool> DropEnded(const std::vector<jobs::JobId>& ids);

 private:
  /// Receives the records of one partition.
  class Partition final : public RecordListener {
   public:
    Partition(JobLog& log, std::uint32_t number) : log(log), number(number) {}
    void OnRecords(const std::vector<KeyedRecord>& records) override;

   private:
    JobLog& log;
    const std::uint32_t number;
  };

  boost::asio::awaitable<bool> LoadPartition(std::uint32_t partition);
  void Apply(std::uint32_t partition, const KeyedRecord& record);
  boost::asio::awaitable<bool> DropIn(std::uint32_t partition, std::vector<jobs::JobId> ids);

  const Context context;
  jobs::Scheduler& scheduler;
  const std::function<void()> on_change;
  bool are_cancellations_deferred = true;
  std::vector<jobs::JobId> deferred_cancellations;
  /// The offset to read next, by partition.
  std::vector<std::uint64_t> next_offsets;
  /// The jobs of which records were read, by partition; a repeated submission may be in a second
  /// one.
  std::vector<std::unordered_set<jobs::JobId>> jobs_read;
  std::vector<std::unique_ptr<Partition>> partitions;
  std::vector<std::shared_ptr<RecordTail>> tails;
};

}  // namespace chervilspar::job_entry
