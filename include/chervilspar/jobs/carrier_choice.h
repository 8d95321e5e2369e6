#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "chervilspar/base/ids.h"
#include "chervilspar/base/time.h"
#include "chervilspar/jobs/endpoint.h"

namespace chervilspar::jobs {

/// An entry that forwards the owner's orders to endpoints.
struct Carrier {
  /// Where it accepts the orders ("ip:port").
  std::string address;
  ZoneId zone;

  friend auto operator<=>(const Carrier&, const Carrier&) = default;
};

/// Limits and timeouts of `CarrierChoice`.
struct CarrierOptions {
  /// Up to this many registered endpoints per core, the owner sends all orders directly, because
  /// forwarding through another entry adds about 10 ms to each order.
  double endpoints_per_core = 200;
  /// After this many unanswered orders in a row, a carrier is skipped for `avoided`.
  int misses = 2;
  Duration avoided = std::chrono::seconds(2);

  friend bool operator==(const CarrierOptions&, const CarrierOptions&) = default;
};

/// Selects the entry that forwards the orders to an endpoint. Has no I/O and no clock.
///
/// Hundreds of endpoints need thousands of starts and renewals a second. Sent by the owner alone,
/// these exhaust its processor and its link, renewals queue behind starts, and leases of tasks that
/// serve users lapse.
///
/// An endpoint's orders go through one entry of its own zone, so that a network partition separates
/// neither from the other, and the traffic between the zones is batched. If the zone has no usable
/// entry, the owner sends the orders itself.
class CarrierChoice {
 public:
  /// `cores`: the processor cores available to the owner on its VM; may be a fraction.
  CarrierChoice(CarrierOptions options, double cores) : options(options), cores(cores) {}

  void SetCarriers(const std::vector<Carrier>& carriers);
  void SetEndpoints(const std::vector<EndpointRecord>& endpoints);
  void UpdateEndpoints(const EndpointChanges& changes);
  /// Returns the address of the entry that forwards orders to `endpoint` at `now`, or nothing if
  /// the owner sends them itself.
  std::optional<std::string> Choose(const std::string& endpoint, TimePoint now) const;
  /// The carrier's orders were answered: clears its count of unanswered ones.
  void OnAnswered(const std::string& address);
  /// An order through the carrier got no answer in time.
  void OnUnanswered(const std::string& address, TimePoint now);
  /// The carrier returned an endpoint's answer after its timeout. If most carriers are skipped at
  /// that moment, the owner's own link is the slow part, and the carrier is used again.
  void OnAnsweredLate(const std::string& address, TimePoint now);
  /// Whether the entry at `address` is still a carrier.
  bool IsCarrier(const std::string& address) const { return this->health.contains(address); }

 private:
  struct Health {
    int misses = 0;
    TimePoint avoided_until{};
  };

  struct KnownEndpoint {
    ZoneId zone;
    /// The carriers of its zone, the preferred one first. Computed when first needed after a change
    /// of the carriers, as an owner chooses thousands of times a second.
    std::vector<const std::string*> order;
    std::uint64_t carriers_version = 0;
  };

  bool AreMostAvoided(TimePoint now) const;
  void Order(const std::string& id, KnownEndpoint& endpoint) const;

  const CarrierOptions options;
  const double cores;
  std::map<ZoneId, std::vector<std::string>> carriers_of_zone;
  std::uint64_t carriers_version = 1;
  mutable std::unordered_map<std::string, KnownEndpoint> endpoints;
  std::map<std::string, Health> health;
};

}  // namespace chervilspar::jobs
