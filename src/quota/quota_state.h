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

/// How long after the check an endpoint may start the task. A dispatch takes a few milliseconds, so
/// that this only ever refuses what a pause or a stuck connection has held up.
inline constexpr Duration kStartWindow = std::chrono::seconds(2);

/// Allows for two clocks running at different rates: 200 ppm over the 67 s that the longest wait
/// takes are 14 ms.
inline constexpr Duration kDriftMargin = std::chrono::milliseconds(100);

/// Stands for no start-by time and no end of counting when a test takes these out.
inline constexpr Duration kUnboundedWindow = std::chrono::hours(24);

/// The parts of `Quota`, kept out of its public header.
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
  /// Whether nothing that a predecessor of this life gave or used can still run.
  bool has_waited_out = false;
  /// Longest wait under any configuration seen in this life: the predecessor may have acted by an
  /// earlier one with longer leases.
  Duration max_wait = Duration::zero();
  config_log::ConfigVersion settled_version = 0;
  std::map<EntryId, LendingMessage> outbox;
  /// Highest request number seen of each borrower's life: a repeated request is not lent on twice.
  std::map<EntryId, std::pair<membership::Incarnation, std::uint64_t>> last_requests;
  LenderSelector lender_selector;
  /// Who asked for units of a team in vain, to be told when there are some.
  std::map<TeamId, std::set<EntryId>> declined_borrowers;
};

}  // namespace chervilspar::quota
