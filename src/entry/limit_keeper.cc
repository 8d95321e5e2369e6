#include "entry/limit_keeper.h"

#include <utility>

#include "chervilspar/base/assert.h"

namespace chervilspar::entry {

LimitKeeper::Session::Session(LimitKeeper& keeper) : keeper(keeper), lock(keeper.mutex) {}

LimitKeeper::Session::~Session() {
  const TimePoint now = this->keeper.context.Now();
  for (const auto& [team, unit] : this->taken) {
    this->keeper.quota.OnEnded(unit.task, now);
  }
}

scheduling::GateAnswer LimitKeeper::Session::MayStart(const TeamId& team, TimePoint now) {
  if (this->taken.contains(team)) {
    return scheduling::GateAnswer::kMayStart;
  }
  const TaskId task = this->keeper.NextTask();
  const auto permit = this->keeper.quota.TryStart(team, task, now, this->keeper.context.WallNow());
  if (!permit) {
    return scheduling::GateAnswer::kAtLimit;
  }
  this->taken.emplace(team, TakenUnit{task, *permit});
  return scheduling::GateAnswer::kMayStart;
}

TakenUnit LimitKeeper::Session::Use(const TeamId& team) {
  const auto found = this->taken.find(team);
  CHERVILSPAR_ASSERT(found != this->taken.end());
  TakenUnit unit = found->second;
  this->taken.erase(found);
  return unit;
}

LimitKeeper::LimitKeeper(const EntryContext& context, PeerSender& sender)
    : context(context), sender(sender), quota(context.self, context.Now()) {}

void LimitKeeper::OnState(const config_log::FleetState& state) {
  const std::lock_guard lock(this->mutex);
  this->quota.OnConfiguration(quota::LimitsOf(state), this->context.Now());
}

void LimitKeeper::OnMayOwn() {
  const std::lock_guard lock(this->mutex);
  this->quota.OnMayOwn(this->context.Now());
}

void LimitKeeper::OnSettled(const membership::Agreement& settled) {
  const std::lock_guard lock(this->mutex);
  this->quota.OnSettled(settled, this->context.Now());
}

void LimitKeeper::SetLenders(const std::vector<EntryId>& lenders) {
  const std::lock_guard lock(this->mutex);
  this->quota.SetLenders(lenders);
}

void LimitKeeper::SetWaiting(const std::map<TeamId, std::uint32_t>& waiting) {
  const std::lock_guard lock(this->mutex);
  for (const auto& [team, count] : this->waiting) {
    if (!waiting.contains(team)) {
      this->quota.SetWaiting(team, 0);
    }
  }
  for (const auto& [team, count] : waiting) {
    this->quota.SetWaiting(team, count);
  }
  this->waiting = waiting;
}

void LimitKeeper::OnEnded(const TaskId& task) {
  const std::lock_guard lock(this->mutex);
  this->quota.OnEnded(task, this->context.Now());
}

std::vector<TeamId> LimitKeeper::OnMessage(const quota::LendingMessage& message) {
  std::vector<TeamId> teams;
  for (const quota::LoanGrant& grant : message.grants) {
    if (grant.units > 0) {
      teams.push_back(grant.team);
    }
  }
  const std::lock_guard lock(this->mutex);
  this->Send(this->quota.OnMessage(message, this->context.Now()));
  return teams;
}

void LimitKeeper::Tick() {
  const std::lock_guard lock(this->mutex);
  this->Send(this->quota.Tick(this->context.Now()));
}

void LimitKeeper::BeginShutdown() {
  const std::lock_guard lock(this->mutex);
  this->quota.BeginShutdown();
}

config_log::ConfigVersion LimitKeeper::SettledVersion() {
  const std::lock_guard lock(this->mutex);
  return this->quota.SettledVersion(this->context.Now());
}

quota::TeamUnits LimitKeeper::Units(const TeamId& team) {
  const std::lock_guard lock(this->mutex);
  return this->quota.Units(team, this->context.Now());
}

bool LimitKeeper::IsIdle() {
  const std::lock_guard lock(this->mutex);
  return this->quota.IsIdle();
}

void LimitKeeper::Send(const std::vector<quota::LendingMessage>& messages) {
  for (const quota::LendingMessage& message : messages) {
    this->sender.SendTo(message.to, message);
  }
}

// Ids must differ between the lives of an entry: an endpoint that still remembers a task of the
// predecessor would refuse the successor's as a duplicate.
TaskId LimitKeeper::NextTask() {
  ++this->last_task;
  const membership::Self& self = this->context.self;
  return TaskId{self.id.text + "-" + std::to_string(self.incarnation.nonce) + "-" +
                std::to_string(this->last_task)};
}

}  // namespace chervilspar::entry
