#include "chervilspar/rpc/peer_transport.h"

#include <condition_variable>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <unistd.h>
#include <vector>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <gtest/gtest.h>

namespace chervilspar::rpc {
namespace {

namespace asio = boost::asio;

constexpr auto kGenerousWait = std::chrono::seconds(20);

/// Frames as they came in, with a wait for the n-th.
class Inbox {
 public:
  void Add(std::string frame) {
    const std::lock_guard lock(this->mutex);
    this->frames.push_back(std::move(frame));
    this->arrived.notify_all();
  }

  std::vector<std::string> WaitFor(std::size_t count) {
    std::unique_lock lock(this->mutex);
    this->arrived.wait_for(lock, kGenerousWait, [&] { return this->frames.size() >= count; });
    return this->frames;
  }

 private:
  std::mutex mutex;
  std::condition_variable arrived;
  std::vector<std::string> frames;
};

/// A loopback address of this process. On a shared one, another program may take the port between
/// the probe for a free one and its use.
std::string Ip() {
  const int pid = getpid();
  return "127." + std::to_string(64 + pid / 62500 % 100) + "." + std::to_string(pid / 250 % 250) +
         "." + std::to_string(1 + pid % 250);
}

/// A port that was not returned before.
std::uint16_t FreePort() {
  static std::set<std::uint16_t> returned;
  // A context of its own: a thread that polls the probe may keep it open after it is closed here.
  asio::io_context context;
  while (true) {
    asio::ip::tcp::acceptor probe(context, {asio::ip::make_address(Ip()), 0});
    const std::uint16_t port = probe.local_endpoint().port();
    if (returned.insert(port).second) {
      return port;
    }
  }
}

class PeerTransportTest : public testing::Test {
 protected:
  PeerTransportTest() : work(asio::make_work_guard(this->context)) {
    this->runner = std::thread([this] { this->context.run(); });
  }

  ~PeerTransportTest() override {
    this->work.reset();
    this->context.stop();
    this->runner.join();
  }

  std::unique_ptr<PeerTransport> Open(const std::string& address, Inbox& inbox,
                                      TransportLimits limits = {}) {
    auto transport = OpenPeerTransport(this->context, address, limits, [&inbox](std::string frame) {
      inbox.Add(std::move(frame));
    });
    EXPECT_TRUE(transport.HasValue());
    return std::move(transport).Value();
  }

  static std::string Address() { return Ip() + ":" + std::to_string(FreePort()); }

  asio::io_context context;
  asio::executor_work_guard<asio::io_context::executor_type> work;
  std::thread runner;
};

TEST_F(PeerTransportTest, DeliversFramesInOrder) {
  Inbox inbox;
  Inbox unused;
  const std::string address = Address();
  const auto receiver = this->Open(address, inbox);
  const auto sender = this->Open(Address(), unused);
  const std::string large(300'000, 'x');
  sender->Send(address, "first");
  sender->Send(address, large);
  sender->Send(address, "last");
  EXPECT_EQ(inbox.WaitFor(3), (std::vector<std::string>{"first", large, "last"}));
}

struct GarbageCase {
  std::string name;
  std::string bytes;
};

class GarbageFrameTest : public PeerTransportTest,
                         public testing::WithParamInterface<GarbageCase> {};

// Something that is no entry connects to the port between entries and announces a frame of four
// gigabytes, or sends half a header and falls silent. If the entry allocated what was announced it
// would be killed for memory, and callers would lose it. It must drop the connection and go on
// receiving from its real peers.
TEST_P(GarbageFrameTest, RealPeersAreStillHeard) {
  Inbox inbox;
  Inbox unused;
  const std::string address = Address();
  const auto receiver = this->Open(address, inbox);
  const auto colon = address.rfind(':');
  asio::ip::tcp::socket stranger(this->context);
  stranger.connect({asio::ip::make_address(address.substr(0, colon)),
                    static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1)))});
  boost::system::error_code ignored;
  asio::write(stranger, asio::buffer(GetParam().bytes), ignored);
  const auto sender = this->Open(Address(), unused);
  sender->Send(address, "real");
  EXPECT_EQ(inbox.WaitFor(1), (std::vector<std::string>{"real"}));
}

