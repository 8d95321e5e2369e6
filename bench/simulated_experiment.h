#pragma once

#include <functional>
#include <string>
#include <utility>
#include <vector>

#include "bench/outcome.h"
#include "bench/scenario.h"
#include "bench/table_experiment.h"

namespace chervilspar::bench {

/// A way of deciding to compare: a label, and what it changes in the scenario.
struct Way {
  std::string label;
  std::function<void(Scenario&)> change;
};

/// The product as it stands, and the plain baseline.
std::vector<Way> ProductAndPlain();

/// A pattern of load that is one scenario, run with several ways of deciding.
class SimulatedExperiment final : public TableExperiment {
 public:
  using MakeScenario = std::function<Scenario(const Options&)>;
  using Judge = std::function<std::vector<Metric>(const RunOutcome&)>;

  SimulatedExperiment(std::string name, std::string about, MakeScenario make, Judge judge,
                      std::vector<Way> ways = ProductAndPlain())
      : name(std::move(name)),
        about(std::move(about)),
        make(std::move(make)),
        judge(std::move(judge)),
        ways(std::move(ways)) {}

  std::string Name() const override { return this->name; }

 protected:
  std::string About() const override { return this->about; }
  std::vector<Variant> Variants(const Options& options) const override;

 private:
  std::string name;
  std::string about;
  MakeScenario make;
  Judge judge;
  std::vector<Way> ways;
};

/// Two scenarios run with several ways of deciding: one without what the pattern is about, to be
/// compared with.
class ComparedExperiment final : public TableExperiment {
 public:
  using MakeScenario = std::function<Scenario(const Options&)>;
  using Judge =
      std::function<std::vector<Metric>(const RunOutcome& without, const RunOutcome& with)>;

  ComparedExperiment(std::string name, std::string about, MakeScenario make_without,
                     MakeScenario make_with, Judge judge, std::vector<Way> ways = ProductAndPlain())
      : name(std::move(name)),
        about(std::move(about)),
        make_without(std::move(make_without)),
        make_with(std::move(make_with)),
        judge(std::move(judge)),
        ways(std::move(ways)) {}

  std::string Name() const override { return this->name; }

 protected:
  std::string About() const override { return this->about; }
  std::vector<Variant> Variants(const Options& options) const override;

 private:
  std::string name;
  std::string about;
  MakeScenario make_without;
  MakeScenario make_with;
  Judge judge;
  std::vector<Way> ways;
};

/// `count` teams named `t0`, `t1`, ... that share `load` times the capacity of `slots` evenly, all
/// with a share of one.
std::vector<TeamLoadSpec> EqualTeams(std::uint32_t count, double slots, double load);

/// The brief's size: ten endpoints, six entries over three zones, six teams, unless the command
/// line says otherwise.
Scenario UsualFleet(const Options& options, double load);

/// Goodput, accepted answered in time, refused, 99th percentile of waits and of refusals.
std::vector<Metric> UsualMetrics(const RunOutcome& outcome);

}  // namespace chervilspar::bench
