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

/// Keeps alive what runs at the endpoints while a successor still reads the jobs, of which it needs
/// no word for that. Pure.
///
/// The load that it answers: a link on which reading the jobs takes as long as a lease. All that
/// its predecessor had started lapses meanwhile and starts anew at once.
///
/// Only leases are renewed, and no end is confirmed: what the endpoints tell is taken in by the
/// scheduler, which asks again. Its reckoning of leases has to hold `LeaseEnds`.
class InterimLeases {
 public:
  InterimLeases(const SchedulerOptions& options, std::uint64_t token)
      : options(options), token(token) {}

  void SetEndpoints(const std::vector<EndpointRecord>& endpoints);
  /// Until this time there was certainly no successor; renewals as with `Scheduler::SetProof`.
  void SetProof(TimePoint proof);
  /// What is to be sent now: a look at each endpoint, then renewals where something runs.
  std::vector<RenewalOrder> Plan(TimePoint now);
  /// `report`: nothing if there was no answer.
  void OnAnswered(const std::string& endpoint, const std::optional<RenewalReport>& report,
                  TimePoint now);
  /// Whether no look is under way any more.
  bool IsPollDone() const;
  std::size_t RenewedCount() const { return this->lease_ends.size(); }
  /// By our clock, when the leases have certainly lapsed that were given here.
  const std::map<std::string, TimePoint>& LeaseEnds() const { return this->lease_ends; }

 private:
  struct Held {
    SocketAddress address;
    std::optional<std::int64_t> clock_ms;
    TimePoint clock_at{};
    bool has_runs = true;
    bool is_asked = false;
    TimePoint due{};
  };

  RenewalOrder OrderFor(const std::string& id, Held& held, TimePoint now);

  const SchedulerOptions options;
  const std::uint64_t token;
  TimePoint proof{};
  std::map<std::string, Held> endpoints;
  std::map<std::string, TimePoint> lease_ends;
};

}  // namespace chervilspar::jobs
