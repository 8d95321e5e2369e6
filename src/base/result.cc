#include "chervilspar/base/result.h"

namespace chervilspar {

const char* ToString(ErrorCode code) {
  switch (code) {
    case ErrorCode::kInvalidArgument:
      return "invalid-argument";
    case ErrorCode::kNotFound:
      return "not-found";
    case ErrorCode::kConflict:
      return "conflict";
    case ErrorCode::kUnauthenticated:
      return "unauthenticated";
    case ErrorCode::kPermissionDenied:
      return "permission-denied";
    case ErrorCode::kResourceExhausted:
      return "resource-exhausted";
    case ErrorCode::kUnavailable:
      return "unavailable";
    case ErrorCode::kDeadlineExceeded:
      return "deadline-exceeded";
    case ErrorCode::kDataLoss:
      return "data-loss";
    case ErrorCode::kMalformed:
      return "malformed";
    case ErrorCode::kInternal:
      return "internal";
  }
  return "internal";
}

std::string ToString(const Reason& reason) {
  std::string text = ToString(reason.code);
  if (!reason.field.empty()) {
    text += ": " + reason.field;
  }
  return text + ": " + reason.message;
}

}  // namespace chervilspar
