#include <cstdio>

#include <CLI/CLI.hpp>

#include "bench/experiment.h"
#include "bench/loopback_inventory.h"
#include "bench/patterns.h"
#include "bench/slopes.h"

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

/// What docs/CAPACITY.md is worked out from, each quantity at four sizes or more.
ExperimentList AllSlopes() {
  ExperimentList list;
  chervilspar::bench::AddStateSlopes(list);
  chervilspar::bench::AddStartSlopes(list);
  chervilspar::bench::AddExchangeSlopes(list);
  chervilspar::bench::AddRecordExperiments(list);
  chervilspar::bench::AddCostExperiment(list);
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

int WriteInventory(const std::string& path, std::uint32_t vms, std::uint32_t entries) {
  const auto written = chervilspar::bench::WriteLoopbackInventory(path, vms, entries);
  if (!written) {
    std::fprintf(stderr, "%s\n", written.LastReason().message.c_str());
    return 1;
  }
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app{"Runs patterns of load through the decision modules in virtual time."};
  Options options;
  std::string pattern;
  bool slopes = false;
  app.add_option("--seed", options.seed, "first seed")->capture_default_str();
  app.add_option("--seeds", options.seeds, "how many seeds")->capture_default_str();
  app.add_option("--pattern", pattern, "run only this pattern");
  app.add_option("--teams", options.teams, "teams, instead of the pattern's own number");
  app.add_option("--workers", options.workers, "workers, instead of the pattern's own number");
  app.add_option("--out", options.out_dir, "folder for JSON lines and plots")
      ->capture_default_str();
  std::string inventory_path;
  std::uint32_t entries = 6;
  app.add_option("--write-inventory", inventory_path,
                 "write a made-up inventory of --workers VMs and --entries entries on loopback");
  app.add_option("--entries", entries, "entries of that inventory")->capture_default_str();
  app.add_flag("--slopes", slopes, "measure how each quantity grows instead of running patterns");
  CLI11_PARSE(app, argc, argv);
  if (!inventory_path.empty()) {
    return WriteInventory(inventory_path, options.workers, entries);
  }
  return Run(slopes ? AllSlopes() : AllExperiments(), options, pattern);
}
