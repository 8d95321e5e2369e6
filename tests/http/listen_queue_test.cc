#include <memory>
#include <string>
#include <vector>

#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <gtest/gtest.h>

#include "chervilspar/http/server.h"

namespace chervilspar::http {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

class CountingHandler final : public Handler {
 public:
  asio::awaitable<Response> Handle(Request, std::shared_ptr<CancelToken>) override {
    ++this->handled;
    co_return Response{200, {}, ""};
  }

  int handled = 0;
};

/// A server whose thread the test runs step by step, and callers that connect meanwhile.
class QueuedCallers {
 public:
  QueuedCallers()
      : server(
            std::move(Server::Listen({&this->io}, {"127.0.0.1", 0}, {}, this->handler)).Value()) {
    this->io.poll();
  }

  tcp::socket Ask() {
    tcp::socket socket(this->callers);
    socket.connect({asio::ip::make_address("127.0.0.1"), this->server->Address().port});
    asio::write(socket, asio::buffer(std::string("GET / HTTP/1.1\r\nHost: a\r\n\r\n")));
    return socket;
  }
  static void GiveUp(tcp::socket& socket) {
    socket.set_option(asio::socket_base::linger(true, 0));
    socket.close();
  }

  asio::io_context io;
  asio::io_context callers;
  CountingHandler handler;
  std::unique_ptr<Server> server;
};

/// Guards against callers that wait behind those that have given up, one turn of a busy thread
/// each.
TEST(ListenQueue, IsTakenInOneTurn) {
  constexpr int kCallers = 60;
  constexpr int kTurns = 5;
  QueuedCallers world;
  std::vector<tcp::socket> sockets;
  sockets.reserve(kCallers);
  for (int i = 0; i < kCallers; ++i) {
    sockets.push_back(world.Ask());
  }
  for (int i = 0; i < kTurns; ++i) {
    world.io.poll_one();
  }
  EXPECT_EQ(world.server->ConnectionCount(), kCallers);
}

struct CallerCase {
  const char* name;
  bool gives_up;
  int handled;
};

class CallerInTheQueue : public ::testing::TestWithParam<CallerCase> {};

/// Guards against work for questions that nobody waits for any more.
TEST_P(CallerInTheQueue, IsAnsweredOnlyWhileItWaits) {
  QueuedCallers world;
  std::vector<tcp::socket> sockets;
  sockets.push_back(world.Ask());
  if (GetParam().gives_up) {
    QueuedCallers::GiveUp(sockets.front());
  }
  for (int i = 0; i < 100; ++i) {
    world.io.poll_one();
  }
  EXPECT_EQ(world.handler.handled, GetParam().handled);
}

INSTANTIATE_TEST_SUITE_P(Callers, CallerInTheQueue,
                         ::testing::Values(CallerCase{"ThatWaits", false, 1},
                                           CallerCase{"ThatHasGivenUp", true, 0}),
                         [](const auto& info) { return std::string(info.param.name); });

}  // namespace
}  // namespace chervilspar::http
