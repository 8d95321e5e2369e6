#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include "chervilspar/http/server.h"

namespace chervilspar::http {

const char* ToString(BadInput fault) {
  switch (fault) {
    case BadInput::kMalformed:
      return "malformed-request";
    case BadInput::kHeaderTooLarge:
      return "header-too-large";
    case BadInput::kBodyTooLarge:
      return "body-too-large";
    case BadInput::kDuplicateHeader:
      return "duplicate-header";
    case BadInput::kChunked:
      return "length-required";
    case BadInput::kTruncated:
      return "truncated-request";
    case BadInput::kTimedOut:
      return "timed-out";
    case BadInput::kTooManyConnections:
      return "too-many-connections";
    case BadInput::kTooManyBytes:
      return "too-many-bytes";
  }
  return "malformed-request";
}

Response ErrorResponse(unsigned status, std::string_view code, std::string_view message,
                       std::string_view request_id) {
  boost::json::object body{{"code", code}, {"message", message}};
  if (!request_id.empty()) {
    body["request_id"] = request_id;
  }
  return {status, {{"Content-Type", "application/json"}}, boost::json::serialize(body)};
}

}  // namespace chervilspar::http
