#include <string>

#include "jobs/placing_round.h"

namespace chervilspar::jobs {

namespace {

/// A lack of capacity is no news for a job that is known to wait behind others.
bool IsKnown(WaitReason reason, WaitReason reported) {
  const bool waits_behind_others =
      reported == WaitReason::kBeyondShare || reported == WaitReason::kHeldForOthers;
  return reason == reported || (reason == WaitReason::kNoCapacity && waits_behind_others);
}

std::string Describe(const HeldEndpoints::Refusal& refusal, TimePoint now) {
  return ": " + refusal.endpoint + " for " + ToString(refusal.holder) +
         ", which is expected to find room there in " +
         std::to_string(ToMilliseconds(refusal.room - now)) + " ms";
}

}  // namespace

void PlacingRound::LogWaitReason(JobState& job) {
  const bool is_late = this->wall_ms > job.deadline_ms;
  if (this->wait_reason == WaitReason::kNone ||
      IsKnown(this->wait_reason, job.reported_wait_reason) || !is_late) {
    return;
  }
  job.reported_wait_reason = this->wait_reason;
  const bool is_held = this->wait_reason == WaitReason::kHeldForOthers && this->refusal;
  this->state.ReportEvent({"job_waits",
                           {},
                           job.job.id,
                           "",
                           std::string(ToString(this->wait_reason)) +
                               (is_held ? Describe(*this->refusal, this->now) : "") + "; late by " +
                               std::to_string(this->wall_ms - job.deadline_ms) + " ms"});
}

WaitReason PlacingRound::ReasonToWait(const TaskRef& ref, Prospect prospect) const {
  switch (prospect) {
    case Prospect::kRoom:
      return this->refusal ? WaitReason::kHeldForOthers : WaitReason::kNoCapacity;
    case Prospect::kLongRunningTasks:
      return WaitReason::kLongRunningTasks;
    case Prospect::kNone:
      break;
  }
  return this->placement.IsBlockedByCordon(ref) ? WaitReason::kCordoned
                                                : WaitReason::kNoEligibleEndpoint;
}

}  // namespace chervilspar::jobs
