#pragma once

#include <cstddef>
#include <deque>
#include <functional>
#include <memory>

#include "job_entry/context.h"

namespace chervilspar::job_entry {

/// Runs pieces of work in the order in which they were added, urgent ones first, with limited
/// concurrency.
///
/// The client has a limited number of connections to an address. If hundreds of calls to it started
/// at once, all but the first few would fail without being sent.
class WorkQueue : public std::enable_shared_from_this<WorkQueue> {
 public:
  using Work = std::function<boost::asio::awaitable<void>()>;

  /// `max_running`: pieces of work that run concurrently.
  WorkQueue(const Context& context, std::size_t max_running)
      : context(context), max_running(max_running) {}

  /// `work` has to keep alive what it uses.
  void Add(Work work);
  /// The same for work that goes before all that was added by `Add`.
  void AddUrgent(Work work);

 private:
  void StartRunner();
  boost::asio::awaitable<void> Run(std::shared_ptr<WorkQueue> self);

  const Context context;
  const std::size_t max_running;
  std::size_t runners = 0;
  std::deque<Work> urgent;
  std::deque<Work> waiting;
};

}  // namespace chervilspar::job_entry
