#include <string>

#include "jobs/placing_round.h"

namespace chervilspar::jobs {

void PlacingRound::LogWaitReason(JobState& job) {
  const bool is_late = this->wall_ms > job.deadline_ms;
  const bool is_beyond_share = this->wait_reason == WaitReason::kNoCapacity &&
                               job.reported_wait_reason == WaitReason::kBeyondShare;
  if (this->wait_reason == WaitReason::kNone || this->wait_reason == job.reported_wait_reason ||
      is_beyond_share || !is_late) {
    return;
  }
  job.reported_wait_reason = this->wait_reason;
  this->state.ReportEvent({"job_waits",
                           {},
                           job.job.id,
                           "",
                           std::string(ToString(this->wait_reason)) + this->wait_detail +
                               "; late by " + std::to_string(this->wall_ms - job.deadline_ms) +
                               " ms"});
}

void PlacingRound::LogAllHeld(const PoolState& pool) {
  const std::optional<JobId>& holder = this->wanted.FirstHolder();
  this->wait_detail = holder ? ": all of the pool, for " + ToString(*holder) : "";
  for (const ReadyKey& key : pool.ready) {
    this->wait_reason = WaitReason::kHeldForOthers;
    this->LogWaitReason(*this->state.FindJob(key.job));
  }
}

WaitReason PlacingRound::ReasonWithoutEndpoint(const TaskRef& ref) const {
  return this->placement.IsBlockedByCordon(ref) ? WaitReason::kCordoned
                                                : WaitReason::kNoEligibleEndpoint;
}

}  // namespace chervilspar::jobs
