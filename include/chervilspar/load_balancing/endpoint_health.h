#pragma once

#include <cstdint>

#include "chervilspar/base/time.h"
#include "chervilspar/load_balancing/balancer_options.h"

namespace chervilspar::load_balancing {

/// What one finished try says of its endpoint.
enum class Evidence {
  kGood,
  kBad,
  /// Says nothing of the endpoint: the team's tasks fail everywhere, or the caller cancelled.
  kNone,
};

enum class HealthState {
  kHealthy,
  /// Gets no work until its probe is due.
  kEjected,
  /// One task is on its way to find out.
  kProbing,
};

/// One endpoint's record: how slow it is for its tasks, how often it fails, and whether it gets
/// work. It is kept by the balancer, which sees the other endpoints and holds the bound on how many
/// are ejected at once.
class EndpointHealth {
 public:
  /// Notes a task that ran `measured` where `expected` was expected.
  void OnRun(Duration measured, Duration expected);
  void OnEvidence(Evidence evidence);

  HealthState State() const { return this->state; }
  /// Moving mean of the logarithm of measured over expected run time.
  double Slowness() const { return this->slowness; }
  std::uint32_t Samples() const { return this->samples; }
  std::uint32_t FailuresInRow() const { return this->failures_in_row; }
  TimePoint ProbeAt() const { return this->probe_at; }

  /// Takes the endpoint out until a probe; the wait doubles when the last return was not long ago.
  /// `jitter_unit` in [0, 1) is for jitter, so that entries don't probe together.
  void Eject(TimePoint now, const BalancerOptions& options, double jitter_unit);
  void StartProbe();
  /// The probe says nothing; another is due at once.
  void AbandonProbe(TimePoint now);
  /// A good probe; the endpoint returns after `kProbesToReturn` in a row.
  void OnGoodProbe(TimePoint now);

  /// Slots it may use while it comes back: one at first, one more with each good task, so that an
  /// endpoint that only answers single tasks well does not get all its slots filled at once.
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
