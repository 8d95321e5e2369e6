#pragma once

#include <array>
#include <functional>
#include <memory>
#include <unordered_map>
#include <vector>

#include "chervilspar/jobs/scheduler.h"

#include "job_entry/job_writer.h"
#include "job_entry/record_tail.h"

namespace chervilspar::job_entry {

/// Brings jobs and cancellations from the store to the scheduler.
class JobLog : public RecordListener {
 public:
  JobLog(const Context& context, jobs::Scheduler& scheduler, std::function<void()> on_news);

  /// Reads all partitions; false when the store doesn't answer. Cancellations are kept back until
  /// `ApplyCancellations`, so that progress can be restored in between.
  boost::asio::awaitable<bool> Load();
  void ApplyCancellations();
  void Follow();
  void Stop();
  void OnRecords(const std::vector<KeyedRecord>& records) override;
  /// True when every job stored before the last `limit` is known here.
  bool IsFresh(Duration limit) const;
  /// Drops the records of jobs that nobody asks for any more; false when it has to be tried again.
  boost::asio::awaitable<bool> Drop(const std::vector<jobs::JobId>& ids);

 private:
  void Take(const KeyedRecord& record);

  const Context context;
  jobs::Scheduler& scheduler;
  const std::function<void()> on_news;
  bool keeps_cancellations_back = true;
  std::vector<jobs::JobId> cancellations;
  std::array<std::uint64_t, kJobPartitions> next{};
  std::vector<std::shared_ptr<RecordTail>> tails;
};

}  // namespace chervilspar::job_entry
