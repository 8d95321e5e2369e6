#include "quota_state.h"

#include <algorithm>

#include "chervilspar/base/assert.h"

namespace chervilspar::quota {

using membership::Guard;

Quota::State::State(const membership::Self& self, TimePoint started, LendingPolicy policy,
                    QuotaGuards guards)
    : self(self),
      started(started),
      policy(policy),
      guards(guards),
      entitlement(self.id, guards.joint_rule),
      lent_loans(self.id, self.incarnation),
      borrowed_loans(self.incarnation, guards),
      lender_selector(policy) {}

void Quota::State::OnConfiguration(const Limits& limits, TimePoint now) {
  if (limits.version == this->limits.version) {
    return;
  }
  this->Expire(now);
  this->limits = limits;
  this->UpdateMaxWait();
  this->lender_selector.Clear();
  this->declined_borrowers.clear();
  this->entitlement.OnLimits(limits);
}

void Quota::State::OnMayOwn(TimePoint now) {
  if (this->may_own) {
    return;
  }
  this->Expire(now);
  this->may_own = true;
  // With no configuration in the whole log, no predecessor has ever owned a unit.
  const bool had_predecessor = this->limits.version > 0;
  this->has_waited_out =
      this->has_waited_out || !had_predecessor || this->guards.wait_out_predecessor == Guard::kOff;
  this->entitlement.OnMayOwn();
}

void Quota::State::OnSettled(const membership::Agreement& settled) {
  this->entitlement.OnSettled(settled);
}

void Quota::State::UpdateMaxWait() {
  const Duration max_start_window = std::max(kStartWindow, this->limits.loan_lease);
  const TimePoint until =
      this->CountsUntil(max_start_window, this->limits.max_task_lease, this->started);
  this->max_wait = std::max(this->max_wait, until - this->started);
}

void Quota::State::UpdateWaitedOut(TimePoint now) {
  // Until the log is read to its end, it may still contain a configuration with longer leases.
  if (this->may_own && now >= this->started + this->max_wait) {
    this->has_waited_out = true;
  }
}

TimePoint Quota::State::CountsUntil(Duration window, Duration task_lease, TimePoint now) const {
  return now + window + this->limits.max_clock_skew + task_lease + kDriftMargin;
}

TimePoint Quota::State::TaskCountsUntil(Duration window, Duration task_lease, TimePoint now) const {
  const bool holds = this->guards.task_expiry == Guard::kOn;
  return holds ? this->CountsUntil(window, task_lease, now) : now + window;
}

std::uint32_t Quota::State::Owned(const TeamId& team) const {
  return this->has_waited_out ? this->entitlement.Owned(team) : 0;
}

std::uint32_t Quota::State::UsedOfOwn(const TeamId& team) const {
  return this->tasks.OnOwnUnits(team) + this->lent_loans.Lent(team);
}

std::uint32_t Quota::State::FreeOfOwn(const TeamId& team) const {
  const std::uint32_t owned = this->Owned(team);
  const std::uint32_t used = this->UsedOfOwn(team);
  return owned > used ? owned - used : 0;
}

void Quota::State::Expire(TimePoint now) {
  this->UpdateWaitedOut(now);
  this->lent_loans.RemoveExpired(now);
  for (const CountedTask& ended : this->tasks.RemoveExpired(now)) {
    this->Release(ended, now);
  }
}

void Quota::State::Release(const CountedTask& ended, TimePoint now) {
  if (ended.loan) {
    this->borrowed_loans.ReleaseUnit(*ended.loan, now);
  }
}

void Quota::State::MoveTasksToOwnUnits(const TeamId& team, TimePoint now) {
  while (this->FreeOfOwn(team) > 0) {
    const std::optional<LoanKey> loan = this->tasks.MoveToOwnUnit(team);
    if (!loan) {
      return;
    }
    this->borrowed_loans.ReleaseUnit(*loan, now);
  }
}

Result<StartPermit> Quota::State::TryStart(const TeamId& team, const TaskId& task, TimePoint now,
                                           WallTime wall_now) {
  this->Expire(now);
  if (this->tasks.Contains(task)) {
    return Reason{ErrorCode::kConflict, "task", "the task was already started"};
  }
  if (this->FreeOfOwn(team) > 0) {
    return this->StartOnOwnUnit(team, task, now, wall_now);
  }
  const std::optional<BorrowedUnit> unit = this->borrowed_loans.TakeUnit(team, now);
  if (unit) {
    return this->StartOnLoan(*unit, team, task, now, wall_now);
  }
  return this->Refuse(team, now);
}

StartPermit Quota::State::StartOnOwnUnit(const TeamId& team, const TaskId& task, TimePoint now,
                                         WallTime wall) {
  const Duration task_lease = this->limits.max_task_lease;
  this->tasks.Add(task, {team, std::nullopt, this->TaskCountsUntil(kStartWindow, task_lease, now)});
  CHERVILSPAR_ASSERT(this->UsedOfOwn(team) <= this->Owned(team));
  const bool has_bound = this->guards.start_by == Guard::kOn;
  return {wall + (has_bound ? kStartWindow : kUnboundedWindow), task_lease};
}

StartPermit Quota::State::StartOnLoan(const BorrowedUnit& unit, const TeamId& team,
                                      const TaskId& task, TimePoint now, WallTime wall) {
  const bool has_lease = this->guards.borrower_lease == Guard::kOn;
  const Duration left = has_lease ? unit.usable_until - now : kStartWindow;
  CHERVILSPAR_ASSERT(left > Duration::zero());
  const Duration window = std::min(kStartWindow, left);
  const Duration task_lease = std::min(this->limits.max_task_lease, unit.task_lease);
  this->tasks.Add(task, {team, unit.loan, this->TaskCountsUntil(window, task_lease, now)});
  const bool has_bound = this->guards.start_by == Guard::kOn;
  return {wall + (has_bound ? window : kUnboundedWindow), task_lease};
}

Reason Quota::State::Refuse(const TeamId& team, TimePoint now) {
  const QuotaRefusal refusal = this->RefusalFor(team, now);
  this->Count(refusal);
  const ErrorCode code =
      refusal == QuotaRefusal::kUnknownTeam ? ErrorCode::kNotFound : ErrorCode::kResourceExhausted;
  return Reason{code, "team", ToString(refusal)};
}

QuotaRefusal Quota::State::RefusalFor(const TeamId& team, TimePoint now) const {
  if (!this->entitlement.IsKnown(team)) {
    return QuotaRefusal::kUnknownTeam;
  }
  if (this->borrowed_loans.HasExpiredLoan(team, now)) {
    return QuotaRefusal::kLoanExpired;
  }
  if (!this->may_own) {
    return QuotaRefusal::kNotYetOwner;
  }
  if (!this->has_waited_out) {
    return QuotaRefusal::kWaitingOutPredecessor;
  }
  return this->entitlement.IsLimitedByJointRule(team) ? QuotaRefusal::kJointRule
                                                      : QuotaRefusal::kNoUnit;
}

void Quota::State::OnEnded(const TaskId& task, TimePoint now) {
  this->Expire(now);
  const std::optional<CountedTask> ended = this->tasks.Remove(task);
  if (ended) {
    this->Release(*ended, now);
    this->MoveTasksToOwnUnits(ended->team, now);
  }
}

config_log::ConfigVersion Quota::State::SettledVersion(TimePoint now) {
  this->Expire(now);
  const bool is_settled = this->settled_version == this->limits.version;
  if (is_settled || !this->has_waited_out) {
    return this->settled_version;
  }
  for (const TeamId& team : this->TeamsInUse()) {
    if (this->UsedOfOwn(team) > this->entitlement.OwnPart(team)) {
      return this->settled_version;
    }
  }
  this->settled_version = this->limits.version;
  return this->settled_version;
}

TeamUnits Quota::State::Units(const TeamId& team, TimePoint now) {
  this->Expire(now);
  TeamUnits units;
  units.owned = this->Owned(team);
  units.borrowed = this->borrowed_loans.Borrowed(team, now);
  units.lent = this->lent_loans.Lent(team);
  units.running = this->tasks.Running(team);
  const auto waits = this->waiting.find(team);
  units.waiting = waits == this->waiting.end() ? 0 : waits->second;
  return units;
}

bool Quota::State::IsIdle() const {
  return this->tasks.IsEmpty() && this->lent_loans.IsEmpty() && this->borrowed_loans.IsEmpty();
}

std::set<TeamId> Quota::State::TeamsInUse() const {
  std::set<TeamId> teams = this->tasks.Teams();
  teams.merge(this->lent_loans.Teams());
  return teams;
}

}  // namespace chervilspar::quota
