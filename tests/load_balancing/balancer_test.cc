#include "chervilspar/load_balancing/balancer.h"

#include <map>
#include <set>
#include <string>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace chervilspar::load_balancing {
namespace {

using admission::Idempotency;
using admission::Ticket;
using scheduling::SlotAnswer;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kStart = TimePoint(seconds(100));
constexpr Duration kExpectedRunTime = milliseconds(100);

/// The balancer of the only entry of a fleet, with helpers to run single tasks.
class BalancerHarness {
 public:
  explicit BalancerHarness(std::size_t endpoints, BalancerOptions options = {})
      : balancer(ZoneId{"a"}, options), random(1) {
    std::vector<Endpoint> list;
    for (std::size_t index = 0; index < endpoints; ++index) {
      list.push_back({VmId{"vm-" + std::to_string(index)}, ZoneId{"a"}, 8, {4, 1024, 0}});
    }
    this->balancer.SetEndpoints(list, this->now);
    this->Split();
  }

  void Split() {
    const EntryId self{"e"};
    this->balancer.SetParts({{self, ZoneId{"a"}, this->balancer.UsableSlots()}}, self,
                            FleetLoad::kHasFreeCapacity, this->now);
  }

  Ticket NextTicket() {
    Ticket ticket;
    ticket.id = {this->next++};
    ticket.team = TeamId{"t" + std::to_string(ticket.id.number % 5)};
    ticket.idempotency = Idempotency::kIdempotent;
    return ticket;
  }

  std::optional<VmId> Send(const Ticket& ticket) {
    const auto slot = this->balancer.Find(ticket, this->now, this->random);
    if (slot.answer != SlotAnswer::kFound) {
      return std::nullopt;
    }
    this->balancer.OnSent(slot.endpoint, ticket, this->now + kExpectedRunTime * 5, this->now);
    return slot.endpoint;
  }

  void End(const Ticket& ticket, const VmId& endpoint, Outcome outcome, Duration measured) {
    this->balancer.OnEnded(endpoint, ticket, outcome, measured, kExpectedRunTime, this->now,
                           this->random);
  }

  /// Runs tasks one after the other. Those at `bad` endpoints end with `outcome` after `measured`.
  /// Returns how many tasks the `bad` endpoints received.
  int RunTasks(int count, const std::set<VmId>& bad, Outcome outcome, Duration measured) {
    int sent_to_bad = 0;
    for (int task = 0; task < count; ++task) {
      const Ticket ticket = this->NextTicket();
      const auto endpoint = this->Send(ticket);
      this->now += milliseconds(1);
      if (!endpoint) {
        continue;
      }
      const bool is_bad = bad.contains(*endpoint);
      sent_to_bad += is_bad ? 1 : 0;
      this->End(ticket, *endpoint, is_bad ? outcome : Outcome::kCompleted,
                is_bad ? measured : kExpectedRunTime);
      this->balancer.EjectOutliers(this->now, this->random);
      this->Split();
    }
    return sent_to_bad;
  }

