#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "chervilspar/base/ids.h"
#include "chervilspar/base/result.h"
#include "chervilspar/base/time.h"
#include "chervilspar/membership/agreement.h"
#include "chervilspar/membership/guard.h"
#include "chervilspar/membership/membership.h"
#include "chervilspar/quota/messages.h"
#include "chervilspar/quota/split.h"

namespace chervilspar::quota {

/// When units are requested, lent and returned. The pattern `lending` in docs/MEASUREMENTS.md gives
/// the grounds for the default values.
struct LendingPolicy {
  /// Units requested in addition to one for each waiting request.
  std::uint32_t extra_units = 1;
  /// Maximum fraction of its idle units that a lender grants to one request; it keeps the rest for
  /// its own next requests.
  double lend_fraction = 0.5;
  /// Free units of a loan are returned after the loan has been unused for this long.
  Duration return_after_idle = std::chrono::milliseconds(100);
  /// A request without an answer is abandoned after this, and the next entry is asked.
  Duration request_timeout = std::chrono::milliseconds(200);
  /// How long an entry that declined isn't asked again for the same team, unless it sends a notice
  /// that it has units. Doubles with each consecutive decline, up to `max_decline_backoff`.
  Duration decline_backoff = std::chrono::milliseconds(100);
  Duration max_decline_backoff = std::chrono::seconds(3);
};

/// Safety mechanisms of `Quota` that a test may disable.
struct QuotaGuards {
  /// After a configuration change, an entry uses no added units before the entries that lose units
  /// have settled.
  membership::Guard joint_rule = membership::Guard::kOn;
  /// A restarted entry owns nothing until the leases that its predecessor may have granted or used
  /// have expired.
  membership::Guard wait_out_predecessor = membership::Guard::kOn;
  /// A borrower checks the loan's lease on its own clock before each start.
  membership::Guard borrower_lease = membership::Guard::kOn;
  /// A lender counts a loan until its lease, the maximum task lease and the clock skew have passed.
  membership::Guard lender_expiry = membership::Guard::kOn;
  /// A start-by time bounds when an endpoint may start a task.
  membership::Guard start_by = membership::Guard::kOn;
  /// A task whose end is unknown counts until its lease and the clock skew have passed.
  membership::Guard task_expiry = membership::Guard::kOn;
  /// A grant is accepted once, and only for a request that is still open.
  membership::Guard grant_once = membership::Guard::kOn;
};

/// Permission to start one task at an endpoint.
struct StartPermit {
  /// The endpoint must refuse to start the task later than this (`Chervilspar-Start-By-Unix-Ms`).
  /// If this process is paused between the check of the limit and the sending of the request, the
  /// endpoint refuses the task.
  WallTime start_by;
  /// The endpoint stops the task after this long.
  Duration task_lease = Duration::zero();

  friend bool operator==(const StartPermit&, const StartPermit&) = default;
};

/// Why a start or a loan was refused; counted for metrics and for the tests.
enum class QuotaRefusal {
  kUnknownTeam,
  kNoUnit,
  kNotYetOwner,
  kWaitingOutPredecessor,
  kJointRule,
  kLoanExpired,
  kLateGrant,
  kUnknownLoan,
  kShuttingDown,
};
inline constexpr std::size_t kQuotaRefusals = 9;
const char* ToString(QuotaRefusal refusal);

/// One team's units at this entry, for metrics and status reports.
struct TeamUnits {
  /// Units that this entry owns and may use now.
  std::uint32_t owned = 0;
  /// Units of loans from other entries whose lease hasn't expired.
  std::uint32_t borrowed = 0;
  /// Units lent to other entries that may still be in use there.
  std::uint32_t lent = 0;
  /// Tasks that count as running.
  std::uint32_t running = 0;
  /// Requests that wait for a unit.
  std::uint32_t waiting = 0;

  friend bool operator==(const TeamUnits&, const TeamUnits&) = default;
};

/// Keeps every team within its upper limit across the fleet, without a log write or a request to a
/// leader on the request path.
///
/// The limit is split over the entries of the configuration; an entry starts tasks on its own units
/// and on units borrowed directly from others. Every unit in use is counted by at least one entry
/// at any time: a running task by the entry that started it, a loan by its lender until it is
/// returned or until no task on it can still run.
///
/// Not thread-safe; the caller guards it with one lock. All times come from this process's
/// monotonic clock, except `wall_now`, from which the start-by time for endpoints is computed.
class Quota {
 public:
  Quota(const membership::Self& self, TimePoint started, LendingPolicy policy = {},
        QuotaGuards guards = {});
  ~Quota();
  Quota(Quota&&) noexcept;
  Quota& operator=(Quota&&) noexcept;

  /// Applies an accepted configuration. Versions must not decrease.
  void OnConfiguration(const Limits& limits, TimePoint now);
  /// Call when the log has been read to its end since the start; see `Membership::MayOwn`.
  void OnMayOwn(TimePoint now);
  /// Takes the result of `Membership::Settled()`. Call whenever it may have changed (on each tick
  /// and heartbeat).
  void OnSettled(const membership::Agreement& settled, TimePoint now);
  /// Sets the entries to ask for loans, nearest first.
  void SetLenders(const std::vector<EntryId>& lenders);

  /// Claims a unit for a task. The task counts until `OnEnded`, or until it must have ended. Fails
  /// with `kConflict` when the task was started before, `kNotFound` when the configuration doesn't
  /// name the team, and `kResourceExhausted` when no unit is free.
  Result<StartPermit> TryStart(const TeamId& team, const TaskId& task, TimePoint now,
                               WallTime wall_now);
  /// Call when the task has certainly ended or never started. Ignores an unknown task.
  void OnEnded(const TaskId& task, TimePoint now);
  /// Sets how many requests of a team wait for a unit here, which decides how many units to borrow.
  void SetWaiting(const TeamId& team, std::uint32_t waiting);

  /// Handles a message from another entry; returns the messages to send.
  std::vector<LendingMessage> OnMessage(const LendingMessage& message, TimePoint now);
  /// Returns the messages to send. Call about every 50 ms, and after `SetWaiting` when a request
  /// waits.
  std::vector<LendingMessage> Tick(TimePoint now);
  /// Stops lending and borrowing; from now on each tick returns all idle units.
  void BeginShutdown();

  /// The newest configuration whose split covers the units that this entry uses, for
  /// `Membership::OnSettled`.
  config_log::ConfigVersion SettledVersion(TimePoint now);

  TeamUnits Units(const TeamId& team, TimePoint now);
  std::uint64_t RefusalCount(QuotaRefusal refusal) const;
  /// Whether nothing is lent, borrowed or running.
  bool IsIdle() const;

 private:
  class State;
  std::unique_ptr<State> state;
};

}  // namespace chervilspar::quota
