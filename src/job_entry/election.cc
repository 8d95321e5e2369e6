#include "job_entry/election.h"

#include <algorithm>

#include "chervilspar/base/scope_guard.h"

#include "job_entry/member_name.h"
#include "job_entry/owner_directory.h"

namespace chervilspar::job_entry {

namespace asio = boost::asio;

namespace {

/// How long the store keeps an unresponsive member; the minimum that it accepts is 1 s. The work of
/// a dead owner waits for this, so it is short. An owner whose process pauses for less than this
/// keeps its term.
constexpr Duration kTimeToLive = std::chrono::milliseconds(1000);
/// On a link of less than this many megabits per second, calls queue behind what an owner reads and
/// orders. To drop a live owner from the group costs more than to detect a dead one later.
constexpr double kSlowLinkMbps = 10;
constexpr Duration kSlowLinkTimeToLive = std::chrono::milliseconds(2500);
constexpr Duration kSlowLinkCallTimeout = std::chrono::milliseconds(1600);
/// From the start of one join to that of the next, whatever the response time: three attempts
/// within the time to live.
constexpr Duration kJoinInterval = std::chrono::milliseconds(280);
constexpr Duration kMinPause = std::chrono::milliseconds(10);
constexpr Duration kRulesPollInterval = std::chrono::milliseconds(50);
constexpr Duration kCallTimeout = std::chrono::milliseconds(800);
/// Half of `kTimeToLive`.
constexpr Duration kSlowJoinThreshold = std::chrono::milliseconds(500);
constexpr Duration kClaimTimeout = std::chrono::milliseconds(900);
/// Between two reviews while this entry is a candidate. Each read of the members is billed, and VMs
/// rarely come and go.
constexpr Duration kCandidateReviewInterval = std::chrono::seconds(5);
/// Between two reviews while another member has clearly more cores. Every entry without a candidacy
/// reviews the group, so one of them soon detects that no such member is left.
constexpr Duration kWithdrawnReviewInterval = std::chrono::seconds(3);
/// After a review that found no member with clearly more cores: a read during a change of the group
/// may miss a live member.
constexpr Duration kConfirmReviewInterval = std::chrono::milliseconds(500);
constexpr int kRequiredClearReviews = 2;
/// The list of members is read again after this, even if the generation of the group is the same.
constexpr Duration kMaxSnapshotAge = std::chrono::seconds(3);
/// A claim is followed by its term within two calls to the store, and an ended term by the claim of
/// its successor.
constexpr Duration kMaxTimeWithoutTerm = std::chrono::milliseconds(600);

}  // namespace

Election::Election(const Context& context, OperatorView& operators, OwnerDirectory& directory)
    : context(context),
      operators(operators),
      directory(directory),
      candidacy(context.settings.cores),
      member(MakeMember(context, this->candidacy)) {}

/// A restarted process is a new member: it doesn't own what the former incarnation held.
std::string Election::MakeMember(const Context& context, const Candidacy& candidacy) {
  std::string member = candidacy.MemberName(context.settings.id.text,
                                            context.clock.WallNow().time_since_epoch().count());
  const std::optional<SocketAddress>& carrier = context.settings.carrier;
  return carrier ? WithCarrier(member, {ToString(*carrier), context.settings.zone}) : member;
}

std::shared_ptr<OwnerTerm> Election::Term() const {
  return this->term != nullptr && !this->term->IsStopped() ? this->term : nullptr;
}

/// No decision is possible without rules, and all entries get them at about the same time. If the
/// delay ran before that, entries on small VMs would be over it, too, and stand at once with those
/// on large ones.
asio::awaitable<void> Election::AwaitRules() {
  while (!this->is_resigned && this->operators.Policy() == nullptr) {
    co_await Pause(this->context, kRulesPollInterval);
  }
  co_await Pause(this->context, this->candidacy.InitialDelay());
}

asio::awaitable<void> Election::Run([[maybe_unused]] std::shared_ptr<Election> self) {
  co_await this->AwaitRules();
  while (!this->is_resigned) {
    const TimePoint begin = this->context.Now();
    if (this->context.Now() >= this->next_review) {
      co_await this->Review();
    }
    if (this->is_candidate && !this->is_resigned) {
      co_await this->JoinOnce();
    }
    const Duration passed = this->context.Now() - begin;
    co_await Pause(this->context, std::max(kJoinInterval - passed, kMinPause));
  }
}

asio::awaitable<void> Election::Review() {
  const Result<std::vector<std::string>> members =
      co_await this->context.links.store->Members(kCallTimeout);
  if (this->is_resigned) {
    co_return;
  }
  if (members && this->context.links.owner_questions != nullptr) {
    // A candidate collects the questions of others.
    const bool is_collected = !this->candidacy.ShouldRun(*members);
    this->context.links.owner_questions->SetMembers(is_collected ? *members
                                                                 : std::vector<std::string>{});
  }
  const bool is_first = this->next_review == TimePoint{};
  if (!members) {
    // The members are unknown. A candidate remains one, since a member is owner only if the store
    // confirms it.
    this->next_review = this->context.Now() + kConfirmReviewInterval;
  } else if (this->candidacy.ShouldRun(*members)) {
    ++this->clear_reviews;
    this->ConsiderCandidacy(is_first, members->size());
  } else {
    this->clear_reviews = 0;
    co_await this->WithdrawCandidacy();
  }
}

void Election::ConsiderCandidacy(bool is_first, std::size_t members) {
  const bool may_run = is_first || this->clear_reviews >= kRequiredClearReviews;
  if (!this->is_candidate && !may_run) {
    this->next_review = this->context.Now() + kConfirmReviewInterval;
    return;
  }
  this->next_review = this->context.Now() + kCandidateReviewInterval;
  if (!this->is_candidate) {
    this->is_candidate = true;
    LogEvent(telemetry::LogLevel::kInfo, "standing_for_owner",
             "no member has clearly more CPU cores", {{"members", std::to_string(members)}});
  }
}

asio::awaitable<void> Election::WithdrawCandidacy() {
  this->next_review = this->context.Now() + kWithdrawnReviewInterval;
  if (!this->is_candidate) {
    co_return;
  }
  this->is_candidate = false;
  LogEvent(telemetry::LogLevel::kInfo, "standing_back", "a member has clearly more CPU cores");
  co_await this->Leave();
}

asio::awaitable<void> Election::JoinOnce() {
  const bool is_slow_link = this->context.settings.link_rate < kSlowLinkMbps;
  const TimePoint sent = this->context.Now();
  const Result<Membership> joined = co_await this->context.links.store->Join(
      this->member, this->generation, is_slow_link ? kSlowLinkTimeToLive : kTimeToLive,
      is_slow_link ? kSlowLinkCallTimeout : kCallTimeout);
  if (joined.HasValue() != this->is_joined) {
    this->is_joined = joined.HasValue();
    LogEvent(this->is_joined ? telemetry::LogLevel::kInfo : telemetry::LogLevel::kWarning,
             this->is_joined ? "group_regained" : "group_lost",
             this->is_joined ? "this entry is a member of the group again"
                             : ToString(joined.LastReason()));
  }
  if (!joined) {
    this->join_failed_at = this->context.Now();
  }
  this->RecordJoin(sent);
  if (!joined || this->is_resigned) {
    co_return;
  }
  this->generation = joined->generation;
  this->directory.UseShortWait(this->Term() != nullptr || this->is_claiming);
  // Before the members are read: if another entry claims in the meantime, the claim at this offset
  // is refused.
  const std::optional<std::uint64_t> next_claim_offset = this->directory.NextClaimOffset();
  if (!next_claim_offset || this->is_claiming) {
    co_return;
  }
  if (this->IsNamedWithoutTerm()) {
    this->BeginTerm(*next_claim_offset);
    co_return;
  }
  if (this->Term() != nullptr) {
    this->PublishMembers();
    co_return;
  }
  if (!joined->is_chosen) {
    co_return;
  }
  // An outage of the store ends all memberships, also that of a live owner, which gets time to join
  // again.
  if (this->join_failed_at && this->context.Now() - *this->join_failed_at < kTimeToLive) {
    co_return;
  }
  const bool has_owner = co_await this->HasLiveOwner();
  if (!has_owner && !this->is_resigned) {
    this->BeginTerm(*next_claim_offset);
  }
}

/// The group drops an unresponsive member after a second. The event shows whether a dropped owner
/// sent its joins late or the store answered them late.
void Election::RecordJoin(TimePoint sent) {
  const Duration elapsed = this->context.Now() - sent;
  const Duration interval = this->last_join_sent ? sent - *this->last_join_sent : Duration::zero();
  this->last_join_sent = sent;
  if (this->Term() != nullptr && (elapsed > kSlowJoinThreshold || interval > kSlowJoinThreshold)) {
    LogEvent(telemetry::LogLevel::kWarning, "join_slow", "the group may drop this owner",
             {{"took_ms", MillisecondsText(elapsed)}, {"apart_ms", MillisecondsText(interval)}});
  }
}

/// A claim whose response is lost may take effect, perhaps seconds later. The other entries then
/// take this entry for a live owner, none of them claims, and nothing is scheduled. So the entry
/// that the newest claim names begins a term.
bool Election::IsNamedWithoutTerm() {
  const std::optional<OwnerClaim> owner = this->directory.Owner();
  if (!owner || owner->member != this->member || this->Term() != nullptr) {
    this->named_without_term_since.reset();
    return false;
  }
  if (!this->named_without_term_since) {
    this->named_without_term_since = this->context.Now();
  }
  return this->context.Now() - *this->named_without_term_since > kMaxTimeWithoutTerm;
}

asio::awaitable<bool> Election::HasLiveOwner() {
  const std::optional<OwnerClaim> owner = this->directory.Owner();
  if (!owner || owner->member == this->member) {
    co_return false;
  }
  const MembersSnapshot snapshot{owner->member, this->generation, this->context.Now()};
  if (this->last_live.Covers(snapshot)) {
    co_return true;
  }
  const Result<std::vector<std::string>> members =
      co_await this->context.links.store->Members(kCallTimeout);
  if (!members) {
    co_return true;  // unknown; read again with the next join
  }
  const bool is_live = std::find(members->begin(), members->end(), owner->member) != members->end();
  if (is_live) {
    this->last_live = snapshot;
    co_return true;
  }
  LogEvent(telemetry::LogLevel::kInfo, "owner_missing", owner->entry + " is not in the group",
           {{"member", owner->member}, {"members", std::to_string(members->size())}});
  if (this->context.links.fleet_observer != nullptr) {
    // Orders during the load of the state are forwarded by other entries already.
    this->context.links.fleet_observer->SetMembers(*members);
  }
  co_return false;
}

/// The set of entries that may forward orders changes only with the group. This runs concurrently
/// with the joins, as both take long while the store is slow.
void Election::PublishMembers() {
  const MembersSnapshot snapshot{this->member, this->generation, this->context.Now()};
  if (this->context.links.fleet_observer == nullptr || this->is_publishing ||
      this->last_published.Covers(snapshot)) {
    return;
  }
  this->is_publishing = true;
  Spawn(this->context, this->ReadMembers(this->shared_from_this(), snapshot));
}

asio::awaitable<void> Election::ReadMembers([[maybe_unused]] std::shared_ptr<Election> self,
                                            MembersSnapshot snapshot) {
  const ScopeGuard finished([this] { this->is_publishing = false; });
  const Result<std::vector<std::string>> members =
      co_await this->context.links.store->Members(kCallTimeout);
  if (members) {
    this->last_published = snapshot;
    this->context.links.fleet_observer->SetMembers(*members);
  }
}

bool Election::MembersSnapshot::Covers(const MembersSnapshot& current) const {
  return this->owner == current.owner && this->generation == current.generation &&
         current.at - this->at < kMaxSnapshotAge;
}

/// Two entries may detect that the owner is gone and both claim; the second claim would end the
/// term that the first has just begun. So a claim is stored only at the offset that this entry
/// expects.
asio::awaitable<bool> Election::Claim(std::uint64_t offset) {
  const OwnerClaim claim{this->context.settings.id.text, this->member,
                         this->context.settings.peers};
  std::vector<KeyedRecord> records;
  records.push_back({kOwnerKey, EncodeClaim(claim)});
  const AppendOutcome outcome = co_await this->context.links.store->AppendAt(
      Topic::kOwners, 0, std::move(records), offset, kClaimTimeout);
  if (outcome.kind == AppendOutcome::Kind::kEndMismatch) {
    LogEvent(telemetry::LogLevel::kInfo, "claim_refused",
             "another entry has claimed at this offset");
    co_await this->directory.Refresh(kCallTimeout);
  }
  const bool is_stored = outcome.kind == AppendOutcome::Kind::kStored;
  this->is_claim_abandoned = !is_stored;
  co_return is_stored;
}

asio::awaitable<bool> Election::Announce(ProgressWriter& writer) {
  const FencedWrite announced = co_await writer.Announce(this->is_claim_abandoned);
  co_return announced == FencedWrite::kStored;
}

/// With a slow store, the claim and the announcement of the token take longer than the group keeps
/// an unresponsive member, and another entry would take over before this term begins. So this entry
/// continues to join concurrently with them.
void Election::BeginTerm(std::uint64_t offset) {
  this->is_claiming = true;
  Spawn(this->context, this->TakeOver(this->shared_from_this(), offset));
}

asio::awaitable<void> Election::TakeOver([[maybe_unused]] std::shared_ptr<Election> self,
                                         std::uint64_t offset) {
  const ScopeGuard claimed([this] { this->is_claiming = false; });
  // Before the claim, whose record ends the pending read: the next read must use the short wait.
  this->directory.UseShortWait(true);
  // Offsets begin at 0, tokens at 1: a missing token counts as 0 at the endpoints.
  const std::uint64_t token = offset + 1;
  ProgressWriter writer(this->context, token);
  // The claim and the announcement run concurrently. If the claim is refused, the claim that is
  // stored at this offset has the same token or a higher one.
  this->is_claim_abandoned = false;
  std::vector<asio::awaitable<bool>> parts;
  parts.push_back(this->Claim(offset));
  parts.push_back(this->Announce(writer));
  const bool is_begun = co_await RunAll(this->context, std::move(parts), 2);
  if (!is_begun || this->is_resigned) {
    co_return;  // retried with the next join if this entry is still chosen
  }
  // From here on, any response of the store to a predecessor ends the term of that predecessor.
  this->term = std::make_shared<OwnerTerm>(this->context, this->operators, this->directory,
                                           this->member, writer, token);
  this->term->Start();
}

asio::awaitable<void> Election::Resign() {
  this->is_resigned = true;
  this->is_claim_abandoned = true;
  co_await this->Leave();
}

asio::awaitable<void> Election::Leave() {
  const Status left = co_await this->context.links.store->Leave(this->member, kCallTimeout);
  if (!left) {
    LogEvent(telemetry::LogLevel::kWarning, "leave_failed", ToString(left.LastReason()));
  }
}

}  // namespace chervilspar::job_entry