  Balancer balancer;
  SeededRandom random;
  TimePoint now = kStart;
  std::uint64_t next = 1;
};

struct BadCase {
  const char* name;
  Outcome outcome;
  Duration measured;
};

class BadEndpointTest : public testing::TestWithParam<BadCase> {};

// One endpoint of ten fails every task within a millisecond, loses every task, or is ten times
// slower. Without ejection, a failing endpoint attracts the work of an entry that prefers the least
// loaded endpoint, since its slots are free again at once, and a tenth or more of the requests
// fail.
TEST_P(BadEndpointTest, ReceivesFewTasks) {
  for (const auto ejection : {Ejection::kOn, Ejection::kOff}) {
    BalancerOptions options;
    options.ejection = ejection;
    BalancerHarness harness(10, options);
    const int sent =
        harness.RunTasks(3000, {VmId{"vm-3"}}, GetParam().outcome, GetParam().measured);
    EXPECT_EQ(sent < 30, ejection == Ejection::kOn) << sent;
  }
}

INSTANTIATE_TEST_SUITE_P(Kinds, BadEndpointTest,
                         testing::Values(BadCase{"FailsFast", Outcome::kFailed, milliseconds(1)},
                                         BadCase{"Unreachable", Outcome::kUnreachable,
                                                 milliseconds(0)},
                                         BadCase{"Loses", Outcome::kLost, milliseconds(1000)},
                                         BadCase{"Slow", Outcome::kCompleted, milliseconds(1000)}),
                         [](const auto& info) { return std::string(info.param.name); });

// An endpoint accepts tasks and never responds. No task fails, so only the age of its tasks shows
// the fault. If that is ignored, all its slots fill, and its requests wait until their deadlines.
TEST(BalancerTest, EjectsAnEndpointThatNeverAnswers) {
  BalancerHarness harness(10);
  const VmId unresponsive{"vm-3"};
  int stuck = 0;
  for (int task = 0; task < 2000; ++task) {
    const Ticket ticket = harness.NextTicket();
    const auto endpoint = harness.Send(ticket);
    harness.now += milliseconds(2);
    if (endpoint == unresponsive) {
      ++stuck;
    } else if (endpoint) {
      harness.End(ticket, *endpoint, Outcome::kCompleted, kExpectedRunTime);
    }
    harness.balancer.EjectOutliers(harness.now, harness.random);
  }
  EXPECT_EQ(harness.balancer.Ejected(), std::vector<VmId>{unresponsive});
  EXPECT_LE(stuck, 9);
}

// A network fault or a faulty release makes most endpoints fail at once. Ejecting all of them would
// turn partial failures into an outage.
RC_GTEST_PROP(BalancerProperty, EjectionNeverEmptiesAPool, ()) {
  const auto count = *rc::gen::inRange<std::size_t>(1, 15);
  BalancerHarness harness(count);
  std::set<VmId> bad;
  for (std::size_t index = 0; index < count; ++index) {
    if (*rc::gen::inRange(0, 4) > 0) {
      bad.insert(VmId{"vm-" + std::to_string(index)});
    }
  }
  harness.RunTasks(300, bad, *rc::gen::element(Outcome::kFailed, Outcome::kUnreachable),
                   milliseconds(1));
  const std::size_t most = count < 2 ? 0 : std::max<std::size_t>(1, count * 34 / 100);
  RC_ASSERT(harness.balancer.Ejected().size() <= most);
  RC_ASSERT(harness.balancer.UsableEndpoints() >= 1u);
}

// One team's tasks fail wherever they run. If these failures counted against the endpoints, healthy
// ones would be ejected, and the other teams would lose a third of the pool.
TEST(BalancerTest, ATeamThatFailsEverywhereEjectsNoEndpoint) {
  BalancerHarness harness(10);
  std::size_t max_ejected = 0;
  for (int task = 0; task < 3000; ++task) {
    Ticket ticket = harness.NextTicket();
    const bool is_broken = task % 3 != 0;
    ticket.team = is_broken ? TeamId{"broken"} : TeamId{"good"};
    const auto endpoint = harness.Send(ticket);
    harness.now += milliseconds(5);
    ASSERT_TRUE(endpoint);
    harness.End(ticket, *endpoint, is_broken ? Outcome::kFailed : Outcome::kCompleted,
                kExpectedRunTime);
    harness.Split();
    max_ejected = task > 100 ? std::max(max_ejected, harness.balancer.Ejected().size()) : 0;
  }
  EXPECT_LE(max_ejected, 1u);
}

// An endpoint fails for a while and recovers. Probes must readmit it without an operator.
TEST(BalancerTest, ProbesBringARecoveredEndpointBack) {
  BalancerHarness harness(10);
  harness.RunTasks(500, {VmId{"vm-3"}}, Outcome::kFailed, milliseconds(1));
  ASSERT_EQ(harness.balancer.Ejected().size(), 1u);
  harness.RunTasks(10'000, {}, Outcome::kFailed, milliseconds(1));
  EXPECT_TRUE(harness.balancer.Ejected().empty());
}

// An endpoint keeps failing. Without a growing probe delay it would be readmitted and ejected again
// and again, and each time fail requests of callers.
TEST(BalancerTest, WaitsLongerEachTimeAnEndpointFailsAgain) {
  BalancerHarness harness(10);
  int sent = 0;
  int returns = 0;
  for (int second = 0; second < 120; ++second) {
    sent += harness.RunTasks(1000, {VmId{"vm-3"}}, Outcome::kFailed, milliseconds(1));
    returns += harness.balancer.Ejected().empty() ? 1 : 0;
  }
  // Three failures eject the endpoint; probes follow after 2, 4, 8, 16, 32 and 60 s plus jitter.
  EXPECT_LE(sent, 3 + 7);
  EXPECT_EQ(returns, 0);
}

// Another entry has filled an endpoint. Without a pause, each waiting request would cost a round
// trip to an endpoint that is still full.
TEST(BalancerTest, BacksOffFromAFullEndpoint) {
  BalancerHarness harness(1);
  const Ticket ticket = harness.NextTicket();
  const auto endpoint = harness.Send(ticket);
  ASSERT_TRUE(endpoint);
  harness.End(ticket, *endpoint, Outcome::kFull, Duration::zero());
  EXPECT_FALSE(harness.Send(harness.NextTicket()));
  harness.now += BalancerOptions{}.max_full_pause;
  EXPECT_TRUE(harness.Send(harness.NextTicket()));
}

// A new inventory removes an endpoint while it runs tasks and adds another. The running tasks must
// still end normally, and the removed endpoint must receive no new ones.
TEST(BalancerTest, ANewListKeepsTasksOfALeavingEndpoint) {
  BalancerHarness harness(2);
  std::map<std::uint64_t, std::pair<Ticket, VmId>> running;
  for (int task = 0; task < 16; ++task) {
    const Ticket ticket = harness.NextTicket();
    const auto endpoint = harness.Send(ticket);
    ASSERT_TRUE(endpoint);
    running[ticket.id.number] = {ticket, *endpoint};
  }
  harness.balancer.SetEndpoints(
      {{VmId{"vm-1"}, ZoneId{"a"}, 8, {}}, {VmId{"vm-9"}, ZoneId{"a"}, 8, {}}}, harness.now);
  harness.Split();
  for (const auto& [number, task] : running) {
    harness.End(task.first, task.second, Outcome::kCompleted, kExpectedRunTime);
  }
  EXPECT_EQ(harness.balancer.InFlight(), 0u);
  for (int task = 0; task < 16; ++task) {
    const auto endpoint = harness.Send(harness.NextTicket());
    ASSERT_TRUE(endpoint);
    EXPECT_NE(*endpoint, VmId{"vm-0"});
  }
}

// Some callers set deadlines shorter than the run time of their requests. If tasks that expire at
// healthy endpoints counted as lost by the endpoint, three in a row would eject it.
TEST(BalancerTest, ShortDeadlinesEjectNoEndpoint) {
  BalancerHarness pair(2);
  for (int task = 0; task < 300; ++task) {
    Ticket ticket = pair.NextTicket();
    const bool has_short_deadline = task % 20 < 3;
    ticket.team = TeamId{has_short_deadline ? "short-deadline-" + std::to_string(task) : "patient"};
    ticket.deadline = pair.now + (has_short_deadline ? milliseconds(50) : milliseconds(5000));
    const auto endpoint = pair.Send(ticket);
    ASSERT_TRUE(endpoint);
    pair.now += has_short_deadline ? milliseconds(50) : milliseconds(100);
    pair.End(ticket, *endpoint, has_short_deadline ? Outcome::kLost : Outcome::kCompleted,
             has_short_deadline ? milliseconds(50) : kExpectedRunTime);
    ASSERT_TRUE(pair.balancer.Ejected().empty()) << task;
  }
}

// A request needs an accelerator, and most endpoints have none. It must neither be sent to one of
// those nor block the requests behind it.
TEST(BalancerTest, SendsOnlyWhereTheRequestFits) {
  BalancerHarness harness(3);
  harness.balancer.SetEndpoints({{VmId{"small-1"}, ZoneId{"a"}, 8, {4, 1024, 0}},
                                 {VmId{"small-2"}, ZoneId{"a"}, 8, {4, 1024, 0}},
                                 {VmId{"large"}, ZoneId{"a"}, 1, {8, 4096, 1}}},
                                harness.now);
  harness.Split();
  Ticket demanding = harness.NextTicket();
  demanding.requirement = {4, 1024, 1};
  EXPECT_EQ(harness.Send(demanding), VmId{"large"});
  demanding.id = {999};
  EXPECT_EQ(harness.balancer.Find(demanding, harness.now, harness.random).answer,
            SlotAnswer::kTicketDoesNotFit);
  EXPECT_TRUE(harness.Send(harness.NextTicket()));
}

}  // namespace
}  // namespace chervilspar::load_balancing
