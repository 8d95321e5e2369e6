#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <unordered_map>
#include <vector>

#include "chervilspar/base/random.h"
#include "chervilspar/dispatch/service_shard.h"

#include "entry/entry_context.h"
#include "entry/limit_keeper.h"
#include "entry/pending_request.h"

namespace chervilspar::entry {

/// What the configuration and the view of the VMs say about one service.
struct ServiceConfig {
  std::vector<scheduling::TeamShare> teams;
  /// Endpoints that may get new work now.
  std::vector<load_balancing::Endpoint> endpoints;
  /// Sizes of all VMs of the service, also of those that are away.
  std::vector<admission::Requirement> shapes;
  /// Addresses of the endpoints.
  std::map<VmId, std::string> addresses;

  friend bool operator==(const ServiceConfig&, const ServiceConfig&) = default;
};

/// One shard: the decisions for one service and the requests that wait for them, under one lock.
class ServiceHost {
 public:
  ServiceHost(const EntryContext& context, LimitKeeper& limits, ServiceId service);

  void Configure(const ServiceConfig& config);

  /// Takes a request in, or gives its refusal. `ticket.id` is chosen here.
  struct Admitted {
    admission::TicketId ticket;
    std::optional<admission::Refusal> refusal;
  };
  Admitted Admit(admission::Ticket ticket, const std::shared_ptr<PendingRequest>& pending);
  dispatch::TryResult OnFinished(const StartOrder& order, load_balancing::Outcome outcome,
                                 Duration measured);
  dispatch::CancelResult Cancel(admission::TicketId ticket);
  /// Starts what can be started.
  void Pump();
  /// Gives up what can't be answered in time any more, then pumps. Cheap while nothing waits.
  void ExpireAndPump();
  /// A task to be preempted, with what is needed to reach it.
  struct Preemption {
    scheduling::Preempt preempt;
    TaskId task;
    std::string address;
  };
  std::vector<Preemption> Preemptions();
  void OnLimitFreed(const TeamId& team);
  void OnPeerReport(const EntryId& peer, const ZoneId& zone, const scheduling::ShardReport& report);
  bool IsReportDue();
  scheduling::ShardReport LocalReport();

  /// Adds to `waiting` how many requests of each team wait here.
  void AddWaiting(std::map<TeamId, std::uint32_t>& waiting);
  /// The endpoint's address; empty when it is not known any more.
  std::string AddressOf(const VmId& endpoint);
  std::vector<VmId> EjectedEndpoints();
  std::size_t WaitingCount();
  std::size_t RunningCount();
  const ServiceId& Service() const { return this->service; }

 private:
  struct Held {
    std::shared_ptr<PendingRequest> pending;
    TeamId team;
    TaskId task;
    VmId endpoint;
  };

  void PumpLocked();
  void Forget(admission::TicketId ticket);

  const EntryContext& context;
  LimitKeeper& limits;
  const ServiceId service;
  std::mutex mutex;
  SeededRandom random;
  dispatch::ServiceShard shard;
  ServiceConfig config;
  std::uint64_t last_ticket = 0;
  std::unordered_map<admission::TicketId, Held> held;
};

}  // namespace chervilspar::entry
