#include "chervilspar/http/server.h"

#include <atomic>
#include <future>
#include <mutex>
#include <vector>

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <gtest/gtest.h>

#include "chervilspar/http/blocking_client.h"
#include "chervilspar/http/io_threads.h"

#include "raw_peer.h"

namespace chervilspar::http {
namespace {

using std::chrono::milliseconds;

constexpr Duration kGenerous = std::chrono::seconds(20);

/// Answers with the body; a target "/hold" waits until `release`, "/gone" until the caller goes.
class EchoHandler final : public Handler {
 public:
  boost::asio::awaitable<Response> Handle(Request request,
                                          std::shared_ptr<CancelToken> caller) override {
    ++this->started;
    boost::asio::steady_timer timer(co_await boost::asio::this_coro::executor);
    while (this->MustWait(request, *caller)) {
      timer.expires_after(milliseconds(2));
      co_await timer.async_wait(boost::asio::use_awaitable);
    }
    co_return Response{200, {{"X-Target", request.target}}, request.body};
  }

  std::atomic<int> started = 0;
  std::atomic<int> gone = 0;
  std::atomic<bool> release = false;

 private:
  bool MustWait(const Request& request, const CancelToken& caller) {
    if (request.target == "/gone" && caller.IsCancelled()) {
      ++this->gone;
      return false;
    }
    return request.target == "/gone" || (request.target == "/hold" && !this->release);
  }
};

class FaultCounter final : public ServerObserver {
 public:
  void OnBadInput(BadInput fault) override {
    const std::lock_guard lock(this->mutex);
    this->faults.push_back(fault);
  }
  bool Saw(BadInput fault) {
    const std::lock_guard lock(this->mutex);
    return std::find(this->faults.begin(), this->faults.end(), fault) != this->faults.end();
  }

 private:
  std::mutex mutex;
  std::vector<BadInput> faults;
};

class ServerTest : public testing::Test {
 protected:
  void Start(const ServerLimits& limits) {
    this->server = std::move(Server::Listen(this->threads.Contexts(), {"127.0.0.1", 0}, limits,
                                            this->handler, &this->faults))
                       .Value();
  }
  template <typename Condition>
  static bool Eventually(Condition condition) {
    for (int i = 0; i < 5000; ++i) {
      if (condition()) {
        return true;
      }
      std::this_thread::sleep_for(milliseconds(2));
    }
    return false;
  }

