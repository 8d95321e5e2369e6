#pragma once

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "chervilspar/job_entry/links.h"

namespace chervilspar::job_entry {

/// In-memory endpoints that run tasks under leases and fencing tokens, and record violations such
/// as tasks that run twice.
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
    /// When the runs in `ended` ended, by the numbers of their ends.
    std::map<std::uint64_t, TimePoint> ended_at;
    /// The process start in Unix milliseconds; identifies the incarnation.
    std::int64_t born_ms = 1;
    /// The latest end of the leases granted in this incarnation.
    TimePoint lease_end{};
    /// When leases last lapsed.
    TimePoint lapsed_at{};
    bool is_unreachable = false;

    /// Restarts the process under the same name: it loses all runs and state.
    void Restart();
  };

  /// Moves runs that have ended or whose leases have lapsed to the lists of ended runs.
  void Advance();
  bool IsRunning(const jobs::TaskKey& task) const;
  /// Registers a confirmed end. It is ignored if the endpoint's leases have lapsed since the end,
  /// as the owner was then allowed to start the task elsewhere.
  void Confirm(const Endpoint& endpoint, const jobs::EndedRun& ended);

  boost::asio::io_context& io;
  std::map<std::string, Endpoint> endpoints;
  Duration task_time = std::chrono::milliseconds(150);
  std::set<jobs::TaskKey> done;
  /// The tasks in `done` whose end was confirmed in time.
  std::set<jobs::TaskKey> confirmed;
  std::map<jobs::TaskKey, TimePoint> last_start;
  /// Tolerates another start of a task whose successful end was not confirmed before the leases
  /// lapsed. Tests without such faults are stricter: no task starts again after it has succeeded.
  bool may_rerun_after_unreported_end = false;
  /// Whether this run of the task fails at its end; none does if it is empty.
  std::function<bool(const jobs::TaskKey&, std::uint64_t)> fails_run;
  std::vector<std::string> violations;
  std::vector<TimePoint> starts;
};

/// One entry's link to the endpoints.
class FakeEndpointLink final : public EndpointLink {
 public:
  explicit FakeEndpointLink(FakeEndpoints& all) : all(all) {}

  boost::asio::awaitable<RenewalOutcome> RenewLease(jobs::RenewalOrder order,
                                                    Duration timeout) override;
  boost::asio::awaitable<jobs::StartAnswer> Start(jobs::StartOrder order,
                                                  Duration timeout) override;
  boost::asio::awaitable<jobs::OrderOutcome> Stop(jobs::StopOrder order, Duration timeout) override;
  boost::asio::awaitable<jobs::OrderOutcome> Throttle(jobs::ThrottleOrder order,
                                                      Duration timeout) override;

  bool is_disconnected = false;
  /// The additional delay of all answers.
  Duration delay{};
  /// The number of starts sent through this link.
  int starts = 0;

 private:
  /// Gives the endpoint after the link's delay; null after `timeout` if it can't be reached.
  boost::asio::awaitable<FakeEndpoints::Endpoint*> Reach(const std::string& endpoint,
                                                         Duration timeout);
  boost::asio::awaitable<void> Wait(Duration duration);

  FakeEndpoints& all;
};

}  // namespace chervilspar::job_entry
