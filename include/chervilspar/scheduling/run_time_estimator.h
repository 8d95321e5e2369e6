#pragma once

#include <array>
#include <cstdint>
#include <unordered_map>

#include "chervilspar/base/ids.h"
#include "chervilspar/base/time.h"

namespace chervilspar::scheduling {

/// What is expected of a request that has not run yet.
struct RunTimeEstimate {
  Duration mean = Duration::zero();
  /// About the 99th percentile.
  Duration p99 = Duration::zero();
  /// Like requests of the same team measured so far.
  std::uint32_t samples = 0;

  friend bool operator==(const RunTimeEstimate&, const RunTimeEstimate&) = default;
};

/// Learns run times per team and order of magnitude of the declared run time.
///
/// Load pattern: declared run times that are 10 to 100 times off either way. Without this module
/// the queue is planned and charged by the caller's word, so a wrong word costs the other teams
/// their share. Here the word only selects a bucket; a team that is wrong by the same factor every
/// time is predicted as well as one that is right.
class RunTimeEstimator {
 public:
  RunTimeEstimate Expect(const TeamId& team, Duration declared) const;
  void Observe(const TeamId& team, Duration declared, Duration measured);

  /// The geometric mean of all run times, which a few long ones hardly move.
  Duration GeometricMean() const;

 private:
  /// Moving mean and mean absolute deviation, in microseconds.
  struct Track {
    double mean = 0.0;
    double deviation = 0.0;
    std::uint32_t samples = 0;

    void Add(double sample);
  };

  /// Factor four wide, from below 4 ms to above 17 minutes; bucket 0 is "not declared".
  static constexpr std::size_t kBuckets = 12;
  static std::size_t BucketOf(Duration declared);

  Track service;
  double log_mean = 0.0;
  std::uint32_t log_samples = 0;
  std::unordered_map<TeamId, std::array<Track, kBuckets>> teams;
};

}  // namespace chervilspar::scheduling
