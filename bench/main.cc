#include <cstdio>

#include <CLI/CLI.hpp>

#include "bench/experiment.h"
#include "bench/patterns.h"

namespace {

using chervilspar::bench::ExperimentList;
using chervilspar::bench::Options;

/// Every experiment of the bench, in the order in which they run.
ExperimentList AllExperiments() {
  ExperimentList list;
  chervilspar::bench::AddOverloadPatterns(list);
  chervilspar::bench::AddWorkPatterns(list);
  chervilspar::bench::AddFaultPatterns(list);
  chervilspar::bench::AddPlacementPatterns(list);
  chervilspar::bench::AddCostExperiment(list);
  chervilspar::bench::AddRecordExperiments(list);
  chervilspar::bench::AddLendingPatterns(list);
  chervilspar::bench::AddWavePatterns(list);
  return list;
}

int Run(const ExperimentList& list, const Options& options, const std::string& pattern) {
  int matches = 0;
  for (const auto& experiment : list) {
    if (pattern.empty() || experiment->Name() == pattern) {
      experiment->Run(options);
      ++matches;
    }
  }
  if (matches > 0) {
    return 0;
  }
  std::fprintf(stderr, "no pattern '%s'; there are:", pattern.c_str());
  for (const auto& experiment : list) {
    std::fprintf(stderr, " %s", experiment->Name().c_str());
  }
  std::fprintf(stderr, "\n");
  return 2;
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app{"Runs patterns of load through the decision modules in virtual time."};
  Options options;
  std::string pattern;
  app.add_option("--seed", options.seed, "first seed")->capture_default_str();
  app.add_option("--seeds", options.seeds, "how many seeds")->capture_default_str();
  app.add_option("--pattern", pattern, "run only this pattern");
  app.add_option("--teams", options.teams, "teams, instead of the pattern's own number");
  app.add_option("--workers", options.workers, "workers, instead of the pattern's own number");
  app.add_option("--out", options.out_dir, "folder for JSON lines and plots")
      ->capture_default_str();
  CLI11_PARSE(app, argc, argv);
  return Run(AllExperiments(), options, pattern);
}
