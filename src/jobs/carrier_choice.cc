#include "chervilspar/jobs/carrier_choice.h"

#include <algorithm>

#include "chervilspar/base/hash.h"

namespace chervilspar::jobs {

void CarrierChoice::SetCarriers(const std::vector<Carrier>& carriers) {
  std::map<std::string, Health> kept;
  this->carriers_of_zone.clear();
  for (const Carrier& carrier : carriers) {
    const auto known = this->health.find(carrier.address);
    const bool is_new =
        kept.emplace(carrier.address, known == this->health.end() ? Health{} : known->second)
            .second;
    if (is_new) {
      this->carriers_of_zone[carrier.zone].push_back(carrier.address);
    }
  }
  this->health = std::move(kept);
}

void CarrierChoice::SetEndpoints(const std::vector<EndpointRecord>& endpoints) {
  this->zone_of_endpoint.clear();
  for (const EndpointRecord& endpoint : endpoints) {
    this->zone_of_endpoint.emplace(endpoint.id, endpoint.zone);
  }
}

std::optional<std::string> CarrierChoice::Choose(const std::string& endpoint, TimePoint now) const {
  const auto direct_limit = this->options.endpoints_per_core * this->cores;
  const auto zone = this->zone_of_endpoint.find(endpoint);
  if (static_cast<double>(this->zone_of_endpoint.size()) <= direct_limit ||
      zone == this->zone_of_endpoint.end()) {
    return std::nullopt;
  }
  const auto carriers = this->carriers_of_zone.find(zone->second);
  if (carriers == this->carriers_of_zone.end()) {
    return std::nullopt;
  }
  const std::string* best = nullptr;
  std::uint64_t best_weight = 0;
  const std::uint64_t seed = StableHash(endpoint);
  for (const std::string& address : carriers->second) {
    const std::uint64_t weight = StableHash(address, seed);
    const bool is_avoided = now < this->health.at(address).avoided_until;
    if (!is_avoided && (best == nullptr || weight > best_weight)) {
      best = &address;
      best_weight = weight;
    }
  }
  return best == nullptr ? std::nullopt : std::optional(*best);
}

void CarrierChoice::OnAnswered(const std::string& address) {
  const auto found = this->health.find(address);
  if (found != this->health.end()) {
    found->second = {};
  }
}

void CarrierChoice::OnUnanswered(const std::string& address, TimePoint now) {
  const auto found = this->health.find(address);
  if (found == this->health.end()) {
    return;
  }
  if (++found->second.misses >= this->options.misses) {
    found->second = {0, now + this->options.avoided};
  }
}

/// While a new owner's link is saturated by reading the store, the first orders to all endpoints
/// time out and all carriers are skipped. If the owner then sent hundreds of orders directly over
/// that link, starts would time out as well, and the stops that follow would end tasks that serve
/// users.
void CarrierChoice::OnAnsweredLate(const std::string& address, TimePoint now) {
  if (this->AreMostAvoided(now)) {
    this->OnAnswered(address);
  }
}

bool CarrierChoice::AreMostAvoided(TimePoint now) const {
  const auto avoided =
      std::count_if(this->health.begin(), this->health.end(),
                    [now](const auto& entry) { return now < entry.second.avoided_until; });
  return 2 * static_cast<std::size_t>(avoided) > this->health.size();
}

}  // namespace chervilspar::jobs
