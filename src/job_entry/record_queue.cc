#include "job_entry/record_queue.h"

#include <iterator>
#include <utility>

#include "chervilspar/base/scope_guard.h"

namespace chervilspar::job_entry {

namespace asio = boost::asio;

namespace {

/// With payloads of 4,000 bytes, this is far below the store's limit of 2 MiB per call.
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
    std::vector<std::shared_ptr<PendingWrite>> batch;
    std::vector<KeyedRecord> records;
    while (!this->waiting.empty() && records.size() < kMaxRecordsPerAppend) {
      batch.push_back(std::move(this->waiting.front()));
      this->waiting.pop_front();
      std::move(batch.back()->records.begin(), batch.back()->records.end(),
                std::back_inserter(records));
    }
    const WriteVerdict verdict = co_await this->append(std::move(records));
    for (const std::shared_ptr<PendingWrite>& entry : batch) {
      entry->verdict = verdict;
      entry->wakeup->Notify();
    }
  }
}

}  // namespace chervilspar::job_entry
