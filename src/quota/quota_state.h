#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <set>
#include <utility>
#include <vector>

#include "chervilspar/quota/quota.h"

#include "borrowed_loans.h"
#include "entitlement.h"
#include "lender_selector.h"
#include "lent_loans.h"
#include "task_table.h"

namespace chervilspar::quota {

/// How long after the check of the limit an endpoint may start the task. A dispatch takes a few
/// milliseconds, so that only tasks delayed by a pause or a stuck connection are refused.
inline constexpr Duration kStartWindow = std::chrono::seconds(2);

/// Allows for clocks that run at different rates: 200 ppm over the longest wait of 67 s are 14 ms.
inline constexpr Duration kDriftMargin = std::chrono::milliseconds(100);

/// Start window when a test disables the start-by time.
inline constexpr Duration kUnboundedWindow = std::chrono::hours(24);

/// The implementation of `Quota`.
class Quota::State {
 public:
  State(const membership::Self& self, TimePoint started, LendingPolicy policy, QuotaGuards guards);

  void OnConfiguration(const Limits& limits, TimePoint now);
  void OnMayOwn(TimePoint now);
  void OnSettled(const membership::Agreement& settled);
  Result<StartPermit> TryStart(const TeamId& team, const TaskId& task, TimePoint now,
                               WallTime wall_now);
  void OnEnded(const TaskId& task, TimePoint now);
  void OnMessage(const LendingMessage& message, TimePoint now);
  void Tick(TimePoint now);
  config_log::ConfigVersion SettledVersion(TimePoint now);
  TeamUnits Units(const TeamId& team, TimePoint now);
  bool IsIdle() const;
  std::vector<LendingMessage> TakeOutbox();

  std::map<TeamId, std::uint32_t> waiting;
  std::vector<EntryId> lenders;
  std::array<std::uint64_t, kQuotaRefusals> refusals{};
  bool is_shutting_down = false;

 private:
  void UpdateWaitedOut(TimePoint now);
  void UpdateMaxWait();
  std::set<TeamId> TeamsInUse() const;
  std::uint32_t Owned(const TeamId& team) const;
  std::uint32_t UsedOfOwn(const TeamId& team) const;
  std::uint32_t FreeOfOwn(const TeamId& team) const;
  void Expire(TimePoint now);
  void Release(const CountedTask& ended, TimePoint now);
  void MoveTasksToOwnUnits(const TeamId& team, TimePoint now);
  StartPermit StartOnOwnUnit(const TeamId& team, const TaskId& task, TimePoint now, WallTime wall);
  StartPermit StartOnLoan(const BorrowedUnit& unit, const TeamId& team, const TaskId& task,
                          TimePoint now, WallTime wall);
  TimePoint CountsUntil(Duration window, Duration task_lease, TimePoint now) const;
  TimePoint TaskCountsUntil(Duration window, Duration task_lease, TimePoint now) const;
  Reason Refuse(const TeamId& team, TimePoint now);
  QuotaRefusal RefusalFor(const TeamId& team, TimePoint now) const;
  void AnswerRequest(const LoanRequest& request, const LendingMessage& message, TimePoint now);
  std::uint32_t UnitsToLend(const LoanRequest& request) const;
  void OnGrant(const LoanGrant& grant, const EntryId& from, TimePoint now);
  void RequestLoan(const TeamId& team, TimePoint now);
  void NotifyDeclinedBorrowers();
  void ReturnUnneededUnits(TimePoint now);
  void Count(QuotaRefusal refusal) { ++this->refusals.at(static_cast<std::size_t>(refusal)); }
  LendingMessage& MessageTo(const EntryId& entry);

  membership::Self self;
  TimePoint started;
  LendingPolicy policy;
  QuotaGuards guards;
  Limits limits;
  Entitlement entitlement;
  TaskTable tasks;
  LentLoans lent_loans;
  BorrowedLoans borrowed_loans;
  bool may_own = false;
  /// Whether no task can still run on units that a predecessor of this process lent or used.
  bool has_waited_out = false;
  /// Maximum wait under any configuration seen since the start. The predecessor may have acted by
  /// an earlier one with longer leases.
  Duration max_wait = Duration::zero();
  config_log::ConfigVersion settled_version = 0;
  std::map<EntryId, LendingMessage> outbox;
  /// Each borrower's incarnation and its last request number, so that a duplicate request isn't
  /// granted twice.
  std::map<EntryId, std::pair<membership::Incarnation, std::uint64_t>> last_requests;
  LenderSelector lender_selector;
  /// Entries whose requests for a team were declined, to be notified when there are units to lend.
  std::map<TeamId, std::set<EntryId>> declined_borrowers;
};

}  // namespace chervilspar::quota
