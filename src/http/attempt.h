#pragma once

#include <memory>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include "chervilspar/base/verdict.h"
#include "chervilspar/http/client.h"

#include "connection_pool.h"

namespace chervilspar::http {

/// One request on one connection: dials if need be, writes, reads the whole answer, and gives the
/// verdict. Runs on the executor of its coroutine; only `cancel` may come from elsewhere.
class Attempt : public std::enable_shared_from_this<Attempt> {
 public:
  Attempt(const ClientLimits& limits, std::unique_ptr<ConnectionPool::Lease> lease,
          boost::asio::any_io_executor executor);

  boost::asio::awaitable<Exchange> Run(SocketAddress address, Request request, Duration timeout,
                                       std::shared_ptr<CancelToken> cancel);

  std::size_t BytesSent() const { return this->bytes_sent; }
  std::size_t BytesReceived() const { return this->bytes_received; }

 private:
  enum class Ending { kNone, kTimeout, kConnectTimeout, kCancelled };

  boost::asio::awaitable<bool> Dial(const SocketAddress& address, Duration timeout);
  boost::asio::awaitable<bool> Write(const SocketAddress& address, Request request);
  boost::asio::awaitable<Exchange> ReadAnswer(bool is_head);
  Exchange Settle(Response response, bool is_reusable);
  Exchange Failed(Reason reason) const;
  /// Ends whatever is waited for, after `span`.
  void EndAfter(Duration span, Ending why);
  void End(Ending why);
  CancelToken::Registration WatchToken(const std::shared_ptr<CancelToken>& cancel);

  const ClientLimits& limits;
  std::unique_ptr<ConnectionPool::Lease> lease;
  boost::asio::any_io_executor executor;
  boost::asio::steady_timer timer;
  VerdictTracker tracker;
  Ending ending = Ending::kNone;
  std::size_t bytes_sent = 0;
  std::size_t bytes_received = 0;
  /// Counts deadlines; an earlier one that is already on its way is void.
  int deadline_number = 0;
};

}  // namespace chervilspar::http
