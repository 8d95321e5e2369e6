#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "chervilspar/job_entry/links.h"

namespace chervilspar::job_entry {

/// Endpoints that run tasks under leases and tokens, in memory, and watch that no task runs twice.
class FakeEndpoints {
 public:
  explicit FakeEndpoints(boost::asio::io_context& io) : io(io) {}

  struct Run {
    std::uint64_t number = 0;
    TimePoint ends{};
    TimePoint lease_end{};
  };
  struct Endpoint {
    std::uint64_t token = 0;
    std::map<jobs::TaskKey, Run> active;
    std::map<jobs::TaskKey, std::uint64_t> last_run;
    std::vector<jobs::EndedRun> ended;
    std::uint64_t next_end = 1;
    bool is_dark = false;
  };

  /// Brings what has ended or lapsed by now to the lists.
  void Advance();
  bool IsRunning(const jobs::TaskKey& task) const;

  boost::asio::io_context& io;
  std::map<std::string, Endpoint> endpoints;
  Duration task_time = std::chrono::milliseconds(150);
  std::set<jobs::TaskKey> done;
  std::vector<std::string> violations;
  std::vector<TimePoint> starts;
};

/// One entry's way to the endpoints.
class FakeEndpointLink final : public EndpointLink {
 public:
  explicit FakeEndpointLink(FakeEndpoints& all) : all(all) {}

  boost::asio::awaitable<HeldOutcome> Hold(jobs::HoldOrder order, Duration timeout) override;
  boost::asio::awaitable<jobs::OrderOutcome> Start(jobs::StartOrder order,
                                                   Duration timeout) override;
  boost::asio::awaitable<jobs::OrderOutcome> Stop(jobs::StopOrder order, Duration timeout) override;
  boost::asio::awaitable<jobs::OrderOutcome> Pace(jobs::PaceOrder order, Duration timeout) override;

  bool is_cut = false;

 private:
  boost::asio::awaitable<FakeEndpoints::Endpoint*> Reach(const std::string& endpoint,
                                                         Duration timeout);
  boost::asio::awaitable<void> Wait(Duration span);

  FakeEndpoints& all;
};

}  // namespace chervilspar::job_entry
