#include "chervilspar/admission/admission_controller.h"

#include <algorithm>
#include <string>

namespace chervilspar::admission {

namespace {

/// Maximum jitter as a fraction of the retry time. Callers that are refused in the same second
/// retry over at least half a second, which is longer than the queue needs to register and refuse
/// the first of them.
constexpr double kJitterFraction = 0.5;

/// Measurements of similar requests that a refusal by predicted run time needs.
constexpr std::uint32_t kMinSamplesToRefuse = 8;
/// Fraction of the requests with too little time that is accepted to measure run times again.
constexpr double kProbeFraction = 0.02;

Duration Scale(Duration duration, double factor) {
  return Duration(static_cast<Duration::rep>(static_cast<double>(duration.count()) * factor));
}

std::string Milliseconds(Duration duration) {
  return std::to_string(duration.count() / 1000) + " ms";
}

}  // namespace

std::optional<Refusal> AdmissionController::Decide(const Ticket& ticket,
                                                   const Prediction& prediction, TimePoint now,
                                                   Random& random) const {
  if (prediction.waiting >= this->options.max_waiting) {
    return Refusal{RefusalCode::kOverloaded, "too many requests are waiting",
                   this->RetryAfter(prediction.wait, random)};
  }
  if (this->options.wait_bound == WaitBound::kOff) {
    return std::nullopt;
  }
  if (prediction.endpoints == 0) {
    return Refusal{RefusalCode::kNoEndpoint, "no endpoint of the service can be used now",
                   this->RetryAfter(this->options.min_retry_after, random)};
  }
  const Duration time_left = ticket.deadline - now;
  // Refused requests are not measured. Unless some are accepted as probes, an estimate that was
  // high for a while would never be corrected, and a new team would never get one.
  const bool is_known = prediction.run_time_samples >= kMinSamplesToRefuse;
  const bool is_probe = !is_known || random.Unit() < kProbeFraction;
  if (prediction.run_time > time_left && !is_probe) {
    return Refusal{RefusalCode::kDeadlineUnreachable,
                   "like requests run for " + Milliseconds(prediction.run_time) +
                       ", the deadline is in " + Milliseconds(time_left),
                   Duration::zero()};
  }
  if (prediction.wait == Duration::zero()) {
    return std::nullopt;
  }
  const Duration p99_run =
      is_probe ? std::min(prediction.p99_run_time, time_left / 2) : prediction.p99_run_time;
  const Duration usable = Scale(time_left, this->options.deadline_fraction) - p99_run;
  const Duration tail_wait =
      prediction.wait + Scale(prediction.wait_deviation, this->options.tail_deviations);
  if (tail_wait <= usable && prediction.wait <= this->options.max_wait) {
    return std::nullopt;
  }
  return Refusal{RefusalCode::kOverloaded, "the predicted wait is " + Milliseconds(prediction.wait),
                 this->RetryAfter(prediction.wait, random)};
}

Duration AdmissionController::RetryAfter(Duration wait, Random& random) const {
  const Duration base =
      std::clamp(wait, this->options.min_retry_after, this->options.max_retry_after);
  return base + Scale(base, kJitterFraction * random.Unit());
}

}  // namespace chervilspar::admission
