#include <algorithm>
#include <functional>
#include <memory>
#include <optional>

#include <gtest/gtest.h>

#include "job_entry/carried_endpoints.h"
#include "job_entry/member_name.h"
#include "job_entry/order_carrier.h"
#include "tests/job_entry/fake_fleet.h"

namespace chervilspar::job_entry {
namespace {

namespace asio = boost::asio;
using jobs::OrderOutcome;
using std::chrono::milliseconds;

constexpr const char* kOwnerAddress = "127.0.0.1:1";
constexpr const char* kCarrierAddress = "127.0.0.1:2";
constexpr std::size_t kPayloadBytes = 4000;
/// A start with everything but its payload, and the frame around it.
constexpr std::size_t kMaxSmallFrame = 300;

/// Starts everything and records the payloads.
class RecordingLink final : public EndpointLink {
 public:
  explicit RecordingLink(std::vector<std::string>& payloads) : payloads(payloads) {}

  asio::awaitable<RenewalOutcome> RenewLease(jobs::RenewalOrder, Duration) override {
    co_return RenewalOutcome{};
  }
  asio::awaitable<jobs::StartAnswer> Start(jobs::StartOrder order, Duration) override {
    this->payloads.push_back(order.payload);
    co_return OrderOutcome::kDone;
  }
  asio::awaitable<OrderOutcome> Stop(jobs::StopOrder, Duration) override {
    co_return OrderOutcome::kDone;
  }
  asio::awaitable<OrderOutcome> Throttle(jobs::ThrottleOrder, Duration) override {
    co_return OrderOutcome::kDone;
  }

 private:
  std::vector<std::string>& payloads;
};

/// Delivers frames in memory.
class MemoryTransport final : public rpc::PeerTransport {
 public:
  void Send(const std::string&, std::string frame) override {
    this->frames.push_back(frame.size());
    if (!this->loses_frames) {
      this->receiver(std::move(frame));
    }
  }
  void Stop() override {}
  rpc::TransportCounters Counters() const override { return {}; }

  Receiver receiver;
  bool loses_frames = false;
  std::vector<std::size_t> frames;
};

/// An owner whose orders one carrier forwards.
class KeptPayloads : public ::testing::Test {
 protected:
  KeptPayloads() {
    for (JobEntrySettings* settings : {&this->owner_settings, &this->carrier_settings}) {
      settings->decisions.carriers.endpoints_per_core = 0;
      settings->decisions.scheduler.budgets_link = true;
    }
    this->to_carrier.receiver = [this](const std::string& frame) {
      const Result<rpc::CarrierMessage> message = rpc::DecodeCarrierMessage(frame);
      ASSERT_TRUE(message) << ToString(message.LastReason());
      this->carrier->OnBatch(std::get<rpc::OrderBatch>(*message));
    };
    this->to_owner.receiver = [this](const std::string& frame) {
      Result<rpc::CarrierMessage> message = rpc::DecodeCarrierMessage(frame);
      ASSERT_TRUE(message) << ToString(message.LastReason());
      this->owner->OnAnswers(std::get<rpc::CarriedAnswers>(*std::move(message)));
    };
    this->RestartCarrier();
    this->RestartOwner();
  }

  void RestartCarrier() {
    this->carrier =
        std::make_unique<OrderCarrier>(this->carrier_context, this->link, this->to_owner);
  }

  void RestartOwner() {
    this->owner = std::make_unique<CarriedEndpoints>(
        this->owner_context, std::make_unique<RecordingLink>(this->sent_directly));
    this->owner->Open(this->to_carrier, kOwnerAddress);
    this->owner->SetMembers({WithCarrier("b", {kCarrierAddress, ZoneId{"z"}})});
    jobs::EndpointRecord endpoint;
    endpoint.id = "i0";
    endpoint.zone = ZoneId{"z"};
    this->owner->SetEndpoints({endpoint});
  }

  OrderOutcome Start(std::uint64_t job, const std::string& payload) {
    std::optional<OrderOutcome> outcome;
    this->io.restart();
    asio::co_spawn(
        this->io,
        [&]() -> asio::awaitable<void> {
          jobs::StartOrder order;
          order.endpoint = "i0";
          order.address = {"127.0.0.1", 3};
          order.task.job = jobs::JobId{job};
          order.task.index = this->next_index++;
          order.run = 1;
          order.payload = payload;
          const jobs::StartAnswer answer =
              co_await this->owner->Start(std::move(order), milliseconds(100));
          outcome = answer.outcome;
        },
        asio::detached);
    RunUntil(this->io, std::chrono::seconds(3), [&] { return outcome.has_value(); });
    return outcome.value_or(OrderOutcome::kNotSent);
  }

