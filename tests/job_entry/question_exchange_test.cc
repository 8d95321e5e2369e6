#include "job_entry/question_exchange.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <gtest/gtest.h>

#include "tests/job_entry/carrier_entry.h"
#include "tests/job_entry/fake_fleet.h"

namespace chervilspar::job_entry {
namespace {

namespace asio = boost::asio;
using std::chrono::milliseconds;

constexpr int kEntries = 20;
constexpr int kQuestions = 10;
constexpr Duration kTimeout = milliseconds(600);

/// An owner in zone z1, a member in zone z0 that collects questions, and entries in z0 that ask.
class Questions : public ::testing::Test {
 protected:
  Questions() : store(this->io), table(this->io, this->run_times) {
    this->owner = this->Add("z1");
    EXPECT_TRUE(this->owner->Open(this->store, "a-owner"));
    this->owner_member = this->store.members.begin()->first;
    this->owner->Exchange().SetAnswerer([this](const http::Request& request) {
      ++this->answered;
      http::Response response;
      response.status = request.body.empty() ? 200 : 201;
      response.body = request.target + request.body;
      return response;
    });
    this->collector = this->Add("z0");
    EXPECT_TRUE(this->collector->Open(this->store, "b-collector"));
    for (int i = 0; i < kEntries; ++i) {
      this->entries.push_back(this->Add("z0"));
      EXPECT_TRUE(this->entries.back()->OpenAsCaller(this->store));
    }
  }

  std::unique_ptr<CarrierEntry> Add(const std::string& zone) {
    return std::make_unique<CarrierEntry>(this->io, SocketAddress{"127.0.0.1", FreePort(this->io)},
                                          ZoneId{zone}, this->table);
  }

  void Ask(CarrierEntry& entry, const std::string& target, const std::string& body) {
    asio::co_spawn(
        this->io,
        [this, &entry, target, body]() -> asio::awaitable<void> {
          http::Request request;
          request.target = target;
          request.body = body;
          const QuestionOutcome outcome =
              co_await entry.Questions().Ask(this->owner_member, std::move(request), kTimeout);
          const std::optional<http::Response>& response = outcome.response;
          this->requests += outcome.may_request ? 1 : 0;
          ++this->ended;
          this->replied += response ? 1 : 0;
          this->correct += response && response->body == target + body &&
                                   response->status == (body.empty() ? 200U : 201U)
                               ? 1
                               : 0;
        },
        asio::detached);
  }

  void AskAll() {
    for (int i = 0; i < kEntries; ++i) {
      for (int question = 0; question < kQuestions; ++question) {
        this->Ask(*this->entries[static_cast<std::size_t>(i)],
                  "/" + std::to_string(i) + "/" + std::to_string(question),
                  question % 2 == 0 ? "" : "body");
      }
    }
    RunUntil(this->io, std::chrono::seconds(5),
             [this] { return this->ended == kEntries * kQuestions; });
  }

