#pragma once

#include <cstdint>
#include <set>
#include <string>

#include "chervilspar/jobs/scheduler.h"
#include "chervilspar/telemetry/metrics.h"

namespace chervilspar::job_entry {

/// Exports the division among accounts while this entry schedules.
class ShareMetrics {
 public:
  explicit ShareMetrics(telemetry::MetricsRegistry& metrics) : metrics(metrics) {}

  /// Accounts that `policy` doesn't name, or names after the first 20, are exported together as
  /// `other`, with the largest ratio of them. A null policy names none.
  void Update(const jobs::AccountShares& shares, std::uint64_t jobs_behind,
              const jobs::Policy* policy);
  /// Sets the ratios to 0, as another entry schedules.
  void Clear();

 private:
  void SetRatio(const std::string& team, double ratio);

  telemetry::MetricsRegistry& metrics;
  std::set<std::string> exported;
  /// The part of the scheduler's count that is exported.
  std::uint64_t counted = 0;
};

}  // namespace chervilspar::job_entry
