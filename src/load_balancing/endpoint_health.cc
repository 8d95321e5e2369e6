#include "chervilspar/load_balancing/endpoint_health.h"

#include <algorithm>
#include <cmath>

#include "chervilspar/base/assert.h"

namespace chervilspar::load_balancing {

namespace {

/// With exponentially distributed run times, the logarithm of one sample has a standard deviation
/// of 1.3, and its average at this rate one of 0.29. A healthy endpoint reaches ln 4 = 1.39 once in
/// 10^6 samples, while one that is 10 times slower reaches it after 9.
constexpr double kSlownessSmoothing = 0.1;
/// Successful probes in a row before readmission; a single success may be chance.
constexpr std::uint32_t kProbesToReturn = 2;
/// Maximum jitter as a fraction of the probe delay.
constexpr double kMaxJitterFraction = 0.5;

}  // namespace

void EndpointHealth::OnRun(Duration measured, Duration expected) {
  const double ratio = static_cast<double>(std::max<Duration::rep>(measured.count(), 1)) /
                       static_cast<double>(std::max<Duration::rep>(expected.count(), 1));
  ++this->samples;
  this->slowness += kSlownessSmoothing * (std::log(ratio) - this->slowness);
}

void EndpointHealth::OnEvidence(Evidence evidence) {
  if (evidence == Evidence::kBad) {
    ++this->failures_in_row;
    this->good_since_return = 0;
  }
  if (evidence == Evidence::kGood) {
    this->failures_in_row = 0;
    ++this->good_since_return;
  }
}

void EndpointHealth::Eject(TimePoint now, const BalancerOptions& options, double jitter_unit) {
  const bool is_repeat =
      this->was_ejected && (this->state != HealthState::kHealthy ||
                            now - this->returned_at < options.backoff_reset_after);
  this->probe_delay = is_repeat ? std::min(this->probe_delay * 2, options.max_probe_delay)
                                : options.initial_probe_delay;
  const auto jitter = static_cast<Duration::rep>(static_cast<double>(this->probe_delay.count()) *
                                                 kMaxJitterFraction * jitter_unit);
  this->probe_at = now + this->probe_delay + Duration(jitter);
  this->state = HealthState::kEjected;
  this->was_ejected = true;
  this->good_probes = 0;
  this->good_since_return = 0;
}

void EndpointHealth::StartProbe() {
  CHERVILSPAR_ASSERT(this->state == HealthState::kEjected);
  this->state = HealthState::kProbing;
}

void EndpointHealth::AbandonProbe(TimePoint now) {
  CHERVILSPAR_ASSERT(this->state == HealthState::kProbing);
  this->state = HealthState::kEjected;
  this->probe_at = now;
}

void EndpointHealth::OnGoodProbe(TimePoint now) {
  CHERVILSPAR_ASSERT(this->state == HealthState::kProbing);
  ++this->good_probes;
  if (this->good_probes < kProbesToReturn) {
    this->AbandonProbe(now);
    return;
  }
  this->state = HealthState::kHealthy;
  this->returned_at = now;
  this->slowness = 0.0;
  this->samples = 0;
  this->failures_in_row = 0;
}

std::uint32_t EndpointHealth::SlotLimit(std::uint32_t slots) const {
  if (!this->was_ejected || this->good_since_return >= slots) {
    return slots;
  }
  return std::min(slots, this->good_since_return + 1);
}

}  // namespace chervilspar::load_balancing
