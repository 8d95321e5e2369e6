#include "bench/wave_front.h"

#include <algorithm>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <memory>
#include <string>
#include <vector>

#include "bench/wave_run.h"

namespace chervilspar::bench {

namespace {

/// Stretches far enough to show the whole front; the product itself stops early.
constexpr double kFrontStretch = 8.0;
/// Ratios of the weights of buffer and share to that of time.
constexpr double kRatios[] = {0.25, 1.0, 2.0, 4.0, 9.0, 16.0, 36.0};

struct Point {
  std::string label;
  WaveRunOutcome outcome;
  bool is_on_front = false;
};

double MedianOf(const std::vector<WaveRunOutcome>& runs, double WaveRunOutcome::*field) {
  std::vector<double> values;
  values.reserve(runs.size());
  for (const WaveRunOutcome& run : runs) {
    values.push_back(run.*field);
  }
  std::sort(values.begin(), values.end());
  return values[values.size() / 2];
}

Point MakePoint(std::string label, const inventory::Weights& weights,
                const std::shared_ptr<WaveStrategy>& strategy, const Options& options) {
  std::vector<WaveRunOutcome> runs;
  for (std::uint64_t seed = options.seed; seed < options.seed + options.seeds; ++seed) {
    SeededRandom random(seed);
    inventory::Inventory inventory = MakeDeploymentFleet(Deployment::kCostaAzul, random);
    inventory.maintenance.weights = weights;
    runs.push_back(RunWave(inventory, WaveTrouble::kNone, strategy, seed));
  }
  Point point;
  point.label = std::move(label);
  for (const auto field : {&WaveRunOutcome::roll_out_minutes, &WaveRunOutcome::over_lower_bound,
                           &WaveRunOutcome::buffer_vms, &WaveRunOutcome::moves,
                           &WaveRunOutcome::worst_share_loss, &WaveRunOutcome::mean_share_loss}) {
    point.outcome.*field = MedianOf(runs, field);
  }
  return point;
}

std::vector<Point> MakePoints(const Options& options) {
  std::vector<Point> points;
  const auto wide = std::make_shared<ProductStrategy>(maintenance::PlannerOptions{kFrontStretch});
  for (const double ratio : kRatios) {
    const inventory::Weights weights{ratio / 2, 1.0, 1.0, ratio / 2};
    char label[32];
    std::snprintf(label, sizeof label, "ratio %.2f", ratio);
    points.push_back(MakePoint(label, weights, wide, options));
    points.back().is_on_front = true;
  }
  for (const Deployment deployment : {Deployment::kFjallabunadur, Deployment::kCostaAzul}) {
    points.push_back(MakePoint(ToString(deployment), WeightsOf(deployment),
                               std::make_shared<ProductStrategy>(), options));
  }
  for (const std::uint32_t width : {1U, 3U, 5U, 8U}) {
    points.push_back(MakePoint("plain, " + std::to_string(width) + " at once", inventory::Weights(),
                               std::make_shared<FixedWidthStrategy>(width), options));
  }
  return points;
}

void Print(const std::vector<Point>& points) {
  std::printf("  %-20s %12s %10s %10s %8s %14s %14s\n", "median", "roll-out min", "over lower",
              "buffer VMs", "moves", "share 10s %", "share mean %");
  for (const Point& point : points) {
    const WaveRunOutcome& outcome = point.outcome;
    std::printf("  %-20s %12.1f %10.2f %10.0f %8.0f %14.1f %14.2f\n", point.label.c_str(),
                outcome.roll_out_minutes, outcome.over_lower_bound, outcome.buffer_vms,
                outcome.moves, outcome.worst_share_loss, outcome.mean_share_loss);
  }
}

/// Maps a point to the plane of the drawing.
class Axes {
 public:
  explicit Axes(const std::vector<Point>& points) {
    for (const Point& point : points) {
      this->most_buffer = std::max(this->most_buffer, point.outcome.buffer_vms);
      this->most_minutes = std::max(this->most_minutes, point.outcome.roll_out_minutes);
    }
  }
  double X(const Point& point) const {
    return 70 + 500 * point.outcome.buffer_vms / (this->most_buffer * 1.1);
  }
  double Y(const Point& point) const {
    return 420 - 360 * point.outcome.roll_out_minutes / (this->most_minutes * 1.05);
  }

 private:
  double most_buffer = 1;
  double most_minutes = 1;
};

void Draw(const std::vector<Point>& points, const std::string& path) {
  const Axes axes(points);
  std::ofstream out(path);
  out << "<svg xmlns='http://www.w3.org/2000/svg' width='760' height='470' "
         "font-family='sans-serif' font-size='12'>\n<rect width='100%' height='100%' fill='white'/>"
         "\n<text x='70' y='30' font-size='16'>Roll-out time against buffer</text>\n"
         "<line x1='70' y1='420' x2='620' y2='420' stroke='black'/>\n"
         "<line x1='70' y1='420' x2='70' y2='50' stroke='black'/>\n"
         "<text x='360' y='450'>most VMs held at once</text>\n"
         "<text x='20' y='240' transform='rotate(-90 20 240)'>roll-out, minutes</text>\n<polyline "
         "fill='none' stroke='#246' points='";
  for (const Point& point : points) {
    if (point.is_on_front) {
      out << axes.X(point) << ',' << axes.Y(point) << ' ';
    }
  }
  out << "'/>\n";
  for (const Point& point : points) {
    const bool is_plain = point.label.starts_with("plain");
    const char* color = point.is_on_front ? "#246" : is_plain ? "#888" : "#c30";
    out << "<circle cx='" << axes.X(point) << "' cy='" << axes.Y(point) << "' r='"
        << (point.is_on_front ? 3 : 6) << "' fill='" << color << "'/>\n<text x='"
        << axes.X(point) + 8 << "' y='" << axes.Y(point) - 4 << "'>" << point.label << ' '
        << point.outcome.roll_out_minutes << " min</text>\n";
  }
  out << "</svg>\n";
}

}  // namespace

void WaveFront::Run(const Options& options) {
  std::filesystem::create_directories(options.out_dir);
  std::printf("wave-front: buffer, time, moves and share as the weights vary\n");
  const std::vector<Point> points = MakePoints(options);
  Print(points);
  Draw(points, options.out_dir + "/wave-front.svg");
  std::printf("\n");
}

}  // namespace chervilspar::bench
