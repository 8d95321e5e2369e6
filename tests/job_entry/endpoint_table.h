#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "chervilspar/job_entry/links.h"

namespace chervilspar::job_entry {

/// What the endpoints have seen.
struct EndpointCounts {
  std::uint64_t starts = 0;
  std::uint64_t stops = 0;
  std::uint64_t ends = 0;
  std::uint64_t renewals = 0;
  /// The sum of the times from an end until the owner confirmed it.
  Duration until_confirmed{};
  std::uint64_t confirmed = 0;

  friend bool operator==(const EndpointCounts&, const EndpointCounts&) = default;
};

/// Endpoints in memory that run each task for its time and answer like real ones. A thousand of
/// them take little processor time, so that they keep up with an owner that is measured.
class EndpointTable final : public EndpointLink {
 public:
  /// `run_times` gives the run time of a task; a long-running task has none.
  EndpointTable(boost::asio::io_context& io,
                const std::unordered_map<std::uint64_t, Duration>& run_times)
      : io(io), run_times(run_times) {}

  boost::asio::awaitable<RenewalOutcome> RenewLease(jobs::RenewalOrder order,
                                                    Duration timeout) override;
  boost::asio::awaitable<jobs::StartAnswer> Start(jobs::StartOrder order,
                                                  Duration timeout) override;
  boost::asio::awaitable<jobs::OrderOutcome> Stop(jobs::StopOrder order, Duration timeout) override;
  boost::asio::awaitable<jobs::OrderOutcome> Throttle(jobs::ThrottleOrder order,
                                                      Duration timeout) override;

  EndpointCounts counts;
  /// Until the answer to a start that was executed.
  Duration start_answer_time{};

 private:
  struct Run {
    std::uint64_t number = 0;
    TimePoint begins{};
    TimePoint ends{};
  };
  struct Endpoint {
    std::map<jobs::TaskKey, Run> active;
    std::vector<jobs::EndedRun> ended;
    std::map<std::uint64_t, TimePoint> ended_at;
    std::uint64_t next_end = 1;
  };

  boost::asio::awaitable<void> Wait(Duration duration);
  void Advance(Endpoint& endpoint);
  void Confirm(Endpoint& endpoint, std::uint64_t end);
  TimePoint NextEnd(const Endpoint& endpoint) const;

  boost::asio::io_context& io;
  const std::unordered_map<std::uint64_t, Duration>& run_times;
  const SystemClock clock;
  std::unordered_map<std::string, Endpoint> endpoints;
};

}  // namespace chervilspar::job_entry
