#pragma once

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

namespace chervilspar::telemetry {

/// A label of a metric.
struct MetricLabel {
  std::string name;
  std::string value;

  friend auto operator<=>(const MetricLabel&, const MetricLabel&) = default;
};

/// Which series: the metric's name (Prometheus form, "chervilspar_requests_total") and labels.
struct MetricKey {
  std::string name;
  std::vector<MetricLabel> labels;

  friend auto operator<=>(const MetricKey&, const MetricKey&) = default;
};

/// The metrics of one process. Thread-safe: series are spread over shards, each under its own lock.
class MetricsRegistry {
 public:
  /// Most series of one process. More are dropped and counted: a label taken from a caller's input
  /// must not use up the memory of the entry. 560 teams with 16 series each stay below.
  static constexpr std::size_t kMaxSeries = 16384;

  MetricsRegistry();
  ~MetricsRegistry();
  MetricsRegistry(const MetricsRegistry&) = delete;
  MetricsRegistry& operator=(const MetricsRegistry&) = delete;

  /// Adds to a counter.
  void Count(const MetricKey& key, double amount = 1.0);
  /// Sets a gauge.
  void Set(const MetricKey& key, double value);
  /// Adds a sample to a distribution, shown as p50, p90, p99, sum, count and maximum.
  void Sample(const MetricKey& key, double value);

  /// Called by each `Render` to set gauges that are only known when asked for.
  void AddCollector(std::function<void(MetricsRegistry&)> collector);

  /// All series in the Prometheus text format, in a stable order.
  std::string Render();

  /// The value of a counter or gauge; zero when there is none.
  double ValueOf(const MetricKey& key) const;

 private:
  class Shard;
  static constexpr std::size_t kShards = 16;

  Shard& ShardOf(const MetricKey& key) const;

  std::array<std::unique_ptr<Shard>, kShards> shards;
  std::mutex collectors_mutex;
  std::vector<std::function<void(MetricsRegistry&)>> collectors;
};

}  // namespace chervilspar::telemetry
