#include <iterator>
#include <string>
#include <utility>
#include <variant>

#include "tests/prove/entry_process.h"
#include "tests/prove/world.h"

namespace chervilspar::prove {

using config_log::AppendResult;
using config_log::VmCondition;
using maintenance::StepRecord;

namespace {

constexpr Duration kStepPatience = std::chrono::seconds(5);
/// A VM that the list does not name for this long counts as failed.
constexpr Duration kMissingIsFailed = std::chrono::seconds(3);
/// An endpoint of the own zone is taken this often.
constexpr double kOwnZoneFirst = 0.7;

config_log::StepResult ToResult(maintenance::ActResult result) {
  return result == maintenance::ActResult::kSucceeded ? config_log::StepResult::kSucceeded
                                                      : config_log::StepResult::kVmFailed;
}

}  // namespace

std::optional<std::uint32_t> EntryProcess::PickEndpoint(const TeamId& team) {
  const StatePtr state = this->Current();
  const PoolId pool = PoolOf(team);
  const bool wants_own_zone = this->world.Sim().Chance(kOwnZoneFirst);
  std::vector<std::uint32_t> any;
  std::vector<std::uint32_t> near;
  for (std::uint32_t at = 0; at < this->world.EndpointCount(); ++at) {
    const VmId vm = VmAt(at);
    const auto declared = state->inventory.vms.find(vm);
    const bool is_in_pool = declared != state->inventory.vms.end() && declared->second.pool == pool;
    if (is_in_pool && config_log::IsAvailable(*state, vm)) {
      any.push_back(at);
      if (this->world.EndpointZone(at) == this->zone) {
        near.push_back(at);
      }
    }
  }
  const std::vector<std::uint32_t>& from = wants_own_zone && !near.empty() ? near : any;
  if (from.empty()) {
    return std::nullopt;
  }
  return from[this->world.Sim().Dice().Below(from.size())];
}

void EntryProcess::ReadVmList() {
  this->world.Net().SendOnce(this->zone, kPlatform, [life = this->shared_from_this()] {
    const std::set<VmId> live = life->world.ListedVms();
    const TimePoint as_of = life->world.ListedAsOf();
    life->world.Net().SendOnce(kPlatform, life->zone, [life, live, as_of] {
      life->Run([life, live, as_of] { life->OnVmList(as_of, live); });
    });
  });
}

void EntryProcess::OnVmList(TimePoint as_of, const std::set<VmId>& live) {
  const WallTime taken = WallTime(std::chrono::hours(500000)) + as_of.time_since_epoch();
  if (taken < this->list_as_of) {
    return;
  }
  this->list_as_of = taken;
  this->list_read_at = this->Now();
  for (const auto& [vm, declared] : this->Current()->inventory.vms) {
    SeenVm& seen = this->seen_vms[vm];
    seen.is_listed = live.contains(vm);
    if (seen.is_listed) {
      seen.missing_since.reset();
    } else if (!seen.missing_since) {
      seen.missing_since = this->Now();
    }
  }
  this->AppendObservations();
}

void EntryProcess::AppendObservations() {
  const StatePtr state = this->Current();
  std::map<VmCondition, std::vector<VmId>> due;
  for (const auto& [vm, status] : state->vm_status) {
    const SeenVm& seen = this->seen_vms[vm];
    const bool is_failed =
        seen.missing_since && this->Now() - *seen.missing_since >= kMissingIsFailed;
    if (seen.is_listed && status.condition != VmCondition::kAvailable) {
      due[VmCondition::kAvailable].push_back(vm);
    } else if (is_failed && status.condition != VmCondition::kFailed) {
      due[VmCondition::kFailed].push_back(vm);
    }
  }
  for (const auto& [condition, vms] : due) {
    const RecordId id = this->NextRecordId();
    this->Submit(id,
                 {{id, this->self.id, this->Wall(),
                   config_log::VmsObserved{condition, vms, this->list_as_of}}},
                 Seconds(2), {});
  }
}

void EntryProcess::CallEndpoint(const VmId& vm, std::function<void(Endpoint&)> call) {
  Endpoint& endpoint = this->world.EndpointOf(vm);
  this->world.Net().SendOnce(this->zone, endpoint.Zone(),
                             [&endpoint, call = std::move(call)] { call(endpoint); });
}

void EntryProcess::AskEndpoints() {
  for (const auto& [vm, declared] : this->Current()->inventory.vms) {
    this->CallEndpoint(vm, [life = this->shared_from_this(), vm = vm](Endpoint& endpoint) {
      const bool is_draining = endpoint.IsDraining();
      life->world.Net().SendOnce(endpoint.Zone(), life->zone, [life, vm, is_draining] {
        life->Run([life, vm, is_draining] {
          life->seen_vms[vm].drain_state =
              is_draining ? maintenance::DrainState::kDraining : maintenance::DrainState::kOpen;
        });
      });
    });
  }
}

maintenance::Observations EntryProcess::Observe() const {
  maintenance::Observations observations;
  for (const EntryId& peer : this->membership.ReachablePeers(this->Now())) {
    observations.live_entries.insert(peer);
  }
  observations.live_entries.insert(this->self.id);
  if (!this->list_read_at) {
    return observations;
  }
  observations.vm_list_age = this->Now() - *this->list_read_at;
  for (const auto& [vm, seen] : this->seen_vms) {
    maintenance::VmObservation observed;
    observed.listing =
        seen.is_listed ? maintenance::VmListing::kLive : maintenance::VmListing::kUnlisted;
    observed.drain_state = seen.drain_state;
    observed.age = observations.vm_list_age;
    if (seen.missing_since) {
      observed.failing_since = this->Wall() - (this->Now() - *seen.missing_since);
    }
    observations.vms.emplace(vm, observed);
  }
  return observations;
}

void EntryProcess::Maintain() {
  const StatePtr state = this->Current();
  const bool is_listed = state->inventory.entries.contains(this->self.id);
  if (is_listed && this->follower.HasReachedEnd()) {
    this->PlanSteps(state);
  }
  this->FeedSteps();
}

void EntryProcess::PlanSteps(const StatePtr& state) {
  const inventory::MaintenanceRules& rules = state->inventory.maintenance;
  const maintenance::Plan plan = this->planner.MakePlan(*state, this->Observe(), this->Wall());
  for (const config_log::Step& step : plan.claims) {
    if (plan.appends_claims && !this->jobs.contains(step.id)) {
      this->jobs.emplace(
          step.id, Job{maintenance::StepExecutor::Claim(step, rules, this->Now()), EntryId{}});
    }
  }
  for (const maintenance::StepTakeOver& take_over : plan.take_overs) {
    const auto folded = state->steps.find(take_over.step);
    const bool is_mine = take_over.new_executor == this->self.id && folded != state->steps.end();
    if (is_mine && !this->jobs.contains(take_over.step)) {
      config_log::Step own = folded->second;
      own.executor = this->self.id;
      this->jobs.emplace(own.id, Job{maintenance::StepExecutor::TakeOver(own, rules, this->Now()),
                                     take_over.gone_executor});
    }
  }
  for (const auto& [id, step] : state->steps) {
    if (step.executor == this->self.id && !this->jobs.contains(id)) {
      this->jobs.emplace(
          id, Job{maintenance::StepExecutor::Resume(step, rules, this->Now()), EntryId{}});
    }
  }
  for (const maintenance::StepWithdrawal& withdrawal : plan.withdrawals) {
    this->FeedStep(withdrawal.step, maintenance::WithdrawalRequested{});
  }
  for (const VmId& vm : plan.undrains) {
    this->UndrainVm(std::nullopt, vm);
  }
}

void EntryProcess::FeedSteps() {
  const StatePtr state = this->Current();
  std::vector<StepId> ids;
  for (const auto& [id, job] : this->jobs) {
    ids.push_back(id);
  }
  for (const StepId& id : ids) {
    const auto folded = state->steps.find(id);
    const bool is_folded = folded != state->steps.end();
    this->FeedStep(
        id, maintenance::FoldedStep{is_folded ? std::optional(folded->second) : std::nullopt});
    this->FeedStep(id, maintenance::Tick{});
  }
  std::erase_if(this->jobs, [](const auto& job) { return job.second.executor.IsFinished(); });
}

void EntryProcess::FeedStep(const StepId& step, const maintenance::StepInput& input) {
  const auto job = this->jobs.find(step);
  if (job == this->jobs.end()) {
    return;
  }
  for (const maintenance::StepOutput& output : job->second.executor.Handle(input, this->Now())) {
    this->DoStep(step, output);
  }
}

void EntryProcess::DoStep(const StepId& step, const maintenance::StepOutput& output) {
  const VmId vm = this->jobs.at(step).executor.Current().vm;
  if (const auto* append = std::get_if<maintenance::AppendRecord>(&output)) {
    this->AppendStep(step, *append);
  } else if (std::holds_alternative<maintenance::DrainEndpoint>(output)) {
    this->DrainVm(step, vm);
  } else if (std::holds_alternative<maintenance::UndrainEndpoint>(output)) {
    this->UndrainVm(step, vm);
  } else if (std::holds_alternative<maintenance::RebootVm>(output)) {
    this->RebootVm(step, vm);
  } else if (std::holds_alternative<maintenance::DescribeVm>(output)) {
    this->DescribeVm(step, vm);
  } else {
    const maintenance::ActVerdict verdict =
        maintenance::CheckBeforeActing(*this->Current(), this->Observe(), step);
    this->world.Count(std::string("final check: ") +
                      (verdict == maintenance::ActVerdict::kAct    ? "act"
                       : verdict == maintenance::ActVerdict::kWait ? "wait"
                                                                   : "withdraw"));
    this->FeedStep(step, maintenance::FinalCheckAnswer{verdict});
  }
}

void EntryProcess::AppendStep(const StepId& id, const maintenance::AppendRecord& append) {
  const Job& job = this->jobs.at(id);
  const config_log::Step& step = job.executor.Current();
  config_log::Record record{this->NextRecordId(), this->self.id, this->Wall(), {}};
  switch (append.record) {
    case StepRecord::kClaim:
      record.id.text = step.id.text;
      record.body = config_log::StepClaimed{step.vm, step.action, step.from_pool, step.to_pool,
                                            step.executor};
      break;
    case StepRecord::kTakeOver:
      record.body = config_log::StepTakenOver{id, job.gone_executor, step.executor};
      break;
    case StepRecord::kActing:
      record.body = config_log::StepActing{id, step.executor};
      break;
    case StepRecord::kDone:
      record.body = config_log::StepDone{id, ToResult(append.result)};
      break;
    case StepRecord::kWithdrawn:
      record.body = config_log::StepWithdrawn{id, "asked"};
      break;
  }
  this->Submit(
      record.id, {record}, kStepPatience, [this, id, kind = append.record](AppendResult result) {
        const bool is_accepted = result == AppendResult::kAccepted;
        this->world.Count(std::string("step ") + maintenance::ToString(kind) + ": " +
                          ToString(result));
        if (is_accepted || result == AppendResult::kRejected) {
          const StatePtr state = this->Current();
          const auto folded = state->steps.find(id);
          const bool is_folded = folded != state->steps.end();
          this->FeedStep(id, maintenance::FoldedStep{is_folded ? std::optional(folded->second)
                                                               : std::nullopt});
          const auto verdict = is_accepted ? maintenance::RecordVerdict::kAccepted
                                           : maintenance::RecordVerdict::kRejected;
          this->FeedStep(id, maintenance::RecordReadBack{kind, verdict});
        }
      });
}

void EntryProcess::DrainVm(const StepId& step, const VmId& vm) {
  this->CallEndpoint(vm, [life = this->shared_from_this(), step](Endpoint& endpoint) {
    endpoint.OnDrain([life, step, zone = endpoint.Zone()](std::uint32_t running) {
      life->world.Net().SendOnce(zone, life->zone, [life, step, running] {
        life->Run([=] { life->FeedStep(step, maintenance::DrainAnswer{running}); });
      });
    });
  });
}

void EntryProcess::UndrainVm(const std::optional<StepId>& step, const VmId& vm) {
  this->CallEndpoint(vm, [life = this->shared_from_this(), step](Endpoint& endpoint) {
    endpoint.OnUndrain([life, step, zone = endpoint.Zone()](std::uint32_t) {
      life->world.Net().SendOnce(zone, life->zone, [life, step] {
        life->Run([=] {
          if (step) {
            life->FeedStep(*step, maintenance::UndrainAnswer{});
          }
        });
      });
    });
  });
}

void EntryProcess::RebootVm(const StepId& step, const VmId& vm) {
  this->world.Net().SendOnce(this->zone, kPlatform, [life = this->shared_from_this(), step, vm] {
    life->world.EndpointOf(vm).Reboot(step);
    life->world.Net().SendOnce(kPlatform, life->zone, [life, step] {
      life->Run([=] { life->FeedStep(step, maintenance::RebootAnswer{}); });
    });
  });
}

void EntryProcess::DescribeVm(const StepId& step, const VmId& vm) {
  this->world.Net().SendOnce(this->zone, kPlatform, [life = this->shared_from_this(), step, vm] {
    const Endpoint& endpoint = life->world.EndpointOf(vm);
    const auto state = endpoint.IsDead()        ? maintenance::PlatformVmState::kFailed
                       : endpoint.IsRebooting() ? maintenance::PlatformVmState::kRebooting
                                                : maintenance::PlatformVmState::kLive;
    const maintenance::DescribeAnswer described{state, endpoint.Boot(), endpoint.LastStep()};
    life->world.Net().SendOnce(kPlatform, life->zone, [life, step, described] {
      life->Run([=] { life->FeedStep(step, described); });
    });
  });
}

}  // namespace chervilspar::prove
