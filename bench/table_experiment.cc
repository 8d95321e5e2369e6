#include "bench/table_experiment.h"

#include <algorithm>
#include <cstdio>
#include <filesystem>
#include <fstream>

#include <boost/json.hpp>

#include "bench/plot.h"

namespace chervilspar::bench {

namespace {

double Median(std::vector<double> values) {
  std::sort(values.begin(), values.end());
  const std::size_t middle = values.size() / 2;
  return values.size() % 2 == 1 ? values[middle] : (values[middle - 1] + values[middle]) / 2;
}

double Worst(const std::vector<double>& values, Better better) {
  return better == Better::kHigher ? *std::min_element(values.begin(), values.end())
                                   : *std::max_element(values.begin(), values.end());
}

void WriteJsonLine(std::ofstream& out, const std::string& pattern, const std::string& variant,
                   std::uint64_t seed, const std::vector<Metric>& metrics) {
  boost::json::object values;
  for (const Metric& metric : metrics) {
    values[metric.name] = metric.value;
  }
  const boost::json::object line{
      {"pattern", pattern}, {"variant", variant}, {"seed", seed}, {"metrics", values}};
  out << boost::json::serialize(line) << "\n";
}

void PrintRow(const std::string& label, const std::vector<Series>& columns) {
  std::printf("  %-24s", label.c_str());
  for (const Series& column : columns) {
    std::printf(" %9.4g %9.4g", Median(column.values), Worst(column.values, column.better));
  }
  std::printf("\n");
}

void PrintHeader(const std::vector<Metric>& metrics) {
  std::printf("  %-24s", "median and worst of");
  for (const Metric& metric : metrics) {
    std::printf(" %19s", metric.name.c_str());
  }
  std::printf("\n");
}

}  // namespace

void TableExperiment::Run(const Options& options) {
  std::filesystem::create_directories(options.out_dir);
  std::ofstream lines(options.out_dir + "/" + this->Name() + ".jsonl");
  std::printf("%s: %s\n", this->Name().c_str(), this->About().c_str());
  std::vector<PlotRow> rows;
  for (const Variant& variant : this->Variants(options)) {
    PlotRow row{variant.label, {}};
    for (std::uint64_t seed = options.seed; seed < options.seed + options.seeds; ++seed) {
      const std::vector<Metric> metrics = variant.run(seed);
      WriteJsonLine(lines, this->Name(), variant.label, seed, metrics);
      if (row.series.empty() && rows.empty()) {
        PrintHeader(metrics);
      }
      for (std::size_t column = 0; column < metrics.size(); ++column) {
        if (row.series.size() <= column) {
          row.series.push_back({metrics[column].name, metrics[column].better, {}});
        }
        row.series[column].values.push_back(metrics[column].value);
      }
    }
    PrintRow(row.label, row.series);
    std::fflush(stdout);
    rows.push_back(std::move(row));
  }
  WriteDotPlot(options.out_dir + "/" + this->Name() + ".svg", this->Name(), rows);
  std::printf("\n");
}

}  // namespace chervilspar::bench
