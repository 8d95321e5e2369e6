#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "chervilspar/base/ids.h"
#include "chervilspar/base/time.h"

namespace chervilspar::inventory {

/// What the operators publish: VMs, pools, teams, entries and rules. Values are never changed in
/// place; a changed inventory is a new value.

/// A worker VM; an endpoint is the address at which it takes tasks.
struct Vm {
  VmId id;
  PoolId pool;
  RackId rack;
  ZoneId zone;
  /// The building or site that the VM stands in.
  SiteId site;
  /// "ip:port" of the endpoint.
  std::string address;
  std::uint32_t cores = 0;
  std::uint32_t memory_mb = 0;
  std::uint32_t accelerators = 0;
  /// Tasks that it runs at once.
  std::uint32_t slots = 0;
  /// Connections that it accepts at once.
  std::uint32_t connections = 0;

  friend bool operator==(const Vm&, const Vm&) = default;
};

enum class PoolKind {
  /// Serves one service.
  kServing,
  /// Holds VMs in reserve; they may be lent or moved to any serving pool.
  kSpare,
};

/// A group of VMs that drain and reboot together under one availability budget.
struct Pool {
  PoolId id;
  /// Empty for the spare pool.
  ServiceId service;
  PoolKind kind = PoolKind::kServing;
  /// The availability budget: VMs of the pool that must be available at any moment.
  std::uint32_t min_available = 0;

  friend bool operator==(const Pool&, const Pool&) = default;
};

/// What operators declare about a service: what one of its jobs needs, and who may submit it.
struct Service {
  ServiceId id;
  /// What one job needs; zero when nothing is known. A job that needs more than every VM of the
  /// service's pools has is refused.
  std::uint32_t job_cores = 0;
  std::uint32_t job_memory_mb = 0;
  std::uint32_t job_accelerators = 0;
  /// Teams that may submit requests to it; empty means every team.
  std::vector<TeamId> teams;

  friend bool operator==(const Service&, const Service&) = default;
};

/// A group of submitters of one client account; the unit of keys, shares and limits.
struct Team {
  TeamId id;
  ClientAccountId client_account;
  /// Weight of the team when everything is full; above zero.
  double share = 1.0;
  /// Most tasks that it may run at once across the whole fleet.
  std::uint32_t upper_limit = 0;
  /// Whether the team may mark requests as urgent.
  bool may_be_urgent = false;

  friend bool operator==(const Team&, const Team&) = default;
};

/// An entry VM: a process of this system.
struct EntryVm {
  EntryId id;
  ZoneId zone;
  /// "ip:port" for other entries.
  std::string peer_address;
  /// "ip:port" for callers and operators.
  std::string http_address;

  friend bool operator==(const EntryVm&, const EntryVm&) = default;
};

/// An availability zone and the region that it lies in.
struct Zone {
  ZoneId id;
  RegionId region;

  friend bool operator==(const Zone&, const Zone&) = default;
};

/// Where one VM goes in the move out of the building.
struct MoveTarget {
  VmId vm;
  /// The pool that it joins; none when the VM is retired.
  std::optional<PoolId> to_pool;

  friend bool operator==(const MoveTarget&, const MoveTarget&) = default;
};

/// The move out of a site by a date.
struct Move {
  SiteId leave_site;
  WallTime date;
  std::vector<MoveTarget> targets;

  friend bool operator==(const Move&, const Move&) = default;
};

/// What a maintenance plan tries to keep small; each weight is zero or more.
struct Weights {
  double buffer_cost = 1.0;
  double roll_out_time = 1.0;
  double moves = 1.0;
  double share_distance = 1.0;

  friend bool operator==(const Weights&, const Weights&) = default;
};

/// Rules of maintenance waves.
struct MaintenanceRules {
  /// Every VM is rebooted once in this time; zero turns routine maintenance off.
  Duration every = Duration::zero();
  /// Longest that a drain waits for running tasks before it is given up.
  Duration drain_timeout = std::chrono::minutes(2);
  /// A reboot that takes longer counts the VM as failed.
  Duration reboot_timeout = std::chrono::minutes(5);
  /// Most VMs of one rack that a wave may hold at once.
  std::uint32_t max_per_rack = 1;
  /// Failures during one wave at which no further step begins.
  std::uint32_t stop_after_failures = 2;
  Weights weights;

  friend bool operator==(const MaintenanceRules&, const MaintenanceRules&) = default;
};

/// Rules for requests and keys.
struct ServiceRules {
  /// Longest task lease given to an endpoint.
  Duration max_task_lease = std::chrono::seconds(60);
  /// Longest that a lent unit of a limit stays with its borrower without renewal.
  Duration loan_lease = std::chrono::seconds(5);
  /// Assumed bound on the difference of two VMs' wall clocks.
  Duration max_clock_skew = std::chrono::milliseconds(500);
  /// How long an entry that hears neither the log nor a peer goes on honouring keys.
  Duration key_staleness_limit = std::chrono::minutes(10);

  friend bool operator==(const ServiceRules&, const ServiceRules&) = default;
};

/// The whole configuration, keyed by id, so that two inventories compare object by object.
struct Inventory {
  std::map<ZoneId, Zone> zones;
  std::map<ServiceId, Service> services;
  std::map<PoolId, Pool> pools;
  std::map<VmId, Vm> vms;
  std::map<TeamId, Team> teams;
  std::map<EntryId, EntryVm> entries;
  std::optional<Move> move;
  MaintenanceRules maintenance;
  ServiceRules service_rules;

  friend bool operator==(const Inventory&, const Inventory&) = default;
};

}  // namespace chervilspar::inventory
