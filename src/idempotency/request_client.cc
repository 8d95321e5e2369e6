#include "chervilspar/idempotency/request_client.h"

#include <utility>

#include "chervilspar/base/assert.h"
#include "chervilspar/idempotency/ownership.h"

namespace chervilspar::idempotency {

namespace {

/// An unacknowledged outcome is sent again after this interval and abandoned after being sent
/// this many times: by then the owner is gone, and its successor answers "may have run" without it.
constexpr Duration kOutcomeRetryInterval = std::chrono::milliseconds(500);
constexpr std::uint32_t kMaxOutcomeSends = 20;

/// Ids created in search of one that this entry owns. With nine entries, 200 in a row fail with a
/// probability below 10^-10.
constexpr int kMaxOwnIdTries = 200;

}  // namespace

RequestClient::RequestClient(membership::Self self) : self(std::move(self)) {}

void RequestClient::OnConfiguration(const membership::EntryList& list) {
  CHERVILSPAR_ASSERT(list.version >= this->list.version);
  this->list = list;
}

std::optional<OutgoingRegister> RequestClient::Begin(const RequestId& id, TimePoint /*now*/) {
  const std::optional<EntryId> owner = OwnerOf(id, this->list.entries);
  if (!owner) {
    return std::nullopt;
  }
  const Attempt attempt{this->self.id, this->self.incarnation, ++this->last_attempt};
  this->pending.emplace(attempt.number, Pending{id, *owner, false});
  return OutgoingRegister{*owner, {id, attempt}};
}

std::optional<OutgoingOutcome> RequestClient::GiveUp(const Attempt& attempt, TimePoint now) {
  const auto found = this->pending.find(attempt.number);
  if (found == this->pending.end()) {
    return std::nullopt;
  }
  CHERVILSPAR_ASSERT(!found->second.dispatched);
  const OutgoingOutcome outcome = this->Report(attempt, found->second, Verdict::kNotRun, now);
  this->pending.erase(found);
  return outcome;
}

ReplyUse RequestClient::OnReply(const RegisterReply& reply) {
  const Attempt& attempt = reply.attempt;
  if (attempt.entry != this->self.id || attempt.incarnation != this->self.incarnation) {
    return ReplyUse::kIgnore;
  }
  const auto found = this->pending.find(attempt.number);
  if (found == this->pending.end() || found->second.dispatched || found->second.id != reply.id) {
    return ReplyUse::kIgnore;
  }
  if (reply.registration != Registration::kMayRun) {
    this->pending.erase(found);
    return ReplyUse::kRefuse;
  }
  found->second.dispatched = true;
  return ReplyUse::kDispatch;
}

std::optional<OutgoingOutcome> RequestClient::Finish(const Attempt& attempt, Verdict verdict,
                                                     TimePoint now) {
  const auto found = this->pending.find(attempt.number);
  if (found == this->pending.end()) {
    return std::nullopt;
  }
  CHERVILSPAR_ASSERT(found->second.dispatched);
  const OutgoingOutcome outcome = this->Report(attempt, found->second, verdict, now);
  this->pending.erase(found);
  return outcome;
}

OutgoingOutcome RequestClient::Report(const Attempt& attempt, const Pending& of, Verdict verdict,
                                      TimePoint now) {
  OutgoingOutcome outcome{of.owner, {of.id, attempt, verdict}};
  this->unacknowledged[attempt.number] = Unacknowledged{outcome, now + kOutcomeRetryInterval, 1};
  return outcome;
}

void RequestClient::OnOutcomeSeen(const OutcomeSeen& seen) {
  const bool is_own =
      seen.attempt.entry == this->self.id && seen.attempt.incarnation == this->self.incarnation;
  if (is_own) {
    this->unacknowledged.erase(seen.attempt.number);
  }
}

std::vector<OutgoingOutcome> RequestClient::Tick(TimePoint now) {
  std::vector<OutgoingOutcome> due;
  for (auto report = this->unacknowledged.begin(); report != this->unacknowledged.end();) {
    if (report->second.next_try > now) {
      ++report;
      continue;
    }
    if (report->second.tries >= kMaxOutcomeSends) {
      report = this->unacknowledged.erase(report);
      continue;
    }
    due.push_back(report->second.outcome);
    report->second.next_try = now + kOutcomeRetryInterval;
    ++report->second.tries;
    ++report;
  }
  return due;
}

UuidV7 RequestClient::MakeOwnId(WallTime now, Random& random) const {
  UuidV7 uuid = MakeUuidV7(now, random);
  for (int tried = 1; tried < kMaxOwnIdTries; ++tried) {
    if (OwnerOf(uuid.id, this->list.entries) == this->self.id) {
      return uuid;
    }
    uuid = MakeUuidV7(now, random);
  }
  return uuid;
}

}  // namespace chervilspar::idempotency
