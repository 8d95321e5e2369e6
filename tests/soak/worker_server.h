#pragma once

#include <map>
#include <string>
#include <vector>

#include "chervilspar/http/server.h"

#include "tests/job_entry/fake_endpoints.h"

namespace chervilspar::soak {

/// How many tasks each step of a job has, for jobs that were handed in. A step waits for the one
/// before it.
using StepCounts = std::map<jobs::JobId, std::vector<std::uint32_t>>;

/// Serves one endpoint of `FakeEndpoints` over HTTP, in the platform's format, and watches that
/// what it is told to start was asked for and has its turn.
class WorkerServer final : public http::Handler {
 public:
  WorkerServer(job_entry::FakeEndpoints& all, const StepCounts& asked, std::string id)
      : all(all), asked(asked), id(std::move(id)), link(all) {}

  boost::asio::awaitable<http::Response> Handle(http::Request request,
                                                std::shared_ptr<http::CancelToken>) override;

 private:
  boost::asio::awaitable<http::Response> RenewLease(const http::Request& request);
  boost::asio::awaitable<http::Response> Start(const http::Request& request);
  void CheckTurn(const jobs::TaskKey& task);

  job_entry::FakeEndpoints& all;
  const StepCounts& asked;
  const std::string id;
  job_entry::FakeEndpointLink link;
};

}  // namespace chervilspar::soak
