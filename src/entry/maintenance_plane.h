#pragma once

#include <condition_variable>
#include <memory>
#include <mutex>
#include <thread>

#include <boost/json/value.hpp>

#include "chervilspar/maintenance/planner.h"
#include "chervilspar/platform/vm_list_service.h"

#include "entry/config_plane.h"
#include "entry/drain_watch.h"
#include "entry/entry_context.h"
#include "entry/peer_plane.h"
#include "entry/step_runner.h"
#include "entry/vm_observer.h"

namespace chervilspar::entry {

/// Reads the VM list, records what has changed, plans maintenance and carries out its steps. Runs
/// on one thread of its own, since the platform and endpoints may take long to answer.
class MaintenancePlane {
 public:
  MaintenancePlane(const EntryContext& context, ConfigPlane& config, PeerPlane& peers,
                   DrainWatch& drains, std::unique_ptr<platform::VmListService> vm_list);
  ~MaintenancePlane();
  MaintenancePlane(const MaintenancePlane&) = delete;
  MaintenancePlane& operator=(const MaintenancePlane&) = delete;

  void Start();
  void Stop();

  std::set<VmId> ListedLeaving() const { return this->observer.ListedLeaving(); }
  boost::json::value PlanAsJson() const;

 private:
  void Loop();
  void Round();
  void ReadVmList(const config_log::FleetState& state);
  void AppendObservations(const config_log::FleetState& state);
  maintenance::Observations Observe(const config_log::FleetState& state);
  void KeepPlan(maintenance::Plan plan);

  const EntryContext& context;
  ConfigPlane& config;
  PeerPlane& peers;
  std::unique_ptr<platform::VmListService> vm_list;
  DrainWatch& drains;
  VmObserver observer;
  maintenance::Planner planner;
  StepRunner steps;
  TimePoint planned_at;
  mutable std::mutex plan_mutex;
  maintenance::Plan plan;

  std::mutex stop_mutex;
  std::condition_variable stop_wakeup;
  bool stopping = false;
  std::thread thread;
};

}  // namespace chervilspar::entry
