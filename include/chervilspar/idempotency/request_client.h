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

/// An outcome to report to the id's owner, which may be this entry itself.
struct OutgoingOutcome {
  EntryId to;
  OutcomeReport report;
};

/// What to do with the request that waits for a reply.
enum class ReplyUse {
  /// Dispatch now, at most once for this attempt.
  kDispatch,
  /// Answer the caller by the reply's registration.
  kRefuse,
  /// Do nothing: the reply is late, repeated or for another incarnation.
  kIgnore,
};

/// The requesting entry's side of at-most-once execution. Each attempt is dispatched on at most one
/// reply, and an abandoned attempt is never dispatched, however late its reply arrives.
class RequestClient {
 public:
  explicit RequestClient(membership::Self self);

  void OnConfiguration(const membership::EntryList& list);

  /// Begins an attempt. Returns `std::nullopt` when there is no entry to own the id.
  std::optional<OutgoingRegister> Begin(const RequestId& id, TimePoint now);
  /// Abandons an attempt before its dispatch (owner unreachable, deadline expired, cancelled). The
  /// caller's verdict is `VerdictWithoutOwner`.
  std::optional<OutgoingOutcome> GiveUp(const Attempt& attempt, TimePoint now);
  ReplyUse OnReply(const RegisterReply& reply);
  /// Ends a dispatched attempt with this verdict.
  std::optional<OutgoingOutcome> Finish(const Attempt& attempt, Verdict verdict, TimePoint now);
  void OnOutcomeSeen(const OutcomeSeen& seen);
  /// Returns the outcomes to send again. Call about every 200 ms.
  std::vector<OutgoingOutcome> Tick(TimePoint now);

  /// Creates an id that this entry itself owns under the current list, for a request without a key,
  /// so that its registration needs no message.
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
  /// Attempts before their end, by number.
  std::map<std::uint64_t, Pending> pending;
  /// Outcomes that the owner has not acknowledged, by attempt number.
  std::map<std::uint64_t, Unacknowledged> unacknowledged;
};

}  // namespace chervilspar::idempotency
