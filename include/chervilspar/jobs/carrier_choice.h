#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "chervilspar/base/ids.h"
#include "chervilspar/base/time.h"
#include "chervilspar/jobs/endpoint.h"

namespace chervilspar::jobs {

/// An entry that carries orders to endpoints for the owner.
struct Carrier {
  /// Where it takes them ("ip:port").
  std::string address;
  ZoneId zone;

  friend auto operator<=>(const Carrier&, const Carrier&) = default;
};

/// Times and limits of the choice.
struct CarrierOptions {
  /// Up to this many registered endpoints for each of its cores the owner gives all orders itself:
  /// a way through another entry costs some 10 ms for each order.
  double endpoints_per_core = 200;
  /// So many orders in a row without answer, and a carrier is passed over.
  int misses = 2;
  Duration avoided = std::chrono::seconds(2);

  friend bool operator==(const CarrierOptions&, const CarrierOptions&) = default;
};

/// Decides which entry carries the orders to an endpoint. Pure.
///
/// The load that it answers: thousands of starts and renewals a second at hundreds of endpoints.
/// Given by the owner alone, they use up its processor and its link, renewals come late behind
/// starts, and leases of tasks that serve users lapse.
///
/// An endpoint's orders go through one entry of its own zone, so that a cut leaves or takes both
/// together, and what goes between the zones is packed. Without such an entry the owner gives them
/// itself.
class CarrierChoice {
 public:
  /// `cores`: the part of the processor that the owner's VM gives.
  CarrierChoice(CarrierOptions options, double cores) : options(options), cores(cores) {}

  void SetCarriers(const std::vector<Carrier>& carriers);
  void SetEndpoints(const std::vector<EndpointRecord>& endpoints);
  /// The address of the entry that carries orders to `endpoint` now; nothing: the owner itself.
  std::optional<std::string> Choose(const std::string& endpoint, TimePoint now) const;
  void OnAnswered(const std::string& address);
  void OnUnanswered(const std::string& address, TimePoint now);
  /// It brought an endpoint's answer after that had been given up on. Where most carriers are
  /// passed over at once, what was slow is this entry's own link, which they are to relieve.
  void OnAnsweredLate(const std::string& address, TimePoint now);
  /// Whether an entry still carries.
  bool IsCarrier(const std::string& address) const { return this->health.contains(address); }

 private:
  struct Health {
    int misses = 0;
    TimePoint avoided_until{};
  };

  bool AreMostAvoided(TimePoint now) const;

  const CarrierOptions options;
  const double cores;
  std::map<ZoneId, std::vector<std::string>> carriers_of_zone;
  std::map<std::string, ZoneId> zone_of_endpoint;
  std::map<std::string, Health> health;
};

}  // namespace chervilspar::jobs
