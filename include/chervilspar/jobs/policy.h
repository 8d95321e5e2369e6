#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>

#include "chervilspar/base/ids.h"
#include "chervilspar/base/time.h"
#include "chervilspar/jobs/job.h"
#include "chervilspar/jobs/job_terms.h"

namespace chervilspar::jobs {

/// Where jobs are submitted, and which service's endpoints run them.
struct Queue {
  std::string name;
  /// The host name and the path prefix by which callers address the queue.
  std::string host;
  std::string path_prefix;
  /// Callers don't need a key.
  bool is_public = false;
  ServiceId service;
  /// 0 is the highest priority.
  std::uint32_t priority = 0;
  /// The number of failed runs of a task after which its job fails.
  std::uint32_t attempts = 1;
  /// A job is on time if it takes at most this factor times its critical path, plus `target`.
  double slack_factor = 1.0;
  Duration target{};
  std::optional<AdviceTerms> advice;

  friend bool operator==(const Queue&, const Queue&) = default;
};

/// The share and the limit of a team.
struct TeamPolicy {
  TeamId id;
  /// The team's share relative to other teams when capacity is short.
  double weight = 1.0;
  /// Maximum resources of the team's running tasks; 0 in a dimension for no limit.
  Resources cap;

  friend bool operator==(const TeamPolicy&, const TeamPolicy&) = default;
};

/// One version of the operators' configuration for jobs.
struct Policy {
  std::uint64_t version = 0;
  std::map<std::string, Queue> queues;
  std::map<TeamId, TeamPolicy> teams;
  /// Maps the callers' keys to teams.
  std::map<std::string, TeamId> team_of_key;
  /// Pools whose VMs are switched off.
  std::set<ServiceId> standby;

  /// Returns the queue with the longest prefix that matches a caller's host and path, or null if
  /// there is none.
  const Queue* FindQueue(std::string_view host, std::string_view path) const;
  /// Returns the terms of a job of this queue and team; without those of a queue or team that
  /// doesn't exist.
  JobTerms TermsFor(const std::string& queue, const TeamId& team) const;

  friend bool operator==(const Policy&, const Policy&) = default;
};

}  // namespace chervilspar::jobs
