#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <vector>

#include <boost/asio/io_context.hpp>

namespace chervilspar::http {

/// A fixed set of threads, each with an io_context of its own, so that a connection lives on one
/// thread and needs neither strand nor lock. One io_context run by several threads has them
/// contend for one queue with each completed read and write.
class IoThreads {
 public:
  explicit IoThreads(std::size_t count);
  IoThreads(const IoThreads&) = delete;
  IoThreads& operator=(const IoThreads&) = delete;
  /// Stops and joins.
  ~IoThreads();

  std::size_t Count() const;
  boost::asio::io_context& Context(std::size_t index);
  std::vector<boost::asio::io_context*> Contexts();
  /// Ends all threads without waiting for what is outstanding. Not to be called from one of them.
  void Stop();

 private:
  class Worker;
  std::vector<std::unique_ptr<Worker>> workers;
};

}  // namespace chervilspar::http
