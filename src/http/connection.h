#pragma once

#include <atomic>
#include <memory>
#include <optional>
#include <string>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

#include "chervilspar/base/byte_budget.h"
#include "chervilspar/base/time.h"
#include "chervilspar/http/server.h"

#include "request_reader.h"

namespace chervilspar::http {

class ConnectionSet;

/// What the connections of one server share.
struct ConnectionContext {
  explicit ConnectionContext(const ServerLimits& limits);

  const ServerLimits limits;
  ByteBudget pending_bytes;
  Handler* handler = nullptr;
  ServerObserver* observer = nullptr;
  SystemClock clock;
  /// Each answer closes its connection.
  std::atomic<bool> draining = false;

  void Report(BadInput fault) const;
};

/// One caller's connection; lives on the thread of its socket's executor.
///
/// While it waits for a request it holds no buffer and no parser, so that a thousand idle callers
/// cost little memory.
class Connection : public std::enable_shared_from_this<Connection> {
 public:
  Connection(boost::asio::ip::tcp::socket socket, std::shared_ptr<ConnectionContext> context,
             ConnectionSet& set);
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;
  ~Connection();

  /// Serves requests until the connection ends.
  boost::asio::awaitable<void> Run();
  /// Ends what the connection waits for if its time is over.
  void CloseIfOverdue(TimePoint now);
  /// Shortens the wait for a next request, because the server stops.
  void HastenIdle(TimePoint deadline);
  void Close();

 private:
  enum class Phase { kIdle, kReading, kHandling, kWriting, kLingering };
  enum class AfterAnswer { kKeepOpen, kClose };
  enum class ReadOutcome { kSettled, kNoRoom, kEnded };

  boost::asio::awaitable<bool> WaitForRequest();
  boost::asio::awaitable<ReadOutcome> ReadRequest();
  boost::asio::awaitable<bool> ReadSome();
  /// Makes room for `request_bytes` and the next piece of the buffer; false if there is none.
  bool MakeRoom(std::size_t request_bytes);
  boost::asio::awaitable<void> RefuseForRoom();
  boost::asio::awaitable<AfterAnswer> Answer();
  boost::asio::awaitable<Response> CallHandler(Request request);
  boost::asio::awaitable<bool> Write(Response response, AfterAnswer after);
  boost::asio::awaitable<void> WriteContinue();
  boost::asio::awaitable<void> Linger();
  void EnterPhase(Phase next, std::optional<Duration> time);
  void WatchCaller();
  void OnCallerReadable(std::uint64_t watched_request);
  bool HasCallerReset();

  boost::asio::ip::tcp::socket socket;
  std::shared_ptr<ConnectionContext> context;
  ConnectionSet& set;
  Phase phase = Phase::kIdle;
  /// When the present phase is over; none while a handler works, which has its own deadline.
  std::optional<TimePoint> deadline;
  /// Bytes that have come and are not yet read.
  std::string buffer;
  std::unique_ptr<RequestReader> reader;
  /// What the present request and `buffer` hold of the server's budget.
  ByteBudget::Share held;
  /// Of the request that is being handled.
  std::size_t request_bytes = 0;
  std::shared_ptr<CancelToken> caller;
  /// Counts requests; a watch for an earlier request is void.
  std::uint64_t request_number = 0;
};

}  // namespace chervilspar::http
