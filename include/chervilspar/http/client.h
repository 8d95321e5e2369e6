#pragma once

#include <cstddef>
#include <memory>
#include <optional>

#include <boost/asio/awaitable.hpp>

#include "chervilspar/base/result.h"
#include "chervilspar/base/socket_address.h"
#include "chervilspar/base/time.h"
#include "chervilspar/base/verdict.h"
#include "chervilspar/http/cancel_token.h"
#include "chervilspar/http/message.h"
#include "chervilspar/http/routes.h"
#include "chervilspar/http/traffic_observer.h"

namespace chervilspar::http {

/// Bounds of a client.
struct ClientLimits {
  /// Connections to one address, idle and busy. An endpoint takes 64 at once from all entries.
  std::size_t connections_per_address = 16;
  std::size_t header_bytes = std::size_t{16} * 1024;
  std::size_t body_bytes = std::size_t{16} * 1024 * 1024;
  Duration connect_timeout = std::chrono::seconds(1);
  /// An idle connection older than this is not used again; must be below the idle timeout of the
  /// servers, or requests meet connections that are just being closed.
  Duration idle_timeout = std::chrono::seconds(20);

  friend bool operator==(const ClientLimits&, const ClientLimits&) = default;
};

/// What came of one request.
struct Exchange {
  /// `kNotRun` also when the endpoint's whole answer says so (`Chervilspar-Not-Run`).
  Verdict verdict = Verdict::kNotRun;
  /// The whole answer, if one came; also that which says "not run".
  std::optional<Response> response;
  /// Why there is no whole answer; the default value when there is one.
  Reason reason;

  friend bool operator==(const Exchange&, const Exchange&) = default;
};

/// Sends requests over pooled connections, one request at a time on each.
///
/// An answer that arrives after its request was given up must not be taken for the answer to the
/// next request on the same connection. So a connection is closed after a timeout, a cancellation,
/// a short or oversized answer, and when any byte follows an answer; and an idle one on which
/// something has arrived is not used again.
///
/// Safe to use from several threads; a coroutine runs on its own executor throughout. Must be
/// destroyed before the io_contexts on which its coroutines ran, as idle connections belong to
/// them.
class Client {
 public:
  /// `observer` (may be null) must outlive the client.
  Client(ClientLimits limits, Routes routes, TrafficObserver* observer = nullptr);
  Client(const Client&) = delete;
  Client& operator=(const Client&) = delete;
  ~Client();

  /// Sends `request` and waits for the whole answer for at most `timeout` in all. Cancelling
  /// `cancel` (may be null) gives up at once: before the first byte that is `kNotRun`.
  /// When all connections to the address are busy it gives `kNotRun` with `kResourceExhausted`.
  boost::asio::awaitable<Exchange> Send(SocketAddress address, Request request, Duration timeout,
                                        std::shared_ptr<CancelToken> cancel);

  /// Closes idle connections to `address`. After a timeout: others that are as old may have gone
  /// silent with it, and each would cost the next request another timeout.
  void CloseIdle(const SocketAddress& address);
  /// Closes idle connections that have passed the idle timeout; to be called now and then.
  void CloseStale();
  /// Idle and busy connections over all addresses.
  std::size_t ConnectionCount() const;

 private:
  class State;
  std::shared_ptr<State> state;
};

}  // namespace chervilspar::http
