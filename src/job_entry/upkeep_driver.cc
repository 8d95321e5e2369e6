#include "job_entry/upkeep_driver.h"

#include <algorithm>

namespace chervilspar::job_entry {

namespace asio = boost::asio;
using jobs::VmOrderOutcome;

namespace {

/// Between two looks at the list of VMs during a wave: a reboot takes 2 s and more.
constexpr Duration kPace = std::chrono::milliseconds(400);
constexpr Duration kCallTimeout = std::chrono::milliseconds(1200);
constexpr Duration kStatusTimeout = std::chrono::milliseconds(1200);

}  // namespace

UpkeepDriver::UpkeepDriver(const Context& context, OperatorView& operators,
                           jobs::Scheduler& scheduler, std::uint64_t token)
    : context(context), operators(operators), scheduler(scheduler), token(token) {}

asio::awaitable<void> UpkeepDriver::Run(TimePoint began) {
  while (!this->is_stopped && this->context.links.vms != nullptr) {
    const std::map<std::uint64_t, jobs::Wave> known = this->operators.Waves();
    for (const auto& [number, wave] : known) {
      if (!this->is_stopped && !this->waves[number].progress.is_complete) {
        co_await this->Drive(wave, began);
      }
    }
    co_await Pause(this->context, kPace);
  }
}

asio::awaitable<void> UpkeepDriver::Drive(const jobs::Wave& wave, TimePoint began) {
  WaveState& state = this->waves[wave.number];
  const Result<std::vector<jobs::VmRecord>> listed =
      co_await this->context.links.vms->List(kCallTimeout);
  if (this->is_stopped || !listed) {
    co_return;
  }
  this->NoteReturns(state, *listed);
  std::set<VmId> down;
  for (const auto& [vm, endpoint] : state.down) {
    down.insert(vm);
  }
  const jobs::UpkeepStep step = jobs::UpkeepPlanner::Plan(wave, state.progress, *listed, down,
                                                          state.evacuating, this->Loads(*listed));
  state.progress.is_complete = step.is_complete;
  if (!state.is_announced || step.is_complete) {
    co_await this->Tell(wave, state);
  }
  for (const jobs::VmRecord& vm : *listed) {
    const bool is_chosen =
        std::find(step.evacuate.begin(), step.evacuate.end(), vm.endpoint) != step.evacuate.end();
    if (is_chosen && state.evacuating.insert(vm.id).second) {
      this->scheduler.BeginEvacuation(vm.endpoint);
      LogEvent(telemetry::LogLevel::kInfo, "vm_evacuating", "is emptied before its reboot",
               {{"vm", vm.id.text}, {"endpoint", vm.endpoint}});
    }
  }
  // The predecessor may just have given an order for the same VM.
  const bool may_order = this->context.Now() - began > this->context.settings.vm_order_pause;
  for (const VmId& vm : step.reboot) {
    if (may_order && !this->is_stopped) {
      co_await this->Reboot(wave, state, vm);
    }
  }
}

asio::awaitable<void> UpkeepDriver::Reboot(const jobs::Wave& wave, WaveState& state, VmId vm) {
  const jobs::RebootOrder order{vm, wave.number, this->context.settings.id.text, this->token};
  // Counted as down before the order leaves: one without answer may have been carried out.
  state.down[vm] = "";
  const VmOrderOutcome outcome = co_await this->context.links.vms->Reboot(order, kCallTimeout);
  LogEvent(telemetry::LogLevel::kInfo, "vm_reboot_ordered", "a wave asks for it",
           {{"vm", vm.text}, {"outcome", std::to_string(static_cast<int>(outcome))}});
  if (this->is_stopped) {
    co_return;
  }
  switch (outcome) {
    case VmOrderOutcome::kDone:
      state.progress.rebooted.insert(vm);
      break;
    case VmOrderOutcome::kNoAnswer:
      break;  // asked again once the VM is seen up; the answer then tells
    case VmOrderOutcome::kNotAllowed:
      state.progress.rebooted.insert(vm);
      state.down.erase(vm);
      break;
    case VmOrderOutcome::kTokenTooLow:
      this->is_stopped = true;
      break;
    case VmOrderOutcome::kBusy:
    case VmOrderOutcome::kTooMany:
      state.down.erase(vm);
      break;
  }
}

void UpkeepDriver::NoteReturns(WaveState& state, const std::vector<jobs::VmRecord>& vms) {
  for (const jobs::VmRecord& vm : vms) {
    if (state.down.contains(vm.id) && vm.phase == jobs::VmPhase::kUp) {
      state.down.erase(vm.id);
      state.evacuating.erase(vm.id);
      this->scheduler.EndEvacuation(vm.endpoint);
    }
  }
}

std::map<std::string, jobs::EndpointLoad> UpkeepDriver::Loads(
    const std::vector<jobs::VmRecord>& vms) const {
  std::map<std::string, jobs::EndpointLoad> loads;
  for (const jobs::VmRecord& vm : vms) {
    const jobs::EvacuationState evacuation = this->scheduler.EvacuationOf(vm.endpoint);
    if (evacuation == jobs::EvacuationState::kUnknownEndpoint) {
      continue;
    }
    const auto all = static_cast<double>(this->scheduler.CapacityOf(vm.pool).cpu);
    const auto used = static_cast<double>(this->scheduler.UsedIn(vm.pool).cpu);
    loads[vm.endpoint] = {evacuation == jobs::EvacuationState::kEmpty, all > 0 ? used / all : 0};
  }
  return loads;
}

asio::awaitable<void> UpkeepDriver::Tell(const jobs::Wave& wave, WaveState& state) {
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
  LogEvent(telemetry::LogLevel::kInfo, "wave_told",
           state.progress.is_complete ? "all VMs are done" : "is under way",
           {{"wave", std::to_string(wave.number)}});
}

}  // namespace chervilspar::job_entry
