#include "bench/fleet/balancer.h"

#include <algorithm>

#include "chervilspar/http/blocking_client.h"

namespace chervilspar::scenario {

namespace {

constexpr std::chrono::milliseconds kInterval(50);
constexpr Duration kTimeout = std::chrono::milliseconds(300);
constexpr unsigned kOk = 200;

}  // namespace

Balancer::Balancer(const Fleet& fleet) : all(fleet.EntryIds()), healthy(this->all) {
  for (const EntryId& entry : this->all) {
    this->addresses.push_back(fleet.HttpAddress(entry));
  }
  this->thread = std::thread([this] { this->Watch(); });
}

Balancer::~Balancer() {
  this->is_stopping = true;
  this->thread.join();
}

void Balancer::Watch() {
  http::BlockingClient client;
  while (!this->is_stopping) {
    std::vector<EntryId> answering;
    for (std::size_t i = 0; i < this->all.size(); ++i) {
      const http::Exchange exchange =
          client.Call(this->addresses[i], {"GET", "/healthz", {}, {}}, kTimeout);
      if (exchange.response && exchange.response->status == kOk) {
        answering.push_back(this->all[i]);
      }
    }
    {
      const std::lock_guard lock(this->mutex);
      this->healthy = std::move(answering);
    }
    std::this_thread::sleep_for(kInterval);
  }
}

EntryId Balancer::Next(const std::optional<EntryId>& avoid) {
  const std::lock_guard lock(this->mutex);
  const std::vector<EntryId>& choice = this->healthy.empty() ? this->all : this->healthy;
  for (std::size_t i = 0; i < choice.size(); ++i) {
    const EntryId& entry = choice[++this->turn % choice.size()];
    if (entry != avoid) {
      return entry;
    }
  }
  return choice[++this->turn % choice.size()];
}

}  // namespace chervilspar::scenario
