#pragma once

#include <cstdint>
#include <optional>

#include "chervilspar/base/ids.h"
#include "chervilspar/base/time.h"
#include "chervilspar/jobs/resources.h"

namespace chervilspar::jobs {

/// The terms of an external adviser that decides on which endpoints a queue's tasks may run.
struct AdviceTerms {
  /// The time that the adviser takes for a request, without the time for its endpoints.
  Duration base_time{};
  /// The additional time for each endpoint named in the request.
  Duration time_per_endpoint{};
  /// How long a response stays valid.
  Duration validity{};

  friend bool operator==(const AdviceTerms&, const AdviceTerms&) = default;
};

/// The operators' rules for the jobs of a queue.
struct QueueTerms {
  /// The version of the rules.
  std::uint64_t version = 0;
  ServiceId service;
  std::uint32_t priority = 0;
  std::uint32_t attempts = 1;
  double slack_factor = 1.0;
  Duration target{};
  std::optional<AdviceTerms> advice;

  friend bool operator==(const QueueTerms&, const QueueTerms&) = default;
};

/// The operators' rules for the jobs of a team.
struct TeamTerms {
  /// The version of the rules.
  std::uint64_t version = 0;
  double weight = 1.0;
  Resources cap;

  friend bool operator==(const TeamTerms&, const TeamTerms&) = default;
};

/// The operators' rules for one job.
///
/// Stored with the job: when another entry becomes the owner, the rules may no longer contain the
/// job's queue or team. Accepted jobs go on under the last rules that did.
struct JobTerms {
  std::optional<QueueTerms> queue;
  std::optional<TeamTerms> team;

  /// Replaces the parts of which `other` has a newer version that differs in more than the version.
  void Update(const JobTerms& other);
  bool IsEmpty() const { return !this->queue && !this->team; }

  friend bool operator==(const JobTerms&, const JobTerms&) = default;
};

}  // namespace chervilspar::jobs
