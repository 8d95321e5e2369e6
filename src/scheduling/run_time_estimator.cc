#include "chervilspar/scheduling/run_time_estimator.h"

#include <algorithm>
#include <bit>
#include <cmath>

namespace chervilspar::scheduling {

namespace {

/// Before anything has been measured.
constexpr double kFirstGuessUs = 100'000.0;
/// A step change is followed to 63% after 32 requests, well under a second for a busy team, while
/// one outlier moves the mean by 3%.
constexpr double kSmoothing = 1.0 / 32.0;
/// Samples of its own from which a bucket stands for itself; before, the whole service's mean
/// counts as well. It must not count for longer: beside tasks of minutes, a hundredth of their mean
/// is more than the whole of a request of milliseconds.
constexpr double kOwnSamples = 8.0;
/// For exponential run times the 99th percentile is 4.6 means, and the mean absolute deviation is
/// 0.74 means: mean + 5 deviations. For equal run times it is the mean.
constexpr double kSlowDeviations = 5.0;
constexpr double kShortestUs = 1.0;

}  // namespace

void RunTimeEstimator::Track::Add(double sample) {
  ++this->samples;
  const double rate = std::max(kSmoothing, 1.0 / this->samples);
  const double error = sample - this->mean;
  this->mean += rate * error;
  this->deviation += rate * (std::abs(error) - this->deviation);
}

std::size_t RunTimeEstimator::BucketOf(Duration declared) {
  if (declared <= Duration::zero()) {
    return 0;
  }
  const auto milliseconds = static_cast<std::uint64_t>(declared.count() / 1000);
  return std::min<std::size_t>(1 + std::bit_width(milliseconds) / 2, kBuckets - 1);
}

RunTimeEstimate RunTimeEstimator::Expect(const TeamId& team, Duration declared) const {
  if (this->service.samples == 0) {
    const auto guess = Duration(static_cast<Duration::rep>(kFirstGuessUs));
    const Duration first = declared > Duration::zero() ? declared : guess;
    return {first, first, 0};
  }
  double mean = this->service.mean;
  double deviation = this->service.deviation;
  std::uint32_t samples = 0;
  const auto found = this->teams.find(team);
  if (found != this->teams.end()) {
    const Track& own = found->second.at(BucketOf(declared));
    samples = own.samples;
    const double part = std::min(1.0, own.samples / kOwnSamples);
    mean += part * (own.mean - mean);
    deviation += part * (own.deviation - deviation);
  }
  const double p99 = mean + kSlowDeviations * deviation;
  return {Duration(static_cast<Duration::rep>(mean)), Duration(static_cast<Duration::rep>(p99)),
          samples};
}

void RunTimeEstimator::Observe(const TeamId& team, Duration declared, Duration measured) {
  const double sample = std::max(static_cast<double>(measured.count()), kShortestUs);
  this->service.Add(sample);
  this->teams[team].at(BucketOf(declared)).Add(sample);
  ++this->log_samples;
  const double rate = std::max(kSmoothing / 4, 1.0 / this->log_samples);
  this->log_mean += rate * (std::log(sample) - this->log_mean);
}

Duration RunTimeEstimator::GeometricMean() const {
  if (this->log_samples == 0) {
    return Duration(static_cast<Duration::rep>(kFirstGuessUs));
  }
  return Duration(static_cast<Duration::rep>(std::exp(this->log_mean)));
}

}  // namespace chervilspar::scheduling
