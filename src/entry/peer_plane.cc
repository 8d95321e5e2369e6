#include "entry/peer_plane.h"

#include <algorithm>
#include <utility>

#include "chervilspar/telemetry/logger.h"

namespace chervilspar::entry {

namespace {

/// The whole state goes to a peer in one frame.
constexpr std::size_t kPeerFrameBytes = std::size_t{33} << 20U;

template <typename... Handlers>
struct Overloaded : Handlers... {
  using Handlers::operator()...;
};
template <typename... Handlers>
Overloaded(Handlers...) -> Overloaded<Handlers...>;

}  // namespace

PeerPlane::PeerPlane(const EntryContext& context)
    : context(context), membership(context.self, context.Now()) {}

Status PeerPlane::Open(boost::asio::io_context& io) {
  rpc::TransportLimits limits;
  limits.frame_bytes = kPeerFrameBytes;
  auto opened = rpc::OpenPeerTransport(io, this->context.settings.peer_address, limits,
                                       [this](const std::string& frame) { this->OnFrame(frame); });
  if (!opened) {
    return opened.LastReason();
  }
  this->transport = std::move(opened).Value();
  return Done{};
}

void PeerPlane::Stop() {
  if (this->transport != nullptr) {
    this->transport->Stop();
  }
}

void PeerPlane::SendToAddress(const std::string& address, const rpc::PeerBody& body) {
  this->transport->Send(this->context.settings.RouteTo(address),
                        rpc::Encode({this->context.self.id, body}));
}

void PeerPlane::SendTo(const EntryId& entry, rpc::PeerBody body) {
  std::string address;
  {
    const std::lock_guard lock(this->mutex);
    const auto found = this->addresses.find(entry);
    if (found == this->addresses.end()) {
      return;
    }
    address = found->second;
  }
  this->SendToAddress(address, body);
}

bool PeerPlane::IsHeard(const EntryId& entry) {
  return this->View(entry).reachability == membership::Reachability::kReachable;
}

void PeerPlane::Broadcast(const rpc::PeerBody& body) {
  std::set<EntryId> audience;
  {
    const std::lock_guard lock(this->mutex);
    audience = this->membership.HeartbeatTargets();
  }
  for (const EntryId& entry : audience) {
    this->SendTo(entry, body);
  }
}

void PeerPlane::OnState(const config_log::FleetState& state) {
  {
    const std::lock_guard lock(this->mutex);
    this->own_offset = state.next_offset;
    this->membership.OnFolded(state.next_offset);
    this->membership.OnConfiguration(membership::EntryListOf(state));
    // Addresses of former entries are kept: they still have to hear that the list has changed.
    for (const auto& [id, entry] : state.inventory.entries) {
      this->addresses[id] = entry.peer_address;
      this->zones[id] = entry.zone;
    }
    this->addresses.erase(this->context.self.id);
  }
  this->UpdateLenders();
  this->ShareAgreements();
}

void PeerPlane::OnReadToEnd() {
  const std::lock_guard lock(this->mutex);
  this->membership.OnReadToEnd();
}

void PeerPlane::UpdateLenders() {
  std::vector<EntryId> lenders;
  {
    const std::lock_guard lock(this->mutex);
    lenders = this->membership.ReachablePeers(this->context.Now());
    std::stable_sort(lenders.begin(), lenders.end(), [this](const auto& left, const auto& right) {
      return (this->zones[left] == this->context.self.zone) >
             (this->zones[right] == this->context.self.zone);
    });
  }
  this->targets.limits->SetLenders(lenders);
}

void PeerPlane::ShareAgreements() {
  const config_log::ConfigVersion settled_version = this->targets.limits->SettledVersion();
  membership::Agreement settled;
  membership::Agreement applied;
  {
    const std::lock_guard lock(this->mutex);
    this->membership.OnSettled(settled_version);
    settled = this->membership.Settled();
    applied = this->membership.Applied();
  }
  this->targets.limits->OnSettled(settled);
  this->targets.ledger->OnApplied(applied);
}

void PeerPlane::Heartbeat() {
  std::optional<membership::Pause> pause;
  membership::Heartbeat heartbeat;
  {
    const HybridTime stamp = this->context.events.Stamp(this->context.WallNow());
    const std::lock_guard lock(this->mutex);
    pause = this->membership.Tick(this->context.Now());
    heartbeat = this->membership.MakeHeartbeat(stamp);
  }
  if (pause) {
    this->NotePause(*pause);
  }
  this->NoteSilentPeers();
  this->ShareAgreements();
  this->UpdateLenders();
  this->Broadcast(heartbeat);
  std::vector<config_log::KeyDigest> pending = this->targets.config->PendingWithdrawals();
  if (!pending.empty()) {
    this->Broadcast(rpc::Withdrawals{std::move(pending)});
  }
  this->AskToCatchUp();
}

void PeerPlane::NotePause(const membership::Pause& pause) {
  const auto length =
      std::chrono::duration_cast<std::chrono::milliseconds>(pause.until - pause.from);
  this->context.Note(
      {.kind = telemetry::EventKind::kPauseNoticed,
       .why = "the process stood still for " + std::to_string(length.count()) + " ms"});
  telemetry::Log(telemetry::LogLevel::kWarning, "pause_noticed",
                 "the process stood still for " + std::to_string(length.count()) + " ms");
}

void PeerPlane::NoteSilentPeers() {
  std::set<EntryId> live = this->LiveEntries();
  for (const EntryId& entry : this->last_live) {
    if (!live.contains(entry)) {
      this->context.Note({.kind = telemetry::EventKind::kPeerDown,
                          .why = "entry " + entry.text + " is silent: paused, cut off or gone"});
    }
  }
  this->last_live = std::move(live);
}

void PeerPlane::SendReports() {
  const rpc::ShardReports reports = this->targets.services->Reports();
  if (!reports.reports.empty()) {
    this->Broadcast(reports);
  }
}

// An entry that starts in an outage, or in a zone that is cut off from the log, takes the newest
// state that any entry it reaches has; without that it would refuse its callers for as long as the
// log is away. While the log answers, it is the quicker way.
void PeerPlane::AskToCatchUp() {
  if (this->targets.config->WasLogReadWithin(kViewBound)) {
    return;
  }
  const rpc::CatchUpRequest request{this->targets.config->State()->next_offset,
                                    this->context.settings.peer_address};
  std::set<std::string> ask;
  {
    const std::lock_guard lock(this->mutex);
    const TimePoint now = this->context.Now();
    for (const auto& [entry, address] : this->addresses) {
      const membership::PeerView view = this->membership.View(entry, now);
      if (view.reachability == membership::Reachability::kReachable &&
          view.last.next_offset > this->own_offset) {
        ask.insert(address);
      }
    }
  }
  if (request.from_offset == 0) {
    ask.insert(this->context.settings.seed_peers.begin(), this->context.settings.seed_peers.end());
  }
  for (const std::string& address : ask) {
    this->SendToAddress(address, request);
  }
}

void PeerPlane::OnFrame(const std::string& frame) {
  const Result<rpc::PeerMessage> message = rpc::Decode(frame);
  if (!message) {
    this->context.metrics.Count({"chervilspar_bad_peer_messages_total", {}});
    telemetry::Log(telemetry::LogLevel::kWarning, "bad_peer_message",
                   ToString(message.LastReason()));
    return;
  }
  if (message->sender != this->context.self.id) {
    this->Dispatch(*message);
  }
}

void PeerPlane::Dispatch(const rpc::PeerMessage& message) {
  const EntryId& sender = message.sender;
  std::visit(
      Overloaded{
          [&](const membership::Heartbeat& heartbeat) { this->OnHeartbeat(heartbeat); },
          [&](const quota::LendingMessage& lending) {
            for (const TeamId& team : this->targets.limits->OnMessage(lending)) {
              this->targets.services->OnLimitFreed(team);
            }
          },
          [&](const idempotency::RegisterRequest& request) {
            this->targets.ledger->OnRegister(sender, request);
          },
          [&](const idempotency::RegisterReply& reply) { this->targets.ledger->OnReply(reply); },
          [&](const idempotency::OutcomeReport& report) {
            this->targets.ledger->OnOutcome(sender, report);
          },
          [&](const idempotency::OutcomeSeen& seen) { this->targets.ledger->OnOutcomeSeen(seen); },
          [&](const rpc::ShardReports& reports) {
            this->targets.services->OnReports(sender, reports);
          },
          [&](const rpc::Withdrawals& withdrawals) {
            for (const config_log::KeyDigest& digest : withdrawals.digests) {
              this->targets.config->Withdraw(digest);
            }
          },
          [&](const rpc::CatchUpRequest& request) { this->OnCatchUpRequest(request); },
          [&](const rpc::CatchUpRecords& records) {
            this->targets.config->OnPeerRecords(records.records);
          },
          [&](const rpc::CatchUpState& state) { this->targets.config->OnPeerState(state.state); },
      },
      message.body);
}

// The lease arithmetic assumes a bound on the difference of wall clocks; this is how an operator
// sees that it no longer holds. The way of the heartbeat is in the figure.
void PeerPlane::WatchClock(const membership::Heartbeat& heartbeat) {
  const Duration difference = this->context.WallNow() - heartbeat.sent_at.wall;
  this->context.metrics.Set(
      {"chervilspar_peer_clock_difference_seconds", {{"entry", heartbeat.from.text}}},
      std::chrono::duration<double>(difference).count());
}

void PeerPlane::OnHeartbeat(const membership::Heartbeat& heartbeat) {
  this->WatchClock(heartbeat);
  this->context.events.Observe(heartbeat.sent_at, this->context.WallNow());
  membership::HeartbeatOutcome news = membership::HeartbeatOutcome::kKnownIncarnation;
  {
    const std::lock_guard lock(this->mutex);
    news = this->membership.OnHeartbeat(heartbeat, this->context.Now());
  }
  if (news == membership::HeartbeatOutcome::kNewPeer ||
      news == membership::HeartbeatOutcome::kNewIncarnation) {
    this->context.Note({.kind = telemetry::EventKind::kPeerUp,
                        .why = "entry " + heartbeat.from.text + " was heard in a new life"});
    this->UpdateLenders();
  }
  this->ShareAgreements();
}

void PeerPlane::OnCatchUpRequest(const rpc::CatchUpRequest& request) {
  ConfigPlane::CatchUp catch_up = this->targets.config->CatchUpFrom(request.from_offset);
  if (!catch_up.records.empty()) {
    this->SendToAddress(request.reply_address, rpc::CatchUpRecords{std::move(catch_up.records)});
  } else if (!catch_up.state.empty()) {
    this->SendToAddress(request.reply_address, rpc::CatchUpState{std::move(catch_up.state)});
  }
}

std::set<ZoneId> PeerPlane::ZonesInAgreement() {
  const std::lock_guard lock(this->mutex);
  std::set<ZoneId> in_agreement;
  const TimePoint now = this->context.Now();
  for (const auto& [entry, zone] : this->zones) {
    const membership::PeerView view = this->membership.View(entry, now);
    const bool was_heard = view.reachability != membership::Reachability::kUnknown &&
                           now - view.last_contact <= kViewBound;
    if (was_heard && view.last.next_offset <= this->own_offset) {
      in_agreement.insert(zone);
    }
  }
  return in_agreement;
}

bool PeerPlane::WasPeerHeardWithin(Duration span) {
  const std::lock_guard lock(this->mutex);
  const TimePoint now = this->context.Now();
  return std::any_of(this->zones.begin(), this->zones.end(), [&](const auto& entry) {
    const membership::PeerView view = this->membership.View(entry.first, now);
    return view.reachability != membership::Reachability::kUnknown &&
           now - view.last_contact <= span;
  });
}

std::set<EntryId> PeerPlane::LiveEntries() {
  const std::lock_guard lock(this->mutex);
  const std::vector<EntryId> fresh = this->membership.ReachablePeers(this->context.Now());
  std::set<EntryId> live(fresh.begin(), fresh.end());
  live.insert(this->context.self.id);
  return live;
}

membership::PeerView PeerPlane::View(const EntryId& peer) {
  const std::lock_guard lock(this->mutex);
  return this->membership.View(peer, this->context.Now());
}

bool PeerPlane::MayOwn() {
  const std::lock_guard lock(this->mutex);
  return this->membership.MayOwn();
}

rpc::TransportCounters PeerPlane::Counters() const { return this->transport->Counters(); }

}  // namespace chervilspar::entry
