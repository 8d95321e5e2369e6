#include "bench/simulated_experiment.h"

#include "bench/simulation.h"

namespace chervilspar::bench {

namespace {

constexpr std::uint32_t kUsualEndpoints = 10;
constexpr std::uint32_t kUsualTeams = 6;

}  // namespace

std::vector<Way> ProductAndPlain() {
  return {{"product", [](Scenario&) {}},
          {"plain", [](Scenario& scenario) { scenario.options = PlainOptions(); }}};
}

std::vector<Variant> SimulatedExperiment::Variants(const Options& options) const {
  std::vector<Variant> variants;
  for (const Way& way : this->ways) {
    variants.push_back({way.label, [this, options, way](std::uint64_t seed) {
                          Scenario scenario = this->make(options);
                          scenario.seed = seed;
                          way.change(scenario);
                          return this->judge(Simulate(scenario));
                        }});
  }
  return variants;
}

std::vector<Variant> ComparedExperiment::Variants(const Options& options) const {
  std::vector<Variant> variants;
  for (const Way& way : this->ways) {
    variants.push_back({way.label, [this, options, way](std::uint64_t seed) {
                          Scenario without = this->make_without(options);
                          Scenario with = this->make_with(options);
                          without.seed = seed;
                          with.seed = seed;
                          way.change(without);
                          way.change(with);
                          return this->judge(Simulate(without), Simulate(with));
                        }});
  }
  return variants;
}

std::vector<TeamLoadSpec> EqualTeams(std::uint32_t count, double slots, double load) {
  std::vector<TeamLoadSpec> teams;
  for (std::uint32_t index = 0; index < count; ++index) {
    TeamLoadSpec team;
    team.name = "t" + std::to_string(index);
    const double mean_seconds = static_cast<double>(team.mean_run.count()) / 1e6;
    team.rate = slots * load / mean_seconds / count;
    teams.push_back(std::move(team));
  }
  return teams;
}

Scenario UsualFleet(const Options& options, double load) {
  Scenario scenario;
  scenario.endpoints = Endpoints(options.workers > 0 ? options.workers : kUsualEndpoints);
  scenario.teams =
      EqualTeams(options.teams > 0 ? options.teams : kUsualTeams, scenario.Slots(), load);
  return scenario;
}

std::vector<Metric> UsualMetrics(const RunOutcome& outcome) {
  const double refused_at = Quantile(Join(outcome, &TeamOutcome::refusal_times), 0.99);
  return {{"goodput", outcome.Goodput(), Better::kHigher},
          {"accepted in time", outcome.AcceptedInTime(), Better::kHigher},
          {"refused", outcome.RefusedPart(), Better::kLower},
          {"refused later", outcome.RefusedLater(), Better::kLower},
          {"wait p50 s", Quantile(Join(outcome, &TeamOutcome::waits), 0.5), Better::kLower},
          {"wait p99 s", Quantile(Join(outcome, &TeamOutcome::waits), 0.99), Better::kLower},
          {"refused after p99 s", refused_at, Better::kLower},
          {"full tries", outcome.Full(), Better::kLower}};
}

}  // namespace chervilspar::bench
