#include "bench/slopes.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <malloc.h>

namespace chervilspar::bench {

namespace {

/// Exponents within this distance of 0 or 1 are called constant or linear.
constexpr double kExponentTolerance = 0.15;

struct Line {
  double offset = 0;
  double slope = 0;
};

Line LeastSquares(const std::vector<SlopePoint>& points) {
  const auto count = static_cast<double>(points.size());
  double sum_x = 0;
  double sum_y = 0;
  double sum_xx = 0;
  double sum_xy = 0;
  for (const SlopePoint& point : points) {
    sum_x += point.size;
    sum_y += point.value;
    sum_xx += point.size * point.size;
    sum_xy += point.size * point.value;
  }
  const double spread = count * sum_xx - sum_x * sum_x;
  Line line;
  line.slope = (count * sum_xy - sum_x * sum_y) / spread;
  line.offset = (sum_y - line.slope * sum_x) / count;
  return line;
}

const char* GrowthOf(double exponent) {
  if (std::abs(exponent) <= kExponentTolerance) {
    return "constant";
  }
  if (exponent < 1.0 - kExponentTolerance) {
    return "below linear";
  }
  return exponent <= 1.0 + kExponentTolerance ? "linear" : "above linear";
}

}  // namespace

SlopeFit FitSlope(const std::vector<SlopePoint>& points) {
  const Line line = LeastSquares(points);
  SlopeFit fit;
  fit.offset = line.offset;
  fit.slope = line.slope;
  double largest = 0;
  std::vector<SlopePoint> logs;
  logs.reserve(points.size());
  for (const SlopePoint& point : points) {
    largest = std::max(largest, std::abs(point.value));
    fit.error = std::max(fit.error, std::abs(point.value - line.offset - line.slope * point.size));
    logs.push_back({std::log(point.size), std::log(std::max(point.value, 1e-9))});
  }
  fit.error = largest > 0 ? fit.error / largest : 0;
  fit.exponent = LeastSquares(logs).slope;
  return fit;
}

void ReportSlope(const Slope& slope, const std::string& out_dir) {
  std::filesystem::create_directories(out_dir);
  std::ofstream lines(out_dir + "/slopes.jsonl", std::ios::app);
  std::printf("%s [%s] by %s:", slope.quantity.c_str(), slope.unit.c_str(), slope.variable.c_str());
  for (const SlopePoint& point : slope.points) {
    std::printf("  %g: %.4g", point.size, point.value);
    lines << R"({"quantity":")" << slope.quantity << R"(","unit":")" << slope.unit
          << R"(","variable":")" << slope.variable << R"(","size":)" << point.size << R"(,"value":)"
          << point.value << "}\n";
  }
  const SlopeFit fit = FitSlope(slope.points);
  std::printf("\n    = %.4g + %.4g * %s, error at most %.1f%%; exponent %.2f (%s)\n", fit.offset,
              fit.slope, slope.variable.c_str(), 100 * fit.error, fit.exponent,
              GrowthOf(fit.exponent));
  std::fflush(stdout);
}

double MedianMicroseconds(int runs, const std::function<void()>& work) {
  std::vector<double> times;
  for (int i = 0; i < runs; ++i) {
    const auto start = std::chrono::steady_clock::now();
    work();
    const std::chrono::duration<double, std::micro> time = std::chrono::steady_clock::now() - start;
    times.push_back(time.count());
  }
  std::sort(times.begin(), times.end());
  return times[times.size() / 2];
}

double HeapBytesInUse() {
  const struct mallinfo2 info = mallinfo2();
  return static_cast<double>(info.uordblks) + static_cast<double>(info.hblkhd);
}

}  // namespace chervilspar::bench
