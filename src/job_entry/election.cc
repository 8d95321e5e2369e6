#include "job_entry/election.h"

#include <algorithm>

#include "chervilspar/base/scope_guard.h"

#include "job_entry/member_name.h"
#include "job_entry/owner_directory.h"

namespace chervilspar::job_entry {

namespace asio = boost::asio;

namespace {

/// How long the store keeps a silent member; the shortest that it takes is a second. A dead owner's
/// work waits for this, so it is short; a pause of the process shorter than this keeps the term.
constexpr Duration kTimeToLive = std::chrono::milliseconds(1000);
/// On a link of less than this many megabits a second, calls wait behind what an owner reads and
/// orders; an owner that lives and is dropped by the group costs more than one that is missed
/// later.
constexpr double kNarrowLink = 10;
constexpr Duration kNarrowTimeToLive = std::chrono::milliseconds(2500);
constexpr Duration kNarrowCallTimeout = std::chrono::milliseconds(1600);
/// From join to join, however long an answer takes: three tries within the time to live.
constexpr Duration kPace = std::chrono::milliseconds(280);
constexpr Duration kLeastPause = std::chrono::milliseconds(10);
constexpr Duration kCallTimeout = std::chrono::milliseconds(800);
/// Half of the time to live.
constexpr Duration kSlowJoin = std::chrono::milliseconds(500);
constexpr Duration kClaimTimeout = std::chrono::milliseconds(900);
/// Between two looks at the members while standing; each is priced, and VMs rarely come and go.
constexpr Duration kStandingReview = std::chrono::seconds(5);
/// While another is to go first. All such entries look in turn, so that one of them soon sees that
/// there is nobody left.
constexpr Duration kReserveReview = std::chrono::seconds(3);
/// After a look that showed nobody who goes first: a look during a change of the group may miss a
/// member that lives.
constexpr Duration kConfirmReview = std::chrono::milliseconds(500);
constexpr int kFreeLooks = 2;
/// The list of members is read again after this, even if the group says that it has not changed.
constexpr Duration kLookAgain = std::chrono::seconds(3);
/// A claim is followed by its term within two calls to the store, and a term that has ended by the
/// claim of its successor.
constexpr Duration kVainClaim = std::chrono::milliseconds(600);

}  // namespace

Election::Election(const Context& context, OperatorView& operators, OwnerDirectory& directory)
    : context(context),
      operators(operators),
      directory(directory),
      candidacy(context.settings.cores),
      member(MakeMember(context, this->candidacy)) {}

/// Another life of this process is another member: what the former one held is not its own.
std::string Election::MakeMember(const Context& context, const Candidacy& candidacy) {
  std::string member = candidacy.MemberName(context.settings.id.text,
                                            context.clock.WallNow().time_since_epoch().count());
  const std::optional<SocketAddress>& carrier = context.settings.carrier;
  return carrier ? WithCarrier(member, {ToString(*carrier), context.settings.zone}) : member;
}

std::shared_ptr<OwnerTerm> Election::Term() const {
  return this->term != nullptr && !this->term->IsStopped() ? this->term : nullptr;
}

asio::awaitable<void> Election::Run([[maybe_unused]] std::shared_ptr<Election> self) {
  co_await Pause(this->context, this->candidacy.FirstDelay());
  while (!this->is_resigned) {
    const TimePoint begin = this->context.Now();
    if (this->operators.Policy() != nullptr) {  // without rules nothing can be decided
      if (this->context.Now() >= this->next_review) {
        co_await this->Review();
      }
      if (this->is_standing && !this->is_resigned) {
        co_await this->JoinOnce();
      }
    }
    const Duration passed = this->context.Now() - begin;
    co_await Pause(this->context, std::max(kPace - passed, kLeastPause));
  }
}

asio::awaitable<void> Election::Review() {
  const Result<std::vector<std::string>> members =
      co_await this->context.links.store->Members(kCallTimeout);
  if (this->is_resigned) {
    co_return;
  }
  const bool is_first = this->next_review == TimePoint{};
  if (!members) {
    // Not known. Who stands goes on, since a joined entry is owner only if the store says so.
    this->next_review = this->context.Now() + kConfirmReview;
  } else if (this->candidacy.ShouldStand(*members)) {
    ++this->free_looks;
    this->StandAfterLook(is_first, members->size());
  } else {
    this->free_looks = 0;
    co_await this->StandBack();
  }
}

void Election::StandAfterLook(bool is_first, std::size_t members) {
  const bool may_stand = is_first || this->free_looks >= kFreeLooks;
  if (!this->is_standing && !may_stand) {
    this->next_review = this->context.Now() + kConfirmReview;
    return;
  }
  this->next_review = this->context.Now() + kStandingReview;
  if (!this->is_standing) {
    this->is_standing = true;
    LogEvent(telemetry::LogLevel::kInfo, "standing_for_owner",
             "no member has clearly more processor", {{"members", std::to_string(members)}});
  }
}

asio::awaitable<void> Election::StandBack() {
  this->next_review = this->context.Now() + kReserveReview;
  if (!this->is_standing) {
    co_return;
  }
  this->is_standing = false;
  LogEvent(telemetry::LogLevel::kInfo, "standing_back",
           "a member with clearly more processor goes first as owner");
  co_await this->Leave();
}

asio::awaitable<void> Election::JoinOnce() {
  const bool is_narrow = this->context.settings.link_rate < kNarrowLink;
  const TimePoint sent = this->context.Now();
  const Result<Membership> joined = co_await this->context.links.store->Join(
      this->member, this->generation, is_narrow ? kNarrowTimeToLive : kTimeToLive,
      is_narrow ? kNarrowCallTimeout : kCallTimeout);
  if (joined.HasValue() != this->is_joined) {
    this->is_joined = joined.HasValue();
    LogEvent(this->is_joined ? telemetry::LogLevel::kInfo : telemetry::LogLevel::kWarning,
             this->is_joined ? "group_regained" : "group_lost",
             this->is_joined ? "a member again" : ToString(joined.LastReason()));
  }
  if (!joined) {
    this->missed = this->context.Now();
  }
  this->NoteJoin(sent);
  if (!joined || this->is_resigned) {
    co_return;
  }
  this->generation = joined->generation;
  this->directory.FollowClosely(this->Term() != nullptr || this->is_claiming);
  // Before the members are looked at: whoever claims meanwhile comes first.
  const std::optional<std::uint64_t> next_claim = this->directory.NextClaim();
  if (!next_claim || this->is_claiming) {
    co_return;
  }
  if (this->IsNamedInVain()) {
    this->BeginTerm(*next_claim);
    co_return;
  }
  if (this->Term() != nullptr) {
    this->TellMembers();
    co_return;
  }
  if (!joined->is_chosen) {
    co_return;
  }
  // After an outage of the store, memberships have lapsed, also that of an owner that lives and
  // works on; it gets the time to be a member again.
  if (this->missed && this->context.Now() - *this->missed < kTimeToLive) {
    co_return;
  }
  const bool has_owner = co_await this->HasLivingOwner();
  if (!has_owner && !this->is_resigned) {
    this->BeginTerm(*next_claim);
  }
}

/// The group keeps a silent member for a second; whoever looks for why an owner was dropped needs
/// to see whether it was late itself or its joins were.
void Election::NoteJoin(TimePoint sent) {
  const Duration taken = this->context.Now() - sent;
  const Duration apart = this->joined_at ? sent - *this->joined_at : Duration::zero();
  this->joined_at = sent;
  if (this->Term() != nullptr && (taken > kSlowJoin || apart > kSlowJoin)) {
    LogEvent(telemetry::LogLevel::kWarning, "join_slow", "the group may drop this owner",
             {{"took_ms", MillisecondsText(taken)}, {"apart_ms", MillisecondsText(apart)}});
  }
}

/// What can go wrong: the answer to a claim is lost, and the claim takes effect, perhaps seconds
/// later. The others take this entry for a living owner, so that none of them claims, and nothing
/// is scheduled. So whom the newest claim names begins a term.
bool Election::IsNamedInVain() {
  const std::optional<OwnerClaim> owner = this->directory.Owner();
  if (!owner || owner->member != this->member || this->Term() != nullptr) {
    this->named_in_vain.reset();
    return false;
  }
  if (!this->named_in_vain) {
    this->named_in_vain = this->context.Now();
  }
  return this->context.Now() - *this->named_in_vain > kVainClaim;
}

asio::awaitable<bool> Election::HasLivingOwner() {
  const std::optional<OwnerClaim> owner = this->directory.Owner();
  if (!owner || owner->member == this->member) {
    co_return false;
  }
  const Look look{owner->member, this->generation, this->context.Now()};
  if (this->seen_living.Covers(look)) {
    co_return true;
  }
  const Result<std::vector<std::string>> members =
      co_await this->context.links.store->Members(kCallTimeout);
  if (!members) {
    co_return true;  // not known; asked again with the next join
  }
  const bool is_living =
      std::find(members->begin(), members->end(), owner->member) != members->end();
  if (is_living) {
    this->seen_living = look;
    co_return true;
  }
  LogEvent(telemetry::LogLevel::kInfo, "owner_missing", owner->entry + " is not in the group",
           {{"member", owner->member}, {"members", std::to_string(members->size())}});
  if (this->context.links.fleet_observer != nullptr) {
    // What is ordered while the state is read goes through others already.
    this->context.links.fleet_observer->SetMembers(*members);
  }
  co_return false;
}

/// Who may carry orders changes with the group only. Beside the joins, as both take long while the
/// store is slow.
void Election::TellMembers() {
  const Look look{this->member, this->generation, this->context.Now()};
  if (this->context.links.fleet_observer == nullptr || this->is_telling ||
      this->told.Covers(look)) {
    return;
  }
  this->is_telling = true;
  Spawn(this->context, this->ReadMembers(this->shared_from_this(), look));
}

asio::awaitable<void> Election::ReadMembers([[maybe_unused]] std::shared_ptr<Election> self,
                                            Look look) {
  const ScopeGuard told([this] { this->is_telling = false; });
  const Result<std::vector<std::string>> members =
      co_await this->context.links.store->Members(kCallTimeout);
  if (members) {
    this->told = look;
    this->context.links.fleet_observer->SetMembers(*members);
  }
}

bool Election::Look::Covers(const Look& now) const {
  return this->owner == now.owner && this->generation == now.generation &&
         now.at - this->at < kLookAgain;
}

/// What can go wrong: two entries see that the owner is gone, both claim, and the second ends the
/// term that the first has just begun. So a claim stands only where this entry expects it.
asio::awaitable<bool> Election::Claim(std::uint64_t offset) {
  const OwnerClaim claim{this->context.settings.id.text, this->member,
                         this->context.settings.peers};
  std::vector<KeyedRecord> records;
  records.push_back({kOwnerKey, EncodeClaim(claim)});
  const AppendOutcome outcome = co_await this->context.links.store->AppendAt(
      Topic::kOwners, 0, std::move(records), offset, kClaimTimeout);
  if (outcome.kind == AppendOutcome::Kind::kEndMismatch) {
    LogEvent(telemetry::LogLevel::kInfo, "claim_refused", "another entry has claimed before");
    co_await this->directory.ReadAnew(kCallTimeout);
  }
  const bool is_stored = outcome.kind == AppendOutcome::Kind::kStored;
  this->is_claim_over = !is_stored;
  co_return is_stored;
}

asio::awaitable<bool> Election::Announce(ProgressWriter& writer) {
  const FencedWrite announced = co_await writer.Announce(this->is_claim_over);
  co_return announced == FencedWrite::kStored;
}

/// What can go wrong: the store is slow, the claim and the token's announcement take longer than
/// the group keeps a silent member, and another entry takes over from one that is about to begin.
/// So this entry joins on beside them.
void Election::BeginTerm(std::uint64_t offset) {
  this->is_claiming = true;
  Spawn(this->context, this->TakeOver(this->shared_from_this(), offset));
}

asio::awaitable<void> Election::TakeOver([[maybe_unused]] std::shared_ptr<Election> self,
                                         std::uint64_t offset) {
  const ScopeGuard claimed([this] { this->is_claiming = false; });
  // Before the claim, whose record ends the read that waits: the next one has to be a short one.
  this->directory.FollowClosely(true);
  // Offsets begin at 0, tokens at 1: a missing token counts as 0 at the endpoints.
  const std::uint64_t token = offset + 1;
  ProgressWriter writer(this->context, token);
  // Side by side. If the claim is refused, the one that stands there has this token or a higher.
  this->is_claim_over = false;
  std::vector<asio::awaitable<bool>> parts;
  parts.push_back(this->Claim(offset));
  parts.push_back(this->Announce(writer));
  const bool is_begun = co_await RunAll(this->context, std::move(parts), 2);
  if (!is_begun || this->is_resigned) {
    co_return;  // claimed again with the next join, if still chosen
  }
  // From here on a predecessor that hears from the store knows that its time is over.
  this->term = std::make_shared<OwnerTerm>(this->context, this->operators, this->directory,
                                           this->member, writer, token);
  this->term->Start();
}

asio::awaitable<void> Election::Resign() {
  this->is_resigned = true;
  this->is_claim_over = true;
  co_await this->Leave();
}

asio::awaitable<void> Election::Leave() {
  const Status left = co_await this->context.links.store->Leave(this->member, kCallTimeout);
  if (!left) {
    LogEvent(telemetry::LogLevel::kWarning, "leave_failed", ToString(left.LastReason()));
  }
}

}  // namespace chervilspar::job_entry
