#include "chervilspar/membership/membership.h"

#include <algorithm>

#include "chervilspar/base/assert.h"

namespace chervilspar::membership {

namespace {

/// Maximum number of tracked senders that the current list doesn't contain. An entry that is behind
/// gets heartbeats from entries that it doesn't know yet; a faulty sender must not fill its memory.
constexpr std::size_t kMaxUnlistedPeers = 64;

/// Covers the start window of a task, which may be longer than a short loan, and clock drift.
constexpr Duration kRunDurationMargin = std::chrono::seconds(3);

}  // namespace

EntryList EntryListOf(const config_log::FleetState& state) {
  EntryList list;
  list.version = state.version;
  for (const auto& [id, entry] : state.inventory.entries) {
    list.entries.insert(id);
  }
  list.former = state.former_entries;
  list.gone = state.gone_entries;
  const inventory::ServiceRules& rules = state.inventory.service_rules;
  list.max_run_duration =
      rules.loan_lease + rules.max_task_lease + rules.max_clock_skew + kRunDurationMargin;
  return list;
}

Membership::Membership(Self self, TimePoint started, MembershipGuards guards)
    : self(std::move(self)), guards(guards), last_tick(started) {}

void Membership::OnConfiguration(const EntryList& list) {
  CHERVILSPAR_ASSERT(list.version >= this->list.version);
  if (list == this->list) {
    return;
  }
  const bool is_new_version = list.version > this->list.version;
  this->UpdateFormer(list);
  this->list = list;
  if (is_new_version) {
    this->applied.clear();
    this->settled.clear();
  }
  for (const auto& [id, peer] : this->peers) {
    this->ApplyReports(peer.last);
  }
  this->UpdateAgreement();
}

void Membership::UpdateFormer(const EntryList& next) {
  if (this->guards.await_former == Guard::kOff) {
    return;
  }
  this->former.insert(this->list.entries.begin(), this->list.entries.end());
  for (const EntryId& id : next.former) {
    if (!this->retired.contains(id)) {
      this->former.insert(id);
    }
  }
  for (const EntryId& id : next.entries) {
    this->former.erase(id);
    this->retired.erase(id);
  }
  for (const EntryId& id : next.gone) {
    const bool was_awaited = this->former.erase(id) > 0;
    if (was_awaited) {
      // Its tasks may still run, so that the entry counts as unsettled until they must have ended.
      this->gone_until.try_emplace(id, std::nullopt);
    }
  }
}

void Membership::OnReadToEnd() { this->log_progress = LogProgress::kReadToEnd; }

void Membership::OnFolded(config_log::Offset next_offset) {
  CHERVILSPAR_ASSERT(next_offset >= this->next_offset);
  this->next_offset = next_offset;
}

void Membership::OnSettled(config_log::ConfigVersion version) {
  this->settled_version = std::max(this->settled_version, version);
  this->UpdateAgreement();
}

HeartbeatOutcome Membership::OnHeartbeat(const Heartbeat& heartbeat, TimePoint now) {
  if (heartbeat.from == this->self.id || !this->MayTrackSender(heartbeat)) {
    return HeartbeatOutcome::kIgnored;
  }
  const auto found = this->peers.find(heartbeat.from);
  if (found != this->peers.end() && this->IsStale(found->second, heartbeat, now)) {
    return HeartbeatOutcome::kIgnored;
  }
  HeartbeatOutcome outcome = HeartbeatOutcome::kKnownIncarnation;
  if (found == this->peers.end()) {
    outcome = HeartbeatOutcome::kNewPeer;
  } else if (found->second.last.incarnation != heartbeat.incarnation) {
    outcome = HeartbeatOutcome::kNewIncarnation;
  }
  this->peers[heartbeat.from] = Peer{heartbeat, now};
  this->ApplyReports(heartbeat);
  this->UpdateAgreement();
  return outcome;
}

bool Membership::MayTrackSender(const Heartbeat& heartbeat) const {
  const EntryId& from = heartbeat.from;
  if (this->list.entries.contains(from) || this->former.contains(from) ||
      this->peers.contains(from)) {
    return true;
  }
  const bool is_ahead = heartbeat.applied_version > this->list.version;
  return (is_ahead || this->list.version == 0) &&
         this->peers.size() < this->list.entries.size() + kMaxUnlistedPeers;
}

bool Membership::IsStale(const Peer& known, const Heartbeat& heartbeat, TimePoint now) const {
  if (heartbeat.incarnation == known.last.incarnation) {
    return heartbeat.sent_at < known.last.sent_at;
  }
  // The replacement's wall clock may be behind its predecessor's. Once the predecessor is
  // unresponsive, any other incarnation is the newer one.
  return heartbeat.incarnation < known.last.incarnation && now - known.last_contact < kPeerTimeout;
}

void Membership::ApplyReports(const Heartbeat& heartbeat) {
  const config_log::ConfigVersion version = this->list.version;
  if (heartbeat.applied_version == version) {
    this->applied.insert(heartbeat.from);
  }
  if (heartbeat.settled_version == version) {
    this->settled.insert(heartbeat.from);
  }
  if (heartbeat.applied_by_all == version) {
    this->applied_by_all = version;
  }
  if (heartbeat.settled_by_all == version) {
    this->settled_by_all = version;
  }
}

void Membership::UpdateAgreement() {
  if (this->Applied().IsReachedByAll()) {
    this->applied_by_all = this->list.version;
  }
  if (this->Settled().IsReachedByAll()) {
    this->settled_by_all = this->list.version;
  }
  const bool is_reached_and_settled = this->list.version > 0 &&
                                      this->applied_by_all == this->list.version &&
                                      this->settled_by_all == this->list.version;
  if (is_reached_and_settled) {
    // A former entry that has reached this version owns nothing until it is listed again, and may
    // be shut down.
    this->retired.insert(this->former.begin(), this->former.end());
    this->former.clear();
  }
}

std::optional<Pause> Membership::Tick(TimePoint now) {
  CHERVILSPAR_ASSERT(now >= this->last_tick);
  const Pause pause{this->last_tick, now};
  this->last_tick = now;
  this->RemoveEndedGone(now);
  if (pause.until - pause.from < kPauseThreshold) {
    return std::nullopt;
  }
  return pause;
}

void Membership::RemoveEndedGone(TimePoint now) {
  for (auto gone = this->gone_until.begin(); gone != this->gone_until.end();) {
    if (!gone->second) {
      gone->second = now + this->list.max_run_duration;
    }
    gone = *gone->second <= now ? this->gone_until.erase(gone) : std::next(gone);
  }
  this->UpdateAgreement();
}

Heartbeat Membership::MakeHeartbeat(HybridTime sent_at) const {
  Heartbeat heartbeat;
  heartbeat.from = this->self.id;
  heartbeat.incarnation = this->self.incarnation;
  heartbeat.zone = this->self.zone;
  heartbeat.next_offset = this->next_offset;
  heartbeat.log_progress = this->log_progress;
  heartbeat.applied_version = this->list.version;
  heartbeat.settled_version = this->settled_version;
  heartbeat.applied_by_all = this->applied_by_all;
  heartbeat.settled_by_all = this->settled_by_all;
  heartbeat.sent_at = sent_at;
  return heartbeat;
}

std::set<EntryId> Membership::HeartbeatTargets() const {
  std::set<EntryId> targets = this->list.entries;
  targets.insert(this->former.begin(), this->former.end());
  targets.erase(this->self.id);
  return targets;
}

PeerView Membership::View(const EntryId& peer, TimePoint now) const {
  const auto found = this->peers.find(peer);
  if (found == this->peers.end()) {
    return {};
  }
  const bool is_reachable = now - found->second.last_contact < kPeerTimeout;
  return {is_reachable ? Reachability::kReachable : Reachability::kUnresponsive, found->second.last,
          found->second.last_contact};
}

std::vector<EntryId> Membership::ReachablePeers(TimePoint now) const {
  std::vector<EntryId> reachable;
  for (const auto& [id, peer] : this->peers) {
    if (now - peer.last_contact < kPeerTimeout) {
      reachable.push_back(id);
    }
  }
  return reachable;
}

bool Membership::MayOwn() const {
  return this->guards.read_to_end == Guard::kOff || this->log_progress == LogProgress::kReadToEnd;
}

Agreement Membership::Applied() const {
  std::set<EntryId> reached = this->applied;
  reached.insert(this->self.id);
  return this->AgreementOn(this->applied_by_all, reached);
}

Agreement Membership::Settled() const {
  std::set<EntryId> reached = this->settled;
  if (this->settled_version == this->list.version) {
    reached.insert(this->self.id);
  }
  Agreement agreement = this->AgreementOn(this->settled_by_all, reached);
  if (this->settled_by_all != this->list.version) {
    for (const auto& [id, until] : this->gone_until) {
      agreement.awaiting.insert(id);
    }
  }
  return agreement;
}

Agreement Membership::AgreementOn(config_log::ConfigVersion by_all,
                                  const std::set<EntryId>& reached) const {
  Agreement agreement;
  agreement.version = this->list.version;
  if (by_all == this->list.version) {
    return agreement;
  }
  std::set<EntryId> expected = this->list.entries;
  expected.insert(this->former.begin(), this->former.end());
  std::set_difference(expected.begin(), expected.end(), reached.begin(), reached.end(),
                      std::inserter(agreement.awaiting, agreement.awaiting.end()));
  return agreement;
}

}  // namespace chervilspar::membership
