#include <memory>
#include <string>

#include "bench/patterns.h"
#include "bench/table_experiment.h"
#include "bench/wave_fleet.h"
#include "bench/wave_front.h"
#include "bench/wave_run.h"

namespace chervilspar::bench {

namespace {

/// VMs that a plain rolling wave holds at once: as many as a careful operator would dare with 50
/// VMs.
constexpr std::uint32_t kRollingWidth = 5;

std::vector<Metric> MetricsOf(const WaveRunOutcome& outcome) {
  return {
      {"roll-out min", outcome.roll_out_minutes, Better::kLower},
      {"over lower bound", outcome.over_lower_bound, Better::kLower},
      {"buffer VMs", outcome.buffer_vms, Better::kLower},
      {"moves", outcome.moves, Better::kLower},
      {"share loss 10s %", outcome.worst_share_loss, Better::kLower},
      {"share loss mean %", outcome.mean_share_loss, Better::kLower},
      {"below budget s", outcome.below_budget_seconds, Better::kLower},
      {"weighted cost", outcome.weighted_cost, Better::kLower},
  };
}

/// Each VM of a fleet at today's size maintained once.
class WaveExperiment final : public TableExperiment {
 public:
  WaveExperiment(Deployment deployment, WaveTrouble trouble)
      : deployment(deployment), trouble(trouble) {}

  std::string Name() const override {
    const std::string name =
        this->deployment == Deployment::kFjallabunadur ? "wave-fjallabunadur" : "wave-costa-azul";
    return this->trouble == WaveTrouble::kNone ? name : name + "-rack-failure";
  }

 protected:
  std::string About() const override {
    return this->trouble == WaveTrouble::kNone
               ? "each VM of some 50 rebooted once, all pools bursting in turn"
               : "the same, and a rack of four fails for ten minutes in the middle";
  }

  std::vector<Variant> Variants(const Options& /*options*/) const override {
    const auto variant = [this](std::string label, const std::shared_ptr<WaveStrategy>& strategy) {
      return Variant{std::move(label), [this, strategy](std::uint64_t seed) {
                       return MetricsOf(RunWave(this->deployment, this->trouble, strategy, seed));
                     }};
    };
    return {variant("product", std::make_shared<ProductStrategy>()),
            variant("one VM at a time", std::make_shared<FixedWidthStrategy>(1)),
            variant("rolling wave of 5", std::make_shared<FixedWidthStrategy>(kRollingWidth))};
  }

 private:
  Deployment deployment;
  WaveTrouble trouble;
};

}  // namespace

void AddWavePatterns(ExperimentList& list) {
  for (const WaveTrouble trouble : {WaveTrouble::kNone, WaveTrouble::kRackFailure}) {
    for (const Deployment deployment : {Deployment::kFjallabunadur, Deployment::kCostaAzul}) {
      list.push_back(std::make_unique<WaveExperiment>(deployment, trouble));
    }
  }
  list.push_back(std::make_unique<WaveFront>());
}

}  // namespace chervilspar::bench
