#pragma once

#include <cstddef>
#include <deque>
#include <functional>
#include <memory>

#include "job_entry/context.h"

namespace chervilspar::job_entry {

/// Runs work in the order in which it was added, a few pieces side by side.
///
/// What can go wrong: hundreds of calls to one address leave at once, the client has fewer
/// connections than that, and all but the first few fail without having been sent.
class WorkQueue : public std::enable_shared_from_this<WorkQueue> {
 public:
  using Work = std::function<boost::asio::awaitable<void>()>;

  /// `most`: pieces of work under way at once.
  WorkQueue(const Context& context, std::size_t most) : context(context), most(most) {}

  /// Work keeps alive what it uses.
  void Add(Work work);

 private:
  boost::asio::awaitable<void> Run(std::shared_ptr<WorkQueue> self);

  const Context context;
  const std::size_t most;
  std::size_t runners = 0;
  std::deque<Work> waiting;
};

}  // namespace chervilspar::job_entry
