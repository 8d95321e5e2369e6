#pragma once

#include <cstddef>
#include <memory>
#include <string_view>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include "chervilspar/base/result.h"
#include "chervilspar/base/socket_address.h"
#include "chervilspar/base/time.h"
#include "chervilspar/http/cancel_token.h"
#include "chervilspar/http/message.h"

namespace chervilspar::http {

/// Bounds that keep callers from holding a server's memory or connections.
struct ServerLimits {
  std::size_t header_bytes = std::size_t{16} * 1024;
  std::size_t body_bytes = std::size_t{1024} * 1024;
  /// Bytes of requests that all connections together hold, from a request's first byte until it is
  /// answered; a request that would go above that is answered 503 and its connection closed. A
  /// single request within the other limits always has room.
  std::size_t pending_bytes = std::size_t{64} * 1024 * 1024;
  /// Connections open at once; above that a new one is answered 503 and closed.
  std::size_t connections = 4096;
  /// How long a connection may wait between two requests.
  Duration idle_timeout = std::chrono::seconds(60);
  /// From a request's first byte to its last.
  Duration read_timeout = std::chrono::seconds(10);
  /// For one answer to leave.
  Duration write_timeout = std::chrono::seconds(10);

  friend bool operator==(const ServerLimits&, const ServerLimits&) = default;
};

/// Faults of callers, counted as metrics.
enum class BadInput {
  kMalformed,
  kHeaderTooLarge,
  kBodyTooLarge,
  kDuplicateHeader,
  /// A transfer encoding; bodies come with Content-Length.
  kChunked,
  /// The caller closed in the middle of a request.
  kTruncated,
  /// The caller was silent for longer than a timeout allows.
  kTimedOut,
  kTooManyConnections,
  /// The requests of all callers together hold as much as the server allows.
  kTooManyBytes,
};

/// The stable lower-case name of a fault, as it appears in error bodies and metrics.
const char* ToString(BadInput fault);

/// Answers requests.
class Handler {
 public:
  virtual ~Handler() = default;
  /// Answers one request, on the connection's executor. `caller` is cancelled when the caller
  /// hangs up before the answer is there; the answer is then still offered to the socket, as the
  /// caller may have closed its sending side only.
  /// An exception is a programming error and answers 500.
  virtual boost::asio::awaitable<Response> Handle(Request request,
                                                  std::shared_ptr<CancelToken> caller) = 0;
};

/// Hears of callers' faults; called on any of the server's threads.
class ServerObserver {
 public:
  virtual ~ServerObserver() = default;
  virtual void OnBadInput(BadInput fault) = 0;
};

/// An HTTP/1.1 server with keep-alive. Requests that are pipelined on a connection are answered
/// one after the other, in order. Every method may be called from any thread.
///
/// Shutting down without cutting a request: `BeginDrain` while the balancer still sends new
/// connections, `StopAccepting` when it has stopped, then `WaitUntilDrained`.
class Server {
 public:
  /// Listens at `address` and spreads connections over `contexts`, each of which must be run by one
  /// thread. `handler` and `observer` outlive the server; `observer` may be null. Port 0 takes a
  /// free port.
  static Result<std::unique_ptr<Server>> Listen(
      const std::vector<boost::asio::io_context*>& contexts, const SocketAddress& address,
      const ServerLimits& limits, Handler& handler, ServerObserver* observer = nullptr);
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;
  /// Closes the listener. Connections that are still open live on until their context stops.
  ~Server();

  SocketAddress Address() const;
  std::size_t ConnectionCount() const;
  /// From now on each answer closes its connection; new connections are still taken.
  void BeginDrain();
  /// Takes what waits in the listen queue, closes the listener, and closes each connection once it
  /// is idle and no byte of a request waits in its socket.
  void StopAccepting();
  /// Blocks until no connection is open or `timeout` has passed; true when none is open. Not to be
  /// called on one of the server's own threads.
  bool WaitUntilDrained(Duration timeout);
  /// Closes every connection at once.
  void CloseAll();

 private:
  class State;
  explicit Server(std::shared_ptr<State> state);

  std::shared_ptr<State> state;
};

/// `{"code":..,"message":..,"request_id":..}` with the given status; an empty id is left out.
Response ErrorResponse(unsigned status, std::string_view code, std::string_view message,
                       std::string_view request_id = {});

}  // namespace chervilspar::http