  asio::io_context io;
  FakeStore store;
  std::unordered_map<std::uint64_t, Duration> run_times;
  EndpointTable table;
  std::unique_ptr<CarrierEntry> owner;
  std::unique_ptr<CarrierEntry> collector;
  std::vector<std::unique_ptr<CarrierEntry>> entries;
  std::string owner_member;
  int answered = 0;
  int ended = 0;
  int replied = 0;
  int correct = 0;
  /// Questions that may be sent in a request of their own.
  int requests = 0;
};

/// Guards against crossed answers: a caller would be told the state of another caller's job.
TEST_F(Questions, EachGetsItsOwnReply) {
  this->AskAll();
  EXPECT_EQ(this->correct, kEntries * kQuestions);
  EXPECT_EQ(this->answered, kEntries * kQuestions);
}

/// Guards against an owner that gets a message for each poll of a caller: late jobs are polled
/// more, and the owner of late jobs would be kept behind its work by their polls.
TEST_F(Questions, OfAZoneReachTheOwnerInFewFrames) {
  this->AskAll();
  ASSERT_EQ(this->correct, kEntries * kQuestions);
  const OrderExchange::Traffic traffic = this->owner->Exchange().CarriedTraffic();
  EXPECT_LE(traffic.Frames(), static_cast<std::size_t>(kEntries * kQuestions / 10));
}

/// Guards against questions that are lost with the entry that collects them: its zone asks the
/// owner directly, also what it had sent to that entry.
TEST_F(Questions, GoToTheOwnerWhenTheCollectorIsGone) {
  this->collector->Exchange().Close();
  CarrierEntry& entry = *this->entries.front();
  this->Ask(entry, "/first", "");
  RunUntil(this->io, std::chrono::seconds(3), [this] { return this->ended == 1; });
  EXPECT_EQ(this->correct, 1);
  this->Ask(entry, "/second", "");
  RunUntil(this->io, std::chrono::seconds(3), [this] { return this->ended == 2; });
  EXPECT_EQ(this->correct, 2);
}

/// The owner is gone: its callers are told so in time, and other ways are tried before it is asked
/// in a frame again.
TEST_F(Questions, AreGivenUpWhenTheOwnerIsGone) {
  this->owner->Exchange().Close();
  this->Ask(*this->entries.front(), "/first", "");
  this->Ask(*this->collector, "/second", "");
  RunUntil(this->io, std::chrono::seconds(3), [this] { return this->ended == 2; });
  EXPECT_EQ(this->ended, 2);
  EXPECT_EQ(this->replied, 0);
  const TimePoint begin = SystemClock().Now();
  this->Ask(*this->collector, "/third", "");
  RunUntil(this->io, std::chrono::seconds(3), [this] { return this->ended == 3; });
  EXPECT_LT(SystemClock().Now() - begin, kTimeout / 2);
}

/// Guards against all questions being sent again in requests when the owner doesn't answer: only
/// some find out whether it answers those.
TEST_F(Questions, BecomeFewRequestsWhenTheOwnerIsGone) {
  this->owner->Exchange().Close();
  this->Ask(*this->collector, "/first", "");
  RunUntil(this->io, std::chrono::seconds(3), [this] { return this->ended == 1; });
  for (int i = 0; i < kQuestions; ++i) {
    this->Ask(*this->collector, "/" + std::to_string(i), "");
  }
  RunUntil(this->io, std::chrono::seconds(3), [this] { return this->ended == 1 + kQuestions; });
  EXPECT_EQ(this->requests, 1);
}

/// Guards against an owner of an earlier version, which knows no question frames, being asked in
/// frames only as long as their collector lives.
TEST_F(Questions, BecomeRequestsWhenOnlyTheCollectorAnswers) {
  this->owner->Exchange().Close();
  CarrierEntry& entry = *this->entries.front();
  for (int i = 1; i <= 2; ++i) {
    this->Ask(entry, "/" + std::to_string(i), "");
    RunUntil(this->io, std::chrono::seconds(3), [&] { return this->ended == i; });
  }
  EXPECT_EQ(this->requests, 1);
}

/// Guards against questions that nobody answers at such an owner.
TEST_F(Questions, BecomeRequestsWhenThoseAreAnswered) {
  this->owner->Exchange().Close();
  this->Ask(*this->collector, "/first", "");
  RunUntil(this->io, std::chrono::seconds(3), [this] { return this->ended == 1; });
  ASSERT_EQ(this->requests, 1);
  this->collector->Questions().OnRequestAnswered();
  for (int i = 0; i < kQuestions; ++i) {
    this->Ask(*this->collector, "/" + std::to_string(i), "");
  }
  RunUntil(this->io, std::chrono::seconds(3), [this] { return this->ended == 1 + kQuestions; });
  EXPECT_EQ(this->requests, 1 + kQuestions);
}

}  // namespace
}  // namespace chervilspar::job_entry
