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
  ++this->carriers_version;
}

void CarrierChoice::SetEndpoints(const std::vector<EndpointRecord>& endpoints) {
  this->endpoints.clear();
  this->UpdateEndpoints({endpoints, {}});
}

void CarrierChoice::UpdateEndpoints(const EndpointChanges& changes) {
  for (const std::string& id : changes.removed) {
    this->endpoints.erase(id);
  }
  for (const EndpointRecord& endpoint : changes.registered) {
    this->endpoints[endpoint.id] = {endpoint.zone, {}, 0};
  }
}

/// By rendezvous hashing: the loss of a carrier moves its endpoints only.
void CarrierChoice::Order(const std::string& id, KnownEndpoint& endpoint) const {
  endpoint.carriers_version = this->carriers_version;
  endpoint.order.clear();
  const auto carriers = this->carriers_of_zone.find(endpoint.zone);
  if (carriers == this->carriers_of_zone.end()) {
    return;
  }
  const std::uint64_t seed = StableHash(id);
  std::vector<std::pair<std::uint64_t, const std::string*>> weighted;
  for (const std::string& address : carriers->second) {
    weighted.emplace_back(StableHash(address, seed), &address);
  }
  std::stable_sort(weighted.begin(), weighted.end(),
                   [](const auto& one, const auto& other) { return one.first > other.first; });
  for (const auto& [weight, address] : weighted) {
    endpoint.order.push_back(address);
  }
}

std::optional<std::string> CarrierChoice::Choose(const std::string& endpoint, TimePoint now) const {
  const auto direct_limit = this->options.endpoints_per_core * this->cores;
  const auto known = this->endpoints.find(endpoint);
  if (static_cast<double>(this->endpoints.size()) <= direct_limit ||
      known == this->endpoints.end()) {
    return std::nullopt;
  }
  if (known->second.carriers_version != this->carriers_version) {
    this->Order(endpoint, known->second);
  }
  for (const std::string* address : known->second.order) {
    if (now >= this->health.at(*address).avoided_until) {
      return *address;
    }
  }
  return std::nullopt;
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
