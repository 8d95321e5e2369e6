#pragma once

#include <atomic>
#include <mutex>
#include <optional>
#include <thread>
#include <vector>

#include "chervilspar/base/ids.h"

#include "bench/fleet/fleet.h"

namespace chervilspar::scenario {

/// The platform's balancer: asks each entry's /healthz at short intervals and gives out the healthy
/// ones in turn.
class Balancer {
 public:
  explicit Balancer(const Fleet& fleet);
  Balancer(const Balancer&) = delete;
  Balancer& operator=(const Balancer&) = delete;
  ~Balancer();

  /// The next healthy entry other than `avoid`, if there is one; else any.
  EntryId Next(const std::optional<EntryId>& avoid);

 private:
  void Watch();

  std::vector<EntryId> all;
  std::vector<SocketAddress> addresses;
  std::mutex mutex;
  std::vector<EntryId> healthy;
  std::size_t turn = 0;
  std::atomic<bool> is_stopping = false;
  std::thread thread;
};

}  // namespace chervilspar::scenario
