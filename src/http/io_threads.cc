#include "chervilspar/http/io_threads.h"

#include <thread>

#include <boost/asio/executor_work_guard.hpp>

#include "chervilspar/base/assert.h"

namespace chervilspar::http {

/// One io_context and the thread that runs it.
class IoThreads::Worker {
 public:
  Worker()
      : context(1),  // hint: one thread
        guard(this->context.get_executor()),
        thread([this] { this->context.run(); }) {}
  Worker(const Worker&) = delete;
  Worker& operator=(const Worker&) = delete;
  ~Worker() { this->Stop(); }

  void Stop() {
    this->context.stop();
    if (this->thread.joinable()) {
      this->thread.join();
    }
  }

  boost::asio::io_context context;

 private:
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type> guard;
  std::thread thread;
};

IoThreads::IoThreads(std::size_t count) {
  CHERVILSPAR_ASSERT(count > 0);
  for (std::size_t i = 0; i < count; ++i) {
    this->workers.push_back(std::make_unique<Worker>());
  }
}

IoThreads::~IoThreads() { this->Stop(); }

std::size_t IoThreads::Count() const { return this->workers.size(); }

boost::asio::io_context& IoThreads::Context(std::size_t index) {
  CHERVILSPAR_ASSERT(index < this->workers.size());
  return this->workers[index]->context;
}

std::vector<boost::asio::io_context*> IoThreads::Contexts() {
  std::vector<boost::asio::io_context*> contexts;
  for (const auto& worker : this->workers) {
    contexts.push_back(&worker->context);
  }
  return contexts;
}

void IoThreads::Stop() {
  for (const auto& worker : this->workers) {
    worker->Stop();
  }
}

}  // namespace chervilspar::http
