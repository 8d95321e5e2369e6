#include <algorithm>

#include "job_entry/vm_driver.h"
#include "job_entry/vm_order_timing.h"

namespace chervilspar::job_entry {

namespace asio = boost::asio;
using jobs::VmOrderOutcome;

namespace {

/// A reboot with a response is visible in the list within this time.
constexpr Duration kRebootVisibleDelay = std::chrono::milliseconds(500);
/// Before the retry of a reboot that the service has refused because the wave doesn't name the VM:
/// the service may learn of a wave later than this entry, and operators must not read that the wave
/// is complete before the reboot.
constexpr Duration kRefusedRebootRetryDelay = std::chrono::seconds(2);
/// Maximum age of the proof that an order needs. A successor waits longer than this plus the
/// transit time of an order before its own first order.
constexpr Duration kMaxOrderProofAge = std::chrono::milliseconds(300);
/// Tokens of orders lie between the term's token and that of the next term, times this number. Even
/// after a million terms, a double holds them exactly.
constexpr std::uint64_t kOrderTokensPerTerm = std::uint64_t{1} << 30;

}  // namespace

asio::awaitable<bool> VmDriver::IsStillOwner() {
  this->proof.Record(this->scheduler.Proof());
  const bool is_proven = co_await this->proof.IsYoungerThan(kMaxOrderProofAge);
  if (!is_proven) {
    this->context.metrics.Count({"chervilspar_vm_orders_unproven_total", {}});
  }
  co_return is_proven && !this->is_stopped;
}

void VmDriver::EnqueueOrder(WorkQueue::Work order) {
  this->orders->Add([owner = this->owner.lock(), order = std::move(order)] { return order(); });
}

std::uint64_t VmDriver::NextOrderToken() {
  this->order_count = std::min(this->order_count + 1, kOrderTokensPerTerm - 1);
  return this->token * kOrderTokensPerTerm + this->order_count;
}

jobs::Occupancy VmDriver::OccupancyOf(const jobs::VmRecord& vm) const {
  const std::shared_ptr<const jobs::Policy> policy = this->operators.Policy();
  const bool is_off = policy != nullptr && policy->standby.contains(vm.pool) &&
                      !this->scheduler.UsageOf(vm.endpoint);
  if (vm.endpoint.empty() || is_off) {
    return jobs::Occupancy::kEmpty;
  }
  return this->scheduler.OccupancyOf(vm.endpoint, this->context.Now());
}

bool VmDriver::MayBeOrdered(const VmId& id, bool is_repeated) const {
  const jobs::VmRecord* vm = this->FindVm(id);
  if (vm == nullptr) {
    return is_repeated;
  }
  return vm->phase == jobs::VmPhase::kUp && this->OccupancyOf(*vm) == jobs::Occupancy::kEmpty;
}

void VmDriver::RequestMissingReport(const VmId& id) {
  const jobs::VmRecord* vm = this->FindVm(id);
  if (vm != nullptr && this->OccupancyOf(*vm) == jobs::Occupancy::kUnconfirmed) {
    this->awaits_report = true;
    if (this->scheduler.RequestReport(vm->endpoint)) {
      this->host.WakeEndpoint(vm->endpoint);
    }
  }
}

std::vector<telemetry::LogField> VmDriver::EvidenceFor(const VmId& id) const {
  const TimePoint now = this->context.Now();
  const TimePoint proof = std::max(this->scheduler.Proof(), this->proof.Latest());
  std::vector<telemetry::LogField> fields{{"vm", id.text},
                                          {"token", std::to_string(this->token)},
                                          {"proof_age_ms", MillisecondsText(now - proof)}};
  const jobs::VmRecord* vm = this->FindVm(id);
  const std::optional<jobs::EndpointUsage> use =
      vm == nullptr ? std::nullopt : this->scheduler.UsageOf(vm->endpoint);
  if (vm != nullptr) {
    fields.push_back({"endpoint", vm->endpoint});
  }
  if (use) {
    const std::optional<TimePoint> answered = use->last_answered_request;
    fields.push_back({"claims", std::to_string(use->claims)});
    fields.push_back({"unclaimed_runs", std::to_string(use->unclaimed_runs)});
    fields.push_back({"answer_age_ms", answered ? MillisecondsText(now - *answered) : "none"});
  }
  return fields;
}

void VmDriver::CountClaimsUnder(const VmId& id, VmOrderOutcome outcome,
                                std::vector<telemetry::LogField>& fields) const {
  const jobs::VmRecord* vm = this->FindVm(id);
  const std::optional<jobs::EndpointUsage> use =
      vm == nullptr ? std::nullopt : this->scheduler.UsageOf(vm->endpoint);
  if (!use || use->claims == 0) {
    return;
  }
  fields.push_back({"claims_at_answer", std::to_string(use->claims)});
  if (outcome == VmOrderOutcome::kDone) {
    this->context.metrics.Count({"chervilspar_runs_ended_by_vm_orders_total", {}},
                                static_cast<double>(use->claims));
  }
}

const jobs::VmRecord* VmDriver::FindVm(const VmId& id) const {
  const auto place = this->vm_index.find(id.text);
  return place == this->vm_index.end() ? nullptr : &this->vms[place->second];
}

bool VmDriver::IsRebootWanted(const VmId& vm) const {
  const auto reboot = this->pending_reboots.find(vm);
  if (reboot == this->pending_reboots.end()) {
    return false;
  }
  const std::map<std::uint64_t, jobs::Wave> known = this->operators.Waves();
  const auto wave = known.find(reboot->second.wave);
  const bool is_listed =
      wave != known.end() &&
      std::find(wave->second.vms.begin(), wave->second.vms.end(), vm) != wave->second.vms.end();
  return (is_listed || reboot->second.is_unanswered) &&
         this->MayBeOrdered(vm, reboot->second.is_unanswered);
}

void VmDriver::DropUnwantedReboots(const std::map<std::uint64_t, jobs::Wave>& known) {
  const std::map<VmId, PendingReboot> pending = this->pending_reboots;  // a copy, as it changes
  for (const auto& [vm, reboot] : pending) {
    const auto wave = known.find(reboot.wave);
    const bool is_wanted =
        wave != known.end() &&
        std::find(wave->second.vms.begin(), wave->second.vms.end(), vm) != wave->second.vms.end();
    // A VM that isn't listed any more would keep its place in the wave for ever.
    const bool is_gone = this->FindVm(vm) == nullptr;
    if ((!is_wanted || is_gone) && !reboot.is_unanswered && !reboot.is_in_flight) {
      this->ForgetReboot(vm);
    }
  }
}

void VmDriver::ForgetReboot(const VmId& vm) {
  const auto reboot = this->pending_reboots.find(vm);
  const std::uint64_t wave = reboot->second.wave;
  this->waves[wave].ordered.erase(vm);
  this->waves[wave].closed.erase(vm);
  this->changed_waves.insert(wave);
  this->down.erase(vm);
  this->pending_reboots.erase(reboot);
}

void VmDriver::OrderPendingReboots() {
  if (!this->may_order || !this->is_list_current || this->is_stopped) {
    return;
  }
  const TimePoint now = this->context.Now();
  std::vector<VmId> due;
  for (const auto& [vm, reboot] : this->pending_reboots) {
    const bool is_due = reboot.is_stored && !reboot.is_in_flight && now >= reboot.next_try;
    if (!is_due) {
      continue;
    }
    this->RequestMissingReport(vm);
    if (this->MayBeOrdered(vm, reboot.is_unanswered)) {
      due.push_back(vm);
    }
  }
  for (const VmId& vm : due) {
    if (!this->budget.TryAcquire(now)) {
      break;
    }
    this->pending_reboots.at(vm).is_in_flight = true;
    this->EnqueueOrder([this, vm] { return this->Reboot(vm); });
  }
}

asio::awaitable<void> VmDriver::Reboot(VmId vm) {
  const std::uint64_t wave = this->pending_reboots.at(vm).wave;
  VmOrderOutcome outcome = VmOrderOutcome::kNotSent;
  const bool is_owner = co_await this->IsStillOwner();
  std::vector<telemetry::LogField> fields = this->EvidenceFor(vm);
  if (is_owner && this->IsRebootWanted(vm)) {
    const jobs::RebootOrder order{vm, wave, this->context.settings.id.text, this->NextOrderToken()};
    outcome = co_await this->context.links.vms->Reboot(order, kVmCallTimeout);
  }
  fields.push_back({"wave", std::to_string(wave)});
  this->CountClaimsUnder(vm, outcome, fields);
  fields.push_back({"outcome", jobs::ToString(outcome)});
  LogEvent(telemetry::LogLevel::kInfo, "vm_reboot_ordered", "a wave requires the reboot",
           std::move(fields));
  this->OnRebootAnswered(vm, outcome);
}

void VmDriver::OnRebootAnswered(const VmId& vm, VmOrderOutcome outcome) {
  const TimePoint now = this->context.Now();
  PendingReboot& reboot = this->pending_reboots.at(vm);
  reboot.is_in_flight = false;
  switch (outcome) {
    case VmOrderOutcome::kDone:
      this->waves[reboot.wave].rebooted.insert(vm);
      this->ForgetReboot(vm);
      this->down[vm] = now + kRebootVisibleDelay;
      break;
    case VmOrderOutcome::kNoAnswer:
      reboot.is_unanswered = true;
      reboot.next_try = now + kUnansweredOrderRetryDelay;
      break;
    case VmOrderOutcome::kNotAllowed:
      this->refused_reboots[vm] = now + kRefusedRebootRetryDelay;
      this->ForgetReboot(vm);
      break;
    case VmOrderOutcome::kTokenTooLow:
      this->is_stopped = true;
      break;
    case VmOrderOutcome::kRateLimited:
      this->budget.OnRefused(now);
      break;
    case VmOrderOutcome::kNotSent:
      break;
    case VmOrderOutcome::kBusy:
      if (reboot.is_unanswered) {
        reboot.next_try = now + kUnansweredOrderRetryDelay;
      } else {
        this->ForgetReboot(vm);
      }
      break;
  }
}

}  // namespace chervilspar::job_entry
