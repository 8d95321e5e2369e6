#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "chervilspar/base/ids.h"
#include "chervilspar/base/time.h"
#include "chervilspar/quota/messages.h"
#include "chervilspar/quota/quota.h"

namespace chervilspar::quota {

/// How a borrower handled a grant.
enum class GrantOutcome { kAccepted, kDeclined, kDuplicate, kLate, kOtherIncarnation };

/// A unit of a loan on which a task may start until `usable_until`.
struct BorrowedUnit {
  LoanKey loan;
  TimePoint usable_until;
  Duration task_lease = Duration::zero();
};

/// The open loan requests of this entry and the loans that it holds.
class BorrowedLoans {
 public:
  BorrowedLoans(membership::Incarnation incarnation, QuotaGuards guards);

  /// Records a request that is sent now; returns its number.
  std::uint64_t AddRequest(const TeamId& team, const EntryId& lender, std::uint32_t units,
                           TimePoint now);
  GrantOutcome OnGrant(const LoanGrant& grant, const EntryId& from, TimePoint now);
  void OnReturnSeen(const LoanReturnSeen& seen);
  /// Removes requests without an answer for `timeout`; returns their lenders.
  std::vector<EntryId> RemoveTimedOutRequests(TimePoint now, Duration timeout);

  /// Takes a free unit on which a task may start now.
  std::optional<BorrowedUnit> TakeUnit(const TeamId& team, TimePoint now);
  void ReleaseUnit(const LoanKey& loan, TimePoint now);

  /// Schedules the return of free units whose lease has expired or that have been idle for
  /// `idle_for`. Idle units of teams in `keep` are kept while their lease lasts.
  void ReleaseUnneeded(TimePoint now, Duration idle_for, const std::set<TeamId>& keep);
  /// Returns to send now, by lender. Each is sent again until the lender acknowledges it.
  std::map<EntryId, std::vector<LoanReturn>> TakeDueReturns(TimePoint now);

  /// Free and used units of loans whose lease hasn't expired.
  std::uint32_t Borrowed(const TeamId& team, TimePoint now) const;
  /// Free units on which a task may start now.
  std::uint32_t Free(const TeamId& team, TimePoint now) const;
  /// Units in open requests.
  std::uint32_t RequestedUnits(const TeamId& team) const;
  bool HasOpenRequest(const TeamId& team) const { return this->RequestedUnits(team) > 0; }
  /// Whether a loan of the team has free units although its lease has expired.
  bool HasExpiredLoan(const TeamId& team, TimePoint now) const;
  bool IsEmpty() const { return this->loans.empty(); }

 private:
  struct Request {
    TeamId team;
    EntryId lender;
    std::uint32_t units = 0;
    TimePoint sent_at;
  };
  struct Loan {
    TeamId team;
    /// Free and used units, all of which the lender still counts as lent.
    std::uint32_t units = 0;
    std::uint32_t used = 0;
    TimePoint usable_until;
    TimePoint last_used_at;
    Duration task_lease = Duration::zero();
    /// When to send the return next; empty when there is nothing to return.
    std::optional<TimePoint> return_due;
    /// The loan may be removed after this, even if the lender hasn't acknowledged its return.
    TimePoint forget_at;
  };

  bool IsUsable(const Loan& loan, TimePoint now) const;
  /// Records a loan whose grant came too late, with no usable units, so that it is returned.
  void AddLateLoan(const LoanGrant& grant, TimePoint now);
  void AddLoan(const LoanGrant& grant, TimePoint requested_at, TimePoint now);

  membership::Incarnation incarnation;
  QuotaGuards guards;
  std::uint64_t last_request = 0;
  std::map<std::uint64_t, Request> requests;
  std::map<LoanKey, Loan> loans;
  std::map<TeamId, std::set<LoanKey>> by_team;
};

}  // namespace chervilspar::quota
