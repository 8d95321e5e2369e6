#include "chervilspar/jobs/endpoint.h"

#include <algorithm>

namespace chervilspar::jobs {

bool EndpointRecord::HasLabel(const std::string& label) const {
  return std::find(this->labels.begin(), this->labels.end(), label) != this->labels.end();
}

const char* ToString(RunEnd end) {
  switch (end) {
    case RunEnd::kDone:
      return "done";
    case RunEnd::kFailed:
      return "failed";
    case RunEnd::kStopped:
      return "stopped";
    case RunEnd::kLeaseLapsed:
      return "lease_lapsed";
    case RunEnd::kGangBroken:
      return "gang_broken";
    case RunEnd::kGangIncomplete:
      return "gang_incomplete";
  }
  return "unknown";
}

const char* ToString(OrderOutcome outcome) {
  switch (outcome) {
    case OrderOutcome::kDone:
      return "done";
    case OrderOutcome::kTokenTooLow:
      return "token_too_low";
    case OrderOutcome::kRunTooOld:
      return "run_too_old";
    case OrderOutcome::kTooLate:
      return "too_late";
    case OrderOutcome::kNoCapacity:
      return "no_room";
    case OrderOutcome::kBadTicket:
      return "bad_ticket";
    case OrderOutcome::kRefused:
      return "refused";
    case OrderOutcome::kOtherIncarnation:
      return "other_life";
    case OrderOutcome::kNoAnswer:
      return "no_answer";
    case OrderOutcome::kNotSent:
      return "not_sent";
    case OrderOutcome::kPayloadMissing:
      return "payload_missing";
    case OrderOutcome::kWithdrawn:
      return "withdrawn";
  }
  return "unknown";
}

}  // namespace chervilspar::jobs
