#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "bench/experiment.h"
#include "bench/patterns.h"

namespace chervilspar::bench {

/// A measured value at one size.
struct SlopePoint {
  double size = 0;
  double value = 0;
};

/// One quantity measured at several sizes.
struct Slope {
  std::string quantity;
  std::string unit;
  /// What the size counts: "VMs", "entries" ...
  std::string variable;
  std::vector<SlopePoint> points;
};

/// The line value = offset + slope * size (least squares), and the exponent of the power law that
/// fits best.
struct SlopeFit {
  double offset = 0;
  double slope = 0;
  /// Largest distance of a point from the line, as a part of the largest value.
  double error = 0;
  double exponent = 0;
};

SlopeFit FitSlope(const std::vector<SlopePoint>& points);

/// Prints the points, the fit with its error and the kind of growth, and adds JSON lines.
void ReportSlope(const Slope& slope, const std::string& out_dir);

/// The median time of `runs` calls in microseconds.
double MedianMicroseconds(int runs, const std::function<void()>& work);

/// Bytes of heap that what `make` returns keeps in use.
template <typename Make>
double HeapBytesOf(const Make& make);
double HeapBytesInUse();

template <typename Make>
double HeapBytesOf(const Make& make) {
  const double before = HeapBytesInUse();
  const auto value = make();
  return HeapBytesInUse() - before;
}

/// Each adds its experiments to the list of `--slopes`.
void AddStateSlopes(ExperimentList& list);
void AddExchangeSlopes(ExperimentList& list);
void AddStartSlopes(ExperimentList& list);

}  // namespace chervilspar::bench
