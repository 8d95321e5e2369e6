#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "chervilspar/base/time.h"
#include "chervilspar/jobs/endpoint.h"
#include "chervilspar/jobs/scheduler_options.h"

namespace chervilspar::jobs {

/// Renews the leases of active runs while a new owner still reads the jobs, which it doesn't need
/// for that. Has no I/O and no clock.
///
/// On a slow link, reading the jobs takes as long as a lease. Without renewals, all runs that the
/// predecessor started would lapse in the meantime and be restarted at the same time.
///
/// Only leases are renewed, and no end is confirmed: the scheduler requests the status again and
/// processes it. The scheduler has to take over `LeaseEnds` as lower bounds of its lease ends.
class InterimLeases {
 public:
  InterimLeases(const SchedulerOptions& options, std::uint64_t token)
      : options(options), token(token) {}

  void SetEndpoints(const std::vector<EndpointRecord>& endpoints);
  /// No successor existed before `proof`. Limits renewals as `Scheduler::SetProof` does.
  void SetProof(TimePoint proof);
  /// Returns the orders due at `now`: first a status request to each endpoint, then renewals for
  /// endpoints with active runs.
  std::vector<RenewalOrder> Plan(TimePoint now);
  /// `report`: the endpoint's answer, or nothing if there was none.
  void OnAnswered(const std::string& endpoint, const std::optional<RenewalReport>& report,
                  TimePoint now);
  /// Whether no first status request is pending.
  bool IsPollDone() const;
  /// The number of endpoints whose leases have been renewed.
  std::size_t RenewedCount() const { return this->lease_ends.size(); }
  /// For each renewed endpoint, the time on this process's clock by which its leases have certainly
  /// lapsed.
  const std::map<std::string, TimePoint>& LeaseEnds() const { return this->lease_ends; }

 private:
  struct EndpointLease {
    SocketAddress address;
    /// Of the incarnation that answered last; 0 if none has.
    std::int64_t born_ms = 0;
    std::optional<std::int64_t> clock_ms;
    TimePoint clock_at{};
    bool has_runs = true;
    bool is_request_pending = false;
    TimePoint next_request{};
  };

  RenewalOrder OrderFor(const std::string& id, EndpointLease& lease, TimePoint now);

  const SchedulerOptions options;
  const std::uint64_t token;
  TimePoint proof{};
  std::map<std::string, EndpointLease> endpoints;
  std::map<std::string, TimePoint> lease_ends;
};

}  // namespace chervilspar::jobs
