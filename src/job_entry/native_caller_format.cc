#include "job_entry/native_caller_format.h"

#include <boost/json.hpp>

#include "chervilspar/http/server.h"

namespace chervilspar::job_entry {

namespace json = boost::json;

namespace {

constexpr std::string_view kPrefix = "/v1/queues/";
constexpr std::string_view kBearer = "Bearer ";
constexpr unsigned kGone = 410;
/// Positions of the segments in "v1/queues/QUEUE/jobs/ID".
constexpr std::size_t kQueueSegment = 2;
constexpr std::size_t kJobsSegment = 3;
constexpr std::size_t kIdSegment = 4;

http::Response JsonResponse(const json::object& body) {
  http::Response response;
  response.headers.Add("Content-Type", "application/json");
  response.body = json::serialize(body);
  return response;
}

}  // namespace

bool NativeCallerFormat::Matches(const http::Request& request) {
  return http::PathOf(request.target).starts_with(kPrefix);
}

CallerCall NativeCallerFormat::Read(const http::Request& request,
                                    const jobs::Policy& policy) const {
  CallerCall call;
  const std::vector<std::string_view> segments = http::PathSegments(request.target);
  if (segments.size() <= kJobsSegment || segments[kJobsSegment] != "jobs") {
    return call;
  }
  const auto queue = policy.queues.find(std::string(segments[kQueueSegment]));
  call.queue = queue == policy.queues.end() ? nullptr : &queue->second;
  const std::string_view key = request.headers.Find("Authorization").value_or("");
  call.key = std::string(key.starts_with(kBearer) ? key.substr(kBearer.size()) : "");
  if (segments.size() > kIdSegment) {
    call.id_text = std::string(segments[kIdSegment]);
    call.id = jobs::ParseJobId(call.id_text);
  }
  call.action = ActionOf(request.method, !call.id_text.empty());
  return call;
}

Result<jobs::Job> NativeCallerFormat::ReadJob(const http::Request& request) const {
  return jobs::ParseJobBody(request.body);
}

http::Response NativeCallerFormat::Accepted() const { return JsonResponse({}); }

http::Response NativeCallerFormat::Phase(jobs::JobPhase phase) const {
  return JsonResponse({{"phase", jobs::ToString(phase)}});
}

http::Response NativeCallerFormat::Pending(std::uint64_t count) const {
  return JsonResponse({{"pending", count}});
}

http::Response NativeCallerFormat::NoSuchJob() const {
  return http::ErrorResponse(kGone, "not_found", "There is no such job, and there was none.");
}

}  // namespace chervilspar::job_entry
