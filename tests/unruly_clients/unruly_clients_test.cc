// A real entry process, a stand-in of its store, and clients that keep to no limit. Checks what
// doesn't depend on the machine's speed.
#include <cstdio>
#include <filesystem>
#include <string>
#include <thread>

#include <boost/asio/executor_work_guard.hpp>
#include <gtest/gtest.h>

#include "chervilspar/http/blocking_client.h"

#include "tests/soak/soak_fleet.h"
#include "tests/unruly_clients/crowd.h"
#include "tests/unruly_clients/process_watch.h"

namespace chervilspar::unruly_clients {
namespace {

/// The memory of the smallest machine.
constexpr std::size_t kMaxResidentBytes = std::size_t{160} * 1000 * 1000;
/// The lowered limit on callers' connections, and what the process may need for itself: listeners,
/// logs and its own connections.
constexpr std::size_t kMaxConnections = 256;
constexpr std::size_t kOwnDescriptors = 128;
constexpr std::size_t kMiB = std::size_t{1024} * 1024;
constexpr Duration kCallTimeout = std::chrono::seconds(3);
/// Covers start-up and the server's timeouts, after which nothing of a crowd is left.
constexpr Duration kAnswerLimit = std::chrono::seconds(40);
constexpr std::chrono::milliseconds kRetryInterval(200);
constexpr const char* kKey = "key";

enum class Listener { kCallers, kHealth, kPeers, kCarrier };

/// One entry process, whose store and endpoint are served by a thread of this one.
class EntryUnderTest {
 public:
  EntryUnderTest()
      : work(this->io.get_executor()),
        fleet(
            this->io,
            {.entries = 1,
             .endpoints = 1,
             .are_orders_carried = true,
             .entry_environment = {"CHERVILSPAR_MAX_CONNECTIONS=" + std::to_string(kMaxConnections),
                                   "CHERVILSPAR_MAX_BODY_BYTES=" + std::to_string(kMiB),
                                   "CHERVILSPAR_MAX_PENDING_BYTES=" + std::to_string(4 * kMiB)}},
            CHERVILSPAR_BINARY, LogDir()) {
    this->fleet.Publish({kKey});
    this->fleet.StartEntry(0);
    this->thread = std::thread([this] { this->io.run(); });
  }
  EntryUnderTest(const EntryUnderTest&) = delete;
  EntryUnderTest& operator=(const EntryUnderTest&) = delete;
  ~EntryUnderTest() {
    this->io.stop();
    this->thread.join();
  }

  pid_t Pid() { return this->fleet.Process(0)->Pid(); }
  bool IsRunning() { return this->fleet.IsRunning(0); }
  SocketAddress Callers() const { return this->fleet.places.front().callers; }
  SocketAddress AddressOf(Listener listener) const {
    const soak::EntryPlace& place = this->fleet.places.front();
    switch (listener) {
      case Listener::kHealth:
        return place.health;
      case Listener::kPeers:
        return place.peers;
      case Listener::kCarrier:
        return place.carrier;
      case Listener::kCallers:
        break;
    }
    return place.callers;
  }

  /// Whether an ordinary request is answered, within a generous time.
  bool IsAnswered() {
    const SystemClock clock;
    const TimePoint until = clock.Now() + kAnswerLimit;
    while (this->IsRunning() && clock.Now() < until) {
      http::Request request;
      request.method = "GET";
      request.target = "/bookings/";
      request.headers.Add("Api-Key", kKey);
      http::BlockingClient client;
      const http::Exchange exchange =
          client.Call(this->Callers(), std::move(request), kCallTimeout);
      if (exchange.response && exchange.response->status == 200) {
        return true;
      }
      std::this_thread::sleep_for(kRetryInterval);
    }
    return false;
  }

 private:
  static std::string LogDir() {
    std::string folder = testing::TempDir() + "chervilspar-unruly-clients";
    std::filesystem::create_directories(folder);
    return folder;
  }

