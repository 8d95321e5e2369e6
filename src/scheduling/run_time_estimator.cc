#include "chervilspar/scheduling/run_time_estimator.h"

#include <algorithm>
#include <bit>
#include <cmath>

namespace chervilspar::scheduling {

namespace {

/// Used until the first measurement, unless the caller declares a run time.
constexpr double kDefaultRunTimeUs = 100'000.0;
/// After a step change the mean covers 63% of it within 32 requests, which a busy team sends in
/// well under a second, while one outlier moves the mean by 3% of its distance.
constexpr double kSmoothing = 1.0 / 32.0;
/// Number of samples from which a bucket is used alone. With fewer, the mean of the whole service
/// is mixed in. It must not be mixed in for longer: if other tasks run for minutes, even a
/// hundredth of their mean exceeds the run time of a request of milliseconds.
constexpr double kMinOwnSamples = 8.0;
/// Mean absolute deviations from the mean to the 99th percentile. For exponential run times the
/// 99th percentile is 4.6 means and the deviation is 0.74 means. For equal run times the deviation
/// is zero.
constexpr double kP99Deviations = 5.0;
constexpr double kMinSampleUs = 1.0;

}  // namespace

void RunTimeEstimator::MovingStatistics::Add(double sample) {
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
    const auto default_run_time = Duration(static_cast<Duration::rep>(kDefaultRunTimeUs));
    const Duration first = declared > Duration::zero() ? declared : default_run_time;
    return {first, first, 0};
  }
  double mean = this->service.mean;
  double deviation = this->service.deviation;
  std::uint32_t samples = 0;
  const auto found = this->teams.find(team);
  if (found != this->teams.end()) {
    const MovingStatistics& own = found->second.at(BucketOf(declared));
    samples = own.samples;
    const double own_weight = std::min(1.0, own.samples / kMinOwnSamples);
    mean += own_weight * (own.mean - mean);
    deviation += own_weight * (own.deviation - deviation);
  }
  const double p99 = mean + kP99Deviations * deviation;
  return {Duration(static_cast<Duration::rep>(mean)), Duration(static_cast<Duration::rep>(p99)),
          samples};
}

void RunTimeEstimator::Observe(const TeamId& team, Duration declared, Duration measured) {
  const double sample = std::max(static_cast<double>(measured.count()), kMinSampleUs);
  this->service.Add(sample);
  this->teams[team].at(BucketOf(declared)).Add(sample);
  ++this->log_samples;
  const double rate = std::max(kSmoothing / 4, 1.0 / this->log_samples);
  this->log_mean += rate * (std::log(sample) - this->log_mean);
}

Duration RunTimeEstimator::GeometricMean() const {
  if (this->log_samples == 0) {
    return Duration(static_cast<Duration::rep>(kDefaultRunTimeUs));
  }
  return Duration(static_cast<Duration::rep>(std::exp(this->log_mean)));
}

}  // namespace chervilspar::scheduling
