#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <vector>

#include "chervilspar/base/socket_address.h"
#include "chervilspar/base/time.h"
#include "chervilspar/http/message.h"

namespace chervilspar::scenario {

/// A closed-loop load: each connection sends its next request when it has its answer.
struct LoadSettings {
  /// Connections are dealt out over these in turn.
  std::vector<SocketAddress> addresses;
  std::uint32_t connections = 1;
  Duration span = std::chrono::seconds(3);
  /// Requests a second over all connections; as fast as they come without.
  std::optional<double> rate;
  /// Makes request number `n`.
  std::function<http::Request(std::uint64_t n)> make;
};

/// What the clients of a load saw.
struct LoadResult {
  std::uint64_t answered = 0;
  /// Anything but a whole answer with status 200.
  std::uint64_t failed = 0;
  double seconds = 0;
  Duration p50 = Duration::zero();
  Duration p99 = Duration::zero();
  /// Processor time of the load itself.
  Duration own_cpu = Duration::zero();

  double Rate() const { return static_cast<double>(this->answered) / this->seconds; }
};

LoadResult RunLoad(const LoadSettings& settings);

}  // namespace chervilspar::scenario
