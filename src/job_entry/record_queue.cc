#include "job_entry/record_queue.h"

#include <utility>

#include "chervilspar/base/scope_guard.h"

#include "job_entry/append_plan.h"

namespace chervilspar::job_entry {

namespace asio = boost::asio;

namespace {

constexpr std::size_t kMaxRecordsPerAppend = 100;
/// Limits the delay after a missed wake-up.
constexpr Duration kRecheckInterval = std::chrono::seconds(10);

}  // namespace

RecordQueue::RecordQueue(const Context& context, Append append)
    : context(context), append(std::move(append)) {}

asio::awaitable<WriteVerdict> RecordQueue::Write(std::vector<KeyedRecord> records) {
  const auto entry = std::make_shared<PendingWrite>();
  entry->records = std::move(records);
  entry->wakeup = std::make_shared<http::Wakeup>(this->context.io.get_executor());
  this->waiting.push_back(entry);
  if (!this->is_running) {
    this->is_running = true;
    Spawn(this->context, this->Run(this->shared_from_this()));
  }
  while (!entry->verdict) {
    co_await entry->wakeup->WaitFor(kRecheckInterval);
  }
  co_return *entry->verdict;
}

asio::awaitable<void> RecordQueue::Run([[maybe_unused]] std::shared_ptr<RecordQueue> self) {
  const ScopeGuard ended([this] { this->is_running = false; });
  while (!this->waiting.empty()) {
    const std::vector<std::shared_ptr<PendingWrite>> batch = this->TakeBatch();
    std::vector<KeyedRecord> records;
    for (const std::shared_ptr<PendingWrite>& entry : batch) {
      records.insert(records.end(), entry->records.begin(), entry->records.end());
    }
    const WriteVerdict verdict = co_await this->append(std::move(records));
    const bool is_divided = verdict == WriteVerdict::kRejected && batch.size() > 1;
    for (const std::shared_ptr<PendingWrite>& entry : batch) {
      entry->verdict = verdict;
      if (is_divided) {
        // One write that the store rejects must not take the others with it.
        entry->verdict = co_await this->append(entry->records);
      }
      entry->wakeup->Notify();
    }
  }
}

std::vector<std::shared_ptr<RecordQueue::PendingWrite>> RecordQueue::TakeBatch() {
  std::vector<std::shared_ptr<PendingWrite>> batch;
  std::size_t count = 0;
  std::size_t bytes = 0;
  while (!this->waiting.empty() && count < kMaxRecordsPerAppend) {
    const std::shared_ptr<PendingWrite>& next = this->waiting.front();
    for (const KeyedRecord& record : next->records) {
      bytes += SizeInAppend(record);
    }
    if (!batch.empty() && bytes > this->context.settings.append_limit) {
      break;
    }
    count += next->records.size();
    batch.push_back(std::move(this->waiting.front()));
    this->waiting.pop_front();
  }
  return batch;
}

}  // namespace chervilspar::job_entry
