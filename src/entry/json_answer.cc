#include "entry/json_answer.h"

#include <boost/json/serialize.hpp>

namespace chervilspar::entry {

http::Response JsonAnswer(const boost::json::value& body, unsigned status) {
  http::Response response;
  response.status = status;
  response.headers.Add("Content-Type", "application/json");
  response.body = boost::json::serialize(body);
  return response;
}

http::Response ReasonAnswer(const Reason& reason, unsigned status) {
  return JsonAnswer(
      {{"code", ToString(reason.code)}, {"field", reason.field}, {"message", reason.message}},
      status);
}

}  // namespace chervilspar::entry
