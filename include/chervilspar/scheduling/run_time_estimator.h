#pragma once

#include <array>
#include <cstdint>
#include <unordered_map>

#include "chervilspar/base/ids.h"
#include "chervilspar/base/time.h"

namespace chervilspar::scheduling {

/// The expected run time of a request that has not run yet.
struct RunTimeEstimate {
  Duration mean = Duration::zero();
  /// Approximate 99th percentile.
  Duration p99 = Duration::zero();
  /// Number of measured requests of the same team and bucket.
  std::uint32_t samples = 0;

  friend bool operator==(const RunTimeEstimate&, const RunTimeEstimate&) = default;
};

/// Estimates run times per team and order of magnitude of the declared run time.
///
/// Declared run times may be wrong by a factor of 10 to 100 in either direction. If the queue
/// charged them directly, a wrong declaration would take share from the other teams. Here a
/// declaration only selects a bucket of measurements, so a team whose declarations are always wrong
/// by the same factor is predicted as well as one that declares correctly.
class RunTimeEstimator {
 public:
  /// Returns the estimate for a request; `declared` is zero if the caller declared no run time.
  RunTimeEstimate Expect(const TeamId& team, Duration declared) const;
  /// Adds the measured run time of a finished request.
  void Observe(const TeamId& team, Duration declared, Duration measured);

  /// Returns a moving geometric mean of all run times, which a few long ones hardly affect. Returns
  /// a default of 100 ms before the first measurement.
  Duration GeometricMean() const;

 private:
  /// Moving mean and mean absolute deviation, in microseconds.
  struct MovingStatistics {
    double mean = 0.0;
    double deviation = 0.0;
    std::uint32_t samples = 0;

    void Add(double sample);
  };

  /// Each bucket spans a factor of four, from below 2 ms to above 8 minutes. Bucket 0 is for
  /// requests without a declared run time.
  static constexpr std::size_t kBuckets = 12;
  static std::size_t BucketOf(Duration declared);

  MovingStatistics service;
  double log_mean = 0.0;
  std::uint32_t log_samples = 0;
  std::unordered_map<TeamId, std::array<MovingStatistics, kBuckets>> teams;
};

}  // namespace chervilspar::scheduling
