#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "chervilspar/base/ids.h"
#include "chervilspar/base/time.h"
#include "chervilspar/idempotency/messages.h"
#include "chervilspar/idempotency/ownership.h"
#include "chervilspar/membership/agreement.h"
#include "chervilspar/membership/guard.h"
#include "chervilspar/membership/membership.h"

namespace chervilspar::idempotency {

/// Bounds on what the owner remembers.
struct RegistryBounds {
  /// Ids older than this are answered with `kTooOld`. A caller's retries end long before.
  Duration max_age = std::chrono::hours(1);
  /// Ids younger than this are never evicted for new ones.
  Duration min_age = std::chrono::minutes(2);
  /// Maximum number of ids remembered. At about 220 bytes each this is 44 MB. With a maximum age of
  /// one hour it suffices for 55 non-idempotent requests per second and owner.
  std::size_t capacity = 200000;
  /// How far a caller's clock may be ahead. Ids from further ahead are refused, and a new owner
  /// answers ids minted up to this long after its start with "may have run".
  Duration max_caller_clock_lead = std::chrono::seconds(1);
};

/// Safety mechanisms of `RequestRegistry` that a test may disable.
struct RegistryGuards {
  /// Ids minted before the owner's ownership began, plus clock skew, may have run.
  membership::Guard ownership_start = membership::Guard::kOn;
  /// Ids whose owner changed are not run before all entries have the new list.
  membership::Guard joint_rule = membership::Guard::kOn;
  /// Ids from the future are refused.
  membership::Guard future = membership::Guard::kOn;
  /// Evicted ids may have run.
  membership::Guard forgotten = membership::Guard::kOn;
  /// An outcome applies to its own attempt only.
  membership::Guard attempt_match = membership::Guard::kOn;
};

/// The owner's side of at-most-once execution: remembers which request ids may have run.
///
/// A non-idempotent request is dispatched only with permission of its id's owner. The owner grants
/// it once, and again only if the earlier attempt is known not to have run. An owner that can't
/// know answers "may have run", and one that may not act yet answers "not run, retry"; neither ever
/// guesses. Retries through any entry reach the same owner.
class RequestRegistry {
 public:
  RequestRegistry(membership::Self self, Duration max_clock_skew, RegistryBounds bounds = {},
                  RegistryGuards guards = {});

  /// Applies the list of an accepted configuration. Versions must not decrease.
  void OnConfiguration(const membership::EntryList& list, Duration max_clock_skew);
  /// The log has been read to its end since the process start; see `Membership::MayOwn`.
  void OnMayOwn();
  /// Takes `Membership::Applied()`. Call whenever it may have changed (each tick and heartbeat).
  void OnApplied(const membership::Agreement& applied, WallTime wall_now);

  RegisterReply OnRegister(const RegisterRequest& request, WallTime wall_now);
  OutcomeSeen OnOutcome(const OutcomeReport& report);
  /// Evicts ids above the maximum age. Call about every second.
  void Tick(WallTime wall_now);

  std::size_t Size() const { return this->records.size(); }
  std::uint64_t AnswerCount(Registration registration) const;

 private:
  enum class State { kRunning, kCompleted, kNotRun, kMayHaveRun };
  struct Record {
    State state = State::kRunning;
    Attempt attempt;
  };
  /// Ordered by age first, so that the oldest is evicted first.
  struct Key {
    WallTime minted;
    RequestId id;
    friend auto operator<=>(const Key&, const Key&) = default;
  };
  /// An earlier list of entries, and when all entries had applied a later one.
  struct PastEntryList {
    std::set<EntryId> entries;
    WallTime ended;
  };

  Registration Decide(const Key& key, const Attempt& attempt, WallTime wall_now);
  Registration DecideKnown(Record& record, const Key& key, const Attempt& attempt) const;
  Registration DecideNew(const Key& key, const Attempt& attempt, WallTime wall_now);
  std::optional<Registration> FindNotOwned(const RequestId& id) const;
  std::optional<WallTime> OwnershipStartOf(const RequestId& id) const;
  bool MayPredateOwnership(const Key& key) const;
  bool EvictIfFull(WallTime wall_now);
  void EvictOldest();
  void ExtendUnknown(WallTime until);
  /// Maximum by which an id's time can be ahead of this clock when an earlier owner accepts it.
  Duration MaxClockLead() const {
    return this->bounds.max_caller_clock_lead + this->max_clock_skew;
  }

  membership::Self self;
  Duration max_clock_skew;
  RegistryBounds bounds;
  RegistryGuards guards;
  bool may_own = false;
  membership::EntryList current;
  /// Whether, in this incarnation, all entries were known to have applied the same list, or there
  /// was no list yet.
  bool agreed_once = false;
  /// Lists from the last one that all entries applied up to the current one.
  std::vector<std::set<EntryId>> unconfirmed_lists;
  /// Earlier lists, oldest first, kept until ids of their time are older than `max_age`.
  std::vector<PastEntryList> past_lists;
  /// Ids minted up to this time that are not in `records` may have run.
  WallTime unknown_until;
  std::map<Key, Record> records;
  std::array<std::uint64_t, kRegistrations> answers{};
};

}  // namespace chervilspar::idempotency
