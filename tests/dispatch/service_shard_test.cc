#include "chervilspar/dispatch/service_shard.h"

#include <map>
#include <set>
#include <string>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace chervilspar::dispatch {
namespace {

using admission::Idempotency;
using admission::RefusalCode;
using admission::Ticket;
using admission::TicketId;
using admission::WorkClass;
using load_balancing::Endpoint;
using load_balancing::Outcome;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kStart = TimePoint(seconds(100));

TeamId Team(std::size_t index) { return TeamId{"t" + std::to_string(index)}; }

std::vector<scheduling::TeamShare> Teams(std::size_t count) {
  std::vector<scheduling::TeamShare> teams;
  for (std::size_t index = 0; index < count; ++index) {
    const auto right =
        index == 0 ? scheduling::UrgentPermission::kAllowed : scheduling::UrgentPermission::kDenied;
    teams.push_back({Team(index), 1.0 + static_cast<double>(index), right});
  }
  return teams;
}

std::vector<Endpoint> Endpoints(std::size_t count) {
  std::vector<Endpoint> endpoints;
  for (std::size_t index = 0; index < count; ++index) {
    endpoints.push_back({VmId{"vm-" + std::to_string(index)}, ZoneId{"a"}, 8, {4, 1024, 0}});
  }
  return endpoints;
}

/// Exact limits, counted by the test itself.
class CountingGate final : public scheduling::QuotaGate {
 public:
  scheduling::GateAnswer MayStart(const TeamId& team, TimePoint) override {
    return this->running[team] < this->limit ? scheduling::GateAnswer::kMayStart
                                             : scheduling::GateAnswer::kAtLimit;
  }
  std::map<TeamId, std::size_t> running;
  std::size_t limit = 1000;
};

/// One shard, its gate and its running tasks.
class Driver {
 public:
  explicit Driver(std::size_t endpoints, ShardOptions options = {})
      : shard(ServiceId{"s"}, EntryId{"e"}, ZoneId{"a"}, options), random(7) {
    this->shard.SetTeams(Teams(4), this->now);
    this->shard.SetEndpoints(Endpoints(endpoints), this->now);
  }

  Ticket MakeTicket(std::size_t team, Duration timeout = seconds(10)) {
    Ticket ticket;
    ticket.id = {this->next++};
    ticket.team = Team(team);
    ticket.idempotency = Idempotency::kIdempotent;
    ticket.arrived = this->now;
    ticket.deadline = this->now + timeout;
    return ticket;
  }

  std::optional<Start> StartNext() {
    auto start = this->shard.Next(this->now, this->gate, this->random);
    if (start) {
      ++this->gate.running[start->ticket.team];
    }
    return start;
  }

  TryResult End(const Start& start, Outcome outcome, Duration measured = milliseconds(100)) {
    --this->gate.running[start.ticket.team];
    return this->shard.OnFinished(start.ticket.id, start.endpoint, outcome, measured, this->now,
                                  this->random);
  }

  ServiceShard shard;
  CountingGate gate;
  SeededRandom random;
  TimePoint now = kStart;
  std::uint64_t next = 1;
};

/// Follows every accepted ticket to its one end.
struct Ledger {
  std::set<TicketId> open;
  std::vector<Start> running;

