#include "job_entry/work_lane.h"

#include <utility>

namespace chervilspar::job_entry {

void WorkLane::Add(Work work) {
  this->waiting.push_back(std::move(work));
  if (this->runners < this->most) {
    ++this->runners;
    Spawn(this->context, this->Run(this->shared_from_this()));
  }
}

boost::asio::awaitable<void> WorkLane::Run([[maybe_unused]] std::shared_ptr<WorkLane> self) {
  while (!this->waiting.empty()) {
    const Work work = std::move(this->waiting.front());
    this->waiting.pop_front();
    co_await work();
  }
  --this->runners;
}

}  // namespace chervilspar::job_entry
