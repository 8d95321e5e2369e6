#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "bench/experiment.h"

namespace chervilspar::bench {

enum class Better { kHigher, kLower };

/// One figure of one run.
struct Metric {
  std::string name;
  double value = 0.0;
  Better better = Better::kLower;
};

/// One way of deciding, run on each seed.
struct Variant {
  std::string label;
  std::function<std::vector<Metric>(std::uint64_t seed)> run;
};

/// An experiment that runs variants on the same seeds and shows them side by side: a table of
/// medians and worst values, JSON lines with every run, and a plot.
class TableExperiment : public Experiment {
 public:
  void Run(const Options& options) final;

 protected:
  /// One sentence on what is asked of the fleet.
  virtual std::string About() const = 0;
  virtual std::vector<Variant> Variants(const Options& options) const = 0;
};

}  // namespace chervilspar::bench
