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

/// Bounds of the owner's memory.
struct RegistryBounds {
  /// Ids older than this are answered `kTooOld`. A caller's retries end long before.
  Duration max_age = std::chrono::hours(1);
  /// Ids younger than this are never forgotten to make room.
  Duration min_age = std::chrono::minutes(2);
  /// Most ids remembered. At about 220 bytes each this is 44 MB, and at the hour's age it carries
  /// 55 non-idempotent requests a second for each owner.
  std::size_t capacity = 200000;
  /// How far a caller's clock may be ahead. Ids from further ahead are refused, and an owner's
  /// first moments are answered by "may have run" for this long.
  Duration max_caller_clock_lead = std::chrono::seconds(1);
};

/// Safety mechanisms of `RequestRegistry` that a test may take out.
struct RegistryGuards {
  /// Ids minted before the owner's birth, plus skew, may have run.
  membership::Guard ownership_start = membership::Guard::kOn;
  /// Ids whose owner changed are not run before all entries have the new list.
  membership::Guard joint_rule = membership::Guard::kOn;
  /// Ids from the future are refused.
  membership::Guard future = membership::Guard::kOn;
  /// What was forgotten may have run.
  membership::Guard forgotten = membership::Guard::kOn;
  /// An outcome counts for its own attempt only.
  membership::Guard attempt_match = membership::Guard::kOn;
};

/// The owner's side of at-most-once: remembers which request ids may have run.
///
/// A non-idempotent request is dispatched only with the leave of its id's owner, and the owner
/// gives leave once, unless the earlier attempt is known not to have run. An owner that can't know
/// answers "may have run", and one that may not yet act answers "not run, come back"; neither ever
/// guesses. All callers' repeats through any entry meet at the same owner.
class RequestRegistry {
 public:
  RequestRegistry(membership::Self self, Duration max_clock_skew, RegistryBounds bounds = {},
                  RegistryGuards guards = {});

  /// An accepted configuration was folded. Versions must not go back.
  void OnConfiguration(const membership::EntryList& list, Duration max_clock_skew);
  /// The log was read to its end since the start: see `Membership::MayOwn`.
  void OnMayOwn();
  /// `Membership::Applied()`, whenever it may have changed (each tick and heartbeat).
  void OnApplied(const membership::Agreement& applied, WallTime wall_now);

  RegisterReply OnRegister(const RegisterRequest& request, WallTime wall_now);
  OutcomeSeen OnOutcome(const OutcomeReport& report);
  /// Forgets ids above the age bound; call about every second.
  void Tick(WallTime wall_now);

  std::size_t Size() const { return this->records.size(); }
  std::uint64_t AnswerCount(Registration registration) const;

 private:
  enum class State { kRunning, kCompleted, kNotRun, kMayHaveRun };
  struct Record {
    State state = State::kRunning;
    Attempt attempt;
  };
  /// Ordered by age first, so that the oldest is forgotten first.
  struct Key {
    WallTime minted;
    RequestId id;
    friend auto operator<=>(const Key&, const Key&) = default;
  };
  /// A list of entries that is or was in force, and when all had come to the one after it.
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
  /// Largest lead of an id's time over this clock's reading when an earlier owner accepted it.
  Duration MaxClockLead() const {
    return this->bounds.max_caller_clock_lead + this->max_clock_skew;
  }

  membership::Self self;
  Duration max_clock_skew;
  RegistryBounds bounds;
  RegistryGuards guards;
  bool may_own = false;
  membership::EntryList current;
  /// Whether all entries have been known to act by one list in this life, or there was none yet.
  bool agreed_once = false;
  /// Lists since the last one that all entries had applied, the current one last.
  std::vector<std::set<EntryId>> unconfirmed_lists;
  /// Earlier lists, oldest first, kept for `max_age`.
  std::vector<PastEntryList> past_lists;
  /// Ids minted up to here and not remembered may have run.
  WallTime unknown_until;
  std::map<Key, Record> records;
  std::array<std::uint64_t, kRegistrations> answers{};
};

}  // namespace chervilspar::idempotency
