#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "chervilspar/base/time.h"
#include "chervilspar/jobs/endpoint.h"
#include "chervilspar/jobs/order_tokens.h"
#include "chervilspar/jobs/scheduler_options.h"

namespace chervilspar::jobs {

/// Leases on one endpoint that `InterimLeases` has renewed.
struct InterimLease {
  /// When they have certainly lapsed, by this process's clock.
  TimePoint end{};
  /// The incarnation that they were computed for, as in `EndpointRecord`.
  std::int64_t born_ms = 0;

  friend bool operator==(const InterimLease&, const InterimLease&) = default;
};

/// Renews the leases of active runs while a new owner still reads the jobs, which it doesn't need
/// for that. Has no I/O and no clock.
///
/// On a slow link, reading the jobs takes as long as a lease. Without renewals, all runs that the
/// predecessor started would lapse in the meantime and be restarted at the same time.
///
/// Only leases are renewed, and no end is confirmed: the scheduler requests the status again and
/// processes it. The scheduler has to take over `Leases` as lower bounds of its lease ends.
class InterimLeases {
 public:
  /// `token`: the fencing token of the term.
  InterimLeases(const SchedulerOptions& options, std::uint64_t token)
      : options(options), tokens(token, OrderTokens::Part::kInterimLeases) {}

  void SetEndpoints(const std::vector<EndpointRecord>& endpoints);
  /// No successor existed before `proof`. Limits renewals as `Scheduler::SetProof` does.
  void SetProof(TimePoint proof);
  /// Returns the orders due at `now`: first a status request to each endpoint, then renewals for
  /// endpoints with active runs.
  std::vector<RenewalOrder> Plan(TimePoint now);
  /// `report`: the endpoint's answer to `order`, or nothing if there was none.
  void OnAnswered(const RenewalOrder& order, const std::optional<RenewalReport>& report,
                  TimePoint now);
  /// The endpoint has refused an order, as it knows a higher token. Whether that is a later
  /// owner's.
  bool IsTokenOfLaterOwner(const RenewalOrder& refused) const;
  /// Whether no first status request is pending.
  bool IsPollDone() const;
  /// The number of endpoints whose leases have been renewed.
  std::size_t RenewedCount() const { return this->leases.size(); }
  /// By renewed endpoint.
  const std::map<std::string, InterimLease>& Leases() const { return this->leases; }

 private:
  struct EndpointLease {
    SocketAddress address;
    /// The token of its orders; a new one is issued when it has restarted.
    std::uint64_t token = 0;
    /// Its incarnation has answered an order with `token`, and refuses all earlier ones.
    bool is_fenced = false;
    /// Of the incarnation that answered last; 0 if none has.
    std::int64_t born_ms = 0;
    std::optional<std::int64_t> clock_ms;
    TimePoint clock_at{};
    bool has_runs = true;
    bool is_request_pending = false;
    TimePoint next_request{};
  };

  /// Processes an answer of another incarnation than the one that was known.
  void OnRestart(const std::string& id, EndpointLease& lease, TimePoint now);
  RenewalOrder OrderFor(const std::string& id, EndpointLease& lease, TimePoint now);

  const SchedulerOptions options;
  OrderTokens tokens;
  TimePoint proof{};
  std::map<std::string, EndpointLease> endpoints;
  std::map<std::string, InterimLease> leases;
};

}  // namespace chervilspar::jobs
