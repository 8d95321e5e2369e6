#pragma once

#include <cstddef>
#include <list>
#include <memory>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include "chervilspar/base/socket_address.h"
#include "chervilspar/http/message.h"

namespace chervilspar::standins {

/// What a stand-in does to the bytes of an answer.
enum class WireFault {
  kNone,
  /// Half of the body, then the end of the connection.
  kTruncated,
  /// No byte, and the connection closed.
  kClosed,
  /// No byte, and the connection left open.
  kSilent,
};

/// An answer and how it is spoilt.
struct Reply {
  http::Response response;
  WireFault fault = WireFault::kNone;
};

/// What a stand-in answers.
class ReplyHandler {
 public:
  virtual ~ReplyHandler() = default;
  virtual boost::asio::awaitable<Reply> Handle(http::Request request) = 0;
};

/// A small HTTP server that can misbehave on purpose, for one thread. It shares no code with the
/// server under test, so that a fault there doesn't hide itself here.
class FakeServer {
 public:
  FakeServer(boost::asio::io_context& io, SocketAddress address, ReplyHandler& handler,
             std::size_t max_connections);

  /// Listens; an address in use ends the program, as a stand-in can't do without it.
  void Start();
  /// Closes the listener and all connections, as a machine that goes down.
  void Stop();

 private:
  /// One run between start and stop.
  struct Run {
    explicit Run(boost::asio::io_context& io) : acceptor(io) {}
    boost::asio::ip::tcp::acceptor acceptor;
    std::list<boost::asio::ip::tcp::socket> sockets;
  };
  using SocketPlace = std::list<boost::asio::ip::tcp::socket>::iterator;

  static boost::asio::awaitable<void> Accept(FakeServer& server, std::shared_ptr<Run> run);
  static boost::asio::awaitable<void> Serve(FakeServer& server, std::shared_ptr<Run> run,
                                            SocketPlace place);

  boost::asio::io_context& io;
  SocketAddress address;
  ReplyHandler& handler;
  std::size_t max_connections;
  std::shared_ptr<Run> run;
};

/// 200 with a JSON body.
Reply JsonReply(std::string body, unsigned status = 200);

}  // namespace chervilspar::standins
