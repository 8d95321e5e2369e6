#pragma once

#include <memory>

#include "chervilspar/http/server.h"

#include "job_entry/job_queries.h"
#include "job_entry/job_writer.h"
#include "job_entry/native_caller_format.h"
#include "job_entry/operator_view.h"

namespace chervilspar::job_entry {

/// Takes callers' jobs, cancellations and questions.
class CallerHandler final : public http::Handler {
 public:
  CallerHandler(const Context& context, OperatorView& operators, JobWriter& writer,
                JobQueries& questions);

  boost::asio::awaitable<http::Response> Handle(http::Request request,
                                                std::shared_ptr<http::CancelToken> caller) override;

 private:
  /// What is wrong with the call before it is looked at more closely; nothing when it may go on.
  std::optional<http::Response> Refuse(const CallerCall& call, const jobs::Policy& policy) const;
  boost::asio::awaitable<http::Response> Submit(const http::Request& request, CallerCall call,
                                                const CallerFormat& format, TeamId team,
                                                std::string queue, ServiceId service);
  /// Nothing could be started for this job, and nobody was told that it was accepted.
  boost::asio::awaitable<bool> IsHeldByCordons(jobs::JobId id);
  boost::asio::awaitable<http::Response> Find(CallerCall call, const CallerFormat& format);
  boost::asio::awaitable<http::Response> Cancel(CallerCall call, const CallerFormat& format);
  boost::asio::awaitable<http::Response> CountPending(std::string queue,
                                                      const CallerFormat& format);
  const CallerFormat& FormatFor(const http::Request& request) const;
  void Count(const char* call, unsigned status);

  const Context context;
  OperatorView& operators;
  JobWriter& writer;
  JobQueries& questions;
  NativeCallerFormat own;
};

/// An answer that says that nothing was done and when to come back.
http::Response ComeBack(unsigned status, std::string_view code, std::string_view message,
                        int seconds);

}  // namespace chervilspar::job_entry
