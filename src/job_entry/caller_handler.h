#pragma once

#include <memory>

#include "chervilspar/http/server.h"

#include "job_entry/admission_view.h"
#include "job_entry/job_queries.h"
#include "job_entry/job_writer.h"
#include "job_entry/native_caller_format.h"
#include "job_entry/operator_view.h"

namespace chervilspar::job_entry {

/// Handles callers' submissions, cancellations and queries.
class CallerHandler final : public http::Handler {
 public:
  /// `admission` may be null, which admits every job.
  CallerHandler(const Context& context, OperatorView& operators, JobWriter& writer,
                JobQueries& queries, AdmissionView* admission = nullptr);

  boost::asio::awaitable<http::Response> Handle(http::Request request,
                                                std::shared_ptr<http::CancelToken> caller) override;

 private:
  /// The error response for a call with an invalid queue, key, method or id; nothing if it is
  /// valid.
  std::optional<http::Response> Reject(const CallerCall& call, const jobs::Policy& policy) const;
  boost::asio::awaitable<http::Response> Submit(const http::Request& request, CallerCall call,
                                                const CallerFormat& format, TeamId team,
                                                std::string queue, ServiceId service);
  /// Whether cordons keep this job from starting and it has not been accepted before.
  boost::asio::awaitable<bool> IsBlockedByCordons(jobs::JobId id);
  boost::asio::awaitable<http::Response> Find(CallerCall call, const CallerFormat& format);
  boost::asio::awaitable<http::Response> Cancel(CallerCall call, const CallerFormat& format);
  boost::asio::awaitable<http::Response> CountPending(std::string queue,
                                                      const CallerFormat& format);
  const CallerFormat& FormatFor(const http::Request& request) const;
  void Count(const char* call, unsigned status);

  const Context context;
  OperatorView& operators;
  JobWriter& writer;
  JobQueries& queries;
  AdmissionView* const admission;
  NativeCallerFormat native_format;
};

/// An error response with a `Retry-After` header of `seconds`, for a request that had no effect.
http::Response RetryLaterResponse(unsigned status, std::string_view code, std::string_view message,
                                  int seconds);

}  // namespace chervilspar::job_entry
