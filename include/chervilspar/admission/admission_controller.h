#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "chervilspar/admission/refusal.h"
#include "chervilspar/admission/ticket.h"
#include "chervilspar/base/random.h"
#include "chervilspar/base/time.h"

/// Decides on arrival whether a request is accepted.
///
/// In a burst or a lasting overload of 1.5 to 5 times the pool's capacity, an unbounded queue grows
/// until every request waits past its deadline, and endpoints stay busy with work whose callers
/// have timed out. The queue is therefore bounded by predicted wait rather than by length: a
/// request is refused immediately when its response is predicted to miss the deadline.
namespace chervilspar::admission {

/// Whether requests are refused by predicted wait. `kOff` is the baseline for comparison.
enum class WaitBound { kOn, kOff };

struct AdmissionOptions {
  WaitBound wait_bound = WaitBound::kOn;
  /// Longest predicted wait that is accepted, regardless of the deadline. A caller that gets a
  /// retry time is better off than one in a long queue, and a short queue adapts quickly to a
  /// change in load.
  Duration max_wait = std::chrono::seconds(5);
  /// Fraction of the time to the deadline that a slow case may use. The rest covers what the
  /// prediction does not include, such as slots that other entries take.
  double deadline_fraction = 0.85;
  /// Standard deviations by which the wait of a slow case exceeds the mean. At 2.3, 1 in 100
  /// requests waits longer, by the normal approximation.
  double tail_deviations = 2.3;
  /// Bounds of `Refusal::retry_after` before jitter.
  Duration min_retry_after = std::chrono::seconds(1);
  Duration max_retry_after = std::chrono::seconds(30);
  /// Maximum number of requests waiting in one shard. It bounds memory use.
  std::size_t max_waiting = 20000;

  friend bool operator==(const AdmissionOptions&, const AdmissionOptions&) = default;
};

/// What the scheduler predicts for one more request of a team.
struct Prediction {
  /// Mean and standard deviation of the time until the request starts. The fewer slots a team has
  /// at this entry, the more the wait depends on the run time of each request ahead.
  Duration wait = Duration::zero();
  Duration wait_deviation = Duration::zero();
  /// Mean and 99th percentile of the run time, from measurements of similar requests.
  Duration run_time = Duration::zero();
  Duration p99_run_time = Duration::zero();
  /// Number of measurements behind `run_time` and `p99_run_time`.
  std::uint32_t run_time_samples = 0;
  /// Requests of all teams waiting in this shard.
  std::size_t waiting = 0;
  /// Number of endpoints that can be used now.
  std::size_t endpoints = 0;

  friend bool operator==(const Prediction&, const Prediction&) = default;
};

/// Has no state except its options: a decision depends only on the arguments.
class AdmissionController {
 public:
  explicit AdmissionController(AdmissionOptions options) : options(options) {}

  /// Returns nothing if the request is accepted, otherwise its final response.
  std::optional<Refusal> Decide(const Ticket& ticket, const Prediction& prediction, TimePoint now,
                                Random& random) const;

  /// Returns when to retry for a team whose queue needs `wait` to empty: `wait` within the bounds
  /// of the options, plus jitter of up to half of it. Without jitter, callers that are refused in
  /// the same second also retry in the same second.
  Duration RetryAfter(Duration wait, Random& random) const;

 private:
  AdmissionOptions options;
};

}  // namespace chervilspar::admission
