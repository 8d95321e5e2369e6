#pragma once

#include <map>
#include <memory>
#include <shared_mutex>
#include <vector>

#include "chervilspar/rpc/peer_message.h"

#include "entry/endpoint_view.h"
#include "entry/entry_context.h"
#include "entry/limit_keeper.h"
#include "entry/service_host.h"

namespace chervilspar::entry {

/// All shards of services of this entry.
class ServicePlane {
 public:
  ServicePlane(const EntryContext& context, LimitKeeper& limits);

  void Configure(const config_log::FleetState& state, const ViewFreshness& freshness);
  /// None for a service that no pool serves.
  std::shared_ptr<ServiceHost> Find(const ServiceId& service) const;
  std::vector<std::shared_ptr<ServiceHost>> All() const;

  /// Every 10 ms: gives up late requests and starts what can be started.
  void Tick();
  void OnLimitFreed(const TeamId& team);
  void OnReports(const EntryId& peer, const rpc::ShardReports& reports);
  /// Reports of the services in which there is something to tell. Services that fall idle are told
  /// once more, so that peers need not wait for the last report to time out.
  rpc::ShardReports Reports();
  /// Tells the limits how many requests wait.
  void ReportWaiting();

 private:
  const EntryContext& context;
  LimitKeeper& limits;
  mutable std::shared_mutex mutex;
  std::map<ServiceId, std::shared_ptr<ServiceHost>> hosts;
  /// Services that were busy at the last report.
  std::set<ServiceId> reported_busy;
};

}  // namespace chervilspar::entry