  void Close(const TicketId& ticket) { RC_ASSERT(this->open.erase(ticket) == 1u); }
};

void PumpAll(Driver& driver, Ledger& ledger) {
  for (const GivenUp& given_up : driver.shard.Expire(driver.now, driver.random)) {
    ledger.Close(given_up.ticket);
  }
  while (const auto start = driver.StartNext()) {
    RC_ASSERT(ledger.open.contains(start->ticket.id));
    RC_ASSERT(start->ticket.deadline > driver.now);
    RC_ASSERT(driver.gate.running[start->ticket.team] <= driver.gate.limit);
    ledger.running.push_back(*start);
  }
}

void EndOne(Driver& driver, Ledger& ledger) {
  if (ledger.running.empty()) {
    return;
  }
  const auto place = *rc::gen::inRange<std::size_t>(0, ledger.running.size());
  const Start start = ledger.running[place];
  ledger.running.erase(ledger.running.begin() + static_cast<std::ptrdiff_t>(place));
  const auto outcome =
      *rc::gen::element(Outcome::kCompleted, Outcome::kCompleted, Outcome::kFailed, Outcome::kLost,
                        Outcome::kFull, Outcome::kDraining, Outcome::kLate, Outcome::kUnfit,
                        Outcome::kUnreachable, Outcome::kStopped);
  const auto measured = milliseconds(*rc::gen::inRange(1, 500));
  if (driver.End(start, outcome, measured).after == AfterTry::kAnswer) {
    ledger.Close(start.ticket.id);
  }
}

void ChangeConfiguration(Driver& driver) {
  if (*rc::gen::arbitrary<bool>()) {
    driver.shard.SetTeams(Teams(*rc::gen::inRange<std::size_t>(2, 5)), driver.now);
  } else {
    driver.shard.SetEndpoints(Endpoints(*rc::gen::inRange<std::size_t>(1, 5)), driver.now);
  }
}

// Requests come, wait, run, fail, are cancelled and time out while the configuration changes under
// them. A caller that got two answers would take the wrong one for its own; one that got none would
// hang until its deadline and not know whether to ask again.
RC_GTEST_PROP(ServiceShardProperty, EveryRequestGetsExactlyOneAnswer, ()) {
  Driver driver(3);
  driver.gate.limit = *rc::gen::inRange<std::size_t>(1, 20);
  Ledger ledger;
  for (int step = 0; step < 150; ++step) {
    switch (*rc::gen::inRange(0, 9)) {
      case 0:
      case 1:
      case 2:
      case 3: {
        const Ticket ticket = driver.MakeTicket(*rc::gen::inRange<std::size_t>(0, 4),
                                                milliseconds(*rc::gen::inRange(10, 3000)));
        if (driver.shard.Admit(ticket, driver.now, driver.random).IsAccepted()) {
          ledger.open.insert(ticket.id);
        }
        break;
      }
      case 4:
      case 5:
        EndOne(driver, ledger);
        break;
      case 6:
        if (!ledger.open.empty()) {
          const TicketId ticket = *ledger.open.begin();
          if (driver.shard.Cancel(ticket, driver.now) == CancelResult::kForgotten) {
            ledger.Close(ticket);
          }
        }
        break;
      case 7:
        ChangeConfiguration(driver);
        break;
      default:
        driver.now += milliseconds(*rc::gen::inRange(1, 500));
    }
    PumpAll(driver, ledger);
  }
  while (!ledger.running.empty()) {
    EndOne(driver, ledger);
  }
  driver.now += seconds(100);
  PumpAll(driver, ledger);
  RC_ASSERT(ledger.open.empty());
  RC_ASSERT(driver.shard.WaitingCount() == 0u);
  RC_ASSERT(driver.shard.RunningCount() == 0u);
}

// A slot is free and a permitted request waits: it must start now. Idle slots beside a queue are
// what a firm pays for twice.
RC_GTEST_PROP(ServiceShardProperty, LeavesNoSlotIdleWhileAPermittedRequestWaits, ()) {
  const auto endpoints = *rc::gen::inRange<std::size_t>(1, 5);
  Driver driver(endpoints);
  driver.gate.limit = *rc::gen::inRange<std::size_t>(1, 40);
  Ledger ledger;
  for (int step = 0; step < 150; ++step) {
    if (*rc::gen::inRange(0, 3) > 0) {
      const Ticket ticket =
          driver.MakeTicket(*rc::gen::inRange<std::size_t>(0, 4), std::chrono::hours(1));
      if (driver.shard.Admit(ticket, driver.now, driver.random).IsAccepted()) {
        ledger.open.insert(ticket.id);
      }
    } else if (!ledger.running.empty()) {
      const Start start = ledger.running.back();
      ledger.running.pop_back();
      driver.End(start, Outcome::kCompleted);
      ledger.Close(start.ticket.id);
    }
    driver.now += milliseconds(1);
    PumpAll(driver, ledger);
    if (ledger.running.size() < endpoints * 8) {
      for (std::size_t team = 0; team < 4; ++team) {
        RC_ASSERT(driver.shard.WaitingCount(Team(team)) == 0u ||
                  driver.gate.running[Team(team)] >= driver.gate.limit);
      }
    }
  }
}

struct RefusalCase {
  const char* name;
  std::function<void(Ticket&)> change;
  RefusalCode expected;
};

class RefusalTest : public testing::TestWithParam<RefusalCase> {};

// A request can never run: no VM is large enough, its team is unknown, or it asks for urgency that
// its team doesn't have. Accepted, it would wait until its deadline for nothing.
TEST_P(RefusalTest, IsRefusedAtOnceAndForGood) {
  Driver driver(3);
  driver.shard.SetShapes({{4, 1024, 0}, {8, 4096, 1}});
  Ticket ticket = driver.MakeTicket(1);
  GetParam().change(ticket);
  const Admission admission = driver.shard.Admit(ticket, driver.now, driver.random);
  ASSERT_FALSE(admission.IsAccepted());
  EXPECT_EQ(admission.refusal->code, GetParam().expected);
  EXPECT_EQ(admission.refusal->retry_after, Duration::zero());
}

INSTANTIATE_TEST_SUITE_P(
    Reasons, RefusalTest,
    testing::Values(RefusalCase{"TooManyAccelerators",
                                [](Ticket& ticket) { ticket.requirement.accelerators = 2; },
                                RefusalCode::kUnfit},
                    RefusalCase{"NoOneVmHasBoth",
                                [](Ticket& ticket) {
                                  ticket.requirement = {16, 1024, 0};
                                },
                                RefusalCode::kUnfit},
                    RefusalCase{"UnknownTeam",
                                [](Ticket& ticket) { ticket.team = TeamId{"nobody"}; },
                                RefusalCode::kUnknownTeam},
                    RefusalCase{"UrgentNotAllowed",
                                [](Ticket& ticket) { ticket.work_class = WorkClass::kUrgent; },
                                RefusalCode::kUrgentNotAllowed}),
    [](const auto& info) { return std::string(info.param.name); });

// Endpoints go away while requests wait. Kept until their deadline, the callers learn only then
// that nothing could have come of it; they are told as soon as it is certain instead.
TEST(ServiceShardTest, GivesUpBeforeTheDeadlineWhenItCannotBeMet) {
  Driver driver(1);
  for (int count = 0; count < 12; ++count) {
    driver.shard.Admit(driver.MakeTicket(1, seconds(2)), driver.now, driver.random);
  }
  int started = 0;
  while (driver.StartNext()) {
    ++started;
  }
  EXPECT_EQ(started, 8);
  std::size_t given_up = 0;
  const TimePoint deadline = driver.now + seconds(2);
  while (given_up == 0 && driver.now < deadline) {
    driver.now += milliseconds(10);
    given_up = driver.shard.Expire(driver.now, driver.random).size();
    EXPECT_FALSE(driver.StartNext());
  }
  EXPECT_EQ(given_up, 4u);
  EXPECT_LT(driver.now, deadline);
}

// The caller of a request cancels it while it runs. Sent again when its endpoint stops it, it would
// take a slot for nobody.
TEST(ServiceShardTest, DoesNotRepeatACancelledRequest) {
  Driver driver(1);
  driver.shard.Admit(driver.MakeTicket(1), driver.now, driver.random);
  const auto start = driver.StartNext();
  ASSERT_TRUE(start);
  EXPECT_EQ(driver.shard.Cancel(start->ticket.id, driver.now), CancelResult::kRunning);
  EXPECT_EQ(driver.End(*start, Outcome::kStopped).after, AfterTry::kAnswer);
  EXPECT_EQ(driver.shard.Cancel(start->ticket.id, driver.now), CancelResult::kUnknown);
}

/// Sends one request after the other, so that none ever waits for a slot; the endpoint "vm-0" takes
/// ten times as long as the others. Returns what is ejected in the end.
std::vector<VmId> EjectedAfterQuietTraffic(Driver& driver) {
  for (int count = 0; count < 400; ++count) {
    driver.shard.Admit(driver.MakeTicket(1), driver.now, driver.random);
    const auto start = driver.StartNext();
    if (!start) {
      continue;
    }
    driver.now += milliseconds(20);
    const bool is_slow = start->endpoint == VmId{"vm-0"};
    driver.End(*start, Outcome::kCompleted, milliseconds(is_slow ? 1000 : 100));
  }
  return driver.shard.EjectedEndpoints(driver.now);
}

// At night nothing waits, so the driver has nothing to expire. A slow endpoint was looked for only
// while requests waited, and kept its part of the quiet traffic until the morning.
TEST(ServiceShardTest, FindsASlowEndpointWhileNothingWaits) {
  Driver driver(4);
  EXPECT_EQ(EjectedAfterQuietTraffic(driver), std::vector<VmId>{VmId{"vm-0"}});
}

// An entry starts and does not know yet how long tasks take. The first ones take seconds; taken for
// overdue by a first guess of 100 ms, their endpoints would be ejected for nothing.
TEST(ServiceShardTest, BlamesNoEndpointBeforeRunTimesAreKnown) {
  for (int skipped = 0; skipped < 30; ++skipped) {
    Driver driver(4);
    for (int count = 0; count < skipped; ++count) {
      driver.random.Next();
    }
    for (int count = 0; count < 2; ++count) {
      driver.shard.Admit(driver.MakeTicket(1, seconds(60)), driver.now, driver.random);
      ASSERT_TRUE(driver.StartNext());
    }
    for (int tick = 0; tick < 50; ++tick) {
      driver.now += milliseconds(100);
      driver.shard.Expire(driver.now, driver.random);
    }
    EXPECT_TRUE(driver.shard.EjectedEndpoints(driver.now).empty()) << skipped;
  }
}

// Reports cost bytes on every link between entries, four times a second for every service. With a
// steady load nothing new is said; a burst, though, has to be known at once.
TEST(ReportTest, IsSentEarlyOnlyWhenTheLoadChanges) {
  Driver driver(4);
  driver.shard.LocalReport(driver.now);
  driver.now += ShardOptions{}.report_period;
  EXPECT_FALSE(driver.shard.IsReportDue(driver.now));
  for (int count = 0; count < 10; ++count) {
    driver.shard.Admit(driver.MakeTicket(1), driver.now, driver.random);
    driver.StartNext();
  }
  EXPECT_TRUE(driver.shard.IsReportDue(driver.now));
  driver.shard.LocalReport(driver.now);
  EXPECT_FALSE(driver.shard.IsReportDue(driver.now));
  driver.now += ShardOptions{}.longest_report_period;
  EXPECT_TRUE(driver.shard.IsReportDue(driver.now));
}

/// Fills all slots with tasks of team 1 and lets an urgent request of team 0 wait.
std::vector<scheduling::Preempt> PreemptionsAfter(Idempotency idempotency, Duration waited) {
  Driver driver(1);
  for (int count = 0; count < 8; ++count) {
    Ticket ticket = driver.MakeTicket(1, std::chrono::hours(1));
    ticket.idempotency = idempotency;
    driver.shard.Admit(ticket, driver.now, driver.random);
    EXPECT_TRUE(driver.StartNext());
  }
  Ticket urgent = driver.MakeTicket(0);
  urgent.work_class = WorkClass::kUrgent;
  EXPECT_TRUE(driver.shard.Admit(urgent, driver.now, driver.random).IsAccepted());
  std::vector<scheduling::Preempt> actions;
  const TimePoint end = driver.now + waited;
  for (; driver.now < end; driver.now += milliseconds(100)) {
    for (const auto& action : driver.shard.Preemptions(driver.now)) {
      actions.push_back(action);
    }
  }
  return actions;
}

// An urgent request comes while long tasks hold every slot. One of them is asked for a checkpoint
// and then stopped, well before the 2.2 s are over.
TEST(PreemptionTest, ClearsOneSlotForOneUrgentRequest) {
  const Duration patience = scheduling::SchedulingOptions{}.preempt_after;
  EXPECT_TRUE(PreemptionsAfter(Idempotency::kIdempotent, patience).empty());
  const auto actions = PreemptionsAfter(Idempotency::kIdempotent, milliseconds(1500));
  ASSERT_EQ(actions.size(), 2u);
  EXPECT_EQ(actions[0].kind, scheduling::PreemptKind::kCheckpoint);
  EXPECT_EQ(actions[1].kind, scheduling::PreemptKind::kStop);
  EXPECT_EQ(actions[0].ticket, actions[1].ticket);
}

// The running tasks are deposit charges. Stopped half way and run again, one would be charged
// twice, so they are let alone and the urgent request waits.
TEST(PreemptionTest, NeverStopsWhatMustNotRunTwice) {
  EXPECT_TRUE(PreemptionsAfter(Idempotency::kNotIdempotent, seconds(5)).empty());
}

// Long tasks hold all slots by way of another entry, and this one has nothing of its own to stop.
// The other hears of the waiting request by the report and clears a slot.
TEST(PreemptionTest, APeerClearsASlotForAnUrgentRequestElsewhere) {
  Driver holder(1);
  for (int count = 0; count < 8; ++count) {
    holder.shard.Admit(holder.MakeTicket(1, std::chrono::hours(1)), holder.now, holder.random);
    EXPECT_TRUE(holder.StartNext());
  }
  Driver asker(1);
  Ticket urgent = asker.MakeTicket(0);
  urgent.work_class = WorkClass::kUrgent;
  asker.shard.Admit(urgent, asker.now, asker.random);
  asker.now += milliseconds(400);
  const auto report = asker.shard.LocalReport(asker.now);
  EXPECT_EQ(report.urgent_waiting, 1u);
  holder.now += milliseconds(400);
  holder.shard.OnPeerReport(EntryId{"f"}, ZoneId{"a"}, report, Duration::zero(), holder.now);
  EXPECT_EQ(holder.shard.Preemptions(holder.now).size(), 1u);
}

}  // namespace
}  // namespace chervilspar::dispatch
