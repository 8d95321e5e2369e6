#include "chervilspar/scheduling/fair_queue.h"

#include <map>
#include <string>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace chervilspar::scheduling {
namespace {

using admission::Ticket;
using std::chrono::milliseconds;

constexpr TimePoint kNow = TimePoint(std::chrono::seconds(100));

/// Provides slots at one endpoint while `free` is above zero.
class CountedSlots final : public SlotFinder {
 public:
  Slot Find(const Ticket&, TimePoint) override {
    return this->free > 0 ? Slot{SlotAnswer::kFound, VmId{"vm"}} : Slot{};
  }
  int free = 1;
};

/// Reports the teams of a list as being at their limit.
class ListedTeamsGate final : public QuotaGate {
 public:
  GateAnswer MayStart(const TeamId& team, TimePoint) override {
    return this->at_limit.contains(team) ? GateAnswer::kAtLimit : GateAnswer::kMayStart;
  }
  std::set<TeamId> at_limit;
};

TeamId Team(std::size_t index) { return TeamId{"t" + std::to_string(index)}; }

FairQueue QueueOf(const std::vector<double>& shares, SchedulingOptions options = {}) {
  FairQueue queue(options);
  std::vector<TeamShare> teams;
  for (std::size_t index = 0; index < shares.size(); ++index) {
    teams.push_back({Team(index), shares[index], UrgentPermission::kAllowed});
  }
  queue.SetTeams(teams);
  return queue;
}

Ticket MakeTicket(std::uint64_t number, std::size_t team) {
  Ticket ticket;
  ticket.id = {number};
  ticket.team = Team(team);
  ticket.arrived = kNow;
  ticket.deadline = kNow + std::chrono::hours(1);
  return ticket;
}

/// Runs one slot while every team always has waiting requests. Returns the slot time used by each
/// team, in microseconds.
std::vector<double> RunOneSlot(FairQueue& queue, const std::vector<Duration>& run_times,
                               const std::vector<Duration>& expected, int starts) {
  OpenGate gate;
  CountedSlots slots;
  std::uint64_t next = 1;
  std::map<TeamId, std::size_t> index_of;
  for (std::size_t team = 0; team < run_times.size(); ++team) {
    index_of[Team(team)] = team;
    for (int count = 0; count < 3; ++count) {
      queue.Push(MakeTicket(next++, team), expected[team], Lane::kShort);
    }
  }
  std::vector<double> used(run_times.size(), 0.0);
  for (int start = 0; start < starts; ++start) {
    const auto picked = queue.Next(kNow, gate, slots);
    const std::size_t team = index_of.at(picked->ticket.team);
    queue.Push(MakeTicket(next++, team), expected[team], Lane::kShort);
    queue.Finish(picked->ticket.id, run_times[team]);
    used[team] += static_cast<double>(run_times[team].count());
  }
  return used;
}

// All teams are always backlogged, with different shares and run times. If the order depended on
// counts or arrival, a team with long tasks would get many times its share.
RC_GTEST_PROP(FairQueueProperty, UseStaysWithinOneTaskOfTheShare, ()) {
  const auto count = *rc::gen::inRange<std::size_t>(2, 8);
  std::vector<double> shares;
  std::vector<Duration> run_times;
  for (std::size_t team = 0; team < count; ++team) {
    shares.push_back(*rc::gen::inRange(1, 10));
    run_times.push_back(milliseconds(*rc::gen::inRange(1, 500)));
  }
  FairQueue queue = QueueOf(shares);
  const auto used = RunOneSlot(queue, run_times, run_times, 2000);
  for (std::size_t left = 0; left < count; ++left) {
    for (std::size_t right = 0; right < count; ++right) {
      // The bound of start-time fair queueing for two backlogged flows.
      const double bound = static_cast<double>(run_times[left].count()) / shares[left] +
                           static_cast<double>(run_times[right].count()) / shares[right];
      RC_ASSERT(used[left] / shares[left] - used[right] / shares[right] <= bound + 1.0);
    }
  }
}

struct CostCase {
  const char* name;
  CostBasis cost;
  bool is_fair;
};

class DeclaredCostTest : public testing::TestWithParam<CostCase> {};

// One of two teams with equal shares declares a hundredth of its true run times. If it were charged
// by its declarations, it would get nearly all of the slot.
TEST_P(DeclaredCostTest, UnderdeclaredRunTimesGainNoShare) {
  SchedulingOptions options;
  options.cost = GetParam().cost;
  FairQueue queue = QueueOf({1.0, 1.0}, options);
  const auto used = RunOneSlot(queue, {milliseconds(100), milliseconds(100)},
                               {milliseconds(1), milliseconds(100)}, 1000);
  const double part = used[0] / (used[0] + used[1]);
  EXPECT_EQ(part < 0.51, GetParam().is_fair) << part;
}

INSTANTIATE_TEST_SUITE_P(Costs, DeclaredCostTest,
                         testing::Values(CostCase{"Measured", CostBasis::kMeasured, true},
                                         CostCase{"Declared", CostBasis::kDeclared, false}),
                         [](const auto& info) { return std::string(info.param.name); });

// Under random operations: if the queue starts nothing although a slot is free, no permitted team
// has a waiting request. Each pushed ticket leaves the queue exactly once.
RC_GTEST_PROP(FairQueueProperty, ConservesWorkAndTickets, ()) {
  constexpr std::size_t kTeams = 4;
  FairQueue queue = QueueOf({1.0, 2.0, 3.0, 4.0});
  ListedTeamsGate gate;
  CountedSlots slots;
  TimePoint now = kNow;
  std::uint64_t next = 1;
  std::map<std::uint64_t, std::size_t> waiting;
  std::vector<std::uint64_t> running;
  for (int step = 0; step < 100; ++step) {
    const auto team = *rc::gen::inRange<std::size_t>(0, kTeams);
    const auto lane = *rc::gen::element(Lane::kUrgent, Lane::kShort, Lane::kLong);
    switch (*rc::gen::inRange(0, 6)) {
      case 0:
      case 1:
        queue.Push(MakeTicket(next, team), milliseconds(100), lane);
        waiting[next++] = team;
        break;
      case 2:
        gate.at_limit.contains(Team(team)) ? gate.at_limit.erase(Team(team))
                                           : gate.at_limit.insert(Team(team)).second;
        queue.OnLimitFreed(Team(team));
        break;
      case 3:
        if (!waiting.empty()) {
          RC_ASSERT(queue.Remove({waiting.begin()->first}).has_value());
          waiting.erase(waiting.begin());
        }
        break;
      case 4:
        if (!running.empty()) {
          queue.Finish({running.back()}, milliseconds(*rc::gen::inRange(1, 1000)));
          running.pop_back();
        }
        break;
      default:
        if (!running.empty()) {
          queue.Requeue({running.back()}, Duration::zero());
          waiting[running.back()] = 0;
          running.pop_back();
        }
    }
    now += milliseconds(1);
    const auto picked = queue.Next(now, gate, slots);
    if (picked) {
      RC_ASSERT(!gate.at_limit.contains(picked->ticket.team));
      RC_ASSERT(waiting.erase(picked->ticket.id.number) == 1u);
      running.push_back(picked->ticket.id.number);
    } else {
      for (std::size_t index = 0; index < kTeams; ++index) {
        RC_ASSERT(gate.at_limit.contains(Team(index)) || queue.Usage(Team(index)).waiting == 0);
      }
    }
    RC_ASSERT(queue.WaitingCount() == waiting.size());
    RC_ASSERT(queue.RunningCount() == running.size());
  }
}

// A team with a small share sends one request while the others are always backlogged. It must start
// within a number of starts that is proportional to the share of the others.
RC_GTEST_PROP(FairQueueProperty, StarvesNoTeam, ()) {
  const double others_share = *rc::gen::inRange(1, 100);
  FairQueue queue = QueueOf({1.0, others_share, others_share});
  RunOneSlot(queue, {milliseconds(10), milliseconds(10), milliseconds(10)},
             {milliseconds(10), milliseconds(10), milliseconds(10)}, *rc::gen::inRange(0, 300));
  queue.Push(MakeTicket(1'000'000, 0), milliseconds(10), Lane::kShort);
  OpenGate gate;
  CountedSlots slots;
  std::uint64_t next = 2'000'000;
  const int max_starts = static_cast<int>(others_share) * 2 * 5 + 10;
  for (int start = 0; start < max_starts; ++start) {
    const auto picked = queue.Next(kNow, gate, slots);
    queue.Finish(picked->ticket.id, milliseconds(10));
    if (picked->ticket.id.number == 1'000'000) {
      return;
    }
    if (picked->ticket.team != Team(0)) {
      const std::size_t team = picked->ticket.team == Team(1) ? 1 : 2;
      queue.Push(MakeTicket(next++, team), milliseconds(10), Lane::kShort);
    }
  }
  RC_FAIL("the request of the small team was not started");
}

// Urgent requests start before the normal ones of all teams, but a team that marks everything as
// urgent must not get more than the allowance that way.
TEST(FairQueueTest, UrgentGoesFirstUpToTheAllowance) {
  FairQueue queue = QueueOf({1.0, 1.0});
  queue.SetUrgentAllowance(2);
  OpenGate gate;
  CountedSlots slots;
  for (std::uint64_t number = 1; number <= 10; ++number) {
    queue.Push(MakeTicket(number, 0), milliseconds(100), Lane::kUrgent);
    queue.Push(MakeTicket(100 + number, 1), milliseconds(100), Lane::kShort);
  }
  EXPECT_LE(queue.Next(kNow, gate, slots)->ticket.id.number, 10u);
  EXPECT_LE(queue.Next(kNow, gate, slots)->ticket.id.number, 10u);
  // The third slot goes to the team that has used none.
  EXPECT_GT(queue.Next(kNow, gate, slots)->ticket.id.number, 100u);
}

// All running tasks of a team take far longer than expected. Nothing is measured until the first
// one ends, so without additional charges the team would keep starting tasks as if they were short.
TEST(FairQueueTest, ChargesTasksThatExceedTheirExpectedRunTime) {
  for (const bool is_charged : {true, false}) {
    FairQueue queue = QueueOf({1.0, 1.0});
    OpenGate gate;
    CountedSlots slots;
    for (std::uint64_t number = 1; number <= 50; ++number) {
      queue.Push(MakeTicket(number, 0), milliseconds(1), Lane::kShort);
    }
    for (int start = 0; start < 4; ++start) {
      queue.Next(kNow, gate, slots);
    }
    if (is_charged) {
      queue.ChargeOverdue(kNow + std::chrono::seconds(5));
    }
    for (std::uint64_t number = 101; number <= 110; ++number) {
      queue.Push(MakeTicket(number, 1), milliseconds(100), Lane::kShort);
    }
    int second_team_starts = 0;
    for (int start = 0; start < 10; ++start) {
      const auto picked = queue.Next(kNow + std::chrono::seconds(5), gate, slots);
      second_team_starts += picked->ticket.team == Team(1) ? 1 : 0;
    }
    EXPECT_EQ(second_team_starts == 10, is_charged);
  }
}

}  // namespace
}  // namespace chervilspar::scheduling
