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

/// How units are lent. The figures' grounds are in docs/MEASUREMENTS.md (pattern `lending`).
struct LendingPolicy {
  /// Units asked for beyond those that wait.
  std::uint32_t extra_units = 1;
  /// Largest part of its idle units that a lender gives to one request; the rest stays for its own
  /// next requests.
  double lend_fraction = 0.5;
  /// A loan without a task goes back after this long without use.
  Duration return_after_idle = std::chrono::milliseconds(100);
  /// A request without an answer is given up after this, and the next entry is asked.
  Duration request_timeout = std::chrono::milliseconds(200);
  /// An entry that declined is not asked for the same team again for this long, doubled with each
  /// decline in a row up to `max_decline_backoff`, unless it tells that it has units now.
  Duration decline_backoff = std::chrono::milliseconds(100);
  Duration max_decline_backoff = std::chrono::seconds(3);
};

/// Safety mechanisms of `Quota` that a test may take out.
struct QuotaGuards {
  /// After a change of the configuration, no gain before those who lose have settled.
  membership::Guard joint_rule = membership::Guard::kOn;
  /// A new life waits out the leases that its predecessor may have given or used.
  membership::Guard wait_out_predecessor = membership::Guard::kOn;
  /// A borrower checks the loan's lease on its own clock before each start.
  membership::Guard borrower_lease = membership::Guard::kOn;
  /// A lender counts a loan until lease, longest task lease and skew have passed.
  membership::Guard lender_expiry = membership::Guard::kOn;
  /// A start-by time bounds when an endpoint may start a task.
  membership::Guard start_by = membership::Guard::kOn;
  /// Tasks without a known end count until they must have ended.
  membership::Guard task_expiry = membership::Guard::kOn;
  /// A grant is taken once, and only for a request that is still open.
  membership::Guard grant_once = membership::Guard::kOn;
};

/// Leave to start one task at an endpoint.
struct StartPermit {
  /// The endpoint must refuse to start the task later than this (`Chervilspar-Start-By-Unix-Ms`).
  /// It closes the gap between the check here and the bytes leaving: a process that is paused
  /// between the two sends a task that the endpoint refuses.
  WallTime start_by;
  /// The endpoint stops the task after this long.
  Duration task_lease = Duration::zero();

  friend bool operator==(const StartPermit&, const StartPermit&) = default;
};

/// Why a start or a loan was refused or held back; counted for metrics and for the proofs.
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

/// One team's units at this entry, for metrics, status and explanation.
struct TeamUnits {
  /// Owned units under the rules of the moment.
  std::uint32_t owned = 0;
  /// Units of live loans from others.
  std::uint32_t borrowed = 0;
  /// Units lent out and not yet known to be free.
  std::uint32_t lent = 0;
  /// Tasks that count as running.
  std::uint32_t running = 0;
  /// Requests that wait for a unit.
  std::uint32_t waiting = 0;

  friend bool operator==(const TeamUnits&, const TeamUnits&) = default;
};

/// Keeps every team within its upper limit across the fleet, without a log record or a leader in
/// the way of a request.
///
/// The limit is split over the entries of the configuration; an entry starts tasks on its own units
/// and on units borrowed directly from others. Every unit is at any moment counted by at least one
/// entry: a running task by the entry that started it, a loan by its lender until it is returned or
/// until no task on it can still run.
///
/// Not thread-safe; the driver keeps it under one lock. All times are the own monotonic clock, but
/// for `wall_now`, from which the start-by time for endpoints is made.
class Quota {
 public:
  Quota(const membership::Self& self, TimePoint started, LendingPolicy policy = {},
        QuotaGuards guards = {});
  ~Quota();
  Quota(Quota&&) noexcept;
  Quota& operator=(Quota&&) noexcept;

  /// An accepted configuration was folded. Versions must not go back.
  void OnConfiguration(const Limits& limits, TimePoint now);
  /// The log was read to its end since the start: see `Membership::MayOwn`.
  void OnMayOwn(TimePoint now);
  /// `Membership::Settled()`, whenever it may have changed (each tick and heartbeat).
  void OnSettled(const membership::Agreement& settled, TimePoint now);
  /// Entries to ask for loans, nearest first.
  void SetLenders(const std::vector<EntryId>& lenders);

  /// Takes a unit for a task, or says why there is none. The task counts until `OnEnded`, or until
  /// it must have ended.
  Result<StartPermit> TryStart(const TeamId& team, const TaskId& task, TimePoint now,
                               WallTime wall_now);
  /// The task has ended, or never started, for certain. An unknown task is ignored.
  void OnEnded(const TaskId& task, TimePoint now);
  /// How many requests of a team wait for a unit here; loans are asked for by this.
  void SetWaiting(const TeamId& team, std::uint32_t waiting);

  std::vector<LendingMessage> OnMessage(const LendingMessage& message, TimePoint now);
  /// Call about every 50 ms, and after `SetWaiting` when a request waits.
  std::vector<LendingMessage> Tick(TimePoint now);
  /// Lends and borrows nothing any more, and returns what is idle on each tick.
  void BeginShutdown();

  /// The newest configuration within whose split this entry's use has come, for `Membership`.
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
