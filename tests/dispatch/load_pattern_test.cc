#include <functional>
#include <string>

#include <gtest/gtest.h>

#include "chervilspar/base/random.h"

#include "bench/scenario.h"
#include "bench/simulated_experiment.h"
#include "bench/simulation.h"

/// Whole patterns of load, judged by what callers receive. Each row names the mechanism that
/// answers the pattern and shows that the pattern is not met without it.
namespace chervilspar::bench {
namespace {

constexpr double kUsualRunSeconds = 0.1;

struct PatternCase {
  std::string name;
  std::function<Scenario()> make;
  /// Takes the mechanism out.
  std::function<void(Scenario&)> take_out;
  /// A figure of what callers received.
  std::function<double(const RunOutcome&)> figure;
  /// `figure` is at least this, or, for `at_most`, at most this.
  double bound = 0.0;
  Better better = Better::kHigher;
};

bool IsMet(const PatternCase& pattern, double figure) {
  return pattern.better == Better::kHigher ? figure >= pattern.bound : figure <= pattern.bound;
}

class LoadPatternTest : public testing::TestWithParam<PatternCase> {};

TEST_P(LoadPatternTest, IsMetWithTheMechanismAndNotWithout) {
  const PatternCase& pattern = GetParam();
  for (const std::uint64_t seed : {1, 2, 3}) {
    Scenario scenario = pattern.make();
    scenario.seed = seed;
    const double with = pattern.figure(Simulate(scenario));
    EXPECT_TRUE(IsMet(pattern, with)) << "seed " << seed << ": " << with;
    pattern.take_out(scenario);
    const double without = pattern.figure(Simulate(scenario));
    EXPECT_FALSE(IsMet(pattern, without)) << "seed " << seed << " without: " << without;
  }
}

Scenario Usual(double load) { return UsualFleet(Options{}, load); }

/// The teams but the first.
RunOutcome Others(const RunOutcome& outcome) {
  RunOutcome others = outcome;
  others.teams.erase(others.teams.begin());
  return others;
}

double PartSentToFirst(const RunOutcome& outcome) {
  return static_cast<double>(outcome.sent_to[0]) / static_cast<double>(outcome.tries);
}

double LongestUrgentWait(const RunOutcome& outcome) {
  const std::vector<double> waits = Join(outcome, &TeamOutcome::urgent_waits);
  const auto asked = static_cast<double>(outcome.teams.back().asked);
  // Those that never started count as waiting for ever.
  return static_cast<double>(waits.size()) < 0.9 * asked ? 1e9 : Quantile(waits, 1.0);
}

// A lasting overload: all callers together ask five times what the pool can run. Without a bound on
// predicted waits everyone waits until the deadline, and callers get almost nothing in time.
PatternCase Overload() {
  return {"OverloadAcceptedInTime", [] { return Usual(5.0); },
          [](Scenario& scenario) {
            scenario.options.admission.wait_bound = admission::WaitBound::kOff;
          },
          [](const RunOutcome& outcome) { return outcome.AcceptedInTime(); }, 0.99};
}

PatternCase OverloadGoodput() {
  PatternCase pattern = Overload();
  pattern.name = "OverloadGoodput";
  pattern.take_out = [](Scenario& scenario) { scenario.options = PlainOptions(); };
  pattern.figure = [](const RunOutcome& outcome) { return outcome.Goodput(); };
  pattern.bound = 0.95;
  return pattern;
}

// One account asks twenty times as much as before and fills every slot. In order of arrival the
// other accounts' requests stand behind its thousands, and their callers get refusals and timeouts.
PatternCase HotAccount() {
  return {
      "HotAccountLeavesOthersAlone",
      [] {
        Scenario scenario = Usual(0.6);
        scenario.teams[0].rate *= 20.0;
        return scenario;
      },
      [](Scenario& scenario) { scenario.options.scheduling.order = scheduling::QueueOrder::kFifo; },
      [](const RunOutcome& outcome) {
        return Quantile(Join(Others(outcome), &TeamOutcome::waits), 0.99);
      },
      0.3,
      Better::kLower};
}

// All callers of one team reach one entry. Shared only inside each entry, the team gets what one
// entry can grab, and its callers wonder why their large share helps them so little.
PatternCase OneTeamOnOneEntry() {
  return {"OneTeamOnOneEntryKeepsItsShare",
          [] {
            Scenario scenario = Usual(3.0);
            scenario.teams.back().share = 3.0;
            scenario.teams.back().rate *= 2.0;
            scenario.teams.back().arrivals = Arrivals::kOneEntry;
            return scenario;
          },
          [](Scenario& scenario) {
            scenario.options.scheduling.scope = scheduling::ShareScope::kEntry;
          },
          [](const RunOutcome& outcome) { return outcome.WorstShareError(); },
          0.05,
          Better::kLower};
}

// Callers declare run times that are wrong by up to a hundred times. Charged by their word, the
// team that declares least gets almost everything.
PatternCase WrongDeclarations() {
  return {"WrongDeclarationsGainNothing",
          [] {
            constexpr double kFactors[] = {0.01, 0.1, 0.5, 1.0, 10.0, 100.0};
            Scenario scenario = Usual(3.0);
            for (std::size_t team = 0; team < scenario.teams.size(); ++team) {
              scenario.teams[team].declared_factor = kFactors[team % 6];
            }
            return scenario;
          },
          [](Scenario& scenario) {
            scenario.options.scheduling.cost = scheduling::CostBasis::kDeclared;
          },
          [](const RunOutcome& outcome) { return outcome.WorstShareError(); },
          0.05,
          Better::kLower};
}

// One endpoint of ten becomes ten times slower. Callers whose requests land there wait ten times as
// long, which is one caller in ten unless the endpoint is found out.
PatternCase SlowEndpoint() {
  return {"SlowEndpointHardlySlowsCallers",
          [] {
            Scenario scenario = Usual(0.7);
            scenario.endpoints[0].slowness = 10.0;
            return scenario;
          },
          [](Scenario& scenario) {
            scenario.options.balancer.ejection = load_balancing::Ejection::kOff;
          },
          // The 99th percentile of a healthy fleet is 4.6 means of the run time and the network.
          [](const RunOutcome& outcome) {
            return Quantile(Join(outcome, &TeamOutcome::answers), 0.99) / (4.6 * kUsualRunSeconds);
          },
          1.2, Better::kLower};
}

// One endpoint fails everything in a millisecond. It is always free again at once, so it draws far
// more than its part of the requests, and their callers get errors.
PatternCase FailingEndpoint() {
  return {"EndpointThatFailsFastGetsNoWork",
          [] {
            Scenario scenario = Usual(0.7);
            scenario.endpoints[0].mode = EndpointMode::kFailsFast;
            scenario.endpoints[0].bad_from = 4.0;
            return scenario;
          },
          [](Scenario& scenario) {
            scenario.options.balancer.ejection = load_balancing::Ejection::kOff;
          },
          PartSentToFirst,
          0.01,
          Better::kLower};
}

// Tasks of five minutes fill every slot when urgent requests come. Without clearing slots for them
// they wait for a task to end, and most pass their deadline.
PatternCase UrgentAmongLong() {
  return {"UrgentStartsAmongLongTasks",
          [] {
            Scenario scenario = Usual(0.0);
            for (TeamLoadSpec& team : scenario.teams) {
              team.mean_run = std::chrono::seconds(300);
              team.timeout = std::chrono::seconds(2000);
              team.rate = 0.5;
            }
            TeamLoadSpec urgent;
            urgent.name = "urgent";
            urgent.rate = 5.0;
            urgent.urgent_part = 1.0;
            scenario.teams.push_back(urgent);
            scenario.warm_up = 60.0;
            scenario.seconds = 80.0;
            return scenario;
          },
          [](Scenario& scenario) {
            scenario.options.scheduling.preemption = scheduling::Preemption::kOff;
          },
          LongestUrgentWait,
          2.2,
          Better::kLower};
}

// One team sends a few long jobs among its short ones, more than its part can run. In one queue
// the short ones stand behind the long ones for seconds.
PatternCase LongAmongShort() {
  return {
      "ShortJobsPassLongOnes",
      [] {
        Scenario scenario = Usual(0.6);
        for (TeamLoadSpec& team : scenario.teams) {
          team.long_part = 0.05;
          team.long_factor = 20.0;
          team.declared_factor = 1.0;
          team.timeout = std::chrono::seconds(20);
        }
        return scenario;
      },
      [](Scenario& scenario) {
        scenario.options.scheduling.long_lane = scheduling::LongLane::kOff;
      },
      [](const RunOutcome& outcome) { return Quantile(Join(outcome, &TeamOutcome::waits), 0.99); },
      4.0,
      Better::kLower};
}

// Every endpoint fails what it gets, at once. Repeated without a budget, each request makes ten
// tries and more, and the endpoints drown in work that fails.
PatternCase RetryStorm() {
  return {"RetriesDoNotMultiplyLoad",
          [] {
            Scenario scenario = Usual(0.5);
            for (EndpointSpec& endpoint : scenario.endpoints) {
              endpoint.mode = EndpointMode::kFailsFast;
            }
            scenario.seconds = 10.0;
            return scenario;
          },
          [](Scenario& scenario) { scenario.options.retry.mode = retry::BudgetMode::kUnlimited; },
          [](const RunOutcome& outcome) {
            double asked = 0.0;
            for (const TeamOutcome& team : outcome.teams) {
              asked += static_cast<double>(team.asked);
            }
            return static_cast<double>(outcome.tries - outcome.full) / asked;
          },
          1.2,
          Better::kLower};
}

// Each team in turn asks more than the whole pool holds for three seconds. With fixed parts for all
// entries and no borrowing, slots idle while requests wait at entries with uneven callers.
PatternCase BurstAtOneEntry() {
  return {"BurstUsesIdleSlotsOfOthers",
          [] {
            Scenario scenario = Usual(0.6);
            for (TeamLoadSpec& team : scenario.teams) {
              team.arrivals = Arrivals::kOneEntry;
            }
            return scenario;
          },
          [](Scenario& scenario) {
            scenario.options.balancer.placement = load_balancing::Placement::kFixedSplit;
          },
          [](const RunOutcome& outcome) { return outcome.InTime(); }, 0.99};
}

INSTANTIATE_TEST_SUITE_P(Patterns, LoadPatternTest,
                         testing::Values(Overload(), OverloadGoodput(), HotAccount(),
                                         OneTeamOnOneEntry(), WrongDeclarations(), SlowEndpoint(),
                                         FailingEndpoint(), UrgentAmongLong(), LongAmongShort(),
                                         RetryStorm(), BurstAtOneEntry()),
                         [](const auto& info) { return info.param.name; });

class ShareTest : public testing::TestWithParam<std::uint64_t> {};

// Teams with other shares reach entries as it happens, some only one of them, and all want more
// than there is. Whoever looks at ten seconds of any team sees its share, within a twentieth.
TEST_P(ShareTest, HoldsForAnySharesAndEntries) {
  SeededRandom random(GetParam());
  Scenario scenario = Usual(3.0);
  scenario.seed = GetParam();
  for (TeamLoadSpec& team : scenario.teams) {
    team.share = static_cast<double>(2 + random.Below(4));
    team.arrivals = random.Below(2) == 0 ? Arrivals::kOneEntry : Arrivals::kAnyEntry;
    team.entry = static_cast<std::uint32_t>(random.Below(scenario.entries));
    // Each asks at least twice what it is due.
    team.rate *= 1.0 + random.Unit();
  }
  EXPECT_LE(Simulate(scenario).WorstShareError(), 0.05);
}

INSTANTIATE_TEST_SUITE_P(Seeds, ShareTest, testing::Range<std::uint64_t>(1, 9));

// The figures of a run are compared between versions and machines; they must not depend on
// anything but the seed.
TEST(SimulationTest, TheSameSeedGivesTheSameOutcome) {
  Scenario scenario = Usual(1.5);
  scenario.seconds = 10.0;
  const RunOutcome first = Simulate(scenario);
  const RunOutcome second = Simulate(scenario);
  EXPECT_EQ(first.tries, second.tries);
  EXPECT_EQ(first.full, second.full);
  EXPECT_EQ(first.Goodput(), second.Goodput());
  EXPECT_EQ(Join(first, &TeamOutcome::answers), Join(second, &TeamOutcome::answers));
}

}  // namespace
}  // namespace chervilspar::bench
