#include "job_entry/vm_driver.h"

#include <algorithm>
#include <utility>

#include "chervilspar/base/scope_guard.h"

#include "job_entry/round_pause.h"
#include "job_entry/vm_list_interval.h"
#include "job_entry/vm_order_timing.h"

namespace chervilspar::job_entry {

namespace asio = boost::asio;

namespace {

/// Between two rounds. The demand of a queue doubles within a second, and a move takes 1.5 s.
constexpr Duration kRoundInterval = std::chrono::milliseconds(150);
constexpr Duration kStatusTimeout = std::chrono::milliseconds(1200);
const std::string kWavePrefix = "wave/";
const std::string kMovePrefix = "move/";
/// A move that isn't visible after this has not happened.
constexpr Duration kLostMoveTimeout = std::chrono::seconds(6);
/// An endpoint registers about 1 s after its VM is up.
constexpr Duration kRegistrationTimeout = std::chrono::milliseconds(2500);

/// Fewer than the client's connections to one address, as the list of VMs is read concurrently. An
/// order takes about 5 ms, so several thousand can be sent per second.
constexpr std::size_t kMaxConcurrentOrders = 20;

}  // namespace

VmDriver::VmDriver(const Context& context, OperatorView& operators, const OwnerDirectory& directory,
                   jobs::Scheduler& scheduler, VmDriverHost& host, std::string member,
                   std::uint64_t token)
    : context(context),
      operators(operators),
      scheduler(scheduler),
      host(host),
      token(token),
      proof(context, directory, std::move(member)),
      sizer(context.settings.decisions.sizer),
      sizes_log(scheduler, this->sizer),
      budget(context.settings.vm_order_rate),
      orders(std::make_shared<WorkQueue>(context, kMaxConcurrentOrders)) {}

std::string VmDriver::WaveKey(std::uint64_t wave) { return kWavePrefix + std::to_string(wave); }

bool VmDriver::IsWaveKey(std::string_view key) { return key.starts_with(kWavePrefix); }

std::string VmDriver::MoveKey(const VmId& vm) { return kMovePrefix + vm.text; }

bool VmDriver::IsMoveKey(std::string_view key) { return key.starts_with(kMovePrefix); }

void VmDriver::Restore(const jobs::WaveProgress& progress) {
  for (const auto& [vm, endpoint] : progress.closed) {
    this->scheduler.BeginEvacuation(endpoint, this->context.Now());
  }
  this->waves[progress.number] = progress;
  for (const VmId& vm : progress.ordered) {
    this->pending_reboots[vm] = {.wave = progress.number, .is_stored = true, .is_unanswered = true};
    this->down[vm] = TimePoint::max();
    this->evacuating.insert(vm);
  }
}

std::vector<KeyedRecord> VmDriver::TakeRecords() {
  std::vector<KeyedRecord> records;
  for (const std::uint64_t wave : this->changed_waves) {
    records.push_back({WaveKey(wave), jobs::EncodeWaveProgress(this->waves[wave])});
  }
  this->changed_waves.clear();
  for (const auto& [vm, reboot] : this->pending_reboots) {
    this->recording_reboots.insert(vm);
  }
  this->AddMoveRecords(records);
  return records;
}

void VmDriver::OnRecordsStored() {
  for (const VmId& vm : std::exchange(this->recording_reboots, {})) {
    const auto reboot = this->pending_reboots.find(vm);
    if (reboot != this->pending_reboots.end()) {
      reboot->second.is_stored = true;
    }
  }
  this->OrderPendingReboots();
  this->OnMovesStored();
}

void VmDriver::OnReports() {
  if (std::exchange(this->awaits_report, false)) {
    this->OrderPendingReboots();
    this->OrderPendingMoves();
  }
}

asio::awaitable<void> VmDriver::Run(TimePoint began, std::weak_ptr<void> owner) {
  this->owner = std::move(owner);
  while (!this->is_stopped && this->context.links.vms != nullptr) {
    co_await this->Round(began);
    co_await Pause(this->context, kRoundInterval);
  }
}

/// The last reboot of a predecessor may begin after the list was read, and more VMs of a wave than
/// allowed would be down. So the first orders of a term need a list that is read after the pause.
void VmDriver::RefreshList(TimePoint first_order) {
  const Duration interval = VmListInterval(this->vms.size(), this->context.settings.link_rate);
  const TimePoint now = this->context.Now();
  const bool is_before_orders = this->listed_at <= first_order && now > first_order;
  const bool is_recent =
      !this->vms.empty() && now - this->listed_at < interval && !is_before_orders;
  if (this->is_listing || is_recent) {
    return;
  }
  this->is_listing = true;
  Spawn(this->context, this->ReadList(this->owner.lock()));
}

asio::awaitable<void> VmDriver::ReadList([[maybe_unused]] std::shared_ptr<void> self) {
  const ScopeGuard finished([this] { this->is_listing = false; });
  const TimePoint requested_at = this->context.Now();
  Result<std::vector<jobs::VmRecord>> list = co_await this->context.links.vms->List(kVmCallTimeout);
  this->is_list_current = list.HasValue();
  if (this->is_stopped || !list) {
    co_return;
  }
  this->vms = *std::move(list);
  this->listed_at = requested_at;
  this->vm_index.clear();
  for (std::size_t i = 0; i < this->vms.size(); ++i) {
    this->vm_index.emplace(this->vms[i].id.text, i);
  }
  this->UpdateReturnedVms();
}

asio::awaitable<void> VmDriver::Round(TimePoint began) {
  const TimePoint first_order = began + this->context.settings.vm_order_pause;
  this->RefreshList(first_order);
  if (!this->is_list_current) {
    co_return;
  }
  // The predecessor may just have sent an order for the same VM.
  this->may_order = this->listed_at > first_order;
  const std::map<std::uint64_t, jobs::Wave> known = this->operators.Waves();
  this->RenewEvacuations(this->VmsToReboot(known));
  this->DropUnwantedReboots(known);
  this->OrderPendingReboots();
  this->OrderPendingMoves();
  std::set<std::string> due;
  for (const auto& [number, wave] : known) {
    if (!this->is_stopped && !this->waves[number].is_complete) {
      co_await this->DriveWave(wave, due);
    }
  }
  this->scheduler.SetUpcomingReboots(due);
  const TimePoint now = this->context.Now();
  if (!this->is_stopped && now >= this->next_resize) {
    this->ResizePools();
    this->next_resize = this->context.Now() + PauseAfterPass(this->context.Now() - now);
  }
}

void VmDriver::UpdateReturnedVms() {
  const auto span = this->context.Measure(telemetry::WorkPart::kVms);
  std::erase_if(this->registering,
                [this](const auto& entry) { return this->context.Now() >= entry.second; });
  for (const jobs::VmRecord& vm : this->vms) {
    if (vm.phase != jobs::VmPhase::kUp) {
      continue;
    }
    const auto reboot = this->down.find(vm.id);
    if (reboot != this->down.end() && reboot->second < this->listed_at) {
      this->down.erase(reboot);
      this->evacuating.erase(vm.id);
      this->ExpectRegistration(vm);
      this->scheduler.EndEvacuation(vm.endpoint);
    }
    const auto move = this->moving.find(vm.id);
    if (move == this->moving.end()) {
      continue;
    }
    const bool is_lost =
        !move->second.is_unanswered && this->listed_at - move->second.since > kLostMoveTimeout;
    if (vm.pool == move->second.pool || is_lost) {
      if (!move->second.is_done) {
        this->DropMoveRecord(vm.id, move->second);
      }
      this->moving.erase(move);
      this->ExpectRegistration(vm);
      this->released.erase(vm.id);
      this->scheduler.EndEvacuation(vm.endpoint);
    }
  }
}

void VmDriver::ExpectRegistration(const jobs::VmRecord& vm) {
  const std::shared_ptr<const jobs::Policy> policy = this->operators.Policy();
  if (policy != nullptr && !policy->standby.contains(vm.pool)) {
    this->registering[vm.id] = this->context.Now() + kRegistrationTimeout;
  }
}

/// A VM that was moved into a pool may be up before its endpoint is known. If it counted as
/// missing, another VM would be ordered in its place, and both would be billed and moved away
/// again.
bool VmDriver::IsRegistering(const jobs::VmRecord& vm) const {
  const auto found = this->registering.find(vm.id);
  return found != this->registering.end() && this->context.Now() < found->second &&
         !this->scheduler.UsageOf(vm.endpoint);
}

void VmDriver::Evacuate(const jobs::VmRecord& vm, const char* reason) {
  this->scheduler.BeginEvacuation(vm.endpoint, this->context.Now());
  LogEvent(telemetry::LogLevel::kInfo, "vm_evacuating", reason,
           {{"vm", vm.id.text}, {"endpoint", vm.endpoint}});
}

std::set<VmId> VmDriver::VmsToReboot(const std::map<std::uint64_t, jobs::Wave>& known) {
  std::set<VmId> wanted;
  for (const auto& [number, wave] : known) {
    const jobs::WaveProgress& progress = this->waves[number];
    for (const VmId& vm : wave.vms) {
      if (!progress.is_complete && !progress.rebooted.contains(vm)) {
        wanted.insert(vm);
      }
    }
  }
  return wanted;
}

/// The endpoint of a VM under evacuation may restart with a different id, or its registration may
/// lapse and return. The scheduler then treats it as a new endpoint and assigns work to it, so that
/// the VM would never become empty. A VM that is removed from the wave, in turn, must not stay
/// empty.
void VmDriver::RenewEvacuations(const std::set<VmId>& wanted) {
  if (this->evacuating.empty() && this->released.empty() && this->moving.empty()) {
    return;
  }
  for (const jobs::VmRecord& vm : this->vms) {
    const bool is_wanted = wanted.contains(vm.id) || this->down.contains(vm.id);
    if (!is_wanted && this->evacuating.erase(vm.id) > 0) {
      this->scheduler.EndEvacuation(vm.endpoint);
    }
    if (this->evacuating.contains(vm.id) || this->released.contains(vm.id) ||
        this->moving.contains(vm.id)) {
      this->scheduler.BeginEvacuation(vm.endpoint, this->context.Now());
    }
  }
}

asio::awaitable<void> VmDriver::DriveWave(const jobs::Wave& wave, std::set<std::string>& due) {
  jobs::WaveProgress& progress = this->waves[wave.number];
  progress.number = wave.number;
  jobs::UpkeepPlanner::UnavailableVms absent;
  for (const auto& [vm, until] : this->down) {
    absent.down.insert(vm);
  }
  for (const auto& [vm, move] : this->moving) {
    absent.moving.insert(vm);
  }
  for (const auto& [vm, until] : this->refused_reboots) {
    if (this->context.Now() < until) {
      absent.refused.insert(vm);
    }
  }
  const jobs::UpkeepPlan step =
      jobs::UpkeepPlanner::Plan(wave, progress, this->vms, absent, this->evacuating, this->Loads());
  due.insert(step.due.begin(), step.due.end());
  if (!progress.is_reported || step.is_complete) {
    co_await this->PublishWaveStatus(wave, progress, step.is_complete);
  }
  for (const jobs::VmRecord& vm : this->vms) {
    const bool is_chosen =
        !vm.endpoint.empty() &&
        std::find(step.evacuate.begin(), step.evacuate.end(), vm.endpoint) != step.evacuate.end();
    if (is_chosen && this->evacuating.insert(vm.id).second) {
      this->released.erase(vm.id);
      this->Evacuate(vm, "the VM is evacuated before its reboot");
    }
  }
  for (const VmId& vm : step.reboot) {
    // Counts as down before the order is sent.
    this->down[vm] = TimePoint::max();
    this->pending_reboots[vm] = {.wave = wave.number};
    progress.ordered.insert(vm);
    const jobs::VmRecord* listed = this->FindVm(vm);
    if (listed != nullptr && !listed->endpoint.empty()) {
      progress.closed[vm] = listed->endpoint;
    }
    this->changed_waves.insert(wave.number);
    this->host.OnVmRecords();
  }
}

std::map<std::string, jobs::EndpointLoad> VmDriver::Loads() const {
  const auto span = this->context.Measure(telemetry::WorkPart::kVms);
  std::map<std::string, jobs::EndpointLoad> loads;
  std::map<ServiceId, double> use_of_pool;
  for (const jobs::VmRecord& vm : this->vms) {
    const std::optional<jobs::EndpointUsage> use = this->scheduler.UsageOf(vm.endpoint);
    if (!use) {
      continue;
    }
    const auto [use_of, is_new] = use_of_pool.try_emplace(vm.pool, 0.0);
    if (is_new) {
      const auto all = static_cast<double>(this->scheduler.CapacityOf(vm.pool).cpu);
      const auto used = static_cast<double>(this->scheduler.UsedIn(vm.pool).cpu);
      use_of->second = all > 0 ? used / all : 0;
    }
    loads[vm.endpoint] = {use->is_empty, use->has_long_running,
                          this->operators.CordonedZones().contains(vm.zone), use_of->second};
  }
  return loads;
}

/// If the completion of a wave were stored before it is published to operators and this entry then
/// stopped, the successor would never publish it. So a wave counts as complete once its status is
/// published.
asio::awaitable<void> VmDriver::PublishWaveStatus(const jobs::Wave& wave,
                                                  jobs::WaveProgress& progress, bool is_complete) {
  std::vector<KeyedRecord> records;
  records.push_back(this->context.links.records->WriteWaveStatus(wave, is_complete));
  const AppendOutcome outcome = co_await this->context.links.store->Append(
      Topic::kStatus, 0, std::move(records), std::nullopt, kStatusTimeout);
  const bool is_published = outcome.kind == AppendOutcome::Kind::kStored;
  if (!is_published) {
    co_return;  // retried with the next round
  }
  progress.is_reported = true;
  progress.is_complete = is_complete;
  this->changed_waves.insert(wave.number);
  LogEvent(telemetry::LogLevel::kInfo, "wave_told",
           is_complete ? "all VMs of the wave are done" : "the wave is in progress",
           {{"wave", std::to_string(wave.number)}});
}

std::vector<jobs::SizerVm> VmDriver::SizerVms() const {
  std::vector<jobs::SizerVm> out;
  for (const jobs::VmRecord& vm : this->vms) {
    const std::optional<jobs::EndpointUsage> use = this->scheduler.UsageOf(vm.endpoint);
    jobs::SizerVm sized;
    sized.id = vm.id;
    sized.pool = vm.pool;
    sized.zone = vm.zone;
    sized.is_cordoned = this->operators.CordonedZones().contains(vm.zone);
    sized.is_silent = use && use->is_silent;
    sized.cpu = static_cast<double>(vm.capacity.cpu);
    sized.memory = static_cast<double>(vm.capacity.memory_mb);
    const auto move = this->moving.find(vm.id);
    const bool is_registering = !use && this->IsRegistering(vm);
    const bool is_reserved = this->evacuating.contains(vm.id) || this->down.contains(vm.id);
    if (move != this->moving.end()) {
      sized.pool = move->second.pool;
      sized.is_serving = true;
    } else if (is_registering) {
      sized.is_serving = !is_reserved;
    } else if (use) {
      sized.used = static_cast<double>(use->used.cpu);
      sized.is_empty = use->is_empty;
      sized.has_long_running = use->has_long_running;
      sized.is_serving = use->is_serving && !is_reserved;
    }
    sized.is_pinned = is_reserved || is_registering || move != this->moving.end() ||
                      vm.phase != jobs::VmPhase::kUp;
    out.push_back(std::move(sized));
  }
  return out;
}

void VmDriver::SetReleased(const std::set<VmId>& wanted) {
  if (wanted.empty() && this->released.empty()) {
    return;
  }
  for (const jobs::VmRecord& vm : this->vms) {
    const bool is_wanted = wanted.contains(vm.id);
    if (is_wanted && this->released.insert(vm.id).second) {
      this->scheduler.BeginEvacuation(vm.endpoint, this->context.Now());
    } else if (!is_wanted && !this->moving.contains(vm.id) && this->released.erase(vm.id) > 0) {
      this->scheduler.EndEvacuation(vm.endpoint);
    }
  }
}

void VmDriver::ResizePools() {
  const auto span = this->context.Measure(telemetry::WorkPart::kVms);
  const std::shared_ptr<const jobs::Policy> policy = this->operators.Policy();
  const ServiceId standby = policy->standby.empty() ? ServiceId{} : *policy->standby.begin();
  const std::vector<jobs::SizerVm> sized = this->SizerVms();
  const jobs::SizerPlan step =
      this->sizer.Plan(this->context.Now(), this->scheduler.PoolLoads(), sized, standby);
  if (!this->may_order) {
    return;
  }
  this->sizes_log.LogIfChanged(sized, standby);
  this->SetReleased(step.release);
  for (const jobs::SizerPlan::Move& move : step.moves) {
    const bool may_move = !this->is_stopped && !this->refused_moves.contains({move.vm, move.to});
    if (may_move && this->budget.TryAcquire(this->context.Now())) {
      this->BeginMove(move.vm, move.to);
    }
  }
}

}  // namespace chervilspar::job_entry
