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

namespace chervilspar::jobs {

/// A queue whose tasks may run only where an outside adviser says so.
struct AdviceTerms {
  /// For one question, and for each endpoint named in it.
  Duration base_time{};
  Duration time_for_each{};
  /// How long an answer may be used.
  Duration validity{};

  friend bool operator==(const AdviceTerms&, const AdviceTerms&) = default;
};

/// Where jobs are handed in and which service's endpoints run them.
struct Queue {
  std::string name;
  /// The host name and the beginning of the path by which callers reach the queue.
  std::string host;
  std::string path_prefix;
  /// Callers need no key.
  bool is_public = false;
  ServiceId service;
  /// 0 goes first.
  std::uint32_t priority = 0;
  /// How often a task may end as failed before its job fails.
  std::uint32_t attempts = 1;
  /// A job is on time within this many times its longest chain of work, plus `target`.
  double slack_factor = 1.0;
  Duration target{};
  std::optional<AdviceTerms> advice;

  friend bool operator==(const Queue&, const Queue&) = default;
};

/// What a team may use.
struct TeamPolicy {
  TeamId id;
  /// Its part when all is full.
  double weight = 1.0;
  /// Most that it may have running; 0 in a dimension means no limit there.
  Resources cap;

  friend bool operator==(const TeamPolicy&, const TeamPolicy&) = default;
};

/// The operators' rules as one version.
struct Policy {
  std::uint64_t version = 0;
  std::map<std::string, Queue> queues;
  std::map<TeamId, TeamPolicy> teams;
  /// Which team a caller's key belongs to.
  std::map<std::string, TeamId> team_of_key;
  /// Pools whose VMs are switched off.
  std::set<ServiceId> standby;

  /// The queue for a caller's host and path: that with the longest matching prefix. Null when
  /// there is none.
  const Queue* FindQueue(std::string_view host, std::string_view path) const;

  friend bool operator==(const Policy&, const Policy&) = default;
};

}  // namespace chervilspar::jobs
