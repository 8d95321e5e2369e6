#include <algorithm>
#include <cmath>
#include <memory>

#include "bench/patterns.h"
#include "bench/simulated_experiment.h"

/// Ways of placement side by side, with reports of several ages; how quickly decisions follow a
/// step in load.
namespace chervilspar::bench {

namespace {

using load_balancing::Placement;

Way PlacementWay(std::string label, Placement placement, Duration report_delay) {
  return {std::move(label), [placement, report_delay](Scenario& scenario) {
            scenario.options.balancer.placement = placement;
            scenario.report_delay = report_delay;
          }};
}

/// Each way, and those that use reports with reports of several ages. Reports are sent every
/// 250 ms; the delay comes on top.
std::vector<Way> PlacementWays() {
  std::vector<Way> ways{
      PlacementWay("split+lending", Placement::kSplitWithLending, Duration::zero()),
      PlacementWay("split+lending +1 s", Placement::kSplitWithLending, std::chrono::seconds(1)),
      PlacementWay("split+lending +2 s", Placement::kSplitWithLending, std::chrono::seconds(2)),
      PlacementWay("fixed split", Placement::kFixedSplit, Duration::zero()),
      PlacementWay("own counts", Placement::kOwnCounts, Duration::zero()),
      PlacementWay("two choices", Placement::kTwoChoices, Duration::zero()),
      PlacementWay("two choices +1 s", Placement::kTwoChoices, std::chrono::seconds(1)),
      PlacementWay("two choices +2 s", Placement::kTwoChoices, std::chrono::seconds(2)),
      PlacementWay("round robin", Placement::kRoundRobin, Duration::zero())};
  return ways;
}

/// Half of each team's requests reach one entry, so that entries are unevenly loaded.
Scenario UnevenEntries(const Options& options, double load) {
  Scenario scenario = UsualFleet(options, load);
  const std::size_t count = scenario.teams.size();
  for (std::size_t index = 0; index < count; index += 2) {
    scenario.teams[index].arrivals = Arrivals::kOneEntry;
    scenario.teams[index].entry = 0;
  }
  return scenario;
}

std::vector<Metric> JudgePlacement(const RunOutcome& outcome) {
  return {{"goodput", outcome.Goodput(), Better::kHigher},
          {"in time", outcome.InTime(), Better::kHigher},
          {"wait p99 s", Quantile(Join(outcome, &TeamOutcome::waits), 0.99), Better::kLower},
          {"full tries", outcome.Full(), Better::kLower},
          {"share error", outcome.WorstShareError(), Better::kLower},
          {"report B/s", outcome.report_bytes_per_second, Better::kLower}};
}

constexpr double kStepAt = 20.0;
constexpr double kStepEnd = 40.0;

/// Two teams; the second, with three times the share, starts asking after 15 s of warm run on one
/// entry, where the first has few callers.
Scenario Step(const Options& options) {
  Scenario scenario = UsualFleet(options, 0.0);
  scenario.teams.resize(2);
  scenario.warm_up = 5.0;
  scenario.seconds = kStepEnd;
  for (TeamLoadSpec& team : scenario.teams) {
    team.rate = scenario.Slots() * 2.0 / 0.1;
  }
  TeamLoadSpec& stepping = scenario.teams[1];
  stepping.share = 3.0;
  stepping.arrivals = Arrivals::kOneEntry;
  stepping.factor = [](double now) { return now >= kStepAt ? 1.0 : 0.0; };
  return scenario;
}

std::vector<Metric> JudgeStep(const RunOutcome& outcome) {
  constexpr double kDue = 0.75;
  constexpr std::size_t kSmoothTicks = 5;
  const std::vector<double>& used = outcome.teams[1].used_by_tick;
  const std::vector<double>& others = outcome.teams[0].used_by_tick;
  const auto begin = static_cast<std::size_t>((kStepAt - 5.0) * kTicksPerSecond);
  std::vector<double> parts;
  for (std::size_t tick = begin; tick + kSmoothTicks <= used.size(); ++tick) {
    double own = 0.0;
    double all = 0.0;
    for (std::size_t next = tick; next < tick + kSmoothTicks; ++next) {
      own += used[next];
      all += used[next] + others[next];
    }
    parts.push_back(own / all);
  }
  std::size_t settled = parts.size();
  while (settled > 0 && std::abs(parts[settled - 1] - kDue) <= 0.1 * kDue) {
    --settled;
  }
  std::size_t reached = 0;
  while (reached < parts.size() && parts[reached] < 0.9 * kDue) {
    ++reached;
  }
  const double highest = *std::max_element(parts.begin(), parts.end());
  double squares = 0.0;
  const std::size_t late = parts.size() / 2;
  for (std::size_t tick = late; tick < parts.size(); ++tick) {
    squares += std::pow(parts[tick] / kDue - 1.0, 2.0);
  }
  const double ripple = std::sqrt(squares / static_cast<double>(parts.size() - late));
  return {{"90% reached s", static_cast<double>(reached) / kTicksPerSecond, Better::kLower},
          {"within 10% s", static_cast<double>(settled) / kTicksPerSecond, Better::kLower},
          {"overshoot", highest / kDue - 1.0, Better::kLower},
          {"ripple", ripple, Better::kLower},
          {"goodput", outcome.Goodput(), Better::kHigher}};
}

}  // namespace

void AddPlacementPatterns(ExperimentList& list) {
  for (const double load : {0.6, 0.9, 2.0}) {
    std::string name = "placement-" + std::to_string(load).substr(0, 3);
    list.push_back(std::make_unique<SimulatedExperiment>(
        std::move(name), "ways of placement; half of the teams reach one entry only",
        [load](const Options& options) { return UnevenEntries(options, load); }, JudgePlacement,
        PlacementWays()));
  }
  list.push_back(std::make_unique<SimulatedExperiment>(
      "step", "a team with three quarters of the shares begins to ask, on one entry", Step,
      JudgeStep));
}

}  // namespace chervilspar::bench
