#include "job_entry/vm_driver.h"

#include <algorithm>

namespace chervilspar::job_entry {

namespace asio = boost::asio;
using jobs::VmOrderOutcome;

namespace {

/// Between two looks at the list of VMs. A queue's demand doubles within a second, and a move takes
/// 1.5 s.
constexpr Duration kPace = std::chrono::milliseconds(150);
constexpr Duration kCallTimeout = std::chrono::milliseconds(1200);
constexpr Duration kStatusTimeout = std::chrono::milliseconds(1200);
/// A reboot that was answered shows in the list at once; one that wasn't may begin seconds later.
constexpr Duration kRebootSeen = std::chrono::milliseconds(500);
constexpr Duration kRebootUnsure = std::chrono::seconds(6);
const std::string kWavePrefix = "wave/";
/// A move whose answer was lost and that isn't seen after this has not happened.
constexpr Duration kMoveLost = std::chrono::seconds(6);
/// An endpoint registers about a second after its VM is up, and the registry is read every 0.6 s.
constexpr Duration kRegistration = std::chrono::milliseconds(2500);

/// How old the proof may be that an order needs. A successor waits longer than this, and than an
/// order takes on its way, before its first one.
constexpr Duration kOrderProof = std::chrono::milliseconds(300);
constexpr Duration kProofTimeout = std::chrono::milliseconds(300);

}  // namespace

VmDriver::VmDriver(const Context& context, OperatorView& operators, const OwnerDirectory& directory,
                   jobs::Scheduler& scheduler, std::string member, std::uint64_t token)
    : context(context),
      operators(operators),
      directory(directory),
      scheduler(scheduler),
      member(std::move(member)),
      token(token),
      sizer(context.settings.decisions.sizer),
      budget(context.settings.vm_order_rate) {}

std::string VmDriver::KeyOf(std::uint64_t wave) { return kWavePrefix + std::to_string(wave); }

bool VmDriver::IsWaveKey(std::string_view key) { return key.starts_with(kWavePrefix); }

void VmDriver::Restore(const jobs::WaveProgress& progress) {
  WaveState& state = this->waves[progress.number];
  state.progress = progress;
  state.is_announced = true;
}

std::vector<KeyedRecord> VmDriver::TakeRecords() {
  std::vector<KeyedRecord> records;
  for (const std::uint64_t wave : this->changed) {
    records.push_back({KeyOf(wave), jobs::EncodeWaveProgress(this->waves[wave].progress)});
  }
  this->changed.clear();
  return records;
}

asio::awaitable<void> VmDriver::Run(TimePoint began, std::weak_ptr<void> owner) {
  this->owner = std::move(owner);
  while (!this->is_stopped && this->context.links.vms != nullptr) {
    co_await this->Round(began);
    co_await Pause(this->context, kPace);
  }
}

asio::awaitable<void> VmDriver::Round(TimePoint began) {
  Result<std::vector<jobs::VmRecord>> listed = co_await this->context.links.vms->List(kCallTimeout);
  if (this->is_stopped || !listed) {
    co_return;
  }
  this->vms = *std::move(listed);
  this->NoteReturns();
  // The predecessor may just have given an order for the same VM.
  const bool may_order = this->context.Now() - began > this->context.settings.vm_order_pause;
  const std::map<std::uint64_t, jobs::Wave> known = this->operators.Waves();
  for (const auto& [number, wave] : known) {
    if (!this->is_stopped && !this->waves[number].progress.is_complete) {
      co_await this->DriveWave(wave, may_order);
    }
  }
  if (!this->is_stopped) {
    co_await this->Resize(may_order);
  }
}

asio::awaitable<bool> VmDriver::IsStillOwner() {
  if (this->context.settings.vm_service_compares_tokens) {
    co_return !this->is_stopped;
  }
  const TimePoint asked = this->context.Now();
  this->proof = std::max(this->proof, this->scheduler.Proof());
  if (asked - this->proof >= kOrderProof) {
    const bool is_newest = co_await this->directory.IsNewestClaim(this->member, kProofTimeout);
    if (is_newest) {
      this->proof = asked;
    }
  }
  const bool is_proven = this->context.Now() - this->proof < kOrderProof;
  if (!is_proven) {
    this->context.metrics.Count({"chervilspar_vm_orders_unproven_total", {}});
  }
  co_return is_proven && !this->is_stopped;
}

void VmDriver::NoteReturns() {
  std::erase_if(this->registering,
                [this](const auto& entry) { return this->context.Now() >= entry.second; });
  for (const jobs::VmRecord& vm : this->vms) {
    if (vm.phase != jobs::VmPhase::kUp) {
      continue;
    }
    const auto reboot = this->down.find(vm.id);
    if (reboot != this->down.end() && reboot->second < this->context.Now()) {
      this->down.erase(reboot);
      this->evacuating.erase(vm.id);
      this->NoteUp(vm);
      this->scheduler.EndEvacuation(vm.endpoint);
    }
    const auto move = this->moving.find(vm.id);
    if (move == this->moving.end()) {
      continue;
    }
    const bool is_lost = this->context.Now() - move->second.since > kMoveLost;
    if (vm.pool == move->second.pool || is_lost) {
      this->moving.erase(move);
      this->NoteUp(vm);
      this->released.erase(vm.id);
      this->scheduler.EndEvacuation(vm.endpoint);
    }
  }
}

void VmDriver::NoteUp(const jobs::VmRecord& vm) {
  const std::shared_ptr<const jobs::Policy> policy = this->operators.Policy();
  if (policy != nullptr && !policy->standby.contains(vm.pool)) {
    this->registering[vm.id] = this->context.Now() + kRegistration;
  }
}

/// What can go wrong: a VM that was moved into a pool is up, but its endpoint isn't known yet.
/// Taken as missing, another one is ordered in its place, and both are paid for and moved away
/// again.
bool VmDriver::IsRegistering(const jobs::VmRecord& vm) const {
  const auto found = this->registering.find(vm.id);
  return found != this->registering.end() && this->context.Now() < found->second &&
         !this->scheduler.UseOf(vm.endpoint);
}

void VmDriver::Evacuate(const jobs::VmRecord& vm, const char* why) {
  this->scheduler.BeginEvacuation(vm.endpoint);
  LogEvent(telemetry::LogLevel::kInfo, "vm_evacuating", why,
           {{"vm", vm.id.text}, {"endpoint", vm.endpoint}});
}

asio::awaitable<void> VmDriver::DriveWave(const jobs::Wave& wave, bool may_order) {
  WaveState& state = this->waves[wave.number];
  state.progress.number = wave.number;
  jobs::UpkeepPlanner::Absent absent;
  for (const auto& [vm, until] : this->down) {
    absent.down.insert(vm);
  }
  for (const auto& [vm, away] : this->moving) {
    absent.moving.insert(vm);
  }
  const jobs::UpkeepStep step = jobs::UpkeepPlanner::Plan(wave, state.progress, this->vms, absent,
                                                          this->evacuating, this->Loads());
  state.progress.is_complete = step.is_complete;
  this->scheduler.SetDue(step.due);
  if (!state.is_announced || step.is_complete) {
    co_await this->Tell(wave, state);
  }
  for (const jobs::VmRecord& vm : this->vms) {
    const bool is_chosen =
        !vm.endpoint.empty() &&
        std::find(step.evacuate.begin(), step.evacuate.end(), vm.endpoint) != step.evacuate.end();
    if (is_chosen && this->evacuating.insert(vm.id).second) {
      this->released.erase(vm.id);
      this->Evacuate(vm, "is emptied before its reboot");
    }
  }
  for (const VmId& vm : step.reboot) {
    const bool is_owner = may_order && !this->is_stopped && co_await this->IsStillOwner();
    if (!is_owner || !this->budget.Take(this->context.Now())) {
      break;
    }
    co_await this->Reboot(wave, state, vm);
  }
}

asio::awaitable<void> VmDriver::Reboot(const jobs::Wave& wave, WaveState& state, VmId vm) {
  const jobs::RebootOrder order{vm, wave.number, this->context.settings.id.text, this->token};
  // Counted as down before the order leaves: one without answer may have been carried out.
  this->down[vm] = this->context.Now() + kRebootUnsure;
  const VmOrderOutcome outcome = co_await this->context.links.vms->Reboot(order, kCallTimeout);
  LogEvent(telemetry::LogLevel::kInfo, "vm_reboot_ordered", "a wave asks for it",
           {{"vm", vm.text}, {"outcome", jobs::ToString(outcome)}});
  switch (outcome) {
    case VmOrderOutcome::kDone:
      this->down[vm] = this->context.Now() + kRebootSeen;
      state.progress.rebooted.insert(vm);
      this->changed.insert(wave.number);
      break;
    case VmOrderOutcome::kNoAnswer:
      break;  // asked again once the VM is seen up; the answer then tells
    case VmOrderOutcome::kNotAllowed:
      state.progress.rebooted.insert(vm);
      this->down.erase(vm);
      break;
    case VmOrderOutcome::kTokenTooLow:
      this->is_stopped = true;
      break;
    case VmOrderOutcome::kTooMany:
      this->budget.OnRefused(this->context.Now());
      this->down.erase(vm);
      break;
    case VmOrderOutcome::kBusy:
      this->down.erase(vm);
      break;
  }
}

std::map<std::string, jobs::EndpointLoad> VmDriver::Loads() const {
  std::map<std::string, jobs::EndpointLoad> loads;
  for (const jobs::VmRecord& vm : this->vms) {
    const jobs::EvacuationState evacuation = this->scheduler.EvacuationOf(vm.endpoint);
    if (evacuation == jobs::EvacuationState::kUnknownEndpoint) {
      continue;
    }
    const auto all = static_cast<double>(this->scheduler.CapacityOf(vm.pool).cpu);
    const auto used = static_cast<double>(this->scheduler.UsedIn(vm.pool).cpu);
    const std::optional<jobs::EndpointUse> use = this->scheduler.UseOf(vm.endpoint);
    loads[vm.endpoint] = {evacuation == jobs::EvacuationState::kEmpty, use && use->has_long_running,
                          all > 0 ? used / all : 0};
  }
  return loads;
}

asio::awaitable<void> VmDriver::Tell(const jobs::Wave& wave, WaveState& state) {
  std::vector<KeyedRecord> records;
  records.push_back(this->context.links.records->WriteWaveStatus(wave, state.progress.is_complete));
  const AppendOutcome outcome = co_await this->context.links.store->Append(
      Topic::kStatus, 0, std::move(records), std::nullopt, kStatusTimeout);
  const bool is_told = outcome.kind == AppendOutcome::Kind::kStored;
  state.is_announced = state.is_announced || is_told;
  if (!is_told) {
    state.progress.is_complete = false;  // told again with the next round
    co_return;
  }
  this->changed.insert(wave.number);
  LogEvent(telemetry::LogLevel::kInfo, "wave_told",
           state.progress.is_complete ? "all VMs are done" : "is under way",
           {{"wave", std::to_string(wave.number)}});
}

std::vector<jobs::SizerVm> VmDriver::SizerVms() const {
  std::vector<jobs::SizerVm> out;
  for (const jobs::VmRecord& vm : this->vms) {
    const std::optional<jobs::EndpointUse> use = this->scheduler.UseOf(vm.endpoint);
    jobs::SizerVm sized;
    sized.id = vm.id;
    sized.pool = vm.pool;
    sized.zone = vm.zone;
    sized.is_silent = use && use->is_silent;
    sized.cpu = static_cast<double>(vm.capacity.cpu);
    const auto move = this->moving.find(vm.id);
    const bool is_kept = this->evacuating.contains(vm.id) || this->down.contains(vm.id);
    if (move != this->moving.end()) {
      sized.pool = move->second.pool;
      sized.is_serving = true;
    } else if (this->IsRegistering(vm)) {
      sized.is_serving = !is_kept;
    } else if (use) {
      sized.used = static_cast<double>(use->used.cpu);
      sized.is_empty = use->is_empty;
      sized.has_long_running = use->has_long_running;
      sized.is_serving = use->is_serving && !is_kept;
    }
    sized.is_taken = is_kept || this->IsRegistering(vm) || move != this->moving.end() ||
                     vm.phase != jobs::VmPhase::kUp;
    out.push_back(std::move(sized));
  }
  return out;
}

void VmDriver::SetReleased(const std::set<VmId>& wanted) {
  for (const jobs::VmRecord& vm : this->vms) {
    const bool is_wanted = wanted.contains(vm.id);
    if (is_wanted && this->released.insert(vm.id).second) {
      this->scheduler.BeginEvacuation(vm.endpoint);
    } else if (!is_wanted && !this->moving.contains(vm.id) && this->released.erase(vm.id) > 0) {
      this->scheduler.EndEvacuation(vm.endpoint);
    }
  }
}

asio::awaitable<void> VmDriver::Resize(bool may_order) {
  const std::shared_ptr<const jobs::Policy> policy = this->operators.Policy();
  const ServiceId standby = policy->standby.empty() ? ServiceId{} : *policy->standby.begin();
  const jobs::SizerStep step =
      this->sizer.Plan(this->context.Now(), this->scheduler.PoolLoads(), this->SizerVms(), standby);
  if (!may_order) {
    co_return;
  }
  this->LogSizes(standby);
  this->SetReleased(step.release);
  const bool is_owner = step.moves.empty() || co_await this->IsStillOwner();
  if (!is_owner) {
    co_return;
  }
  for (const jobs::SizerStep::Move& move : step.moves) {
    const bool may_move = !this->is_stopped && !this->refused.contains({move.vm, move.to});
    if (may_move && this->budget.Take(this->context.Now())) {
      // Side by side: one after the other, the last of thirty VMs would leave half a second late.
      this->moving[move.vm] = {move.to, this->context.Now()};
      Spawn(this->context, this->Move(move.vm, move.to, this->owner.lock()));
    }
  }
}

void VmDriver::LogSizes(const ServiceId& standby) {
  std::map<ServiceId, int> sizes;
  for (const jobs::SizerVm& vm : this->SizerVms()) {
    if (vm.pool != standby) {
      sizes[vm.pool] += vm.is_serving ? 1 : 0;
    }
  }
  std::string text;
  std::string use;
  for (const auto& [pool, count] : sizes) {
    const char* const gap = text.empty() ? "" : " ";
    text += gap + pool.text + "=" + std::to_string(count) + "/" +
            std::to_string(this->sizer.Wanted(pool));
    use += gap + pool.text + "=" + this->UseText(pool);
  }
  if (text != this->last_sizes) {
    this->last_sizes = text;
    LogEvent(telemetry::LogLevel::kInfo, "pool_sizes",
             "VMs that serve, and VMs wanted; use of cpu and of memory",
             {{"pools", text}, {"use", use}});
  }
}

std::string VmDriver::UseText(const ServiceId& pool) const {
  const jobs::Resources used = this->scheduler.UsedIn(pool);
  const jobs::Resources all = this->scheduler.CapacityOf(pool);
  const auto percent = [](std::int64_t part, std::int64_t whole) {
    return std::to_string(whole > 0 ? 100 * part / whole : 0) + "%";
  };
  return percent(used.cpu, all.cpu) + "/" + percent(used.memory_mb, all.memory_mb);
}

asio::awaitable<void> VmDriver::Move(VmId vm, ServiceId pool,
                                     [[maybe_unused]] std::shared_ptr<void> keep_alive) {
  const jobs::MoveOrder order{vm, pool, this->context.settings.id.text, this->token};
  const VmOrderOutcome outcome = co_await this->context.links.vms->Move(order, kCallTimeout);
  LogEvent(telemetry::LogLevel::kInfo, "vm_move_ordered", "as the queues' demand asks",
           {{"vm", vm.text}, {"pool", pool.text}, {"outcome", jobs::ToString(outcome)}});
  switch (outcome) {
    case VmOrderOutcome::kDone:
    case VmOrderOutcome::kNoAnswer:
      break;
    case VmOrderOutcome::kNotAllowed:
      this->refused.insert({vm, pool});
      this->moving.erase(vm);
      break;
    case VmOrderOutcome::kTokenTooLow:
      this->is_stopped = true;
      break;
    case VmOrderOutcome::kTooMany:
      this->budget.OnRefused(this->context.Now());
      this->moving.erase(vm);
      break;
    case VmOrderOutcome::kBusy:
      this->moving.erase(vm);
      break;
  }
}

}  // namespace chervilspar::job_entry