  boost::asio::io_context io;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work;
  soak::SoakFleet fleet;
  std::thread thread;
};

struct CrowdCase {
  std::string name;
  Crowd crowd;
  Listener listener = Listener::kCallers;
};

class UnrulyClientsTest : public testing::TestWithParam<CrowdCase> {};

// Clients that keep to none of the limits may be refused. They must not end the process or take its
// memory or descriptors, and when they have left, an ordinary request is answered.
TEST_P(UnrulyClientsTest, LeaveTheProcessAsItWas) {
  EntryUnderTest entry;
  ASSERT_TRUE(entry.IsAnswered());
  const ProcessWatch watch(entry.Pid());
  Play(GetParam().crowd, entry.AddressOf(GetParam().listener),
       [&] { return !entry.IsRunning() || watch.Peak().resident_bytes > kMaxResidentBytes; });
  EXPECT_TRUE(entry.IsRunning());
  EXPECT_TRUE(entry.IsAnswered());
  EXPECT_LE(watch.Peak().resident_bytes, kMaxResidentBytes);
  EXPECT_LE(watch.Peak().descriptors, kMaxConnections + kOwnDescriptors);
  std::printf("%s: %zu MB resident, %zu descriptors\n", GetParam().name.c_str(),
              watch.Peak().resident_bytes / 1000 / 1000, watch.Peak().descriptors);
}

const std::string kHeader =
    "POST /bookings/5c0e7a21d94b36f8 HTTP/1.1\r\nHost: 127.0.0.1\r\nApi-Key: key\r\n";
const std::string kChunked = kHeader + "Transfer-Encoding: chunked\r\n\r\n";
const std::string kGet = "GET /bookings/ HTTP/1.1\r\nHost: 127.0.0.1\r\nApi-Key: key\r\n\r\n";
const std::string kFiller(1000, 'a');

std::string WithLength(std::size_t length) {
  return kHeader + "Content-Length: " + std::to_string(length) + "\r\n\r\n";
}

INSTANTIATE_TEST_SUITE_P(
    Crowds, UnrulyClientsTest,
    testing::Values(
        CrowdCase{"TrailersWithoutEnd", {32, kChunked + "0\r\n", "X-More: a\r\n", 16 * kMiB}},
        CrowdCase{"ExtensionsWithoutEnd", {32, kChunked + "1;name=", kFiller, 16 * kMiB}},
        CrowdCase{"ChunkedBodyCutBehindItsLastChunk",
                  {.clients = 4,
                   .begin = kChunked + "0\r\n",
                   .more = "X-More: a\r\n",
                   .max_bytes = 1000,
                   .sends_single_bytes = true,
                   .sends_begin_whole = true}},
        CrowdCase{"ChunksWithoutEnd", {32, kChunked, "1\r\na\r\n", 16 * kMiB}},
        CrowdCase{"AnnouncedHugeBodies", {32, WithLength(1024 * kMiB), kFiller, 16 * kMiB}},
        CrowdCase{"HugeBodiesThatAreJustSent", {32, kHeader + "\r\n", kFiller, 16 * kMiB}},
        CrowdCase{"PartsOfBodies", {240, WithLength(kMiB), kFiller, 900 * std::size_t{1024}}},
        CrowdCase{"HeadersOneByteAtATime",
                  {.clients = 400,
                   .begin = kHeader,
                   .more = "X-More: a\r\n",
                   .max_bytes = 1000,
                   .sends_single_bytes = true}},
        CrowdCase{"ConnectionsThatSayNothing", {.clients = 600}},
        CrowdCase{"AnswersThatNobodyReads",
                  {.clients = 100,
                   .begin = kGet,
                   .more = kGet,
                   .max_bytes = 4 * kMiB,
                   .reads_answers = false}},
        CrowdCase{"PipelinedRequestsWithoutEnd", {32, kGet, kGet, 16 * kMiB}},
        CrowdCase{"TrailersAtTheHealthAddress",
                  {32, kChunked + "0\r\n", "X-More: a\r\n", 16 * kMiB},
                  Listener::kHealth},
        CrowdCase{"PartsOfBodiesAtTheHealthAddress",
                  {240, WithLength(kMiB), kFiller, 900 * std::size_t{1024}},
                  Listener::kHealth},
        CrowdCase{"PartsOfBodiesAtThePeerAddress",
                  {240, WithLength(kMiB), kFiller, 900 * std::size_t{1024}},
                  Listener::kPeers},
        CrowdCase{"PartsOfFramesAtTheCarrierAddress",
                  {240, std::string("\x00\x0f\xff\xff", 4), kFiller, 900 * std::size_t{1024}},
                  Listener::kCarrier}),
    [](const testing::TestParamInfo<CrowdCase>& info) { return info.param.name; });

}  // namespace
}  // namespace chervilspar::unruly_clients
