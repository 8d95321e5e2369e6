#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "chervilspar/admission/refusal.h"
#include "chervilspar/admission/ticket.h"
#include "chervilspar/base/random.h"
#include "chervilspar/base/time.h"

/// Decides at arrival whether a request is taken.
///
/// Load pattern: a burst or a lasting overload of 1.5 to 5 times what the pool can run. Without
/// this module the queue grows until every request waits past its deadline: endpoints stay busy
/// with work that nobody waits for any more. So the queue is bounded by time and not by count:
/// a request is refused at once when its predicted answer would come too late.
namespace chervilspar::admission {

/// Whether accepted requests are bounded by predicted wait. `kOff` is the plain baseline.
enum class WaitBound { kOn, kOff };

struct AdmissionOptions {
  WaitBound wait_bound = WaitBound::kOn;
  /// Longest predicted wait that is accepted, however late the deadline is. A caller that is
  /// told to come back is better off than one in a long queue, and a short queue follows a
  /// change in load quickly.
  Duration max_wait = std::chrono::seconds(5);
  /// Part of the time to the deadline that a slow case may use up; the rest covers what predictions
  /// don't see, such as slots going to other entries.
  double deadline_part = 0.85;
  /// Standard deviations of the wait that a slow case is above its mean. At 2.3, 1 in 100 waits
  /// longer, by the normal approximation.
  double slow_deviations = 2.3;
  /// Bounds of `Refusal::retry_after` before jitter.
  Duration shortest_retry_after = std::chrono::seconds(1);
  Duration longest_retry_after = std::chrono::seconds(30);
  /// Requests held by one shard at most, a bound on memory and not a policy.
  std::size_t most_waiting = 20000;

  friend bool operator==(const AdmissionOptions&, const AdmissionOptions&) = default;
};

/// What the scheduler predicts for one more request of a team.
struct Prediction {
  /// Until the request would start: mean and standard deviation. The fewer slots a team has here,
  /// the more the wait depends on how long each of the few requests ahead runs.
  Duration wait = Duration::zero();
  Duration wait_deviation = Duration::zero();
  /// Its run time, from measurements of like requests: the mean, and what 99 of 100 stay below.
  Duration run_time = Duration::zero();
  Duration p99_run_time = Duration::zero();
  /// Measurements behind them.
  std::uint32_t run_time_samples = 0;
  /// Requests of all teams waiting in this shard.
  std::size_t waiting = 0;
  /// Endpoints that can be used now.
  std::size_t endpoints = 0;

  friend bool operator==(const Prediction&, const Prediction&) = default;
};

/// Stateless but for its options: a function of the ticket and of the prediction.
class AdmissionController {
 public:
  explicit AdmissionController(AdmissionOptions options) : options(options) {}

  /// Nothing when the request is accepted, otherwise its final answer.
  std::optional<Refusal> Decide(const Ticket& ticket, const Prediction& prediction, TimePoint now,
                                Random& random) const;

  /// An honest time to come back for a team whose queue needs `wait` to empty, spread by jitter:
  /// without it, callers refused in one second come back together in one later second.
  Duration RetryAfter(Duration wait, Random& random) const;

 private:
  AdmissionOptions options;
};

}  // namespace chervilspar::admission
