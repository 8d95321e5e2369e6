#include <algorithm>
#include <cmath>
#include <memory>

#include "bench/patterns.h"
#include "bench/simulated_experiment.h"

/// Bursts, a hot account, long jobs among short ones, wrong declarations, cancellations, urgent
/// work.
namespace chervilspar::bench {

namespace {

/// Each queue asks five times its mean for three seconds and a twentieth in between.
Scenario BurstsInTurn(const Options& options) {
  constexpr double kTurn = 6.0;
  constexpr double kBurst = 3.0;
  Scenario scenario = UsualFleet(options, 0.0);
  const auto count = static_cast<double>(scenario.teams.size());
  scenario.seconds = 5.0 + kTurn * count;
  for (std::size_t index = 0; index < scenario.teams.size(); ++index) {
    // A burst is 1.5 times what the whole pool holds.
    scenario.teams[index].rate = scenario.Slots() * 0.3 / 0.1;
    scenario.teams[index].factor = [index, count](double now) {
      const double turn = std::fmod(now / kTurn, count) - static_cast<double>(index);
      return turn >= 0.0 && turn * kTurn < kBurst ? 5.0 : 0.05;
    };
  }
  return scenario;
}

Scenario Accounts(const Options& options, double load, double hot_factor) {
  Scenario scenario = UsualFleet(options, load);
  scenario.teams[0].rate *= hot_factor;
  return scenario;
}

std::vector<double> OthersOf(const RunOutcome& outcome, std::vector<double> TeamOutcome::*values) {
  RunOutcome others = outcome;
  others.teams.erase(others.teams.begin());
  return Join(others, values);
}

double Ratio(double with, double without) { return without > 0.0 ? with / without : 0.0; }

std::vector<Metric> JudgeHot(const RunOutcome& without, const RunOutcome& with) {
  const double wait_before = Quantile(OthersOf(without, &TeamOutcome::waits), 0.99);
  const double wait = Quantile(OthersOf(with, &TeamOutcome::waits), 0.99);
  const double answer_before = Quantile(OthersOf(without, &TeamOutcome::answers), 0.99);
  const double answer = Quantile(OthersOf(with, &TeamOutcome::answers), 0.99);
  RunOutcome others = with;
  others.teams.erase(others.teams.begin());
  return {{"wait p99 before", wait_before, Better::kLower},
          {"wait p99 hot", wait, Better::kLower},
          {"wait ratio", Ratio(wait, wait_before), Better::kLower},
          {"answer p99 ratio", Ratio(answer, answer_before), Better::kLower},
          {"others in time", others.InTime(), Better::kHigher}};
}

Scenario ShortJobs(const Options& options) { return UsualFleet(options, 0.4); }

/// Each team's requests: 5% run 20 times longer, which doubles the load.
Scenario LongAmongShort(const Options& options) {
  Scenario scenario = ShortJobs(options);
  for (TeamLoadSpec& team : scenario.teams) {
    team.rate /= 0.95;
    team.long_part = 0.05;
    team.long_factor = 20.0;
    team.timeout = std::chrono::seconds(20);
  }
  return scenario;
}

std::vector<Metric> JudgeShort(const RunOutcome& without, const RunOutcome& with) {
  const double before = Quantile(Join(without, &TeamOutcome::answers), 0.99);
  const double now = Quantile(Join(with, &TeamOutcome::answers), 0.99);
  return {{"p99 short s", before, Better::kLower},
          {"p99 with long s", now, Better::kLower},
          {"ratio", Ratio(now, before), Better::kLower},
          {"wait p99 s", Quantile(Join(with, &TeamOutcome::waits), 0.99), Better::kLower},
          {"long wait p99 s", Quantile(Join(with, &TeamOutcome::long_waits), 0.99), Better::kLower},
          {"in time", with.InTime(), Better::kHigher}};
}

/// Long and short jobs together ask more than the pool can run; the declared run times are right.
Scenario LongOverload(const Options& options) {
  Scenario scenario = UsualFleet(options, 0.6);
  for (TeamLoadSpec& team : scenario.teams) {
    team.long_part = 0.05;
    team.long_factor = 20.0;
    team.declared_factor = 1.0;
    team.timeout = std::chrono::seconds(20);
  }
  return scenario;
}

std::vector<Metric> JudgeLanes(const RunOutcome& outcome) {
  const std::vector<double> waits = Join(outcome, &TeamOutcome::waits);
  const std::vector<double> long_waits = Join(outcome, &TeamOutcome::long_waits);
  return {{"short wait p50 s", Quantile(waits, 0.5), Better::kLower},
          {"short wait p99 s", Quantile(waits, 0.99), Better::kLower},
          {"long wait p50 s", Quantile(long_waits, 0.5), Better::kLower},
          {"long wait p99 s", Quantile(long_waits, 0.99), Better::kLower},
          {"goodput", outcome.Goodput(), Better::kHigher},
          {"refused", outcome.RefusedPart(), Better::kLower}};
}

std::vector<Way> WithoutLanes() {
  std::vector<Way> ways = ProductAndPlain();
  ways.push_back({"one lane", [](Scenario& scenario) {
                    scenario.options.scheduling.long_lane = scheduling::LongLane::kOff;
                  }});
  return ways;
}

/// Each team declares its run times wrong by another factor.
Scenario WrongDeclarations(const Options& options) {
  constexpr double kFactors[] = {0.01, 0.1, 0.5, 1.0, 10.0, 100.0};
  Scenario scenario = UsualFleet(options, 3.0);
  for (std::size_t index = 0; index < scenario.teams.size(); ++index) {
    scenario.teams[index].declared_factor = kFactors[index % 6];
  }
  return scenario;
}

std::vector<Metric> JudgeShare(const RunOutcome& outcome) {
  return {{"share error", outcome.WorstShareError(), Better::kLower},
          {"goodput", outcome.Goodput(), Better::kHigher},
          {"accepted in time", outcome.AcceptedInTime(), Better::kHigher}};
}

Scenario Cancellations(const Options& options) {
  Scenario scenario = UsualFleet(options, 1.5);
  for (TeamLoadSpec& team : scenario.teams) {
    team.cancel_part = 0.5;
  }
  return scenario;
}

/// Lower work of some minutes a task fills every slot; one team asks for little, all urgent.
Scenario UrgentAmongLong(const Options& options) {
  Scenario scenario = UsualFleet(options, 0.0);
  for (TeamLoadSpec& team : scenario.teams) {
    team.mean_run = std::chrono::seconds(300);
    team.timeout = std::chrono::seconds(2000);
    team.rate = scenario.Slots() * 10.0 / 300.0 / static_cast<double>(scenario.teams.size());
  }
  TeamLoadSpec urgent;
  urgent.name = "urgent";
  urgent.rate = 5.0;
  urgent.urgent_part = 1.0;
  scenario.teams.push_back(urgent);
  scenario.warm_up = 60.0;
  scenario.seconds = 120.0;
  return scenario;
}

std::vector<Metric> JudgeUrgent(const RunOutcome& outcome) {
  const std::vector<double> waits = Join(outcome, &TeamOutcome::urgent_waits);
  const TeamOutcome& urgent = outcome.teams.back();
  const double started = static_cast<double>(waits.size()) / static_cast<double>(urgent.asked);
  return {{"urgent wait p50 s", Quantile(waits, 0.5), Better::kLower},
          {"p99 s", Quantile(waits, 0.99), Better::kLower},
          {"longest s", Quantile(waits, 1.0), Better::kLower},
          {"started", started, Better::kHigher},
          {"goodput", outcome.Goodput(), Better::kHigher}};
}

std::vector<Way> WithoutPreemption() {
  std::vector<Way> ways = ProductAndPlain();
  ways.push_back({"no preemption", [](Scenario& scenario) {
                    scenario.options.scheduling.preemption = scheduling::Preemption::kOff;
                  }});
  return ways;
}

std::vector<Way> WithDeclaredCost() {
  std::vector<Way> ways = ProductAndPlain();
  ways.push_back({"declared cost", [](Scenario& scenario) {
                    scenario.options.scheduling.cost = scheduling::CostBasis::kDeclared;
                  }});
  return ways;
}

void AddHot(ExperimentList& list, std::string name, std::string about, double load) {
  list.push_back(std::make_unique<ComparedExperiment>(
      std::move(name), std::move(about),
      [load](const Options& options) { return Accounts(options, load, 1.0); },
      [load](const Options& options) { return Accounts(options, load, 20.0); }, JudgeHot));
}

}  // namespace

void AddWorkPatterns(ExperimentList& list) {
  list.push_back(std::make_unique<SimulatedExperiment>(
      "burst", "each team in turn asks 1.5 times the pool for 3 s, and little in between",
      BurstsInTurn, UsualMetrics));
  AddHot(list, "hot-account", "one account of six asks 20 times as much; before, load 0.6", 0.6);
  AddHot(list, "hot-account-full", "one account of six asks 20 times as much; before, load 1.2",
         1.2);
  list.push_back(std::make_unique<ComparedExperiment>(
      "long-among-short", "short jobs alone at load 0.4, and with 5% that run 20 times longer",
      ShortJobs, LongAmongShort, JudgeShort));
  list.push_back(std::make_unique<SimulatedExperiment>(
      "long-overload", "5% of the jobs run 20 times longer, together 1.2 times the capacity",
      LongOverload, JudgeLanes, WithoutLanes()));
  list.push_back(std::make_unique<SimulatedExperiment>(
      "wrong-sizes", "declared run times wrong by 0.01 to 100 times, 3 times the capacity",
      WrongDeclarations, JudgeShare, WithDeclaredCost()));
  list.push_back(std::make_unique<SimulatedExperiment>(
      "cancellations", "1.5 times the capacity, half of the callers leave after 200 ms",
      Cancellations, UsualMetrics));
  list.push_back(std::make_unique<SimulatedExperiment>(
      "urgent", "tasks of 300 s fill every slot; 5 urgent requests a second", UrgentAmongLong,
      JudgeUrgent, WithoutPreemption()));
}

}  // namespace chervilspar::bench