  EchoHandler handler;
  FaultCounter faults;
  IoThreads threads{2};
  std::unique_ptr<Server> server;
};

std::string Post(const std::string& target, const std::string& body) {
  return "POST " + target +
         " HTTP/1.1\r\nHost: a\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
         body;
}

TEST_F(ServerTest, AnswersPipelinedRequestsInOrder) {
  this->Start({});
  RawCaller caller(this->server->Address());
  caller.Send(Post("/hold", "first") + Post("/b", "second") + Post("/c", "third"));
  ASSERT_TRUE(Eventually([&] { return this->handler.started == 1; }));
  this->handler.release = true;
  const std::string all = caller.ReadUntil("third");
  EXPECT_LT(all.find("first"), all.find("second"));
  EXPECT_LT(all.find("second"), all.find("third"));
}

// A clerk closes the browser while the request still waits in a queue. Without notice the request
// would be run for nobody and keep a slot from someone who waits.
TEST_F(ServerTest, TellsTheHandlerThatTheCallerHungUp) {
  this->Start({});
  RawCaller caller(this->server->Address());
  caller.Send(Post("/gone", "x"));
  ASSERT_TRUE(Eventually([&] { return this->handler.started == 1; }));
  caller.Close();
  EXPECT_TRUE(Eventually([&] { return this->handler.gone == 1; }));
}

// A caller pipelines a second request and hangs up. The bytes of the second request lie before
// the end of the stream and must not hide it.
TEST_F(ServerTest, SeesAHangUpBehindAPipelinedRequest) {
  this->Start({});
  RawCaller caller(this->server->Address());
  caller.Send(Post("/gone", "x") + Post("/b", "y"));
  ASSERT_TRUE(Eventually([&] { return this->handler.started == 1; }));
  caller.Close();
  EXPECT_TRUE(Eventually([&] { return this->handler.gone == 1; }));
}

// A caller connects and sends half a request, or nothing more, and stays. Enough of these would
// hold every connection of an entry; so each is closed after a time and counted.
TEST_F(ServerTest, ClosesSlowAndSilentCallers) {
  ServerLimits limits;
  limits.read_timeout = milliseconds(50);
  limits.idle_timeout = milliseconds(50);
  this->Start(limits);
  RawCaller slow(this->server->Address());
  slow.Send("POST / HTTP/1.1\r\nHost:");
  RawCaller silent(this->server->Address());
  EXPECT_EQ(slow.ReadToEnd(), "");
  EXPECT_EQ(silent.ReadToEnd(), "");
  EXPECT_TRUE(Eventually([&] { return this->server->ConnectionCount() == 0; }));
  EXPECT_TRUE(this->faults.Saw(BadInput::kTimedOut));
}

TEST_F(ServerTest, CountsATruncatedRequest) {
  this->Start({});
  RawCaller caller(this->server->Address());
  caller.Send("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\nhalf");
  caller.ShutSending();
  EXPECT_EQ(caller.ReadToEnd(), "");
  EXPECT_TRUE(Eventually([&] { return this->faults.Saw(BadInput::kTruncated); }));
}

TEST_F(ServerTest, AnswersGarbageAndCloses) {
  this->Start({});
  RawCaller caller(this->server->Address());
  caller.Send("\x01\x02 nonsense\r\n\r\n" + std::string(100000, 'x'));
  const std::string answer = caller.ReadToEnd();
  EXPECT_EQ(answer.rfind("HTTP/1.1 400", 0), 0U) << answer;
  EXPECT_NE(answer.find("Connection: close"), std::string::npos);
  EXPECT_NE(answer.find("malformed-request"), std::string::npos);
}

TEST_F(ServerTest, RefusesConnectionsAboveTheLimit) {
  ServerLimits limits;
  limits.connections = 1;
  this->Start(limits);
  RawCaller first(this->server->Address());
  first.Send(Post("/a", "x"));
  first.ReadUntil("\r\n\r\nx");
  RawCaller second(this->server->Address());
  EXPECT_EQ(second.ReadToEnd().rfind("HTTP/1.1 503", 0), 0U);
  EXPECT_TRUE(this->faults.Saw(BadInput::kTooManyConnections));
}

ServerLimits RoomForOneBody() {
  ServerLimits limits;
  limits.header_bytes = 1024;
  limits.body_bytes = std::size_t{256} * 1024;
  limits.pending_bytes = std::size_t{256} * 1024;
  return limits;
}

// Many callers each announce a body within the limit and send a part of it. Together they must not
// hold more than the server allows: the next one hears that its request has not run, and one that
// comes when they have left is served.
TEST_F(ServerTest, RefusesWhatAllCallersTogetherMayNotHold) {
  const ServerLimits limits = RoomForOneBody();
  this->Start(limits);
  const std::string body(limits.body_bytes, 'b');
  const std::string whole = Post("/a", body);
  RawCaller first(this->server->Address());
  first.Send("POST /a HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: " +
             std::to_string(body.size()) + "\r\n\r\n");
  first.ReadUntil("100 Continue\r\n\r\n");
  RawCaller second(this->server->Address());
  second.Send(whole.substr(0, whole.size() / 2));
  second.ShutSending();
  const std::string answer = second.ReadToEnd();
  EXPECT_EQ(answer.rfind("HTTP/1.1 503", 0), 0U) << answer;
  EXPECT_NE(answer.find("Retry-After: 1"), std::string::npos);
  EXPECT_NE(answer.find("Chervilspar-Verdict: not-run"), std::string::npos);
  EXPECT_TRUE(this->faults.Saw(BadInput::kTooManyBytes));
  EXPECT_EQ(this->handler.started, 0);
  first.Send(body);
  EXPECT_EQ(first.ReadUntil(body).rfind("HTTP/1.1 200", 0), 0U);
  first.Close();
  ASSERT_TRUE(Eventually([&] { return this->server->ConnectionCount() == 0; }));
  RawCaller third(this->server->Address());
  third.Send(whole);
  EXPECT_EQ(third.ReadUntil(body).rfind("HTTP/1.1 200", 0), 0U);
}

// A caller pipelines without end and reads what comes. What its connection holds is counted anew
// for each request, so that it doesn't use up the room of others.
TEST_F(ServerTest, CountsPipelinedRequestsAnew) {
  this->Start(RoomForOneBody());
  RawCaller caller(this->server->Address());
  std::string many;
  constexpr int kRequests = 500;
  for (int i = 0; i < kRequests; ++i) {
    many += Post("/a", "x");
  }
  caller.Send(many + Post("/last", "the end"));
  EXPECT_NE(caller.ReadUntil("the end").find("the end"), std::string::npos);
  EXPECT_EQ(this->handler.started, kRequests + 1);
}

// An entry is told to stop while one request is being handled, another waits in an idle
// connection's socket and a third in a connection that was never accepted. A server that just
// closes its sockets would cut all three.
TEST_F(ServerTest, GracefulStopCutsNothing) {
  this->Start({});
  RawCaller busy(this->server->Address());
  busy.Send(Post("/hold", "busy"));
  RawCaller idle(this->server->Address());
  idle.Send(Post("/a", "warm-up"));
  idle.ReadUntil("warm-up");
  ASSERT_TRUE(Eventually([&] { return this->handler.started == 2; }));
  RawCaller late(this->server->Address());
  this->server->BeginDrain();
  this->server->StopAccepting();
  idle.Send(Post("/b", "in-socket"));
  late.Send(Post("/c", "late"));
  EXPECT_NE(idle.ReadToEnd().find("in-socket"), std::string::npos);
  EXPECT_NE(late.ReadToEnd().find("late"), std::string::npos);
  EXPECT_FALSE(this->server->WaitUntilDrained(milliseconds(10)));
  this->handler.release = true;
  const std::string answer = busy.ReadToEnd();
  EXPECT_NE(answer.find("busy"), std::string::npos);
  EXPECT_NE(answer.find("Connection: close"), std::string::npos);
  busy.Close();
  idle.Close();
  late.Close();
  EXPECT_TRUE(this->server->WaitUntilDrained(kGenerous));
}

TEST_F(ServerTest, ServesTheClientOverOneConnection) {
  this->Start({});
  BlockingClient client;
  for (int i = 0; i < 3; ++i) {
    const Exchange exchange =
        client.Call(this->server->Address(), {"POST", "/x", {}, std::to_string(i)}, kGenerous);
    ASSERT_EQ(exchange.verdict, Verdict::kCompleted);
    EXPECT_EQ(exchange.response->body, std::to_string(i));
  }
  EXPECT_EQ(this->server->ConnectionCount(), 1U);
}

}  // namespace
}  // namespace chervilspar::http
