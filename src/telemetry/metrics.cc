#include "chervilspar/telemetry/metrics.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <optional>

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>

#include "chervilspar/base/hash.h"

namespace chervilspar::telemetry {

namespace {

namespace acc = boost::accumulators;

constexpr std::array<double, 3> kQuantiles = {0.5, 0.9, 0.99};

/// The extended P-square algorithm (Raatikainen 1987) keeps constant memory for any number of
/// samples, and means nothing before it has seen as many as it has markers, two for each quantile
/// and three more. So the first samples are kept and their quantiles are exact.
constexpr std::size_t kExactSamples = 100;

using Accumulator = acc::accumulator_set<
    double, acc::stats<acc::tag::count, acc::tag::sum, acc::tag::max, acc::tag::extended_p_square>>;

/// The samples of one series.
class Distribution {
 public:
  void Add(double sample) {
    this->accumulator(sample);
    if (this->first.size() < kExactSamples) {
      this->first.push_back(sample);
    }
  }

  double Quantile(std::size_t which) const {
    if (acc::count(this->accumulator) > kExactSamples) {
      return acc::extended_p_square(this->accumulator)[static_cast<std::ptrdiff_t>(which)];
    }
    std::vector<double> sorted = this->first;
    std::sort(sorted.begin(), sorted.end());
    const double rank = kQuantiles[which] * static_cast<double>(sorted.size() - 1);
    return sorted[static_cast<std::size_t>(std::lround(rank))];
  }

  const Accumulator& Totals() const { return this->accumulator; }

 private:
  Accumulator accumulator{acc::extended_p_square_probabilities = kQuantiles};
  std::vector<double> first;
};

enum class SeriesKind { kCounter, kGauge, kDistribution };

const char* TypeName(SeriesKind kind) {
  switch (kind) {
    case SeriesKind::kCounter:
      return "counter";
    case SeriesKind::kGauge:
      return "gauge";
    case SeriesKind::kDistribution:
      return "summary";
  }
  return "untyped";
}

struct Series {
  SeriesKind kind = SeriesKind::kCounter;
  double value = 0;
  std::unique_ptr<Distribution> distribution;
};

/// What is shown of a distribution.
struct Summary {
  std::array<double, kQuantiles.size()> quantiles{};
  double sum = 0;
  double count = 0;
  double max = 0;
};

/// A series as it is rendered, taken under the shard's lock.
struct SeriesView {
  SeriesKind kind = SeriesKind::kCounter;
  double value = 0;
  std::optional<Summary> summary;
};

Summary Summarize(const Distribution& samples) {
  Summary summary;
  for (std::size_t i = 0; i < kQuantiles.size(); ++i) {
    summary.quantiles[i] = samples.Quantile(i);
  }
  summary.sum = acc::sum(samples.Totals());
  summary.count = static_cast<double>(acc::count(samples.Totals()));
  summary.max = acc::max(samples.Totals());
  return summary;
}

SeriesView ViewOf(const Series& series) {
  SeriesView view;
  view.kind = series.kind;
  view.value = series.value;
  if (series.distribution) {
    view.summary = Summarize(*series.distribution);
  }
  return view;
}

/// Escapes a label's value as the Prometheus text format wants it.
std::string Escaped(const std::string& value) {
  std::string text;
  for (const char c : value) {
    if (c == '\\' || c == '"') {
      text += '\\';
      text += c;
    } else if (c == '\n') {
      text += "\\n";
    } else {
      text += c;
    }
  }
  return text;
}

std::string Labels(const std::vector<MetricLabel>& labels, const std::string& extra = "") {
  std::string text;
  for (const MetricLabel& label : labels) {
    text += (text.empty() ? "" : ",") + label.name + "=\"" + Escaped(label.value) + '"';
  }
  if (!extra.empty()) {
    text += (text.empty() ? "" : ",") + extra;
  }
  return text.empty() ? "" : "{" + text + "}";
}

std::string Number(double value) {
  std::array<char, 40> text{};
  std::snprintf(text.data(), text.size(), "%.10g", value);
  return text.data();
}

void RenderSeries(const MetricKey& key, const SeriesView& series, std::string& out) {
  if (!series.summary) {
    out += key.name + Labels(key.labels) + " " + Number(series.value) + "\n";
    return;
  }
  const Summary& summary = *series.summary;
  for (std::size_t i = 0; i < kQuantiles.size(); ++i) {
    const std::string label = "quantile=\"" + Number(kQuantiles[i]) + '"';
    out += key.name + Labels(key.labels, label) + " " + Number(summary.quantiles[i]) + "\n";
  }
  out += key.name + "_sum" + Labels(key.labels) + " " + Number(summary.sum) + "\n";
  out += key.name + "_count" + Labels(key.labels) + " " + Number(summary.count) + "\n";
  out += key.name + "_max" + Labels(key.labels) + " " + Number(summary.max) + "\n";
}

}  // namespace

class MetricsRegistry::Shard {
 public:
  /// Runs `change` on the series, which is made when it is new and there is room.
  template <typename Change>
  void Update(const MetricKey& key, SeriesKind kind, Change change) {
    const std::scoped_lock lock(this->mutex);
    auto found = this->series.find(key);
    if (found == this->series.end()) {
      if (this->series.size() >= kMaxSeries / kShards) {
        ++this->dropped;
        return;
      }
      found = this->series.emplace(key, Series{kind, 0, nullptr}).first;
      if (kind == SeriesKind::kDistribution) {
        found->second.distribution = std::make_unique<Distribution>();
      }
    }
    // One name for two kinds of series is a mistake in the program; the first kind stands.
    if (found->second.kind == kind) {
      change(found->second);
    }
  }

