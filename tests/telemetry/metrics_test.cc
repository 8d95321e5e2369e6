#include "chervilspar/telemetry/metrics.h"

#include <cmath>
#include <string>
#include <thread>

#include <gtest/gtest.h>

namespace chervilspar::telemetry {
namespace {

const MetricKey kRequests{"chervilspar_requests_total", {{"team", "desk"}}};
const MetricKey kWait{"chervilspar_wait_seconds", {}};

bool HasLine(const std::string& text, const std::string& line) {
  return ("\n" + text).find("\n" + line + "\n") != std::string::npos;
}

TEST(MetricsTest, RendersPrometheusText) {
  MetricsRegistry metrics;
  metrics.Count(kRequests);
  metrics.Count(kRequests, 2);
  metrics.Set(MetricKey{"chervilspar_queue_length", {}}, 4.5);
  const std::string text = metrics.Render();
  EXPECT_TRUE(HasLine(text, "# TYPE chervilspar_requests_total counter"));
  EXPECT_TRUE(HasLine(text, "chervilspar_requests_total{team=\"desk\"} 3"));
  EXPECT_TRUE(HasLine(text, "chervilspar_queue_length 4.5"));
  EXPECT_EQ(metrics.ValueOf(kRequests), 3);
}

struct QuantileCase {
  std::string name;
  int samples;
};

class QuantileTest : public testing::TestWithParam<QuantileCase> {};

TEST_P(QuantileTest, IsWithinAFewPercent) {
  MetricsRegistry metrics;
  const int samples = GetParam().samples;
  for (int i = 0; i < samples; ++i) {
    // A permutation of 1..samples, so that the order is not sorted; 7919 is a prime.
    metrics.Sample(kWait, static_cast<double>(1 + (i * 7919L) % samples));
  }
  const std::string text = metrics.Render();
  for (const auto& [label, quantile] : {std::pair{"0.5", 0.5}, {"0.9", 0.9}, {"0.99", 0.99}}) {
    const std::string prefix = std::string("chervilspar_wait_seconds{quantile=\"") + label + "\"} ";
    const std::size_t at = text.find(prefix);
    ASSERT_NE(at, std::string::npos);
    const double value = std::stod(text.substr(at + prefix.size()));
    EXPECT_NEAR(value, quantile * samples, std::max(1.0, 0.05 * samples)) << label;
  }
  EXPECT_TRUE(HasLine(text, "chervilspar_wait_seconds_count " + std::to_string(samples)));
}

INSTANTIATE_TEST_SUITE_P(Cases, QuantileTest,
                         testing::Values(QuantileCase{"One", 1}, QuantileCase{"Few", 5},
                                         QuantileCase{"Many", 10000}),
                         [](const auto& info) { return info.param.name; });

// A caller sends a new name with each request, and the name becomes a label. Without a bound the
// entry's memory grows until it is killed.
TEST(MetricsTest, SeriesAreBounded) {
  MetricsRegistry metrics;
  for (std::size_t i = 0; i < 2 * MetricsRegistry::kMaxSeries; ++i) {
    metrics.Count(MetricKey{"chervilspar_x", {{"name", std::to_string(i)}}});
  }
  const std::string text = metrics.Render();
  EXPECT_EQ(text.find("chervilspar_metrics_dropped_total 0\n"), std::string::npos);
  EXPECT_LT(std::count(text.begin(), text.end(), '\n'),
            static_cast<std::ptrdiff_t>(MetricsRegistry::kMaxSeries) + 10);
}

TEST(MetricsTest, LabelValuesAreEscaped) {
  MetricsRegistry metrics;
  metrics.Count(MetricKey{"chervilspar_x", {{"name", "a\"b\\c\nd"}}});
  EXPECT_TRUE(HasLine(metrics.Render(), R"(chervilspar_x{name="a\"b\\c\nd"} 1)"));
}

// One sample that is no number would make every quantile after it none, and the alarm on it silent.
TEST(MetricsTest, SampleThatIsNoNumberIsLeftOut) {
  MetricsRegistry metrics;
  metrics.Sample(kWait, 1);
  metrics.Sample(kWait, std::nan(""));
  EXPECT_TRUE(HasLine(metrics.Render(), "chervilspar_wait_seconds_count 1"));
}

TEST(MetricsTest, CollectorsRunWhenAskedFor) {
  MetricsRegistry metrics;
  metrics.AddCollector([](MetricsRegistry& registry) {
    registry.Set(MetricKey{"chervilspar_late", {}}, 7);
  });
  EXPECT_TRUE(HasLine(metrics.Render(), "chervilspar_late 7"));
}

TEST(MetricsTest, ThreadsMayCountAtOnce) {
  MetricsRegistry metrics;
  std::vector<std::thread> threads;
  threads.reserve(4);
  for (int i = 0; i < 4; ++i) {
    threads.emplace_back([&metrics] {
      for (int j = 0; j < 1000; ++j) {
        metrics.Count(kRequests);
      }
    });
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  EXPECT_EQ(metrics.ValueOf(kRequests), 4000);
}

}  // namespace
}  // namespace chervilspar::telemetry
