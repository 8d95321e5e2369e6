#include "chervilspar/idempotency/request_registry.h"

#include <algorithm>
#include <utility>

#include "chervilspar/base/assert.h"
#include "chervilspar/idempotency/uuid_v7.h"

namespace chervilspar::idempotency {

using membership::Guard;

RequestRegistry::RequestRegistry(membership::Self self, Duration max_clock_skew,
                                 RegistryBounds bounds, RegistryGuards guards)
    : self(std::move(self)), max_clock_skew(max_clock_skew), bounds(bounds), guards(guards) {}

void RequestRegistry::OnConfiguration(const membership::EntryList& list, Duration max_clock_skew) {
  CHERVILSPAR_ASSERT(list.version >= this->current.version);
  this->max_clock_skew = std::max(this->max_clock_skew, max_clock_skew);
  const bool missed_first_list =
      this->current.entries.empty() && list.version > this->current.version + 1;
  if (missed_first_list) {
    // An entry that applied the first list may own ids under it that this entry considers its own.
    this->agreed_once = false;
  }
  this->current = list;
  if (this->unconfirmed_lists.empty() || this->unconfirmed_lists.back() != list.entries) {
    this->unconfirmed_lists.push_back(list.entries);
  }
}

void RequestRegistry::OnMayOwn() {
  if (this->may_own) {
    return;
  }
  this->may_own = true;
  this->unconfirmed_lists = {this->current.entries};
  // Without any configuration in the log, no id has ever had an owner.
  this->agreed_once = this->current.version == 0;
  if (!this->agreed_once) {
    this->ExtendUnknown(this->self.incarnation.started + this->MaxClockLead());
  }
}

void RequestRegistry::OnApplied(const membership::Agreement& applied, WallTime wall_now) {
  if (!this->may_own || applied.version != this->current.version || !applied.IsReachedByAll()) {
    return;
  }
  if (!this->agreed_once) {
    // Lists before the first of this incarnation are unknown, and so are the owners of ids until
    // now.
    this->agreed_once = true;
    this->ExtendUnknown(wall_now + this->MaxClockLead());
  }
  this->unconfirmed_lists.pop_back();
  for (std::set<EntryId>& list : this->unconfirmed_lists) {
    this->past_lists.push_back({std::move(list), wall_now});
  }
  this->unconfirmed_lists = {this->current.entries};
}

RegisterReply RequestRegistry::OnRegister(const RegisterRequest& request, WallTime wall_now) {
  RegisterReply reply{request.id, request.attempt, Registration::kFromFuture};
  const Result<UuidV7> uuid = ParseUuidV7(request.id.text);
  if (uuid && uuid->id == request.id) {
    reply.registration = this->Decide({uuid->minted, uuid->id}, request.attempt, wall_now);
  }
  ++this->answers.at(static_cast<std::size_t>(reply.registration));
  CHERVILSPAR_ASSERT(this->records.size() <= this->bounds.capacity);
  return reply;
}

Registration RequestRegistry::Decide(const Key& key, const Attempt& attempt, WallTime wall_now) {
  const auto found = this->records.find(key);
  if (found != this->records.end()) {
    return this->DecideKnown(found->second, key, attempt);
  }
  return this->DecideNew(key, attempt, wall_now);
}

Registration RequestRegistry::DecideKnown(Record& record, const Key& key,
                                          const Attempt& attempt) const {
  const bool is_repeat = record.attempt == attempt;
  switch (record.state) {
    case State::kCompleted:
      return Registration::kCompletedEarlier;
    case State::kMayHaveRun:
      return Registration::kMayHaveRun;
    case State::kRunning:
      // A copy of the same message gets the same response; its sender dispatches only once.
      return is_repeat ? Registration::kMayRun : Registration::kRunning;
    case State::kNotRun:
      break;
  }
  const std::optional<Registration> not_owned = this->FindNotOwned(key.id);
  if (is_repeat || not_owned) {
    return not_owned.value_or(Registration::kNotReady);
  }
  const std::optional<WallTime> ownership_start = this->OwnershipStartOf(key.id);
  if (ownership_start && key.minted <= *ownership_start + this->MaxClockLead()) {
    return Registration::kMayHaveRun;
  }
  record = {State::kRunning, attempt};
  return Registration::kMayRun;
}

Registration RequestRegistry::DecideNew(const Key& key, const Attempt& attempt, WallTime wall_now) {
  const std::optional<Registration> not_owned = this->FindNotOwned(key.id);
  if (not_owned) {
    return *not_owned;
  }
  if (key.minted <= wall_now - this->bounds.max_age) {
    return Registration::kTooOld;
  }
  if (this->MayPredateOwnership(key)) {
    return Registration::kMayHaveRun;
  }
  const bool is_ahead = key.minted > wall_now + this->bounds.max_caller_clock_lead;
  if (is_ahead && this->guards.future == Guard::kOn) {
    return Registration::kFromFuture;
  }
  if (!this->EvictIfFull(wall_now)) {
    return Registration::kFull;
  }
  const bool is_new = this->records.emplace(key, Record{State::kRunning, attempt}).second;
  CHERVILSPAR_ASSERT(is_new);
  return Registration::kMayRun;
}

std::optional<Registration> RequestRegistry::FindNotOwned(const RequestId& id) const {
  if (OwnerOf(id, this->current.entries) != this->self.id) {
    return Registration::kNotOwner;
  }
  if (!this->may_own) {
    return Registration::kNotReady;
  }
  if (this->guards.joint_rule == Guard::kOff) {
    return std::nullopt;
  }
  if (!this->agreed_once) {
    return Registration::kNotReady;
  }
  for (const std::set<EntryId>& list : this->unconfirmed_lists) {
    const std::optional<EntryId> owner = OwnerOf(id, list);
    if (owner && *owner != this->self.id) {
      return Registration::kNotReady;
    }
  }
  return std::nullopt;
}

std::optional<WallTime> RequestRegistry::OwnershipStartOf(const RequestId& id) const {
  for (auto past_list = this->past_lists.rbegin(); past_list != this->past_lists.rend();
       ++past_list) {
    const std::optional<EntryId> owner = OwnerOf(id, past_list->entries);
    if (owner && *owner != this->self.id) {
      return past_list->ended;
    }
  }
  return std::nullopt;
}

bool RequestRegistry::MayPredateOwnership(const Key& key) const {
  if (this->guards.ownership_start == Guard::kOff) {
    return false;
  }
  if (key.minted <= this->unknown_until) {
    return true;
  }
  const std::optional<WallTime> ownership_start = this->OwnershipStartOf(key.id);
  return ownership_start && key.minted <= *ownership_start + this->MaxClockLead();
}

bool RequestRegistry::EvictIfFull(WallTime wall_now) {
  if (this->records.size() < this->bounds.capacity) {
    return true;
  }
  if (this->records.begin()->first.minted > wall_now - this->bounds.min_age) {
    return false;
  }
  this->EvictOldest();
  return true;
}

void RequestRegistry::EvictOldest() {
  const auto oldest = this->records.begin();
  // The evicted id may have run. Unseen ids of the same age or older get the same response.
  if (this->guards.forgotten == Guard::kOn) {
    this->ExtendUnknown(oldest->first.minted);
  }
  this->records.erase(oldest);
}

void RequestRegistry::ExtendUnknown(WallTime until) {
  this->unknown_until = std::max(this->unknown_until, until);
}

OutcomeSeen RequestRegistry::OnOutcome(const OutcomeReport& report) {
  OutcomeSeen seen{report.id, report.attempt};
  const Result<UuidV7> uuid = ParseUuidV7(report.id.text);
  if (!uuid) {
    return seen;
  }
  const auto found = this->records.find({uuid->minted, uuid->id});
  if (found == this->records.end() || found->second.state != State::kRunning) {
    return seen;
  }
  const bool is_own = found->second.attempt == report.attempt;
  if (!is_own && this->guards.attempt_match == Guard::kOn) {
    return seen;
  }
  switch (report.verdict) {
    case Verdict::kNotRun:
      found->second.state = State::kNotRun;
      break;
    case Verdict::kMayHaveRun:
      found->second.state = State::kMayHaveRun;
      break;
    case Verdict::kCompleted:
      found->second.state = State::kCompleted;
      break;
  }
  return seen;
}

void RequestRegistry::Tick(WallTime wall_now) {
  const WallTime evict_until = wall_now - this->bounds.max_age;
  while (!this->records.empty() && this->records.begin()->first.minted <= evict_until) {
    this->EvictOldest();
  }
  while (!this->past_lists.empty() &&
         this->past_lists.front().ended + this->MaxClockLead() <= evict_until) {
    this->ExtendUnknown(this->past_lists.front().ended + this->MaxClockLead());
    this->past_lists.erase(this->past_lists.begin());
  }
}

std::uint64_t RequestRegistry::AnswerCount(Registration registration) const {
  return this->answers.at(static_cast<std::size_t>(registration));
}

}  // namespace chervilspar::idempotency
