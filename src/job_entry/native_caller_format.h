#pragma once

#include "chervilspar/job_entry/links.h"

namespace chervilspar::job_entry {

/// The product's own HTTP interface for jobs, served in addition to the platform's:
///
///     POST   /v1/queues/QUEUE/jobs/ID   a job; 200 stored, 400, 401, 404, 503, 504
///     GET    /v1/queues/QUEUE/jobs/ID   200 {"phase":"running"}, 410 no such job, 503
///     DELETE /v1/queues/QUEUE/jobs/ID   200 cancelled
///     GET    /v1/queues/QUEUE/jobs      200 {"pending":3}
///
/// Requests carry the caller's key as `Authorization: Bearer KEY`.
class NativeCallerFormat final : public CallerFormat {
 public:
  /// Whether the request's path belongs to this interface.
  static bool Matches(const http::Request& request);

  CallerCall Read(const http::Request& request, const jobs::Policy& policy) const override;
  Result<jobs::Job> ReadJob(const http::Request& request) const override;
  http::Response Accepted() const override;
  http::Response Phase(jobs::JobPhase phase) const override;
  http::Response Pending(std::uint64_t count) const override;
  http::Response NoSuchJob() const override;
};

}  // namespace chervilspar::job_entry
