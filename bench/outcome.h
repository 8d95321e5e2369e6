#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "chervilspar/base/time.h"

namespace chervilspar::bench {

/// What the callers of one team received, and the slots that its work used.
struct TeamOutcome {
  std::string name;
  double share = 1.0;
  std::uint64_t asked = 0;
  std::uint64_t accepted = 0;
  std::uint64_t in_time = 0;
  std::uint64_t refused = 0;
  /// Accepted and then refused.
  std::uint64_t refused_later = 0;
  std::uint64_t failed = 0;
  std::uint64_t lost = 0;
  std::uint64_t cancelled = 0;
  /// Seconds from arrival to the start at an endpoint, and to the caller's whole answer, of normal
  /// requests that are not among the long ones.
  std::vector<double> waits;
  std::vector<double> answers;
  std::vector<double> long_waits;
  std::vector<double> urgent_waits;
  /// Seconds from asking to being refused.
  std::vector<double> refusal_times;
  /// Slot seconds used at endpoints, for each tenth of a second of the run.
  std::vector<double> used_by_tick;
  /// Slot seconds of answers that came in time.
  double good_seconds = 0.0;
};

inline constexpr double kTicksPerSecond = 10.0;

/// What one run gave.
struct RunOutcome {
  std::vector<TeamOutcome> teams;
  double measured_seconds = 0.0;
  double slots = 0.0;
  /// Tries at endpoints, by endpoint, and those that found it full.
  std::vector<std::uint64_t> sent_to;
  std::uint64_t tries = 0;
  std::uint64_t full = 0;
  /// Bytes of reports that one entry sends to its peers a second.
  double report_bytes_per_second = 0.0;
  /// Slot seconds used by tasks whose answer helped no one.
  double wasted_seconds = 0.0;
  /// How often an entry ejected an endpoint, and the seconds at which the first did.
  std::uint64_t ejections = 0;
  double first_ejection = 0.0;

  double Goodput() const;
  /// Of the accepted requests that were not cancelled, answered in time.
  double AcceptedInTime() const;
  double InTime() const;
  double RefusedPart() const;
  /// Of the accepted requests, refused while they waited.
  double RefusedLater() const;
  /// Largest deviation of a team's part from its weighted share, over windows of ten seconds,
  /// as a part of the share.
  double WorstShareError() const;
  double Full() const;
};

/// The `part` quantile by nearest rank; zero for no values.
double Quantile(std::vector<double> values, double part);
/// All teams' values in one list.
std::vector<double> Join(const RunOutcome& outcome, std::vector<double> TeamOutcome::*values);

}  // namespace chervilspar::bench
