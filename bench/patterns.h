#pragma once

#include <memory>
#include <vector>

#include "bench/experiment.h"

namespace chervilspar::bench {

using ExperimentList = std::vector<std::unique_ptr<Experiment>>;

/// Each adds its experiments to the list.
void AddOverloadPatterns(ExperimentList& list);
void AddFaultPatterns(ExperimentList& list);
void AddWorkPatterns(ExperimentList& list);
void AddPlacementPatterns(ExperimentList& list);
void AddCostExperiment(ExperimentList& list);
void AddRecordExperiments(ExperimentList& list);
void AddLendingPatterns(ExperimentList& list);
void AddWavePatterns(ExperimentList& list);

}  // namespace chervilspar::bench
