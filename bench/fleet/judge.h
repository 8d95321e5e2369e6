#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "bench/fleet/call_record.h"
#include "bench/fleet/fleet.h"

namespace chervilspar::scenario {

/// What callers and endpoints saw, counted. Nothing here comes from the entries' own word.
struct Counters {
  /// Attempts that reached an entry.
  std::int64_t sent = 0;
  std::int64_t completed = 0;
  std::int64_t not_run = 0;
  std::int64_t may_have_run = 0;
  /// Requests that are not idempotent and were started more than once.
  std::int64_t ran_twice = 0;
  /// Connections that ended within a request, other than by a kill of their entry, and tasks that
  /// a reboot cut.
  std::int64_t cut_in_flight = 0;
  /// Answers that are not those of their request, and requests called "not run" that were started.
  std::int64_t wrong_answers = 0;
  /// Tasks at once above a team's upper limit, summed over teams.
  std::int64_t over_limit = 0;
  /// Moments at which a pool had fewer available VMs than its budget, other than by failures.
  std::int64_t below_budget = 0;
  /// Tasks started for a withdrawn key after the time that the withdrawal may take.
  std::int64_t after_withdrawal = 0;

  friend bool operator==(const Counters&, const Counters&) = default;

  /// Whether all that must be zero is.
  bool IsClean() const;
  /// One JSON object on one line.
  std::string ToJson() const;
};

/// One task in an endpoint's ledger.
struct TaskLine {
  RequestId request;
  TeamId team;
  ServiceId service;
  VmId vm;
  std::int64_t start_us = 0;
  /// The largest value while the task runs.
  std::int64_t end_us = 0;
  std::string outcome;
};

/// A change of an endpoint's availability.
struct AvailabilityChange {
  VmId vm;
  std::int64_t at_us = 0;
  bool is_available = true;
  std::string cause;
};

std::vector<TaskLine> ParseLedger(const std::string& lines);
std::vector<AvailabilityChange> ParseAvailability(const std::string& lines);

/// Everything that the counters are made from.
struct Evidence {
  std::vector<CallRecord> calls;
  std::vector<TaskLine> tasks;
  std::vector<AvailabilityChange> availability;
  std::vector<Kill> kills;
  std::map<TeamId, std::int64_t> withdrawals;
  inventory::Inventory inventory;
};

Counters Count(const Evidence& evidence);

/// Most tasks of a team that ran at once.
std::int64_t PeakOf(const std::vector<TaskLine>& tasks, const TeamId& team);

}  // namespace chervilspar::scenario
