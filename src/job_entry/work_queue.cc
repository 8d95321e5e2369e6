#include "job_entry/work_queue.h"

#include <utility>

namespace chervilspar::job_entry {

void WorkQueue::Add(Work work) {
  this->waiting.push_back(std::move(work));
  this->StartRunner();
}

void WorkQueue::AddUrgent(Work work) {
  this->urgent.push_back(std::move(work));
  this->StartRunner();
}

void WorkQueue::StartRunner() {
  if (this->runners < this->max_running) {
    ++this->runners;
    Spawn(this->context, this->Run(this->shared_from_this()));
  }
}

boost::asio::awaitable<void> WorkQueue::Run([[maybe_unused]] std::shared_ptr<WorkQueue> self) {
  while (!this->urgent.empty() || !this->waiting.empty()) {
    std::deque<Work>& queue = this->urgent.empty() ? this->waiting : this->urgent;
    const Work work = std::move(queue.front());
    queue.pop_front();
    co_await work();
  }
  --this->runners;
}

}  // namespace chervilspar::job_entry
