#pragma once

#include <memory>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include "chervilspar/base/time.h"

namespace chervilspar::http {

/// Wakes one coroutine from any thread. A notification that comes while nobody waits ends the next
/// wait at once, so that none is missed between looking at shared state and waiting.
class Wakeup : public std::enable_shared_from_this<Wakeup> {
 public:
  /// `executor` is the one that the waiting coroutine runs on; it must not run two handlers at
  /// once.
  explicit Wakeup(const boost::asio::any_io_executor& executor);

  /// Safe to call from any thread.
  void Notify();

  /// Returns after a notification or after `span`, whichever comes first.
  boost::asio::awaitable<void> WaitFor(Duration span);

 private:
  boost::asio::steady_timer timer;
  bool notified = false;
};

}  // namespace chervilspar::http
