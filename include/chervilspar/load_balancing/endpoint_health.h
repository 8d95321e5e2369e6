#pragma once

#include <cstdint>

#include "chervilspar/base/time.h"
#include "chervilspar/load_balancing/balancer_options.h"

namespace chervilspar::load_balancing {

/// What one finished attempt indicates about its endpoint.
enum class Evidence {
  kGood,
  kBad,
  /// Indicates nothing about the endpoint: the team's tasks fail everywhere, or the caller
  /// cancelled.
  kNone,
};

enum class HealthState {
  kHealthy,
  /// Receives no work until its probe is due.
  kEjected,
  /// One task is in flight as a probe.
  kProbing,
};

/// Tracks one endpoint's speed relative to its tasks, its failures, and whether it receives work.
/// The balancer, which knows the other endpoints, decides when to eject it and limits how many are
/// ejected at once.
class EndpointHealth {
 public:
  /// Records the measured and the expected run time of a finished task.
  void OnRun(Duration measured, Duration expected);
  void OnEvidence(Evidence evidence);

  HealthState State() const { return this->state; }
  /// Exponential moving average of ln(measured / expected run time).
  double Slowness() const { return this->slowness; }
  std::uint32_t Samples() const { return this->samples; }
  std::uint32_t FailuresInRow() const { return this->failures_in_row; }
  TimePoint ProbeAt() const { return this->probe_at; }

  /// Ejects the endpoint until a probe succeeds. The delay of the probe doubles after a failed
  /// probe and when the endpoint was readmitted less than `backoff_reset_after` ago. `jitter_unit`
  /// in [0, 1) scales the added jitter, which keeps entries from probing at the same time.
  void Eject(TimePoint now, const BalancerOptions& options, double jitter_unit);
  void StartProbe();
  /// The probe was inconclusive; another is due at once.
  void AbandonProbe(TimePoint now);
  /// Records a successful probe. The endpoint is readmitted after `kProbesToReturn` in a row.
  void OnGoodProbe(TimePoint now);

  /// Slots that may be used out of `slots`. After readmission this is one, and one more with each
  /// successful task, so that an endpoint that copes only with single tasks does not get all its
  /// slots filled at once.
  std::uint32_t SlotLimit(std::uint32_t slots) const;

 private:
  HealthState state = HealthState::kHealthy;
  double slowness = 0.0;
  std::uint32_t samples = 0;
  std::uint32_t failures_in_row = 0;
  std::uint32_t good_probes = 0;
  std::uint32_t good_since_return = 0;
  bool was_ejected = false;
  Duration probe_delay = Duration::zero();
  TimePoint probe_at;
  TimePoint returned_at;
};

}  // namespace chervilspar::load_balancing