  void CopyTo(std::map<MetricKey, SeriesView>& all, std::uint64_t& all_dropped) const {
    const std::scoped_lock lock(this->mutex);
    for (const auto& [key, one] : this->series) {
      all.emplace(key, ViewOf(one));
    }
    all_dropped += this->dropped;
  }

  double ValueOf(const MetricKey& key) const {
    const std::scoped_lock lock(this->mutex);
    const auto found = this->series.find(key);
    return found == this->series.end() ? 0 : found->second.value;
  }

 private:
  mutable std::mutex mutex;
  std::map<MetricKey, Series> series;
  std::uint64_t dropped = 0;
};

MetricsRegistry::MetricsRegistry() {
  for (std::unique_ptr<Shard>& shard : this->shards) {
    shard = std::make_unique<Shard>();
  }
}

MetricsRegistry::~MetricsRegistry() = default;

MetricsRegistry::Shard& MetricsRegistry::ShardOf(const MetricKey& key) const {
  std::uint64_t hash = StableHash(key.name);
  for (const MetricLabel& label : key.labels) {
    hash = StableHash(label.value, hash);
  }
  return *this->shards[hash % kShards];
}

void MetricsRegistry::Count(const MetricKey& key, double amount) {
  this->ShardOf(key).Update(key, SeriesKind::kCounter,
                            [amount](Series& series) { series.value += amount; });
}

void MetricsRegistry::Set(const MetricKey& key, double value) {
  this->ShardOf(key).Update(key, SeriesKind::kGauge,
                            [value](Series& series) { series.value = value; });
}

void MetricsRegistry::Sample(const MetricKey& key, double value) {
  // A sample that is no number would make every quantile after it none, too.
  if (!std::isfinite(value)) {
    return;
  }
  this->ShardOf(key).Update(key, SeriesKind::kDistribution,
                            [value](Series& series) { series.distribution->Add(value); });
}

void MetricsRegistry::AddCollector(std::function<void(MetricsRegistry&)> collector) {
  const std::scoped_lock lock(this->collectors_mutex);
  this->collectors.push_back(std::move(collector));
}

std::string MetricsRegistry::Render() {
  {
    const std::scoped_lock lock(this->collectors_mutex);
    for (const auto& collector : this->collectors) {
      collector(*this);
    }
  }
  std::map<MetricKey, SeriesView> all;
  std::uint64_t dropped = 0;
  for (const std::unique_ptr<Shard>& shard : this->shards) {
    shard->CopyTo(all, dropped);
  }
  SeriesView dropped_series;
  dropped_series.value = static_cast<double>(dropped);
  all.emplace(MetricKey{"chervilspar_metrics_dropped_total", {}}, dropped_series);
  std::string out;
  std::string last_name;
  for (const auto& [key, series] : all) {
    if (key.name != last_name) {
      out += "# TYPE " + key.name + " " + TypeName(series.kind) + "\n";
      last_name = key.name;
    }
    RenderSeries(key, series, out);
  }
  return out;
}

double MetricsRegistry::ValueOf(const MetricKey& key) const {
  return this->ShardOf(key).ValueOf(key);
}

}  // namespace chervilspar::telemetry
