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

/// What became of a grant.
enum class GrantOutcome { kAccepted, kDeclined, kDuplicate, kLate, kOtherIncarnation };

/// A unit of a loan on which a task may start.
struct BorrowedUnit {
  LoanKey loan;
  TimePoint usable_until;
  Duration task_lease = Duration::zero();
};

/// The requests that this entry has made for loans, and the loans that it holds.
class BorrowedLoans {
 public:
  BorrowedLoans(membership::Incarnation incarnation, QuotaGuards guards);

  /// Notes a request that is sent now; its number.
  std::uint64_t AddRequest(const TeamId& team, const EntryId& lender, std::uint32_t units,
                           TimePoint now);
  GrantOutcome OnGrant(const LoanGrant& grant, const EntryId& from, TimePoint now);
  void OnReturnSeen(const LoanReturnSeen& seen);
  /// Gives up requests without an answer; their lenders.
  std::vector<EntryId> RemoveTimedOutRequests(TimePoint now, Duration timeout);

  /// Takes a free unit on which a task may start now.
  std::optional<BorrowedUnit> TakeUnit(const TeamId& team, TimePoint now);
  void ReleaseUnit(const LoanKey& loan, TimePoint now);

  /// Gives back what can't or need not be used any more. `idle_for` is how long a free unit is
  /// kept; free units of teams in `keep` are kept while their lease lasts.
  void ReleaseUnneeded(TimePoint now, Duration idle_for, const std::set<TeamId>& keep);
  /// Returns that the lenders have not confirmed, by lender, each due for (another) sending.
  std::map<EntryId, std::vector<LoanReturn>> TakeDueReturns(TimePoint now);

  /// Units of loans whose lease lasts.
  std::uint32_t Borrowed(const TeamId& team, TimePoint now) const;
  std::uint32_t Free(const TeamId& team, TimePoint now) const;
  std::uint32_t RequestedUnits(const TeamId& team) const;
  /// Whether a request for the team is on its way.
  bool HasOpenRequest(const TeamId& team) const { return this->RequestedUnits(team) > 0; }
  /// Whether the last lease of the team's free units has lapsed while they were held.
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
    /// What the lender has to count on: free and used units.
    std::uint32_t units = 0;
    std::uint32_t used = 0;
    TimePoint usable_until;
    TimePoint last_used_at;
    Duration task_lease = Duration::zero();
    /// When the return is to be sent next; none while there is nothing to tell.
    std::optional<TimePoint> return_due;
    /// After this the lender counts nothing any more, and the loan can be forgotten.
    TimePoint forget_at;
  };

  bool IsUsable(const Loan& loan, TimePoint now) const;
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
