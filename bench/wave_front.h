#pragma once

#include "bench/experiment.h"

namespace chervilspar::bench {

/// The trade-off between buffer, time, moves and share: sweeps the weights, prints each point's
/// medians, and draws buffer against time with the two deployments and the baselines marked.
class WaveFront final : public Experiment {
 public:
  std::string Name() const override { return "wave-front"; }
  void Run(const Options& options) override;
};

}  // namespace chervilspar::bench
