#include "bench/wave_world.h"

#include <algorithm>
#include <utility>

namespace chervilspar::bench {

namespace {

using config_log::FoldVerdict;
using config_log::VmCondition;
using maintenance::StepExecutor;
using maintenance::StepRecord;

constexpr Duration kTick = std::chrono::seconds(1);
/// How often an entry plans.
constexpr Duration kPlanEvery = std::chrono::seconds(2);
/// Virtual wall time at the start; any fixed day will do.
constexpr WallTime kEpoch{std::chrono::seconds(1'800'000'000)};

config_log::FleetState InitialState(const inventory::Inventory& inventory) {
  config_log::FleetState state;
  state.version = 1;
  state.inventory = inventory;
  for (const auto& [id, vm] : inventory.vms) {
    state.vm_status[id] = config_log::VmStatus();
  }
  return state;
}

Duration Between(Random& random, Duration low, Duration high) {
  const auto span = static_cast<std::uint64_t>((high - low).count());
  return low + Duration(static_cast<Duration::rep>(random.Below(span + 1)));
}

}  // namespace

struct WaveWorld::Entry {
  EntryId id;
  bool is_alive = true;
  bool is_cut = false;
  std::uint32_t incarnation = 0;
  TimePoint next_plan;
  std::map<StepId, StepExecutor> executors;
  /// The executor that a take-over names as gone.
  std::map<StepId, EntryId> gone;
};

WaveWorld::WaveWorld(const inventory::Inventory& inventory, std::vector<EntryId> entries,
                     std::shared_ptr<WaveStrategy> strategy, Random& random)
    : folder(InitialState(inventory)), strategy(std::move(strategy)), random(random) {
  for (const auto& [id, vm] : inventory.vms) {
    VmTruth truth;
    truth.drain_length =
        Between(random, std::chrono::seconds(5), inventory.maintenance.drain_timeout / 2);
    truth.reboot_length =
        Between(random, std::chrono::seconds(60), inventory.maintenance.reboot_timeout / 2);
    this->vms.emplace(id, truth);
  }
  for (EntryId& id : entries) {
    this->entries.push_back(std::make_unique<Entry>());
    this->entries.back()->id = std::move(id);
  }
}

WaveWorld::~WaveWorld() = default;

WallTime WaveWorld::WallNow() const { return kEpoch + this->now.time_since_epoch(); }

WaveWorld::Entry* WaveWorld::FindEntry(const EntryId& entry) {
  for (const auto& candidate : this->entries) {
    if (candidate->id == entry) {
      return candidate.get();
    }
  }
  return nullptr;
}

void WaveWorld::KillEntry(const EntryId& entry) {
  Entry* found = this->FindEntry(entry);
  found->is_alive = false;
  found->executors.clear();
}

void WaveWorld::StartEntry(const EntryId& entry) {
  Entry* found = this->FindEntry(entry);
  found->is_alive = true;
  ++found->incarnation;
}

void WaveWorld::SetCut(const EntryId& entry, bool is_cut) {
  this->FindEntry(entry)->is_cut = is_cut;
}

void WaveWorld::FailVm(const VmId& vm) { this->vms.at(vm).is_alive = false; }

void WaveWorld::RecoverVm(const VmId& vm) {
  VmTruth& truth = this->vms.at(vm);
  truth.is_alive = true;
  truth.is_draining = false;
  truth.boots_at.reset();
}

std::uint32_t WaveWorld::Serving(const PoolId& pool) const {
  std::uint32_t serving = 0;
  for (const auto& [id, vm] : this->State().inventory.vms) {
    const VmTruth& truth = this->vms.at(id);
    const bool is_up = truth.is_alive && !truth.boots_at && !truth.is_draining;
    const bool is_held = this->State().vm_status.at(id).step.has_value();
    serving += vm.pool == pool && is_up && !is_held ? 1 : 0;
  }
  return serving;
}

bool WaveWorld::HasWorkLeft() const {
  return this->last_plan.remaining_steps > 0 || !this->last_plan.claims.empty() ||
         !this->State().steps.empty();
}

void WaveWorld::Step() {
  this->now += kTick;
  this->AdvanceVms();
  this->ObserveVms();
  for (const auto& entry : this->entries) {
    if (entry->is_alive && !entry->is_cut) {
      this->RunEntry(*entry);
    }
  }
  this->Count();
}

bool WaveWorld::RunUntilDone(Duration limit) {
  const TimePoint end = this->now + limit;
  // The first plans are made within one planning interval.
  for (TimePoint warm_up = this->now + 2 * kPlanEvery; this->now < warm_up;) {
    this->Step();
  }
  while (this->now < end && this->HasWorkLeft()) {
    this->Step();
  }
  return !this->HasWorkLeft();
}

void WaveWorld::AdvanceVms() {
  for (auto& [id, truth] : this->vms) {
    if (truth.boots_at && truth.is_alive && !truth.is_broken_by_reboot &&
        this->now >= *truth.boots_at) {
      truth.boots_at.reset();
      ++truth.boot;
      truth.is_draining = false;
    }
    if (!truth.is_draining && !truth.boots_at) {
      truth.tasks_end = this->now + truth.drain_length;
    }
  }
}

void WaveWorld::ObserveVms() {
  Listing listing;
  listing.at = this->now;
  for (const auto& [id, truth] : this->vms) {
    if (truth.is_alive) {
      listing.live.insert(id);
    }
  }
  this->listings.push_back(std::move(listing));
  while (this->listings.size() > 1 && this->listings[1].at + this->list_lag <= this->now) {
    this->listings.erase(this->listings.begin());
  }
  const Listing& seen = this->listings.front();
  config_log::VmsObserved failed{VmCondition::kFailed, {}, this->WallNow()};
  config_log::VmsObserved back{VmCondition::kAvailable, {}, this->WallNow()};
  for (const auto& [id, truth] : this->vms) {
    const bool is_broken = truth.is_broken_by_reboot && truth.boots_at;
    const bool is_live = seen.live.contains(id) && !is_broken;
    const VmCondition condition = this->State().vm_status.at(id).condition;
    if (!is_live) {
      this->failing_since.try_emplace(id, this->WallNow());
    } else {
      this->failing_since.erase(id);
    }
    if (!is_live && condition == VmCondition::kAvailable && !truth.boots_at) {
      failed.vms.push_back(id);
    }
    if (is_live && condition == VmCondition::kFailed) {
      back.vms.push_back(id);
    }
  }
  for (config_log::VmsObserved& observed : {std::ref(failed), std::ref(back)}) {
    if (!observed.vms.empty()) {
      const RecordId id{"observed." + std::to_string(this->next_record++)};
      this->FoldBody(id, this->entries.front()->id, observed);
    }
  }
}

maintenance::Observations WaveWorld::Observe() const {
  maintenance::Observations observations;
  const Listing& seen = this->listings.front();
  observations.vm_list_age = this->now - seen.at;
  for (const auto& [id, truth] : this->vms) {
    maintenance::VmObservation vm;
    vm.listing =
        seen.live.contains(id) ? maintenance::VmListing::kLive : maintenance::VmListing::kUnlisted;
    vm.drain_state =
        truth.is_draining ? maintenance::DrainState::kDraining : maintenance::DrainState::kOpen;
    vm.age = observations.vm_list_age;
    const auto failing = this->failing_since.find(id);
    if (failing != this->failing_since.end()) {
      vm.failing_since = failing->second;
    }
    observations.vms.emplace(id, vm);
  }
  for (const auto& entry : this->entries) {
    if (entry->is_alive && !entry->is_cut) {
      observations.live_entries.insert(entry->id);
    }
  }
  return observations;
}

void WaveWorld::RunEntry(Entry& entry) {
  this->AdoptOwnSteps(entry);
  if (this->now >= entry.next_plan) {
    entry.next_plan = this->now + kPlanEvery;
    this->PlanOn(entry);
  }
  for (auto& [id, executor] : entry.executors) {
    const auto found = this->State().steps.find(id);
    const bool is_there = found != this->State().steps.end();
    maintenance::FoldedStep seen;
    seen.step = is_there ? std::optional(found->second) : std::nullopt;
    this->Drive(entry, executor, seen);
    this->Drive(entry, executor, maintenance::Tick());
  }
  std::erase_if(entry.executors, [](const auto& item) { return item.second.IsFinished(); });
}

void WaveWorld::PlanOn(Entry& entry) {
  const maintenance::Plan plan =
      this->strategy->MakePlan(entry.id, this->State(), this->Observe(), this->WallNow());
  const auto& rules = this->State().inventory.maintenance;
  this->last_plan = plan;
  for (const maintenance::StepWithdrawal& withdrawal : plan.withdrawals) {
    const auto found = entry.executors.find(withdrawal.step);
    if (found != entry.executors.end()) {
      this->Drive(entry, found->second, maintenance::WithdrawalRequested());
    }
  }
  for (const maintenance::StepTakeOver& take_over : plan.take_overs) {
    const auto step = this->State().steps.find(take_over.step);
    if (take_over.new_executor != entry.id || step == this->State().steps.end()) {
      continue;
    }
    config_log::Step taken = step->second;
    taken.executor = entry.id;
    entry.gone[taken.id] = take_over.gone_executor;
    entry.executors.try_emplace(taken.id, StepExecutor::TakeOver(taken, rules, this->now));
  }
  if (!plan.appends_claims) {
    return;
  }
  for (const VmId& vm : plan.undrains) {
    this->vms.at(vm).is_draining = false;
  }
  for (const config_log::Step& step : plan.claims) {
    entry.executors.try_emplace(step.id, StepExecutor::Claim(step, rules, this->now));
  }
}

void WaveWorld::AdoptOwnSteps(Entry& entry) {
  for (const auto& [id, step] : this->State().steps) {
    if (step.executor == entry.id && !entry.executors.contains(id)) {
      const auto& rules = this->State().inventory.maintenance;
      entry.executors.try_emplace(id, StepExecutor::Resume(step, rules, this->now));
    }
  }
}

void WaveWorld::Drive(Entry& entry, StepExecutor& executor, const maintenance::StepInput& input) {
  for (const maintenance::StepOutput& output : executor.Handle(input, this->now)) {
    this->Perform(entry, executor, output);
  }
}

void WaveWorld::Perform(Entry& entry, StepExecutor& executor,
                        const maintenance::StepOutput& output) {
  VmTruth& truth = this->vms.at(executor.Current().vm);
  const bool answers = truth.is_alive && !truth.boots_at;
  if (const auto* append = std::get_if<maintenance::AppendRecord>(&output)) {
    this->Append(entry, executor, *append);
  } else if (std::holds_alternative<maintenance::DrainEndpoint>(output) && answers) {
    truth.is_draining = true;
    const std::uint32_t running = truth.tasks_end > this->now ? 1 : 0;
    this->Drive(entry, executor, maintenance::DrainAnswer{running});
  } else if (std::holds_alternative<maintenance::UndrainEndpoint>(output) && answers) {
    truth.is_draining = false;
    this->Drive(entry, executor, maintenance::UndrainAnswer());
  } else if (std::holds_alternative<maintenance::RequestFinalCheck>(output)) {
    const auto verdict =
        maintenance::CheckBeforeActing(this->State(), this->Observe(), executor.Current().id);
    this->Drive(entry, executor, maintenance::FinalCheckAnswer{verdict});
  } else if (std::holds_alternative<maintenance::RebootVm>(output)) {
    this->Reboot(executor.Current().vm, executor.Current().id);
    this->Drive(entry, executor, maintenance::RebootAnswer());
  } else if (std::holds_alternative<maintenance::DescribeVm>(output)) {
    using maintenance::PlatformVmState;
    const auto up = truth.is_alive ? PlatformVmState::kLive : PlatformVmState::kFailed;
    const auto state = truth.boots_at ? PlatformVmState::kRebooting : up;
    this->Drive(entry, executor, maintenance::DescribeAnswer{state, truth.boot, truth.last_step});
  }
}

void WaveWorld::Append(Entry& entry, StepExecutor& executor,
                       const maintenance::AppendRecord& append) {
  const StepId step = executor.Current().id;
  std::string id = step.text;
  if (append.record != StepRecord::kClaim) {
    id += std::string(".") + ToString(append.record) + "." + entry.id.text + "." +
          std::to_string(entry.incarnation);
  }
  const auto body = this->MakeBody(executor, append, entry.gone[step]);
  const auto outcome = this->FoldBody(RecordId{id}, entry.id, body);
  if (this->random.Unit() < this->lost_answers) {
    // The record took effect and nobody heard of it; the tick appends it again.
    return;
  }
  if (outcome.verdict == FoldVerdict::kDuplicate) {
    return;
  }
  const auto found = this->State().steps.find(step);
  const bool is_there = found != this->State().steps.end();
  maintenance::FoldedStep seen;
  seen.step = is_there ? std::optional(found->second) : std::nullopt;
  this->Drive(entry, executor, seen);
  const auto verdict = outcome.verdict == FoldVerdict::kAccepted
                           ? maintenance::RecordVerdict::kAccepted
                           : maintenance::RecordVerdict::kRejected;
  this->Drive(entry, executor, maintenance::RecordReadBack{append.record, verdict});
}

config_log::RecordBody WaveWorld::MakeBody(const StepExecutor& executor,
                                           const maintenance::AppendRecord& append,
                                           const EntryId& gone) const {
  const config_log::Step& step = executor.Current();
  switch (append.record) {
    case StepRecord::kClaim:
      return config_log::StepClaimed{step.vm, step.action, step.from_pool, step.to_pool,
                                     step.executor};
    case StepRecord::kTakeOver:
      return config_log::StepTakenOver{step.id, gone, step.executor};
    case StepRecord::kActing:
      return config_log::StepActing{step.id, step.executor};
    case StepRecord::kDone:
      return config_log::StepDone{step.id, append.result == maintenance::ActResult::kSucceeded
                                               ? config_log::StepResult::kSucceeded
                                               : config_log::StepResult::kVmFailed};
    case StepRecord::kWithdrawn:
      return config_log::StepWithdrawn{step.id, "withdrawn"};
  }
  CHERVILSPAR_ASSERT(false);
}

config_log::FoldOutcome WaveWorld::FoldBody(const RecordId& id, const EntryId& author,
                                            config_log::RecordBody body) {
  config_log::Record record{id, author, this->WallNow(), std::move(body)};
  const auto* done = std::get_if<config_log::StepDone>(&record.body);
  bool is_move = false;
  if (done != nullptr) {
    const auto step = this->State().steps.find(done->step);
    is_move =
        step != this->State().steps.end() && step->second.action == config_log::StepAction::kMove;
  }
  auto outcome = this->folder.Fold(record);
  ++this->tally.records;
  this->tally.rejected_records += outcome.verdict == FoldVerdict::kRejected ? 1 : 0;
  this->tally.moves += is_move && outcome.verdict == FoldVerdict::kAccepted ? 1 : 0;
  return outcome;
}

void WaveWorld::Reboot(const VmId& vm, const StepId& step) {
  if (!this->rebooted_steps.insert(step.text).second) {
    return;
  }
  VmTruth& truth = this->vms.at(vm);
  const bool is_serving = truth.is_alive && !truth.boots_at;
  this->tally.cut_tasks += is_serving && truth.tasks_end > this->now ? 1 : 0;
  ++this->tally.reboots;
  ++this->tally.reboots_of[vm];
  truth.last_step = step;
  truth.boots_at = this->now + truth.reboot_length;
}

void WaveWorld::Count() {
  const auto held = static_cast<std::uint32_t>(this->Held());
  this->tally.peak_held = std::max(this->tally.peak_held, held);
  this->tally.held_seconds += held;
  for (const auto& [id, pool] : this->State().inventory.pools) {
    this->tally.seconds_below_budget += this->Serving(id) < pool.min_available ? 1 : 0;
  }
}

}  // namespace chervilspar::bench
