#include "chervilspar/admission/refusal.h"

namespace chervilspar::admission {

namespace {
constexpr int kHttpForbidden = 403;
constexpr int kHttpConflict = 409;
constexpr int kHttpTooManyRequests = 429;
constexpr int kHttpServiceUnavailable = 503;
}  // namespace

const char* ToString(RefusalCode code) {
  switch (code) {
    case RefusalCode::kOverloaded:
      return "overloaded";
    case RefusalCode::kDeadlineUnreachable:
      return "deadline-unreachable";
    case RefusalCode::kUnfit:
      return "unfit";
    case RefusalCode::kNoEndpoint:
      return "no-endpoint";
    case RefusalCode::kUnknownTeam:
      return "unknown-team";
    case RefusalCode::kUrgentNotAllowed:
      return "urgent-not-allowed";
    case RefusalCode::kRetriesExhausted:
      return "retries-exhausted";
  }
  return "overloaded";
}

int HttpStatus(RefusalCode code) {
  switch (code) {
    case RefusalCode::kOverloaded:
      return kHttpTooManyRequests;
    case RefusalCode::kUnfit:
      return kHttpConflict;
    case RefusalCode::kUnknownTeam:
    case RefusalCode::kUrgentNotAllowed:
      return kHttpForbidden;
    case RefusalCode::kDeadlineUnreachable:
    case RefusalCode::kNoEndpoint:
    case RefusalCode::kRetriesExhausted:
      return kHttpServiceUnavailable;
  }
  return kHttpServiceUnavailable;
}

}  // namespace chervilspar::admission