  asio::io_context io;
  JobEntrySettings owner_settings;
  JobEntrySettings carrier_settings;
  Links links;
  SystemClock clock;
  telemetry::MetricsRegistry metrics;
  telemetry::WorkMeter work{this->clock, this->metrics};
  Context owner_context{this->owner_settings, this->links, this->clock,
                        this->metrics,        this->io,    this->work};
  Context carrier_context{this->carrier_settings, this->links, this->clock,
                          this->metrics,          this->io,    this->work};
  std::vector<std::string> executed;
  std::vector<std::string> sent_directly;
  RecordingLink link{this->executed};
  MemoryTransport to_carrier;
  MemoryTransport to_owner;
  std::unique_ptr<OrderCarrier> carrier;
  std::unique_ptr<CarriedEndpoints> owner;
  std::uint32_t next_index = 0;
  const std::string payload = std::string(kPayloadBytes, 'p');
};

/// Guards against payloads that fill the owner's link: each task of a job has the same one.
TEST_F(KeptPayloads, AreSentOnce) {
  for (int i = 0; i < 3; ++i) {
    EXPECT_EQ(this->Start(1, this->payload), OrderOutcome::kDone);
  }
  ASSERT_EQ(this->to_carrier.frames.size(), 3U);
  EXPECT_GT(this->to_carrier.frames[0], kPayloadBytes);
  EXPECT_LT(this->to_carrier.frames[1], kMaxSmallFrame);
  EXPECT_LT(this->to_carrier.frames[2], kMaxSmallFrame);
  EXPECT_EQ(this->executed, std::vector<std::string>(3, this->payload));
  EXPECT_TRUE(this->sent_directly.empty());
  const jobs::LinkTraffic traffic = this->owner->TakeTraffic();
  EXPECT_EQ(traffic.start_difference, -2 * static_cast<std::int64_t>(kPayloadBytes));
  EXPECT_EQ(this->owner->TakeTraffic(), jobs::LinkTraffic{});
}

/// A restarted carrier has no payloads. A task started without its payload would do nothing, or
/// something else.
TEST_F(KeptPayloads, AreSentAgainToARestartedCarrier) {
  EXPECT_EQ(this->Start(1, this->payload), OrderOutcome::kDone);
  this->RestartCarrier();
  EXPECT_EQ(this->Start(1, this->payload), OrderOutcome::kDone);
  EXPECT_EQ(this->Start(1, this->payload), OrderOutcome::kDone);
  EXPECT_EQ(this->executed, std::vector<std::string>(3, this->payload));
  EXPECT_EQ(this->metrics.ValueOf({"chervilspar_payloads_sent_again_total", {}}), 1);
  // The second start was sent twice; its bytes count twice.
  EXPECT_EQ(this->owner->TakeTraffic().start_difference,
            jobs::LinkBudget::StartBytes(0, 0) - static_cast<std::int64_t>(kPayloadBytes));
}

/// Only an answer proves that the carrier has the payload.
TEST_F(KeptPayloads, CountAsNotSentWithoutAnAnswer) {
  this->to_carrier.loses_frames = true;
  EXPECT_EQ(this->Start(1, this->payload), OrderOutcome::kNoAnswer);
  this->to_carrier.loses_frames = false;
  EXPECT_EQ(this->Start(1, this->payload), OrderOutcome::kDone);
  EXPECT_GT(this->to_carrier.frames.back(), kPayloadBytes);
  // A carrier that doesn't answer may come back without its payloads, in an earlier version.
  this->to_owner.loses_frames = true;
  EXPECT_EQ(this->Start(1, this->payload), OrderOutcome::kNoAnswer);
  this->to_owner.loses_frames = false;
  EXPECT_EQ(this->Start(1, this->payload), OrderOutcome::kDone);
  EXPECT_GT(this->to_carrier.frames.back(), kPayloadBytes);
}

/// Versions run side by side during a deployment.
TEST_F(KeptPayloads, AreAlwaysSentToACarrierThatKeepsNone) {
  this->carrier_settings.decisions.scheduler.budgets_link = false;
  for (int i = 0; i < 2; ++i) {
    EXPECT_EQ(this->Start(1, this->payload), OrderOutcome::kDone);
    EXPECT_GT(this->to_carrier.frames.back(), kPayloadBytes);
  }
}

/// An id may be used again once its job is forgotten. The carrier still has the former payload.
TEST_F(KeptPayloads, BelongToOneUseOfAnId) {
  const std::string other(kPayloadBytes, 'q');
  EXPECT_EQ(this->Start(1, this->payload), OrderOutcome::kDone);
  EXPECT_EQ(this->Start(1, other), OrderOutcome::kDone);
  EXPECT_EQ(this->Start(1, other), OrderOutcome::kDone);
  EXPECT_EQ(this->executed, (std::vector<std::string>{this->payload, other, other}));
}

/// A successor can't know what carriers have.
TEST_F(KeptPayloads, AreSentAgainByASuccessor) {
  EXPECT_EQ(this->Start(1, this->payload), OrderOutcome::kDone);
  this->RestartOwner();
  EXPECT_EQ(this->Start(1, this->payload), OrderOutcome::kDone);
  EXPECT_GT(this->to_carrier.frames.back(), kPayloadBytes);
}

/// A carrier must not run out of memory, and drops the payloads that were not used for longest.
TEST(PayloadCache, KeepsTheLastUsedWithinItsLimit) {
  PayloadCache cache(10000);
  const std::string payload(3000, 'p');
  const std::uint64_t digest = rpc::PayloadDigest(payload);
  for (std::uint64_t number = 1; number <= 3; ++number) {
    EXPECT_TRUE(cache.Put(jobs::JobId{number}, payload));
  }
  EXPECT_NE(cache.Find(jobs::JobId{1}, digest), nullptr);
  EXPECT_TRUE(cache.Put(jobs::JobId{4}, payload));
  EXPECT_LE(cache.Bytes(), 10000U);
  EXPECT_NE(cache.Find(jobs::JobId{1}, digest), nullptr);
  EXPECT_EQ(cache.Find(jobs::JobId{2}, digest), nullptr);
  EXPECT_EQ(cache.Find(jobs::JobId{1}, digest + 1), nullptr);
  EXPECT_FALSE(cache.Put(jobs::JobId{5}, std::string(10000, 'p')));
  EXPECT_LE(cache.Bytes(), 10000U);
}

/// An owner on a narrow link fails with starts reserved, sent and unanswered. Its successor starts
/// with an empty budget, and no task may be lost or run twice.
TEST(NarrowFleet, AnOwnerThatDiesCostsNoTask) {
  constexpr std::uint32_t kTasks = 48;
  asio::io_context io;
  FakeFleet fleet(io, 4);
  fleet.endpoints.task_time = milliseconds(300);
  for (const char* name : {"a", "b", "c"}) {
    FakeEntry& entry = fleet.AddCarrier(name, FreePort(io));
    entry.settings.decisions.scheduler.budgets_link = true;
    entry.settings.decisions.scheduler.link_rate = 1;
  }
  const auto serving = [](const auto& entry) { return IsServing(*entry); };
  RunUntil(io, std::chrono::seconds(5), [&] {
    return std::any_of(fleet.entries.begin(), fleet.entries.end(), serving) &&
           fleet.store.members.size() == 3;
  });
  // The owner is first, its successor last.
  std::partition(fleet.entries.begin(), fleet.entries.end(), serving);
  ASSERT_TRUE(IsServing(*fleet.entries.front()));
  jobs::Job job = FakeFleet::MakeJob(1, kTasks);
  job.payload = std::string(kPayloadBytes, 'p');
  asio::co_spawn(
      io,
      [&]() -> asio::awaitable<void> {
        KeyedRecord record{SubmissionKey(job.id), jobs::EncodeJob(job)};
        co_await fleet.entries.back()->writer->Write(std::move(record));
      },
      asio::detached);
  RunUntil(io, std::chrono::seconds(3), [&] { return fleet.endpoints.starts.size() > 6; });
  EXPECT_LT(fleet.endpoints.starts.size(), kTasks);
  fleet.entries.front()->Disconnect();
  RunUntil(io, std::chrono::seconds(20),
           [&] { return fleet.endpoints.confirmed.size() == kTasks; });
  EXPECT_EQ(fleet.endpoints.confirmed.size(), kTasks);
  EXPECT_TRUE(fleet.endpoints.violations.empty()) << fleet.endpoints.violations.front();
}

}  // namespace
}  // namespace chervilspar::job_entry
