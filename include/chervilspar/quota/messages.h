#pragma once

#include <cstdint>
#include <vector>

#include "chervilspar/base/ids.h"
#include "chervilspar/base/time.h"
#include "chervilspar/membership/incarnation.h"

namespace chervilspar::quota {

/// Names a loan over the lives of its lender: the lender's incarnation is part of it, so that a
/// successor never takes a return of its predecessor's loan for one of its own.
struct LoanKey {
  EntryId lender;
  membership::Incarnation lender_incarnation;
  std::uint64_t number = 0;

  friend auto operator<=>(const LoanKey&, const LoanKey&) = default;
};

/// Asks for units of a team's limit.
struct LoanRequest {
  /// Counts the sender's requests; the grant repeats it.
  std::uint64_t number = 0;
  TeamId team;
  std::uint32_t units = 0;

  friend bool operator==(const LoanRequest&, const LoanRequest&) = default;
};

/// Answers a request; `units` of zero declines it. With request number zero it answers none: it
/// tells an entry that was declined that the sender now has units to lend.
struct LoanGrant {
  std::uint64_t request_number = 0;
  /// The life of the borrower that asked. Its successor counts requests anew and must not take the
  /// grant for an answer to its own.
  membership::Incarnation borrower_incarnation;
  LoanKey loan;
  TeamId team;
  std::uint32_t units = 0;
  /// The borrower may start tasks on the loan for this long after it *sent the request*, by its own
  /// clock. The lender counts from the later moment at which it sent the grant.
  Duration lease = Duration::zero();
  /// Longest task lease of tasks on this loan. The borrower may already act by a configuration that
  /// allows longer ones than the lender waits for.
  Duration task_lease = Duration::zero();

  friend bool operator==(const LoanGrant&, const LoanGrant&) = default;
};

/// Gives units back. Repeats and reordered copies do no harm: what is still held only shrinks.
struct LoanReturn {
  LoanKey loan;
  /// Units that the borrower still holds or has tasks running on.
  std::uint32_t still_held = 0;

  friend bool operator==(const LoanReturn&, const LoanReturn&) = default;
};

/// The lender has taken a return into account; the borrower stops repeating it.
struct LoanReturnSeen {
  LoanKey loan;
  std::uint32_t still_held = 0;

  friend bool operator==(const LoanReturnSeen&, const LoanReturnSeen&) = default;
};

/// Everything that one entry has to say to another about loans at one moment, in one message.
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
