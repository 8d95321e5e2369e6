#include "chervilspar/quota/quota.h"

#include <array>
#include <utility>

#include "quota_state.h"

namespace chervilspar::quota {

const char* ToString(QuotaRefusal refusal) {
  constexpr std::array<const char*, kQuotaRefusals> kNames = {
      "unknown-team", "no-unit",      "not-yet-owner", "waiting-out-predecessor",
      "joint-rule",   "loan-expired", "late-grant",    "unknown-loan",
      "shutting-down"};
  return kNames.at(static_cast<std::size_t>(refusal));
}

Quota::Quota(const membership::Self& self, TimePoint started, LendingPolicy policy,
             QuotaGuards guards)
    : state(std::make_unique<State>(self, started, policy, guards)) {}

Quota::~Quota() = default;
Quota::Quota(Quota&&) noexcept = default;
Quota& Quota::operator=(Quota&&) noexcept = default;

void Quota::OnConfiguration(const Limits& limits, TimePoint now) {
  this->state->OnConfiguration(limits, now);
}

void Quota::OnMayOwn(TimePoint now) { this->state->OnMayOwn(now); }

void Quota::OnSettled(const membership::Agreement& settled, TimePoint /*now*/) {
  this->state->OnSettled(settled);
}

void Quota::SetLenders(const std::vector<EntryId>& lenders) { this->state->lenders = lenders; }

Result<StartPermit> Quota::TryStart(const TeamId& team, const TaskId& task, TimePoint now,
                                    WallTime wall_now) {
  return this->state->TryStart(team, task, now, wall_now);
}

void Quota::OnEnded(const TaskId& task, TimePoint now) { this->state->OnEnded(task, now); }

void Quota::SetWaiting(const TeamId& team, std::uint32_t waiting) {
  if (waiting == 0) {
    this->state->waiting.erase(team);
  } else {
    this->state->waiting[team] = waiting;
  }
}

std::vector<LendingMessage> Quota::OnMessage(const LendingMessage& message, TimePoint now) {
  this->state->OnMessage(message, now);
  return this->state->TakeOutbox();
}

std::vector<LendingMessage> Quota::Tick(TimePoint now) {
  this->state->Tick(now);
  return this->state->TakeOutbox();
}

void Quota::BeginShutdown() { this->state->is_shutting_down = true; }

config_log::ConfigVersion Quota::SettledVersion(TimePoint now) {
  return this->state->SettledVersion(now);
}

TeamUnits Quota::Units(const TeamId& team, TimePoint now) { return this->state->Units(team, now); }

std::uint64_t Quota::RefusalCount(QuotaRefusal refusal) const {
  return this->state->refusals.at(static_cast<std::size_t>(refusal));
}

bool Quota::IsIdle() const { return this->state->IsIdle(); }

}  // namespace chervilspar::quota
