#include <algorithm>
#include <cmath>

#include "chervilspar/base/assert.h"
#include "chervilspar/load_balancing/balancer.h"

#include "load_balancing/placement_policy.h"
#include "load_balancing/slot_table.h"

namespace chervilspar::load_balancing {

namespace {

/// Finished tasks of an endpoint before its speed is compared with others.
constexpr std::uint32_t kMinSamples = 5;
/// An endpoint is unresponsive when at least this many of its tasks in flight, and at least this
/// fraction of them, are overdue.
constexpr std::uint32_t kMinOverdueTasks = 2;
constexpr double kMinOverdueFraction = 0.5;
/// When a larger fraction of the tasks at other endpoints is overdue, the cause is not this
/// endpoint.
constexpr double kMaxOverdueFractionElsewhere = 0.25;
/// A task whose deadline expired before it ran this many times its expected run time does not count
/// against the endpoint, since the deadline was too short.
constexpr int kShortDeadlineFactor = 3;
/// Failures of a team whose failure rate exceeds this are attributed to the team, not to endpoints.
constexpr double kMaxTeamFailureRate = 0.5;
constexpr double kTeamFailureRateSmoothing = 0.1;
/// Bounds memory: all rates are reset at this size. Few teams fail, so little is lost.
constexpr std::size_t kMaxTrackedTeams = 4096;

}  // namespace

std::size_t Balancer::MaxEjected() const {
  if (this->listed < 2) {
    return 0;
  }
  const double most = this->options.max_ejected_fraction * static_cast<double>(this->listed);
  return std::max<std::size_t>(1, static_cast<std::size_t>(most));
}

void Balancer::EjectIfAllowed(std::uint32_t index, TimePoint now, Random& random) {
  EndpointState& state = this->table->Change(index);
  const bool is_out = state.health.State() != HealthState::kHealthy;
  if (this->options.ejection == Ejection::kOff || is_out || !state.is_listed ||
      this->ejected.size() >= this->MaxEjected()) {
    return;
  }
  state.health.Eject(now, this->options, random.Unit());
  this->ejected.push_back(index);
  this->ScheduleProbe(index);
  this->table->Reindex(index, now);
}

void Balancer::EndProbe(std::uint32_t index, Evidence evidence, TimePoint now, Random& random) {
  EndpointHealth& health = this->table->Change(index).health;
  if (evidence == Evidence::kBad) {
    health.Eject(now, this->options, random.Unit());
    this->ScheduleProbe(index);
    return;
  }
  if (evidence == Evidence::kNone) {
    health.AbandonProbe(now);
    this->ScheduleProbe(index);
    return;
  }
  health.OnGoodProbe(now);
  this->ScheduleProbe(index);
  if (health.State() == HealthState::kHealthy) {
    std::erase(this->ejected, index);
  }
}

Evidence Balancer::ClassifyOutcome(const admission::Ticket& ticket, Outcome outcome,
                                   Duration measured, Duration expected, TimePoint now) {
  const bool had_short_deadline =
      now >= ticket.deadline && measured < expected * kShortDeadlineFactor;
  if (outcome == Outcome::kLost && had_short_deadline) {
    return Evidence::kNone;
  }
  switch (outcome) {
    case Outcome::kFull:
    case Outcome::kDraining:
    case Outcome::kLate:
    case Outcome::kUnfit:
    case Outcome::kStopped:
      return Evidence::kNone;
    case Outcome::kUnreachable:
      return Evidence::kBad;
    case Outcome::kCompleted:
    case Outcome::kFailed:
    case Outcome::kLost:
      break;
  }
  if (this->failure_rate_of.size() >= kMaxTrackedTeams) {
    this->failure_rate_of.clear();
  }
  const bool is_good = outcome == Outcome::kCompleted;
  double& rate = this->failure_rate_of[ticket.team];
  rate += kTeamFailureRateSmoothing * ((is_good ? 0.0 : 1.0) - rate);
  if (is_good) {
    return Evidence::kGood;
  }
  return rate > kMaxTeamFailureRate ? Evidence::kNone : Evidence::kBad;
}

double Balancer::MedianSlowness() const {
  std::vector<double> values;
  for (std::uint32_t index = 0; index < this->table->Count(); ++index) {
    const EndpointState& state = this->table->At(index);
    if (state.is_listed && state.health.Samples() >= kMinSamples) {
      values.push_back(state.health.Slowness());
    }
  }
  if (values.size() < 2) {
    // There is no other endpoint to compare with; zero stands for the expected run time.
    return 0.0;
  }
  // Takes the lower median of an even number, so that of two endpoints the slow one is not compared
  // with itself.
  const auto middle = values.begin() + static_cast<std::ptrdiff_t>((values.size() - 1) / 2);
  std::nth_element(values.begin(), middle, values.end());
  return *middle;
}

bool Balancer::IsMuchSlower(std::uint32_t index, double median) const {
  const EndpointHealth& health = this->table->At(index).health;
  return health.Samples() >= kMinSamples &&
         health.Slowness() - median > std::log(this->options.slow_factor);
}

void Balancer::EjectOutliers(TimePoint now, Random& random) {
  const double median = this->MedianSlowness();
  for (std::uint32_t index = 0; index < this->table->Count(); ++index) {
    if (this->IsMuchSlower(index, median)) {
      this->EjectIfAllowed(index, now, random);
    }
  }
  this->EjectUnresponsive(now, random);
}

void Balancer::EjectUnresponsive(TimePoint now, Random& random) {
  std::vector<std::uint32_t> overdue(this->table->Count(), 0);
  std::size_t total = 0;
  for (std::uint32_t index = 0; index < this->table->Count(); ++index) {
    for (const SentTask& task : this->table->At(index).in_flight) {
      overdue[index] += task.overdue_at <= now ? 1 : 0;
    }
    total += overdue[index];
  }
  for (std::uint32_t index = 0; index < this->table->Count(); ++index) {
    const auto own = static_cast<double>(this->table->At(index).Own());
    const std::size_t elsewhere = total - overdue[index];
    const double others = std::max(1.0, static_cast<double>(this->in_flight) - own);
    const bool is_unresponsive =
        overdue[index] >= kMinOverdueTasks && overdue[index] >= kMinOverdueFraction * own;
    const bool is_everywhere =
        static_cast<double>(elsewhere) > kMaxOverdueFractionElsewhere * others;
    if (is_unresponsive && !is_everywhere) {
      this->EjectIfAllowed(index, now, random);
    }
  }
}

}  // namespace chervilspar::load_balancing