INSTANTIATE_TEST_SUITE_P(Cases, GarbageFrameTest,
                         testing::Values(GarbageCase{"HugeLength", "\xff\xff\xff\xff garbage"},
                                         GarbageCase{"ZeroLength", std::string(4, '\0')},
                                         GarbageCase{"HalfHeader", std::string(2, '\0')},
                                         GarbageCase{"Http", "GET / HTTP/1.1\r\n\r\n"}),
                         [](const auto& info) { return info.param.name; });

// A peer is replaced: its connection breaks and what was queued for it is lost. The sender must
// connect again by itself, or the replacement would never hear of a withdrawn key.
// Anything that connects may announce a long frame and send a part of it. Many of these together
// must not hold more than the bound on frames that are not whole, and a real peer is still heard.
TEST_F(PeerTransportTest, ClosesConnectionsThatTogetherHoldTooMuch) {
  constexpr std::size_t kFrameBytes = std::size_t{256} * 1024;
  constexpr int kStrangers = 16;
  TransportLimits limits;
  limits.frame_bytes = kFrameBytes;
  limits.arriving_bytes = 4 * kFrameBytes;
  Inbox inbox;
  Inbox unused;
  const std::string address = Address();
  const auto receiver = this->Open(address, inbox, limits);
  const std::string part = std::string("\x00\x04\x00\x00", 4) + std::string(kFrameBytes - 1, 'a');
  asio::io_context io;
  std::vector<asio::ip::tcp::socket> strangers;
  for (int i = 0; i < kStrangers; ++i) {
    strangers.emplace_back(io);
    const auto port = static_cast<std::uint16_t>(std::stoi(address.substr(address.find(':') + 1)));
    strangers.back().connect({asio::ip::make_address(Ip()), port});
    boost::system::error_code ignored;
    asio::write(strangers.back(), asio::buffer(part), ignored);
  }
  for (int i = 0; i < 1000 && receiver->Counters().bad_frames == 0; ++i) {
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
  }
  EXPECT_GT(receiver->Counters().bad_frames, 0U);
  EXPECT_LE(receiver->Counters().bad_frames, static_cast<std::uint64_t>(kStrangers));
  strangers.clear();
  const auto sender = this->Open(Address(), unused);
  sender->Send(address, "hello");
  EXPECT_EQ(inbox.WaitFor(1), std::vector<std::string>{"hello"});
}

TEST_F(PeerTransportTest, ReconnectsToAReplacedPeer) {
  Inbox inbox;
  Inbox unused;
  const std::string address = Address();
  const auto sender = this->Open(Address(), unused);
  sender->Send(address, "nobody listens yet");
  const auto receiver = this->Open(address, inbox);
  std::vector<std::string> frames;
  const auto deadline = std::chrono::steady_clock::now() + kGenerousWait;
  while (frames.empty() && std::chrono::steady_clock::now() < deadline) {
    sender->Send(address, "again");
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
    frames = inbox.WaitFor(0);
  }
  EXPECT_FALSE(frames.empty());
}

TEST_F(PeerTransportTest, RefusesAnAddressInUseWithTheReason) {
  Inbox inbox;
  const std::string address = Address();
  const auto first = this->Open(address, inbox);
  // A second listener on the same port only fails while the first one listens, since both reuse
  // the address.
  const auto second = OpenPeerTransport(this->context, address, {}, [](const std::string&) {});
  ASSERT_FALSE(second.HasValue());
  EXPECT_EQ(second.LastReason().code, ErrorCode::kUnavailable);
}

}  // namespace
}  // namespace chervilspar::rpc
