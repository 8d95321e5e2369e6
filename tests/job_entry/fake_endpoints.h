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
    /// When the runs of `ended` ended, by their numbers.
    std::map<std::uint64_t, TimePoint> ended_at;
    /// This life's beginning, in Unix milliseconds.
    std::int64_t born_ms = 1;
    /// All leases given in this life end by then.
    TimePoint lease_end{};
    /// When the leases last lapsed.
    TimePoint lapsed_at{};
    bool is_unreachable = false;

    /// The process starts anew under the same name: it runs and knows nothing.
    void Restart();
  };

  /// Brings what has ended or lapsed by now to the lists.
  void Advance();
  bool IsRunning(const jobs::TaskKey& task) const;
  /// An end was confirmed. It counts unless the endpoint's leases lapsed since; then the owner was
  /// free to start the task elsewhere.
  void Confirm(const Endpoint& endpoint, const jobs::EndedRun& ended);

  boost::asio::io_context& io;
  std::map<std::string, Endpoint> endpoints;
  Duration task_time = std::chrono::milliseconds(150);
  std::set<jobs::TaskKey> done;
  /// Those of them whose end was confirmed in time.
  std::set<jobs::TaskKey> confirmed;
  std::map<jobs::TaskKey, TimePoint> last_start;
  /// A task may start again after an end that nobody was told of before the leases lapsed. Tests
  /// without such faults are stricter: no task starts again after it has ended well.
  bool may_rerun_after_unreported_end = false;
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

  bool is_disconnected = false;
  /// What the endpoints answer comes this much later.
  Duration delay{};
  /// Starts that were given through this link.
  int starts = 0;

 private:
  boost::asio::awaitable<FakeEndpoints::Endpoint*> Reach(const std::string& endpoint,
                                                         Duration timeout);
  boost::asio::awaitable<void> Wait(Duration span);

  FakeEndpoints& all;
};

}  // namespace chervilspar::job_entry
