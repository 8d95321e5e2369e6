#pragma once

#include <cstdint>
#include <vector>

#include "chervilspar/base/ids.h"
#include "chervilspar/base/time.h"
#include "chervilspar/membership/incarnation.h"

namespace chervilspar::quota {

/// Identifies a loan across restarts of its lender. The lender's incarnation is part of the key, so
/// that a restarted lender never takes a return of its predecessor's loan for one of its own.
struct LoanKey {
  EntryId lender;
  membership::Incarnation lender_incarnation;
  std::uint64_t number = 0;

  friend auto operator<=>(const LoanKey&, const LoanKey&) = default;
};

/// Requests units of a team's limit.
struct LoanRequest {
  /// Sequence number among the sender's requests, from 1; the grant repeats it.
  std::uint64_t number = 0;
  TeamId team;
  std::uint32_t units = 0;

  friend bool operator==(const LoanRequest&, const LoanRequest&) = default;
};

/// Answers a request; `units` of zero declines it. With request number zero it answers no request,
/// but notifies an entry whose request was declined that the sender now has units to lend.
struct LoanGrant {
  std::uint64_t request_number = 0;
  /// The incarnation of the borrower that sent the request. A restarted borrower numbers its
  /// requests from 1 again and must not take the grant for an answer to one of them.
  membership::Incarnation borrower_incarnation;
  LoanKey loan;
  TeamId team;
  std::uint32_t units = 0;
  /// How long the borrower may start tasks on the loan, counted on its own clock from the time at
  /// which it *sent the request*. The lender counts from the later time at which it sent the grant.
  Duration lease = Duration::zero();
  /// Maximum task lease of tasks on this loan. The borrower may already have applied a
  /// configuration that allows longer task leases than the lender waits for.
  Duration task_lease = Duration::zero();

  friend bool operator==(const LoanGrant&, const LoanGrant&) = default;
};

/// Returns units. Duplicates and reordering are harmless, since `still_held` only decreases.
struct LoanReturn {
  LoanKey loan;
  /// Units that the borrower still holds or has tasks running on.
  std::uint32_t still_held = 0;

  friend bool operator==(const LoanReturn&, const LoanReturn&) = default;
};

/// Acknowledges a return, so that the borrower stops repeating it.
struct LoanReturnSeen {
  LoanKey loan;
  std::uint32_t still_held = 0;

  friend bool operator==(const LoanReturnSeen&, const LoanReturnSeen&) = default;
};

/// All requests, grants, returns and acknowledgements that one entry sends another at one time.
struct LendingMessage {
  EntryId from;
  membership::Incarnation from_incarnation;
  EntryId to;
  std::vector<LoanRequest> requests;
  std::vector<LoanGrant> grants;
  std::vector<LoanReturn> returns;
  std::vector<LoanReturnSeen> returns_seen;

  bool IsEmpty() const;

  friend bool operator==(const LendingMessage&, const LendingMessage&) = default;
};

}  // namespace chervilspar::quota
