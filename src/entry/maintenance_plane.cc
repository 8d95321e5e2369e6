#include "entry/maintenance_plane.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "chervilspar/telemetry/logger.h"

namespace chervilspar::entry {

namespace {

/// The platform's list lags by seconds; reading it more often tells nothing more.
constexpr Duration kRoundPeriod = std::chrono::milliseconds(500);
constexpr Duration kRecordTimeout = std::chrono::seconds(5);

}  // namespace

MaintenancePlane::MaintenancePlane(const EntryContext& context, ConfigPlane& config,
                                   PeerPlane& peers,
                                   std::unique_ptr<platform::VmListService> vm_list)
    : context(context),
      config(config),
      peers(peers),
      vm_list(std::move(vm_list)),
      observer(context) {}

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
    this->stop_wakeup.wait_for(lock, kRoundPeriod, [this] { return this->stopping; });
  }
}

void MaintenancePlane::Round() {
  const auto state = this->config.State();
  if (state->version == 0) {
    return;
  }
  this->ReadVmList(*state);
  this->AppendObservations(*state);
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

boost::json::value MaintenancePlane::PlanAsJson() const { return boost::json::object(); }

}  // namespace chervilspar::entry
