#include "job_entry/ask_owner.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <gtest/gtest.h>

#include "chervilspar/http/server.h"

#include "tests/job_entry/carrier_entry.h"
#include "tests/job_entry/fake_fleet.h"

namespace chervilspar::job_entry {
namespace {

namespace asio = boost::asio;
using std::chrono::milliseconds;

constexpr int kEntries = 20;
constexpr Duration kQuestionPause = milliseconds(90);
constexpr Duration kTimeout = milliseconds(700);
constexpr Duration kWarmUp = milliseconds(600);
constexpr Duration kBusyTime = milliseconds(600);
constexpr int kBusyTimes = 6;
/// A collector sends the owner at most 25 frames a second and gets as many back.
constexpr double kMaxFramesPerSecond = 50;

/// Counts the questions that are requests of their own.
class CountingHandler final : public http::Handler {
 public:
  asio::awaitable<http::Response> Handle(http::Request,
                                         std::shared_ptr<http::CancelToken>) override {
    ++this->requests;
    http::Response response;
    response.status = 200;
    co_return response;
  }

  int requests = 0;
};

/// Entries whose callers poll their jobs, and an owner with a thread of its own.
class LateOwner : public ::testing::Test {
 protected:
  LateOwner() : table(this->io, this->run_times) {
    this->owner = this->Add(this->owner_io, "z1");
    EXPECT_TRUE(this->owner->Open(this->store, "a-owner"));
    this->owner->Exchange().SetAnswerer([](const http::Request&) {
      http::Response response;
      response.status = 200;
      return response;
    });
    this->claim.member = this->store.members.begin()->first;
    this->claim.address = {"127.0.0.1", FreePort(this->owner_io)};
    auto listening =
        http::Server::Listen({&this->owner_io}, this->claim.address, {}, this->handler);
    EXPECT_TRUE(listening);
    this->server = std::move(listening).Value();
    this->collector = this->Add(this->io, "z0");
    EXPECT_TRUE(this->collector->Open(this->store, "b-collector"));
    for (int i = 0; i < kEntries; ++i) {
      this->entries.push_back(this->Add(this->io, "z0"));
      EXPECT_TRUE(this->entries.back()->OpenAsCaller(this->store));
      asio::co_spawn(this->io, this->AskRepeatedly(*this->entries.back()), asio::detached);
    }
  }

  std::unique_ptr<CarrierEntry> Add(asio::io_context& thread, const std::string& zone) {
    return std::make_unique<CarrierEntry>(thread, SocketAddress{"127.0.0.1", FreePort(thread)},
                                          ZoneId{zone}, this->table);
  }

  asio::awaitable<void> AskRepeatedly(CarrierEntry& entry) {
    while (true) {
      co_await Pause(entry.GetContext(), kQuestionPause);
      asio::co_spawn(this->io, this->Ask(entry), asio::detached);
    }
  }

  asio::awaitable<void> Ask(CarrierEntry& entry) {
    http::Request request;
    request.target = "/v1/jobs/0123456789abcdef";
    ++this->asked;
    const std::optional<http::Response> response = co_await AskOwner(
        entry.GetContext(), this->client, this->claim, std::move(request), kTimeout);
    this->replied += response ? 1 : 0;
  }

  /// The owner's thread does nothing else than to answer.
  void RunIdle(Duration duration) {
    const TimePoint end = this->clock.Now() + duration;
    while (this->clock.Now() < end) {
      this->io.run_for(milliseconds(2));
      this->owner_io.run_for(milliseconds(1));
    }
  }

  const SystemClock clock;
  asio::io_context io;
  asio::io_context owner_io;
  FakeStore store{this->io};
  std::unordered_map<std::uint64_t, Duration> run_times;
  EndpointTable table;
  CountingHandler handler;
  std::unique_ptr<http::Server> server;
  http::Client client{{.connections_per_address = 4}, {}};
  OwnerClaim claim;
  std::unique_ptr<CarrierEntry> owner;
  std::unique_ptr<CarrierEntry> collector;
  std::vector<std::unique_ptr<CarrierEntry>> entries;
  int asked = 0;
  int replied = 0;
};

/// Guards against an owner that is kept behind its work by questions: those that it answers late
/// must not be asked again in requests of their own, nor past the entry that collects them.
TEST_F(LateOwner, IsNotAskedAgain) {
  this->RunIdle(kWarmUp);
  EXPECT_GT(this->replied, 0);
  const std::size_t frames_before = this->owner->Exchange().CarriedTraffic().Frames();
  const TimePoint begin = this->clock.Now();
  for (int i = 0; i < kBusyTimes; ++i) {
    this->io.run_for(kBusyTime);
    this->owner_io.run_for(milliseconds(20));
  }
  const std::chrono::duration<double> passed = this->clock.Now() - begin;
  EXPECT_EQ(this->handler.requests, 0);
  const std::size_t frames = this->owner->Exchange().CarriedTraffic().Frames() - frames_before;
  EXPECT_LE(static_cast<double>(frames), kMaxFramesPerSecond * passed.count());
  EXPECT_GE(this->replied, this->asked / 2);
}

}  // namespace
}  // namespace chervilspar::job_entry
