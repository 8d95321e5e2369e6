#include <algorithm>
#include <cmath>

#include "dispatch/service_shard_state.h"

namespace chervilspar::dispatch {

namespace {

/// A request expected to run this many times longer than the usual one waits in the long lane.
constexpr int kLongFactor = 4;
/// Slots that a team is predicted to get are never taken as fewer: predictions divide by them.
constexpr double kFewestSlots = 0.25;
/// Standard deviations from the mean to the slow run time, for exponential run times.
constexpr double kDeviationsToSlow = 3.6;

Duration SpreadOver(Duration cost, double slots) {
  return Duration(static_cast<Duration::rep>(static_cast<double>(cost.count()) / slots));
}

/// The sum of the run times of the requests ahead, each with the deviation of its kind, spread over
/// the slots.
Duration WaitDeviation(Duration ahead, const scheduling::RunTimeEstimate& estimate, double slots) {
  const double mean = std::max(static_cast<double>(estimate.mean.count()), 1.0);
  const double deviation = (static_cast<double>(estimate.p99.count()) - mean) / kDeviationsToSlow;
  const double requests = static_cast<double>(ahead.count()) / mean;
  return Duration(static_cast<Duration::rep>(std::sqrt(requests) * deviation / slots));
}

bool Fits(const admission::Requirement& shape, const admission::Requirement& requirement) {
  return shape.cores >= requirement.cores && shape.memory_mb >= requirement.memory_mb &&
         shape.accelerators >= requirement.accelerators;
}

}  // namespace

bool ServiceShard::State::FitsNowhere(const admission::Requirement& requirement) const {
  return !this->shapes.empty() &&
         std::none_of(this->shapes.begin(), this->shapes.end(),
                      [&](const auto& shape) { return Fits(shape, requirement); });
}

scheduling::RunTimeEstimate ServiceShard::State::Estimate(const admission::Ticket& ticket) const {
  const bool has_word = ticket.declared_run_time > Duration::zero();
  if (this->options.scheduling.cost == scheduling::CostBasis::kDeclared && has_word) {
    return {ticket.declared_run_time, ticket.declared_run_time, 0};
  }
  return this->estimator.Expect(ticket.team, ticket.declared_run_time);
}

scheduling::Lane ServiceShard::State::LaneOf(const admission::Ticket& ticket,
                                             const scheduling::RunTimeEstimate& estimate) const {
  if (this->options.scheduling.order == scheduling::QueueOrder::kFifo) {
    return scheduling::Lane::kShort;
  }
  if (ticket.work_class == admission::WorkClass::kUrgent) {
    return scheduling::Lane::kUrgent;
  }
  const bool is_long = this->options.scheduling.long_lane == scheduling::LongLane::kOn &&
                       estimate.mean > this->estimator.GeometricMean() * kLongFactor;
  return is_long ? scheduling::Lane::kLong : scheduling::Lane::kShort;
}

TimePoint ServiceShard::State::LatestStart(const admission::Ticket& ticket,
                                           const scheduling::RunTimeEstimate& estimate) const {
  if (this->options.admission.wait_bound == admission::WaitBound::kOff) {
    return ticket.deadline;
  }
  // Room for a slow run, but not more than half of the caller's time: a caller with little time
  // is better served by a try that will probably do than by a refusal.
  const Duration half = (ticket.deadline - ticket.arrived) / 2;
  return ticket.deadline - std::min(estimate.p99, half);
}

double ServiceShard::State::SlotsWithin(const TeamId& team) const {
  const scheduling::TeamUsage use = this->queue.Usage(team);
  const double all = this->balancer.UsableSlots();
  double fleet = this->division.idle_slots;
  double local_fraction = 1.0;
  double shares = this->active_shares;
  const auto part = this->part_of.find(team);
  if (part == this->part_of.end()) {
    shares += use.share;
  } else {
    fleet += part->second.slots;
    // Demand that is new here is in no report yet; it soon draws an even part.
    local_fraction = 1.0 / static_cast<double>(this->division.entries.size());
    if (part->second.slots > 0.0) {
      local_fraction = std::max(local_fraction, part->second.local_slots / part->second.slots);
    }
  }
  fleet = std::max(fleet, all * use.share / std::max(shares, use.share));
  double slots = std::min(fleet, all) * local_fraction;
  if (use.gate == scheduling::GateAnswer::kAtLimit) {
    slots = std::min(slots, static_cast<double>(use.running));
  }
  return std::max(slots, kFewestSlots);
}

admission::Prediction ServiceShard::State::Predict(const admission::Ticket& ticket,
                                                   const scheduling::RunTimeEstimate& estimate,
                                                   scheduling::Lane lane, TimePoint now) {
  admission::Prediction prediction;
  prediction.run_time = estimate.mean;
  prediction.p99_run_time = estimate.p99;
  prediction.run_time_samples = estimate.samples;
  prediction.waiting = this->queue.WaitingCount();
  prediction.endpoints = this->balancer.UsableEndpoints();
  const Duration ahead = this->queue.CostAhead(ticket.team, lane);
  if (ahead == Duration::zero() && this->balancer.HasFreeSlot(now)) {
    return prediction;
  }
  const Duration next_slot = estimate.mean;
  if (lane == scheduling::Lane::kUrgent) {
    const double slots = this->options.scheduling.urgent_fraction * this->balancer.UsableSlots();
    prediction.wait = SpreadOver(ahead, std::max(slots, 1.0));
    return prediction;
  }
  const double slots = this->SlotsWithin(ticket.team);
  prediction.wait = SpreadOver(ahead + next_slot, slots);
  prediction.wait_deviation = WaitDeviation(ahead + next_slot, estimate, slots);
  return prediction;
}

}  // namespace chervilspar::dispatch
