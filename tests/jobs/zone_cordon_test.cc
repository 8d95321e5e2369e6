#include "chervilspar/jobs/zone_cordon.h"

#include <algorithm>
#include <functional>

#include <gtest/gtest.h>

#include "tests/jobs/scheduler_harness.h"

namespace chervilspar::jobs {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using World = SchedulerHarness;

const ZoneId kEast{"east"};
const ZoneId kWest{"west"};

struct StartCase {
  const char* name;
  std::optional<Duration> bound;
  bool is_cordoned;
  /// The age of the proof; nothing: there is no proof.
  std::optional<Duration> age;
  bool may_start;
};

class StartInZone : public ::testing::TestWithParam<StartCase> {};

/// Guards against a start in a zone that this process can't prove to be still open.
TEST_P(StartInZone, NeedsAnOpenZoneAndRecentProof) {
  ZoneCordon cordon(GetParam().bound);
  if (GetParam().is_cordoned) {
    EXPECT_TRUE(cordon.Add(kEast));
  }
  const TimePoint now = TimePoint{} + seconds(100);
  const auto proof = GetParam().age ? std::optional(now - *GetParam().age) : std::nullopt;
  EXPECT_EQ(cordon.MayStart(kEast, now, proof), GetParam().may_start);
}

INSTANTIATE_TEST_SUITE_P(
    Zones, StartInZone,
    ::testing::Values(StartCase{"open", seconds(5), false, milliseconds(900), true},
                      StartCase{"cordoned", seconds(5), true, milliseconds(0), false},
                      StartCase{"proof_too_old", seconds(5), false, seconds(4), false},
                      StartCase{"no_proof", seconds(5), false, std::nullopt, false},
                      StartCase{"short_bound", seconds(2), false, milliseconds(900), true},
                      StartCase{"short_bound_old_proof", seconds(2), false, seconds(1), false},
                      StartCase{"no_bound", std::nullopt, false, std::nullopt, true},
                      StartCase{"no_bound_cordoned", std::nullopt, true, seconds(0), false}),
    [](const auto& info) { return info.param.name; });

struct CoverCase {
  const char* name;
  std::vector<ZoneId> cordoned;
  std::vector<ZoneId> known;
  bool covers_all;
};

class CordonOfAllZones : public ::testing::TestWithParam<CoverCase> {};

TEST_P(CordonOfAllZones, DiffersFromACordonOfSome) {
  ZoneCordon cordon(std::nullopt);
  for (const ZoneId& zone : GetParam().cordoned) {
    cordon.Add(zone);
  }
  EXPECT_EQ(cordon.CoversAll(GetParam().known), GetParam().covers_all);
}

INSTANTIATE_TEST_SUITE_P(Zones, CordonOfAllZones,
                         ::testing::Values(CoverCase{"one", {kEast}, {kEast, kWest}, false},
                                           CoverCase{"both", {kEast, kWest}, {kEast, kWest}, true},
                                           CoverCase{"unknown_zones", {kEast}, {}, false}),
                         [](const auto& info) { return info.param.name; });

EndpointRecord EndpointIn(const ZoneId& zone, const std::string& id) {
  EndpointRecord record = World::Endpoint(id);
  record.zone = zone;
  return record;
}

Step MakeLongRunning(std::uint32_t count, std::int64_t cpu) {
  Step step = World::MakeStep(count, cpu);
  step.is_long_running = true;
  return step;
}

/// One endpoint in the zone that will be cordoned and one in another zone.
class TwoZones {
 public:
  explicit TwoZones(std::uint64_t token = 1) : world({}, token) {
    this->world.Register({EndpointIn(kEast, "e"), EndpointIn(kWest, "w")});
  }

  void Cordon() { this->world.scheduler.SetCordonedZones({kEast}); }
  void Add(std::uint64_t number, Step step) {
    this->world.scheduler.AddJob(World::MakeJob(number, {std::move(step)}),
                                 WallTime(this->world.now.time_since_epoch()));
  }

  /// Runs the scheduler for `duration`. Both endpoints report their runs and execute all starts.
  void RunFor(Duration duration) {
    const TimePoint end = this->world.now + duration;
    while (this->world.now < end) {
      this->world.scheduler.SetProof(this->world.now);
      for (const char* id : {"e", "w"}) {
        this->world.AnswerRenewal(id, this->active[id], {});
      }
      const Orders orders = this->world.Round();
      for (const StartOrder& start : orders.starts) {
        this->starts.push_back(start);
        this->active[start.endpoint].push_back(World::Active(start, 100));
        this->world.scheduler.OnStartAnswered(start, OrderOutcome::kDone, this->world.now);
      }
      this->stops.insert(this->stops.end(), orders.stops.begin(), orders.stops.end());
      this->world.AdvanceTime(milliseconds(100));
    }
  }

