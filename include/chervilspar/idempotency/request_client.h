#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "chervilspar/base/ids.h"
#include "chervilspar/base/random.h"
#include "chervilspar/base/time.h"
#include "chervilspar/idempotency/messages.h"
#include "chervilspar/idempotency/uuid_v7.h"
#include "chervilspar/membership/membership.h"

namespace chervilspar::idempotency {

/// A registration to send to the id's owner, which may be this entry itself.
struct OutgoingRegister {
  EntryId to;
  RegisterRequest request;
};

struct OutgoingOutcome {
  EntryId to;
  OutcomeReport report;
};

/// What a reply means for the request that waits for it.
enum class ReplyUse {
  /// Dispatch now, at most once for this attempt.
  kDispatch,
  /// Answer the caller by the reply's registration.
  kRefuse,
  /// Late, repeated or not for this life: nothing may be done on it.
  kIgnore,
};

/// The asking entry's side of at-most-once. Each attempt is dispatched on at most one reply, and an
/// attempt that was given up is never dispatched, however late its reply comes.
class RequestClient {
 public:
  explicit RequestClient(membership::Self self);

  void OnConfiguration(const membership::EntryList& list);

  /// Begins an attempt. None when there is no entry to own the id.
  std::optional<OutgoingRegister> Begin(const RequestId& id, TimePoint now);
  /// The attempt is given up before its dispatch (owner unreachable, deadline, cancelled). What to
  /// tell the caller is `VerdictWithoutOwner`.
  std::optional<OutgoingOutcome> GiveUp(const Attempt& attempt, TimePoint now);
  ReplyUse OnReply(const RegisterReply& reply);
  /// A dispatched attempt has ended with this verdict.
  std::optional<OutgoingOutcome> Finish(const Attempt& attempt, Verdict verdict, TimePoint now);
  void OnOutcomeSeen(const OutcomeSeen& seen);
  /// Outcomes to repeat; call about every 200 ms.
  std::vector<OutgoingOutcome> Tick(TimePoint now);

  /// An id that this entry itself owns under the current list, for a request without a key: its
  /// registration costs no message.
  UuidV7 MakeOwnId(WallTime now, Random& random) const;

  std::size_t PendingCount() const { return this->pending.size(); }

 private:
  struct Pending {
    RequestId id;
    EntryId owner;
    bool dispatched = false;
  };
  struct Unacknowledged {
    OutgoingOutcome outcome;
    TimePoint next_try;
    std::uint32_t tries = 0;
  };

  OutgoingOutcome Report(const Attempt& attempt, const Pending& of, Verdict verdict, TimePoint now);

  membership::Self self;
  membership::EntryList list;
  std::uint64_t last_attempt = 0;
  std::map<std::uint64_t, Pending> pending;
  std::map<std::uint64_t, Unacknowledged> unacknowledged;
};

}  // namespace chervilspar::idempotency
