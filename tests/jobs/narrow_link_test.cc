#include <algorithm>
#include <deque>
#include <functional>
#include <set>
#include <utility>

#include <gtest/gtest.h>

#include "tests/jobs/scheduler_harness.h"

namespace chervilspar::jobs {
namespace {

using std::chrono::milliseconds;

/// In megabits per second: 250,000 bytes per second, of which starts may take 25,000 in 200 ms.
constexpr double kNarrow = 2;
constexpr double kWide = 200;
constexpr std::int64_t kBound = 25000;
constexpr int kEndpoints = 140;
constexpr int kCarriers = 7;
constexpr std::size_t kPayloadBytes = 1000;
constexpr Duration kTick = milliseconds(10);

SchedulerOptions LinkOptions(double link_rate, bool is_on = true) {
  SchedulerOptions options;
  options.budgets_link = is_on;
  options.link_rate = link_rate;
  options.plans_overload = false;
  options.stall_timeout = std::chrono::hours(1);
  return options;
}

Job MakeLargeJob(std::uint64_t number, std::uint32_t tasks = 13) {
  Job job = SchedulerHarness::MakeJob(number, {SchedulerHarness::MakeStep(tasks)});
  job.steps[0].max_per_endpoint = 1;
  job.payload = std::string(kPayloadBytes, 'x');
  return job;
}

/// An owner with 140 endpoints whose orders are forwarded by carriers; each is sent a payload
/// once.
class LoadedOwner {
 public:
  explicit LoadedOwner(const SchedulerOptions& options) : harness(options) {
    std::vector<EndpointRecord> records;
    records.reserve(kEndpoints);
    for (int i = 0; i < kEndpoints; ++i) {
      records.push_back(SchedulerHarness::Endpoint("e" + std::to_string(i), 64));
    }
    this->harness.Register(records);
  }

  void Submit(const Job& job) {
    this->harness.scheduler.AddJob(job, WallTime(this->harness.now.time_since_epoch()));
  }

  /// Decides, and sends the starts that are stored; all are answered at once.
  void Tick(bool is_stored = true) {
    Orders orders = this->harness.Decide();
    if (is_stored) {
      const Orders confirmed = this->harness.Store();
      orders.starts.insert(orders.starts.end(), confirmed.starts.begin(), confirmed.starts.end());
    }
    this->Send(orders.starts);
    for (const StartOrder& start : orders.starts) {
      this->harness.scheduler.OnStartAnswered(start, OrderOutcome::kDone, this->harness.now);
      this->active[start.endpoint].push_back(SchedulerHarness::Active(start));
      this->starts.push_back(start);
    }
    this->harness.AdvanceTime(kTick - milliseconds(1));
    this->RenewAll();
  }

  void Run(Duration duration, const std::function<void(int)>& before_tick = {}) {
    for (int i = 0; i < duration / kTick; ++i) {
      if (before_tick) {
        before_tick(i);
      }
      this->Tick();
    }
  }

  /// The most bytes of starts in any 200 ms.
  std::int64_t Peak() const {
    std::int64_t peak = 0;
    std::int64_t sum = 0;
    std::deque<std::pair<TimePoint, std::int64_t>> window;
    for (const auto& entry : this->sent) {
      window.push_back(entry);
      sum += entry.second;
      while (entry.first - window.front().first >= milliseconds(200)) {
        sum -= window.front().second;
        window.pop_front();
      }
      peak = std::max(peak, sum);
    }
    return peak;
  }

  SchedulerHarness harness;
  std::vector<StartOrder> starts;

 private:
  void Send(const std::vector<StartOrder>& orders) {
    LinkTraffic traffic;
    for (const StartOrder& order : orders) {
      const std::size_t carrier = std::hash<std::string>()(order.endpoint) % kCarriers;
      const bool is_first = this->kept.insert({order.task.job, carrier}).second;
      const std::int64_t bytes = LinkBudget::StartBytes(is_first ? order.payload.size() : 0, 0);
      traffic.starts += bytes;
      traffic.start_difference += bytes - LinkBudget::StartBytes(order.payload.size(), 0);
    }
    this->sent.emplace_back(this->harness.now, traffic.starts);
    this->harness.scheduler.OnLinkTraffic(traffic, this->harness.now);
  }

  void RenewAll() {
    if (this->harness.now - this->renewed < milliseconds(500)) {
      return;
    }
    this->renewed = this->harness.now;
    for (const EndpointRecord& endpoint : this->harness.endpoints) {
      const TimePoint now = this->harness.now;
      this->harness.AnswerRenewal(endpoint.id, this->active[endpoint.id], {});
      this->harness.now = now;
    }
  }