  int StartsAt(const std::string& endpoint) const {
    return static_cast<int>(
        std::count_if(this->starts.begin(), this->starts.end(),
                      [&](const StartOrder& start) { return start.endpoint == endpoint; }));
  }

  World world;
  std::map<std::string, std::vector<ActiveRun>> active;
  std::vector<StartOrder> starts;
  std::vector<StopOrder> stops;
};

struct StartPathCase {
  const char* name;
  /// Creates the situation and cordons the zone.
  std::function<void(TwoZones&)> prepare;
  /// Starts on the other zone's endpoint afterwards.
  int elsewhere;
};

class StartPaths : public ::testing::TestWithParam<StartPathCase> {};

/// Guards against starts in a zone that operators evacuate.
TEST_P(StartPaths, NothingStartsInACordonedZone) {
  TwoZones zones;
  GetParam().prepare(zones);
  zones.RunFor(seconds(7));
  EXPECT_EQ(zones.StartsAt("e"), 0);
  EXPECT_EQ(zones.StartsAt("w"), GetParam().elsewhere);
}

/// Sends a start to the eastern endpoint, which answers with `outcome`.
StartOrder StartInTheEast(TwoZones& zones, Step step, OrderOutcome outcome) {
  zones.Add(1, std::move(step));
  zones.world.scheduler.BeginEvacuation("w", zones.world.now);
  StartOrder start = zones.world.Round().starts.at(0);
  zones.world.scheduler.EndEvacuation("w");
  zones.world.scheduler.OnStartAnswered(start, outcome, zones.world.now);
  return start;
}

void FailLongRunning(TwoZones& zones) {
  const StartOrder start = StartInTheEast(zones, MakeLongRunning(1, 1000), OrderOutcome::kDone);
  zones.Cordon();
  zones.world.AnswerRenewal("e", {}, {World::Ended(1, start, RunEnd::kFailed)});
}

/// A ready task in the west has to move, and the east has free capacity.
void EvacuateTheOtherEndpoint(TwoZones& zones) {
  zones.Cordon();
  zones.Add(1, MakeLongRunning(1, 1000));
  zones.RunFor(seconds(3));
  zones.starts.clear();
  zones.world.scheduler.BeginEvacuation("w", zones.world.now);
}

void StartGangAcross(TwoZones& zones) {
  Step gang = World::MakeStep(2, 8000);
  gang.is_gang = true;
  zones.Add(1, gang);
  zones.world.Decide();
  zones.Cordon();
}

void StartFiller(TwoZones& zones) {
  Step filler = MakeLongRunning(1, 1000);
  filler.is_filler = true;
  zones.Cordon();
  zones.Add(1, filler);
}

void RestartTheEndpoint(TwoZones& zones) {
  zones.Cordon();
  EndpointRecord restarted = EndpointIn(kEast, "e");
  restarted.born_ms = 2;
  zones.world.scheduler.SetEndpoints({restarted, EndpointIn(kWest, "w")}, zones.world.now);
  zones.world.AnswerRenewal("e", {}, {}, 2);
  zones.Add(1, World::MakeStep(4));
}

INSTANTIATE_TEST_SUITE_P(
    Tasks, StartPaths,
    ::testing::Values(
        StartPathCase{"first_try",
                      [](TwoZones& zones) {
                        zones.Cordon();
                        zones.Add(1, World::MakeStep(4));
                      },
                      4},
        StartPathCase{"more_than_fits_in_the_other_zone",
                      [](TwoZones& zones) {
                        zones.Cordon();
                        zones.Add(1, World::MakeStep(12));
                      },
                      8},
        StartPathCase{"placed_and_being_stored",
                      [](TwoZones& zones) {
                        zones.Add(1, World::MakeStep(8));
                        zones.world.Decide();
                        zones.Cordon();
                      },
                      8},
        StartPathCase{"second_try",
                      [](TwoZones& zones) {
                        StartInTheEast(zones, World::MakeStep(1), OrderOutcome::kNoAnswer);
                        zones.Cordon();
                      },
                      1},
        StartPathCase{"refused_start",
                      [](TwoZones& zones) {
                        StartInTheEast(zones, World::MakeStep(1), OrderOutcome::kRefused);
                        zones.Cordon();
                      },
                      1},
        StartPathCase{"long_running_task_that_failed", FailLongRunning, 1},
        StartPathCase{"long_running_task_that_has_to_move", EvacuateTheOtherEndpoint, 0},
        StartPathCase{"gang", StartGangAcross, 0}, StartPathCase{"filler", StartFiller, 1},
        StartPathCase{"restarted_endpoint", RestartTheEndpoint, 4}),
    [](const auto& info) { return info.param.name; });

/// Guards against a cordon that stops active runs: it only prevents new starts, and callers lose
/// nothing.
TEST(CordonedZone, KeepsActiveRuns) {
  TwoZones zones;
  zones.Add(1, World::MakeStep(12));
  zones.Add(2, MakeLongRunning(2, 1000));
  zones.RunFor(milliseconds(300));
  const int before = zones.StartsAt("e");
  EXPECT_GT(before, 0);
  zones.Cordon();
  zones.RunFor(seconds(2));
  EXPECT_EQ(zones.StartsAt("e"), before);
  EXPECT_TRUE(zones.stops.empty());
}

/// Guards against a cordon that stops an active run whose start got no answer: a status request
/// shows that it runs.
TEST(CordonedZone, IsPolledBeforeAnUnansweredStartIsStopped) {
  TwoZones zones;
  const StartOrder start = StartInTheEast(zones, World::MakeStep(1), OrderOutcome::kNoAnswer);
  zones.Cordon();
  zones.world.AdvanceTime(milliseconds(600));
  EXPECT_TRUE(zones.world.Round().stops.empty());
  zones.active["e"] = {World::Active(start)};
  zones.RunFor(seconds(2));
  EXPECT_TRUE(zones.stops.empty());
  EXPECT_TRUE(zones.starts.empty());
}

/// Guards against a zone that stays unused after operators have removed its cordon.
TEST(CordonedZone, IsUsedAtOnceWhenTheCordonIsRemoved) {
  TwoZones zones;
  zones.Cordon();
  zones.Add(1, World::MakeStep(12));
  zones.RunFor(milliseconds(500));
  EXPECT_EQ(zones.StartsAt("e"), 0);
  zones.world.scheduler.SetCordonedZones({});
  zones.RunFor(milliseconds(200));
  EXPECT_EQ(zones.StartsAt("e"), 4);
}

/// Guards against a pool that is sized as if the runs in a cordoned zone needed capacity in the
/// other zones as well.
TEST(CordonedZone, IsExcludedFromTheLoadOfThePool) {
  TwoZones zones;
  zones.Add(1, World::MakeStep(16));
  zones.Add(2, MakeLongRunning(2, 10));
  zones.RunFor(milliseconds(300));
  const PoolLoad before = zones.world.scheduler.PoolLoads().at(ServiceId{"desk"});
  zones.Cordon();
  const PoolLoad after = zones.world.scheduler.PoolLoads().at(ServiceId{"desk"});
  EXPECT_LT(after.cpu.running, before.cpu.running);
  EXPECT_LT(after.cpu.concurrent_demand, before.cpu.concurrent_demand);
}

/// Guards against a maintenance wave that stalls in a cordoned zone: tasks that have to leave a VM
/// there need capacity in another zone.
TEST(CordonedZone, CountsTasksThatHaveToMoveAndHaveNoTarget) {
  TwoZones zones;
  zones.Add(1, MakeLongRunning(2, 8000));
  zones.RunFor(seconds(3));
  zones.Cordon();
  EXPECT_EQ(zones.world.scheduler.PoolLoads().at(ServiceId{"desk"}).waiting_long_running, 0);
  zones.world.scheduler.BeginEvacuation("e", zones.world.now);
  zones.RunFor(milliseconds(300));
  const PoolLoad load = zones.world.scheduler.PoolLoads().at(ServiceId{"desk"});
  EXPECT_EQ(load.waiting_long_running, 1);
  EXPECT_EQ(load.cpu.long_running, 16000);
}

/// Guards against a job that waits without a logged reason.
TEST(CordonedZone, IsLoggedAsTheReasonWhyAJobWaits) {
  TwoZones zones;
  zones.world.scheduler.SetCordonedZones({kEast, kWest});
  zones.Add(1, World::MakeStep(1));
  zones.world.AdvanceTime(seconds(10));
  zones.RunFor(milliseconds(300));
  EXPECT_TRUE(zones.starts.empty());
  const std::vector<DecisionEvent> notes = zones.world.scheduler.TakeEvents();
  EXPECT_TRUE(std::any_of(notes.begin(), notes.end(), [](const DecisionEvent& note) {
    return note.event == "job_waits" && note.why.find("cordoned") != std::string::npos;
  }));
}

}  // namespace
}  // namespace chervilspar::jobs
