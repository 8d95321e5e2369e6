#include "job_entry/work_queue.h"

#include <utility>

namespace chervilspar::job_entry {

void WorkQueue::Add(Work work) {
  this->waiting.push_back(std::move(work));
  if (this->runners < this->max_running) {
    ++this->runners;
    Spawn(this->context, this->Run(this->shared_from_this()));
  }
}

boost::asio::awaitable<void> WorkQueue::Run([[maybe_unused]] std::shared_ptr<WorkQueue> self) {
  while (!this->waiting.empty()) {
    const Work work = std::move(this->waiting.front());
    this->waiting.pop_front();
    co_await work();
  }
  --this->runners;
}

}  // namespace chervilspar::job_entry