  TimePoint renewed{};
  std::map<std::string, std::vector<ActiveRun>> active;
  /// The payloads that carriers have.
  std::set<std::pair<JobId, std::size_t>> kept;
  std::vector<std::pair<TimePoint, std::int64_t>> sent;
};

/// 20 jobs per second of 13 tasks, twice what the link carries.
void Burst(LoadedOwner& owner, Duration duration) {
  std::uint64_t number = 0;
  owner.Run(duration, [&](int tick) {
    if (tick % 5 == 0) {
      owner.Submit(MakeLargeJob(++number));
    }
  });
}

/// Starts in excess of the link wait in its buffers, and lease renewals wait behind them until
/// leases lapse. Jobs that are held back must keep their order, and all must run.
TEST(NarrowLink, CarriesABurstInOrderWithinItsBound) {
  LoadedOwner unlimited(LinkOptions(kNarrow, false));
  Burst(unlimited, std::chrono::seconds(3));
  EXPECT_GT(unlimited.Peak(), kBound);

  LoadedOwner owner(LinkOptions(kNarrow));
  Burst(owner, std::chrono::seconds(3));
  EXPECT_LT(owner.starts.size(), unlimited.starts.size());
  owner.Run(std::chrono::seconds(5));
  EXPECT_LE(owner.Peak(), kBound);
  EXPECT_EQ(owner.starts.size(), 60U * 13);
  EXPECT_TRUE(std::is_sorted(
      owner.starts.begin(), owner.starts.end(),
      [](const StartOrder& one, const StartOrder& next) { return one.task.job < next.task.job; }));
}

/// The link isn't the limit on the deployments with wide links, and nothing may change there.
TEST(WideLink, DecidesAsWithoutABudget) {
  LoadedOwner with(LinkOptions(kWide));
  LoadedOwner without(LinkOptions(kWide, false));
  Burst(with, std::chrono::seconds(2));
  Burst(without, std::chrono::seconds(2));
  EXPECT_EQ(with.starts, without.starts);
}

/// A new owner has sent nothing yet and finds a backlog, and its store is slow for a second; the
/// placements of all rounds are then sent at the same time.
TEST(NarrowLink, HoldsBackABacklogBehindASlowStore) {
  LoadedOwner owner(LinkOptions(kNarrow));
  for (std::uint64_t number = 1; number <= 40; ++number) {
    owner.Submit(MakeLargeJob(number));
  }
  for (int i = 0; i < 100; ++i) {
    owner.Tick(false);
  }
  owner.Run(std::chrono::seconds(1));
  EXPECT_FALSE(owner.starts.empty());
  EXPECT_LE(owner.Peak(), kBound);
}

/// A placement is withdrawn before it is sent. Its bytes would otherwise be missing for the rest of
/// the term.
TEST(NarrowLink, WithdrawnStartsReturnTheirBytes) {
  SchedulerHarness harness(LinkOptions(kNarrow));
  harness.Register({SchedulerHarness::Endpoint("a", 64)});
  harness.scheduler.AddJob(MakeLargeJob(1), {});
  harness.Decide();
  EXPECT_LT(harness.scheduler.LinkUsageAt(harness.now).allowance, kBound);
  harness.scheduler.CancelJob(JobId{1});
  EXPECT_EQ(harness.scheduler.LinkUsageAt(harness.now).allowance, kBound);
  EXPECT_TRUE(harness.Store().starts.empty());
}

/// All starts of an unreachable rack are repeated at the same time, on top of new starts.
TEST(NarrowLink, RepeatedStartsCountAgainstTheAllowance) {
  SchedulerHarness harness(LinkOptions(kNarrow));
  harness.Register({SchedulerHarness::Endpoint("a", 64)});
  Job job = MakeLargeJob(1, 40);
  job.steps[0].max_per_endpoint = 0;
  harness.scheduler.AddJob(job, {});
  const std::vector<StartOrder> starts = harness.Round().starts;
  ASSERT_GT(starts.size(), 10U);
  for (const StartOrder& start : starts) {
    harness.scheduler.OnStartAnswered(start, OrderOutcome::kNoAnswer, harness.now);
  }
  harness.AdvanceTime(milliseconds(160));
  EXPECT_LE(harness.Decide().starts.size(), 3U);
  // Operators have to see why tasks wait that have free endpoints, but not in each round.
  const std::vector<DecisionEvent> events = harness.scheduler.TakeEvents();
  const auto is_report = [](const DecisionEvent& event) {
    return event.event == "owner_link_full";
  };
  EXPECT_EQ(std::count_if(events.begin(), events.end(), is_report), 1);
  EXPECT_GE(harness.scheduler.LinkUsageAt(harness.now).held_back, 1U);
}

struct TurnCase {
  const char* name;
  /// Each of these has 64 tasks, on a link that carries 19 starts in 200 ms.
  bool first_is_gang;
  bool second_is_gang;
};

class Turns : public ::testing::TestWithParam<TurnCase> {};

/// The link is full in each round. Always beginning with the same pool, or passing over a gang that
/// needs the whole allowance, would leave a queue without starts.
TEST_P(Turns, GoToAllPools) {
  SchedulerHarness harness(LinkOptions(kNarrow));
  harness.policy.queues["watch"].service = ServiceId{"other"};
  harness.scheduler.SetPolicy(harness.policy);
  EndpointRecord other = SchedulerHarness::Endpoint("b", 200);
  other.service = ServiceId{"other"};
  harness.Register({SchedulerHarness::Endpoint("a", 200), other});
  for (std::uint64_t number = 1; number <= 6; ++number) {
    Job job = MakeLargeJob(number, 64);
    const bool is_second = number % 2 == 0;
    job.queue = is_second ? "watch" : "bookings";
    job.service = ServiceId{is_second ? "other" : "desk"};
    job.steps[0].max_per_endpoint = 0;
    job.steps[0].is_gang = is_second ? GetParam().second_is_gang : GetParam().first_is_gang;
    harness.scheduler.AddJob(job, {});
  }
  std::map<std::string, int> starts;
  for (int i = 0; i < 100; ++i) {
    for (const StartOrder& start : harness.StartAll()) {
      ++starts[start.endpoint];
    }
    harness.AdvanceTime(milliseconds(8));
  }
  EXPECT_GE(starts["a"], 19);
  EXPECT_GE(starts["b"], 19);
}

INSTANTIATE_TEST_SUITE_P(Cases, Turns,
                         ::testing::Values(TurnCase{"tasks", false, false},
                                           TurnCase{"gang_first", true, false},
                                           TurnCase{"gang_second", false, true}),
                         [](const auto& info) { return info.param.name; });

}  // namespace
}  // namespace chervilspar::jobs
