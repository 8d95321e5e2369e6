#pragma once

#include <condition_variable>
#include <memory>
#include <mutex>
#include <thread>

#include <boost/json/value.hpp>

#include "chervilspar/platform/vm_list_service.h"

#include "entry/config_plane.h"
#include "entry/entry_context.h"
#include "entry/peer_plane.h"
#include "entry/vm_observer.h"

namespace chervilspar::entry {

/// Reads the VM list and records what has changed. Runs on one thread of its own, since the
/// platform's answers may take long.
class MaintenancePlane {
 public:
  MaintenancePlane(const EntryContext& context, ConfigPlane& config, PeerPlane& peers,
                   std::unique_ptr<platform::VmListService> vm_list);
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

  const EntryContext& context;
  ConfigPlane& config;
  PeerPlane& peers;
  std::unique_ptr<platform::VmListService> vm_list;
  VmObserver observer;

  std::mutex stop_mutex;
  std::condition_variable stop_wakeup;
  bool stopping = false;
  std::thread thread;
};

}  // namespace chervilspar::entry
