#include "entry/maintenance_plane.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "entry/plan_json.h"

namespace chervilspar::entry {

namespace {

/// The platform's list lags by seconds; reading it more often tells nothing more.
constexpr Duration kRoundPeriod = std::chrono::milliseconds(500);
/// While steps are under way, their answers are looked at more often.
constexpr Duration kBusyRoundPeriod = std::chrono::milliseconds(100);
/// A plan costs a pass over all VMs; what it acts on changes within seconds.
constexpr Duration kPlanPeriod = std::chrono::seconds(1);
constexpr Duration kRecordTimeout = std::chrono::seconds(5);

}  // namespace

MaintenancePlane::MaintenancePlane(const EntryContext& context, ConfigPlane& config,
                                   PeerPlane& peers, DrainWatch& drains,
                                   std::unique_ptr<platform::VmListService> vm_list)
    : context(context),
      config(config),
      peers(peers),
      vm_list(std::move(vm_list)),
      drains(drains),
      observer(context),
      planner(context.self.id),
      steps(context, config, *this->vm_list, drains) {}

MaintenancePlane::~MaintenancePlane() { this->Stop(); }

void MaintenancePlane::Start() {
  this->thread = std::thread([this] { this->Loop(); });
}

void MaintenancePlane::Stop() {
  {
    const std::lock_guard lock(this->stop_mutex);
    this->stopping = true;
  }
  this->stop_wakeup.notify_all();
  if (this->thread.joinable()) {
    this->thread.join();
  }
}

void MaintenancePlane::Loop() {
  std::unique_lock lock(this->stop_mutex);
  while (!this->stopping) {
    lock.unlock();
    this->Round();
    lock.lock();
    const bool is_busy = this->steps.RunningSteps() > 0;
    this->stop_wakeup.wait_for(lock, is_busy ? kBusyRoundPeriod : kRoundPeriod,
                               [this] { return this->stopping; });
  }
}

void MaintenancePlane::Round() {
  const auto state = this->config.State();
  if (state->version == 0) {
    return;
  }
  this->ReadVmList(*state);
  this->AppendObservations(*state);
  const maintenance::Observations observations = this->Observe(*state);
  // An entry that has not read the log to its end acts on a state that may be long past. One that
  // is not listed hears from nobody, takes all others for gone, and would take over their steps.
  const bool is_listed = state->inventory.entries.contains(this->context.self.id);
  const bool may_plan = this->config.HasReachedEnd() && is_listed;
  if (may_plan && this->context.Now() - this->planned_at >= kPlanPeriod) {
    this->planned_at = this->context.Now();
    maintenance::Plan next = this->planner.MakePlan(*state, observations, this->context.WallNow());
    this->steps.Begin(next, *state);
    for (const VmId& vm : next.undrains) {
      this->steps.Undrain(*state, vm);
    }
    this->KeepPlan(std::move(next));
  }
  this->steps.Round(observations);
}

maintenance::Observations MaintenancePlane::Observe(const config_log::FleetState& state) {
  maintenance::Observations observations;
  observations.live_entries = this->peers.LiveEntries();
  const VmListView view = this->observer.View();
  if (!view.read_at) {
    return observations;
  }
  observations.vm_list_age = this->context.Now() - *view.read_at;
  const std::set<VmId> draining = this->drains.Draining();
  for (const auto& [id, vm] : state.inventory.vms) {
    maintenance::VmObservation seen;
    seen.age = observations.vm_list_age;
    seen.drain_state = draining.contains(id) ? maintenance::DrainState::kDraining
                                             : maintenance::DrainState::kUnknown;
    seen.failing_since = this->observer.FailingSince(id);
    observations.vms.emplace(id, seen);
  }
  for (const platform::ListedVm& listed : view.list.vms) {
    const auto seen = observations.vms.find(listed.vm);
    if (seen != observations.vms.end()) {
      seen->second.listing = listed.state == platform::VmState::kLive
                                 ? maintenance::VmListing::kLive
                                 : maintenance::VmListing::kLeaving;
    }
  }
  return observations;
}

void MaintenancePlane::KeepPlan(maintenance::Plan next) {
  const std::lock_guard lock(this->plan_mutex);
  this->plan = std::move(next);
}

void MaintenancePlane::ReadVmList(const config_log::FleetState& state) {
  const Result<platform::VmList> list = this->vm_list->List(this->context.settings.log_timeout);
  if (!list) {
    this->context.metrics.Count({"chervilspar_vm_list_failures_total", {}});
    return;
  }
  this->observer.OnList(*list, state);
}

void MaintenancePlane::AppendObservations(const config_log::FleetState& state) {
  const std::set<EntryId> live = this->peers.LiveEntries();
  const auto own = live.find(this->context.self.id);
  const auto turn = static_cast<std::size_t>(std::distance(live.begin(), own));
  for (config_log::VmsObserved& observed : this->observer.Due(state, turn)) {
    const RecordId id = this->config.MakeRecordId("observed");
    this->context.Note({.kind = telemetry::EventKind::kVmObserved,
                        .vm = observed.vms.front(),
                        .why = std::to_string(observed.vms.size()) + " VMs are " +
                               config_log::ToString(observed.condition)});
    config_log::Record record{id, this->context.self.id, this->context.WallNow(),
                              std::move(observed)};
    this->config.Submit(id, {std::move(record)}, kRecordTimeout, nullptr);
  }
}

boost::json::value MaintenancePlane::PlanAsJson() const {
  const std::lock_guard lock(this->plan_mutex);
  return PlanToJson(this->plan);
}

}  // namespace chervilspar::entry
