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

/// Brings jobs and cancellations from the store to the scheduler.
///
/// What can go wrong: the submissions of all jobs of the last minutes stay in the store until
/// nobody asks for them any more, a successor reads them all with their payloads, and a fleet that
/// lost its owner starts nothing for seconds. So a submission is dropped once the job's end is
/// stored; what callers still ask for stands in its progress.
class JobLog {
 public:
  JobLog(const Context& context, jobs::Scheduler& scheduler, std::function<void()> on_news);

  /// Each reads one partition; false when the store doesn't answer. Cancellations are kept back
  /// until `ApplyCancellations`, so that progress can be restored in between.
  std::vector<boost::asio::awaitable<bool>> LoadPartitions();
  void ApplyCancellations();
  void Follow();
  void Stop();
  /// True when every job stored before the last `limit` is known here.
  bool IsFresh(Duration limit) const;
  /// Drops the records of jobs that nobody asks for any more; false when it has to be tried again.
  boost::asio::awaitable<bool> Drop(const std::vector<jobs::JobId>& ids);
  /// Drops what is stored of jobs whose end is stored, where it was read; false when it has to be
  /// tried again.
  boost::asio::awaitable<bool> DropEnded(const std::vector<jobs::JobId>& ids);

 private:
  /// Hears of one partition.
  class Partition final : public RecordListener {
   public:
    Partition(JobLog& log, std::uint32_t number) : log(log), number(number) {}
    void OnRecords(const std::vector<KeyedRecord>& records) override;

   private:
    JobLog& log;
    const std::uint32_t number;
  };

  boost::asio::awaitable<bool> LoadPartition(std::uint32_t partition);
  void Take(std::uint32_t partition, const KeyedRecord& record);
  boost::asio::awaitable<bool> DropIn(std::uint32_t partition, std::vector<jobs::JobId> ids);

  const Context context;
  jobs::Scheduler& scheduler;
  const std::function<void()> on_news;
  bool keeps_cancellations_back = true;
  std::vector<jobs::JobId> cancellations;
  std::vector<std::uint64_t> next;
  /// In which partitions something of a job was read; a repeat may stand in another one.
  std::vector<std::unordered_set<jobs::JobId>> read;
  std::vector<std::unique_ptr<Partition>> partitions;
  std::vector<std::shared_ptr<RecordTail>> tails;
};

}  // namespace chervilspar::job_entry
