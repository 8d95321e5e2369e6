#include "job_entry/job_log.h"

#include <algorithm>

namespace chervilspar::job_entry {

namespace asio = boost::asio;

namespace {

constexpr Duration kLoadTimeout = std::chrono::milliseconds(2500);
constexpr Duration kDropTimeout = std::chrono::seconds(2);
/// News is answered at once; the wait only bounds how old the proof gets that there is none.
constexpr Duration kWait = std::chrono::milliseconds(1000);

}  // namespace

JobLog::JobLog(const Context& context, jobs::Scheduler& scheduler, std::function<void()> on_news)
    : context(context), scheduler(scheduler), on_news(std::move(on_news)) {}

asio::awaitable<bool> JobLog::Load() {
  for (std::uint32_t partition = 0; partition < kJobPartitions; ++partition) {
    const Result<NewestOutcome> newest =
        co_await this->context.links.store->Newest(Topic::kJobs, partition, kLoadTimeout);
    if (!newest) {
      co_return false;
    }
    this->next[partition] = newest->next;
    for (const KeyedRecord& record : newest->records) {
      this->Take(record);
    }
  }
  co_return true;
}

void JobLog::ApplyCancellations() {
  this->keeps_cancellations_back = false;
  for (const jobs::JobId& id : this->cancellations) {
    this->scheduler.CancelJob(id);
  }
  this->cancellations.clear();
}

void JobLog::Follow() {
  for (std::uint32_t partition = 0; partition < kJobPartitions; ++partition) {
    const RecordTail::Options options{.topic = Topic::kJobs,
                                      .partition = partition,
                                      .wait = kWait,
                                      .from = this->next[partition]};
    this->tails.push_back(std::make_shared<RecordTail>(this->context, options, *this));
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

void JobLog::OnRecords(const std::vector<KeyedRecord>& records) {
  for (const KeyedRecord& record : records) {
    this->Take(record);
  }
  this->on_news();
}

void JobLog::Take(const KeyedRecord& record) {
  if (!record.value) {
    return;  // dropped after its job was told of for long enough
  }
  const std::optional<jobs::JobId> id =
      jobs::ParseJobId(record.key.substr(0, record.key.find('/')));
  if (!id) {
    LogEvent(telemetry::LogLevel::kError, "job_unreadable", "a record's key is not a job's");
    return;
  }
  if (record.key == CancellationKey(*id)) {
    if (this->keeps_cancellations_back) {
      this->cancellations.push_back(*id);
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
  std::vector<KeyedRecord> records;
  for (const jobs::JobId& id : ids) {
    records.push_back({SubmissionKey(id), std::nullopt});
    records.push_back({CancellationKey(id), std::nullopt});
  }
  for (std::uint32_t partition = 0; partition < kJobPartitions; ++partition) {
    // A repeat of a job's submission may stand in any partition.
    const AppendOutcome outcome = co_await this->context.links.store->Append(
        Topic::kJobs, partition, records, std::nullopt, kDropTimeout);
    if (outcome.kind != AppendOutcome::Kind::kStored) {
      co_return false;
    }
  }
  co_return true;
}

}  // namespace chervilspar::job_entry
