#include "entry/step_runner.h"

#include <utility>

#include <boost/json.hpp>

#include "chervilspar/base/assert.h"
#include "chervilspar/maintenance/planner.h"

#include "entry/settings_view.h"

namespace chervilspar::entry {

namespace {

/// A drain is answered in milliseconds; an endpoint that takes longer is asked again next round.
constexpr Duration kCallTimeout = std::chrono::milliseconds(500);
constexpr Duration kRecordTimeout = std::chrono::seconds(10);

maintenance::PlatformVmState ToPlatformState(platform::VmState state) {
  switch (state) {
    case platform::VmState::kLive:
      return maintenance::PlatformVmState::kLive;
    case platform::VmState::kLeaving:
      return maintenance::PlatformVmState::kLeaving;
    case platform::VmState::kRebooting:
      return maintenance::PlatformVmState::kRebooting;
    case platform::VmState::kFailed:
      return maintenance::PlatformVmState::kFailed;
  }
  CHERVILSPAR_ASSERT(false);
}

std::string AddressOf(const config_log::FleetState& state, const VmId& vm) {
  const auto found = state.inventory.vms.find(vm);
  return found == state.inventory.vms.end() ? std::string() : found->second.address;
}

template <typename... Handlers>
struct Overloaded : Handlers... {
  using Handlers::operator()...;
};
template <typename... Handlers>
Overloaded(Handlers...) -> Overloaded<Handlers...>;

telemetry::EventKind EventOf(maintenance::StepRecord record) {
  switch (record) {
    case maintenance::StepRecord::kClaim:
      return telemetry::EventKind::kStepClaimed;
    case maintenance::StepRecord::kTakeOver:
      return telemetry::EventKind::kStepTakenOver;
    case maintenance::StepRecord::kActing:
      return telemetry::EventKind::kStepActing;
    case maintenance::StepRecord::kDone:
      return telemetry::EventKind::kStepDone;
    case maintenance::StepRecord::kWithdrawn:
      return telemetry::EventKind::kStepWithdrawn;
  }
  CHERVILSPAR_ASSERT(false);
}

}  // namespace

StepRunner::StepRunner(const EntryContext& context, ConfigPlane& config,
                       platform::VmListService& vm_list, DrainWatch& drains)
    : context(context),
      config(config),
      vm_list(vm_list),
      drains(drains),
      client({}, RoutesOf(context.settings)) {}

void StepRunner::Begin(const maintenance::Plan& plan, const config_log::FleetState& state) {
  const inventory::MaintenanceRules& rules = state.inventory.maintenance;
  const TimePoint now = this->context.Now();
  for (const config_log::Step& step : plan.claims) {
    if (plan.appends_claims && !this->jobs.contains(step.id)) {
      this->jobs.emplace(step.id, Job{maintenance::StepExecutor::Claim(step, rules, now),
                                      AddressOf(state, step.vm), EntryId{}, std::string()});
    }
  }
  for (const maintenance::StepTakeOver& take_over : plan.take_overs) {
    const auto step = state.steps.find(take_over.step);
    if (take_over.new_executor != this->context.self.id || this->jobs.contains(take_over.step) ||
        step == state.steps.end()) {
      continue;
    }
    config_log::Step own = step->second;
    own.executor = this->context.self.id;
    this->jobs.emplace(take_over.step,
                       Job{maintenance::StepExecutor::TakeOver(own, rules, now),
                           AddressOf(state, own.vm), take_over.gone_executor, std::string()});
  }
  for (const maintenance::StepWithdrawal& withdrawal : plan.withdrawals) {
    const auto job = this->jobs.find(withdrawal.step);
    if (job != this->jobs.end()) {
      job->second.withdraw_cause = maintenance::Explain(withdrawal.cause);
      this->Feed(withdrawal.step, maintenance::WithdrawalRequested{});
    }
  }
  this->ResumeOwn(state);
}

// After a restart the folded steps that name this entry are its own again.
void StepRunner::ResumeOwn(const config_log::FleetState& state) {
  for (const auto& [id, step] : state.steps) {
    if (step.executor == this->context.self.id && !this->jobs.contains(id)) {
      this->jobs.emplace(id, Job{maintenance::StepExecutor::Resume(
                                     step, state.inventory.maintenance, this->context.Now()),
                                 AddressOf(state, step.vm), EntryId{}, std::string()});
    }
  }
}

void StepRunner::Round(const maintenance::Observations& seen) {
  this->observations = &seen;
  const std::vector<ReadBack> records = this->TakeReadBacks();
  // Taken after the read-backs, so that it holds at least what they speak of.
  const auto state = this->config.State();
  std::vector<StepId> ids;
  for (const auto& [id, job] : this->jobs) {
    ids.push_back(id);
  }
  for (const StepId& id : ids) {
    const auto step = state->steps.find(id);
    const bool is_folded = step != state->steps.end();
    this->Feed(id, maintenance::FoldedStep{is_folded ? std::optional(step->second) : std::nullopt});
  }
  for (const ReadBack& record : records) {
    this->Feed(record.step, record.record);
  }
  for (const StepId& id : ids) {
    this->Feed(id, maintenance::Tick{});
  }
  std::erase_if(this->jobs, [](const auto& entry) { return entry.second.executor.IsFinished(); });
}

void StepRunner::NoteRejected(const StepId& step, const config_log::AppendOutcome& outcome) const {
  telemetry::Event event;
  event.kind = telemetry::EventKind::kStepRejected;
  event.step = step;
  event.why = outcome.reason ? ToString(*outcome.reason) : std::string();
  this->context.Note(std::move(event));
}

std::vector<StepRunner::ReadBack> StepRunner::TakeReadBacks() {
  const std::lock_guard lock(this->mutex);
  std::vector<ReadBack> taken(this->read_backs.begin(), this->read_backs.end());
  this->read_backs.clear();
  return taken;
}

void StepRunner::Feed(const StepId& step, const maintenance::StepInput& input) {
  const auto job = this->jobs.find(step);
  if (job == this->jobs.end()) {
    return;
  }
  for (const maintenance::StepOutput& output :
       job->second.executor.Handle(input, this->context.Now())) {
    this->Do(step, output);
  }
}

void StepRunner::Do(const StepId& step, const maintenance::StepOutput& output) {
  std::visit(Overloaded{
                 [&](const maintenance::AppendRecord& append) { this->Append(step, append); },
                 [&](const maintenance::DrainEndpoint&) { this->Drain(step); },
                 [&](const maintenance::UndrainEndpoint&) { this->UndrainHeld(step); },
                 [&](const maintenance::RequestFinalCheck&) { this->FinalCheck(step); },
                 [&](const maintenance::RebootVm&) { this->Reboot(step); },
                 [&](const maintenance::DescribeVm&) { this->Describe(step); },
             },
             output);
}

void StepRunner::Append(const StepId& step, const maintenance::AppendRecord& append) {
  const Job& job = this->jobs.at(step);
  config_log::Record record = this->MakeRecord(job, append);
  telemetry::Event event;
  event.kind = EventOf(append.record);
  event.vm = job.executor.Current().vm;
  event.pool = job.executor.Current().from_pool;
  event.step = step;
  event.why = job.withdraw_cause;
  this->context.Note(std::move(event));
  const RecordId id = record.id;
  const maintenance::StepRecord kind = append.record;
  this->config.Submit(id, {std::move(record)}, kRecordTimeout,
                      [this, step, kind](const config_log::AppendOutcome& outcome) {
                        const bool is_accepted =
                            outcome.result == config_log::AppendResult::kAccepted;
                        if (!is_accepted && outcome.result != config_log::AppendResult::kRejected) {
                          return;  // Not known; the executor appends again.
                        }
                        const auto verdict = is_accepted ? maintenance::RecordVerdict::kAccepted
                                                         : maintenance::RecordVerdict::kRejected;
                        if (!is_accepted) {
                          this->NoteRejected(step, outcome);
                        }
                        const std::lock_guard lock(this->mutex);
                        this->read_backs.push_back({step, {kind, verdict}});
                      });
}

config_log::Record StepRunner::MakeRecord(const Job& job, const maintenance::AppendRecord& append) {
  const config_log::Step& step = job.executor.Current();
  config_log::Record record;
  record.author = this->context.self.id;
  record.at = this->context.WallNow();
  switch (append.record) {
    case maintenance::StepRecord::kClaim:
      // The step's id is the id of the record that claims it.
      record.id = RecordId{step.id.text};
      record.body = config_log::StepClaimed{step.vm, step.action, step.from_pool, step.to_pool,
                                            step.executor};
      return record;
    case maintenance::StepRecord::kTakeOver:
      record.body = config_log::StepTakenOver{step.id, job.gone_executor, step.executor};
      break;
    case maintenance::StepRecord::kActing:
      record.body = config_log::StepActing{step.id, step.executor};
      break;
    case maintenance::StepRecord::kDone:
      record.body =
          config_log::StepDone{step.id, append.result == maintenance::ActResult::kSucceeded
                                            ? config_log::StepResult::kSucceeded
                                            : config_log::StepResult::kVmFailed};
      break;
    case maintenance::StepRecord::kWithdrawn:
      record.body = config_log::StepWithdrawn{step.id, job.withdraw_cause};
      break;
  }
  record.id = this->config.MakeRecordId(maintenance::ToString(append.record));
  return record;
}

std::optional<std::uint32_t> StepRunner::CallDrain(const std::string& address,
                                                   const std::string& path) {
  const Result<SocketAddress> parsed = ParseSocketAddress(address);
  if (!parsed) {
    return std::nullopt;
  }
  http::Request request;
  request.method = "POST";
  request.target = path;
  const http::Exchange exchange = this->client.Call(*parsed, std::move(request), kCallTimeout);
  if (!exchange.response || exchange.response->status != 200) {
    return std::nullopt;
  }
  boost::system::error_code error;
  const boost::json::value body = boost::json::parse(exchange.response->body, error);
  const boost::json::object* object = error ? nullptr : body.if_object();
  const boost::json::value* running = object == nullptr ? nullptr : object->if_contains("running");
  if (running == nullptr || !running->is_int64() || running->as_int64() < 0) {
    return std::nullopt;
  }
  return static_cast<std::uint32_t>(running->as_int64());
}

void StepRunner::Drain(const StepId& step) {
  const auto running = this->CallDrain(this->jobs.at(step).address, "/v1/drain");
  if (running) {
    this->Feed(step, maintenance::DrainAnswer{*running});
  }
}

void StepRunner::UndrainHeld(const StepId& step) {
  const Job& job = this->jobs.at(step);
  const VmId vm = job.executor.Current().vm;
  if (this->CallDrain(job.address, "/v1/undrain")) {
    this->drains.OnOpen(vm);
    this->Feed(step, maintenance::UndrainAnswer{});
  }
}

void StepRunner::Undrain(const config_log::FleetState& state, const VmId& vm) {
  if (this->CallDrain(AddressOf(state, vm), "/v1/undrain")) {
    this->drains.OnOpen(vm);
  }
}

void StepRunner::Reboot(const StepId& step) {
  const VmId vm = this->jobs.at(step).executor.Current().vm;
  if (this->vm_list.Reboot(vm, step, this->context.settings.log_timeout)) {
    this->Feed(step, maintenance::RebootAnswer{});
  }
}

void StepRunner::Describe(const StepId& step) {
  const VmId vm = this->jobs.at(step).executor.Current().vm;
  const auto described = this->vm_list.Describe(vm, this->context.settings.log_timeout);
  if (described) {
    this->Feed(step, maintenance::DescribeAnswer{ToPlatformState(described->state),
                                                 static_cast<std::uint64_t>(described->boot),
                                                 described->last_step});
  }
}

void StepRunner::FinalCheck(const StepId& step) {
  CHERVILSPAR_ASSERT(this->observations != nullptr);
  const auto state = this->config.State();
  this->Feed(step, maintenance::FinalCheckAnswer{
                       maintenance::CheckBeforeActing(*state, *this->observations, step)});
}

}  // namespace chervilspar::entry
