#include "entry/service_plane.h"

#include <mutex>
#include <utility>

namespace chervilspar::entry {

namespace {

bool IsBusy(const scheduling::ShardReport& report) {
  return !report.teams.empty() || !report.endpoints.empty() || !report.ejected.empty() ||
         report.urgent_running > 0 || report.urgent_waiting > 0;
}

}  // namespace

ServicePlane::ServicePlane(const EntryContext& context, LimitKeeper& limits)
    : context(context), limits(limits) {}

void ServicePlane::Configure(const config_log::FleetState& state, const ViewFreshness& freshness) {
  for (const auto& [service, config] : ConfigureServices(state, freshness)) {
    std::shared_ptr<ServiceHost> host;
    {
      const std::unique_lock lock(this->mutex);
      std::shared_ptr<ServiceHost>& slot = this->hosts[service];
      if (slot == nullptr) {
        slot = std::make_shared<ServiceHost>(this->context, this->limits, service);
      }
      host = slot;
    }
    host->Configure(config);
  }
  // A service that is gone keeps its shard without endpoints, so that its running requests end
  // in order and its waiting ones are refused.
  for (const auto& host : this->All()) {
    const bool is_known =
        std::any_of(state.inventory.pools.begin(), state.inventory.pools.end(),
                    [&](const auto& pool) { return pool.second.service == host->Service(); });
    if (!is_known) {
      host->Configure({});
    }
  }
}

std::shared_ptr<ServiceHost> ServicePlane::Find(const ServiceId& service) const {
  const std::shared_lock lock(this->mutex);
  const auto found = this->hosts.find(service);
  return found == this->hosts.end() ? nullptr : found->second;
}

std::vector<std::shared_ptr<ServiceHost>> ServicePlane::All() const {
  const std::shared_lock lock(this->mutex);
  std::vector<std::shared_ptr<ServiceHost>> all;
  for (const auto& [service, host] : this->hosts) {
    all.push_back(host);
  }
  return all;
}

void ServicePlane::Tick() {
  for (const auto& host : this->All()) {
    host->ExpireAndPump();
  }
}

void ServicePlane::OnLimitFreed(const TeamId& team) {
  for (const auto& host : this->All()) {
    host->OnLimitFreed(team);
  }
}

void ServicePlane::OnReports(const EntryId& peer, const rpc::ShardReports& reports) {
  for (const scheduling::ShardReport& report : reports.reports) {
    if (const auto host = this->Find(report.service)) {
      host->OnPeerReport(peer, reports.zone, report);
    }
  }
}

rpc::ShardReports ServicePlane::Reports() {
  rpc::ShardReports reports;
  reports.zone = this->context.self.zone;
  for (const auto& host : this->All()) {
    if (!host->IsReportDue()) {
      continue;
    }
    scheduling::ShardReport report = host->LocalReport();
    const bool is_busy = IsBusy(report);
    const bool was_busy = this->reported_busy.contains(host->Service());
    if (is_busy || was_busy) {
      reports.reports.push_back(std::move(report));
    }
    if (is_busy) {
      this->reported_busy.insert(host->Service());
    } else {
      this->reported_busy.erase(host->Service());
    }
  }
  return reports;
}

void ServicePlane::ReportWaiting() {
  std::map<TeamId, std::uint32_t> waiting;
  for (const auto& host : this->All()) {
    host->AddWaiting(waiting);
  }
  this->limits.SetWaiting(waiting);
}

}  // namespace chervilspar::entry
