#include <memory>

#include "bench/patterns.h"
#include "bench/simulated_experiment.h"

/// Overload that lasts, callers that ask again at once, one team on one entry, one hot account.
namespace chervilspar::bench {

namespace {

Scenario OneTeamOnOneEntry(const Options& options) {
  Scenario scenario = UsualFleet(options, 3.0);
  // Shares differ by a factor of six; the largest team reaches only one entry.
  for (std::size_t index = 0; index < scenario.teams.size(); ++index) {
    scenario.teams[index].share = static_cast<double>(index % 6 + 1);
  }
  scenario.teams.back().arrivals = Arrivals::kOneEntry;
  scenario.teams.back().entry = 1;
  scenario.teams.back().rate *= 2.0;
  scenario.seconds = 45.0;
  return scenario;
}

std::vector<Metric> ShareMetrics(const RunOutcome& outcome) {
  return {{"share error", outcome.WorstShareError(), Better::kLower},
          {"goodput", outcome.Goodput(), Better::kHigher},
          {"accepted in time", outcome.AcceptedInTime(), Better::kHigher},
          {"full tries", outcome.Full(), Better::kLower},
          {"report B/s", outcome.report_bytes_per_second, Better::kLower}};
}

void Add(ExperimentList& list, std::string name, std::string about,
         SimulatedExperiment::MakeScenario make, SimulatedExperiment::Judge judge) {
  list.push_back(std::make_unique<SimulatedExperiment>(std::move(name), std::move(about),
                                                       std::move(make), std::move(judge)));
}

Scenario AskingAtOnce(const Options& options) {
  Scenario scenario = UsualFleet(options, 1.5);
  for (TeamLoadSpec& team : scenario.teams) {
    team.after_refusal = AfterRefusal::kAskAtOnce;
  }
  return scenario;
}

}  // namespace

void AddOverloadPatterns(ExperimentList& list) {
  Add(
      list, "overload-1.5", "all teams together ask 1.5 times the capacity, and go on",
      [](const Options& options) { return UsualFleet(options, 1.5); }, UsualMetrics);
  Add(
      list, "overload-5", "all teams together ask 5 times the capacity, and go on",
      [](const Options& options) { return UsualFleet(options, 5.0); }, UsualMetrics);
  Add(list, "ask-at-once", "1.5 times the capacity, refused callers ask again after 50 ms",
      AskingAtOnce, UsualMetrics);
  Add(list, "share", "3 times the capacity, shares 1 to 6, the largest team on one entry only",
      OneTeamOnOneEntry, ShareMetrics);
}

}  // namespace chervilspar::bench
