#include "job_entry/job_log.h"

#include <algorithm>

#include "job_entry/append_plan.h"

namespace chervilspar::job_entry {

namespace asio = boost::asio;

namespace {

/// Allows for a page of 500 jobs with payloads, about 700 KB, on a link of 2 Mbit/s.
constexpr Duration kLoadTimeout = std::chrono::seconds(8);
constexpr Duration kDropTimeout = std::chrono::seconds(2);
/// The store answers as soon as there are records, so the wait only limits how old the proof of
/// their absence gets. Each read is billed, and each partition needs its own.
constexpr Duration kReadWait = std::chrono::milliseconds(1500);
/// Batches jobs that arrive in quick succession: a read costs the owner as much as placing several
/// tasks.
constexpr Duration kBatchDelay = std::chrono::milliseconds(30);

}  // namespace

JobLog::JobLog(const Context& context, jobs::Scheduler& scheduler, std::function<void()> on_change)
    : context(context),
      scheduler(scheduler),
      on_change(std::move(on_change)),
      next_offsets(context.settings.job_partitions),
      jobs_read(context.settings.job_partitions) {}

std::vector<asio::awaitable<bool>> JobLog::LoadPartitions() {
  std::vector<asio::awaitable<bool>> parts;
  for (std::uint32_t partition = 0; partition < this->jobs_read.size(); ++partition) {
    parts.push_back(this->LoadPartition(partition));
  }
  return parts;
}

asio::awaitable<bool> JobLog::LoadPartition(std::uint32_t partition) {
  const Result<NewestOutcome> newest =
      co_await this->context.links.store->ReadNewest(Topic::kJobs, partition, kLoadTimeout);
  if (!newest) {
    co_return false;
  }
  this->next_offsets[partition] = newest->next;
  for (const KeyedRecord& record : newest->records) {
    this->Apply(partition, record);
  }
  co_return true;
}

void JobLog::ApplyCancellations() {
  this->are_cancellations_deferred = false;
  for (const jobs::JobId& id : this->deferred_cancellations) {
    this->scheduler.CancelJob(id);
  }
  this->deferred_cancellations.clear();
}

void JobLog::Follow() {
  for (std::uint32_t partition = 0; partition < this->jobs_read.size(); ++partition) {
    const RecordTail::Options options{.topic = Topic::kJobs,
                                      .partition = partition,
                                      .wait = kReadWait,
                                      .gather = kBatchDelay,
                                      .from = this->next_offsets[partition]};
    this->partitions.push_back(std::make_unique<Partition>(*this, partition));
    this->tails.push_back(
        std::make_shared<RecordTail>(this->context, options, *this->partitions.back()));
    this->tails.back()->Start();
  }
}

void JobLog::Stop() {
  for (const std::shared_ptr<RecordTail>& tail : this->tails) {
    tail->Stop();
  }
}

bool JobLog::IsFresh(Duration limit) const {
  return std::all_of(this->tails.begin(), this->tails.end(),
                     [&](const auto& tail) { return tail->IsFresh(limit); });
}

void JobLog::Partition::OnRecords(const std::vector<KeyedRecord>& records) {
  const auto span = this->log.context.Measure(telemetry::WorkPart::kReadJobs);
  for (const KeyedRecord& record : records) {
    this->log.Apply(this->number, record);
  }
  this->log.on_change();
}

void JobLog::Apply(std::uint32_t partition, const KeyedRecord& record) {
  if (!record.value) {
    return;  // deleted after its job had ended
  }
  const std::optional<jobs::JobId> id =
      jobs::ParseJobId(record.key.substr(0, record.key.find('/')));
  if (!id) {
    LogEvent(telemetry::LogLevel::kError, "job_unreadable", "the record's key has no valid job id");
    return;
  }
  this->jobs_read[partition].insert(*id);
  if (record.key == CancellationKey(*id)) {
    if (this->are_cancellations_deferred) {
      this->deferred_cancellations.push_back(*id);
    } else {
      this->scheduler.CancelJob(*id);
    }
    return;
  }
  const Result<jobs::Job> job = jobs::DecodeJob(*record.value);
  if (!job) {
    LogEvent(telemetry::LogLevel::kError, "job_unreadable", ToString(job.LastReason()), {},
             record.key);
    return;
  }
  this->scheduler.AddJob(*job, this->context.clock.WallNow());
}

asio::awaitable<bool> JobLog::Drop(const std::vector<jobs::JobId>& ids) {
  for (std::uint32_t partition = 0; partition < this->jobs_read.size(); ++partition) {
    // A repeated submission of a job may be in any partition.
    const bool is_dropped = co_await this->DropIn(partition, ids);
    if (!is_dropped) {
      co_return false;
    }
  }
  co_return true;
}

asio::awaitable<bool> JobLog::DropEnded(const std::vector<jobs::JobId>& ids) {
  for (std::uint32_t partition = 0; partition < this->jobs_read.size(); ++partition) {
    std::vector<jobs::JobId> here;
    for (const jobs::JobId& id : ids) {
      if (this->jobs_read[partition].contains(id)) {
        here.push_back(id);
      }
    }
    if (here.empty()) {
      continue;
    }
    const bool is_dropped = co_await this->DropIn(partition, std::move(here));
    if (!is_dropped) {
      co_return false;
    }
  }
  co_return true;
}

asio::awaitable<bool> JobLog::DropIn(std::uint32_t partition, std::vector<jobs::JobId> ids) {
  std::vector<KeyedRecord> records;
  for (const jobs::JobId& id : ids) {
    records.push_back({SubmissionKey(id), std::nullopt});
    records.push_back({CancellationKey(id), std::nullopt});
  }
  // After an outage of the store, more jobs may have ended than one append can hold.
  std::vector<std::vector<KeyedRecord>> appends =
      DivideByLimit(std::move(records), this->context.settings.append_limit);
  for (std::vector<KeyedRecord>& append : appends) {
    const AppendOutcome outcome = co_await this->context.links.store->Append(
        Topic::kJobs, partition, std::move(append), std::nullopt, kDropTimeout);
    if (outcome.kind != AppendOutcome::Kind::kStored) {
      co_return false;
    }
  }
  for (const jobs::JobId& id : ids) {
    this->jobs_read[partition].erase(id);
  }
  co_return true;
}

}  // namespace chervilspar::job_entry
