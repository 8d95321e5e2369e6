#pragma once

#include <string>
#include <vector>

#include "bench/table_experiment.h"

namespace chervilspar::bench {

/// One figure over all seeds.
struct Series {
  std::string name;
  Better better = Better::kLower;
  std::vector<double> values;
};

/// One variant.
struct PlotRow {
  std::string label;
  std::vector<Series> series;
};

/// Writes an SVG with one panel for each figure, one row for each variant and one dot for each
/// seed.
void WriteDotPlot(const std::string& path, const std::string& title,
                  const std::vector<PlotRow>& rows);

}  // namespace chervilspar::bench
