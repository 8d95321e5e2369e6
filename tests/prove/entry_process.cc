#include "tests/prove/entry_process.h"

#include <algorithm>
#include <utility>

#include "tests/prove/world.h"

namespace chervilspar::prove {

namespace {

constexpr Duration kTick = std::chrono::milliseconds(50);
constexpr std::uint64_t kTicksPerBeat = 10;
constexpr std::uint64_t kTicksPerRead = 4;

idempotency::RegistryBounds SmallBounds() {
  idempotency::RegistryBounds bounds;
  bounds.max_age = std::chrono::seconds(60);
  bounds.min_age = std::chrono::seconds(8);
  bounds.capacity = 60;
  return bounds;
}

config_log::SnapshotPolicy FrequentSnapshots() {
  config_log::SnapshotPolicy policy;
  policy.max_records = 40;
  policy.max_age = std::chrono::seconds(5);
  policy.spread = std::chrono::seconds(2);
  return policy;
}

}  // namespace

EntryProcess::EntryProcess(World& world, const membership::Self& self, std::uint32_t zone,
                           Duration clock_offset, Duration boot_offset)
    : world(world),
      self(self),
      zone(zone),
      clock_offset(clock_offset),
      boot_offset(boot_offset),
      started_at(world.Sim().Now()),
      follower(self.id, FrequentSnapshots(), world.Sim().Now() + boot_offset),
      appender(config_log::AppendPolicy{}),
      planner(self.id),
      membership(self, world.Sim().Now() + boot_offset, world.Guards().membership),
      quota(self, world.Sim().Now() + boot_offset, {}, world.Guards().quota),
      registry(self, kMaxClockSkew, SmallBounds(), world.Guards().registry),
      client(self) {}

TimePoint EntryProcess::Now() const { return this->world.Sim().Now() + this->boot_offset; }

WallTime EntryProcess::Wall() const { return this->world.WallAt(this->clock_offset); }

void EntryProcess::Run(std::function<void()> action) {
  if (this->is_dead) {
    return;
  }
  if (this->pauses > 0) {
    this->inbox.push_back(std::move(action));
    return;
  }
  action();
}

void EntryProcess::Resume() {
  --this->pauses;
  while (this->pauses == 0 && !this->is_dead && !this->inbox.empty()) {
    const std::function<void()> action = std::move(this->inbox.front());
    this->inbox.pop_front();
    action();
  }
}

void EntryProcess::Later(Duration delay, std::function<void()> action) {
  this->world.Sim().After(
      delay, [life = this->shared_from_this(), action = std::move(action)] { life->Run(action); });
}

void EntryProcess::Start() {
  this->ReadLog();
  this->Tick();
}

void EntryProcess::Tick() {
  this->membership.Tick(this->Now());
  ++this->ticks;
  if (this->ticks % kTicksPerRead == 0) {
    this->ReadLog();
  }
  if (this->ticks % kTicksPerBeat == 0) {
    this->Beat();
    this->registry.Tick(this->Wall());
    this->ShareWithdrawals();
    this->WriteSnapshotIfDue();
    this->ReadVmList();
    this->AskEndpoints();
    this->Maintain();
  }
  this->OnAppends(this->appender.OnTick(this->Now()));
  this->Refresh();
  this->StartWaiting();
  this->SendLending(this->quota.Tick(this->Now()));
  for (const idempotency::OutgoingOutcome& outcome : this->client.Tick(this->Now())) {
    this->SendOutcome(outcome);
  }
  this->Later(kTick, [this] { this->Tick(); });
}

void EntryProcess::Beat() {
  const membership::Heartbeat beat = this->membership.MakeHeartbeat({this->Wall(), 0});
  for (const EntryId& peer : this->membership.HeartbeatTargets()) {
    this->Send(peer, [beat](EntryProcess& to) { to.OnHeartbeat(beat); });
  }
}

void EntryProcess::OnHeartbeat(const membership::Heartbeat& heartbeat) {
  this->membership.OnHeartbeat(heartbeat, this->Now());
  this->Refresh();
  const config_log::Offset from = this->Current()->next_offset;
  if (heartbeat.next_offset > from) {
    const EntryId me = this->self.id;
    this->Send(heartbeat.from, [me, from](EntryProcess& peer) { peer.TellPeer(me, from); });
  }
}

void EntryProcess::Refresh() {
  if (this->membership.MayOwn()) {
    this->quota.OnMayOwn(this->Now());
    this->registry.OnMayOwn();
  }
  this->membership.OnSettled(this->quota.SettledVersion(this->Now()));
  this->quota.OnSettled(this->membership.Settled(), this->Now());
  this->registry.OnApplied(this->membership.Applied(), this->Wall());
  this->quota.SetLenders(this->membership.ReachablePeers(this->Now()));
}

void EntryProcess::Send(const EntryId& to, std::function<void(EntryProcess&)> deliver) {
  this->world.SendToEntry(this->zone, to, std::move(deliver));
}

void EntryProcess::SendLending(const std::vector<quota::LendingMessage>& messages) {
  for (const quota::LendingMessage& message : messages) {
    this->Send(message.to, [message](EntryProcess& to) { to.OnLending(message); });
  }
}

void EntryProcess::OnLending(const quota::LendingMessage& message) {
  this->SendLending(this->quota.OnMessage(message, this->Now()));
  this->StartWaiting();
}

void EntryProcess::OnRegister(const idempotency::RegisterRequest& request) {
  const idempotency::RegisterReply reply = this->registry.OnRegister(request, this->Wall());
  this->Send(request.attempt.entry, [reply](EntryProcess& back) { back.OnRegisterReply(reply); });
}

void EntryProcess::OnOutcome(const idempotency::OutcomeReport& report, const EntryId& from) {
  const idempotency::OutcomeSeen seen = this->registry.OnOutcome(report);
  this->Send(from, [seen](EntryProcess& back) { back.OnOutcomeSeen(seen); });
}

void EntryProcess::OnOutcomeSeen(const idempotency::OutcomeSeen& seen) {
  this->client.OnOutcomeSeen(seen);
}

void EntryProcess::SendOutcome(const std::optional<idempotency::OutgoingOutcome>& outcome) {
  if (!outcome) {
    return;
  }
  this->Send(outcome->to, [report = outcome->report, me = this->self.id](EntryProcess& owner) {
    owner.OnOutcome(report, me);
  });
}

void EntryProcess::CountGuards() const {
  for (std::size_t at = 0; at < quota::kQuotaRefusals; ++at) {
    const auto refusal = static_cast<quota::QuotaRefusal>(at);
    this->world.Count(std::string("quota refused: ") + ToString(refusal),
                      this->quota.RefusalCount(refusal));
  }
  for (std::size_t at = 0; at < idempotency::kRegistrations; ++at) {
    const auto registration = static_cast<idempotency::Registration>(at);
    this->world.Count(std::string("owner answered: ") + ToString(registration),
                      this->registry.AnswerCount(registration));
  }
}

void EntryProcess::NoteUnits() {
  for (std::size_t team = 0; team < kTeams; ++team) {
    const quota::TeamUnits units = this->quota.Units(TeamAt(team), this->Now());
    this->world.Note(this->self.id.text + " " + TeamAt(team).text + ": owned " +
                     std::to_string(units.owned) + ", borrowed " + std::to_string(units.borrowed) +
                     ", lent " + std::to_string(units.lent) + ", running " +
                     std::to_string(units.running) + ", waiting " + std::to_string(units.waiting));
  }
}

}  // namespace chervilspar::prove
