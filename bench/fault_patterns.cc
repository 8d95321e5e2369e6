#include <memory>

#include "bench/patterns.h"
#include "bench/simulated_experiment.h"

/// Endpoints that are slow, fail everything or never answer; recovery after an outage.
namespace chervilspar::bench {

namespace {

/// From then on the first endpoint is bad.
constexpr double kBadFrom = 6.0;
/// Shares of work are counted from one second later.
constexpr double kSettled = 1.0;

std::vector<Way> WithoutEjection() {
  std::vector<Way> ways = ProductAndPlain();
  ways.push_back({"no ejection", [](Scenario& scenario) {
                    scenario.options.balancer.ejection = load_balancing::Ejection::kOff;
                  }});
  return ways;
}

Scenario Healthy(const Options& options) {
  Scenario scenario = UsualFleet(options, 0.7);
  scenario.warm_up = kBadFrom;
  scenario.seconds = 60.0;
  return scenario;
}

Scenario WithSlowEndpoint(const Options& options) {
  Scenario scenario = Healthy(options);
  scenario.endpoints[0].slowness = 10.0;
  scenario.endpoints[0].bad_from = kBadFrom;
  return scenario;
}

Scenario WithBadEndpoint(const Options& options, EndpointMode mode) {
  Scenario scenario = Healthy(options);
  scenario.endpoints[0].mode = mode;
  scenario.endpoints[0].bad_from = kBadFrom;
  scenario.warm_up = kBadFrom + kSettled;
  return scenario;
}

Scenario Outage(const Options& options) {
  Scenario scenario = UsualFleet(options, 0.7);
  scenario.seconds = 50.0;
  scenario.warm_up = 10.0;
  for (EndpointSpec& endpoint : scenario.endpoints) {
    endpoint.mode = EndpointMode::kSilent;
    endpoint.bad_from = 10.0;
    endpoint.bad_until = 20.0;
  }
  for (TeamLoadSpec& team : scenario.teams) {
    team.after_refusal = AfterRefusal::kHonour;
    team.most_asks = 10;
  }
  return scenario;
}

double Ratio(double with, double without) { return without > 0.0 ? with / without : 0.0; }

/// Seconds from the fault to the first ejection; -1 when there was none.
double EjectedAfter(const RunOutcome& outcome) {
  return outcome.ejections > 0 ? outcome.first_ejection - kBadFrom : -1.0;
}

std::vector<Metric> JudgeSlow(const RunOutcome& without, const RunOutcome& with) {
  const double healthy = Quantile(Join(without, &TeamOutcome::answers), 0.99);
  const double slow = Quantile(Join(with, &TeamOutcome::answers), 0.99);
  return {{"p99 healthy s", healthy, Better::kLower},
          {"p99 slow s", slow, Better::kLower},
          {"ratio", Ratio(slow, healthy), Better::kLower},
          {"in time", with.InTime(), Better::kHigher},
          {"ejected after s", EjectedAfter(with), Better::kLower},
          {"ejections", static_cast<double>(with.ejections), Better::kLower},
          {"ejections healthy", static_cast<double>(without.ejections), Better::kLower}};
}

std::vector<Metric> JudgeBad(const RunOutcome& outcome) {
  const double part = static_cast<double>(outcome.sent_to[0]) / static_cast<double>(outcome.tries);
  return {{"part of tries", part, Better::kLower},
          {"in time", outcome.InTime(), Better::kHigher},
          {"wait p99 s", Quantile(Join(outcome, &TeamOutcome::waits), 0.99), Better::kLower},
          {"ejected after s", EjectedAfter(outcome), Better::kLower},
          {"ejections", static_cast<double>(outcome.ejections), Better::kLower}};
}

std::vector<Metric> JudgeRecovery(const RunOutcome& outcome) {
  return {{"in time", outcome.InTime(), Better::kHigher},
          {"refused", outcome.RefusedPart(), Better::kLower},
          {"wasted slot s", outcome.wasted_seconds, Better::kLower},
          {"answer p99 s", Quantile(Join(outcome, &TeamOutcome::answers), 0.99), Better::kLower}};
}

void AddBad(ExperimentList& list, std::string name, std::string about, EndpointMode mode) {
  list.push_back(std::make_unique<SimulatedExperiment>(
      std::move(name), std::move(about),
      [mode](const Options& options) { return WithBadEndpoint(options, mode); }, JudgeBad,
      WithoutEjection()));
}

}  // namespace

void AddFaultPatterns(ExperimentList& list) {
  list.push_back(std::make_unique<ComparedExperiment>(
      "slow-endpoint", "one endpoint of ten becomes 10 times slower, load 0.7", Healthy,
      WithSlowEndpoint, JudgeSlow, WithoutEjection()));
  AddBad(list, "fails-fast", "one endpoint of ten fails everything in 1 ms, from 1 s later on",
         EndpointMode::kFailsFast);
  AddBad(list, "silent", "one endpoint of ten takes tasks and never answers, from 1 s later on",
         EndpointMode::kSilent);
  list.push_back(std::make_unique<SimulatedExperiment>(
      "outage", "no endpoint answers for 10 s, then all callers come back", Outage, JudgeRecovery));
}

}  // namespace chervilspar::bench
