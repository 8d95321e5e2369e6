#include "chervilspar/http/client.h"

#include <array>
#include <atomic>
#include <string>
#include <thread>
#include <unistd.h>

#include <boost/asio/co_spawn.hpp>
#include <gtest/gtest.h>

#include "chervilspar/base/scope_guard.h"
#include "chervilspar/http/blocking_client.h"

#include "raw_peer.h"

namespace chervilspar::http {
namespace {

using std::chrono::milliseconds;

constexpr Duration kGenerous = std::chrono::seconds(20);
const std::string kOk = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

struct EndpointCase {
  std::string name;
  /// What the endpoint sends before it closes the connection.
  std::string answer;
  Verdict verdict;
  ErrorCode code;
};

class FaultyEndpointTest : public testing::TestWithParam<EndpointCase> {};

// An endpoint dies, cuts its answer short or talks nonsense after it has got the request. Whether
// it ran the request can't be known, and a doubled deposit charge must not come of a guess.
TEST_P(FaultyEndpointTest, GivesTheRightVerdict) {
  RawServer server(1, [](RawServer::Socket& socket, int) {
    RawServer::ReadHeader(socket);
    RawServer::Write(socket, GetParam().answer);
  });
  BlockingClient client;
  const Exchange exchange = client.Call(server.Address(), {"GET", "/", {}, {}}, kGenerous);
  EXPECT_EQ(exchange.verdict, GetParam().verdict);
  if (!exchange.response) {
    EXPECT_EQ(exchange.reason.code, GetParam().code);
  }
}

INSTANTIATE_TEST_SUITE_P(
    Cases, FaultyEndpointTest,
    testing::Values(
        EndpointCase{"Whole", kOk, Verdict::kCompleted, {}},
        EndpointCase{"NoAnswer", "", Verdict::kMayHaveRun, ErrorCode::kUnavailable},
        EndpointCase{"ShortBody", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok",
                     Verdict::kMayHaveRun, ErrorCode::kDataLoss},
        EndpointCase{"HalfHeader", "HTTP/1.1 200 OK\r\nConte", Verdict::kMayHaveRun,
                     ErrorCode::kDataLoss},
        EndpointCase{"Garbage", "\x01\x02\x03 what\r\n\r\n", Verdict::kMayHaveRun,
                     ErrorCode::kMalformed},
        EndpointCase{"SaysNotRun",
                     "HTTP/1.1 503 Busy\r\nChervilspar-Not-Run: full\r\nContent-Length: 0\r\n\r\n",
                     Verdict::kNotRun,
                     {}},
        EndpointCase{"PlainServerError",
                     "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n",
                     Verdict::kCompleted,
                     {}},
        EndpointCase{"NotRunWithSuccess",
                     "HTTP/1.1 200 OK\r\nChervilspar-Not-Run: full\r\nContent-Length: 0\r\n\r\n",
                     Verdict::kCompleted,
                     {}}),
    [](const testing::TestParamInfo<EndpointCase>& info) { return info.param.name; });

TEST(ClientTest, NobodyListeningIsNotRun) {
  SocketAddress address;
  {
    boost::asio::io_context io;
    const boost::asio::ip::tcp::acceptor probe(io, {boost::asio::ip::make_address("127.0.0.1"), 0});
    address = {"127.0.0.1", probe.local_endpoint().port()};
  }
  BlockingClient client;
  const Exchange exchange = client.Call(address, {"GET", "/", {}, {}}, kGenerous);
  EXPECT_EQ(exchange.verdict, Verdict::kNotRun);
  EXPECT_EQ(exchange.reason.code, ErrorCode::kUnavailable);
}

// An endpoint answers only after the request was given up. On a kept connection that answer would
// be the next caller's; here the next request meets a new connection and its own answer.
TEST(ClientTest, ALateAnswerNeverMeetsTheNextRequest) {
  RawServer server(2, [](RawServer::Socket& socket, int connection) {
    RawServer::ReadHeader(socket);
    if (connection == 0) {
      std::this_thread::sleep_for(milliseconds(100));
      RawServer::Write(socket, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nlate");
    } else {
      RawServer::Write(socket, kOk);
    }
  });
  BlockingClient client;
  const Exchange first = client.Call(server.Address(), {"GET", "/1", {}, {}}, milliseconds(30));
  EXPECT_EQ(first.verdict, Verdict::kMayHaveRun);
  EXPECT_EQ(first.reason.code, ErrorCode::kDeadlineExceeded);
  const Exchange second = client.Call(server.Address(), {"GET", "/2", {}, {}}, kGenerous);
  ASSERT_EQ(second.verdict, Verdict::kCompleted);
  EXPECT_EQ(second.response->body, "ok");
}

// An endpoint sends more than one answer to one request. The surplus would be taken for the next
// request's answer if the connection stayed in the pool.
TEST(ClientTest, SurplusBytesEndTheConnection) {
  RawServer server(2, [](RawServer::Socket& socket, int connection) {
    RawServer::ReadHeader(socket);
    const std::string surplus = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nother";
    RawServer::Write(socket, connection == 0 ? kOk + surplus : kOk);
  });
  BlockingClient client;
  EXPECT_EQ(client.Call(server.Address(), {"GET", "/1", {}, {}}, kGenerous).response->body, "ok");
  EXPECT_EQ(client.Call(server.Address(), {"GET", "/2", {}, {}}, kGenerous).response->body, "ok");
}

// An endpoint closes a kept connection while it is idle. Writing the next request into it would
// end in "may have run" for a request that surely did not; the look at the socket before use
// makes it go over a new connection.
TEST(ClientTest, AStaleConnectionIsNotUsed) {
  std::atomic<int> closed = 0;
  RawServer server(2, [&closed](RawServer::Socket& socket, int) {
    RawServer::ReadHeader(socket);
    RawServer::Write(socket, kOk);
    socket.close();
    ++closed;
  });
  BlockingClient client;
  EXPECT_EQ(client.Call(server.Address(), {"GET", "/1", {}, {}}, kGenerous).verdict,
            Verdict::kCompleted);
  while (closed == 0) {
    std::this_thread::yield();
  }
  EXPECT_EQ(client.Call(server.Address(), {"GET", "/2", {}, {}}, kGenerous).verdict,
            Verdict::kCompleted);
}

// The caller of a request hangs up while an endpoint works on it. The exchange ends at once, and
// what it says is that the request may have run.
// The path to an endpoint is cut while a request is on its way, and the client gives up on it. If
// the connection ended in the usual way, the bytes that wait in the sender's buffer would be
// delivered when the path is back: an order that was given up on is carried out after a newer one.
TEST(ClientTest, GivingUpDropsWhatWasNotDelivered) {
  std::atomic<bool> is_reset = false;
  {
    RawServer server(1, [&](RawServer::Socket& socket, int) {
      std::this_thread::sleep_for(milliseconds(600));
      // More than the buffers of both sides hold was sent; all that came before the end is read.
      boost::system::error_code error;
      std::array<char, 65536> chunk;
      while (!error) {
        socket.read_some(boost::asio::buffer(chunk), error);
      }
      is_reset = error == boost::asio::error::connection_reset;
    });
    BlockingClient client;
    const std::string body(std::size_t{32} * 1024 * 1024, 'x');
    const Exchange exchange =
        client.Call(server.Address(), {"POST", "/", {}, body}, milliseconds(200));
    EXPECT_FALSE(exchange.response);
    EXPECT_EQ(exchange.verdict, Verdict::kMayHaveRun);
  }
  EXPECT_TRUE(is_reset);
}

TEST(ClientTest, CancellingEndsTheExchange) {
  const auto cancel = CancelToken::Create();
  RawServer server(1, [&cancel](RawServer::Socket& socket, int) {
    RawServer::ReadHeader(socket);
    cancel->Cancel();
    RawServer::ReadHeader(socket);
  });
  BlockingClient client;
  const Exchange exchange = client.Call(server.Address(), {"GET", "/", {}, {}}, kGenerous, cancel);
  EXPECT_EQ(exchange.verdict, Verdict::kMayHaveRun);
  EXPECT_EQ(client.Call(server.Address(), {"GET", "/", {}, {}}, kGenerous, cancel).verdict,
            Verdict::kNotRun);
}

// Requests to one endpoint come from several threads of an entry, and the process ends while the
// pool still holds their connections. When a thread was given a connection of another thread, the
// connection outlived its io_context and the process crashed at its end, after a clean shutdown.
TEST(ClientTest, AConnectionStaysWithItsThread) {
  // Another descriptor of the first connection keeps it open after its answer.
  std::atomic<int> held = -1;
  const ScopeGuard release([&held] { close(held); });
  const auto answer_all = [&held](RawServer::Socket& socket, int connection) {
    RawServer::ReadHeader(socket);
    if (connection == 0) {
      held = dup(socket.native_handle());
    }
    RawServer::Write(socket, kOk);
  };
  RawServer server(2, answer_all);
  ClientLimits limits;
  limits.connections_per_address = 1;
  auto first = std::make_unique<boost::asio::io_context>();
  boost::asio::io_context second;
  Client client(limits, Routes{});
  const auto call = [&](boost::asio::io_context& io) {
    Exchange outcome;
    boost::asio::co_spawn(
        io, client.Send(server.Address(), {}, kGenerous, nullptr),
        [&](const std::exception_ptr&, Exchange exchange) { outcome = std::move(exchange); });
    io.run();
    return outcome;
  };
  EXPECT_EQ(call(*first).verdict, Verdict::kCompleted);
  EXPECT_EQ(client.ConnectionCount(), 1U);
  EXPECT_EQ(call(second).verdict, Verdict::kCompleted);
  EXPECT_EQ(client.ConnectionCount(), 1U);
  first.reset();
}

// A caller's text that ends up in a header must not be able to start a header of its own.
TEST(ClientTest, RefusesALineBreakInAHeader) {
  BlockingClient client;
  const Exchange exchange =
      client.Call({"127.0.0.1", 1}, {"GET", "/", {{"X", "a\r\nY: b"}}, {}}, kGenerous);
  EXPECT_EQ(exchange.verdict, Verdict::kNotRun);
  EXPECT_EQ(exchange.reason.code, ErrorCode::kInvalidArgument);
}

}  // namespace
}  // namespace chervilspar::http
