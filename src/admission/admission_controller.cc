#include "chervilspar/admission/admission_controller.h"

#include <algorithm>
#include <string>

namespace chervilspar::admission {

namespace {

/// Half of `retry_after` is spread evenly: callers refused in one second come back over at least
/// half a second, which is longer than the queue needs to notice and refuse the first of them.
constexpr double kJitterPart = 0.5;

/// Measurements of like requests before the deadline is judged by them.
constexpr std::uint32_t kSamplesToRefuse = 8;
/// Part of the requests with too little time that is let through all the same.
constexpr double kTryAnyway = 0.02;

Duration Scale(Duration span, double factor) {
  return Duration(static_cast<Duration::rep>(static_cast<double>(span.count()) * factor));
}

std::string Milliseconds(Duration span) { return std::to_string(span.count() / 1000) + " ms"; }

}  // namespace

std::optional<Refusal> AdmissionController::Decide(const Ticket& ticket,
                                                   const Prediction& prediction, TimePoint now,
                                                   Random& random) const {
  if (prediction.waiting >= this->options.most_waiting) {
    return Refusal{RefusalCode::kOverloaded, "too many requests are waiting",
                   this->RetryAfter(prediction.wait, random)};
  }
  if (this->options.wait_bound == WaitBound::kOff) {
    return std::nullopt;
  }
  if (prediction.endpoints == 0) {
    return Refusal{RefusalCode::kNoEndpoint, "no endpoint of the service can be used now",
                   this->RetryAfter(this->options.shortest_retry_after, random)};
  }
  const Duration left = ticket.deadline - now;
  // A request that is refused is not measured, so a run time that was long for a while would be
  // believed for good, and that of a new team would never be known: some are let through to find
  // out.
  const bool is_known = prediction.run_time_samples >= kSamplesToRefuse;
  const bool tries_anyway = !is_known || random.Unit() < kTryAnyway;
  if (prediction.run_time > left && !tries_anyway) {
    return Refusal{RefusalCode::kDeadlineUnreachable,
                   "like requests run for " + Milliseconds(prediction.run_time) +
                       ", the deadline is in " + Milliseconds(left),
                   Duration::zero()};
  }
  if (prediction.wait == Duration::zero()) {
    return std::nullopt;
  }
  const Duration slow_run =
      tries_anyway ? std::min(prediction.p99_run_time, left / 2) : prediction.p99_run_time;
  const Duration usable = Scale(left, this->options.deadline_part) - slow_run;
  const Duration slow_wait =
      prediction.wait + Scale(prediction.wait_deviation, this->options.slow_deviations);
  if (slow_wait <= usable && prediction.wait <= this->options.max_wait) {
    return std::nullopt;
  }
  return Refusal{RefusalCode::kOverloaded, "the predicted wait is " + Milliseconds(prediction.wait),
                 this->RetryAfter(prediction.wait, random)};
}

Duration AdmissionController::RetryAfter(Duration wait, Random& random) const {
  const Duration base =
      std::clamp(wait, this->options.shortest_retry_after, this->options.longest_retry_after);
  return base + Scale(base, kJitterPart * random.Unit());
}

}  // namespace chervilspar::admission
