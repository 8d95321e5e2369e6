#include <cstdio>
#include <optional>
#include <string>

#include <CLI/CLI.hpp>

#include "tests/prove/runner.h"

namespace {

using chervilspar::prove::Coverage;
using chervilspar::prove::FailingSeed;
using chervilspar::prove::GuardNames;
using chervilspar::prove::KnownSeed;
using chervilspar::prove::ProveOptions;
using chervilspar::prove::Tally;
using chervilspar::prove::Without;

/// Shows for each guard that the proof fails without it. The number of guards whose absence went
/// unnoticed.
int ProveGuardsNeeded(const ProveOptions& options) {
  int unnoticed = 0;
  int noticed = 0;
  for (const std::string& name : GuardNames()) {
    const std::optional<std::uint64_t> seed = FailingSeed(options, KnownSeed(name), Without(name));
    if (seed) {
      ++noticed;
      std::printf("without %-22s fails with seed %llu\n", name.c_str(),
                  static_cast<unsigned long long>(*seed));
    } else {
      ++unnoticed;
      std::printf("without %-22s PASSES all %llu runs\n", name.c_str(),
                  static_cast<unsigned long long>(options.runs));
    }
    std::fflush(stdout);
  }
  std::printf("%d passed, %d failed\n", noticed, unnoticed);
  return unnoticed;
}

int ProveAll(const ProveOptions& options, const std::string& without) {
  Coverage coverage;
  const Tally tally = Prove(options, Without(without), coverage);
  coverage.Print();
  std::printf("seeds %llu to %llu, %llu faults, %llu steps of the simulation\n",
              static_cast<unsigned long long>(options.seed),
              static_cast<unsigned long long>(options.seed + options.runs - 1),
              static_cast<unsigned long long>(tally.faults),
              static_cast<unsigned long long>(tally.events));
  std::printf("%llu passed, %llu failed\n", static_cast<unsigned long long>(tally.passed),
              static_cast<unsigned long long>(tally.failed));
  return tally.failed == 0 ? 0 : 1;
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app("Long randomised runs of the decision modules, judged from outside.");
  ProveOptions options;
  std::string without;
  bool guards = false;
  app.add_option("--seed", options.seed, "Seed of the first run; the others count up from it");
  app.add_option("--runs", options.runs, "Runs");
  app.add_option("--steps", options.steps, "Most faults in one run")->check(CLI::Range(1, 1000));
  app.add_option("--without", without, "Run without this guard, to see the proof fail")
      ->check(CLI::IsMember(GuardNames()));
  app.add_flag("--guards", guards, "Show for each guard that the proof fails without it");
  CLI11_PARSE(app, argc, argv);
  if (guards) {
    return ProveGuardsNeeded(options) == 0 ? 0 : 1;
  }
  return ProveAll(options, without);
}
