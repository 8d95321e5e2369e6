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
  /// How old the proof is; nothing for none at all.
  std::optional<Duration> age;
  bool may_start;
};

class StartInZone : public ::testing::TestWithParam<StartCase> {};

/// Guards against a start in a zone of which this process can't know that it is still open.
TEST_P(StartInZone, NeedsAnOpenZoneAndYoungProof) {
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

class CordonOfAll : public ::testing::TestWithParam<CoverCase> {};

TEST_P(CordonOfAll, IsToldFromOneOfSome) {
  ZoneCordon cordon(std::nullopt);
  for (const ZoneId& zone : GetParam().cordoned) {
    cordon.Add(zone);
  }
  EXPECT_EQ(cordon.CoversAll(GetParam().known), GetParam().covers_all);
}

INSTANTIATE_TEST_SUITE_P(Zones, CordonOfAll,
                         ::testing::Values(CoverCase{"one", {kEast}, {kEast, kWest}, false},
                                           CoverCase{"both", {kEast, kWest}, {kEast, kWest}, true},
                                           CoverCase{"zones_not_known", {kEast}, {}, false}),
                         [](const auto& info) { return info.param.name; });

EndpointRecord EndpointIn(const ZoneId& zone, const std::string& id) {
  EndpointRecord record = World::Endpoint(id);
  record.zone = zone;
  return record;
}

Step MakeLasting(std::uint32_t count, std::int64_t cpu) {
  Step step = World::MakeStep(count, cpu);
  step.is_long_running = true;
  return step;
}

/// One endpoint in the zone that will be cordoned, one in another.
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

  /// Both endpoints answer, with what they were given; starts from here on are carried out.
  void Live(Duration span) {
    const TimePoint end = this->world.now + span;
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

struct WayIn {
  const char* name;
  /// Comes up to the cordon and sets it.
  std::function<void(TwoZones&)> prepare;
  /// Starts that come at the other zone's endpoint afterwards.
  int elsewhere;
};

class WaysIn : public ::testing::TestWithParam<WayIn> {};

/// Guards against work that still begins in a zone that operators evacuate.
TEST_P(WaysIn, NothingStartsInACordonedZone) {
  TwoZones zones;
  GetParam().prepare(zones);
  zones.Live(seconds(7));
  EXPECT_EQ(zones.StartsAt("e"), 0);
  EXPECT_EQ(zones.StartsAt("w"), GetParam().elsewhere);
}

/// A start at the eastern endpoint that gets this answer.
StartOrder StartInTheEast(TwoZones& zones, Step step, OrderOutcome outcome) {
  zones.Add(1, std::move(step));
  zones.world.scheduler.BeginEvacuation("w");
  StartOrder start = zones.world.Round().starts.at(0);
  zones.world.scheduler.EndEvacuation("w");
  zones.world.scheduler.OnStartAnswered(start, outcome, zones.world.now);
  return start;
}

void FailLasting(TwoZones& zones) {
  const StartOrder start = StartInTheEast(zones, MakeLasting(1, 1000), OrderOutcome::kDone);
  zones.Cordon();
  zones.world.AnswerRenewal("e", {}, {World::Ended(1, start, RunEnd::kFailed)});
}

/// The task that was at work in the west has to move, and there is room in the east.
void EmptyTheOtherEndpoint(TwoZones& zones) {
  zones.Cordon();
  zones.Add(1, MakeLasting(1, 1000));
  zones.Live(seconds(3));
  zones.starts.clear();
  zones.world.scheduler.BeginEvacuation("w");
}

void StartGangAcross(TwoZones& zones) {
  Step gang = World::MakeStep(2, 8000);
  gang.is_gang = true;
  zones.Add(1, gang);
  zones.world.Decide();
  zones.Cordon();
}

void StartFiller(TwoZones& zones) {
  Step filler = MakeLasting(1, 1000);
  filler.is_filler = true;
  zones.Cordon();
  zones.Add(1, filler);
}

void BeginAnotherLife(TwoZones& zones) {
  zones.Cordon();
  EndpointRecord reborn = EndpointIn(kEast, "e");
  reborn.born_ms = 2;
  zones.world.scheduler.SetEndpoints({reborn, EndpointIn(kWest, "w")}, zones.world.now);
  zones.world.AnswerRenewal("e", {}, {}, 2);
  zones.Add(1, World::MakeStep(4));
}

INSTANTIATE_TEST_SUITE_P(
    Tasks, WaysIn,
    ::testing::Values(WayIn{"first_try",
                            [](TwoZones& zones) {
                              zones.Cordon();
                              zones.Add(1, World::MakeStep(4));
                            },
                            4},
                      WayIn{"more_than_the_other_zone_holds",
                            [](TwoZones& zones) {
                              zones.Cordon();
                              zones.Add(1, World::MakeStep(12));
                            },
                            8},
                      WayIn{"placed_and_being_stored",
                            [](TwoZones& zones) {
                              zones.Add(1, World::MakeStep(8));
                              zones.world.Decide();
                              zones.Cordon();
                            },
                            8},
                      WayIn{"second_try",
                            [](TwoZones& zones) {
                              StartInTheEast(zones, World::MakeStep(1), OrderOutcome::kNoAnswer);
                              zones.Cordon();
                            },
                            1},
                      WayIn{"refused_start",
                            [](TwoZones& zones) {
                              StartInTheEast(zones, World::MakeStep(1), OrderOutcome::kRefused);
                              zones.Cordon();
                            },
                            1},
                      WayIn{"lasting_task_that_failed", FailLasting, 1},
                      WayIn{"lasting_task_that_has_to_move", EmptyTheOtherEndpoint, 0},
                      WayIn{"gang", StartGangAcross, 0}, WayIn{"filler", StartFiller, 1},
                      WayIn{"another_life_of_an_endpoint", BeginAnotherLife, 4}),
    [](const auto& info) { return info.param.name; });

/// Guards against a cordon that ends what runs: operators want nothing new there, and callers lose
/// nothing.
TEST(CordonedZone, LetsRunWhatRuns) {
  TwoZones zones;
  zones.Add(1, World::MakeStep(12));
  zones.Add(2, MakeLasting(2, 1000));
  zones.Live(milliseconds(300));
  const int before = zones.StartsAt("e");
  EXPECT_GT(before, 0);
  zones.Cordon();
  zones.Live(seconds(2));
  EXPECT_EQ(zones.StartsAt("e"), before);
  EXPECT_TRUE(zones.stops.empty());
}

/// Guards against the same where the answer to a start was lost: a look shows that it runs.
TEST(CordonedZone, LooksBeforeItStopsAStartWithoutAnswer) {
  TwoZones zones;
  const StartOrder start = StartInTheEast(zones, World::MakeStep(1), OrderOutcome::kNoAnswer);
  zones.Cordon();
  zones.world.AdvanceTime(milliseconds(600));
  EXPECT_TRUE(zones.world.Round().stops.empty());
  zones.active["e"] = {World::Active(start)};
  zones.Live(seconds(2));
  EXPECT_TRUE(zones.stops.empty());
  EXPECT_TRUE(zones.starts.empty());
}

/// Guards against a zone that stays out of use after operators have taken it back.
TEST(CordonedZone, IsUsedAtOnceWhenItIsTakenBack) {
  TwoZones zones;
  zones.Cordon();
  zones.Add(1, World::MakeStep(12));
  zones.Live(milliseconds(500));
  EXPECT_EQ(zones.StartsAt("e"), 0);
  zones.world.scheduler.SetCordonedZones({});
  zones.Live(milliseconds(200));
  EXPECT_EQ(zones.StartsAt("e"), 4);
}

/// Guards against a pool that is sized as if what runs in a cordoned zone had to be served again in
/// the others.
TEST(CordonedZone, CountsNothingThatRunsThereIntoThePoolsLoad) {
  TwoZones zones;
  zones.Add(1, World::MakeStep(16));
  zones.Add(2, MakeLasting(2, 10));
  zones.Live(milliseconds(300));
  const PoolLoad before = zones.world.scheduler.PoolLoads().at(ServiceId{"desk"});
  zones.Cordon();
  const PoolLoad after = zones.world.scheduler.PoolLoads().at(ServiceId{"desk"});
  EXPECT_LT(after.cpu.running, before.cpu.running);
  EXPECT_LT(after.cpu.concurrent_demand, before.cpu.concurrent_demand);
}

/// Guards against a wave that stands still in a cordoned zone: what has to leave a VM there needs a
/// place in another zone.
TEST(CordonedZone, CountsWhatHasToLeaveItAndFindsNoPlace) {
  TwoZones zones;
  zones.Add(1, MakeLasting(2, 8000));
  zones.Live(seconds(3));
  zones.Cordon();
  EXPECT_EQ(zones.world.scheduler.PoolLoads().at(ServiceId{"desk"}).waiting_long_running, 0);
  zones.world.scheduler.BeginEvacuation("e");
  zones.Live(milliseconds(300));
  const PoolLoad load = zones.world.scheduler.PoolLoads().at(ServiceId{"desk"});
  EXPECT_EQ(load.waiting_long_running, 1);
  EXPECT_EQ(load.cpu.long_running, 16000);
}

/// Guards against a job of which nobody can say why it waits.
TEST(CordonedZone, IsNamedAsTheReasonWhyAJobWaits) {
  TwoZones zones;
  zones.world.scheduler.SetCordonedZones({kEast, kWest});
  zones.Add(1, World::MakeStep(1));
  zones.world.AdvanceTime(seconds(10));
  zones.Live(milliseconds(300));
  EXPECT_TRUE(zones.starts.empty());
  const std::vector<DecisionEvent> notes = zones.world.scheduler.TakeEvents();
  EXPECT_TRUE(std::any_of(notes.begin(), notes.end(), [](const DecisionEvent& note) {
    return note.event == "job_waits" && note.why.find("cordoned") != std::string::npos;
  }));
}

}  // namespace
}  // namespace chervilspar::jobs
