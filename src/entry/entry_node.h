#pragma once

#include <atomic>
#include <memory>
#include <mutex>
#include <optional>
#include <set>

#include <boost/asio/io_context.hpp>

#include "chervilspar/base/result.h"
#include "chervilspar/http/io_threads.h"
#include "chervilspar/http/server.h"

#include "entry/config_plane.h"
#include "entry/dispatcher.h"
#include "entry/drain_watch.h"
#include "entry/endpoint_view.h"
#include "entry/entry_context.h"
#include "entry/limit_keeper.h"
#include "entry/maintenance_plane.h"
#include "entry/operator_api.h"
#include "entry/peer_plane.h"
#include "entry/request_ledger.h"
#include "entry/request_pipeline.h"
#include "entry/service_plane.h"

namespace chervilspar::entry {

/// One entry process: builds the parts, joins them, and runs the periodic work.
class EntryNode final : public http::Handler, public http::ServerObserver, public StateListener {
 public:
  explicit EntryNode(const EntryContext& context);
  ~EntryNode() override;

  /// Opens the ports and starts the threads.
  Status Start();
  /// Shuts down without cutting a request: see `ShutDown` in the operators' page. Returns false
  /// when the deadline passed with requests in flight.
  bool ShutDown();
  /// Ends a shutdown that is waiting; what is left gets its verdict by the closed connection.
  void Hurry() { this->hurrying = true; }

  // http::Handler
  boost::asio::awaitable<http::Response> Handle(http::Request request,
                                                std::shared_ptr<http::CancelToken> caller) override;
  // http::ServerObserver
  void OnBadInput(http::BadInput fault) override;
  // StateListener
  void OnState(std::shared_ptr<const config_log::FleetState> state,
               const config_log::FollowUpdate& update) override;
  void OnReadToEnd() override;
  void OnWithdrawals(const std::vector<config_log::KeyDigest>& digests) override;

 private:
  enum class Phase { kServing, kDraining };

  boost::asio::awaitable<void> Every(Duration period, void (EntryNode::*work)());
  void StartPeriodicWork();
  void TickServices();
  void TickLimits();
  void TickPreemption();
  void SendReports();
  void Heartbeat();
  void RefreshView();
  void NoteEjections();
  void Housekeeping();
  void CollectGauges(telemetry::MetricsRegistry& metrics);
  void CollectUnits(telemetry::MetricsRegistry& metrics);
  http::Response Health() const;
  http::Response Metrics();
  bool WaitForRequests(Duration span);
  void ReturnLoans();
  void NoteOutcomes(const config_log::FleetState& state, const config_log::FollowUpdate& update);

  const EntryContext& context;
  http::IoThreads io_threads;
  http::IoThreads control;
  PeerPlane peers;
  LimitKeeper limits;
  RequestLedger ledger;
  ServicePlane services;
  ConfigPlane config;
  DrainWatch drains;
  MaintenancePlane maintenance;
  Dispatcher dispatcher;
  RequestPipeline pipeline;
  OperatorApi operators;
  std::unique_ptr<http::Server> server;
  /// Version of the last accepted record in the time line; a publish raises it.
  std::atomic<config_log::ConfigVersion> noted_version{0};
  /// Endpoints that were ejected at the last look; touched by the control thread only.
  std::set<VmId> noted_ejected;
  std::atomic<Phase> phase{Phase::kServing};
  std::atomic<bool> hurrying{false};
  std::mutex view_mutex;
  /// What the services' views were last made from.
  std::shared_ptr<const config_log::FleetState> viewed_state;
  std::optional<ViewFreshness> viewed_freshness;
};

}  // namespace chervilspar::entry
